"""The caller's side of a request: one answer, whole or visibly cut."""

from __future__ import annotations

from tanagerloft.gateway import codec as codec_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dependencies
from tanagerloft.gateway import errors


class CallerResponse:
    """Answer to one request.

    Args:
        deps: What exchanges share.
        context: The request.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        context: context_lib.RequestContext,
    ):
        self._deps = deps
        self._context = context
        self._responder = context.responder

    @property
    def started(self) -> bool:
        """Whether the head is out."""
        return self._responder.started

    def note_first_byte(self) -> None:
        """Notes that the first part goes out now."""
        self._context.times.answer_ms = self._deps.now_ms()

    def send_events(self, info: codec_lib.ResponseInfo, data: bytes) -> None:
        """Passes on a part of a stream, after the head of its first target."""
        if not self.started:
            self.note_first_byte()
            self._responder.start(200, info.headers, None)
        self._responder.write(data)

    def finish(self) -> None:
        """Ends a stream as a whole one."""
        self._responder.finish()

    def send_whole(
        self, info: codec_lib.ResponseInfo, status: int, body: bytes
    ) -> None:
        """Passes on a target's whole answer."""
        self._responder.respond(status, info.headers, body)

    def refuse(self, refusal: errors.Refusal) -> None:
        """Answers instead of a target."""
        headers, body = self._deps.codec.encode_refusal(
            refusal, self._context.decoded.request_id
        )
        self._responder.respond(refusal.status, headers, body)

    def abort(self) -> None:
        """Ends the connection, so that the answer does not look whole."""
        self._responder.abort()

"""Response to the caller: either complete or visibly truncated."""

from __future__ import annotations

from tanagerloft.gateway import codec as codec_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dependencies
from tanagerloft.gateway import errors


class CallerResponse:
    """Response to one request.

    Args:
        deps: Dependencies shared by all exchanges.
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
        """Whether the head has been sent."""
        return self._responder.started

    def record_first_byte(self) -> None:
        """Records the time at which the response begins."""
        self._context.times.response_ms = self._deps.now_ms()

    def send_events(self, info: codec_lib.ResponseInfo, data: bytes) -> None:
        """Sends a part of a stream, and before the first part its head."""
        if not self.started:
            self.record_first_byte()
            self._responder.start(200, info.headers, None)
        self._responder.write(data)

    def finish(self) -> None:
        """Ends a stream as complete."""
        self._responder.finish()

    def send_whole(
        self, info: codec_lib.ResponseInfo, status: int, body: bytes
    ) -> None:
        """Sends a target's complete response."""
        self._responder.respond(status, info.headers, body)

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal of the gateway."""
        headers, body = self._deps.codec.encode_refusal(
            refusal, self._context.decoded.request_id
        )
        self._responder.respond(refusal.status, headers, body)

    def abort(self) -> None:
        """Resets the connection, so that the response is seen as truncated."""
        self._responder.abort()

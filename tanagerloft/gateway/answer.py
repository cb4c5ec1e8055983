"""The caller's side of a request: one answer, whole or visibly cut."""

from __future__ import annotations

from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dialect as dialect_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import parts as parts_lib


class Answer:
    """Answer to one request.

    Args:
        parts: What exchanges share.
        context: The request.
    """

    def __init__(
        self, parts: parts_lib.Parts, context: context_lib.RequestContext
    ):
        self._parts = parts
        self._context = context
        self._responder = context.responder

    @property
    def started(self) -> bool:
        """Whether the head is out."""
        return self._responder.started

    def begin(self) -> None:
        """Notes that the first part goes out now."""
        self._context.times.answer_ms = self._parts.now_ms()

    def events(self, mark: dialect_lib.Mark, data: bytes) -> None:
        """Passes on a part of a stream, after the head of its first target."""
        if not self.started:
            self.begin()
            self._responder.start(200, mark.headers, None)
        self._responder.write(data)

    def finish(self) -> None:
        """Ends a stream as a whole one."""
        self._responder.finish()

    def whole(self, mark: dialect_lib.Mark, status: int, body: bytes) -> None:
        """Passes on a target's whole answer."""
        self._responder.answer(status, mark.headers, body)

    def refuse(self, refusal: errors.Refusal) -> None:
        """Answers instead of a target."""
        headers, body = self._parts.dialect.refusal(
            refusal, self._context.ask.request_id
        )
        self._responder.answer(refusal.status, headers, body)

    def cut(self) -> None:
        """Ends the connection, so that the answer does not look whole."""
        self._responder.abort()

"""One send of a request to one target, and what comes back."""

from __future__ import annotations

import asyncio
from typing import Protocol

from tanagerloft.decisions import attempts
from tanagerloft.decisions import target_permits
from tanagerloft.fleet import types
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dialect as dialect_lib
from tanagerloft.gateway import parts as parts_lib
from tanagerloft.gateway import stream_relay
from tanagerloft.net import target_connection

# A request that may not be repeated goes out on a connection that was used
# within this time, or on a new one: a target may forget an idle one without
# notice.
_FRESH_IDLE_MS = 50
# Size of an answer that is no stream; it is kept whole until it is complete.
_MAX_ANSWER_BYTES = 8_388_608


class Owner(Protocol):
    """The request that an attempt is made for."""

    def on_sent(self) -> None:
        """The request is about to be written to the target."""

    def on_events(self, mark: dialect_lib.Mark, data: bytes) -> None:
        """Events of a stream that the caller does not have yet."""

    def on_stream_end(self, mark: dialect_lib.Mark, rest: bytes) -> None:
        """The stream has ended as a whole one, with ``rest`` at its end."""

    def on_answer(
        self, mark: dialect_lib.Mark, status: int, body: bytes
    ) -> None:
        """A whole answer, the target's own, that is no stream."""

    def on_not_run(self, mark: dialect_lib.Mark, status: int) -> None:
        """The target says that it did not run the request."""

    def on_no_permit(self) -> None:
        """It was not sent: its target has named a limit meanwhile."""

    def on_loss(self, reason: str) -> None:
        """The connection has ended before the answer."""

    def on_failed(self, evidence: attempts.Evidence, reason: str) -> None:
        """There will be no whole answer, for another reason."""


class Attempt:
    """One attempt; a ``net`` receiver.

    Args:
        parts: What exchanges share.
        context: The request.
        target: Where it goes.
        stream: State of the stream over all attempts.
        owner: Told what happens.
        repeats: Whether an attempt has been made before.
        permit_ms: When a permit for the target came, None for none.
    """

    def __init__(
        self,
        parts: parts_lib.Parts,
        context: context_lib.RequestContext,
        target: types.TargetEntry,
        stream: stream_relay.StreamRelay,
        owner: Owner,
        repeats: bool,
        permit_ms: int | None,
    ):
        self._parts = parts
        self._context = context
        self._stream = stream
        self._owner = owner
        self._fresh = repeats or not context.route.repeatable
        self._connection: target_connection.TargetConnection | None = None
        self._connecting: asyncio.Task | None = None
        self._mark: dialect_lib.Mark | None = None
        self._status = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._prefill_tokens = 0
        self._sent_ms = 0
        self._over = False
        self._permit_ms = permit_ms
        self.target = target

    def start(self) -> None:
        """Sends the request."""
        parts, context = self._parts, self._context
        target_id = self.target.target_id
        self._stream.restart()
        parts.directory.note_start(target_id, context.subject)
        if context.ask.model:
            self._prefill_tokens = context.ask.prompt_tokens
            parts.directory.note_prefill(target_id, self._prefill_tokens)
            parts.report_soon()
        address = (self.target.host, self.target.port)
        connection = parts.pool.take_idle(
            address, _FRESH_IDLE_MS if self._fresh else None
        )
        if connection is not None:
            self._write(connection)
            return
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect(address))

    def leave(self) -> None:
        """Ends the bookkeeping, once, whatever has become of the attempt."""
        if self._over:
            return
        self._over = True
        self._end_prefill()
        self._parts.directory.note_end(
            self.target.target_id, self._context.subject
        )
        self._connection = None

    def cancel(self) -> None:
        """Stops the work at the target by closing the connection."""
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._connection is not None:
            self._connection.cancel()

    def set_reading(self, flowing: bool) -> None:
        """Pauses or resumes reading, while the caller reads slowly."""
        if self._connection is not None:
            self._connection.set_reading(flowing)

    def on_head(self, head: target_connection.Head) -> None:
        """Takes in the head of an answer."""
        mark = self._parts.dialect.mark(self._context.ask, head)
        answers = self._parts.directory.answers
        if mark.leaving:
            answers.note_leaving(self.target, misdirected=mark.lacks)
        if mark.back_off_ms:
            answers.note_back_off(self.target, mark.back_off_ms)
        if mark.limit_per_s is not None and answers.note_limit(
            self.target, mark.limit_per_s, self._sent_ms, mark.lacks
        ):
            self._parts.report_soon()
        self._mark = mark
        self._status = head.status
        self._body = []

    def on_body(self, data: bytes) -> None:
        """Takes in a piece of the body."""
        mark = self._mark
        if mark is None:
            return
        if not mark.ours or not self._is_stream(mark):
            self._body_bytes += len(data)
            if self._body_bytes > _MAX_ANSWER_BYTES:
                self._break_off()
            elif mark.ours:
                self._body.append(data)
            return
        completed, fresh = self._stream.feed(data, self._parts.now_ms())
        if self._stream.malformed:
            self._break_off()
            return
        if completed:
            self._end_prefill()
        if fresh:
            self._owner.on_events(mark, fresh)

    def on_end(self) -> None:
        """Takes in the end of an answer."""
        mark, connection = self._mark, self._connection
        if mark is None or connection is None:
            return
        if not mark.ours:
            self._mark = None
            connection.skip_answer(self)
        elif self._is_stream(mark):
            self._owner.on_stream_end(mark, self._stream.rest())
        elif mark.not_run:
            self._owner.on_not_run(mark, self._status)
        elif not mark.genuine:
            connection.close()
            self._owner.on_failed(
                attempts.Evidence.UNKNOWN, "answer is not genuine"
            )
        else:
            self._owner.on_answer(mark, self._status, b"".join(self._body))

    def _break_off(self) -> None:
        """Ends an answer that does not end by itself."""
        if self._connection is not None:
            self._connection.cancel()
            self.on_loss(target_connection.Loss.MALFORMED)

    def on_loss(self, loss: target_connection.Loss) -> None:
        """Takes in the end of the connection before that of the answer."""
        self._connection = None
        self._owner.on_loss(loss.value)

    async def _connect(self, address: tuple[str, int]) -> None:
        opened = await self._parts.pool.connect(address)
        self._connecting = None
        if isinstance(opened, target_connection.Loss):
            self._owner.on_failed(attempts.Evidence.NOT_SENT, opened.value)
        elif self._over:
            opened.close()
        elif not self._parts.directory.takes(self.target):
            opened.close()
            self._owner.on_failed(
                attempts.Evidence.NOT_SENT, "target takes no more requests"
            )
        elif self._lacks_permit():
            opened.close()
            self._owner.on_no_permit()
        else:
            self._write(opened)

    def _lacks_permit(self) -> bool:
        """Returns whether the target has a limit and the permit is not valid.

        The limit may have been named, and time may have passed, while the
        connection was set up.
        """
        parts = self._parts
        if not parts.directory.answers.is_limited(self.target):
            return False
        if self._permit_ms is None:
            return True
        return parts.now_ms() - self._permit_ms > target_permits.VALID_MS

    def _write(self, connection: target_connection.TargetConnection) -> None:
        parts, context = self._parts, self._context
        self._connection = connection
        self._sent_ms = parts.now_ms()
        parts.directory.answers.log_limited_send(
            self.target, context.ask.request_id
        )
        self._owner.on_sent()
        send = dialect_lib.Send(
            target=self.target,
            left_ms=max(1, context.ends_ms - self._sent_ms),
            account=context.account_name,
            last_event_id=self._stream.last_event_id,
        )
        data = parts.dialect.encode(context.request, context.ask, send)
        connection.send(data, self)

    def _is_stream(self, mark: dialect_lib.Mark) -> bool:
        return mark.genuine and mark.stream and self._status == 200

    def _end_prefill(self) -> None:
        if self._prefill_tokens:
            self._parts.directory.note_prefill(
                self.target.target_id, -self._prefill_tokens
            )
        self._prefill_tokens = 0

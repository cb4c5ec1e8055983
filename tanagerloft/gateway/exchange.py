"""Sends a request to targets and relays the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import NamedTuple

from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import attempts
from tanagerloft.fleet import types
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dialect as dialect_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import stream_relay
from tanagerloft.gateway import waiting as waiting_lib
from tanagerloft.net import target_connection
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# A request that may not be repeated goes out on a connection that was used
# within this time, or on a new one: a target closes idle ones.
_FRESH_IDLE_MS = 300
# Sends of one request, those that did not run included.
_MAX_SENDS = 4
# Pause before a request goes to the same target again.
_SAME_TARGET_MS = 100
# Prompt tokens that wait at an engine, beyond which a further request is held
# for a while: about a quarter of the longest gap that callers accept.
_MAX_PREFILL_TOKENS = 3_000
# A held request looks again after the time of a short prompt, and is held for
# less than half of the shortest aim.
_HOLD_MS = 20
_MAX_HOLD_MS = 250
# A request that has less time than this left is not sent any more.
_MIN_SEND_MS = 20
_SERVER_ERROR = 500


class Parts(NamedTuple):
    """What exchanges share.

    Attributes:
        dialect: Protocol of callers and targets.
        directory: Targets.
        pool: Connections to targets.
        room: Requests that wait for a model.
        take_repeat: Takes a repeat of the budget of a service.
        note_first: Counts a first send at a service.
        recheck_key: Checks the key of a request again; a refusal if it does
            not hold any more, or cannot be confirmed.
        report_soon: Tells the holder soon what is waited for.
        later_ms: Returns the time until a model will be there, if known.
        now_ms: Clock.
    """

    dialect: dialect_lib.Dialect
    directory: targets_lib.TargetDirectory
    pool: target_connection.Pool
    room: waiting_lib.WaitingRoom
    take_repeat: Callable[[str], bool]
    note_first: Callable[[str], None]
    recheck_key: Callable[[context_lib.RequestContext], errors.Refusal | None]
    report_soon: Callable[[], None]
    later_ms: Callable[[str], int | None]
    now_ms: Callable[[], int]


class Exchange:
    """One request on its way to targets; a ``net`` receiver and a waiter.

    Args:
        parts: What exchanges share.
        context: The request.
        done: Told once, with the outcome, when the request has ended.
    """

    def __init__(
        self,
        parts: Parts,
        context: context_lib.RequestContext,
        done: Callable[[Exchange, str], None],
    ):
        self._parts = parts
        self._done = done
        self.context = context
        self._subject = waiting_lib.Subject(
            context.service, context.ask.model, context.ask.adapter
        )
        self._connection: target_connection.TargetConnection | None = None
        self._connecting: asyncio.Task | None = None
        self._target: types.TargetEntry | None = None
        self._mark: dialect_lib.Mark | None = None
        self._status = 0
        self._body: list[bytes] = []
        self._stream = stream_relay.StreamRelay(context.ask.last_event_id)
        self._tried: set[str] = set()
        self._may_have_run: set[str] = set()
        self._waits = False
        self._hold_until_ms: int | None = None
        self._prefill_tokens = 0
        self._ended = False
        began_ms = context.request.began_ms
        self.aim_ms = began_ms + context.route.aim_ms
        self.patience_ms = min(
            context.ends_ms, began_ms + context.route.patience_ms
        )
        self._timer: asyncio.TimerHandle | None = None
        self._again: asyncio.TimerHandle | None = None
        self.sends = 0
        self.first_sent_ms: int | None = None
        self.first_answer_ms: int | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return bool(self._may_have_run)

    def start(self) -> None:
        """Begins; the responder must lead to this exchange."""
        parts, context = self._parts, self.context
        left_ms = context.ends_ms - parts.now_ms()
        self._timer = loops.call_later(max(0, left_ms), self._time_over)
        context.responder.on_gone = self._caller_gone
        context.responder.on_flow = self._set_flow
        if not self.try_send():
            parts.report_soon()

    def refuse_unsent(self, refusal: errors.Refusal) -> None:
        """Refuses the request if it has not been sent."""
        if not self._ended and self.first_sent_ms is None:
            self._cancel_send()
            self._refuse(refusal)

    def end(self) -> None:
        """Ends the request now, whatever has become of it."""
        if not self._ended:
            self._time_over()

    def try_send(self) -> bool:
        """Sends the request if a target can take it now, else waits."""
        if self._ended or self._target is not None or self._again is not None:
            return True
        parts, context = self._parts, self.context
        refusal = parts.recheck_key(context)
        if refusal is not None:
            self._give_up(refusal.detail, refusal)
            return True
        target = parts.directory.choose(*self._subject, frozenset(self._tried))
        now_ms = parts.now_ms()
        if target is None:
            return self._wait(now_ms)
        if self._waits:
            self._waits = False
            parts.room.remove(self._subject, self)
        if context.ends_ms - now_ms < _MIN_SEND_MS:
            self._refuse(errors.OUT_OF_TIME)
            return True
        if self._should_hold(target, now_ms):
            self._hold()
            return True
        if self.sends and not parts.take_repeat(context.service):
            self._give_up("no budget for a repeat")
            return True
        self._send(target, now_ms)
        return True

    def _should_hold(self, target: types.TargetEntry, now_ms: int) -> bool:
        """Whether to send later, when the target has read other prompts.

        Load answered: bursts of long prompts. An engine reads them between
        the tokens of others, whose streams then stand still for too long.
        """
        tokens = self.context.ask.prompt_tokens
        queued = self._parts.directory.prefill_tokens(target.target_id)
        if not queued or queued + tokens <= _MAX_PREFILL_TOKENS:
            return False
        if self._hold_until_ms is None:
            self._hold_until_ms = now_ms + min(
                _MAX_HOLD_MS, max(0, self.aim_ms - now_ms) // 2
            )
        return now_ms < self._hold_until_ms

    def _hold(self) -> None:
        """Tries again soon, by then with a new view of the others."""
        if self._again is None:
            self._parts.report_soon()
            self._again = loops.call_later(_HOLD_MS, self._try_again)

    def _wait(self, now_ms: int) -> bool:
        """Lets the request wait, or refuses it if that cannot help."""
        later_ms = self._parts.later_ms(self.context.ask.model)
        if later_ms is not None and now_ms + later_ms > self.patience_ms:
            self._refuse(
                errors.MODEL_NOT_READY._replace(retry_after_ms=later_ms)
            )
            return True
        self._waits = True
        self._parts.room.add(self._subject, self)
        return False

    def on_head(self, head: target_connection.Head) -> None:
        """Takes in the head of an answer."""
        self._mark = self._parts.dialect.mark(self.context.ask, head)
        self._status = head.status
        self._body = []

    def on_body(self, data: bytes) -> None:
        """Takes in a piece of the body."""
        if self._mark is None or not self._mark.ours:
            return
        if self._relays_events():
            self._relay(data)
        else:
            self._body.append(data)

    def on_end(self) -> None:
        """Takes in the end of an answer."""
        mark, connection = self._mark, self._connection
        if mark is None or connection is None:
            return
        if not mark.ours:
            self._mark = None
            connection.skip_answer(self)
            return
        if self._relays_events():
            self._end_stream()
        elif mark.not_run:
            self._not_run(mark)
        elif not mark.genuine:
            connection.close()
            self._failed(attempts.Evidence.UNKNOWN, "answer is not genuine")
        elif self._should_repeat_error():
            self._failed(attempts.Evidence.UNKNOWN, f"status {self._status}")
        else:
            self._deliver(mark)

    def on_loss(self, loss: target_connection.Loss) -> None:
        """Takes in the end of the connection before that of the answer."""
        self._connection = None
        evidence = attempts.Evidence.UNKNOWN
        if self._stream.events:
            evidence = attempts.Evidence.CUT
        self._failed(evidence, loss.value)

    def _send(self, target: types.TargetEntry, now_ms: int) -> None:
        parts, context = self._parts, self.context
        self._target = target
        self._mark = None
        self._stream.restart()
        parts.directory.note_start(target.target_id, context.subject)
        if context.ask.model:
            self._prefill_tokens = context.ask.prompt_tokens
            parts.directory.note_prefill(target.target_id, self._prefill_tokens)
            parts.report_soon()
        address = (target.host, target.port)
        max_idle_ms = None
        if not context.route.repeatable or self.sends:
            max_idle_ms = _FRESH_IDLE_MS
        connection = parts.pool.take_idle(address, max_idle_ms)
        if connection is not None:
            self._write(connection, now_ms)
            return
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect(address))

    async def _connect(self, address: tuple[str, int]) -> None:
        opened = await self._parts.pool.connect(address)
        self._connecting = None
        if isinstance(opened, target_connection.Loss):
            self._failed(attempts.Evidence.NOT_SENT, opened.value)
        elif self._ended:
            opened.close()
        else:
            self._write(opened, self._parts.now_ms())

    def _write(
        self, connection: target_connection.TargetConnection, now_ms: int
    ) -> None:
        parts, context = self._parts, self.context
        assert self._target is not None
        self._connection = connection
        self.sends += 1
        if self.first_sent_ms is None:
            self.first_sent_ms = now_ms
            parts.note_first(context.service)
        self._tried.add(self._target.target_id)
        self._may_have_run.add(self._target.target_id)
        ends_ms = context.ends_ms
        send = dialect_lib.Send(
            target=self._target,
            left_ms=max(1, ends_ms - now_ms),
            account=context.account_name,
            last_event_id=self._stream.last_event_id,
        )
        data = parts.dialect.encode(context.request, context.ask, send)
        connection.send(data, self)

    def _relays_events(self) -> bool:
        mark = self._mark
        return (
            mark is not None
            and mark.ours
            and mark.genuine
            and mark.stream
            and self._status == 200
        )

    def _end_prefill(self) -> None:
        if self._target is not None and self._prefill_tokens:
            self._parts.directory.note_prefill(
                self._target.target_id, -self._prefill_tokens
            )
        self._prefill_tokens = 0

    def _relay(self, data: bytes) -> None:
        """Passes on events that the caller does not have yet."""
        completed, fresh = self._stream.feed(data, self._parts.now_ms())
        if completed:
            self._end_prefill()
        if fresh:
            self._begin_stream()
            self.context.responder.write(fresh)

    def _begin_stream(self) -> None:
        """Sends the head, unless that of an earlier target is out."""
        assert self._mark is not None
        responder = self.context.responder
        if not responder.started:
            self.first_answer_ms = self._parts.now_ms()
            responder.start(self._status, self._mark.headers, None)

    def _end_stream(self) -> None:
        responder = self.context.responder
        self._begin_stream()
        responder.write(self._stream.rest())
        self._finish("answered", self._status)
        responder.finish()

    def _should_repeat_error(self) -> bool:
        """Whether a target's own error is worth another target."""
        return (
            self._status >= _SERVER_ERROR
            and self.context.route.repeatable
            and self._may_send_again()
        )

    def _may_send_again(self) -> bool:
        return (
            self.sends < _MAX_SENDS
            and len(self._may_have_run) < self.context.route.max_targets
        )

    def _deliver(self, mark: dialect_lib.Mark) -> None:
        responder = self.context.responder
        if responder.started:
            # The head of another answer is out; this one cannot follow it.
            self._finish("cut", self._status)
            responder.abort()
            return
        self.first_answer_ms = self._parts.now_ms()
        self._finish("answered", self._status)
        responder.answer(self._status, mark.headers, b"".join(self._body))

    def _not_run(self, mark: dialect_lib.Mark) -> None:
        assert self._target is not None
        target_id = self._target.target_id
        self._may_have_run.discard(target_id)
        if mark.lacks:
            self._parts.directory.note_lacks(target_id, self.context.subject)
        else:
            self._parts.directory.note_failure(target_id)
        self._failed(attempts.Evidence.REFUSED, f"status {self._status}")

    def _failed(self, evidence: attempts.Evidence, reason: str) -> None:
        """Decides what follows an attempt that gave no whole answer."""
        if self._ended or self._target is None:
            return
        target = self._target
        self._leave_target()
        if evidence is not attempts.Evidence.REFUSED:
            self._parts.directory.note_failure(target.target_id)
        logger.info(
            "attempt failed",
            extra={
                "request": self.context.ask.request_id,
                "target": target.target_id,
                "evidence": evidence.value,
                "reason": reason,
                "sends": self.sends,
                "events": self._stream.events,
            },
        )
        not_run = evidence in (
            attempts.Evidence.NOT_SENT,
            attempts.Evidence.REFUSED,
        )
        if not_run and self.sends < _MAX_SENDS:
            self._send_again(target)
            return
        if self.context.route.repeatable and self._may_send_again():
            self._send_again(target)
            return
        self._give_up(reason)

    def _send_again(self, failed: types.TargetEntry) -> None:
        other = self._parts.directory.choose(
            *self._subject, frozenset(self._tried | {failed.target_id})
        )
        if other is None or other.target_id in self._tried | {failed.target_id}:
            self._again = loops.call_later(_SAME_TARGET_MS, self._try_again)
            return
        self.try_send()

    def _try_again(self) -> None:
        self._again = None
        if not self.try_send():
            self._parts.report_soon()

    def _give_up(
        self, reason: str, refusal: errors.Refusal = errors.NO_TARGET
    ) -> None:
        """Ends a request for which no further send is allowed.

        Args:
            reason: Text for logs.
            refusal: Answer if no target can have run it.
        """
        if self.context.responder.started:
            self._finish("cut", 0, reason)
            self.context.responder.abort()
        elif self._may_have_run:
            self._refuse(errors.UNKNOWN_OUTCOME)
        else:
            self._refuse(refusal)

    def _time_over(self) -> None:
        self._timer = None
        self._cancel_send()
        if self.context.responder.started:
            self._finish("cut", 0, "time over")
            self.context.responder.abort()
        elif self._may_have_run:
            self._refuse(errors.TIMEOUT)
        elif self.sends:
            self._refuse(errors.OUT_OF_TIME)
        else:
            self._refuse(errors.MODEL_NOT_READY)

    def _caller_gone(self) -> None:
        self._cancel_send()
        self._finish("caller gone", 0)

    def _set_flow(self, flowing: bool) -> None:
        if self._connection is not None:
            self._connection.set_reading(flowing)

    def _refuse(self, refusal: errors.Refusal) -> None:
        context = self.context
        headers, body = self._parts.dialect.refusal(
            refusal, context.ask.request_id
        )
        self._finish(refusal.code, refusal.status)
        context.responder.answer(refusal.status, headers, body)

    def _cancel_send(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._connection is not None:
            self._connection.cancel()

    def _leave_target(self) -> None:
        """Forgets the present attempt."""
        self._end_prefill()
        if self._target is not None:
            self._parts.directory.note_end(
                self._target.target_id, self.context.subject
            )
        self._target = None
        self._connection = None

    def _finish(self, outcome: str, status: int, reason: str = "") -> None:
        """Ends the request's own bookkeeping, once."""
        if self._ended:
            return
        self._ended = True
        target = self._target.target_id if self._target else ""
        self._leave_target()
        for timer in (self._timer, self._again):
            if timer is not None:
                timer.cancel()
        self._parts.room.remove(self._subject, self)
        context = self.context
        logger.info(
            "request ended",
            extra={
                "request": context.ask.request_id,
                "route": context.route.name,
                "account": context.account_name,
                "model": context.subject,
                "outcome": outcome,
                "status": status,
                "reason": reason,
                "model_later_ms": self._parts.later_ms(context.ask.model),
                "target": target,
                "sends": self.sends,
                "events": self._stream.events,
                "longest_gap_ms": self._stream.longest_gap_ms,
                "configuration": context.configuration.version,
                "waited_ms": _since(context.request, self.first_sent_ms),
                "first_ms": _since(context.request, self.first_answer_ms),
                "took_ms": self._parts.now_ms() - context.request.began_ms,
            },
        )
        self._done(self, outcome)


def _since(request, at_ms: int | None) -> int | None:
    return None if at_ms is None else at_ms - request.began_ms

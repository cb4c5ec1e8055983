"""Leads a request through its attempts to one final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.coordination import target_answers
from tanagerloft.decisions import attempts
from tanagerloft.decisions import send_history
from tanagerloft.decisions import target_permits
from tanagerloft.fleet import types
from tanagerloft.gateway import answer as answer_lib
from tanagerloft.gateway import attempt as attempt_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dialect as dialect_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import parts as parts_lib
from tanagerloft.gateway import placing as placing_lib
from tanagerloft.gateway import stream_relay
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Pause before a request goes to the same target again.
_SAME_TARGET_MS = 100
_SERVER_ERROR = 500


class Exchange:
    """One request on its way to targets; a waiter and an attempt's owner.

    Args:
        parts: What exchanges share.
        context: The request.
        done: Told once, with the outcome, when the request has ended.

    Attributes:
        context: The request.
        answer: What the caller gets.
        history: What has become of its sends.
        aim_ms: When it misses its aim.
        patience_ms: When its caller leaves.
    """

    def __init__(
        self,
        parts: parts_lib.Parts,
        context: context_lib.RequestContext,
        done: Callable[[Exchange, str], None],
    ):
        self._parts = parts
        self._done = done
        self.context = context
        self._placing = placing_lib.Placing(parts, context)
        self.aim_ms = self._placing.aim_ms
        self.patience_ms = self._placing.patience_ms
        self.answer = answer_lib.Answer(parts, context)
        self._attempt: attempt_lib.Attempt | None = None
        self._stream = stream_relay.StreamRelay(context.ask.last_event_id)
        self.history = send_history.SendHistory(
            context.route.repeatable, context.route.max_targets
        )
        self._ended = False
        self._timer: asyncio.TimerHandle | None = None
        self._again: asyncio.TimerHandle | None = None
        self._forget_permit: Callable[[], None] | None = None
        self._permit_ms: int | None = None

    def start(self) -> None:
        """Begins; the responder must lead to this exchange."""
        parts, context = self._parts, self.context
        left_ms = context.ends_ms - parts.now_ms()
        self._timer = loops.call_later(max(0, left_ms), self._time_over)
        context.responder.on_gone = self._caller_gone
        context.responder.on_flow = self._set_flow
        context.holder_age_ms = parts.holder_age_ms()
        context.expected_ms = parts.later_ms(context.ask.model)
        if not self.try_send():
            parts.report_soon()

    def refuse_unsent(self, refusal: errors.Refusal) -> None:
        """Refuses the request if it has not been sent."""
        if not self._ended and self.context.times.sent_ms is None:
            self._cancel_send()
            self._refuse(refusal)

    def end(self) -> None:
        """Ends the request now, whatever has become of it."""
        if not self._ended:
            self._time_over()

    def try_send(self) -> bool:
        """Sends the request if a target can take it now, else waits.

        Returns:
            Whether others that wait for the same may try.
        """
        busy = (self._attempt, self._again, self._forget_permit)
        if self._ended or any(one is not None for one in busy):
            return True
        place = self._placing.place(self.history)
        if place is placing_lib.NoTarget.NOW:
            self._parts.room.add(self._placing.subject, self)
            return False
        self._parts.room.remove(self._placing.subject, self)
        if isinstance(place, errors.Refusal):
            self._give_up(place.detail, place)
        elif isinstance(place, placing_lib.Later):
            self._later(place.delay_ms)
        elif isinstance(place, placing_lib.NeedsPermit):
            self._ask_permit(place.target)
        else:
            self._send(place)
        return True

    def _ask_permit(self, target: types.TargetEntry) -> None:
        """Asks for a permit to send the request to a target with a limit."""
        permits, life = self._parts.permits, target_answers.life_of(target)

        def decided(outcome: target_permits.Outcome) -> None:
            self._forget_permit = None
            self._permit_ms = self._parts.now_ms() if outcome.granted else None
            self._placing.on_permit(target, outcome)
            logger.info(
                "permit asked for",
                extra={
                    "request": self.context.ask.request_id,
                    "target": target.target_id,
                    **outcome._asdict(),
                    "holder_age_ms": self._parts.holder_age_ms(),
                },
            )
            if not self.try_send():
                self._parts.report_soon()

        self._forget_permit = lambda: permits.forget(life, decided)
        permits.ask(life, decided)

    def _send(self, target: types.TargetEntry) -> None:
        permit_ms, self._permit_ms = self._permit_ms, None
        self._attempt = attempt_lib.Attempt(
            self._parts,
            self.context,
            target,
            self._stream,
            self,
            repeats=self.history.sends > 0,
            permit_ms=permit_ms,
        )
        self._attempt.start()

    def on_sent(self) -> None:
        """Counts a send; part of the attempt's owner."""
        assert self._attempt is not None
        times = self.context.times
        if times.sent_ms is None:
            times.sent_ms = self._parts.now_ms()
            self._parts.note_first(self.context.service)
        self.history.note_sent(self._attempt.target.target_id)

    def on_events(self, mark: dialect_lib.Mark, data: bytes) -> None:
        """Passes on events."""
        self.answer.events(mark, data)

    def on_stream_end(self, mark: dialect_lib.Mark, rest: bytes) -> None:
        """Ends a stream as a whole one."""
        self.answer.events(mark, rest)
        self._finish_answered(200)
        self.answer.finish()

    def on_answer(
        self, mark: dialect_lib.Mark, status: int, body: bytes
    ) -> None:
        """Passes on a whole answer, unless a repeat may give a better one."""
        if status >= _SERVER_ERROR and self.history.may_repeat():
            self.on_failed(attempts.Evidence.UNKNOWN, f"status {status}")
        elif self.answer.started:
            # The head of another answer is out; this one cannot follow it.
            self._cut("head of another answer is out")
        else:
            self.answer.begin()
            self._finish_answered(status)
            self.answer.whole(mark, status, body)

    def on_not_run(self, mark: dialect_lib.Mark, status: int) -> None:
        """Takes in that a target did not run the request."""
        assert self._attempt is not None
        target_id = self._attempt.target.target_id
        self.history.note_not_run()
        if mark.lacks:
            self._parts.directory.note_lacks(target_id, self.context.subject)
        else:
            self._parts.directory.note_failure(target_id)
        self.on_failed(attempts.Evidence.REFUSED, f"status {status}")

    def on_no_permit(self) -> None:
        """Places the request anew: its target has named a limit meanwhile."""
        self._leave_target()
        if not self.try_send():
            self._parts.report_soon()

    def on_loss(self, reason: str) -> None:
        """Takes in that the connection ended before the answer did."""
        if self._attempt is None:
            return
        target = self._attempt.target
        self._parts.crash_watch.note_loss(self.context.digest, target)
        evidence = attempts.Evidence.UNKNOWN
        if self._stream.events:
            evidence = attempts.Evidence.CUT
        self.on_failed(evidence, reason)

    def on_failed(self, evidence: attempts.Evidence, reason: str) -> None:
        """Decides what follows an attempt that gave no whole answer."""
        if self._ended or self._attempt is None:
            return
        target_id = self._attempt.target.target_id
        self._leave_target()
        if evidence is not attempts.Evidence.REFUSED:
            self._parts.directory.note_failure(target_id)
        logger.info(
            "attempt failed",
            extra={
                "request": self.context.ask.request_id,
                "target": target_id,
                "evidence": evidence.value,
                "reason": reason,
                "sends": self.history.sends,
                "events": self._stream.events,
            },
        )
        if self.history.may_follow(evidence):
            self._send_again(target_id)
        else:
            self._give_up(reason)

    def _send_again(self, failed_id: str) -> None:
        if self._placing.can_go_elsewhere(self.history, failed_id):
            self.try_send()
        else:
            self._later(_SAME_TARGET_MS)

    def _later(self, delay_ms: int) -> None:
        if self._again is None:
            self._again = loops.call_later(delay_ms, self._try_again)

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
        if self.answer.started:
            self._cut(reason)
        elif self.history.may_have_run:
            self._refuse(errors.UNKNOWN_OUTCOME)
        else:
            self._refuse(refusal)

    def _time_over(self) -> None:
        self._timer = None
        self._cancel_send()
        if self.answer.started:
            self._cut("time over")
        elif self.history.may_have_run:
            self._refuse(errors.TIMEOUT)
        elif self.history.sends:
            self._refuse(errors.OUT_OF_TIME)
        else:
            self._refuse(errors.MODEL_NOT_READY)

    def _caller_gone(self) -> None:
        self._cancel_send()
        self._finish("caller gone", 0)

    def _set_flow(self, flowing: bool) -> None:
        if self._attempt is not None:
            self._attempt.set_reading(flowing)

    def _refuse(self, refusal: errors.Refusal) -> None:
        self._finish(refusal.code, refusal.status)
        self.answer.refuse(refusal)

    def _cut(self, reason: str) -> None:
        self._finish("cut", 0, reason)
        self.answer.cut()

    def _cancel_send(self) -> None:
        if self._attempt is not None:
            self._attempt.cancel()

    def _leave_target(self) -> None:
        """Forgets the present attempt."""
        if self._attempt is not None:
            self._attempt.leave()
        self._attempt = None

    def _finish_answered(self, status: int) -> None:
        self._parts.crash_watch.note_answer(lambda: self.context.digest)
        self._finish("answered", status)

    def _finish(self, outcome: str, status: int, reason: str = "") -> None:
        """Ends the request's own bookkeeping, once."""
        if self._ended:
            return
        self._ended = True
        target_id = self._attempt.target.target_id if self._attempt else ""
        self._leave_target()
        for timer in (self._timer, self._again):
            if timer is not None:
                timer.cancel()
        if self._forget_permit is not None:
            self._forget_permit()
        self._parts.room.remove(self._placing.subject, self)
        later_ms = self._parts.later_ms(self.context.ask.model)
        logger.info(
            "request ended",
            extra={
                "outcome": outcome,
                "status": status,
                "reason": reason,
                "target": target_id,
                "sends": self.history.sends,
                "model_later_ms": later_ms,
                **self._stream.told(),
                **self.context.told(),
                **self.context.times.told(self._parts.now_ms()),
            },
        )
        self._done(self, outcome)

"""Leads a request through its attempts to one final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.decisions import attempts
from tanagerloft.fleet import types
from tanagerloft.gateway import attempt as attempt_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dialect as dialect_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import parts as parts_lib
from tanagerloft.gateway import prompt_hold
from tanagerloft.gateway import stream_relay
from tanagerloft.gateway import waiting as waiting_lib
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Sends of one request, those that did not run included.
_MAX_SENDS = 4
# Pause before a request goes to the same target again.
_SAME_TARGET_MS = 100
# A request that has less time than this left is not sent any more.
_MIN_SEND_MS = 20
_SERVER_ERROR = 500


class Exchange:
    """One request on its way to targets; a waiter and an attempt's owner.

    Args:
        parts: What exchanges share.
        context: The request.
        done: Told once, with the outcome, when the request has ended.
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
        self._subject = waiting_lib.Subject(
            context.service, context.ask.model, context.ask.adapter
        )
        self._attempt: attempt_lib.Attempt | None = None
        self._stream = stream_relay.StreamRelay(context.ask.last_event_id)
        self._tried: set[str] = set()
        self._may_have_run: set[str] = set()
        self._waits = False
        self._ended = False
        began_ms = context.request.began_ms
        self.aim_ms = began_ms + context.route.aim_ms
        self.patience_ms = min(
            context.ends_ms, began_ms + context.route.patience_ms
        )
        self._hold = prompt_hold.PromptHold(
            context.ask.prompt_tokens, self.aim_ms
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
        """Sends the request if a target can take it now, else waits.

        Returns:
            Whether others that wait for the same may try.
        """
        if self._ended or self._attempt is not None or self._again is not None:
            return True
        parts, context = self._parts, self.context
        refusal = parts.recheck(context)
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
        elif self._hold.wanted(
            parts.directory.prefill_tokens(target.target_id), now_ms
        ):
            parts.report_soon()
            self._later(prompt_hold.LOOK_AGAIN_MS)
        elif self.sends and not parts.take_repeat(context.service):
            self._give_up("no budget for a repeat")
        else:
            self._send(target)
        return True

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

    def _send(self, target: types.TargetEntry) -> None:
        self._attempt = attempt_lib.Attempt(
            self._parts,
            self.context,
            target,
            self._stream,
            self,
            repeats=self.sends > 0,
        )
        self._attempt.start()

    def on_sent(self) -> None:
        """Counts a send; part of the attempt's owner."""
        assert self._attempt is not None
        self.sends += 1
        if self.first_sent_ms is None:
            self.first_sent_ms = self._parts.now_ms()
            self._parts.note_first(self.context.service)
        target_id = self._attempt.target.target_id
        self._tried.add(target_id)
        self._may_have_run.add(target_id)

    def on_events(self, mark: dialect_lib.Mark, data: bytes) -> None:
        """Passes on events."""
        self._begin_stream(mark)
        self.context.responder.write(data)

    def on_stream_end(self, mark: dialect_lib.Mark, rest: bytes) -> None:
        """Ends a stream as a whole one."""
        responder = self.context.responder
        self._begin_stream(mark)
        responder.write(rest)
        self._finish_answered(200)
        responder.finish()

    def on_answer(
        self, mark: dialect_lib.Mark, status: int, body: bytes
    ) -> None:
        """Passes on a whole answer, unless a repeat may give a better one."""
        responder = self.context.responder
        if (
            status >= _SERVER_ERROR
            and self.context.route.repeatable
            and self._may_send_again()
        ):
            self.on_failed(attempts.Evidence.UNKNOWN, f"status {status}")
        elif responder.started:
            # The head of another answer is out; this one cannot follow it.
            self._finish("cut", status)
            responder.abort()
        else:
            self.first_answer_ms = self._parts.now_ms()
            self._finish_answered(status)
            responder.answer(status, mark.headers, body)

    def on_not_run(self, mark: dialect_lib.Mark, status: int) -> None:
        """Takes in that a target did not run the request."""
        assert self._attempt is not None
        target_id = self._attempt.target.target_id
        self._may_have_run.discard(target_id)
        if mark.lacks:
            self._parts.directory.note_lacks(target_id, self.context.subject)
        else:
            self._parts.directory.note_failure(target_id)
        self.on_failed(attempts.Evidence.REFUSED, f"status {status}")

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
                "sends": self.sends,
                "events": self._stream.events,
            },
        )
        not_run = evidence in (
            attempts.Evidence.NOT_SENT,
            attempts.Evidence.REFUSED,
        )
        if (not_run and self.sends < _MAX_SENDS) or (
            self.context.route.repeatable and self._may_send_again()
        ):
            self._send_again(target_id)
        else:
            self._give_up(reason)

    def _begin_stream(self, mark: dialect_lib.Mark) -> None:
        """Sends the head, unless that of an earlier target is out."""
        responder = self.context.responder
        if not responder.started:
            self.first_answer_ms = self._parts.now_ms()
            responder.start(200, mark.headers, None)

    def _may_send_again(self) -> bool:
        return (
            self.sends < _MAX_SENDS
            and len(self._may_have_run) < self.context.route.max_targets
        )

    def _send_again(self, failed_id: str) -> None:
        avoid = frozenset(self._tried | {failed_id})
        other = self._parts.directory.choose(*self._subject, avoid)
        if other is None or other.target_id in avoid:
            self._later(_SAME_TARGET_MS)
        else:
            self.try_send()

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
        if self._attempt is not None:
            self._attempt.set_reading(flowing)

    def _refuse(self, refusal: errors.Refusal) -> None:
        context = self.context
        headers, body = self._parts.dialect.refusal(
            refusal, context.ask.request_id
        )
        self._finish(refusal.code, refusal.status)
        context.responder.answer(refusal.status, headers, body)

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
        self._parts.room.remove(self._subject, self)
        self._log_end(outcome, status, reason, target_id)
        self._done(self, outcome)

    def _log_end(
        self, outcome: str, status: int, reason: str, target_id: str
    ) -> None:
        context, began_ms = self.context, self.context.request.began_ms
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
                "target": target_id,
                "sends": self.sends,
                "events": self._stream.events,
                "longest_gap_ms": self._stream.longest_gap_ms,
                "configuration": context.configuration.version,
                "waited_ms": _since(began_ms, self.first_sent_ms),
                "first_ms": _since(began_ms, self.first_answer_ms),
                "took_ms": self._parts.now_ms() - began_ms,
            },
        )


def _since(began_ms: int, at_ms: int | None) -> int | None:
    return None if at_ms is None else at_ms - began_ms

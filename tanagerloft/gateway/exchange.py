"""Forwards a request to targets, with retries, until it has one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.coordination import target_feedback
from tanagerloft.decisions import attempts
from tanagerloft.decisions import send_history
from tanagerloft.decisions import target_permits
from tanagerloft.fleet import types
from tanagerloft.gateway import attempt as attempt_lib
from tanagerloft.gateway import caller_response
from tanagerloft.gateway import codec as codec_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dependencies
from tanagerloft.gateway import errors
from tanagerloft.gateway import stream_relay
from tanagerloft.gateway import target_selection
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Delay before a retry at the target that has just failed.
_SAME_TARGET_RETRY_DELAY_MS = 100
_SERVER_ERROR = 500
# Events of an attempt after which its target has begun to answer: the first one
# may still be sent by a target that crashes.
_EVENTS_BEGUN = 2


class Exchange:
    """Forwarding of one request, over all its attempts.

    Implements ``wait_queue.Waiter`` and ``attempt.AttemptListener``.

    Args:
        deps: Dependencies shared by all exchanges.
        context: The request.
        on_done: Called once, with the outcome, when the request has ended.

    Attributes:
        context: The request.
        response: Response to the caller.
        history: Sends of the request so far.
        objective_at_ms: When it misses its latency objective.
        caller_timeout_at_ms: When its caller gives up.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        context: context_lib.RequestContext,
        on_done: Callable[[Exchange, str], None],
    ):
        self._deps = deps
        self._on_done = on_done
        self.context = context
        self._selector = target_selection.TargetSelector(deps, context)
        self.objective_at_ms = self._selector.objective_at_ms
        self.caller_timeout_at_ms = self._selector.caller_timeout_at_ms
        self.response = caller_response.CallerResponse(deps, context)
        self._attempt: attempt_lib.Attempt | None = None
        self._stream = stream_relay.StreamRelay(context.decoded.last_event_id)
        self.history = send_history.SendHistory(
            context.route.retryable, context.route.max_targets
        )
        self._ended = False
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        self._cancel_permit_request: Callable[[], None] | None = None
        self._permit_granted_ms: int | None = None
        self._version_pending = False

    def start(self) -> None:
        """Starts the deadline timer and makes the first attempt."""
        deps, context = self._deps, self.context
        remaining_ms = context.deadline_ms - deps.now_ms()
        self._deadline_timer = loops.call_later(
            max(0, remaining_ms), self._on_deadline
        )
        context.responder.on_disconnect = self._on_caller_disconnect
        context.responder.on_flow_control = self._set_reading
        context.holder_age_ms = deps.holder_age_ms()
        context.expected_ms = deps.model_ready_in_ms(context.decoded.model)
        if context.resumes_stream:
            self._version_pending = True
            deps.stream_versions.look_up(
                context.decoded.resumed_id, context.service, self._on_version
            )
        elif not self.try_send():
            deps.report_soon()

    def _on_version(self, software_version: str | None) -> None:
        """Goes on with a stream at the version that has begun it."""
        self._version_pending = False
        if self._ended:
            return
        if software_version is None:
            self._refuse(errors.SOFTWARE_VERSION_UNKNOWN)
            return
        self._selector.require_version(software_version)
        if not self.try_send():
            self._deps.report_soon()

    def refuse_unsent(self, refusal: errors.Refusal) -> None:
        """Refuses the request if it has not been sent to any target."""
        if not self._ended and self.context.times.sent_ms is None:
            self._cancel_attempt()
            self._refuse(refusal)

    def end(self) -> None:
        """Ends the request now, as if its deadline had passed."""
        if not self._ended:
            self._on_deadline()

    def try_send(self) -> bool:
        """Sends the request if a target can accept it now, else waits.

        Returns:
            Whether other requests that wait for the same may try too.
        """
        pending = (
            self._attempt,
            self._retry_timer,
            self._cancel_permit_request,
        )
        if self._ended or any(action is not None for action in pending):
            return True
        if self._version_pending:
            return True
        requirement = self._selector.requirement
        selection = self._selector.select(self.history)
        if requirement != self._selector.requirement:
            self._deps.wait_queue.remove(requirement, self)
        if selection is target_selection.NoTarget.NOW:
            self._deps.wait_queue.add(self._selector.requirement, self)
            return False
        self._deps.wait_queue.remove(self._selector.requirement, self)
        if isinstance(selection, errors.Refusal):
            self._give_up(selection.detail, selection)
        elif isinstance(selection, target_selection.RetryLater):
            self._schedule_retry(selection.delay_ms)
        elif isinstance(selection, target_selection.NeedsRecord):
            self._record_version(selection.software_version)
        elif isinstance(selection, target_selection.NeedsPermit):
            self._request_permit(selection.target)
        else:
            self._send(selection)
        return True

    def _record_version(self, software_version: str) -> None:
        """Records the software version that is to begin the stream."""
        self._version_pending = True

        def on_recorded(recorded: bool) -> None:
            self._version_pending = False
            if self._ended:
                return
            if not recorded:
                self._give_up("stream not recorded", errors.STREAM_NOT_RECORDED)
                return
            self._selector.on_recorded(software_version)
            if not self.try_send():
                self._deps.report_soon()

        self._deps.stream_versions.record(
            self.context.decoded.request_id,
            software_version,
            self.context.resumable_until_ms,
            on_recorded,
        )

    def _request_permit(self, target: types.TargetEntry) -> None:
        """Requests a permit to send to a target with a rate limit."""
        permits, incarnation = (
            self._deps.permits,
            target_feedback.incarnation_of(target),
        )

        def on_decided(outcome: target_permits.Outcome) -> None:
            self._cancel_permit_request = None
            self._permit_granted_ms = (
                self._deps.now_ms() if outcome.granted else None
            )
            self._selector.on_permit(target, outcome)
            logger.info(
                "permit asked for",
                extra={
                    "request": self.context.decoded.request_id,
                    "target": target.target_id,
                    **outcome._asdict(),
                    "holder_age_ms": self._deps.holder_age_ms(),
                },
            )
            if not self.try_send():
                self._deps.report_soon()

        self._cancel_permit_request = lambda: permits.cancel(
            incarnation, on_decided
        )
        permits.acquire(incarnation, on_decided)

    def _send(self, target: types.TargetEntry) -> None:
        permit_granted_ms, self._permit_granted_ms = (
            self._permit_granted_ms,
            None,
        )
        self._attempt = attempt_lib.Attempt(
            self._deps,
            self.context,
            target,
            self._stream,
            self,
            is_retry=self.history.sends > 0,
            is_repeat=target.target_id in self.history.tried,
            permit_granted_ms=permit_granted_ms,
        )
        self._attempt.start()

    def on_sent(self) -> None:
        """Records a send; a method of ``AttemptListener``."""
        assert self._attempt is not None
        times = self.context.times
        if times.sent_ms is None:
            times.sent_ms = self._deps.now_ms()
            self._deps.record_first_send(self.context.service)
        self.history.record_sent(self._attempt.target.target_id)

    def on_events(self, info: codec_lib.ResponseInfo, data: bytes) -> None:
        """Forwards events to the caller."""
        self._record_begun()
        if not self.response.started:
            self._bind_stream()
        self.response.send_events(info, data)

    def _bind_stream(self) -> None:
        """Binds the stream to the software version that begins it."""
        assert self._attempt is not None
        version = self._attempt.target.software_version
        self._selector.require_version(version)
        if self.context.route.resumable and not self.context.resumes_stream:
            self._deps.stream_versions.note_begun(
                self.context.decoded.request_id, version
            )

    def on_stream_end(self, info: codec_lib.ResponseInfo, rest: bytes) -> None:
        """Ends the response after a complete stream."""
        self._record_begun(complete=True)
        self.response.send_events(info, rest)
        self._finish_answered(200)
        self.response.finish()

    def _record_begun(self, complete: bool = False) -> None:
        """Records that a target answers the request, once an attempt."""
        attempt = self._attempt
        if attempt is None or attempt.begun:
            return
        if complete or attempt.events >= _EVENTS_BEGUN:
            attempt.begun = True
            self._deps.prompt_evidence.record_begun(
                self.context.decoded.shared_parts, self._deps.now_ms()
            )

    def on_response(
        self, info: codec_lib.ResponseInfo, status: int, body: bytes
    ) -> None:
        """Forwards a complete response, unless it is an error worth a retry."""
        if status >= _SERVER_ERROR and self.history.may_rerun():
            self.on_failed(attempts.Evidence.UNKNOWN, f"status {status}")
        elif self.response.started:
            # The head of another response has been sent to the caller.
            self._abort("head of another answer is out")
        else:
            self.response.record_first_byte()
            if status < _SERVER_ERROR:
                self._record_begun(complete=True)
            self._finish_answered(status)
            self.response.send_whole(info, status, body)

    def on_not_run(self, info: codec_lib.ResponseInfo, status: int) -> None:
        """Handles a response by which the target did not run the request."""
        assert self._attempt is not None
        target_id = self._attempt.target.target_id
        self.history.record_not_run()
        if info.misdirected:
            self._deps.directory.note_missing_model(
                target_id, self.context.model_key
            )
        else:
            self._deps.directory.note_failure(target_id)
        self.on_failed(attempts.Evidence.REFUSED, f"status {status}")

    def on_permit_missing(self) -> None:
        """Selects a target again: this one has announced a limit since."""
        self._release_attempt()
        if not self.try_send():
            self._deps.report_soon()

    def on_connection_lost(self, reason: str) -> None:
        """Handles a connection that ended before the response was complete."""
        if self._attempt is None:
            return
        suspect_parts = self.context.decoded.shared_parts
        if self._attempt.events >= _EVENTS_BEGUN:
            suspect_parts = ()
        self._deps.crash_detector.record_lost_connection(
            self.context.digest, suspect_parts, self._attempt.target
        )
        evidence = attempts.Evidence.UNKNOWN
        if self._stream.events:
            evidence = attempts.Evidence.CUT
        self.on_failed(evidence, reason)

    def on_failed(self, evidence: attempts.Evidence, reason: str) -> None:
        """Retries or gives up after an attempt without a complete response."""
        if self._ended or self._attempt is None:
            return
        target = self._attempt.target
        self._release_attempt()
        if evidence is not attempts.Evidence.REFUSED:
            self._deps.directory.note_failure(target.target_id)
        logger.info(
            "attempt failed",
            extra={
                "request": self.context.decoded.request_id,
                "target": target.target_id,
                "software": target.software_version,
                "evidence": evidence.value,
                "reason": reason,
                "sends": self.history.sends,
                "events": self._stream.events,
            },
        )
        if not self.response.started:
            self._selector.allow_any_version()
        if self.history.may_retry(evidence):
            self._retry(target.target_id)
        else:
            self._give_up(reason)

    def _retry(self, failed_target_id: str) -> None:
        if self._selector.has_alternative(self.history, failed_target_id):
            self.try_send()
        else:
            self._schedule_retry(_SAME_TARGET_RETRY_DELAY_MS)

    def _schedule_retry(self, delay_ms: int) -> None:
        if self._retry_timer is None:
            self._retry_timer = loops.call_later(delay_ms, self._on_retry_timer)

    def _on_retry_timer(self) -> None:
        self._retry_timer = None
        if not self.try_send():
            self._deps.report_soon()

    def _give_up(
        self, reason: str, refusal: errors.Refusal = errors.NO_TARGET
    ) -> None:
        """Ends a request that may not be sent again.

        Args:
            reason: Text for logs.
            refusal: Response to the caller if no target can have run it.
        """
        if self.response.started:
            self._abort(reason)
        elif self.history.may_have_run:
            self._refuse(errors.UNKNOWN_OUTCOME)
        else:
            self._refuse(refusal)

    def _on_deadline(self) -> None:
        self._deadline_timer = None
        self._cancel_attempt()
        if self.response.started:
            self._abort("time over")
        elif self.history.may_have_run:
            self._refuse(errors.TIMEOUT)
        elif self.history.sends:
            self._refuse(errors.OUT_OF_TIME)
        else:
            self._refuse(errors.MODEL_NOT_READY)

    def _on_caller_disconnect(self) -> None:
        self._cancel_attempt()
        self._finish("caller gone", 0)

    def _set_reading(self, reading: bool) -> None:
        if self._attempt is not None:
            self._attempt.set_reading(reading)

    def _refuse(self, refusal: errors.Refusal) -> None:
        if refusal.code == errors.MODEL_NOT_READY.code:
            self._expect_return(refusal)
        self._finish(refusal.code, refusal.status)
        self.response.refuse(refusal)

    def _expect_return(self, refusal: errors.Refusal) -> None:
        """Records that the caller may come back for its model."""
        context = self.context
        self._deps.returning_callers.record(
            context.decoded.request_id,
            self._selector.requirement,
            context.route,
            refusal.retry_after_ms,
            context.deadline_ms,
            self._deps.now_ms(),
        )

    def _abort(self, reason: str) -> None:
        self._finish("cut", 0, reason)
        self.response.abort()

    def _cancel_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.cancel()

    def _release_attempt(self) -> None:
        """Ends the accounting of the current attempt and drops it."""
        if self._attempt is not None:
            self._attempt.release()
        self._attempt = None

    def _finish_answered(self, status: int) -> None:
        self._deps.crash_detector.record_answer(lambda: self.context.digest)
        self._finish("answered", status)

    def _finish(self, outcome: str, status: int, reason: str = "") -> None:
        """Releases what the request holds and logs its outcome, once."""
        if self._ended:
            return
        self._ended = True
        target = self._attempt.target if self._attempt else None
        self._release_attempt()
        for timer in (self._deadline_timer, self._retry_timer):
            if timer is not None:
                timer.cancel()
        if self._cancel_permit_request is not None:
            self._cancel_permit_request()
        self._deps.wait_queue.remove(self._selector.requirement, self)
        ready_in_ms = self._deps.model_ready_in_ms(self.context.decoded.model)
        logger.info(
            "request ended",
            extra={
                "outcome": outcome,
                "status": status,
                "reason": reason,
                "target": target.target_id if target else "",
                "software": target.software_version if target else "",
                "sends": self.history.sends,
                "model_later_ms": ready_in_ms,
                **self._stream.log_fields(),
                **self.context.log_fields(),
                **self.context.times.log_fields(self._deps.now_ms()),
            },
        )
        self._on_done(self, outcome)

"""Selects the target of a request's next send, or the reason for none."""

from __future__ import annotations

import enum
import logging
from typing import NamedTuple

from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import send_history
from tanagerloft.decisions import target_permits
from tanagerloft.fleet import types
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dependencies
from tanagerloft.gateway import errors
from tanagerloft.gateway import prompt_hold

logger = logging.getLogger(__name__)

# A request with less time than this until its deadline is not sent.
_MIN_REMAINING_MS = 20


class RetryLater(NamedTuple):
    """The selection should be repeated after a delay."""

    delay_ms: int


class NoTarget(enum.Enum):
    """No target can accept the request now; it waits in the queue."""

    NOW = "now"


class NeedsRecord(NamedTuple):
    """The software version that is to begin the stream must be recorded."""

    software_version: str


class NeedsPermit(NamedTuple):
    """The request needs a permit, as its target has announced a limit."""

    target: types.TargetEntry


Selection = (
    types.TargetEntry
    | RetryLater
    | NoTarget
    | NeedsRecord
    | NeedsPermit
    | errors.Refusal
)


class TargetSelector:
    """Selects targets for one request.

    Args:
        deps: Dependencies shared by all exchanges.
        context: The request.

    Attributes:
        requirement: What a target needs to run the request.
        objective_at_ms: When the request misses its latency objective.
        caller_timeout_at_ms: When its caller gives up.
    """

    def __init__(
        self,
        deps: dependencies.Dependencies,
        context: context_lib.RequestContext,
    ):
        self._deps = deps
        self._context = context
        decoded, route = context.decoded, context.route
        arrived_ms = context.request.arrived_ms
        self.requirement = targets_lib.Requirement(
            context.service, decoded.model, decoded.adapter
        )
        self.objective_at_ms = arrived_ms + route.latency_objective_ms
        self.caller_timeout_at_ms = min(
            context.deadline_ms, arrived_ms + route.caller_timeout_ms
        )
        self._hold = prompt_hold.PromptHold(
            decoded.prompt_tokens, self.objective_at_ms
        )
        self._begins_stream = route.resumable and not context.resumes_stream
        self._recorded_version: str | None = None
        self._permitted_target: types.TargetEntry | None = None
        self._next_permit_request_ms: int | None = None

    def require_version(self, software_version: str) -> None:
        """Restricts the request to targets of one software version."""
        self.requirement = self.requirement._replace(
            software_version=software_version
        )

    def allow_any_version(self) -> None:
        """Lifts the restriction, as the caller has no event of the stream."""
        if self._begins_stream:
            self.requirement = self.requirement._replace(software_version=None)

    def on_recorded(self, software_version: str) -> None:
        """Handles the record of the version that is to begin the stream."""
        self._recorded_version = software_version
        self.require_version(software_version)

    def select(self, history: send_history.SendHistory) -> Selection:
        """Returns the target of the next send, or what to do instead.

        Args:
            history: Sends of the request so far.
        """
        deps, context = self._deps, self._context
        refusal = deps.recheck(context)
        if refusal is not None:
            return refusal
        permitted, self._permitted_target = self._permitted_target, None
        target = permitted
        if target is None:
            avoid = frozenset(history.tried)
            target = deps.directory.choose(self.requirement, avoid)
        now_ms = deps.now_ms()
        if target is None:
            return self._select_without_target(now_ms)
        if self._lacks_record(target):
            return self._select_unrecorded(target, history)
        if context.deadline_ms - now_ms < _MIN_REMAINING_MS:
            return errors.OUT_OF_TIME
        queued_tokens = deps.directory.prefill_tokens(target.target_id)
        is_held = permitted is None and self._hold.should_wait(
            queued_tokens, now_ms
        )
        if is_held:
            deps.report_soon()
            return RetryLater(prompt_hold.RECHECK_MS)
        if permitted is None and deps.directory.feedback.is_limited(target):
            return NeedsPermit(target)
        if history.sends and not self._acquire_retry():
            return errors.NO_BUDGET
        return target

    def _lacks_record(self, target: types.TargetEntry) -> bool:
        """Returns whether the stream needs a record before it is sent."""
        version = target.software_version
        return (
            self._begins_stream
            and version != self._recorded_version
            and self._deps.stream_versions.needs_record(
                self._context.decoded.request_id,
                self._context.service,
                version,
            )
        )

    def _select_unrecorded(
        self, target: types.TargetEntry, history: send_history.SendHistory
    ) -> Selection:
        """Has the version recorded, or selects one that needs no record."""
        versions = self._deps.stream_versions
        if versions.can_record:
            return NeedsRecord(target.software_version)
        base = versions.base_version(self._context.service)
        if (
            base is None
            or self._recorded_version is not None
            or self.requirement.software_version is not None
        ):
            return errors.STREAM_NOT_RECORDED
        self.require_version(base)
        selection = self.select(history)
        if selection == errors.SOFTWARE_VERSION_GONE:
            return errors.STREAM_NOT_RECORDED
        return selection

    def _acquire_retry(self) -> bool:
        decision = self._deps.acquire_retry(self._context.service)
        logger.info(
            "retry decided",
            extra={
                "request": self._context.decoded.request_id,
                "service": self._context.service,
                **decision._asdict(),
                "holder_age_ms": self._deps.holder_age_ms(),
            },
        )
        return decision.granted

    def on_permit(
        self, target: types.TargetEntry, outcome: target_permits.Outcome
    ) -> None:
        """Records whether a permit for a target was granted.

        A granted permit applies to the next selection.
        """
        directory, now_ms = self._deps.directory, self._deps.now_ms()
        if not outcome.granted:
            directory.feedback.close(target, outcome.free_ms)
            permit_request_ms = now_ms + outcome.turn_ms
            if (
                self._next_permit_request_ms is None
                or self._next_permit_request_ms <= now_ms
            ):
                self._next_permit_request_ms = permit_request_ms
            self._next_permit_request_ms = min(
                self._next_permit_request_ms, permit_request_ms
            )
        elif directory.can_run(target, self.requirement):
            self._permitted_target = target

    def has_alternative(
        self, history: send_history.SendHistory, failed_target_id: str
    ) -> bool:
        """Returns whether an untried target could accept the request now."""
        avoid = frozenset(history.tried | {failed_target_id})
        alternative = self._deps.directory.choose(self.requirement, avoid)
        return alternative is not None and alternative.target_id not in avoid

    def _select_without_target(self, now_ms: int) -> Selection:
        """Refuses the request if no target can become available in time."""
        pause = self._deps.directory.pause(self.requirement)
        if pause is not None:
            return self._select_paused(pause, now_ms)
        if not self._deps.directory.may_be_met(self.requirement):
            return errors.SOFTWARE_VERSION_GONE
        model = self._context.decoded.model
        service = self._context.service
        if model and not self._deps.declares_model(service, model):
            return errors.MODEL_NOT_DECLARED
        ready_in_ms = self._deps.model_ready_in_ms(model)
        if (
            ready_in_ms is not None
            and now_ms + ready_in_ms > self.caller_timeout_at_ms
        ):
            return errors.MODEL_NOT_READY._replace(retry_after_ms=ready_in_ms)
        return NoTarget.NOW

    def _select_paused(
        self, pause: targets_lib.Pause, now_ms: int
    ) -> Selection:
        """Waits until the first suitable target resumes, or refuses."""
        delay_ms, refusal = pause.left_ms, errors.TARGETS_BACK_OFF
        if pause.lacks_permit:
            if (
                self._next_permit_request_ms is None
                or now_ms >= self._next_permit_request_ms
            ):
                return NeedsPermit(pause.target)
            delay_ms = self._next_permit_request_ms - now_ms
            refusal = errors.TARGETS_LIMITED
        if now_ms + delay_ms > self.objective_at_ms:
            return refusal._replace(retry_after_ms=delay_ms)
        return RetryLater(max(1, delay_ms))

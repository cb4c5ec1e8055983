"""Finds the target of a request's next send, or the reason for none."""

from __future__ import annotations

import enum
from typing import NamedTuple

from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import send_history
from tanagerloft.decisions import target_permits
from tanagerloft.fleet import types
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import parts as parts_lib
from tanagerloft.gateway import prompt_hold
from tanagerloft.gateway import waiting as waiting_lib

# A request that has less time than this left is not sent any more.
_MIN_SEND_MS = 20


class Later(NamedTuple):
    """The request should look again after a time."""

    delay_ms: int


class NoTarget(enum.Enum):
    """The request waits until a target can take it."""

    NOW = "now"


class NeedsPermit(NamedTuple):
    """The request needs a permit for its target, which has named a limit."""

    target: types.TargetEntry


Place = types.TargetEntry | Later | NoTarget | NeedsPermit | errors.Refusal


class Placing:
    """Places one request.

    Args:
        parts: What exchanges share.
        context: The request.

    Attributes:
        subject: What it needs of a target.
        aim_ms: When it misses its aim.
        patience_ms: When its caller leaves.
    """

    def __init__(
        self, parts: parts_lib.Parts, context: context_lib.RequestContext
    ):
        self._parts = parts
        self._context = context
        ask, route = context.ask, context.route
        began_ms = context.request.began_ms
        self.subject = waiting_lib.Subject(
            context.service, ask.model, ask.adapter
        )
        self.aim_ms = began_ms + route.aim_ms
        self.patience_ms = min(context.ends_ms, began_ms + route.patience_ms)
        self._hold = prompt_hold.PromptHold(ask.prompt_tokens, self.aim_ms)
        self._permitted: types.TargetEntry | None = None
        self._turn_ms: int | None = None

    def place(self, history: send_history.SendHistory) -> Place:
        """Returns where the request goes now."""
        parts, context = self._parts, self._context
        refusal = parts.recheck(context)
        if refusal is not None:
            return refusal
        permitted, self._permitted = self._permitted, None
        target = permitted
        if target is None:
            avoid = frozenset(history.tried)
            target = parts.directory.choose(*self.subject, avoid)
        now_ms = parts.now_ms()
        if target is None:
            return self._without_target(now_ms)
        if context.ends_ms - now_ms < _MIN_SEND_MS:
            return errors.OUT_OF_TIME
        queued_tokens = parts.directory.prefill_tokens(target.target_id)
        held = permitted is None and self._hold.wanted(queued_tokens, now_ms)
        if held:
            parts.report_soon()
            return Later(prompt_hold.LOOK_AGAIN_MS)
        if permitted is None and parts.directory.answers.is_limited(target):
            return NeedsPermit(target)
        if history.sends and not parts.take_repeat(context.service):
            return errors.NO_BUDGET
        return target

    def on_permit(
        self, target: types.TargetEntry, outcome: target_permits.Outcome
    ) -> None:
        """Takes in whether the request may be sent to a target now."""
        directory, now_ms = self._parts.directory, self._parts.now_ms()
        if not outcome.granted:
            directory.answers.close(target, outcome.free_ms)
            turn_ms = now_ms + outcome.turn_ms
            if self._turn_ms is None or self._turn_ms <= now_ms:
                self._turn_ms = turn_ms
            self._turn_ms = min(self._turn_ms, turn_ms)
        elif directory.can_run(target, *self.subject):
            self._permitted = target

    def can_go_elsewhere(
        self, history: send_history.SendHistory, failed_id: str
    ) -> bool:
        """Returns whether a target that was not tried could take it now."""
        avoid = frozenset(history.tried | {failed_id})
        other = self._parts.directory.choose(*self.subject, avoid)
        return other is not None and other.target_id not in avoid

    def _without_target(self, now_ms: int) -> Place:
        """Refuses the request if waiting for its target cannot help."""
        pause = self._parts.directory.pause(*self.subject)
        if pause is not None:
            return self._paused(pause, now_ms)
        later_ms = self._parts.later_ms(self._context.ask.model)
        if later_ms is not None and now_ms + later_ms > self.patience_ms:
            return errors.MODEL_NOT_READY._replace(retry_after_ms=later_ms)
        return NoTarget.NOW

    def _paused(self, pause: targets_lib.Pause, now_ms: int) -> Place:
        """Waits for the first target that fits, or refuses the request."""
        left_ms, refusal = pause.left_ms, errors.TARGETS_BACK_OFF
        if pause.lacks_permit:
            if self._turn_ms is None or now_ms >= self._turn_ms:
                return NeedsPermit(pause.target)
            left_ms = self._turn_ms - now_ms
            refusal = errors.TARGETS_LIMITED
        if now_ms + left_ms > self.aim_ms:
            return refusal._replace(retry_after_ms=left_ms)
        return Later(max(1, left_ms))

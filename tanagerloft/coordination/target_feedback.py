"""State that targets announce in their responses: leaving, backoff, limits."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math
from typing import NamedTuple

from tanagerloft.coordination import target_entries
from tanagerloft.decisions import target_limits
from tanagerloft.decisions import target_notices
from tanagerloft.fleet import types
from tanagerloft.util import bounded

logger = logging.getLogger(__name__)

# Bound on the differences of wall clocks of targets and instances.
_CLOCK_TOLERANCE_MS = 5_000
# Time for which a notice that may be of a later incarnation keeps requests from
# it: a target that leaves has ended by then.
_CARRIED_MS = 30_000
# Targets whose last notices are remembered, the latest.
_MAX_HEARD = 1_024


class _Heard(NamedTuple):
    """Last notice of a target, whichever incarnation has sent it.

    Attributes:
        received_ms: When it arrived.
        until_ms: Time until which it keeps requests from the target.
    """

    received_ms: int
    until_ms: int


class TargetFeedback:
    """Notices and limits of targets, received directly or from other instances.

    Args:
        table: Entries of the target list.
        now_ms: Clock.
        wall_ms: Wall clock.
        incarnation: Identity of this process.

    Attributes:
        notices: Targets that leave or that requests must back off from.
        limits: Limits that targets have announced.
    """

    def __init__(
        self,
        table: target_entries.TargetEntries,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
        incarnation: str,
    ):
        self._table = table
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._heard: dict[str, _Heard] = {}
        table.on_added = self._carry_over
        self.notices = target_notices.TargetNotices()
        self.limits = target_limits.TargetLimits(incarnation)

    def is_leaving(self, entry: types.TargetEntry) -> bool:
        """Returns whether a target has told any instance that it leaves."""
        incarnation = incarnation_of(entry)
        return self.notices.is_leaving(
            incarnation
        ) or self.notices.is_reported_leaving(incarnation)

    def limit_per_s(self, entry: types.TargetEntry) -> float:
        """Returns the limit of a target in requests per second."""
        return self.limits.limit_per_s(incarnation_of(entry))

    def is_limited(self, entry: types.TargetEntry) -> bool:
        """Returns whether a request to a target needs a permit."""
        return math.isfinite(self.limit_per_s(entry))

    @property
    def any_pauses(self) -> bool:
        """Whether any target may be unavailable now without leaving."""
        return self.notices.any_backing_off or bool(self.limits.count())

    def accepts_now(
        self, incarnation: target_notices.TargetIncarnation, now_ms: int
    ) -> bool:
        """Returns whether a request to a target may be sent or get a permit."""
        return self.notices.accepts_requests(
            incarnation, now_ms
        ) and not self.limits.blocked_ms(incarnation, now_ms)

    def close(self, entry: types.TargetEntry, for_ms: int) -> None:
        """Records that there is no permit for a target for some time."""
        self.limits.block(incarnation_of(entry), self._now_ms() + for_ms)

    def note_leaving(self, entry: types.TargetEntry, misdirected: bool) -> None:
        """Records a response that announces that its target leaves.

        Args:
            entry: Target that the request was sent to.
            misdirected: Whether another target with the same address may have
                responded.
        """
        for incarnation in self._possible_senders(entry, misdirected):
            self._record_heard(incarnation.target_id, _CARRIED_MS)
            if self.notices.record_leaving(incarnation):
                logger.info(
                    "target announced that it leaves",
                    extra=incarnation._asdict(),
                )

    def note_back_off(self, entry: types.TargetEntry, for_ms: int) -> None:
        """Records that this instance must send a target no requests.

        Args:
            entry: The target.
            for_ms: Duration.
        """
        incarnation = incarnation_of(entry)
        self._record_heard(incarnation.target_id, for_ms)
        self.notices.record_backoff(incarnation, for_ms, self._now_ms())
        logger.info(
            "target backs off",
            extra={**incarnation._asdict(), "for_ms": for_ms},
        )

    def _record_heard(self, target_id: str, for_ms: int) -> None:
        now_ms = self._now_ms()
        heard = self._heard.get(target_id, _Heard(now_ms, now_ms))
        heard = _Heard(now_ms, max(heard.until_ms, now_ms + for_ms))
        bounded.put_newest(self._heard, target_id, heard, _MAX_HEARD)

    def _carry_over(self, entry: types.TargetEntry) -> None:
        """Applies the last notice of a target to another incarnation of it.

        The list of targets may lag behind: a response may be of an incarnation
        that this instance learns of later.
        """
        heard = self._heard.get(entry.target_id)
        incarnation = incarnation_of(entry)
        if heard is None or self.notices.is_leaving(incarnation):
            return
        now_ms = self._now_ms()
        started_ms = now_ms - (self._wall_ms() - entry.born_ms)
        left_ms = heard.until_ms - now_ms
        if started_ms > heard.received_ms + _CLOCK_TOLERANCE_MS or left_ms <= 0:
            return
        self.notices.record_backoff(incarnation, left_ms, now_ms)
        logger.info(
            "notice may be of a later incarnation",
            extra={
                **incarnation._asdict(),
                "heard_ago_ms": now_ms - heard.received_ms,
                "started_ago_ms": now_ms - started_ms,
                "for_ms": left_ms,
            },
        )

    def note_limit(
        self,
        entry: types.TargetEntry,
        limit_per_s: float,
        sent_ms: int,
        misdirected: bool,
    ) -> bool:
        """Records the limit that a target announces in a response.

        Args:
            entry: Target that the request was sent to.
            limit_per_s: Requests per second, infinite for no limit.
            sent_ms: Time at which the request was sent.
            misdirected: Whether another target with the same address may have
                responded.

        Returns:
            Whether other instances should be told of it soon.
        """
        now_ms = self._now_ms()
        changed = [
            incarnation
            for incarnation in self._possible_senders(entry, misdirected)
            if self.limits.record_response(
                incarnation, limit_per_s, sent_ms, now_ms
            )
        ]
        for incarnation in changed:
            self._log_limit(incarnation, "answer")
        return bool(changed)

    def on_shared_limits(
        self, shared: Iterable[target_limits.SharedLimit]
    ) -> bool:
        """Applies limits that another instance shares.

        Returns:
            Whether any has changed.
        """
        changed = self.limits.on_shared_limits(shared, self._now_ms())
        for incarnation in changed:
            self._log_limit(incarnation, "told")
        return bool(changed)

    def log_limited_send(
        self, entry: types.TargetEntry, request_id: str
    ) -> None:
        """Logs a request that is sent to a target with a limit."""
        notice = self.limits.get(incarnation_of(entry))
        if notice is not None and notice.is_limited:
            logger.info(
                "sent to a target with a limit",
                extra={
                    "request": request_id,
                    "target": entry.target_id,
                    "limit_per_s": notice.limit_per_s,
                    "heard_ago_ms": self._now_ms() - notice.received_ms,
                },
            )

    def _log_limit(
        self, incarnation: target_notices.TargetIncarnation, source: str
    ) -> None:
        notice = self.limits.get(incarnation)
        assert notice is not None
        logger.info(
            "limit of a target",
            extra={
                **incarnation._asdict(),
                "limit_per_s": notice.limit_per_s,
                "source": source,
                "heard_ago_ms": self._now_ms() - notice.received_ms,
                "answer_ms": notice.received_ms - notice.sent_ms,
            },
        )

    def _possible_senders(
        self, entry: types.TargetEntry, misdirected: bool
    ) -> list[target_notices.TargetIncarnation]:
        """Returns the incarnations of targets one of which has responded."""
        incarnations = [incarnation_of(entry)]
        if misdirected:
            incarnations += [
                incarnation_of(other)
                for other in self._table.by_target.values()
                if (other.host, other.port) == (entry.host, entry.port)
                and other.target_id != entry.target_id
            ]
        return incarnations


def incarnation_of(
    entry: types.TargetEntry,
) -> target_notices.TargetIncarnation:
    """Returns the incarnation of a target that an entry describes."""
    return target_notices.TargetIncarnation(entry.target_id, entry.born_ms)

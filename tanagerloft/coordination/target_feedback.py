"""What targets say of themselves in their answers, and what others are told."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import logging
import math

from tanagerloft.coordination import target_entries
from tanagerloft.decisions import target_limits
from tanagerloft.decisions import target_notices
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)


class TargetFeedback:
    """Notices and limits of targets.

    Args:
        table: The platform's list of targets.
        now_ms: Clock.
        incarnation: Identity of this process.

    Attributes:
        notices: Targets that leave or want no requests for a time.
        limits: Limits that targets have named.
    """

    def __init__(
        self,
        table: target_entries.TargetEntries,
        now_ms: Callable[[], int],
        incarnation: str,
    ):
        self._table = table
        self._now_ms = now_ms
        self.notices = target_notices.TargetNotices()
        self.limits = target_limits.TargetLimits(incarnation)

    def is_leaving(self, entry: types.TargetEntry) -> bool:
        """Returns whether a target has said, to anybody, that it leaves."""
        life = incarnation_of(entry)
        return self.notices.is_leaving(
            life
        ) or self.notices.is_reported_leaving(life)

    def limit_per_s(self, entry: types.TargetEntry) -> float:
        """Returns the requests a second that a target takes."""
        return self.limits.limit_per_s(incarnation_of(entry))

    def is_limited(self, entry: types.TargetEntry) -> bool:
        """Returns whether a request to a target needs a permit."""
        return math.isfinite(self.limit_per_s(entry))

    @property
    def any_pauses(self) -> bool:
        """Whether any target may take no requests now, but for its leaving."""
        return self.notices.any_backing_off or bool(self.limits.count())

    def accepts_now(
        self, life: target_notices.TargetIncarnation, now_ms: int
    ) -> bool:
        """Returns whether a target may be sent a request, or asked for one."""
        return self.notices.accepts_requests(
            life, now_ms
        ) and not self.limits.blocked_ms(life, now_ms)

    def close(self, entry: types.TargetEntry, for_ms: int) -> None:
        """Remembers that there is no permit for a target for a time."""
        self.limits.block(incarnation_of(entry), self._now_ms() + for_ms)

    def note_leaving(self, entry: types.TargetEntry, misdirected: bool) -> None:
        """Remembers that an answer says that its target leaves.

        Args:
            entry: Target that the request was sent to.
            misdirected: Whether another target may have answered, which has
                the same address.
        """
        for life in self._possible_senders(entry, misdirected):
            if self.notices.record_leaving(life):
                logger.info("target says it leaves", extra=life._asdict())

    def note_back_off(self, entry: types.TargetEntry, for_ms: int) -> None:
        """Remembers that a target wants no requests of this instance.

        Args:
            entry: The target.
            for_ms: Time for which it wants none.
        """
        life = incarnation_of(entry)
        self.notices.record_backoff(life, for_ms, self._now_ms())
        logger.info(
            "target backs off", extra={**life._asdict(), "for_ms": for_ms}
        )

    def note_limit(
        self,
        entry: types.TargetEntry,
        limit_per_s: float,
        sent_ms: int,
        misdirected: bool,
    ) -> bool:
        """Remembers how many requests a second a target takes.

        Args:
            entry: Target that the request was sent to.
            limit_per_s: Requests a second, infinite if it names no limit.
            sent_ms: When the request was sent.
            misdirected: Whether another target may have answered.

        Returns:
            Whether others should hear of it soon.
        """
        now_ms = self._now_ms()
        changed = [
            life
            for life in self._possible_senders(entry, misdirected)
            if self.limits.record_response(life, limit_per_s, sent_ms, now_ms)
        ]
        for life in changed:
            self._log_limit(life, "answer")
        return bool(changed)

    def on_shared_limits(
        self, told: Iterable[target_limits.SharedLimit]
    ) -> bool:
        """Takes in what another instance knows of limits.

        Returns:
            Whether any has changed.
        """
        changed = self.limits.on_shared_limits(told, self._now_ms())
        for life in changed:
            self._log_limit(life, "told")
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
        self, life: target_notices.TargetIncarnation, source: str
    ) -> None:
        notice = self.limits.get(life)
        assert notice is not None
        logger.info(
            "limit of a target",
            extra={
                **life._asdict(),
                "limit_per_s": notice.limit_per_s,
                "source": source,
                "heard_ago_ms": self._now_ms() - notice.received_ms,
                "answer_ms": notice.received_ms - notice.sent_ms,
            },
        )

    def _possible_senders(
        self, entry: types.TargetEntry, misdirected: bool
    ) -> list[target_notices.TargetIncarnation]:
        """Returns the lives of targets one of which has given an answer."""
        lives = [incarnation_of(entry)]
        if misdirected:
            lives += [
                incarnation_of(other)
                for other in self._table.by_target.values()
                if (other.host, other.port) == (entry.host, entry.port)
                and other.target_id != entry.target_id
            ]
        return lives


def incarnation_of(
    entry: types.TargetEntry,
) -> target_notices.TargetIncarnation:
    """Returns the life of a target that an entry tells of."""
    return target_notices.TargetIncarnation(entry.target_id, entry.born_ms)

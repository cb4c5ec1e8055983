"""Limits on requests that targets have named in their responses.

An overloaded target names the number of requests a second that it accepts from
all instances together. Responses on different connections overtake each other,
and instances learn of a limit at different moments, so each notice keeps the
times at which its request was sent and its response arrived.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple

from tanagerloft.decisions import target_notices
from tanagerloft.util import bounded

# Target incarnations whose notices are kept, those updated last.
_MAX_NOTICES = 1_024
# Notices replaced by later ones whose identities are kept: those of a second
# of a busy fleet. In a delayed message they would look like the latest.
_MAX_SUPERSEDED = 4_096
# Notices shared with other instances, so that a message fits in a datagram.
_MAX_SHARED = 64
# The end of a limit is shared for this time: longer than an instance that
# still has the limit is cut off.
_ENDED_RETENTION_MS = 60_000


class Notice(NamedTuple):
    """Limit of a target according to item response.

    Attributes:
        limit_per_s: Requests a second that the target accepts from all
            instances, infinite if it names no limit.
        sent_ms: When the request was sent.
        received_ms: When the response arrived.
        origin: Identity of the response, the same at all instances.
    """

    limit_per_s: float
    sent_ms: int
    received_ms: int
    origin: str = ""

    @property
    def is_limited(self) -> bool:
        """Whether the response names a limit."""
        return math.isfinite(self.limit_per_s)


class SharedLimit(NamedTuple):
    """A notice as shared between instances, with ages in place of times.

    Attributes:
        target_id: Target.
        born_ms: Start of its incarnation.
        limit_per_s: See ``Notice``.
        sent_ago_ms: Time since the request was sent.
        received_ago_ms: Time since the response arrived.
        origin: See ``Notice``.
    """

    target_id: str
    born_ms: int
    limit_per_s: float
    sent_ago_ms: int
    received_ago_ms: int
    origin: str


class TargetLimits:
    """Notices by target incarnation, from own responses and other instances.

    Args:
        origin: Identity of this process.

    Attributes:
        changes: Number of changes of limits so far.
    """

    def __init__(self, origin: str = ""):
        self._origin = origin
        self._responses = 0
        self._notices: dict[target_notices.TargetIncarnation, Notice] = {}
        self._superseded: dict[str, None] = {}
        self._blocked_until_ms: dict[target_notices.TargetIncarnation, int] = {}
        self._limited = 0
        self.changes = 0

    def record_response(
        self,
        incarnation: target_notices.TargetIncarnation,
        limit_per_s: float,
        sent_ms: int,
        received_ms: int,
    ) -> bool:
        """Records a response of a target.

        Args:
            incarnation: Incarnation of the target.
            limit_per_s: Limit that it names, infinite if it names none.
            sent_ms: When the request was sent.
            received_ms: When the response arrived.

        Returns:
            Whether the limit in force has changed.
        """
        if incarnation not in self._notices and math.isinf(limit_per_s):
            return False
        self._responses += 1
        origin = f"{self._origin}/{self._responses}"
        return self._merge(
            incarnation, Notice(limit_per_s, sent_ms, received_ms, origin)
        )

    def on_shared_limits(
        self, shared: Iterable[SharedLimit], now_ms: int
    ) -> list[target_notices.TargetIncarnation]:
        """Merges the notices that another instance shares.

        Returns:
            The targets whose limit in force has changed.
        """
        changes = []
        for item in shared:
            incarnation = target_notices.TargetIncarnation(
                item.target_id, item.born_ms
            )
            notice = Notice(
                item.limit_per_s,
                now_ms - item.sent_ago_ms,
                now_ms - item.received_ago_ms,
                item.origin,
            )
            if self._merge(incarnation, notice):
                changes.append(incarnation)
        return changes

    def limits_to_share(self, now_ms: int) -> list[SharedLimit]:
        """Returns the latest notices, to share with other instances."""
        self._drop_ended(now_ms)
        return [
            SharedLimit(
                *incarnation,
                notice.limit_per_s,
                now_ms - notice.sent_ms,
                now_ms - notice.received_ms,
                notice.origin,
            )
            for incarnation, notice in list(self._notices.items())[
                -_MAX_SHARED:
            ]
        ]

    def get(
        self, incarnation: target_notices.TargetIncarnation
    ) -> Notice | None:
        """Returns the latest notice, None if the target never named a limit."""
        return self._notices.get(incarnation)

    def limit_per_s(
        self, incarnation: target_notices.TargetIncarnation
    ) -> float:
        """Returns the limit in force, infinite if there is none."""
        notice = self._notices.get(incarnation)
        return math.inf if notice is None else notice.limit_per_s

    def in_force(self) -> dict[target_notices.TargetIncarnation, float]:
        """Returns all limits in force."""
        return {
            incarnation: notice.limit_per_s
            for incarnation, notice in self._notices.items()
            if notice.is_limited
        }

    def count(self) -> int:
        """Returns the number of targets with a limit."""
        return self._limited

    def block(
        self, incarnation: target_notices.TargetIncarnation, until_ms: int
    ) -> None:
        """Records that there is no permit for a target until then."""
        bounded.put_newest(
            self._blocked_until_ms, incarnation, until_ms, _MAX_NOTICES
        )

    def blocked_ms(
        self, incarnation: target_notices.TargetIncarnation, now_ms: int
    ) -> int:
        """Returns the time until a permit may be available, 0 if it may now."""
        until_ms = self._blocked_until_ms.get(incarnation, 0)
        if until_ms <= now_ms or incarnation not in self._notices:
            return 0
        return until_ms - now_ms

    def _merge(
        self, incarnation: target_notices.TargetIncarnation, received: Notice
    ) -> bool:
        known = self._notices.get(incarnation)
        if received.origin in self._superseded:
            return False
        notice = received if known is None else _newer(known, received)
        if notice is known:
            return False
        if known is not None:
            bounded.put_newest(
                self._superseded, known.origin, None, _MAX_SUPERSEDED
            )
        bounded.put_newest(self._notices, incarnation, notice, _MAX_NOTICES)
        self._limited = len(self.in_force())
        previous_limit_per_s = math.inf if known is None else known.limit_per_s
        if previous_limit_per_s == notice.limit_per_s:
            return False
        self.changes += 1
        self._blocked_until_ms.pop(incarnation, None)
        return True

    def _drop_ended(self, now_ms: int) -> None:
        for incarnation, notice in list(self._notices.items()):
            if (
                not notice.is_limited
                and now_ms - notice.received_ms > _ENDED_RETENTION_MS
            ):
                del self._notices[incarnation]


def _newer(known: Notice, received: Notice) -> Notice:
    """Returns the later of two notices, the stricter one if they overlap."""
    if received.origin == known.origin or known.sent_ms > received.received_ms:
        return known
    if received.sent_ms > known.received_ms:
        return received
    if received.limit_per_s == known.limit_per_s:
        return max(known, received, key=lambda notice: notice.received_ms)
    return min(known, received, key=lambda notice: notice.limit_per_s)

"""Limits on requests that targets have named in their answers.

Load answered: a target in need, which says how many requests a second it takes
from all instances together. Answers on different connections overtake each
other, and instances hear of a limit at different moments, so each notice keeps
the times of the send and of the answer that it comes from.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import NamedTuple

from tanagerloft.decisions import target_notices
from tanagerloft.util import bounded

# Lives whose limits are remembered, those heard of last.
_MAX_NOTICES = 1_024
# Answers that later ones have replaced: those of a second of a busy fleet. Told
# again by a message that was held up, they would look like the latest.
_MAX_SUPERSEDED = 4_096
# Lives that others are told of, so that a message stays a datagram.
_MAX_SHARED = 64
# That a limit has ended is told on for so long: longer than instances are cut
# off that still believe in it.
_ENDED_RETENTION_MS = 60_000


class Notice(NamedTuple):
    """What one answer says of its target's limit.

    Attributes:
        limit_per_s: Requests a second that the target takes from all
            instances, infinite if it names no limit.
        sent_ms: When the request was sent.
        heard_ms: When the answer came.
        origin: Identity of the answer, the same wherever it is told.
    """

    limit_per_s: float
    sent_ms: int
    received_ms: int
    origin: str = ""

    @property
    def is_limited(self) -> bool:
        """Whether it names a limit."""
        return math.isfinite(self.limit_per_s)


class SharedLimit(NamedTuple):
    """A notice as one instance tells it another, with ages in place of times.

    Attributes:
        target_id: Target.
        born_ms: Start of its life.
        limit_per_s: See ``Notice``.
        sent_ago_ms: Time since the request was sent.
        heard_ago_ms: Time since the answer came.
        origin: See ``Notice``.
    """

    target_id: str
    born_ms: int
    limit_per_s: float
    sent_ago_ms: int
    received_ago_ms: int
    origin: str


class TargetLimits:
    """Notices by life of a target, own ones and those that others tell.

    Args:
        origin: Identity of this process.

    Attributes:
        changes: Number of changes of any limit so far.
    """

    def __init__(self, origin: str = ""):
        self._origin = origin
        self._answers = 0
        self._notices: dict[target_notices.TargetIncarnation, Notice] = {}
        self._superseded: dict[str, None] = {}
        self._blocked_until_ms: dict[target_notices.TargetIncarnation, int] = {}
        self._limited = 0
        self.changes = 0

    def record_answer(
        self,
        life: target_notices.TargetIncarnation,
        limit_per_s: float,
        sent_ms: int,
        heard_ms: int,
    ) -> bool:
        """Takes in an answer.

        Args:
            life: Life of the target.
            limit_per_s: Limit that it names, infinite if it names none.
            sent_ms: When the request was sent.
            heard_ms: When the answer came.

        Returns:
            Whether the limit was not known.
        """
        if life not in self._notices and math.isinf(limit_per_s):
            return False
        self._answers += 1
        origin = f"{self._origin}/{self._answers}"
        return self._merge(life, Notice(limit_per_s, sent_ms, heard_ms, origin))

    def on_shared_limits(
        self, told: Iterable[SharedLimit], now_ms: int
    ) -> list[target_notices.TargetIncarnation]:
        """Takes in what another instance knows.

        Returns:
            The targets whose limit was not known.
        """
        changes = []
        for one in told:
            life = target_notices.TargetIncarnation(one.target_id, one.born_ms)
            notice = Notice(
                one.limit_per_s,
                now_ms - one.sent_ago_ms,
                now_ms - one.received_ago_ms,
                one.origin,
            )
            if self._merge(life, notice):
                changes.append(life)
        return changes

    def limits_to_share(self, now_ms: int) -> list[SharedLimit]:
        """Returns what others are to know, the latest of it."""
        self._drop_ended(now_ms)
        return [
            SharedLimit(
                *life,
                notice.limit_per_s,
                now_ms - notice.sent_ms,
                now_ms - notice.received_ms,
                notice.origin,
            )
            for life, notice in list(self._notices.items())[-_MAX_SHARED:]
        ]

    def get(self, life: target_notices.TargetIncarnation) -> Notice | None:
        """Returns what a target has said last, None if never of a limit."""
        return self._notices.get(life)

    def limit_per_s(self, life: target_notices.TargetIncarnation) -> float:
        """Returns the limit in force, infinite if there is none."""
        notice = self._notices.get(life)
        return math.inf if notice is None else notice.limit_per_s

    def in_force(self) -> dict[target_notices.TargetIncarnation, float]:
        """Returns all limits in force."""
        return {
            life: notice.limit_per_s
            for life, notice in self._notices.items()
            if notice.is_limited
        }

    def count(self) -> int:
        """Returns the number of targets with a limit."""
        return self._limited

    def block(
        self, life: target_notices.TargetIncarnation, until_ms: int
    ) -> None:
        """Takes in that there is no permit for a target until then."""
        bounded.put_newest(self._blocked_until_ms, life, until_ms, _MAX_NOTICES)

    def blocked_ms(
        self, life: target_notices.TargetIncarnation, now_ms: int
    ) -> int:
        """Returns the time until a target may have a permit, 0 if it may."""
        until_ms = self._blocked_until_ms.get(life, 0)
        if until_ms <= now_ms or life not in self._notices:
            return 0
        return until_ms - now_ms

    def _merge(
        self, life: target_notices.TargetIncarnation, said: Notice
    ) -> bool:
        known = self._notices.get(life)
        if said.origin in self._superseded:
            return False
        notice = said if known is None else _newer(known, said)
        if notice is known:
            return False
        if known is not None:
            bounded.put_newest(
                self._superseded, known.origin, None, _MAX_SUPERSEDED
            )
        bounded.put_newest(self._notices, life, notice, _MAX_NOTICES)
        self._limited = len(self.in_force())
        before = math.inf if known is None else known.limit_per_s
        if before == notice.limit_per_s:
            return False
        self.changes += 1
        self._blocked_until_ms.pop(life, None)
        return True

    def _drop_ended(self, now_ms: int) -> None:
        for life, notice in list(self._notices.items()):
            if (
                not notice.is_limited
                and now_ms - notice.received_ms > _ENDED_RETENTION_MS
            ):
                del self._notices[life]


def _newer(known: Notice, said: Notice) -> Notice:
    """Returns the later one of two notices, the stricter one in doubt."""
    if said.origin == known.origin or known.sent_ms > said.received_ms:
        return known
    if said.sent_ms > known.received_ms:
        return said
    if said.limit_per_s == known.limit_per_s:
        return max(known, said, key=lambda notice: notice.received_ms)
    return min(known, said, key=lambda notice: notice.limit_per_s)

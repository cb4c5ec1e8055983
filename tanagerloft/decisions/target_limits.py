"""Limits on requests that targets have named in their answers.

Load answered: a target in need, which says how many requests a second it takes
from all instances together. Answers on different connections overtake each
other, so each notice keeps the time between the send and the answer that it
comes from.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from tanagerloft.decisions import target_notices
from tanagerloft.util import bounded

# Lives whose limits are remembered, those heard of last.
_MAX_REMEMBERED = 1_024


class Notice(NamedTuple):
    """What one answer says of its target's limit.

    Attributes:
        limit_per_s: Requests a second that the target takes from all
            instances, infinite if it names no limit.
        sent_ms: When the request was sent.
        heard_ms: When the answer came.
    """

    limit_per_s: float
    sent_ms: int
    heard_ms: int

    @property
    def limits(self) -> bool:
        """Whether it names a limit."""
        return math.isfinite(self.limit_per_s)


class TargetLimits:
    """Notices by life of a target."""

    def __init__(self):
        self._notices: dict[target_notices.Life, Notice] = {}

    def note(
        self,
        life: target_notices.Life,
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
        known = self._notices.get(life)
        if known is None and math.isinf(limit_per_s):
            return False
        notice = Notice(limit_per_s, sent_ms, heard_ms)
        if known is not None:
            notice = _in_force(known, notice)
        bounded.put_newest(self._notices, life, notice, _MAX_REMEMBERED)
        return known is None or known.limit_per_s != notice.limit_per_s

    def get(self, life: target_notices.Life) -> Notice | None:
        """Returns what a target has said last, None if never of a limit."""
        return self._notices.get(life)

    def count(self) -> int:
        """Returns the number of targets with a limit."""
        return sum(notice.limits for notice in self._notices.values())


def _in_force(known: Notice, said: Notice) -> Notice:
    """Returns the later one of two notices, the stricter one in doubt."""
    if said.sent_ms > known.heard_ms:
        return said
    if known.sent_ms > said.heard_ms:
        return known
    if said.limit_per_s == known.limit_per_s:
        return max(known, said, key=lambda notice: notice.heard_ms)
    return min(known, said, key=lambda notice: notice.limit_per_s)

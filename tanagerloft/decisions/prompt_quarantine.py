"""Quarantine of prompt parts that crash the targets that answer them.

Requests with such a part are all different, and sound requests share their
account and their other parts. When a target crashes, each request there that it
had not begun to answer is suspect, and so are the parts of its prompt but the
last, which is its own. A part is sound if a request with it has begun to be
answered. A part that was under several crashes is barred unless an instance
knows that it is sound.

A verdict ends after some time, because the fault of the targets may have been
mended; the next crash then renews it at once, for longer.

Each instance collects evidence, see ``prompt_evidence``; the lease holder
decides for the whole fleet.
"""

from __future__ import annotations

from typing import NamedTuple

from tanagerloft.util import bounded

# Crashes after which a part is barred.
MAX_CRASHES = 3
# Crashes are remembered for this time.
RETENTION_MS = 600_000
# Length of the first verdict on a part, doubled by each further one.
FIRST_VERDICT_MS = 60_000
# Crashes that are kept for each part, the latest.
MAX_CRASHES_KEPT = 8
# Bound on memory: under crashes, an attacker may send ever new parts.
_MAX_SUSPECTS = 256

# Times of the crashes under each suspect part, by the identity of the crash.
Crashes = dict[str, dict[str, int]]


def is_explained(part: str, crashes: Crashes) -> bool:
    """Returns whether another part was under all crashes of a part, and more.

    Parts that were only ever together cannot be told apart.
    """
    own = crashes.get(part, {}).keys()
    return any(own < other.keys() for other in crashes.values())


class _Verdict(NamedTuple):
    """Verdict on a part.

    Attributes:
        until_ms: When it ends.
        for_ms: Its length.
        crashes: Crashes that it follows from.
    """

    until_ms: int
    for_ms: int
    crashes: frozenset[str]


class PartLedger:
    """Evidence of the whole fleet, as reported to the lease holder."""

    def __init__(self):
        self._crashes: Crashes = {}
        self._cleared: dict[str, frozenset[str]] = {}
        self._verdicts: dict[str, _Verdict] = {}

    def update(
        self,
        crashes: dict[str, list[str]],
        sound: list[str],
        barred: list[str],
        now_ms: int,
    ) -> None:
        """Applies the report of an instance.

        Args:
            crashes: Crashes under each part that it suspects.
            sound: Suspect parts that it knows to be sound.
            barred: Parts that a holder has barred.
            now_ms: Reading of the clock.
        """
        for part in barred:
            if part not in self._verdicts and part not in self._cleared:
                self._bar(part, FIRST_VERDICT_MS, frozenset(), now_ms)
        for part, crash_ids in crashes.items():
            for crash_id in crash_ids:
                self._add(part, crash_id, now_ms)
        for part in sound:
            self._clear(part)

    def _add(self, part: str, crash_id: str, now_ms: int) -> None:
        if crash_id in self._cleared.get(part, ()):
            return
        known = self._crashes.get(part, {})
        if crash_id not in known:
            bounded.put_newest(known, crash_id, now_ms, MAX_CRASHES_KEPT)
            bounded.put_newest(self._crashes, part, known, _MAX_SUSPECTS)

    def _clear(self, part: str) -> None:
        crashes = frozenset(self._crashes.pop(part, ()))
        cleared = crashes | self._cleared.get(part, frozenset())
        bounded.put_newest(self._cleared, part, cleared, _MAX_SUSPECTS)
        self._verdicts.pop(part, None)

    def _bar(
        self, part: str, for_ms: int, crashes: frozenset[str], now_ms: int
    ) -> None:
        verdict = _Verdict(now_ms + for_ms, for_ms, crashes)
        bounded.put_newest(self._verdicts, part, verdict, _MAX_SUSPECTS)

    def suspects(self, now_ms: int) -> list[str]:
        """Returns the parts that were under crashes and are not cleared."""
        self._evict_old(now_ms)
        return sorted(self._crashes)

    def barred(self, objection_ms: int, now_ms: int) -> list[str]:
        """Returns the parts that no request may have.

        Args:
            objection_ms: Time that instances have to report that a part is
                sound.
            now_ms: Reading of the clock.
        """
        for part, crashes in self._crashes.items():
            verdict = self._verdicts.get(part)
            if is_explained(part, self._crashes):
                self._verdicts.pop(part, None)
            elif verdict is None:
                times_ms = sorted(crashes.values())
                enough = len(times_ms) >= MAX_CRASHES
                if enough and now_ms - times_ms[0] >= objection_ms:
                    self._bar(
                        part, FIRST_VERDICT_MS, frozenset(crashes), now_ms
                    )
            elif now_ms >= verdict.until_ms and not (
                crashes.keys() <= verdict.crashes
            ):
                self._bar(part, 2 * verdict.for_ms, frozenset(crashes), now_ms)
        return sorted(
            part
            for part, verdict in self._verdicts.items()
            if now_ms < verdict.until_ms
        )

    def _evict_old(self, now_ms: int) -> None:
        for part, crashes in list(self._crashes.items()):
            if max(crashes.values()) < now_ms - RETENTION_MS:
                del self._crashes[part]

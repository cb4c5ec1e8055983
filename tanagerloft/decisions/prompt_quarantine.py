"""Quarantine of prompt parts that crash the targets that answer them.

Requests with such a part are all different, and sound requests share their
account and their other parts. When a target crashes, each request there that it
had not begun to answer is suspect, and so are the parts of its prompt but the
last, which is its own. A part is sound if a request with it has begun to be
answered. A part that was under several crashes is barred unless an instance
knows that it is sound.

A verdict ends after some time, because the fault of the targets may have been
mended; the next crash then renews it at once, for longer.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
from typing import NamedTuple

from tanagerloft.util import bounded

logger = logging.getLogger(__name__)

# Crashes after which a part is barred.
MAX_CRASHES = 3
# A part that was sound within this time is not suspect.
_SOUND_FOR_MS = 10_000
# Crashes are remembered for this time.
_RETENTION_MS = 600_000
# Length of the first verdict on a part, doubled by each further one.
_FIRST_VERDICT_MS = 60_000
# A crashed target is found to be down within this time after the connection
# was lost.
_CRASH_DETECTION_MS = 2_000
# Bounds on memory: under crashes, an attacker may send ever new parts.
_MAX_SUSPECTS = 64
_MAX_FLEET_SUSPECTS = 256
_MAX_CRASHES_KEPT = 8
_MAX_SOUND_PARTS = 4_096


# Times of the crashes under each suspect part, by the identity of the crash.
Crashes = dict[str, dict[str, int]]


def _is_explained(part: str, crashes: Crashes) -> bool:
    """Returns whether another part was under all crashes of a part, and more.

    Parts that were only ever together cannot be told apart.
    """
    own = crashes.get(part, {}).keys()
    return any(own < other.keys() for other in crashes.values())


class _LostRequest(NamedTuple):
    parts: tuple[str, ...]
    at_ms: int


class PartEvidence:
    """What one instance has seen of prompt parts."""

    def __init__(self):
        self._lost: dict[str, list[_LostRequest]] = {}
        self._crashes: Crashes = {}
        # Report in which a suspect part was first shared.
        self._shared_in: dict[str, int] = {}
        self._sound_ms: dict[str, int] = {}
        self._barred: frozenset[str] = frozenset()
        # Verdicts read from the store, with the report in which each was first
        # shared, None before.
        self._adopted: dict[str, int | None] = {}
        self._fleet_suspects: frozenset[str] = frozenset()

    def record_lost(
        self, parts: tuple[str, ...], target_id: str, now_ms: int
    ) -> None:
        """Records that a connection was lost before the response began.

        Args:
            parts: Parts of the prompt but the last.
            target_id: Target that the request was sent to.
            now_ms: Reading of the clock.
        """
        if parts:
            lost = self._lost.setdefault(target_id, [])
            lost.append(_LostRequest(parts, now_ms))

    def record_down(
        self, target_id: str, crash_id: str, now_ms: int
    ) -> list[str]:
        """Records that a target has crashed; returns the suspect parts.

        Args:
            target_id: The target.
            crash_id: Identity of the crash, the same at all instances.
            now_ms: Reading of the clock.
        """
        suspects = {
            part
            for request in self._lost.pop(target_id, ())
            if now_ms - request.at_ms <= _CRASH_DETECTION_MS
            for part in request.parts
            if not self._is_sound(part, now_ms)
        }
        for part in sorted(suspects):
            crashes = self._crashes.get(part, {})
            bounded.put_newest(crashes, crash_id, now_ms, _MAX_CRASHES_KEPT)
            bounded.put_newest(self._crashes, part, crashes, _MAX_SUSPECTS)
            self._shared_in.pop(part, None)
        return sorted(suspects)

    def record_up(self, target_id: str) -> None:
        """Records that a target accepts connections."""
        self._lost.pop(target_id, None)

    def record_begun(self, parts: tuple[str, ...], now_ms: int) -> None:
        """Records that a target has begun to answer a request."""
        for part in parts:
            bounded.put_newest(self._sound_ms, part, now_ms, _MAX_SOUND_PARTS)
            self._drop(part)

    def _drop(self, part: str) -> None:
        self._crashes.pop(part, None)
        self._shared_in.pop(part, None)

    def _is_sound(self, part: str, now_ms: int) -> bool:
        sound_ms = self._sound_ms.get(part)
        return sound_ms is not None and now_ms - sound_ms <= _SOUND_FOR_MS

    def crashes_to_share(
        self, sequence: int, now_ms: int
    ) -> dict[str, list[str]]:
        """Returns the crashes under each suspect part.

        Args:
            sequence: Sequence number of the report that shares them.
            now_ms: Reading of the clock.
        """
        for part, crashes in list(self._crashes.items()):
            if max(crashes.values()) < now_ms - _RETENTION_MS:
                self._drop(part)
            else:
                self._shared_in.setdefault(part, sequence)
        return {part: list(crashes) for part, crashes in self._crashes.items()}

    def sound_to_share(self, now_ms: int) -> list[str]:
        """Returns the parts that others suspect and that are sound."""
        suspects = self._fleet_suspects | self._barred
        return sorted(part for part in suspects if self._is_sound(part, now_ms))

    @property
    def barred(self) -> list[str]:
        """Parts that a holder has barred."""
        return sorted(self._barred)

    def adopt(self, barred: Iterable[str]) -> None:
        """Applies verdicts of an earlier holder, read from the store."""
        new = set(barred) - self._barred
        self._adopted |= dict.fromkeys(new)
        self._set_barred(self._barred | new)

    def barred_to_share(self, sequence: int) -> list[str]:
        """Returns the parts that a holder has barred, for the next holder.

        Args:
            sequence: Sequence number of the report that shares them.
        """
        for part, shared_in in self._adopted.items():
            if shared_in is None:
                self._adopted[part] = sequence
        return self.barred

    def _set_barred(self, barred: frozenset[str]) -> None:
        if barred != self._barred:
            self._barred = barred
            logger.warning("prompt parts barred", extra={"parts": self.barred})

    def on_verdicts(
        self, sequence: int, suspects: Iterable[str], barred: Iterable[str]
    ) -> None:
        """Applies the holder's answer to a report of this instance.

        Args:
            sequence: Sequence number of the report.
            suspects: Parts under crashes. Others that this instance has shared
                are sound elsewhere.
            barred: Parts that no request may have.
        """
        self._fleet_suspects = frozenset(suspects)
        # The holder does not know yet of verdicts that are not shared.
        self._adopted = {
            part: shared_in
            for part, shared_in in self._adopted.items()
            if shared_in is None or shared_in > sequence
        }
        self._set_barred(frozenset(barred) | self._adopted.keys())
        for part, shared_in in list(self._shared_in.items()):
            if shared_in <= sequence and part not in self._fleet_suspects:
                self._drop(part)

    def barred_part(self, parts: tuple[str, ...], now_ms: int) -> str | None:
        """Returns the first part that is barred, None if there is none."""
        for part in parts:
            if part in self._barred or self._is_proved(part, now_ms):
                return part
        return None

    def _is_proved(self, part: str, now_ms: int) -> bool:
        """Returns whether the crashes seen by this instance alone suffice."""
        crashes = self._crashes.get(part, {})
        return (
            len(crashes) >= MAX_CRASHES
            and now_ms - max(crashes.values()) < _FIRST_VERDICT_MS
            and not _is_explained(part, self._crashes)
        )


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
                self._bar(part, _FIRST_VERDICT_MS, frozenset(), now_ms)
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
            bounded.put_newest(known, crash_id, now_ms, _MAX_CRASHES_KEPT)
            bounded.put_newest(self._crashes, part, known, _MAX_FLEET_SUSPECTS)

    def _clear(self, part: str) -> None:
        crashes = frozenset(self._crashes.pop(part, ()))
        cleared = crashes | self._cleared.get(part, frozenset())
        bounded.put_newest(self._cleared, part, cleared, _MAX_FLEET_SUSPECTS)
        self._verdicts.pop(part, None)

    def _bar(
        self, part: str, for_ms: int, crashes: frozenset[str], now_ms: int
    ) -> None:
        verdict = _Verdict(now_ms + for_ms, for_ms, crashes)
        bounded.put_newest(self._verdicts, part, verdict, _MAX_FLEET_SUSPECTS)

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
            if _is_explained(part, self._crashes):
                self._verdicts.pop(part, None)
            elif verdict is None:
                times_ms = sorted(crashes.values())
                enough = len(times_ms) >= MAX_CRASHES
                if enough and now_ms - times_ms[0] >= objection_ms:
                    self._bar(
                        part, _FIRST_VERDICT_MS, frozenset(crashes), now_ms
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
            if max(crashes.values()) < now_ms - _RETENTION_MS:
                del self._crashes[part]

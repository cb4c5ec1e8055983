"""What one instance has seen of the prompt parts that may crash targets.

See ``prompt_quarantine``.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
from typing import NamedTuple

from tanagerloft.decisions import prompt_quarantine
from tanagerloft.util import bounded

logger = logging.getLogger(__name__)

# A part that was sound within this time is not suspect: targets may crash at
# once for another reason, under requests with the same part.
_SOUND_FOR_MS = 10_000
# A crashed target is found to be down within this time after the connection
# was lost.
_CRASH_DETECTION_MS = 2_000
# Bounds on memory: under crashes, an attacker may send ever new parts.
_MAX_SUSPECTS = 64
_MAX_SOUND_PARTS = 4_096


class _LostRequest(NamedTuple):
    parts: tuple[str, ...]
    at_ms: int


class PartEvidence:
    """What one instance has seen of prompt parts."""

    def __init__(self):
        self._lost: dict[str, list[_LostRequest]] = {}
        self._crashes: prompt_quarantine.Crashes = {}
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
            bounded.put_newest(
                crashes, crash_id, now_ms, prompt_quarantine.MAX_CRASHES_KEPT
            )
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
            if max(crashes.values()) < now_ms - prompt_quarantine.RETENTION_MS:
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
            len(crashes) >= prompt_quarantine.MAX_CRASHES
            and now_ms - max(crashes.values())
            < prompt_quarantine.FIRST_VERDICT_MS
            and not prompt_quarantine.is_explained(part, self._crashes)
        )

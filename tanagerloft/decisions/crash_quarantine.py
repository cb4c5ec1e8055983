"""Quarantine of requests that crash the targets that run them.

A caller may send the same request again and again, to any instance, and each
time it crashes a target. Such a request is identified by its digest (caller,
path, body). Each time its connection is lost and the target is then found to
be down counts as a crash, summed over all instances, until the request is
answered once.
"""

from __future__ import annotations

from typing import NamedTuple

# Number of crashes after which a request is not sent any more.
MAX_CRASHES = 3
# A crashed target is found to be down within this time after the connection
# was lost.
_CRASH_DETECTION_MS = 2_000
# Crashes are remembered for this time. A target restarts within seconds.
_RETENTION_MS = 60_000
# Digests that an instance counts: bounds the memory that an attack with ever
# new requests can use.
_MAX_DIGESTS = 64


class _LostConnection(NamedTuple):
    digest: str
    at_ms: int


class _Crashes(NamedTuple):
    number: int
    last_ms: int


class CrashCounts:
    """Crashes that one instance has seen."""

    def __init__(self):
        self._lost_connections: dict[str, list[_LostConnection]] = {}
        self._crashes: dict[str, _Crashes] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known."""
        return not self._crashes and not self._lost_connections

    def record_lost_connection(
        self, digest: str, target_id: str, now_ms: int
    ) -> None:
        """Records that the connection of a request was lost."""
        losses = self._lost_connections.setdefault(target_id, [])
        losses.append(_LostConnection(digest, now_ms))

    def record_down(self, target_id: str, now_ms: int) -> None:
        """Records that a target is down: one crash for each lost digest."""
        lost = {
            loss.digest
            for loss in self._lost_connections.pop(target_id, ())
            if now_ms - loss.at_ms <= _CRASH_DETECTION_MS
        }
        for digest in sorted(lost):
            self._count(digest, now_ms)

    def record_up(self, target_id: str) -> None:
        """Records that a target accepts connections."""
        self._lost_connections.pop(target_id, None)

    def record_response(self, digest: str) -> None:
        """Records that a request was answered: it crashes no target."""
        self._crashes.pop(digest, None)
        for losses in self._lost_connections.values():
            losses[:] = [loss for loss in losses if loss.digest != digest]

    def counts_to_share(self, now_ms: int) -> dict[str, int]:
        """Returns the number of crashes by digest, for the report."""
        self._evict_old(now_ms)
        return {
            digest: crashes.number for digest, crashes in self._crashes.items()
        }

    def is_quarantined(self, digest: str, now_ms: int) -> bool:
        """Returns whether the crashes seen by this instance alone suffice."""
        known = self._crashes.get(digest)
        return (
            known is not None
            and known.number >= MAX_CRASHES
            and known.last_ms >= now_ms - _RETENTION_MS
        )

    def _count(self, digest: str, now_ms: int) -> None:
        self._evict_old(now_ms)
        known = self._crashes.get(digest)
        if known is None and len(self._crashes) >= _MAX_DIGESTS:
            return
        number = known.number + 1 if known is not None else 1
        self._crashes[digest] = _Crashes(number, now_ms)

    def _evict_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - _RETENTION_MS
        for digest, crashes in list(self._crashes.items()):
            if crashes.last_ms < oldest_ms:
                del self._crashes[digest]
        for target_id, losses in list(self._lost_connections.items()):
            if not losses or now_ms - losses[-1].at_ms > _CRASH_DETECTION_MS:
                del self._lost_connections[target_id]


class CrashLedger:
    """Crashes of the whole fleet, as reported to the lease holder."""

    def __init__(self):
        self._reported: dict[str, tuple[dict[str, int], int]] = {}

    def update(self, process: str, counts: dict[str, int], now_ms: int) -> None:
        """Replaces the counts of one process.

        Args:
            process: Identity of the process of an instance.
            counts: Crashes by digest that it reports.
            now_ms: Reading of the clock.
        """
        if counts:
            self._reported[process] = (counts, now_ms)
        else:
            self._reported.pop(process, None)

    def quarantined(self, now_ms: int) -> list[str]:
        """Returns the digests of requests that no instance may send."""
        if not self._reported:
            return []
        total: dict[str, int] = {}
        for process, (counts, at_ms) in list(self._reported.items()):
            if now_ms - at_ms > _RETENTION_MS:
                del self._reported[process]
                continue
            for digest, count in counts.items():
                total[digest] = total.get(digest, 0) + count
        return sorted(
            key for key, count in total.items() if count >= MAX_CRASHES
        )

"""Learns how many loads the weight store takes at full speed.

Load answered: a store that carries a fixed number of loads a second, whatever
is queued. Loads beyond those slow all others down in proportion, so that each
is there later than its callers wait, while no more are carried.

For each number that the store may take, the progress of a load follows from
how many are under way. A store may share its speed at each moment, or slow down
only loads that begin while too many are under way; which one it does is not
told. So a load that was still under way when it should have been done either
way, or was done before it could be either way, is evidence against that number.
Loads need not begin together, and none need be late by much.
"""

from __future__ import annotations

# Loads at once before anything is known.
_INITIAL_CONCURRENCY = 4
# Highest number that is told from a higher one.
_MAX_CONCURRENCY = 32
# By how much a load's time may differ from what follows from the others: the
# way of its order, and a part of its time for what is not known of others.
_SLACK_MS = 100.0
_SLACK_SHARE = 0.02
# A difference of this share of a load's time is evidence of 1, the most that
# one load gives.
_FULL_EVIDENCE_SHARE = 0.1
# Evidence against a number from which on it is not used, and the time in which
# it fades to a half: the store may have become faster.
_EXCLUSION_THRESHOLD = 0.5
_EVIDENCE_HALF_LIFE_MS = 60_000.0
# A mean number is rounded up if so little is missing.
_MEAN_ROUND_UP = 0.25


class _ObservedLoad:
    """A load under way.

    Args:
        load_ms: Time that it takes at full speed.
        start_progress_ms: Progress of loads at its begin, by number.
        max_concurrent: Most loads in progress at its start, with itself.
        min_concurrent: Those of them that are known to be.

    Attributes:
        load_ms: Time that it takes at full speed.
        start_progress_ms: Progress of loads at its begin, by number.
        max_concurrent: Most loads in progress at its start, with itself.
        min_concurrent: Those of them that are known to be.
        counted_evidence: Evidence given so far against each concurrency.
        elapsed_ms: Time since its begin.
        load_time_sum_ms: Time that all loads have been under way since then.
    """

    def __init__(
        self,
        load_ms: float,
        start_progress_ms: list[float],
        max_concurrent: int,
        min_concurrent: int,
    ):
        self.load_ms = load_ms
        self.start_progress_ms = start_progress_ms
        self.max_concurrent = max_concurrent
        self.min_concurrent = min_concurrent
        self.counted_evidence = [0.0] * len(start_progress_ms)
        self.elapsed_ms = 0
        self.load_time_sum_ms = 0

    def sustained_concurrency(self) -> int:
        """Returns how many surely were at its begin and most of its time."""
        mean = self.load_time_sum_ms / max(1, self.elapsed_ms)
        return min(self.min_concurrent, int(mean + _MEAN_ROUND_UP))


class ConcurrencyEstimator:
    """Loads from the weight store that are worth having under way at once.

    Lists have an entry for each number that the store may take, the first for
    one load.
    """

    def __init__(self):
        self._sustained = _INITIAL_CONCURRENCY - 1
        self._proven_concurrency = 0
        self._evidence = [0.0] * _MAX_CONCURRENCY
        self._progress = [0.0] * _MAX_CONCURRENCY
        self._under_way = 0
        self._advanced_ms: int | None = None
        self._observed: dict[str, _ObservedLoad] = {}

    def concurrency(self) -> int:
        """Returns the loads to have under way at once.

        One more than have been seen to go at full speed is tried.
        """
        highest = min(self._sustained + 1, _MAX_CONCURRENCY)
        allowed = [
            number
            for number in range(1, highest + 1)
            if self._evidence[number - 1] < _EXCLUSION_THRESHOLD
        ]
        if allowed:
            return allowed[-1]
        return min(range(1, highest + 1), key=lambda n: self._evidence[n - 1])

    def advance(self, under_way: int, now_ms: int) -> None:
        """Counts the time since the last call.

        Args:
            under_way: Loads under way from now on, with those that should be
                done but have not been seen to be.
            now_ms: Reading of the clock.
        """
        if self._advanced_ms is not None and now_ms > self._advanced_ms:
            elapsed_ms = now_ms - self._advanced_ms
            decay = 0.5 ** (elapsed_ms / _EVIDENCE_HALF_LIFE_MS)
            for index in range(_MAX_CONCURRENCY):
                self._progress[index] += elapsed_ms * self._speed(index)
                self._evidence[index] *= decay
            for load in self._observed.values():
                load.elapsed_ms += elapsed_ms
                load.load_time_sum_ms += elapsed_ms * self._under_way
        self._advanced_ms = now_ms
        self._under_way = under_way

    def begin_load(
        self,
        target_id: str,
        load_ms: float,
        max_concurrent: int,
        min_concurrent: int | None = None,
    ) -> None:
        """Takes in that an engine begins to load from the store.

        A load that comes late is held against what may be under way with it;
        one in time speaks for what surely is.

        Args:
            target_id: The engine.
            load_ms: Time that the load takes at full speed.
            max_concurrent: Most loads in progress at its start, with itself.
            min_concurrent: Those of them that are known to be; all if None.
        """
        self._observed[target_id] = _ObservedLoad(
            load_ms,
            list(self._progress),
            max_concurrent,
            max_concurrent if min_concurrent is None else min_concurrent,
        )

    def discard_load(self, target_id: str) -> None:
        """Takes in that the load of an engine tells nothing."""
        self._observed.pop(target_id, None)

    def on_still_loading(self, target_id: str, ago_ms: float) -> None:
        """Takes in that a load was still under way some time ago."""
        load = self._observed.get(target_id)
        if load is not None:
            # Too high a number has it done by then.
            self._add_evidence(load, ago_ms, is_late=True)

    def on_load_done(self, target_id: str) -> None:
        """Takes in that a load is done by now."""
        load = self._observed.pop(target_id, None)
        if load is None:
            return
        # Too low a number does not have it done yet.
        self._add_evidence(load, 0.0, is_late=False)
        sustained = min(load.sustained_concurrency(), _MAX_CONCURRENCY)
        if sustained and self._evidence[sustained - 1] < _EXCLUSION_THRESHOLD:
            self._sustained = max(self._sustained, sustained)
            self._proven_concurrency = max(self._proven_concurrency, sustained)

    def is_duration_reliable(self, target_id: str) -> bool:
        """Returns whether a load can be counted as done when it should be.

        It can if as many loads as at its begin have been seen to go at full
        speed. Else each of them would make room for another one while it is
        still under way.
        """
        load = self._observed.get(target_id)
        if (
            load is None
            or not 0 < load.max_concurrent <= self._proven_concurrency
        ):
            return False
        return self._evidence[load.max_concurrent - 1] < _EXCLUSION_THRESHOLD

    def left_ms(self, target_id: str) -> float | None:
        """Returns how long a load will still take, by what has been learnt.

        Args:
            target_id: The engine.

        Returns:
            None if it is not known to be under way; 0 if it should be done.
        """
        load = self._observed.get(target_id)
        if load is None:
            return None
        index = self.concurrency() - 1
        shared_ms, fixed_ms = self._progress_ms(
            load, index, 0.0, load.max_concurrent
        )
        return min(
            max(0.0, load.load_ms - shared_ms) / self._speed(index),
            max(0.0, load.load_ms - fixed_ms)
            / _fixed_speed(load.max_concurrent, index),
        )

    def _progress_ms(
        self, load: _ObservedLoad, index: int, ago_ms: float, concurrency: int
    ) -> tuple[float, float]:
        """Returns the progress of a load some time ago.

        Args:
            load: The load.
            index: Loads that the store takes, less one.
            ago_ms: How long ago.
            concurrency: Loads under way at its begin, itself included.

        Returns:
            With a speed that all share, and with one set at its begin.
        """
        shared_ms = self._progress[index] - load.start_progress_ms[index]
        shared_ms -= ago_ms * self._speed(index)
        fixed_ms = (load.elapsed_ms - ago_ms) * _fixed_speed(concurrency, index)
        return shared_ms, fixed_ms

    @property
    def proven_concurrency(self) -> int:
        """Loads at once that have been seen to go at full speed."""
        return self._proven_concurrency

    def restore(self, concurrency: int, proven: int) -> None:
        """Takes in what the holder has learnt, for when this one follows.

        Args:
            concurrency: Loads that it had under way at once.
            proven: Loads at once that it has seen to go at full speed.
        """
        concurrency = max(1, min(concurrency, _MAX_CONCURRENCY))
        if (
            concurrency == self.concurrency()
            and proven == self._proven_concurrency
        ):
            return
        self._proven_concurrency = proven
        self._sustained = concurrency - 1
        self._evidence = [0.0] * _MAX_CONCURRENCY
        if proven >= concurrency:
            # Else it would have tried one more.
            self._sustained = concurrency
            self._evidence[concurrency:] = [1.0] * (
                _MAX_CONCURRENCY - concurrency
            )

    def _speed(self, index: int) -> float:
        """Returns the speed of a load if the store takes ``index + 1``."""
        return min(1.0, (index + 1) / max(1, self._under_way))

    def _add_evidence(
        self, load: _ObservedLoad, ago_ms: float, is_late: bool
    ) -> None:
        """Compares a load with what each number lets expect.

        Evidence against all of them alike, as of an engine that is slow by
        itself, tells nothing.

        Args:
            load: The load.
            ago_ms: Age of what is known of it.
            is_late: Whether it was still under way then; else it was done.
        """
        slack_ms = _SLACK_MS + _SLACK_SHARE * load.load_ms
        full_evidence_ms = _FULL_EVIDENCE_SHARE * load.load_ms
        concurrency = load.max_concurrent if is_late else load.min_concurrent
        scores = []
        for index in range(_MAX_CONCURRENCY):
            progress_ms = self._progress_ms(load, index, ago_ms, concurrency)
            excess_ms = load.load_ms - max(progress_ms)
            if is_late:
                excess_ms = min(progress_ms) - load.load_ms
            excess_ms -= slack_ms
            scores.append(min(1.0, max(0.0, excess_ms / full_evidence_ms)))
        least = min(scores)
        for index, score in enumerate(scores):
            new_evidence = score - least - load.counted_evidence[index]
            if new_evidence > 0:
                self._evidence[index] += new_evidence
                load.counted_evidence[index] += new_evidence


def _fixed_speed(concurrency: int, index: int) -> float:
    """Returns a load's speed if what was under way at its begin sets it."""
    return min(1.0, (index + 1) / concurrency)

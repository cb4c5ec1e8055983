"""Estimates how many concurrent loads the weight store runs at full speed.

Handles a store that carries a fixed number of loads per second, whatever is
queued. Loads beyond its capacity slow all others down in proportion, so that
each completes later than its callers wait, while no more are carried.

For each possible capacity of the store, the progress of a load follows from the
number of loads in progress. A store may share its speed at each moment, or slow
down only loads that begin while too many are in progress; which of the two it
does is unknown. So a load that is still in progress when it should be done
either way, or is done before it could be either way, is evidence against that
capacity. Loads needn't begin together, and none needs to be late by much.
"""

from __future__ import annotations

# Concurrency before anything has been observed.
_INITIAL_CONCURRENCY = 4
# Highest capacity that is told apart from higher ones.
_MAX_CONCURRENCY = 32
# Tolerated difference between a load's time and the expected one: the transit
# of its order, and a share of its time for what is unknown about other loads.
_SLACK_MS = 100.0
_SLACK_SHARE = 0.02
# A difference of this share of a load's time counts as evidence of 1, the most
# that one load contributes.
_FULL_EVIDENCE_SHARE = 0.1
# A capacity with at least this evidence against it isn't assumed. Evidence has
# a half-life, as the store may become faster.
_EXCLUSION_THRESHOLD = 0.5
_EVIDENCE_HALF_LIFE_MS = 60_000.0
# A mean number is rounded up if no more than this is missing.
_MEAN_ROUND_UP = 0.25


class _ObservedLoad:
    """A load in progress whose duration is observed.

    Args:
        load_ms: Duration at full speed.
        start_progress_ms: Progress of loads at its start, by capacity.
        max_concurrent: Most loads that may be in progress at its start, itself
            included.
        min_concurrent: Number of those that are known to be.

    Attributes:
        load_ms: Duration at full speed.
        start_progress_ms: Progress of loads at its start, by capacity.
        max_concurrent: Most loads that may be in progress at its start, itself
            included.
        min_concurrent: Number of those that are known to be.
        counted_evidence: Evidence that it has contributed so far, by capacity.
        elapsed_ms: Time since its start.
        load_time_sum_ms: Sum of the time that all loads have been in progress
            since then.
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
        """Returns how many loads surely ran at its start and for most of it."""
        mean = self.load_time_sum_ms / max(1, self.elapsed_ms)
        return min(self.min_concurrent, int(mean + _MEAN_ROUND_UP))


class ConcurrencyEstimator:
    """Estimates how many concurrent loads the store runs at full speed.

    Lists have an entry for each possible capacity of the store; the first is
    that of one load.
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
        """Returns the number of loads to run concurrently.

        One more than the number observed to run at full speed is tried.
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
        """Advances the time since the last call.

        Args:
            under_way: Loads in progress from now on, including those that
                should be done but haven't been observed to be.
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
        """Starts to observe a load from the store.

        A late load is evidence against the number of loads that may be in
        progress with it; one in time is evidence for the number that surely is.

        Args:
            target_id: Identity of the engine.
            load_ms: Duration of the load at full speed.
            max_concurrent: Most loads that may be in progress with it, itself
                included.
            min_concurrent: Number of those that are known to be; all if None.
        """
        self._observed[target_id] = _ObservedLoad(
            load_ms,
            list(self._progress),
            max_concurrent,
            max_concurrent if min_concurrent is None else min_concurrent,
        )

    def discard_load(self, target_id: str) -> None:
        """Stops observing a load whose duration is no evidence."""
        self._observed.pop(target_id, None)

    def on_still_loading(self, target_id: str, ago_ms: float) -> None:
        """Adds the evidence of a load still in progress some time ago."""
        load = self._observed.get(target_id)
        if load is not None:
            # With too high a capacity, the load would be done by then.
            self._add_evidence(load, ago_ms, is_late=True)

    def on_load_done(self, target_id: str) -> None:
        """Adds the evidence of a load that is done by now."""
        load = self._observed.pop(target_id, None)
        if load is None:
            return
        # With too low a capacity, the load wouldn't be done yet.
        self._add_evidence(load, 0.0, is_late=False)
        sustained = min(load.sustained_concurrency(), _MAX_CONCURRENCY)
        if sustained and self._evidence[sustained - 1] < _EXCLUSION_THRESHOLD:
            self._sustained = max(self._sustained, sustained)
            self._proven_concurrency = max(self._proven_concurrency, sustained)

    def is_duration_reliable(self, target_id: str) -> bool:
        """Returns whether a load can be assumed to be done when it should be.

        It can if as many loads as at its start have been observed to run at
        full speed. Otherwise each of them would make way for another one while
        it is still in progress.
        """
        load = self._observed.get(target_id)
        if (
            load is None
            or not 0 < load.max_concurrent <= self._proven_concurrency
        ):
            return False
        return self._evidence[load.max_concurrent - 1] < _EXCLUSION_THRESHOLD

    def left_ms(self, target_id: str) -> float | None:
        """Returns the estimated time that a load will still take.

        Args:
            target_id: Identity of the engine.

        Returns:
            None if it isn't known to be in progress; 0 if it should be done.
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
            index: Capacity of the store, less one.
            ago_ms: How long ago.
            concurrency: Loads in progress at its start, itself included.

        Returns:
            Its progress if all loads share the speed, and if its speed is fixed
            at its start.
        """
        shared_ms = self._progress[index] - load.start_progress_ms[index]
        shared_ms -= ago_ms * self._speed(index)
        fixed_ms = (load.elapsed_ms - ago_ms) * _fixed_speed(concurrency, index)
        return shared_ms, fixed_ms

    @property
    def proven_concurrency(self) -> int:
        """Highest number of concurrent loads observed to run at full speed."""
        return self._proven_concurrency

    def restore(self, concurrency: int, proven: int) -> None:
        """Restores the estimate of the lease holder, for its successor.

        A number that the holder was trying isn't tried any further at first:
        the successor hasn't seen the start of the loads that would tell.

        Args:
            concurrency: Number of loads that it ran concurrently.
            proven: Highest number of concurrent loads that it observed to run
                at full speed.
        """
        if proven:
            concurrency = min(concurrency, proven)
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
            # Otherwise the holder would have tried one more.
            self._sustained = concurrency
            self._evidence[concurrency:] = [1.0] * (
                _MAX_CONCURRENCY - concurrency
            )

    def _speed(self, index: int) -> float:
        """Returns a load's speed if the store's capacity is ``index + 1``."""
        return min(1.0, (index + 1) / max(1, self._under_way))

    def _add_evidence(
        self, load: _ObservedLoad, ago_ms: float, is_late: bool
    ) -> None:
        """Compares a load with what each capacity would lead to.

        Evidence against all of them alike, as of an engine that is slow by
        itself, says nothing about the store and is subtracted.

        Args:
            load: The load.
            ago_ms: Age of the observation.
            is_late: Whether it was still in progress then; otherwise it was
                done.
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
    """Returns a load's speed if the number of loads at its start fixes it."""
    return min(1.0, (index + 1) / concurrency)

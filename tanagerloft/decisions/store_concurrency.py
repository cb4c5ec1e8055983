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
_FIRST_AT_ONCE = 4
# Highest number that is told from a higher one.
_MAX_AT_ONCE = 32
# By how much a load's time may differ from what follows from the others: the
# way of its order, and a part of its time for what is not known of others.
_SLACK_MS = 100.0
_SLACK_SHARE = 0.02
# A difference of this share of a load's time is evidence of 1, the most that
# one load gives.
_WHOLE_EXCESS_SHARE = 0.1
# Evidence against a number from which on it is not used, and the time in which
# it fades to a half: the store may have become faster.
_EXCLUDED_FROM = 0.5
_FADE_HALF_MS = 60_000.0
# A mean number is rounded up if so little is missing.
_MOST_OF_THE_TIME = 0.25


class _Watch:
    """A load under way.

    Args:
        load_ms: Time that it takes at full speed.
        began: Progress of loads at its begin, by number.
        concurrent: Loads that may be under way at its begin, itself included.
        surely: Those of them that are known to be.

    Attributes:
        load_ms: Time that it takes at full speed.
        began: Progress of loads at its begin, by number.
        concurrent: Loads that may be under way at its begin, itself included.
        surely: Those of them that are known to be.
        counted: Evidence that it has already given against each number.
        lasted_ms: Time since its begin.
        sum_ms: Time that all loads have been under way since then.
    """

    def __init__(
        self, load_ms: float, began: list[float], concurrent: int, surely: int
    ):
        self.load_ms = load_ms
        self.began = began
        self.concurrent = concurrent
        self.surely = surely
        self.counted = [0.0] * len(began)
        self.lasted_ms = 0
        self.sum_ms = 0

    def sustained_loads(self) -> int:
        """Returns how many surely were at its begin and most of its time."""
        mean = self.sum_ms / max(1, self.lasted_ms)
        return min(self.surely, int(mean + _MOST_OF_THE_TIME))


class StoreLanes:
    """Loads from the weight store that are worth having under way at once.

    Lists have an entry for each number that the store may take, the first for
    one load.
    """

    def __init__(self):
        self._tried = _FIRST_AT_ONCE - 1
        self._proved = 0
        self._evidence = [0.0] * _MAX_AT_ONCE
        self._progress = [0.0] * _MAX_AT_ONCE
        self._under_way = 0
        self._at_ms: int | None = None
        self._watched: dict[str, _Watch] = {}

    def at_once(self) -> int:
        """Returns the loads to have under way at once.

        One more than have been seen to go at full speed is tried.
        """
        most = min(self._tried + 1, _MAX_AT_ONCE)
        fitting = [
            number
            for number in range(1, most + 1)
            if self._evidence[number - 1] < _EXCLUDED_FROM
        ]
        if fitting:
            return fitting[-1]
        return min(range(1, most + 1), key=lambda n: self._evidence[n - 1])

    def advance(self, under_way: int, now_ms: int) -> None:
        """Counts the time since the last call.

        Args:
            under_way: Loads under way from now on, with those that should be
                done but have not been seen to be.
            now_ms: Reading of the clock.
        """
        if self._at_ms is not None and now_ms > self._at_ms:
            elapsed_ms = now_ms - self._at_ms
            fades = 0.5 ** (elapsed_ms / _FADE_HALF_MS)
            for index in range(_MAX_AT_ONCE):
                self._progress[index] += elapsed_ms * self._speed(index)
                self._evidence[index] *= fades
            for watch in self._watched.values():
                watch.lasted_ms += elapsed_ms
                watch.sum_ms += elapsed_ms * self._under_way
        self._at_ms = now_ms
        self._under_way = under_way

    def begin(
        self,
        target_id: str,
        load_ms: float,
        concurrent: int,
        surely: int | None = None,
    ) -> None:
        """Takes in that an engine begins to load from the store.

        A load that comes late is held against what may be under way with it;
        one in time speaks for what surely is.

        Args:
            target_id: The engine.
            load_ms: Time that the load takes at full speed.
            concurrent: Loads that may be under way with it, itself included.
            surely: Those of them that are known to be; all if None.
        """
        self._watched[target_id] = _Watch(
            load_ms,
            list(self._progress),
            concurrent,
            concurrent if surely is None else surely,
        )

    def forget(self, target_id: str) -> None:
        """Takes in that the load of an engine tells nothing."""
        self._watched.pop(target_id, None)

    def seen_loading(self, target_id: str, ago_ms: float) -> None:
        """Takes in that a load was still under way some time ago."""
        watch = self._watched.get(target_id)
        if watch is not None:
            # Too high a number has it done by then.
            self._add_evidence(watch, ago_ms, later=True)

    def seen_done(self, target_id: str) -> None:
        """Takes in that a load is done by now."""
        watch = self._watched.pop(target_id, None)
        if watch is None:
            return
        # Too low a number does not have it done yet.
        self._add_evidence(watch, 0.0, later=False)
        tried = min(watch.sustained_loads(), _MAX_AT_ONCE)
        if tried and self._evidence[tried - 1] < _EXCLUDED_FROM:
            self._tried = max(self._tried, tried)
            self._proved = max(self._proved, tried)

    def is_on_time(self, target_id: str) -> bool:
        """Returns whether a load can be counted as done when it should be.

        It can if as many loads as at its begin have been seen to go at full
        speed. Else each of them would make room for another one while it is
        still under way.
        """
        watch = self._watched.get(target_id)
        if watch is None or not 0 < watch.concurrent <= self._proved:
            return False
        return self._evidence[watch.concurrent - 1] < _EXCLUDED_FROM

    def left_ms(self, target_id: str) -> float | None:
        """Returns how long a load will still take, by what has been learnt.

        Args:
            target_id: The engine.

        Returns:
            None if it is not known to be under way; 0 if it should be done.
        """
        watch = self._watched.get(target_id)
        if watch is None:
            return None
        index = self.at_once() - 1
        shared_ms, own_ms = self._done_ms(watch, index, 0.0, watch.concurrent)
        return min(
            max(0.0, watch.load_ms - shared_ms) / self._speed(index),
            max(0.0, watch.load_ms - own_ms)
            / _own_speed(watch.concurrent, index),
        )

    def _done_ms(
        self, watch: _Watch, index: int, ago_ms: float, concurrent: int
    ) -> tuple[float, float]:
        """Returns the progress of a load some time ago.

        Args:
            watch: The load.
            index: Loads that the store takes, less one.
            ago_ms: How long ago.
            concurrent: Loads under way at its begin, itself included.

        Returns:
            With a speed that all share, and with one set at its begin.
        """
        shared_ms = self._progress[index] - watch.began[index]
        shared_ms -= ago_ms * self._speed(index)
        own_ms = (watch.lasted_ms - ago_ms) * _own_speed(concurrent, index)
        return shared_ms, own_ms

    @property
    def proved(self) -> int:
        """Loads at once that have been seen to go at full speed."""
        return self._proved

    def on_told(self, at_once: int, proved: int) -> None:
        """Takes in what the holder has learnt, for when this one follows.

        Args:
            at_once: Loads that it had under way at once.
            proved: Loads at once that it has seen to go at full speed.
        """
        at_once = max(1, min(at_once, _MAX_AT_ONCE))
        if at_once == self.at_once() and proved == self._proved:
            return
        self._proved = proved
        self._tried = at_once - 1
        self._evidence = [0.0] * _MAX_AT_ONCE
        if proved >= at_once:
            # Else it would have tried one more.
            self._tried = at_once
            self._evidence[at_once:] = [1.0] * (_MAX_AT_ONCE - at_once)

    def _speed(self, index: int) -> float:
        """Returns the speed of a load if the store takes ``index + 1``."""
        return min(1.0, (index + 1) / max(1, self._under_way))

    def _add_evidence(self, watch: _Watch, ago_ms: float, later: bool) -> None:
        """Compares a load with what each number lets expect.

        Evidence against all of them alike, as of an engine that is slow by
        itself, tells nothing.

        Args:
            watch: The load.
            ago_ms: Age of what is known of it.
            later: Whether it was still under way then; else it was done.
        """
        slack_ms = _SLACK_MS + _SLACK_SHARE * watch.load_ms
        whole_ms = _WHOLE_EXCESS_SHARE * watch.load_ms
        concurrent = watch.concurrent if later else watch.surely
        scores = []
        for index in range(_MAX_AT_ONCE):
            done_ms = self._done_ms(watch, index, ago_ms, concurrent)
            excess_ms = watch.load_ms - max(done_ms)
            if later:
                excess_ms = min(done_ms) - watch.load_ms
            excess_ms -= slack_ms
            scores.append(min(1.0, max(0.0, excess_ms / whole_ms)))
        least = min(scores)
        for index, score in enumerate(scores):
            told = score - least - watch.counted[index]
            if told > 0:
                self._evidence[index] += told
                watch.counted[index] += told


def _own_speed(concurrent: int, index: int) -> float:
    """Returns a load's speed if what was under way at its begin sets it."""
    return min(1.0, (index + 1) / concurrent)

"""Tests of tanagerloft.decisions.store_concurrency with a simulated store."""

import random

import pytest

from tanagerloft.decisions import store_concurrency

_STEP_MS = 50
_LOAD_MS = 6_000
# Maximum age of the state that a report shows, and time between reports.
_REPORT_LAG_MS = 300
_REPORT_INTERVAL_MS = 300


class _Load:
    def __init__(self, now_ms, fixed_speed):
        self.fixed_speed = fixed_speed
        self.left_ms = _LOAD_MS
        self.done_ms = None
        self.assumed_done_ms = now_ms + _LOAD_MS + 30
        self.next_report_ms = self.assumed_done_ms + _REPORT_LAG_MS


class _StoreSimulation:
    """A store with a fixed number of full-speed loads, and its clients."""

    def __init__(self, capacity, estimator=None, load_ms=_LOAD_MS, shared=True):
        self.capacity = capacity
        self._shared = shared
        self.estimator = estimator or store_concurrency.ConcurrencyEstimator()
        self.now_ms = 0
        self.loads = {}
        self.started = 0
        self.finished = 0
        self.peak = 0
        self._load_ms = load_ms
        self._random = random.Random(capacity)
        self._next_start_ms = 0

    def run(self, for_ms):
        for _ in range(for_ms // _STEP_MS):
            self._step()

    def _step(self):
        running = [item for item in self.loads.values() if item.done_ms is None]
        speed = min(1.0, self.capacity / max(1, len(running)))
        self.now_ms += _STEP_MS
        for load in running:
            load.left_ms -= _STEP_MS * (
                speed if self._shared else load.fixed_speed
            )
            if load.left_ms <= 0:
                load.done_ms = self.now_ms
                self.finished += 1
        self.estimator.advance(len(self.loads), self.now_ms)
        for name, load in list(self.loads.items()):
            if self.now_ms >= load.next_report_ms:
                self._report(name, load)
        self.begin_load()

    def _assumed_loading(self):
        """Returns how many loads the lease holder assumes in progress."""
        return sum(
            self.now_ms < load.assumed_done_ms for load in self.loads.values()
        )

    def _report(self, name, load):
        seen_ms = self.now_ms - _REPORT_LAG_MS
        if load.done_ms is not None and load.done_ms <= seen_ms:
            self.estimator.on_load_done(name)
            del self.loads[name]
            return
        load.next_report_ms = self.now_ms + _REPORT_INTERVAL_MS
        load.assumed_done_ms = self.now_ms + 500
        self.estimator.on_still_loading(name, _REPORT_LAG_MS)

    def begin_load(self):
        """Begins the next load if the estimated concurrency allows it."""
        free_slots = self.estimator.concurrency() - self._assumed_loading()
        if free_slots <= 0 or self.now_ms < self._next_start_ms:
            return
        self._next_start_ms = self.now_ms + self._random.choice((50, 150, 700))
        self.started += 1
        name = f"load-{self.started}"
        running = 1 + sum(item.done_ms is None for item in self.loads.values())
        self.loads[name] = _Load(self.now_ms, min(1.0, self.capacity / running))
        self.estimator.begin_load(name, self._load_ms, self._assumed_loading())
        self.estimator.advance(len(self.loads), self.now_ms)
        self.peak = max(self.peak, len(self.loads))


@pytest.mark.parametrize("shared", [True, False])
@pytest.mark.parametrize("capacity", [1, 2, 3, 4, 6, 8, 12])
def test_the_concurrency_at_full_speed_is_found(capacity, shared):
    simulation = _StoreSimulation(capacity, shared=shared)
    simulation.run(120_000)
    assert capacity <= simulation.estimator.concurrency() <= capacity + 1


@pytest.mark.parametrize("shared", [True, False])
def test_partly_overlapping_loads_do_not_raise_the_estimate(shared):
    """Regression: six concurrent loads where four run at full speed.

    Each load took nine seconds.
    """
    simulation = _StoreSimulation(4, shared=shared)
    estimates = []
    for _ in range(240):
        simulation.run(500)
        estimates.append(simulation.estimator.concurrency())
    assert max(estimates) <= 5
    assert sum(estimate == 4 for estimate in estimates) > 0.8 * len(estimates)


def test_the_store_is_used_to_capacity():
    simulation = _StoreSimulation(4)
    simulation.run(120_000)
    assert simulation.finished >= 0.85 * 4 * 120_000 / _LOAD_MS


def test_an_initial_estimate_too_high_is_corrected_within_the_first_loads():
    simulation = _StoreSimulation(2)
    simulation.run(4 * _LOAD_MS)
    assert simulation.estimator.concurrency() <= 3
    simulation.run(4 * _LOAD_MS)
    assert simulation.estimator.concurrency() == 2


def test_a_store_that_becomes_faster_is_noticed():
    simulation = _StoreSimulation(2)
    simulation.run(60_000)
    assert simulation.estimator.concurrency() == 2
    simulation.capacity = 6
    simulation.run(600_000)
    assert simulation.estimator.concurrency() >= 6


def test_a_single_load_is_no_evidence_for_other_concurrencies():
    estimator = store_concurrency.ConcurrencyEstimator()
    estimator.advance(0, 0)
    estimator.begin_load("e", _LOAD_MS, max_concurrent=1)
    estimator.advance(1, 0)
    estimator.advance(0, 3 * _LOAD_MS)
    estimator.on_still_loading("e", 0)
    estimator.on_load_done("e")
    assert estimator.concurrency() == 4


def test_a_successor_restores_the_estimate_of_its_predecessor():
    estimator = store_concurrency.ConcurrencyEstimator()
    estimator.restore(2, 0)
    assert estimator.concurrency() == 2
    simulation = _StoreSimulation(4, estimator)
    simulation.run(60_000)
    assert estimator.concurrency() == 4


def test_restoring_its_own_estimate_discards_nothing():
    simulation = _StoreSimulation(4)
    simulation.run(60_000)
    before = simulation.estimator.concurrency()
    for _ in range(20):
        simulation.estimator.restore(
            simulation.estimator.concurrency(),
            simulation.estimator.proven_concurrency,
        )
        simulation.run(1_000)
    assert simulation.estimator.concurrency() == before == 4


def test_the_time_left_follows_from_the_loads_in_progress():
    estimator = store_concurrency.ConcurrencyEstimator()
    estimator.restore(2, 0)
    estimator.advance(0, 0)
    for index in range(4):
        estimator.begin_load(f"e{index}", _LOAD_MS, max_concurrent=4)
    estimator.advance(4, 0)
    assert estimator.left_ms("e0") == 2 * _LOAD_MS
    estimator.advance(4, _LOAD_MS)
    assert estimator.left_ms("e0") == _LOAD_MS
    estimator.advance(4, 3 * _LOAD_MS)
    assert estimator.left_ms("e0") == 0
    assert estimator.left_ms("e9") is None


def test_a_concurrency_excluded_by_the_predecessor_is_not_tried_soon():
    first = _StoreSimulation(2)
    first.run(60_000)
    estimator = store_concurrency.ConcurrencyEstimator()
    estimator.restore(
        first.estimator.concurrency(), first.estimator.proven_concurrency
    )
    assert estimator.concurrency() == estimator.proven_concurrency == 2
    simulation = _StoreSimulation(2, estimator)
    for _ in range(60):
        simulation.run(500)
        assert estimator.concurrency() == 2


def test_a_successor_runs_no_more_loads_than_were_proven_at_first():
    # Regression: the predecessor was trying three where two run at full speed;
    # the successor ran three for 16 s, each longer than callers wait.
    estimator = store_concurrency.ConcurrencyEstimator()
    estimator.restore(3, 2)
    assert estimator.concurrency() == 2
    simulation = _StoreSimulation(4, estimator)
    simulation.run(120_000)
    assert estimator.concurrency() == 4


def test_loads_that_may_have_ended_prove_nothing():
    """Regression: six loads counted as proven where five run at full speed."""
    estimator = store_concurrency.ConcurrencyEstimator()
    estimator.advance(0, 0)
    estimator.begin_load("e", _LOAD_MS, max_concurrent=3, min_concurrent=2)
    estimator.advance(3, 0)
    estimator.advance(0, _LOAD_MS + 100)
    estimator.on_load_done("e")
    assert estimator.proven_concurrency == 2

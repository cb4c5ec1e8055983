"""Fuzzing of the configuration in force on a virtual clock.

Two instances watch one row: the lease holder, whose status lets the other
instance skip its own reading, and a follower. The store fails for either
instance, changes occur at any time, and status messages are lost. The oracle:
a version never decreases; an instance that reaches the store applies a change
in time; no instance considers a key current that was withdrawn too long ago.
"""

import asyncio
import os
import random

import pytest

from tanagerloft.coordination import configuration
from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.fleet import types

_RUNS = int(os.environ.get("EXAMPLES", "100")) // 5
_STEPS = 60
_APPLY_MS = 2_000
_WITHDRAWAL_MS = 5_000
_KEY_PROOF_MS = 4_000
_STORE_DELAY_MS = 5
_REPORT_MS = 100
_RECOVERY_MS = 3_000


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only from timer to timer."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 100.0

    def time(self) -> float:
        return self._virtual_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            due_s = self._scheduled[0].when()
            self._virtual_s = max(self._virtual_s, due_s)
        super()._run_once()


class _Row:
    """The configuration row written by the operator."""

    def __init__(self):
        self.version = 1
        self.changed = asyncio.Event()

    def change(self) -> None:
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()


class _Store:
    """Store client of one instance."""

    def __init__(self, row: _Row):
        self._row = row
        self.down = False

    async def scan(self, _table):
        await asyncio.sleep(_STORE_DELAY_MS / 1_000)
        return self._answer()

    async def changes(self, _table, after, wait_ms):
        await asyncio.sleep(_STORE_DELAY_MS / 1_000)
        if self._row.version <= after and wait_ms and not self.down:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._row.changed.wait()
            except TimeoutError:
                pass
        return self._answer()

    def _answer(self):
        if self.down:
            return errors.StoreError(errors.StoreFailure.NOT_DONE, "down")
        version = self._row.version
        value = str(version).encode()
        return store_lib.Snapshot(
            (store_lib.Row("c", value, version),), version
        )


def _decode(value: bytes):
    return types.Configuration(int(value), {}, {}, {}, {}, types.CallerLimits())


class _Simulation:
    """A lease holder and a follower, with random changes and faults."""

    def __init__(self, ignore_proof_age: bool):
        loop = asyncio.get_running_loop()
        self.now_ms = lambda: int(loop.time() * 1_000)
        self.row = _Row()
        self.stores = [_Store(self.row), _Store(self.row)]
        self.watchers = [
            configuration.ConfigurationWatcher(
                store,
                "t",
                "c",
                _decode,
                self.now_ms,
                lambda _: None,
                _KEY_PROOF_MS,
                _APPLY_MS,
            )
            for store in self.stores
        ]
        self._ignore_proof_age = ignore_proof_age
        self.reachable_since_ms = [self.now_ms()] * 2
        # Creation time of each version.
        self.created_ms = {1: self.now_ms()}
        self.versions = [0, 0]
        self.views_arrive = True

    async def send_views(self) -> None:
        """Sends the holder's status to the follower, as views do."""
        holder, follower = self.watchers
        while True:
            await asyncio.sleep(_REPORT_MS / 1_000)
            if self.views_arrive and holder.current is not None:
                age_ms = self.now_ms() - holder.proved_ms
                if self._ignore_proof_age:
                    age_ms = 0
                follower.on_proof(holder.version, age_ms, self.now_ms() - 2)

    def check(self) -> None:
        now_ms = self.now_ms()
        for index, watcher in enumerate(self.watchers):
            assert watcher.version >= self.versions[index]
            self.versions[index] = watcher.version
            next_ms = self.created_ms.get(watcher.version + 1)
            if next_ms is None:
                continue
            lag_ms = now_ms - next_ms
            if watcher.current and watcher.keys_are_current(now_ms):
                assert lag_ms < _WITHDRAWAL_MS
            # Holds for an instance that has been able to reach the store for
            # _RECOVERY_MS.
            since_ms = self.reachable_since_ms[index] + _RECOVERY_MS
            assert lag_ms <= _APPLY_MS or next_ms < since_ms

    def step(self, rng: random.Random) -> None:
        event = rng.choice(
            ("change", "down", "up", "silent", "tells", "pass", "pass")
        )
        if event == "change":
            self.row.change()
            self.created_ms[self.row.version] = self.now_ms()
        elif event in ("down", "up"):
            index = rng.randrange(2)
            down = event == "down"
            if not down and self.stores[index].down:
                self.reachable_since_ms[index] = self.now_ms()
            if down:
                self.reachable_since_ms[index] = 10**12
            self.stores[index].down = down
        elif event in ("silent", "tells"):
            self.views_arrive = event == "tells"


async def _simulate(seed: int, ignore_proof_age: bool = False) -> None:
    rng = random.Random(seed)
    simulation = _Simulation(ignore_proof_age)
    loop = asyncio.get_running_loop()
    runs = [watcher.run() for watcher in simulation.watchers]
    tasks = [loop.create_task(run) for run in (*runs, simulation.send_views())]
    try:
        for _ in range(_STEPS):
            await asyncio.sleep(rng.choice((0.02, 0.3, 1.1, 3.0)))
            simulation.check()
            simulation.step(rng)
    finally:
        for task in tasks:
            task.cancel()


def _run(seed: int, ignore_proof_age: bool = False) -> None:
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        runner.run(_simulate(seed, ignore_proof_age))


def test_oracle_detects_proofs_of_any_age():
    # Flaw: the holder's status counts as new regardless of the age of its
    # own reading.
    with pytest.raises(AssertionError):
        for seed in range(200):
            _run(seed, ignore_proof_age=True)


@pytest.mark.parametrize("seed", range(_RUNS))
def test_versions_and_keys_are_current(seed):
    _run(seed)

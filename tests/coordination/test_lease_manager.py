"""Who takes a free lease."""

import asyncio

import orjson
import pytest

from tanagerloft.coordination import errors
from tanagerloft.coordination import lease_manager
from tanagerloft.coordination import store as store_lib
from tanagerloft.decisions import handover
from tanagerloft.decisions import order_lease


class _Store:
    """Store with one row."""

    def __init__(self):
        self.version = 0
        self.value: bytes | None = None
        self.reads = 0
        self.down = False

    async def read(self, _table, key):
        self.reads += 1
        if self.down:
            return errors.StoreError(errors.StoreFailure.NOT_DONE, "down")
        return store_lib.Row(key, self.value, self.version)

    async def write(self, _table, _key, value, expected_version):
        if self.down:
            return errors.StoreError(errors.StoreFailure.NOT_DONE, "down")
        if expected_version == self.version:
            self.version += 1
            self.value = value
        return store_lib.Written(self.version)


class _Legacy:
    """A holder without accounts, which leaves what it is told to."""

    left = handover.EMPTY

    def handover_state(self, _term):
        return self.left

    def next_promises(self, term):
        return term.promises

    def on_promised(self, term):
        pass

    def last_promises(self):
        return {}


def _keeper(
    store: _Store,
    lease: order_lease.OrderLease,
    now_ms,
    heard_ms: int = 0,
    report_pause_ms: int = 100,
    small: bool = False,
) -> lease_manager.LeaseManager:
    return lease_manager.LeaseManager(
        store,
        lease,
        now_ms,
        lambda: heard_ms,
        lambda: False,
        lambda: report_pause_ms,
        0,
        small,
        _Legacy(),
    )


def _lease(name: str, held_by: str = "", at_ms: int = 0):
    """Returns the lease as an instance sees it, which another may hold."""
    lease = order_lease.OrderLease(name, "1", f"{name}:1", 3_000, 3_000)
    if held_by:
        term = order_lease.Term(held_by, "1", "o:1", 1, True, False, {})
        lease.on_row(1, term, at_ms)
    return lease


@pytest.mark.parametrize(
    ("processors", "link_mbps", "small"),
    [(1.07, 1_000, False), (2.15, 200, False), (0.516, 10, True), (2, 5, True)],
)
def test_small_instances(processors, link_mbps, small):
    assert lease_manager.is_small(processors, link_mbps) is small


def test_a_small_instance_leaves_a_free_lease_to_a_large_one():
    # A holder on a link of 10 Mbit/s could not answer a fleet of 76.
    async def play():
        store = _Store()
        loop = asyncio.get_running_loop()
        keepers = {}
        leases = {}
        for name, small in (("small", True), ("large", False)):
            leases[name] = lease = _lease(name)
            keepers[name] = _keeper(
                store, lease, lambda: int(loop.time() * 1_000), small=small
            )
        tasks = [loop.create_task(keepers["small"].run())]
        await asyncio.sleep(0)
        tasks.append(loop.create_task(keepers["large"].run()))
        while store.value is None:
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        assert leases["large"].is_mine
        assert not leases["small"].is_mine

    asyncio.run(asyncio.wait_for(play(), 60))


def test_a_small_instance_takes_the_lease_if_nobody_else_does():
    async def play():
        store = _Store()
        loop = asyncio.get_running_loop()
        lease = _lease("small")
        keeper = _keeper(
            store, lease, lambda: int(loop.time() * 1_000), small=True
        )
        task = loop.create_task(keeper.run())
        while not lease.is_mine:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize(
    ("report_pause_ms", "silent_ms", "reads"),
    [
        (100, 800, False),
        (100, 1_000, True),
        # At 195 instances one answer in a second is all there is.
        (975, 1_100, False),
        (975, 2_300, False),
        (975, 2_600, True),
        # At 380, still sooner than the lease could be free.
        (1_900, 2_600, True),
    ],
)
def test_the_row_is_read_after_a_silence_that_fits_the_reports(
    report_pause_ms, silent_ms, reads
):
    async def play():
        store = _Store()
        keeper = _keeper(
            store,
            _lease("b", held_by="a", at_ms=10_000),
            lambda: 10_000 + silent_ms,
            heard_ms=10_000,
            report_pause_ms=report_pause_ms,
        )
        task = asyncio.get_running_loop().create_task(keeper.run())
        await asyncio.sleep(0.05)
        task.cancel()
        assert bool(store.reads) is reads

    asyncio.run(play())


def test_a_small_instance_leaves_the_lease_to_others_after_an_outage_too():
    # Seen on gcd-vigia-grown: a link of a few Mbit/s took the lease as soon as
    # the store was back, as it had waited during the outage.
    async def play():
        store = _Store()
        store.down = True
        clock = [10_000]
        lease = _lease("small", held_by="gone")
        keeper = _keeper(store, lease, lambda: clock[0], small=True)
        task = asyncio.get_running_loop().create_task(keeper.run())

        async def reads_again() -> None:
            seen = store.reads
            while store.reads == seen:
                clock[0] += 100
                await asyncio.sleep(0.01)

        for _ in range(5):
            await reads_again()
        store.down = False
        store.version, store.value = 1, b""
        await reads_again()
        await asyncio.sleep(0)
        assert not lease.is_mine
        while not lease.is_mine:
            clock[0] += 100
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(asyncio.wait_for(play(), 60))


def test_the_row_is_read_as_soon_as_its_holder_gives_up():
    # Seen on gcd-vigia-grown: the holder stopped and said so, and the others
    # went on waiting for its silence.
    async def play():
        store = _Store()
        lease = _lease("b", held_by="a", at_ms=10_000)
        store.version, store.value = 1, b""
        lease.on_reported_free(1, 10_100)
        keeper = _keeper(store, lease, lambda: 10_100, heard_ms=10_100)
        task = asyncio.get_running_loop().create_task(keeper.run())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert lease.is_mine
        task.cancel()

    asyncio.run(play())


def test_a_lease_is_read_as_soon_as_it_may_be_free():
    """Readings half a second apart left it free for up to 0.8 s more."""

    async def play():
        store = _Store()
        lease = _lease("b", held_by="a", at_ms=10_000)
        clock = [12_900]
        store.version, store.value = 1, b""
        keeper = _keeper(store, lease, lambda: clock[0], heard_ms=10_000)
        task = asyncio.get_running_loop().create_task(keeper.run())
        while not store.reads:
            await asyncio.sleep(0.01)
        clock[0] = 13_000
        while not lease.is_mine:
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(asyncio.wait_for(play(), 60))


def test_a_holder_that_is_pressed_renews_sooner_but_not_all_the_time():
    async def play():
        store = _Store()
        clock = [10_000]
        lease = _lease("a")
        keeper = _keeper(store, lease, lambda: clock[0])
        task = asyncio.get_running_loop().create_task(keeper.run())
        while not lease.is_mine:
            await asyncio.sleep(0.01)
        clock[0] += 1
        await asyncio.sleep(0.15)
        written = store.version
        clock[0] += 100
        for _ in range(20):
            keeper.renew_soon()
        while store.version == written:
            await asyncio.sleep(0.01)
        for _ in range(20):
            keeper.renew_soon()
            await asyncio.sleep(0.005)
        # The clock stands still, so nothing is due again.
        assert store.version == written + 1
        task.cancel()

    asyncio.run(asyncio.wait_for(play(), 60))


def test_what_a_holder_has_learnt_is_read_by_the_next_one():
    async def play():
        store = _Store()
        now_ms = 10_000
        load = handover.StoreLoad("e", 1, "n", 400, 5_600)
        learnt = handover.HandoverState(2, 2, {"m": (3.5, 900)}, [load])
        first = _keeper(store, _lease("a"), lambda: now_ms)
        first._handover.left = learnt
        lease = _lease("b")
        second = _keeper(store, lease, lambda: now_ms)
        for keeper, ms in ((first, 10_000), (second, 10_000), (second, 20_000)):
            now_ms = ms
            task = asyncio.get_running_loop().create_task(keeper.run())
            await asyncio.sleep(0.01)
            task.cancel()
        assert lease.is_mine
        at_once, proved, missed, loads = lease.inherited_state
        assert (at_once, proved) == (2, 2)
        assert {k: tuple(v) for k, v in missed.items()} == {"m": (3.5, 900)}
        assert loads == [load]
        assert lease.inherited_ms <= 10_100

    asyncio.run(play())


def test_fields_of_a_later_version_of_the_program_are_ignored():
    fields = {**handover.encode(handover.EMPTY), "later": 1}
    assert handover.decode(fields) == handover.EMPTY._replace(loads=[])


def test_a_row_of_an_earlier_version_of_the_program_is_read():
    async def play():
        store = _Store()
        old = order_lease.Term("o", "1", "o:1", 1, True, False, {})._asdict()
        del old["learnt"]
        store.value, store.version = orjson.dumps(old), 1
        lease = order_lease.OrderLease("a", "1", "a:1", 3_000, 3_000)
        keeper = _keeper(store, lease, lambda: 10_000)
        task = asyncio.get_running_loop().create_task(keeper.run())
        await asyncio.sleep(0.01)
        task.cancel()
        assert lease.term.learnt == handover.EMPTY

    asyncio.run(play())

"""Verdicts on prompt parts in the store."""

import asyncio

import pytest

from tanagerloft.coordination import errors
from tanagerloft.coordination import prompt_verdicts
from tanagerloft.coordination import store as store_lib
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import prompt_evidence
from tests.support import engines
from tests.support import virtual_loop

_UNAVAILABLE = errors.StoreError(errors.StoreFailure.NOT_DONE, "down")


class _Store:
    """A store with one row."""

    def __init__(self, value: bytes | None = None):
        self.value = value
        self.version = 1 if value is not None else 0
        self.down = False
        self.writes = 0

    async def read(self, _table, key):
        if self.down:
            return _UNAVAILABLE
        return store_lib.Row(key, self.value, self.version)

    async def write(self, _table, _key, value, expected_version):
        self.writes += 1
        if self.down:
            return _UNAVAILABLE
        if expected_version != self.version:
            return errors.StoreError(errors.StoreFailure.CONFLICT, "newer")
        self.value, self.version = value, self.version + 1
        return store_lib.Written(self.version)


def _run(store: _Store, work, is_holder: bool = True) -> None:
    """Runs the task beside ``work(evidence)``."""
    evidence = prompt_evidence.PartEvidence()
    lease = order_lease.OrderLease("a", "1", "a:1", 1_500, 3_000)
    if is_holder:
        lease = engines.held_lease()

    async def run():
        verdicts = prompt_verdicts.PromptVerdicts(
            store, evidence, lease, virtual_loop.now_ms
        )
        task = asyncio.create_task(verdicts.run())
        await work(evidence)
        assert not task.done()
        task.cancel()

    virtual_loop.run(run())


def test_verdicts_are_read_at_the_start_also_after_an_outage():
    store = _Store(b'["p"]')
    store.down = True

    async def work(evidence):
        await asyncio.sleep(2)
        assert evidence.barred == []
        store.down = False
        await asyncio.sleep(1)
        assert evidence.barred == ["p"]

    _run(store, work)


@pytest.mark.parametrize("value", [None, b"", b"{}", b"7", b"[1, null]"])
def test_an_unreadable_row_holds_no_verdicts(value):
    async def work(evidence):
        await asyncio.sleep(1)
        assert evidence.barred == []

    _run(_Store(value), work)


def test_the_holder_writes_changes_of_verdicts():
    store = _Store()

    async def work(evidence):
        await asyncio.sleep(1)
        evidence.on_verdicts(1, ["p"], ["p"])
        await asyncio.sleep(1)
        assert store.value == b'["p"]'
        evidence.on_verdicts(2, [], [])
        await asyncio.sleep(1)
        assert store.value == b"[]"
        assert store.writes == 2

    _run(store, work)


def test_a_change_is_written_after_a_conflict():
    store = _Store()

    async def work(evidence):
        await asyncio.sleep(1)
        store.value, store.version = b'["q"]', 9
        evidence.on_verdicts(1, ["p"], ["p"])
        await asyncio.sleep(3)
        assert store.value == b'["p"]'

    _run(store, work)


def test_other_instances_write_nothing():
    store = _Store()

    async def work(evidence):
        evidence.on_verdicts(1, ["p"], ["p"])
        await asyncio.sleep(3)
        assert store.writes == 0

    _run(store, work, is_holder=False)

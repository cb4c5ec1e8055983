"""Records of streams in the store, while calls fail and processes restart."""

import asyncio
import json

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import stream_versions
from tanagerloft.coordination import target_entries
from tanagerloft.decisions import order_lease
from tanagerloft.platform import configuration
from tanagerloft.platform import entries
from tanagerloft.util import loops
from tests.support import users_platform
from tests.support import virtual_loop

_CALL_MS = 4
_LOST = errors.StoreError(errors.StoreFailure.UNKNOWN, "timeout")
_EXPIRES_MS = 10**9


class _Store:
    """Store in memory.

    Attributes:
        late_ms: Delay after which a write whose response is lost takes effect,
            None while responses arrive.
    """

    def __init__(self):
        self.rows: dict[str, tuple[int, bytes]] = {}
        self.version = 0
        self.era = 0
        self.late_ms: int | None = None

    async def read(self, _table, key):
        await loops.sleep(_CALL_MS)
        version, value = self.rows.get(key, (0, None))
        return store_lib.Row(key, value, version)

    async def scan(self, _table):
        return await self.changes(_table, 0, 0)

    async def changes(self, _table, after_version, _wait_ms):
        await loops.sleep(_CALL_MS)
        if after_version > self.version:
            return errors.StoreError(errors.StoreFailure.HISTORY_LOST, "gone")
        rows = tuple(
            store_lib.Row(key, value, version)
            for key, (version, value) in self.rows.items()
            if version > after_version
        )
        return store_lib.Snapshot(rows, self.version, self.era)

    async def write(self, _table, key, value, expected_version):
        await loops.sleep(_CALL_MS)
        if self.late_ms is not None:
            loops.call_later(
                self.late_ms, lambda: self._put(key, value, expected_version)
            )
            return _LOST
        return self._put(key, value, expected_version)

    def _put(self, key, value, expected_version):
        if self.rows.get(key, (0, b""))[0] != expected_version:
            return errors.StoreError(errors.StoreFailure.CONFLICT, "newer")
        self.version += 1
        self.rows[key] = (self.version, value)
        return store_lib.Written(self.version, self.era)


class _Process:
    """One process of an instance; holds the lease if told so."""

    def __init__(self, store: _Store, name: str, holder: bool = False):
        self.targets = target_entries.TargetEntries(entries.decode_entry)
        lease = order_lease.OrderLease(name, "1", f"{name}:1", 1_500, 3_000)
        lease.is_holder = lambda _now_ms: holder
        self.versions = stream_versions.StreamVersions(
            store,
            name,
            self.targets,
            lease,
            virtual_loop.now_ms,
            virtual_loop.now_ms,
        )
        content = json.dumps(users_platform.configuration())
        decoded = configuration.decode(content.encode())
        self.versions.configure(decoded)
        self._tasks = [
            asyncio.create_task(self.versions.run_reads()),
            asyncio.create_task(self.versions.run_writes()),
        ]

    def list_targets(self, *software_versions: str) -> None:
        rows = [
            store_lib.Row(f"t{n}", _entry(version), n + 1)
            for n, version in enumerate(software_versions)
        ]
        snapshot = store_lib.Snapshot(tuple(rows), virtual_loop.now_ms() + 9)
        self.targets.by_target.clear()
        self.targets.on_rows(snapshot, complete=True)
        for row in rows:
            entry = entries.decode_entry(row.key, row.value)
            self.targets.by_target[row.key] = entry

    async def record(self, stream_id: str, version: str) -> bool:
        done = asyncio.get_running_loop().create_future()
        self.versions.record(stream_id, version, _EXPIRES_MS, done.set_result)
        return await done

    async def look_up(self, stream_id: str | None) -> str | None:
        done = asyncio.get_running_loop().create_future()
        self.versions.look_up(stream_id, "engines", done.set_result)
        return await done

    def kill(self) -> None:
        for task in self._tasks:
            task.cancel()


def _entry(version: str) -> bytes:
    entry = {
        "service": "engines",
        "address": "10.0.0.1:80",
        "state": "ready",
        "version": version,
        "born": 1,
    }
    return json.dumps(entry).encode()


async def _start(store: _Store, base: str = "v1") -> _Process:
    """Starts a process that holds the lease and writes the base version."""
    process = _Process(store, "i0", holder=True)
    process.list_targets(base)
    await loops.sleep(2_500)
    assert process.versions.base_version("engines") == base
    return process


def test_a_record_outlives_the_process_and_the_next_one_of_its_instance():
    async def run():
        store = _Store()
        await _start(store)
        for number in range(3):
            process = _Process(store, "i1")
            assert await process.record(f"a-{number}", "v2")
            process.kill()
        other = _Process(store, "i2")
        for number in range(3):
            assert await other.look_up(f"a-{number}") == "v2"
        assert await other.look_up("a-9") == "v1"

    virtual_loop.run(run())


def test_a_late_write_of_an_earlier_process_loses_no_record():
    async def run():
        store = _Store()
        await _start(store)
        earlier = _Process(store, "i1")
        assert await earlier.record("a-0", "v2")
        store.late_ms = 700
        lost = asyncio.create_task(earlier.record("a-1", "v2"))
        await loops.sleep(200)
        earlier.kill()
        lost.cancel()
        store.late_ms = None
        process = _Process(store, "i1")
        await loops.sleep(1_000)
        assert await process.record("a-2", "v2")
        other = _Process(store, "i2")
        found = [await other.look_up(f"a-{n}") for n in range(3)]
        assert found == ["v2", "v2", "v2"]

    virtual_loop.run(run())


def test_a_record_is_only_confirmed_once_it_is_in_the_store():
    async def run():
        store = _Store()
        process = await _start(store)
        store.late_ms = 300
        record = asyncio.create_task(process.record("a-0", "v2"))
        await loops.sleep(200)
        assert not record.done()
        await loops.sleep(2_000)
        assert not await record
        assert not process.versions.can_record
        store.late_ms = None
        await loops.sleep(1_000)
        assert process.versions.can_record
        assert await process.record("a-1", "v2")

    virtual_loop.run(run())


def test_records_are_written_again_after_a_restore_of_the_store():
    async def run():
        store = _Store()
        await _start(store)
        process = _Process(store, "i1")
        await loops.sleep(100)
        copy = (store.version, dict(store.rows))
        assert await process.record("a-0", "v2")
        store.version, store.rows = copy
        store.era = 1
        other = _Process(store, "i2")
        await loops.sleep(11_000)
        assert await other.look_up("a-0") == "v2"

    virtual_loop.run(run())


def test_a_caller_that_names_no_attempt_is_only_served_without_records():
    async def run():
        store = _Store()
        await _start(store)
        process = _Process(store, "i1")
        assert await process.look_up(None) == "v1"
        assert await process.record("a-0", "v2")
        assert await process.look_up(None) is None

    virtual_loop.run(run())


def test_no_process_relies_on_a_base_version_that_may_have_changed():
    async def run():
        store = _Store()
        holder = await _start(store)
        process = _Process(store, "i1")
        await loops.sleep(100)
        assert not process.versions.needs_record("a-0", "engines", "v1")
        # This process reads nothing any more, but goes on serving.
        process.kill()
        holder.list_targets("v2")
        while holder.versions.base_version("engines") == "v1":
            await loops.sleep(1_000)
        assert holder.versions.base_version("engines") == "v2"
        assert process.versions.needs_record("a-1", "engines", "v1")

    virtual_loop.run(run())

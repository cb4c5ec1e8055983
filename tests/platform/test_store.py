"""Client of the platform's store, over the wire."""

import asyncio

import pytest

from tanagerloft.coordination import errors
from tanagerloft.coordination import table_reader
from tanagerloft.net import connection_pool
from tanagerloft.platform import store
from tanagerloft.util import store_versions
from tests.support import users_platform


def _run(test) -> None:
    async def run():
        standin = users_platform.StoreStandin()
        writers = []

        async def serve(reader, writer):
            writers.append(writer)
            await standin.serve(reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        client = store.Store(connection_pool.Pool(lambda: 0), address)
        async with server:
            await asyncio.wait_for(test(standin, client), 20)
            for writer in writers:
                writer.close()
                await writer.wait_closed()

    asyncio.run(run())


def test_snapshots_name_the_era_of_the_store():
    async def test(standin, client):
        standin.put("t", "a", 1)
        assert (await client.scan("t")).era == 0
        standin.restore(standin.copy(), "3")
        assert (await client.scan("t")).era == 3
        assert (await client.changes("t", 0, 0)).era == 3

    _run(test)


@pytest.mark.parametrize("era", [None, "", "x", "-1", "1.5", "9" * 30])
def test_a_malformed_era_is_ignored(era):
    async def test(standin, client):
        standin.put("t", "a", 1)
        standin.restore(standin.copy(), "2")
        await client.scan("t")
        standin.restore(standin.copy(), era)
        assert (await client.scan("t")).era == 2

    _run(test)


def test_a_late_response_of_an_earlier_era_is_not_read():
    async def test(standin, client):
        reader = table_reader.TableReader(client, "t")
        copy = standin.copy()
        standin.put("t", "a", 1)
        standin.restore(copy, "2")
        assert (await reader.read(0)).era == 2
        standin.put("t", "a", 1)
        standin.era = "1"
        assert await reader.read(0) is None
        assert reader.failures == 1
        standin.era = "2"
        found = await reader.read(0)
        assert [row.key for row in found.rows] == ["a"]
        assert not reader.failures

    _run(test)


def test_a_reader_misses_no_change_when_versions_are_given_out_again():
    async def test(standin, client):
        reader = table_reader.TableReader(client, "t")
        copy = standin.copy()
        standin.put("t", "a", 1)
        standin.put("t", "b", 1)
        await reader.read(0)
        standin.restore(copy, "1")
        standin.put("t", "c", 1)
        standin.put("t", "d", 1)
        standin.put("t", "e", 1)
        assert await reader.read(0) is None
        assert reader.is_full_scan
        assert not reader.failures
        found = await reader.read(0)
        assert [row.key for row in found.rows] == ["c", "d", "e"]

    _run(test)


def test_a_version_that_the_store_no_longer_has_needs_a_scan():
    async def test(standin, client):
        copy = standin.copy()
        standin.put("t", "a", 1)
        standin.restore(copy, "1")
        found = await client.changes("t", 1, 0)
        assert isinstance(found, errors.StoreError)
        assert found.failure is errors.StoreFailure.HISTORY_LOST

    _run(test)


def test_versions_rise_over_eras():
    later = store_versions.join_era(2, 5)
    assert (
        later
        > store_versions.join_era(1, 900)
        > store_versions.join_era(0, 2**40)
    )
    assert store_versions.split_era(later) == (2, 5)
    assert store_versions.join_era(0, 7) == 7

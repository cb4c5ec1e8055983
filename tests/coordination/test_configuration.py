"""Reading the configuration over links of limited rate."""

import asyncio

import pytest

from tanagerloft.coordination import configuration as configuration_lib
from tanagerloft.platform import configuration as platform_configuration
from tanagerloft.platform import store as store_lib
from tests.support import store_link
from tests.support import users_platform
from tests.support import virtual_loop

# Rate of a response over a link of 10 Mbit/s with small windows.
_SLOW_LINK_BYTES_PER_MS = 550
_APPLY_MS = 3_000
_KEY_PROOF_MS = 4_000


def _configuration(version: int, route_count: int) -> dict:
    content = users_platform.configuration(version=version)
    first = content["routes"][0]
    content["routes"] += [
        {**first, "name": f"route-{number:09}", "prefix": f"/{number:09}/"}
        for number in range(route_count)
    ]
    return content


class _Instance:
    """Watcher of the configuration behind a link."""

    def __init__(self, rate_bytes_per_ms=_SLOW_LINK_BYTES_PER_MS):
        self.standin = users_platform.StoreStandin()
        self.link = store_link.StoreLink(self.standin, rate_bytes_per_ms)
        self.watcher = configuration_lib.ConfigurationWatcher(
            store_lib.Store(self.link, ("10.0.0.1", 1)),
            "op",
            "config",
            platform_configuration.decode,
            virtual_loop.now_ms,
            lambda _: None,
            _KEY_PROOF_MS,
            _APPLY_MS,
        )

    def put(self, version: int, route_count: int) -> None:
        self.standin.put("op", "config", _configuration(version, route_count))

    def announce(self, version: int) -> None:
        self.watcher.on_proof(version, 0, virtual_loop.now_ms())

    def keys_are_current(self) -> bool:
        return self.watcher.keys_are_current(virtual_loop.now_ms())


def _run(test, **kwargs) -> None:
    async def run():
        instance = _Instance(**kwargs)
        instance.put(1, 10)
        task = asyncio.create_task(instance.watcher.run())
        await asyncio.sleep(1)
        assert instance.watcher.version == 1
        await test(instance)
        task.cancel()

    virtual_loop.run(run())


@pytest.mark.parametrize("announced", [False, True])
@pytest.mark.parametrize("route_count", [1_500, 2_500, 3_500, 4_500])
def test_a_large_configuration_is_in_force_in_time_over_a_slow_link(
    route_count, announced
):
    async def test(instance):
        instance.put(2, route_count)
        if announced:
            await asyncio.sleep(0.1)
            instance.announce(2)
        await asyncio.sleep(_APPLY_MS / 1_000)
        assert instance.watcher.version == 2
        assert instance.link.cut_bytes == 0

    _run(test)


def test_keys_stay_accepted_while_a_large_configuration_is_read():
    async def test(instance):
        instance.put(2, 3_500)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert instance.keys_are_current()

    _run(test)


def test_a_large_configuration_is_read_after_a_start():
    async def run():
        instance = _Instance()
        instance.put(1, 3_500)
        task = asyncio.create_task(instance.watcher.run())
        await asyncio.sleep(_APPLY_MS / 1_000)
        assert instance.watcher.version == 1
        task.cancel()

    virtual_loop.run(run())


def test_word_of_a_newer_version_does_not_discard_what_is_being_read():
    async def test(instance):
        instance.put(2, 2_500)
        for _ in range(20):
            instance.announce(2)
            await asyncio.sleep(0.1)
        assert instance.watcher.version == 2
        scans = [call for call in instance.standin.calls if "rows-get" in call]
        assert len(scans) == 1

    _run(test)

"""What callers get of an instance that knows of a newer configuration."""

import pytest

from tests.support import users_platform


def _announce(platform, version: int) -> None:
    configuration = platform.instance.control.configuration
    now_ms = platform.instance.gateway.now_ms()
    configuration.on_proof(version, 0, now_ms)


def _publish(platform, version: int) -> None:
    content = users_platform.configuration(version=version)
    route = {**content["routes"][0], "name": "new", "prefix": "/new/"}
    content["routes"].append(route)
    content["tenants"][0]["api_keys"].append("key-new")
    platform.store.put("op", "config", content)


@pytest.mark.parametrize(
    ("path", "headers"),
    [("/new/x", {}), ("/safe/x", {"Authorization": "Bearer key-new"})],
)
def test_what_a_newer_configuration_may_allow_is_not_refused_for_good(
    path, headers
):
    async def test(platform):
        await platform.add_target(users_platform.respond_ok)
        platform.store.down = True
        _announce(platform, 2)
        data = await platform.call("GET", path, **headers)
        assert users_platform.status(data) == 503
        assert b"configuration_outdated" in data
        assert b"Retry-After" in data
        data = await platform.call("GET", "/safe/x")
        assert users_platform.status(data) == 200

        platform.store.down = False
        _publish(platform, 2)

        async def served() -> bool:
            data = await platform.call("GET", path, **headers)
            return users_platform.status(data) == 200

        await platform.eventually(served)
        data = await platform.call("GET", "/none/x")
        assert users_platform.status(data) == 404

    users_platform.run(test)


def test_nothing_is_served_by_a_version_that_should_have_been_replaced():
    async def test(platform):
        await platform.add_target(users_platform.respond_ok)
        platform.store.down = True
        _announce(platform, 2)

        async def refused() -> bool:
            data = await platform.call("GET", "/free/x")
            return b"configuration_outdated" in data

        await platform.eventually(refused)
        ready = await platform.call("GET", "/tanagerloft/ready", port="ready")
        assert users_platform.status(ready) == 503

        platform.store.down = False
        _publish(platform, 2)

        async def served() -> bool:
            data = await platform.call("GET", "/free/x")
            return users_platform.status(data) == 200

        await platform.eventually(served)

    users_platform.run(test)

"""Targets that say how many requests a second they take from all instances."""

from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from tests.support import gateway_fleet
from tests.support import virtual_loop

_NAMED_MS = 5_000


def _naming(limit_per_s: float) -> Callable[[int], float | None]:
    return lambda at_ms: limit_per_s if at_ms >= _NAMED_MS else None


def _play(
    fleet: gateway_fleet.GatewayFleet,
    work: Callable[[gateway_fleet.GatewayFleet], Awaitable[None]],
) -> None:
    async def play():
        await fleet.start()
        await work(fleet)
        await fleet.close()

    virtual_loop.run(play())


@pytest.mark.parametrize("limit_per_s", [1, 5, 50])
@pytest.mark.parametrize("instances", [2, 7, 30])
def test_instances_together_keep_to_the_limit_that_a_target_names(
    instances, limit_per_s
):
    target = gateway_fleet.Target("t1", _naming(limit_per_s))
    fleet = gateway_fleet.GatewayFleet(instances, [target], seed=1)
    _play(fleet, lambda _: fleet.press(3 * limit_per_s + 8, 30_000))
    assert len(target.arrivals) > 50
    assert target.excess(_NAMED_MS) <= 0

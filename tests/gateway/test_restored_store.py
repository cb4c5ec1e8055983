"""A store that comes back from an older copy, and what the fleet does then."""

import asyncio
import random

import pytest

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import users_platform
from tests.support import virtual_loop

# Time after a restore within which an instance must lead again: the bound on a
# takeover after the loss of a holder.
_TAKEOVER_MS = 12_000


def test_an_instance_leads_again_after_a_restore():
    targets = [gateway_targets.Target(f"t{n}") for n in range(8)]
    fleet = gateway_fleet.GatewayFleet(5, targets, seed=1)
    holders: list[str | None] = []

    async def play():
        await fleet.start()
        heartbeats = asyncio.create_task(fleet.send_heartbeats())
        await loops.sleep(11_000)
        holders.append(fleet.holder())
        await fleet.restore(5_000)
        await loops.sleep(_TAKEOVER_MS)
        holders.append(fleet.holder())
        heartbeats.cancel()
        await fleet.close()

    virtual_loop.run(play())
    assert None not in holders


def test_an_instance_leads_although_the_lease_row_cannot_be_read():
    # Guards against a row of another release that ends the processes which read
    # it, or counts as missing.
    targets = [gateway_targets.Target("t0")]
    fleet = gateway_fleet.GatewayFleet(2, targets, seed=1)

    async def play():
        fleet.put("lease", "orders", b'{"holder": 5}')
        await fleet.start()
        began_early = fleet.leader()
        await loops.sleep(_TAKEOVER_MS)
        errors, leader = fleet.controller_errors(), fleet.leader()
        await fleet.close()
        return began_early, errors, leader

    began_early, errors, leader = virtual_loop.run(play())
    assert not errors
    assert began_early is None
    assert leader is not None


_LEASE_MS = 3_000


def _assert_one_holder(orders: list[gateway_fleet.SentOrder]) -> None:
    """Checks the tokens of orders, and the time between two holders."""
    for index, order in enumerate(orders):
        for earlier in orders[:index]:
            if earlier.target != order.target:
                continue
            assert earlier.token <= order.token, (earlier, order)
            if earlier.instance != order.instance:
                assert earlier.token < order.token, (earlier, order)
                assert order.at_ms - earlier.at_ms >= _LEASE_MS


@pytest.mark.parametrize("seed", range(6))
def test_restores_and_restarts_leave_one_holder(seed):
    # Guards against two holders with one token, or within the time between two
    # holders, after restores of the store with restarts around them.
    draw = random.Random(seed)
    names = [f"m{n}" for n in range(12)]
    targets = [
        gateway_targets.Engine(f"e{n}", names[n : n + 1], names, load_ms=300)
        for n in range(2)
    ]
    services = users_platform.configuration()["services"]
    model = {"weights_mb": 70_000, "load_s": 6}
    services[1]["engine"] |= {
        "models": [{**model, "name": name} for name in names],
        "weights_mb": 150_000,
    }
    route = {
        **users_platform.configuration()["routes"][-1],
        "prefix": "/models/",
        "service": "engines",
    }
    fleet = gateway_fleet.GatewayFleet(
        3, targets, seed, services=services, routes=[route]
    )

    async def send_requests():
        while True:
            await loops.sleep(100)
            for name in fleet.names:
                fleet.send_request(name, "/models/x", Model=draw.choice(names))

    async def play():
        await fleet.start()
        tasks = [
            asyncio.create_task(work)
            for work in (fleet.send_heartbeats(), send_requests())
        ]
        for _ in range(4):
            await loops.sleep(draw.uniform(2_000, 9_000))
            victims = draw.sample(fleet.names, draw.randint(0, 3))
            restarts = [
                asyncio.create_task(_restart_later(fleet, victim, draw))
                for victim in victims
            ]
            await fleet.restore(draw.choice((500, 2_000, 4_000, 60_000)))
            await asyncio.gather(*restarts)
        await loops.sleep(_TAKEOVER_MS)
        leader = fleet.leader()
        for task in tasks:
            task.cancel()
        await fleet.close()
        return leader

    leader = virtual_loop.run(play())
    assert fleet.orders
    _assert_one_holder(fleet.orders)
    assert leader is not None


async def _restart_later(
    fleet: gateway_fleet.GatewayFleet, name: str, draw: random.Random
) -> None:
    await loops.sleep(draw.uniform(0, 2_000))
    await fleet.restart(name, draw.uniform(100, 3_500))

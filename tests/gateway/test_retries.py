"""Retries of requests over the whole fleet.

The tests run a fleet on a virtual clock, with faults by seed;
``SEEDS=50 pytest tests/gateway/test_retries.py`` runs more seeds.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import random

import pytest

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

_SEEDS = int(os.environ.get("SEEDS", "3"))
# Defaults of the settings in section ``retries``.
_RATIO = 0.2
_SLACK = 50
_WINDOW_MS = 10_000
_DAY_MS = 20_000
_INSTANCES = 6
_REQUESTS_PER_S = 40


class _Failing(gateway_targets.Target):
    """A target that fails each request and records what it gets."""

    def __init__(self, target_id: str):
        super().__init__(target_id)
        self.sends: list[tuple[int, bytes]] = []

    def receive(self, instance, data):
        request_id = gateway_targets.header(data, b"Attempt-Id")
        self.sends.append((virtual_loop.now_ms(), request_id))
        return super().receive(instance, data)

    def run(self, _data: bytes) -> tuple[int, int]:
        return 500, self.run_ms


def _worst_excess(
    targets: list[_Failing], replies: list[gateway_fleet.Reply]
) -> float:
    """Returns the largest excess of retries over the budget in any window.

    The budget follows from the requests of callers in that window, in the one
    before it or in the one half a window before it, whichever has most.
    """
    asked_ms = [reply.at_ms for reply in replies]
    known: set[bytes] = set()
    retries_ms = []
    for at_ms, request_id in sorted(s for t in targets for s in t.sends):
        if request_id in known:
            retries_ms.append(at_ms)
        known.add(request_id)

    def count(times_ms: list[int], from_ms: int) -> int:
        return sum(
            from_ms <= at_ms < from_ms + _WINDOW_MS for at_ms in times_ms
        )

    def excess(from_ms: int) -> float:
        offsets_ms = (0, _WINDOW_MS // 2, _WINDOW_MS)
        requests = max(count(asked_ms, from_ms - ms) for ms in offsets_ms)
        return count(retries_ms, from_ms) - (_RATIO * requests + _SLACK)

    return max(map(excess, retries_ms))


def test_retries_stay_in_their_budget_before_the_number_of_instances_is_known():
    targets = [_Failing(f"t{n}") for n in range(3)]
    fleet = gateway_fleet.GatewayFleet(9, targets, seed=1)
    fleet.writes_fail = True

    async def play():
        await fleet.start()
        assert fleet.holder() is None
        await fleet.send_traffic(200, 4_000, path="/safe/x")
        await fleet.close()

    virtual_loop.run(play())
    asked = len(fleet.replies)
    sends = sum(len(target.arrivals) for target in targets)
    assert asked > 700
    assert sends - asked <= _RATIO * asked + _SLACK


async def _no_trouble(_fleet, _random) -> None:
    pass


async def _restart_some(fleet, rng) -> None:
    names = rng.sample(fleet.names, rng.randint(1, len(fleet.names)))
    await asyncio.gather(
        *(fleet.restart(name, rng.uniform(100, 700)) for name in names)
    )


async def _cut_some(fleet, rng) -> None:
    fleet.isolated = set(
        rng.sample(fleet.names, rng.randint(1, len(fleet.names) - 1))
    )


async def _restart_or_cut(fleet, rng) -> None:
    await rng.choice((_restart_some, _cut_some))(fleet, rng)


Trouble = Callable[[gateway_fleet.GatewayFleet, random.Random], Awaitable[None]]


@pytest.mark.parametrize("seed", range(_SEEDS))
@pytest.mark.parametrize(
    "trouble", [_no_trouble, _restart_some, _cut_some, _restart_or_cut]
)
def test_retries_of_all_instances_stay_in_their_budget_in_any_window(
    trouble: Trouble, seed: int
):
    targets = [_Failing(f"t{n}") for n in range(4)]
    fleet = gateway_fleet.GatewayFleet(_INSTANCES, targets, seed)
    rng = random.Random(seed)

    async def cause_trouble():
        while True:
            await loops.sleep(rng.uniform(500, 4_000))
            await trouble(fleet, rng)

    async def play():
        await fleet.start()
        task = asyncio.create_task(cause_trouble())
        await fleet.send_traffic(_REQUESTS_PER_S, _DAY_MS, path="/safe/x")
        assert not task.done()
        task.cancel()
        await fleet.close()

    virtual_loop.run(play())
    assert len(fleet.replies) > _REQUESTS_PER_S * _DAY_MS / 2_000
    assert _worst_excess(targets, fleet.replies) <= 0

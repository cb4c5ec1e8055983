"""Targets that leave while the store comes back from an older copy.

The tests run a fleet on a virtual clock, with faults by seed;
``SEEDS=50 pytest tests/gateway/test_leaving_targets.py`` runs more seeds.
"""

import asyncio
import os
import random

import pytest

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

_SEEDS = int(os.environ.get("SEEDS", "3"))
# The users' bound on the requests that a leaving target gets.
_DRAIN_MS = 2_000
# Time after a fault from which the store counts as stable.
_STABLE_MS = 3_000
_INSTANCES = 5
_REQUESTS_PER_S = 60
_TARGETS = 8


def _play(
    seed: int,
    leave_at_ms: dict[int, int],
    restore_at_ms: list[int],
    copy_age_ms: int,
    unlist: bool,
) -> int:
    """Returns the number of late requests to targets that leave.

    Args:
        seed: Seed of callers and network.
        leave_at_ms: When targets leave, by their index.
        restore_at_ms: When the store comes back from a copy.
        copy_age_ms: Age of the copies.
        unlist: Whether targets are removed from the list without notice.
    """
    targets = [gateway_targets.Target(f"t{n}") for n in range(_TARGETS)]
    fleet = gateway_fleet.GatewayFleet(_INSTANCES, targets, seed)
    left_ms: dict[str, int] = {}

    def leave(target: gateway_targets.Target) -> None:
        left_ms[target.target_id] = virtual_loop.now_ms()
        if unlist:
            target.unlist()
        else:
            target.leave()

    async def play():
        await fleet.start()
        heartbeats = asyncio.create_task(fleet.send_heartbeats())
        traffic = asyncio.create_task(
            fleet.send_traffic(_REQUESTS_PER_S, 30_000, path="/safe/x")
        )
        for index, at_ms in leave_at_ms.items():
            loops.call_later(at_ms, lambda n=index: leave(targets[n]))
        began_ms = virtual_loop.now_ms()
        for at_ms in restore_at_ms:
            await loops.sleep(began_ms + at_ms - virtual_loop.now_ms())
            await fleet.restore(copy_age_ms)
        await traffic
        heartbeats.cancel()
        await fleet.close()

    virtual_loop.run(play())
    served = sum(reply.status == 200 for reply in fleet.replies)
    assert served > 0.95 * len(fleet.replies) > 0
    return sum(
        arrival.at_ms > left_ms[target.target_id] + _DRAIN_MS
        for target in targets
        if target.target_id in left_ms
        for arrival in target.arrivals
    )


@pytest.mark.parametrize("unlist", [False, True])
def test_a_target_that_leaves_after_a_restore_gets_no_more_requests(unlist):
    first_ms = 11_000 + _STABLE_MS + 500
    leave_at_ms = {2: first_ms, 3: first_ms + 500, 4: first_ms + 1_000}
    assert not _play(1, leave_at_ms, [11_000], 9_000, unlist)


@pytest.mark.parametrize("unlist", [False, True])
def test_a_target_that_left_before_a_restore_gets_no_more_requests(unlist):
    assert not _play(1, {2: 4_000, 3: 7_000, 4: 8_500}, [11_000], 9_000, unlist)


@pytest.mark.parametrize("seed", range(_SEEDS))
def test_no_target_that_leaves_gets_requests_around_restores(seed):
    rng = random.Random(seed)
    restores = [10_000, 10_000 + rng.randint(1_000, 9_000)]
    first_ms = restores[-1] + _STABLE_MS + 500
    before, after = (1_000, 9_500), (first_ms, 25_000)
    leaves = {
        index: rng.randint(*(before if count < 3 else after))
        for count, index in enumerate(rng.sample(range(_TARGETS), 6))
    }
    age_ms = rng.randint(500, 9_000)
    assert not _play(seed, leaves, restores, age_ms, rng.random() < 0.5)

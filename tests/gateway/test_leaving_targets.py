"""Targets that leave, also while the store comes back from an older copy.

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
        assert not heartbeats.done()
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


class _Announcing(gateway_targets.Target):
    """A target that announces in its responses that it leaves."""

    def __init__(self, target_id: str, fleet_sent_ms: dict[str, int]):
        super().__init__(target_id, lambda _: self.limit_per_s)
        self.limit_per_s: float | None = None
        self.announces = False
        self.late: list[tuple[str, str]] = []
        self._sent_ms = fleet_sent_ms
        self._told_ms: dict[str, int] = {}

    def extra_headers(self, _status):
        return [(b"server-leaving", b"1")] if self.announces else []

    def receive(self, instance, data):
        request_id = gateway_targets.header(data, b"Attempt-Id").decode()
        told_ms = self._told_ms.get(instance)
        if told_ms is not None:
            since_ms = self._sent_ms[request_id] - told_ms
            if since_ms > _DRAIN_MS:
                self.late.append((instance, request_id))
        return super().receive(instance, data)

    def on_response(self, instance, head):
        if head.get(b"server-leaving") is not None:
            self._told_ms.setdefault(instance, virtual_loop.now_ms())

    def forget_limit_known(self, instance):
        super().forget_limit_known(instance)
        self._told_ms.pop(instance, None)

    def start_again(self):
        super().start_again()
        self.announces = False
        self.limit_per_s = None
        self._told_ms.clear()


@pytest.mark.parametrize("seed", range(_SEEDS))
def test_no_target_that_announces_its_leaving_gets_later_requests(seed):
    rng = random.Random(seed)
    sent_ms: dict[str, int] = {}
    targets = [_Announcing(f"t{n}", sent_ms) for n in range(_TARGETS)]
    fleet = gateway_fleet.GatewayFleet(_INSTANCES, targets, seed)
    fleet.sent_ms = sent_ms

    def announce(target: _Announcing) -> None:
        target.announces = True

    def set_limit(target: _Announcing) -> None:
        target.limit_per_s = rng.choice((None, 1, 5, 20))

    def cut(_target) -> None:
        fleet.isolated = set(rng.sample(fleet.names, rng.randint(0, 2)))

    def report_leaving(target: _Announcing) -> None:
        announce(target)
        target.leave()

    async def cause_trouble():
        while True:
            await loops.sleep(rng.uniform(200, 1_000))
            actions = (
                announce,
                set_limit,
                report_leaving,
                cut,
                _Announcing.start_again,
            )
            rng.choice(actions)(rng.choice(targets))
            if rng.random() < 0.1 and not fleet.store_down:
                await fleet.restore(rng.randint(500, 3_000))

    async def play():
        await fleet.start()
        tasks = [
            asyncio.create_task(fleet.send_heartbeats()),
            asyncio.create_task(cause_trouble()),
        ]
        await fleet.send_traffic(_REQUESTS_PER_S, 30_000, path="/safe/x")
        for task in tasks:
            assert not task.done()
            task.cancel()
        await fleet.close()

    virtual_loop.run(play())
    assert not [target.late for target in targets if target.late]
    assert sum(reply.status == 200 for reply in fleet.replies) > 500

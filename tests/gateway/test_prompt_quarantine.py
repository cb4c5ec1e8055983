"""Prompt parts that crash targets, over the whole fleet.

The tests run a fleet on a virtual clock, with faults by seed;
``SEEDS=50 pytest tests/gateway/test_prompt_quarantine.py`` runs more seeds.
"""

import asyncio
import os
import random
from typing import NamedTuple

import pytest

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

_SEEDS = int(os.environ.get("SEEDS", "3"))
# The users' rule: after this many crashes and this time, at most _MAX_LATER
# more requests with the part may reach targets.
_CRASHES = 5
_CONTACT_MS = 3_000
_MAX_LATER = 3
_DAY_MS = 30_000
_SOUND_PER_S = 40
_BAD_PER_S = 1.5


class _BadArrival(NamedTuple):
    """A request with the part that crashes targets, as a target receives it."""

    at_ms: int
    instance: str


class _Target(gateway_targets.Target):
    """A target that crashes when it answers a request with the part ``bad``."""

    def __init__(self, target_id: str):
        super().__init__(target_id)
        self.bad_arrivals: list[_BadArrival] = []

    def receive(self, instance, data):
        if self.crashes_under(data):
            arrival = _BadArrival(virtual_loop.now_ms(), instance)
            self.bad_arrivals.append(arrival)
        return super().receive(instance, data)

    def crashes_under(self, data):
        return b"bad:" in gateway_targets.header(data, b"Prompt-Prefix")


async def _send(
    fleet: gateway_fleet.GatewayFleet,
    rng: random.Random,
    per_s: float,
    part: str,
    sent_ms: list[int],
) -> None:
    while True:
        await loops.sleep(rng.expovariate(per_s) * 1_000)
        names = fleet.ready_names()
        if not names:
            continue
        sent_ms.append(virtual_loop.now_ms())
        count = len(sent_ms)
        other = f"{rng.randrange(4):x}"
        name = part or f"a{rng.randrange(20):x}"
        prefix = f"f00:350,{name}:400,{other}:80,e{count:x}{part}:20"
        fleet.send_request(
            rng.choice(names),
            f"/safe/{count}{part}",
            **{"Prompt-Prefix": prefix},
        )


class _Day(NamedTuple):
    """A day with a part that crashes targets.

    Attributes:
        fleet: The fleet, with the replies to all requests.
        targets: Its targets.
        bad_sent_ms: Times of the requests with the part.
    """

    fleet: gateway_fleet.GatewayFleet
    targets: list[_Target]
    bad_sent_ms: list[int]


def _play(seed: int, instances: int, faults) -> _Day:
    rng = random.Random(seed)
    targets = [_Target(f"t{n}") for n in range(8)]
    fleet = gateway_fleet.GatewayFleet(instances, targets, seed)
    bad_sent_ms: list[int] = []

    async def play():
        await fleet.start()
        senders = [
            asyncio.create_task(_send(fleet, rng, _SOUND_PER_S, "", [])),
            asyncio.create_task(
                _send(fleet, rng, _BAD_PER_S, "bad", bad_sent_ms)
            ),
            asyncio.create_task(faults(fleet, rng)),
        ]
        await loops.sleep(_DAY_MS)
        for sender in senders:
            if sender.done():
                sender.result()
            sender.cancel()
        await loops.sleep(1_000)
        await fleet.close()

    virtual_loop.run(play())
    return _Day(fleet, targets, bad_sent_ms)


def _later_arrivals(
    fleet: gateway_fleet.GatewayFleet, targets: list[_Target]
) -> int:
    """Counts requests with the part after the users' bound.

    Those of instances that have just started do not count.
    """
    crashes = sorted(at_ms for target in targets for at_ms in target.crashes)
    if len(crashes) < _CRASHES:
        return 0
    late_ms = crashes[_CRASHES - 1] + _CONTACT_MS
    return sum(
        arrival.at_ms > late_ms
        and not any(
            0 <= arrival.at_ms - start_ms <= _CONTACT_MS
            for start_ms in fleet.starts_ms[arrival.instance]
        )
        for target in targets
        for arrival in target.bad_arrivals
    )


async def _no_faults(_fleet, _rng) -> None:
    pass


async def _lose_datagrams(fleet, _rng) -> None:
    fleet.loss_rate = 0.3
    fleet.max_delay_ms = 80.0


async def _no_holder(fleet, _rng) -> None:
    fleet.writes_fail = True


async def _crash_targets(fleet, rng) -> None:
    while True:
        await loops.sleep(rng.uniform(1_000, 4_000))
        for target in rng.sample(list(fleet.targets.values()), 3):
            if not target.is_down:
                target.crash(2_000)


async def _restart_instances(fleet, rng) -> None:
    while True:
        await loops.sleep(rng.uniform(3_000, 6_000))
        await fleet.restart(rng.choice(fleet.names), 300)


@pytest.mark.parametrize("seed", range(_SEEDS))
@pytest.mark.parametrize("instances", [1, 7, 30])
@pytest.mark.parametrize(
    "faults", [_no_faults, _lose_datagrams, _crash_targets, _restart_instances]
)
def test_a_part_that_crashes_targets_is_barred_and_sound_requests_are_served(
    faults, instances, seed
):
    fleet, targets, bad_sent_ms = _play(seed, instances, faults)
    assert _later_arrivals(fleet, targets) <= _MAX_LATER
    arrivals = sum(len(target.bad_arrivals) for target in targets)
    if faults is _no_faults:
        assert arrivals <= _CRASHES + _MAX_LATER
    last_ms = max(a.at_ms for t in targets for a in t.bad_arrivals)
    from_ms = max(last_ms, _DAY_MS / 2)
    not_served = [
        reply.at_ms
        for reply in fleet.replies
        if reply.status != 200 and reply.at_ms > from_ms
    ]
    if faults is _crash_targets:
        assert len(not_served) < 0.3 * _SOUND_PER_S * _DAY_MS / 2_000
    else:
        assert len(not_served) <= sum(at_ms > from_ms for at_ms in bad_sent_ms)

"""Targets that announce how many requests a second they accept in total.

The tests run a fleet on a virtual clock, with faults by seed;
``SEEDS=50 pytest tests/gateway/test_target_limits.py`` runs more seeds.
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
_ANNOUNCED_MS = 5_000
# Time until all instances know a limit.
_PROPAGATION_MS = 1_000
# Latency objective of the routes of the stand-in platform.
_LATENCY_OBJECTIVE_MS = 500


def _announce(limit_per_s: float) -> Callable[[int], float | None]:
    return lambda at_ms: limit_per_s if at_ms >= _ANNOUNCED_MS else None


def _run(
    fleet: gateway_fleet.GatewayFleet,
    work: Callable[[gateway_fleet.GatewayFleet], Awaitable[None]],
) -> None:
    async def run():
        await fleet.start()
        await work(fleet)
        await fleet.close()

    virtual_loop.run(run())


def _count_arrivals(
    target: gateway_targets.Target, from_ms: int, to_ms: int
) -> int:
    return sum(from_ms <= arrival.at_ms < to_ms for arrival in target.arrivals)


@pytest.mark.parametrize("limit_per_s", [1, 5, 50])
@pytest.mark.parametrize("instances", [2, 7, 30])
def test_instances_together_stay_within_the_limit_of_a_target(
    instances, limit_per_s
):
    target = gateway_targets.Target("t1", _announce(limit_per_s))
    fleet = gateway_fleet.GatewayFleet(instances, [target], seed=1)
    _run(fleet, lambda _: fleet.send_traffic(3 * limit_per_s + 8, 30_000))
    assert len(fleet.replies) > 250
    assert target.worst_excess(_ANNOUNCED_MS) <= 0
    # No permits are left unused while callers are refused.
    used = _count_arrivals(target, 6_000, 31_000) / 25
    assert used >= 0.9 * limit_per_s


def test_requests_beyond_the_limit_of_a_target_go_to_others_at_once():
    limited = gateway_targets.Target("t1", _announce(1))
    free = gateway_targets.Target("t2")
    fleet = gateway_fleet.GatewayFleet(7, [limited, free], seed=1)
    _run(fleet, lambda _: fleet.send_traffic(30, 20_000))
    assert limited.worst_excess(_ANNOUNCED_MS) <= 0
    assert {reply.status for reply in fleet.replies} == {200}
    assert max(reply.took_ms for reply in fleet.replies) < 100


def test_requests_beyond_all_limits_are_refused_at_once_with_a_retry_time():
    targets = [gateway_targets.Target(f"t{n}", _announce(1)) for n in range(3)]
    fleet = gateway_fleet.GatewayFleet(7, targets, seed=1)
    _run(fleet, lambda _: fleet.send_traffic(40, 20_000))
    propagated_ms = _ANNOUNCED_MS + _PROPAGATION_MS
    refused = [
        reply
        for reply in fleet.replies
        if reply.status != 200 and reply.at_ms >= propagated_ms
    ]
    assert {reply.status for reply in refused} == {503}
    assert all(
        reply.retry_after_ms + reply.took_ms > _LATENCY_OBJECTIVE_MS
        for reply in refused
    )
    at_once = [reply for reply in refused if reply.took_ms <= 30]
    assert len(at_once) > 0.95 * len(refused)
    assert (
        sum(_count_arrivals(target, 6_000, 22_000) for target in targets)
        >= 16 * 3 * 0.9
    )


def test_a_limit_ends_when_the_target_no_longer_announces_it():
    def limit(at_ms: int) -> float | None:
        return 1 if _ANNOUNCED_MS <= at_ms < 15_000 else None

    target = gateway_targets.Target("t1", limit)
    fleet = gateway_fleet.GatewayFleet(7, [target], seed=1)
    _run(fleet, lambda _: fleet.send_traffic(20, 20_000))
    late = [reply.status for reply in fleet.replies if reply.at_ms >= 17_000]
    assert len(late) > 80
    assert set(late) == {200}


def test_a_target_with_a_limit_of_zero_is_probed_until_that_ends():
    def limit(at_ms: int) -> float | None:
        return 0 if _ANNOUNCED_MS <= at_ms < 30_000 else None

    target = gateway_targets.Target("t1", limit)
    fleet = gateway_fleet.GatewayFleet(7, [target], seed=1)
    _run(fleet, lambda _: fleet.send_traffic(20, 50_000))
    assert target.worst_excess(_ANNOUNCED_MS) <= 0
    late = [reply.status for reply in fleet.replies if reply.at_ms >= 45_000]
    assert set(late) == {200}


class _LimitedAndBackingOff(gateway_targets.Target):
    """Announces a limit, and also asks instances to back off."""

    def run(self, _data: bytes) -> tuple[int, int]:
        if virtual_loop.now_ms() < _ANNOUNCED_MS:
            return 200, self.run_ms
        return 503, 0

    def extra_headers(self, status: int) -> list[tuple[bytes, bytes]]:
        if status == 200:
            return []
        return [(b"not-executed", b"1"), (b"retry-after", b"2")]


def _count_permits(caplog, fleet, work) -> int:
    """Runs the fleet and returns the number of permits that were granted."""
    with caplog.at_level("INFO"):
        _run(fleet, work)
    return sum(
        record.getMessage() == "permit asked for" and record.granted
        for record in caplog.records
    )


def test_no_permit_is_requested_while_its_target_backs_off(caplog):
    target = _LimitedAndBackingOff("t1", _announce(5))
    fleet = gateway_fleet.GatewayFleet(2, [target], seed=1)
    granted = _count_permits(
        caplog, fleet, lambda _: fleet.send_traffic(30, 20_000)
    )
    assert 10 < granted <= _count_arrivals(target, _ANNOUNCED_MS, 23_000)


def test_no_permit_is_wasted_while_an_engine_processes_long_prompts(caplog):
    engine = gateway_targets.Engine("e1", ["m1"], ["m1"], 0, _announce(50))
    fleet = gateway_fleet.GatewayFleet(2, [engine], seed=1)
    request = {"path": "/stream/x", "Model": "m1", "Token-Counts": "2500,10"}
    granted = _count_permits(
        caplog, fleet, lambda _: fleet.send_traffic(80, 6_000, **request)
    )
    assert 50 < granted <= _count_arrivals(engine, _ANNOUNCED_MS, 10_000)


def test_a_lowered_limit_takes_effect_within_a_moment():
    def limit(at_ms: int) -> float | None:
        if at_ms < _ANNOUNCED_MS:
            return None
        return 50 if at_ms < 12_000 else 1

    target = gateway_targets.Target("t1", limit)
    fleet = gateway_fleet.GatewayFleet(30, [target], seed=1)
    _run(fleet, lambda _: fleet.send_traffic(150, 20_000))
    assert target.worst_excess(_ANNOUNCED_MS) <= 0
    # A response takes 60 ms; then the lease holder learns it, then the others.
    assert _count_arrivals(target, 12_000, 16_000) <= 1.5 * 4 + 5 + 0.3 * 50


async def _inject_faults(
    fleet: gateway_fleet.GatewayFleet, names: list[str], seed: int
) -> None:
    """Injects faults of the instances and the store, also several at once."""
    rng = random.Random(seed)
    for _ in range(8):
        await loops.sleep(rng.uniform(500, 3_000))
        kind = rng.choice(("kill", "holder", "store", "cut", "loss", "delay"))
        name = rng.choice(names)
        if kind == "store":
            fleet.store_down = not fleet.store_down
        elif kind == "loss":
            fleet.loss_rate = rng.choice((0.0, 0.1, 0.5))
        elif kind == "delay":
            fleet.max_delay_ms = rng.choice((0, 100, 2_000))
        elif kind == "cut":
            fleet.isolated ^= {name}
        else:
            holder = fleet.holder() if kind == "holder" else None
            await fleet.restart(holder or name, rng.uniform(50, 2_000))


@pytest.mark.parametrize("seed", range(_SEEDS))
@pytest.mark.parametrize(
    ("instances", "limit_per_s"), [(7, 1), (30, 1), (9, 10), (7, 50)]
)
def test_limits_hold_under_faults(instances, limit_per_s, seed):
    targets = [
        gateway_targets.Target("t1", _announce(limit_per_s)),
        gateway_targets.Target("t2", _announce(2 * limit_per_s)),
    ]
    fleet = gateway_fleet.GatewayFleet(instances, targets, seed)

    async def run(_) -> None:
        faults = asyncio.ensure_future(_inject_faults(fleet, fleet.names, seed))
        await fleet.send_traffic(6 * limit_per_s + 10, 30_000)
        await faults

    _run(fleet, run)
    for target in targets:
        assert target.worst_excess(_ANNOUNCED_MS) <= 0


@pytest.mark.parametrize("limit_per_s", [2, 50])
def test_part_of_the_limit_is_used_without_a_lease_holder(limit_per_s):
    target = gateway_targets.Target("t1", _announce(limit_per_s))
    fleet = gateway_fleet.GatewayFleet(7, [target], seed=1)

    async def run(_) -> None:
        await fleet.send_traffic(3 * limit_per_s + 20, 6_000)
        fleet.isolated = set(fleet.names)
        await fleet.send_traffic(3 * limit_per_s + 20, 21_000)

    _run(fleet, run)
    assert target.worst_excess(_ANNOUNCED_MS) <= 0
    used = _count_arrivals(target, 11_000, 30_000) / 19
    assert 0.25 * limit_per_s <= used <= 0.6 * limit_per_s


_RARE = [f"m{number}" for number in range(10)]
_ENGINES = {
    "name": "engines",
    "engine": {
        "slots": 8,
        "models": [
            {"name": name, "weights_mb": 70_000, "load_s": 6, "disk_s": 1}
            for name in _RARE
        ],
        "weights_mb": 700_000,
        "adapter_slots": 8,
        "loads_per_s": 4,
    },
}


def test_models_of_an_engine_with_a_low_limit_are_loaded_at_another_one():
    limited = gateway_targets.Engine("e1", _RARE, _RARE, 1_000, _announce(1))
    free = gateway_targets.Engine("e2", [], _RARE, 1_000)
    fleet = gateway_fleet.GatewayFleet(
        3, [limited, free], seed=1, services=[_ENGINES]
    )

    async def run(_) -> None:
        async with asyncio.TaskGroup() as callers:
            for name in _RARE:
                work = fleet.send_traffic(
                    0.5, 25_000, path="/stream/x", Model=name
                )
                callers.create_task(work)

    _run(fleet, run)
    assert limited.worst_excess(_ANNOUNCED_MS) <= 0
    # Time to detect the demand, and to load each model from a copy.
    late = [
        reply
        for reply in fleet.replies
        if reply.at_ms >= _ANNOUNCED_MS + 13_000
    ]
    assert len(late) > 30
    assert {reply.status for reply in late} == {200}


def test_instances_survive_a_lost_holder_while_two_targets_have_limits():
    """Instances died of a dictionary that changed size during iteration.

    While the permits of all targets were iterated, a request that got none for
    one target requested one for the other.
    """
    targets = [gateway_targets.Target(f"t{n}", _announce(1)) for n in range(2)]
    fleet = gateway_fleet.GatewayFleet(3, targets, seed=1)

    async def run(_) -> None:
        await fleet.send_traffic(20, 6_000)
        fleet.isolated = set(fleet.names)
        await fleet.send_traffic(20, 4_000)
        assert not fleet.controller_errors()

    _run(fleet, run)

"""Targets that say how many requests a second they take from all instances.

Days on a virtual clock, with troubles by seed:
``SEEDS=50 pytest tests/gateway/test_target_limits.py`` plays more.
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
_NAMED_MS = 5_000
# Until all instances have heard of a limit.
_HEARD_MS = 1_000
# Callers' aim on the routes of the stand-in platform.
_AIM_MS = 500


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


def _arrived(target: gateway_targets.Target, from_ms: int, to_ms: int) -> int:
    return sum(from_ms <= one.at_ms < to_ms for one in target.arrivals)


@pytest.mark.parametrize("limit_per_s", [1, 5, 50])
@pytest.mark.parametrize("instances", [2, 7, 30])
def test_instances_together_keep_to_the_limit_that_a_target_names(
    instances, limit_per_s
):
    target = gateway_targets.Target("t1", _naming(limit_per_s))
    fleet = gateway_fleet.GatewayFleet(instances, [target], seed=1)
    _play(fleet, lambda _: fleet.press(3 * limit_per_s + 8, 30_000))
    assert len(fleet.replies) > 250
    assert target.excess(_NAMED_MS) <= 0
    # None of the permits lies unused while callers are refused.
    used = _arrived(target, 6_000, 31_000) / 25
    assert used >= 0.9 * limit_per_s


def test_what_one_target_cannot_take_goes_to_others_at_once():
    limited = gateway_targets.Target("t1", _naming(1))
    free = gateway_targets.Target("t2")
    fleet = gateway_fleet.GatewayFleet(7, [limited, free], seed=1)
    _play(fleet, lambda _: fleet.press(30, 20_000))
    assert limited.excess(_NAMED_MS) <= 0
    assert {reply.status for reply in fleet.replies} == {200}
    assert max(reply.took_ms for reply in fleet.replies) < 100


def test_callers_that_no_target_can_take_are_told_at_once_when_to_come_back():
    targets = [gateway_targets.Target(f"t{n}", _naming(1)) for n in range(3)]
    fleet = gateway_fleet.GatewayFleet(7, targets, seed=1)
    _play(fleet, lambda _: fleet.press(40, 20_000))
    heard_ms = _NAMED_MS + _HEARD_MS
    refused = [
        reply
        for reply in fleet.replies
        if reply.status != 200 and reply.at_ms >= heard_ms
    ]
    assert {reply.status for reply in refused} == {503}
    assert all(reply.retry_ms + reply.took_ms > _AIM_MS for reply in refused)
    at_once = [reply for reply in refused if reply.took_ms <= 30]
    assert len(at_once) > 0.95 * len(refused)
    assert sum(_arrived(one, 6_000, 22_000) for one in targets) >= 16 * 3 * 0.9


def test_a_limit_ends_when_the_target_names_it_no_more():
    def limit(at_ms: int) -> float | None:
        return 1 if _NAMED_MS <= at_ms < 15_000 else None

    target = gateway_targets.Target("t1", limit)
    fleet = gateway_fleet.GatewayFleet(7, [target], seed=1)
    _play(fleet, lambda _: fleet.press(20, 20_000))
    late = [reply.status for reply in fleet.replies if reply.at_ms >= 17_000]
    assert len(late) > 80
    assert set(late) == {200}


def test_also_a_target_that_takes_nothing_is_asked_whether_that_has_ended():
    def limit(at_ms: int) -> float | None:
        return 0 if _NAMED_MS <= at_ms < 30_000 else None

    target = gateway_targets.Target("t1", limit)
    fleet = gateway_fleet.GatewayFleet(7, [target], seed=1)
    _play(fleet, lambda _: fleet.press(20, 50_000))
    assert target.excess(_NAMED_MS) <= 0
    late = [reply.status for reply in fleet.replies if reply.at_ms >= 45_000]
    assert set(late) == {200}


class _Shedding(gateway_targets.Target):
    """Names a limit, and wants no requests for a time all the same."""

    def run(self, _data: bytes) -> tuple[int, int]:
        if virtual_loop.now_ms() < _NAMED_MS:
            return 200, self.run_ms
        return 503, 0

    def more_headers(self, status: int) -> list[tuple[bytes, bytes]]:
        if status == 200:
            return []
        return [(b"not-executed", b"1"), (b"retry-after", b"2")]


def _granted(caplog, fleet, work) -> int:
    """Plays a day and returns the number of permits that were granted."""
    with caplog.at_level("INFO"):
        _play(fleet, work)
    return sum(
        record.getMessage() == "permit asked for" and record.granted
        for record in caplog.records
    )


def test_no_permit_is_asked_for_while_its_target_wants_no_requests(caplog):
    target = _Shedding("t1", _naming(5))
    fleet = gateway_fleet.GatewayFleet(2, [target], seed=1)
    granted = _granted(caplog, fleet, lambda _: fleet.press(30, 20_000))
    assert 10 < granted <= _arrived(target, _NAMED_MS, 23_000)


def test_no_permit_is_lost_while_an_engine_reads_long_prompts(caplog):
    engine = gateway_targets.Engine("e1", ["m1"], ["m1"], 0, _naming(50))
    fleet = gateway_fleet.GatewayFleet(2, [engine], seed=1)
    asked = {"path": "/stream/x", "Model": "m1", "Token-Counts": "2500,10"}
    granted = _granted(caplog, fleet, lambda _: fleet.press(80, 6_000, **asked))
    assert 50 < granted <= _arrived(engine, _NAMED_MS, 10_000)


def test_a_limit_that_falls_is_kept_to_within_a_moment():
    def limit(at_ms: int) -> float | None:
        if at_ms < _NAMED_MS:
            return None
        return 50 if at_ms < 12_000 else 1

    target = gateway_targets.Target("t1", limit)
    fleet = gateway_fleet.GatewayFleet(30, [target], seed=1)
    _play(fleet, lambda _: fleet.press(150, 20_000))
    assert target.excess(_NAMED_MS) <= 0
    # Answers take 60 ms, then the holder hears, then the others.
    assert _arrived(target, 12_000, 16_000) <= 1.5 * 4 + 5 + 0.3 * 50


async def _trouble(
    fleet: gateway_fleet.GatewayFleet, names: list[str], seed: int
) -> None:
    """Plays troubles of the instances and the store, also several at once."""
    chance = random.Random(seed)
    for _ in range(8):
        await loops.sleep(chance.uniform(500, 3_000))
        kind = chance.choice(
            ("kill", "holder", "store", "cut", "loss", "delay")
        )
        name = chance.choice(names)
        if kind == "store":
            fleet.store_down = not fleet.store_down
        elif kind == "loss":
            fleet.loss = chance.choice((0.0, 0.1, 0.5))
        elif kind == "delay":
            fleet.delay_ms = chance.choice((0, 100, 2_000))
        elif kind == "cut":
            fleet.cut_off ^= {name}
        else:
            holder = fleet.holder() if kind == "holder" else None
            await fleet.restart(holder or name, chance.uniform(50, 2_000))


@pytest.mark.parametrize("seed", range(_SEEDS))
@pytest.mark.parametrize(
    ("instances", "limit_per_s"), [(7, 1), (30, 1), (9, 10), (7, 50)]
)
def test_the_limit_is_kept_to_also_under_troubles(instances, limit_per_s, seed):
    targets = [
        gateway_targets.Target("t1", _naming(limit_per_s)),
        gateway_targets.Target("t2", _naming(2 * limit_per_s)),
    ]
    fleet = gateway_fleet.GatewayFleet(instances, targets, seed)

    async def play(_) -> None:
        trouble = asyncio.ensure_future(_trouble(fleet, fleet.names, seed))
        await fleet.press(6 * limit_per_s + 10, 30_000)
        await trouble

    _play(fleet, play)
    for target in targets:
        assert target.excess(_NAMED_MS) <= 0


@pytest.mark.parametrize("limit_per_s", [2, 50])
def test_without_a_holder_part_of_the_limit_is_still_used(limit_per_s):
    target = gateway_targets.Target("t1", _naming(limit_per_s))
    fleet = gateway_fleet.GatewayFleet(7, [target], seed=1)

    async def play(_) -> None:
        await fleet.press(3 * limit_per_s + 20, 6_000)
        fleet.cut_off = set(fleet.names)
        await fleet.press(3 * limit_per_s + 20, 21_000)

    _play(fleet, play)
    assert target.excess(_NAMED_MS) <= 0
    used = _arrived(target, 11_000, 30_000) / 19
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


def test_models_of_an_engine_that_takes_little_are_loaded_at_another_one():
    limited = gateway_targets.Engine("e1", _RARE, _RARE, 1_000, _naming(1))
    free = gateway_targets.Engine("e2", [], _RARE, 1_000)
    fleet = gateway_fleet.GatewayFleet(
        3, [limited, free], seed=1, services=[_ENGINES]
    )

    async def play(_) -> None:
        async with asyncio.TaskGroup() as callers:
            for name in _RARE:
                work = fleet.press(0.5, 25_000, path="/stream/x", Model=name)
                callers.create_task(work)

    _play(fleet, play)
    assert limited.excess(_NAMED_MS) <= 0
    # Time for the demand to show, and for a load of each from a copy.
    late = [one for one in fleet.replies if one.at_ms >= _NAMED_MS + 13_000]
    assert len(late) > 30
    assert {reply.status for reply in late} == {200}


def test_instances_outlive_a_lost_holder_while_two_targets_have_limits():
    """Who got no permit of the one asked for one of the other meanwhile."""
    targets = [gateway_targets.Target(f"t{n}", _naming(1)) for n in range(2)]
    fleet = gateway_fleet.GatewayFleet(3, targets, seed=1)

    async def play(_) -> None:
        await fleet.press(20, 6_000)
        fleet.cut_off = set(fleet.names)
        await fleet.press(20, 4_000)
        assert not fleet.ended()

    _play(fleet, play)

"""Models and services that the operator withdraws while engines have them."""

import asyncio

import pytest

from tanagerloft.fleet import types
from tests.support import engine_fleet

_CAPACITY_MB = 150_000
_DISK_MB = 300_000
_LOAD_MS = 6_000
_SERVICE = types.Service(
    "s",
    100,
    {
        f"m{n}": types.Model(f"m{n}", 70_000, _LOAD_MS, 270, 350, 14.0, 12)
        for n in range(6)
    },
    32,
    types.EngineCapacity(_CAPACITY_MB, 8, _DISK_MB),
    4.0,
)


def _without(*names: str) -> types.Service:
    models = {n: m for n, m in _SERVICE.models.items() if n not in names}
    return _SERVICE._replace(models=models)


async def _load_begun(held: list[str]) -> engine_fleet.EngineFleet:
    """Returns a fleet of one engine that loads m5 from the weight store."""
    fleet = engine_fleet.EngineFleet(_SERVICE, [held], 4, disk_mb=_DISK_MB)
    await fleet.run(1_000, {})
    await fleet.run(1_000, {"m5": 2})
    assert fleet.load_starts_ms
    return fleet


@pytest.mark.parametrize("successor", [False, True])
def test_a_model_may_be_withdrawn_while_an_engine_loads_it(successor):
    # Guards against a holder, and each after it, that ends with KeyError for as
    # long as a load of a withdrawn model is in progress or handed over.
    async def run():
        fleet = await _load_begun(["m0"])
        if successor:
            fleet.service = _without("m5")
            fleet.change_holder()
        else:
            fleet.configure(_without("m5"))
        await fleet.run(2 * _LOAD_MS, {})
        # Its memory is taken until it is unloaded.
        await fleet.run(3 * _LOAD_MS, {"m1": 2, "m2": 1})
        assert not fleet.over_capacity
        assert not fleet.holds("m5")
        assert fleet.holds("m1") and fleet.holds("m2")

    asyncio.run(run())


def test_a_withdrawn_model_that_is_missed_keeps_no_place():
    # Guards against a model that stays for callers who no longer come.
    async def run():
        fleet = engine_fleet.EngineFleet(_SERVICE, [["m0", "m1"]], 4)
        await fleet.run(1_000, {})
        await fleet.run(3 * _LOAD_MS, {"m0": 1}, refused=["m5"])
        assert fleet.holds("m5")
        fleet.configure(_without("m5"))
        await fleet.run(2 * _LOAD_MS, {"m0": 1}, refused=["m2"])
        assert fleet.holds("m2")
        assert not fleet.holds("m5")

    asyncio.run(run())


def test_a_model_may_be_declared_again_while_its_load_goes_on():
    async def run():
        fleet = await _load_begun(["m0"])
        fleet.configure(_without("m5"))
        await fleet.run(1_000, {})
        fleet.configure(_SERVICE)
        await fleet.run(_LOAD_MS, {"m5": 2})
        assert fleet.holds("m5")
        assert len(fleet.load_starts_ms) == 1

    asyncio.run(run())


def test_a_service_may_be_withdrawn_while_an_order_has_no_answer():
    # Guards against a holder that looks up the service of each engine.
    async def run():
        fleet = engine_fleet.EngineFleet(_SERVICE, [["m0"]], 4)
        await fleet.run(1_000, {})
        fleet.loses_answers = True
        await fleet.run(100, {"m5": 2})
        fleet.configure_services()
        await fleet.run(2_000, {})
        fleet.loses_answers = False
        fleet.configure(_SERVICE)
        await fleet.run(3 * _LOAD_MS, {"m4": 2})
        assert fleet.holds("m4")
        assert not fleet.over_capacity

    asyncio.run(run())

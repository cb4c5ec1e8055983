"""Models asked for all day by callers who cannot wait for the weight store."""

import asyncio

import pytest

from tanagerloft.fleet import types
from tests.support import engine_fleet

_LOAD_MS = 7_800
_STEP_MS = 500
_BEFORE_TRAFFIC_MS = 14_000
_DAY_MS = 60_000
# Time between two requests for each of the models.
_ASKED_MS = 4_000


def _service(models: int) -> types.Service:
    return types.Service(
        "s",
        100,
        {
            f"m{n}": types.Model(f"m{n}", 34_300, _LOAD_MS, 390, 520, 14.0, 0)
            for n in range(models)
        },
        32,
        types.EngineRoom(83_000, 8),
        20.0,
    )


@pytest.mark.parametrize(
    ("at_once", "changes_ms"),
    [
        pytest.param(2, (), id="slow store"),
        pytest.param(2, range(3_000, 50_000, 6_000), id="new holders"),
        pytest.param(4, (4_000, 14_000, 23_000, 34_000), id="faster store"),
    ],
)
def test_models_asked_for_all_day_are_served(at_once, changes_ms):
    async def run():
        engines, missing = 12, 9 * at_once
        held = [[f"m{2 * n}", f"m{2 * n + 1}"] for n in range(engines)]
        service = _service(2 * engines + missing)
        fleet = engine_fleet.EngineFleet(service, held, at_once)
        await fleet.run(_BEFORE_TRAFFIC_MS, {})
        names = list(service.models)
        steps = _ASKED_MS // _STEP_MS
        for step in range(_DAY_MS // _STEP_MS):
            if step * _STEP_MS in changes_ms:
                fleet.change_holder()
            asked = [
                m for n, m in enumerate(names) if n % steps == step % steps
            ]
            await fleet.run(_STEP_MS, {}, asked=asked)
        # The users' bound: 1 and 10 in 100 of the models that are asked for.
        never = set(names) - fleet.served
        assert len(never) <= 1 + len(names) / 10

    asyncio.run(run())

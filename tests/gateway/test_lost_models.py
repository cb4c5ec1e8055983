"""Models whose engines leave while callers still request them."""

import asyncio

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

_RARE = [f"r{number}" for number in range(40)]
_ENGINES = {
    "name": "engines",
    "engine": {
        "slots": 8,
        "models": [
            {"name": name, "weights_mb": 20_000, "load_s": 4, "disk_s": 1}
            for name in ("busy", *_RARE)
        ],
        "weights_mb": 400_000,
        "adapter_slots": 8,
        "loads_per_s": 4,
    },
}
_LOAD_MS = 4_000
_LEAVES_AT_MS = 12_000


def test_a_busy_model_of_a_leaving_engine_is_the_next_to_be_loaded():
    """In the bench of gcd-vigia-grown, rarely used models were loaded first."""
    leaving = gateway_targets.Engine("e1", ["busy"], ["busy"], _LOAD_MS)
    others = [
        gateway_targets.Engine(f"e{n}", [], [], _LOAD_MS) for n in range(2, 6)
    ]
    fleet = gateway_fleet.GatewayFleet(
        3, [leaving, *others], seed=1, services=[_ENGINES]
    )

    async def play() -> None:
        await fleet.start()
        async with asyncio.TaskGroup() as callers:
            for name in _RARE:
                work = fleet.send_traffic(
                    0.25, 30_000, path="/stream/x", Model=name
                )
                callers.create_task(work)
            work = fleet.send_traffic(5, 30_000, path="/stream/x", Model="busy")
            callers.create_task(work)
            await loops.sleep(_LEAVES_AT_MS - virtual_loop.now_ms())
            # It serves no requests from now on, and ends only much later.
            leaving.leave()
        await fleet.close()

    virtual_loop.run(play())
    served_again_ms = min(
        arrival.at_ms
        for engine in others
        for arrival in engine.arrivals
        if arrival.model == "busy"
    )
    # The rest of a load in progress, then the load of this model.
    assert served_again_ms - _LEAVES_AT_MS <= 2 * _LOAD_MS + 2_000

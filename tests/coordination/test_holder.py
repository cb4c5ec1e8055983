"""What the holder tells, and when."""

import asyncio

from tanagerloft.coordination import engine_controller
from tanagerloft.coordination import holder as holder_lib
from tanagerloft.coordination import messages
from tanagerloft.coordination import order_sender
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import targets
from tanagerloft.decisions import order_progress
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types
from tests.support import engines

_MODEL = types.Model("m", 70_000.0, 6_000, 1_100, 30, 66.0, 0)
_ENGINE = engines.entry("e", on_disk=frozenset(["m"]))
_CONFIGURATION = types.Configuration(
    version=1,
    routes={},
    services={
        "s": types.Service(
            "s", 100, {"m": _MODEL}, 16, types.EngineCapacity(230_000.0, 8), 4.0
        )
    },
    accounts={},
    account_by_key={},
    limits=types.CallerLimits(),
)


class _Engine:
    """Stand-in that takes every order and reports what it was like."""

    def __init__(self):
        self.orders = []

    async def order(self, _entry, order, _token, _sequence):
        self.orders.append(order)
        result = order_progress.Result.ACCEPTED
        return order_sender.OrderAnswer(result, "")

    async def report(self, _entry):
        return engines.report(on_disk=("m",))


def _holder(engine: _Engine, now_ms) -> holder_lib.Holder:
    lease = engines.held_lease()
    directory = targets.TargetDirectory(lambda *_: _ENGINE, now_ms, "dc")
    rows = (store_lib.Row("e", b"", 1),)
    directory.table.on_rows(store_lib.Snapshot(rows, 1), complete=True)
    keeper = engine_controller.EngineController(
        lease, directory, engine.order, engine.report, now_ms
    )
    knowledge = messages.KnownState(1, 0, 4, 0)
    holder = holder_lib.Holder(
        lease,
        keeper,
        directory,
        now_ms,
        "a",
        lambda: knowledge,
        lambda since: messages.TargetListDelta([], since, 1, 1, 0),
        token_grants.Tolerance(0, 0),
    )
    holder.configure(_CONFIGURATION)
    return holder


def test_who_waits_is_told_of_an_arrival_without_asking_again():
    # At 76 instances reports are 0.4 s apart, and callers expect the first
    # event within 0.6 s.
    async def play():
        loop = asyncio.get_running_loop()
        engine = _Engine()
        holder = _holder(engine, lambda: int(loop.time() * 1_000))
        told: dict[str, list[messages.View]] = {"waits": [], "idle": []}
        waited = messages.WaitingRequests("s", "m", "", [600], [2_400])
        following = loop.create_task(holder.run())
        holder.on_report(
            engines.instance_report("waits", waiting=[waited]),
            told["waits"].append,
        )
        holder.on_report(engines.instance_report("idle"), told["idle"].append)
        while not any(view.models.get("e") for view in told["waits"]):
            await asyncio.sleep(0.01)
        following.cancel()
        assert [order.model for order in engine.orders] == ["m"]
        assert told["waits"][-1].models == {"e": {"m": []}}
        assert told["waits"][-1].grants == {}
        assert len(told["idle"]) == 1

    asyncio.run(asyncio.wait_for(play(), 60))

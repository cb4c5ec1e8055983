"""Requests for a model that the configuration in force does not declare."""

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import users_platform
from tests.support import virtual_loop

_CONFIGURATION = users_platform.configuration()
_PLAIN, _ENGINES = _CONFIGURATION["services"]
_ROUTE = {
    **_CONFIGURATION["routes"][-1],
    "name": "models",
    "prefix": "/models/",
    "service": "engines",
}


def _services(*names: str) -> list[dict]:
    (model,) = _ENGINES["engine"]["models"]
    models = [{**model, "name": name} for name in names]
    engine = {"slots": 8, "models": models, "weights_mb": 300_000}
    return [_PLAIN, {**_ENGINES, "engine": engine}]


def test_waiting_requests_are_refused_once_their_model_is_withdrawn():
    # Guards against callers that wait until they give up for a model that
    # nobody will load.
    engine = gateway_targets.Engine("e0", ["m1"], [], load_ms=6_000)
    fleet = gateway_fleet.GatewayFleet(
        1, [engine], 1, routes=[_ROUTE], services=_services("m1", "m2")
    )

    async def play():
        await fleet.start()
        fleet.send_request("i0", "/models/x", Model="m2")
        await loops.sleep(100)
        waiting = fleet.waiting_count()
        fleet.configure(version=2, services=_services("m1"))
        withdrawn_ms = virtual_loop.now_ms()
        await loops.sleep(1_000)
        fleet.send_request("i0", "/models/x", Model="m2")
        fleet.send_request("i0", "/models/x", Model="m1")
        await loops.sleep(1_000)
        await fleet.close()
        return waiting, withdrawn_ms

    waiting, withdrawn_ms = virtual_loop.run(play())
    assert waiting == 1
    first, second, third = sorted(fleet.replies, key=lambda reply: reply.at_ms)
    assert first.status == 503
    assert first.at_ms + first.took_ms < withdrawn_ms + 1_000
    assert (second.status, second.took_ms) == (503, 0)
    assert third.status == 200


def test_a_request_without_a_model_waits_for_an_engine():
    # Guards against a refusal for an undeclared model where none is named.
    engine = gateway_targets.Engine("e0", ["m1"], [], load_ms=6_000)
    fleet = gateway_fleet.GatewayFleet(
        1, [engine], 1, routes=[_ROUTE], services=_services("m1")
    )

    async def play():
        await fleet.start()
        fleet.put("servers", "e0", None)
        await loops.sleep(1_000)
        fleet.send_request("i0", "/models/x")
        waiting = fleet.waiting_count()
        await fleet.close()
        return waiting

    assert virtual_loop.run(play()) == 1

"""Retries of requests over the whole fleet."""

from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

# Defaults of the settings in section ``retries``.
_RATIO = 0.2
_SLACK = 50


class _Failing(gateway_targets.Target):
    """A target that fails each request."""

    def run(self, _data: bytes) -> tuple[int, int]:
        return 500, self.run_ms


def test_retries_stay_in_their_budget_before_the_number_of_instances_is_known():
    targets = [_Failing(f"t{n}") for n in range(3)]
    fleet = gateway_fleet.GatewayFleet(9, targets, seed=1)
    fleet.writes_fail = True

    async def play():
        await fleet.start()
        assert fleet.holder() is None
        await fleet.send_traffic(200, 4_000, path="/safe/x")
        await fleet.close()

    virtual_loop.run(play())
    asked = len(fleet.replies)
    sends = sum(len(target.arrivals) for target in targets)
    assert asked > 700
    assert sends - asked <= _RATIO * asked + _SLACK

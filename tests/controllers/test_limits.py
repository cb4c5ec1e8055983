"""Tests of tanagerloft.controllers.limits: spent and unconfirmed limits."""

import pytest

from tanagerloft.bench import local
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.controllers import grants
from tanagerloft.decisions import errors

_ACCOUNT = inventory_lib.Account("account", 1_000, 8_000)
_INVENTORY = inventory_lib.empty()._replace(
    accounts={_ACCOUNT.name: _ACCOUNT},
    classes={"default": inventory_lib.RequestClass("default", 1_000)},
)
# More than half of the age from which keys count as unconfirmed.
_SLOW_START_MS = 3_000


@pytest.fixture
def fleet():
    return local.LocalFleet(0, _INVENTORY)


def test_single_instance_is_not_settled_before_it_holds_shares(fleet):
    """A delay between its first reads must not make it count as settled."""
    node = fleet.start("instance-0")
    node.configuration.tick()
    fleet.clock.advance(_SLOW_START_MS)
    assert not node.limits.is_settled()


def test_limit_is_unconfirmed_before_shares_are_held(fleet):
    node = fleet.start("instance-0")
    node.configuration.tick()
    fleet.clock.advance(_SLOW_START_MS)
    assert isinstance(node.limits.charge(_ACCOUNT, 10), errors.LimitUnconfirmed)


def test_settled_instance_still_charges_after_the_other_holder_is_lost(fleet):
    """The holder of all shares fails just after a second instance joined."""
    fleet.start("instance-0")
    fleet.run(5_000)
    second = fleet.start("instance-1")
    for _ in range(10):
        fleet.clock.advance(500)
        second.tick()
        if second.limits.is_settled():
            break
        fleet.nodes["instance-0"].tick()
    assert second.limits.is_settled()
    fleet.kill("instance-0")
    assert isinstance(second.limits.charge(_ACCOUNT, 10), grants.Charge)


def test_limit_is_unconfirmed_when_its_only_holder_is_lost(fleet):
    fleet.start("instance-0")
    fleet.run(5_000)
    second = fleet.start("instance-1")
    fleet.clock.advance(500)
    second.tick()
    assert second.limits.held() == {_ACCOUNT.name: 0}
    fleet.kill("instance-0")
    assert isinstance(
        second.limits.charge(_ACCOUNT, 10), errors.LimitUnconfirmed
    )


def test_spent_limit_is_exceeded(fleet):
    node = fleet.start("instance-0")
    fleet.run(5_000)
    assert isinstance(node.limits.charge(_ACCOUNT, 7_800), grants.Charge)
    assert isinstance(node.limits.charge(_ACCOUNT, 7_800), errors.LimitExceeded)

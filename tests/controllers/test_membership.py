"""Tests of tanagerloft.controllers.membership with an in-memory fleet."""

import pytest

from tanagerloft.bench import local
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.decisions import freshness


@pytest.fixture
def fleet():
    classes = {"default": inventory_lib.RequestClass("default", 1_000)}
    inventory = inventory_lib.empty()._replace(classes=classes)
    return local.LocalFleet(2, inventory)


def test_instances_that_start_together_know_each_other_at_once(fleet):
    """Else an instance that loses the table then would trust its own keys."""
    for node in fleet.nodes.values():
        node.tick()
    fleet.shared.cut = {"instance-0"}
    fleet.network.dead.add(fleet.nodes["instance-1"].bus.address)
    for _ in range(10):
        fleet.clock.advance(500)
        fleet.nodes["instance-0"].tick()
    status = fleet.nodes["instance-0"].configuration.freshness()
    assert status is freshness.Freshness.UNCONFIRMED


def test_missing_heartbeats_are_ignored_while_the_table_is_down(fleet):
    fleet.run(3_000)
    fleet.shared.down = True
    fleet.run(60_000)
    for node in fleet.nodes.values():
        assert node.membership.live() == ("instance-0", "instance-1")


def test_killed_instance_is_removed_from_the_live_instances(fleet):
    fleet.run(3_000)
    fleet.kill("instance-1")
    fleet.run(12_000)
    assert fleet.nodes["instance-0"].membership.live() == ("instance-0",)


def test_lease_ends_while_the_table_is_down(fleet):
    fleet.run(3_000)
    fleet.shared.down = True
    fleet.run(local.LEASE_MS)
    until_ms = fleet.nodes["instance-0"].membership.lease_until_ms()
    assert until_ms <= fleet.clock.now_ms()

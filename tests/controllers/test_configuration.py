"""Tests of tanagerloft.controllers.configuration with an in-memory fleet."""

import pytest

from tanagerloft.bench import local
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import store


def _inventory():
    classes = {"default": inventory_lib.RequestClass("default", 1_000)}
    return inventory_lib.empty()._replace(classes=classes)


@pytest.mark.parametrize(("count", "within_ms"), [(8, 5_000), (380, 14_000)])
def test_applied_version_is_active_on_all_instances_in_time(count, within_ms):
    """Required bounds: 5 s at today's size, 14 s at the target size."""
    fleet = local.LocalFleet(count, _inventory())
    fleet.run(2_000)
    store.apply(fleet.shared.rows, _inventory(), 1)
    fleet.run(within_ms, 1_000)
    numbers = {
        node.configuration.version.number for node in fleet.nodes.values()
    }
    assert numbers == {2}


def test_instance_without_the_table_adopts_the_version_of_its_peers():
    fleet = local.LocalFleet(3, _inventory())
    fleet.run(3_000)
    fleet.shared.cut = {"instance-0"}
    store.apply(fleet.shared.rows, _inventory(), 1)
    fleet.run(5_000)
    assert fleet.nodes["instance-0"].configuration.version.number == 2


def test_new_instance_during_an_outage_adopts_the_latest_of_its_peers():
    fleet = local.LocalFleet(3, _inventory())
    fleet.run(3_000)
    fleet.shared.down = True
    node = fleet.start("instance-1")
    fleet.run(5_000)
    assert not node.configuration.is_ready()
    fleet.lists_live = True
    fleet.run(5_000)
    assert node.configuration.version.number == 1

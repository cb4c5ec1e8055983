"""Converts models, adapters and targets into input of replica decisions."""

from typing import NamedTuple

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.decisions import reconcile
from tanagerloft.decisions import replicas
from tanagerloft.tables import table as table_lib


class Target(NamedTuple):
    """A target with its inventory entry and its row."""

    entry: inventory_lib.Target
    row: table_lib.Row
    state: replicas.TargetState


def make_target(
    inventory: inventory_lib.Inventory,
    entry: inventory_lib.Target,
    row: table_lib.Row,
    report: reconcile.LoadReport,
) -> Target:
    """Combines the inventory entry, the row and the report of a target."""
    state = replicas.TargetState(
        name=entry.name,
        incarnation=report.incarnation,
        capacity_mb=min(entry.memory_mb, report.memory_mb),
        checks_fencing=entry.checks_fencing,
        body=row.body,
        idle_ms=unloadable(inventory, report),
    )
    return Target(entry, row, state)


def unloadable(
    inventory: inventory_lib.Inventory, report: reconcile.LoadReport
) -> dict[str, int]:
    """Returns idle times by name, without models that have adapters loaded."""
    in_use = {
        inventory.adapters[name].model
        for name in report.items
        if name in inventory.adapters
    }
    return {
        name: idle_ms
        for name, idle_ms in report.idle_ms.items()
        if name not in in_use
    }


def find_item(
    inventory: inventory_lib.Inventory, name: str
) -> replicas.Item | None:
    """Returns the model or adapter called ``name``, if there is one."""
    model = inventory.models.get(name)
    if model is not None:
        return replicas.Item(
            model.name,
            model.version,
            model.size_mb,
            model.load_peak_mb,
            model.max_replicas,
        )
    adapter = inventory.adapters.get(name)
    if adapter is None:
        return None
    parent = inventory.models[adapter.model]
    return replicas.Item(
        adapter.name,
        adapter.version,
        adapter.size_mb,
        adapter.size_mb,
        parent.max_replicas,
        parent.name,
    )


def parent_name(inventory: inventory_lib.Inventory, name: str) -> str:
    """Returns an adapter's model, or the name itself."""
    adapter = inventory.adapters.get(name)
    return adapter.model if adapter else name

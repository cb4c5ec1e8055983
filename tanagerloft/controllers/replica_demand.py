"""Demand of waiting requests for replicas, and the reports it needs."""

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.controllers import catalogue
from tanagerloft.controllers import dispatch as dispatch_lib
from tanagerloft.controllers import health as health_lib
from tanagerloft.controllers import replica_rows
from tanagerloft.decisions import replicas
from tanagerloft.filters import errors as filter_errors


def wanted(
    inventory: inventory_lib.Inventory,
    dispatcher: dispatch_lib.Dispatcher,
    health: health_lib.HealthController,
) -> list[str]:
    """Returns models and adapters waited for that no target has ready.

    Requests for models that are no longer in the inventory are refused.
    """
    names = []
    for subject in dispatcher.waiting():
        if subject.startswith("route:"):
            continue
        if catalogue.find_item(inventory, subject) is None:
            dispatcher.refuse(subject, filter_errors.UNKNOWN_MODEL)
        elif not health.candidates(subject):
            names.append(subject)
    return names


def watch(
    inventory: inventory_lib.Inventory,
    names: list[str],
    rows: replica_rows.ReplicaRows,
    dispatcher: dispatch_lib.Dispatcher,
    health: health_lib.HealthController,
) -> None:
    """Makes the health controller poll the targets that matter more often.

    Args:
        inventory: Active inventory.
        names: Models and adapters that are waited for.
        rows: Rows of models as last read.
        dispatcher: Open requests.
        health: Polls the targets.
    """
    urgent: set[str] = set()
    for name in names:
        for row_name in (name, catalogue.parent_name(inventory, name)):
            observed = rows.observed(row_name)
            if observed is not None:
                urgent |= set(replicas.replicas_of(observed.row.body))
    used = {name for name in inventory.targets if dispatcher.in_flight(name)}
    health.watch(frozenset(used | urgent), frozenset(urgent))
    if urgent:
        health.tick()

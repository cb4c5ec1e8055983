"""Plans replicas: which target loads or unloads which item.

The functions here take the contents of table rows and return new contents. A
plan takes effect once the transaction that writes both rows has committed.

Row of a model or adapter: ``{"replicas": {target: replica}}``. Row of a
target: ``{"next_token": int, "reserved": {item: reservation}}``.
"""

import copy
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from tanagerloft.decisions import errors

LOADING = "loading"
READY = "ready"
UNLOADING = "unloading"


class Replica(TypedDict):
    """A planned replica.

    Attributes:
        token: Fencing token of the latest order for it.
        state: ``loading``, ``ready`` or ``unloading``.
        incarnation: Incarnation of the target to which the order applies.
    """

    token: int
    state: str
    incarnation: str


class Reservation(TypedDict):
    """Memory reserved on a target for one item, in megabytes."""

    mb: int


class Item(NamedTuple):
    """A model or adapter to load.

    Attributes:
        name: Its name.
        version: Version to load.
        size_mb: Memory once loaded.
        peak_mb: Memory while loading.
        max_replicas: Bound on replicas.
        parent: Model that an adapter belongs to, else empty.
    """

    name: str
    version: str
    size_mb: int
    peak_mb: int
    max_replicas: int
    parent: str = ""


class TargetState(NamedTuple):
    """Known state of a target.

    Attributes:
        name: Its name.
        incarnation: Incarnation in its latest report.
        capacity_mb: Memory for models.
        checks_fencing: Whether it refuses old fencing tokens.
        body: Contents of its row.
        cached_tier: Fastest tier with the item's weights: 0 for memory, 1 for
            disk, 2 for the weight store.
        idle_ms: Idle time of each ready item on it.
    """

    name: str
    incarnation: str
    capacity_mb: int
    checks_fencing: bool
    body: dict[str, Any]
    cached_tier: int = 2
    idle_ms: dict[str, int] = {}


class Order(NamedTuple):
    """An order for a target.

    Attributes:
        verb: ``load`` or ``unload``.
        target: Name of the target.
        item: Name of the item to load or unload.
        token: Fencing token, increases with each order on the target.
        incarnation: Incarnation of the target to which it applies.
    """

    verb: str
    target: str
    item: str
    token: int
    incarnation: str


class Plan(NamedTuple):
    """New contents of both rows, and the order to send once committed."""

    model_body: dict[str, Any]
    target_body: dict[str, Any]
    order: Order


def replicas_of(model_body: dict[str, Any]) -> dict[str, Replica]:
    """Returns the planned replicas by target."""
    return model_body.get("replicas", {})


def reserved_mb(target_body: dict[str, Any]) -> int:
    """Returns the memory reserved on a target."""
    reservations = target_body.get("reserved", {}).values()
    return sum(reservation["mb"] for reservation in reservations)


def plan_load(
    item: Item,
    model_body: dict[str, Any],
    targets: list[TargetState],
    lost: frozenset[str] = frozenset(),
) -> Plan | errors.NoCapacity:
    """Plans where to load one more replica of ``item``.

    Args:
        item: Item to load.
        model_body: Contents of its row.
        targets: Targets that may load it.
        lost: Targets that leave or do not report. Their replicas do not count
            against the bound, since they serve no requests.

    Returns:
        The plan, or why there is none.
    """
    replicas = replicas_of(model_body)
    if len(set(replicas) - lost) >= item.max_replicas:
        return errors.NoCapacity("all replicas are decided", permanent=False)
    if all(target.capacity_mb < item.peak_mb for target in targets):
        return errors.NoCapacity("no target is large enough", permanent=True)
    with_capacity = [
        target
        for target in targets
        if target.name not in replicas
        and reserved_mb(target.body) + item.peak_mb <= target.capacity_mb
    ]
    if not with_capacity:
        return errors.NoCapacity("no target has free memory", permanent=False)
    target = min(with_capacity, key=_load_preference)
    return _plan(item, model_body, target, LOADING, item.peak_mb)


def choose_eviction(
    item: Item, targets: list[TargetState], min_idle_ms: int
) -> tuple[str, str] | None:
    """Chooses an item to unload so that ``item`` can be loaded.

    Args:
        item: Item to load.
        targets: Targets that may load it.
        min_idle_ms: Idle time from which an item may be unloaded.

    Returns:
        Target and item to unload, the one idle longest, or None if no item
        that is idle long enough would help.
    """
    candidates = []
    for target in targets:
        if target.capacity_mb < item.peak_mb:
            continue
        for name, idle_ms in target.idle_ms.items():
            if idle_ms >= min_idle_ms and name != item.parent:
                candidates.append((idle_ms, target.name, name))
    if not candidates:
        return None
    _, target_name, item_name = max(candidates)
    return target_name, item_name


def plan_unload(
    item: Item, model_body: dict[str, Any], target: TargetState
) -> Plan | errors.StaleOrder:
    """Plans to unload the replica of ``item`` on ``target``."""
    replica = replicas_of(model_body).get(target.name)
    if replica is None or replica["state"] != READY:
        return errors.StaleOrder("the replica is not ready")
    return _plan(item, model_body, target, UNLOADING, item.size_mb)


def plan_retry(
    item: Item, model_body: dict[str, Any], target: TargetState
) -> Plan | errors.StaleOrder:
    """Plans to retry an order under a new fencing token.

    It replaces the order of whoever sent it first. A ready replica is loaded
    again, since its target has restarted.
    """
    replica = replicas_of(model_body).get(target.name)
    if replica is None:
        return errors.StaleOrder("no replica is decided")
    if replica["state"] == UNLOADING:
        return _plan(item, model_body, target, UNLOADING, item.size_mb)
    reserved_item_mb = target.body["reserved"][item.name]["mb"]
    others_mb = reserved_mb(target.body) - reserved_item_mb
    if others_mb + item.peak_mb > target.capacity_mb:
        return errors.StaleOrder("no memory to load again")
    return _plan(item, model_body, target, LOADING, item.peak_mb)


def confirm_ready(
    item: Item, model_body: dict[str, Any], target: TargetState
) -> Plan | errors.StaleOrder:
    """Records that a load has ended; reserves only the loaded size."""
    replica = replicas_of(model_body).get(target.name)
    if replica is None or replica["state"] != LOADING:
        return errors.StaleOrder("no load is open")
    model_body = copy.deepcopy(model_body)
    target_body = copy.deepcopy(target.body)
    model_body["replicas"][target.name]["state"] = READY
    target_body["reserved"][item.name]["mb"] = item.size_mb
    order = Order(
        "none", target.name, item.name, replica["token"], target.incarnation
    )
    return Plan(model_body, target_body, order)


def release_replica(
    item_name: str,
    model_body: dict[str, Any],
    target_name: str,
    target_body: Any,
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Returns both rows without the replica and its reservation."""
    model_body = copy.deepcopy(model_body)
    target_body = copy.deepcopy(target_body)
    model_body.get("replicas", {}).pop(target_name, None)
    target_body.get("reserved", {}).pop(item_name, None)
    return model_body, target_body


def _load_preference(target: TargetState) -> tuple[int, int, str]:
    free_mb = target.capacity_mb - reserved_mb(target.body)
    return (target.cached_tier, -free_mb, target.name)


def _plan(
    item: Item,
    model_body: dict[str, Any],
    target: TargetState,
    state: str,
    memory_mb: int,
) -> Plan:
    model_body = copy.deepcopy(model_body)
    target_body = copy.deepcopy(target.body)
    token = target_body.get("next_token", 1)
    target_body["next_token"] = token + 1
    target_body.setdefault("reserved", {})[item.name] = Reservation(
        mb=memory_mb
    )
    model_body.setdefault("replicas", {})[target.name] = Replica(
        token=token, state=state, incarnation=target.incarnation
    )
    verb = "unload" if state == UNLOADING else "load"
    order = Order(verb, target.name, item.name, token, target.incarnation)
    return Plan(model_body, target_body, order)

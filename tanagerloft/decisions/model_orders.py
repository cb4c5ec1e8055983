"""Inputs of the planning of loads and unloads, and the orders that result."""

from __future__ import annotations

from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

from tanagerloft.fleet import types


class Verb(enum.Enum):
    """Kind of an order."""

    LOAD = "load"
    UNLOAD = "unload"


class Order(NamedTuple):
    """An order to an engine.

    Attributes:
        verb: Kind of the order.
        target_id: Identity of the engine.
        model: Name of the model.
        adapter: Adapter of the model, empty for the model itself.
    """

    verb: Verb
    target_id: str
    model: str
    adapter: str = ""


class Purpose(enum.Enum):
    """Reason of an order.

    ``WAITING``: requests wait for the model. ``REFUSED``: the model was only
    asked for by requests that were refused. ``OVERDUE``: its demand has been
    unmet for too long. ``REPLICA``: one more engine is needed for a model in
    use. ``PREFETCH``: loaded ahead of demand. ``ADAPTER``: for an adapter that
    requests wait for.
    """

    WAITING = "waited for"
    REFUSED = "refused"
    OVERDUE = "overdue"
    REPLICA = "replica"
    PREFETCH = "ahead of demand"
    ADAPTER = "adapter"


class Demand(NamedTuple):
    """Requests that wait for a model or adapter, over all instances.

    Attributes:
        model: Name of the model.
        adapter: Adapter, empty for none.
        objectives_left_ms: Time until the latency objective of each request,
            negative if it is missed.
        caller_timeouts_left_ms: Time until the caller of each request gives up.
    """

    model: str
    adapter: str
    objectives_left_ms: tuple[int, ...]
    caller_timeouts_left_ms: tuple[int, ...]


class Copies(NamedTuple):
    """Models whose weights an engine has stored locally.

    Attributes:
        in_memory: Models with a copy in its memory.
        on_disk: Models with a copy on its disk, least recently used first.
    """

    in_memory: frozenset[str]
    on_disk: tuple[str, ...]

    def __contains__(self, model: object) -> bool:
        """Returns whether there is a copy of a model."""
        return model in self.in_memory or model in self.on_disk

    def all(self) -> frozenset[str]:
        """Returns the models with a copy."""
        return self.in_memory.union(self.on_disk)

    def with_load(self, model: str) -> Copies:
        """Returns the copies after a load of a model."""
        others = (name for name in self.on_disk if name != model)
        return self._replace(on_disk=(*others, model))

    def load_ms(self, model: types.Model) -> float:
        """Returns the time that a load from the fastest source takes."""
        if model.name in self.in_memory:
            return model.memory_load_ms
        if model.name in self.on_disk:
            return model.disk_load_ms
        return model.load_ms


class Engine(NamedTuple):
    """State of an engine as the planner sees it.

    Attributes:
        target_id: Identity of the engine.
        service: Name of its service.
        models: Loaded models with their adapters, including adapters that are
            being loaded.
        loading: Model that it loads, empty for none.
        busy: Whether it can't take an order now, as one is in transit or in
            progress.
        busy_ms: Estimated time until it can take an order.
        leaving: Whether it gets no new work.
        copies: Models whose weights it has stored locally.
        running: Requests in progress by model, over all instances.
        slots: Requests that it runs concurrently.
        capacity_mb: Memory for weights.
        max_adapters: Number of adapters that it can hold.
        disk_mb: Size of its disk for copies; 0 if unknown.
    """

    target_id: str
    service: str
    models: dict[str, frozenset[str]]
    loading: str
    busy: bool
    busy_ms: int
    leaving: bool
    copies: Copies
    running: dict[str, int]
    slots: int
    capacity_mb: float
    max_adapters: int
    disk_mb: float = 0.0

    def held(self) -> dict[str, frozenset[str]]:
        """Returns what takes memory, including the model being loaded."""
        held = dict(self.models)
        if self.loading:
            held.setdefault(self.loading, frozenset())
        return held


class UnmetDemand(NamedTuple):
    """Requests for a model since an engine last held it.

    Attributes:
        requests: Number of requests, decaying with age.
        since_ms: Reading of the clock at the first of them.
    """

    requests: float
    since_ms: int


class Usage(NamedTuple):
    """Use of models over all instances.

    Attributes:
        last_used_ms: Reading of the clock at the last request, by model and by
            model and adapter.
        recent: Number of requests in the last seconds, decaying with age, by
            model.
        in_flight: Requests in progress by model.
        unmet_demand: Requests since an engine last held the model, by model.
        returning: Time until each refused caller that is expected to come back
            gives up, by model.
    """

    last_used_ms: dict[str, int]
    recent: dict[str, float]
    in_flight: dict[str, int]
    unmet_demand: dict[str, UnmetDemand]
    returning: Mapping[str, tuple[int, ...]] = {}


class WeightStore(NamedTuple):
    """Current limits of the weight store.

    Attributes:
        loads_left: Loads that may begin now under the rate limit.
        under_way: Loads from the store in progress.
        concurrency: Number of concurrent loads to run.
        proven: Highest number that has been observed at full speed; 0 if none
            has.
    """

    loads_left: int
    under_way: int
    concurrency: int
    proven: int = 0


def merge(demand: Demand, other: Demand) -> Demand:
    """Returns the combined demand of two instances for the same model."""
    return demand._replace(
        objectives_left_ms=demand.objectives_left_ms + other.objectives_left_ms,
        caller_timeouts_left_ms=demand.caller_timeouts_left_ms
        + other.caller_timeouts_left_ms,
    )


def fits(
    held: dict[str, frozenset[str]],
    order: Order,
    models: Mapping[str, types.Model],
    capacity_mb: float,
    max_adapters: int,
) -> bool:
    """Returns whether an engine has capacity for what an order loads.

    Args:
        held: Models and adapters that it holds or may hold.
        order: The order.
        models: Models of known size, see ``ModelCatalog.known``.
        capacity_mb: Memory of the engine for weights.
        max_adapters: Number of adapters that it can hold.
    """
    if order.verb is Verb.UNLOAD:
        return True
    adapters = sum(len(names) for names in held.values())
    needed_mb = models[order.model].size_mb
    if order.adapter:
        needed_mb = models[order.model].adapter_size_mb
        adapters += 1
    used_mb = held_mb(held, models)
    return used_mb + needed_mb <= capacity_mb and adapters <= max_adapters


def held_mb(
    held: dict[str, frozenset[str]], models: Mapping[str, types.Model]
) -> float:
    """Returns the maximum memory that models and adapters take.

    Args:
        held: Adapters by model.
        models: Models of known size, see ``ModelCatalog.known``.

    Returns:
        The memory in MB; infinite if the size of a model is not known.
    """
    total_mb = 0.0
    for name, adapters in held.items():
        model = models.get(name)
        if model is None:
            return math.inf
        total_mb += model.size_mb + len(adapters) * model.adapter_size_mb
    return total_mb

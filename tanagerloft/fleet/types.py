"""Types that describe a deployment, independent of any wire format."""

import enum
from typing import NamedTuple

# Callers give up on a stream that stalls, also before its first event, after
# the longest of: a time, a multiple of the latency objective, a multiple of the
# gap.
_MIN_CALLER_TIMEOUT_MS = 2_000
_CALLER_TIMEOUT_PER_OBJECTIVE = 4
_CALLER_TIMEOUT_PER_GAP = 8
# Longest delay before a refused caller comes back, as a share of the time that
# it has left.
MAX_RETRY_DELAY_SHARE = 1 / 3


class RouteKind(enum.Enum):
    """Which requests of a route may be retried after they may have run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class Split(NamedTuple):
    """Share of the requests of a route that a service gets.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other splits of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Services and bounds for the requests of a host and path prefix.

    Attributes:
        name: Name.
        host: Value of the Host header, without a port.
        prefix: Prefix of the path, with a slash at both ends.
        kind: Which requests may be retried.
        resumable: Whether a stream may continue at another target.
        timeout_ms: Longest time until the end of the response.
        latency_objective_ms: Expected time to the response, or to the first
            event of a stream.
        gap_ms: Expected time between two events, 0 for no stream.
        max_targets: Targets on which one request may run.
        priority: Rank, 0 is the most urgent.
        open: Whether no key is needed.
        splits: Services that share the requests.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    resumable: bool
    timeout_ms: int
    latency_objective_ms: int
    gap_ms: int
    max_targets: int
    priority: int
    open: bool
    splits: tuple[Split, ...]

    @property
    def caller_timeout_ms(self) -> int:
        """Time after which callers give up on a stream that stalls."""
        if self.kind is not RouteKind.STREAM:
            return self.timeout_ms
        patience_ms = max(
            _MIN_CALLER_TIMEOUT_MS,
            _CALLER_TIMEOUT_PER_OBJECTIVE * self.latency_objective_ms,
            _CALLER_TIMEOUT_PER_GAP * self.gap_ms,
        )
        return min(self.timeout_ms, patience_ms)

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


class Model(NamedTuple):
    """A model that engines can load.

    Attributes:
        name: Name.
        size_mb: Size of the weights.
        load_ms: Time to load from the weight store.
        memory_load_ms: Time to load from a copy in the engine's memory.
        disk_load_ms: Time to load from a copy on the engine's disk.
        adapter_size_mb: Size of one adapter.
        adapter_count: Number of adapters.
    """

    name: str
    size_mb: float
    load_ms: float
    memory_load_ms: float
    disk_load_ms: float
    adapter_size_mb: float
    adapter_count: int


class EngineCapacity(NamedTuple):
    """Capacity of one engine.

    Attributes:
        memory_mb: Memory for weights and adapters together.
        max_adapters: Number of adapters that it can hold.
        disk_mb: Size of its disk for copies of weights; 0 if not named.
    """

    memory_mb: float
    max_adapters: int
    disk_mb: float = 0.0


class Service(NamedTuple):
    """Targets that do the same work.

    Attributes:
        name: Name.
        max_connections: Connections that a target accepts from all callers.
        models: Models by name; empty for a plain service.
        slots: Requests that an engine runs concurrently; 0 for a plain service.
        engine_capacity: Capacity of each engine, None if not configured.
        store_loads_per_s: Loads from the weight store that may start per
            second, over all engines; None if not configured.
    """

    name: str
    max_connections: int
    models: dict[str, Model]
    slots: int
    engine_capacity: EngineCapacity | None = None
    store_loads_per_s: float | None = None

    @property
    def has_engines(self) -> bool:
        """Whether its targets are model engines."""
        return bool(self.models)


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Name.
        rate_tokens_per_s: Rate over the whole fleet, 0 for no limit.
        burst_tokens: Tokens that may be used at once beyond the rate.
        default_cost_tokens: Cost of a request without a token count.
        priority: Rank that overrides that of the route, None if not set.
    """

    name: str
    rate_tokens_per_s: float
    burst_tokens: float
    default_cost_tokens: int
    priority: int | None


class CallerLimits(NamedTuple):
    """Bounds on the sizes and durations of requests of callers.

    Attributes:
        header_bytes: Size of the head of a request.
        body_bytes: Size of the body of a request.
        header_timeout_ms: Time from the first byte of a head to its last.
        idle_timeout_ms: Silence after which a connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """A version of the configuration.

    Attributes:
        version: Version number; greater is newer.
        routes: Routes by host, the longest prefix first.
        services: Services by name.
        accounts: Client accounts by name.
        account_by_key: Account that holds each key.
        limits: Bounds on callers.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, Account]
    account_by_key: dict[str, Account]
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of ``path``, if any."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class TargetEntry(NamedTuple):
    """Entry of a target in the platform's list.

    Attributes:
        target_id: Name of the target.
        service: Service that it belongs to.
        host: IP address.
        port: Port.
        data_centre: Where it runs.
        leaving: Whether it must get no new requests.
        leaves_in_ms: Time until it is gone, None if not announced.
        born_ms: Start of this incarnation, by the clock of the target; 0 if
            the entry does not name it.
        software_version: Version of its software, empty if not named. A stream
            may only go on at the version that began it.
        models: Loaded models, with the adapters loaded for each.
        in_memory: Models with a copy of the weights in its memory.
        on_disk: Models with a copy of the weights on its disk.
    """

    target_id: str
    service: str
    host: str
    port: int
    data_centre: str
    leaving: bool
    leaves_in_ms: int | None
    born_ms: int
    software_version: str
    models: dict[str, frozenset[str]]
    in_memory: frozenset[str]
    on_disk: frozenset[str]


class TargetReport(NamedTuple):
    """State that an engine reports.

    Attributes:
        models: Loaded models, with the adapters loaded for each.
        loading_adapters: Adapters being loaded, as (model, adapter).
        busy: Whether it is executing an order.
        order_sequence: Number of orders that it has accepted.
        waiting: Number of queued requests.
        running: Number of running requests.
        in_memory: Models with a copy of the weights in its memory.
        on_disk: Models with a copy of the weights on its disk, least recently
            used first.
    """

    models: dict[str, frozenset[str]]
    loading_adapters: frozenset[tuple[str, str]]
    busy: bool
    order_sequence: int
    waiting: int
    running: int
    in_memory: frozenset[str]
    on_disk: tuple[str, ...]

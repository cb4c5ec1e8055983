"""Inventory and rules: typed entries."""

from typing import NamedTuple


class Target(NamedTuple):
    """A model engine or a plain service that requests are sent to.

    Attributes:
        name: Unique name.
        url: Base URL.
        type: ``engine`` or ``service``.
        data_centre: Where it runs.
        memory_mb: Memory for models, 0 for a service.
        checks_fencing: Whether it refuses orders with an old fencing token.
    """

    name: str
    url: str
    type: str
    data_centre: str
    memory_mb: int = 0
    checks_fencing: bool = False


class Model(NamedTuple):
    """A model that engines can load.

    Attributes:
        name: Unique name, as callers give it.
        version: Version to load.
        size_mb: Memory when loaded.
        load_peak_mb: Memory while loading, at least ``size_mb``.
        max_replicas: Bound on replicas.
        request_class: Class of requests that name none.
    """

    name: str
    version: str
    size_mb: int
    load_peak_mb: int
    max_replicas: int = 1
    request_class: str = "default"


class Adapter(NamedTuple):
    """An adapter that is loaded beside its model.

    Attributes:
        name: Unique name, as callers give it in place of a model.
        model: Model that it belongs to.
        version: Version to load.
        size_mb: Memory when loaded.
    """

    name: str
    model: str
    version: str
    size_mb: int


class Route(NamedTuple):
    """A path that is routed to plain services.

    Attributes:
        name: Unique name.
        path: Path prefix, starting with a slash.
        targets: Names of the services.
        idempotent: False if a request may run only once.
        open: True if no key is needed.
        request_class: Class of its requests.
        tokens: Charge for one request against the account's limit.
    """

    name: str
    path: str
    targets: tuple[str, ...]
    idempotent: bool = True
    open: bool = False
    request_class: str = "default"
    tokens: int = 0


class Account(NamedTuple):
    """A client account.

    Attributes:
        name: Unique name.
        rate_tokens_per_s: Sustained limit over the whole fleet.
        burst_tokens: Limit on what may be spent at once.
        weight: Share of the queues relative to other accounts.
    """

    name: str
    rate_tokens_per_s: int
    burst_tokens: int
    weight: int = 1


class Key(NamedTuple):
    """Digest of a key that callers of an account present.

    Attributes:
        name: Unique name, by which operators withdraw it.
        account: Account that it belongs to.
        sha256: SHA-256 digest of the key, in lower-case hexadecimal.
    """

    name: str
    account: str
    sha256: str


class RequestClass(NamedTuple):
    """A class of requests.

    Attributes:
        name: Unique name; ``default`` must exist.
        deadline_ms: Time from arrival until a target has the request.
        priority: Higher is served earlier.
        answer_ms: Time from then until the end of the answer.
    """

    name: str
    deadline_ms: int
    priority: int = 0
    answer_ms: int = 120_000


class Inventory(NamedTuple):
    """All entries of one version, by name."""

    targets: dict[str, Target]
    models: dict[str, Model]
    adapters: dict[str, Adapter]
    routes: dict[str, Route]
    accounts: dict[str, Account]
    keys: dict[str, Key]
    classes: dict[str, RequestClass]


def empty() -> Inventory:
    """Returns an inventory with no entries."""
    return Inventory({}, {}, {}, {}, {}, {}, {})


Entry = Target | Model | Adapter | Route | Account | Key | RequestClass

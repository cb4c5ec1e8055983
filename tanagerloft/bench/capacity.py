"""Slopes of an instance's control path over sizes of the deployment.

The real controllers run on a virtual clock over fakes; rows go through the
table's codec, so that bytes and processor time of coding count.
"""

import time
from typing import NamedTuple

from tanagerloft.bench import local
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import store
from tanagerloft.util import ids

_SETTLE_MS = 45_000
_STEP_MS = 500
_POLL_S = 1.0


class Sizes(NamedTuple):
    """Sizes of a deployment.

    Attributes:
        instances: Entry instances.
        models: Models.
        adapters: Adapters.
        targets: Targets.
        accounts: Client accounts.
    """

    instances: int
    models: int
    adapters: int
    targets: int
    accounts: int


TARGET = Sizes(
    instances=380, models=560, adapters=1_500, targets=600, accounts=50
)


class Control(NamedTuple):
    """Cost of the control path, each instance's average.

    Attributes:
        cpu_percent: Processor time, per cent of a core.
        table_bytes_per_s: Bytes of rows read and written.
        peer_bytes_per_s: Bytes between instances.
        reads_per_s: Table reads of the whole fleet.
        writes_per_s: Table writes of the whole fleet.
    """

    cpu_percent: float
    table_bytes_per_s: float
    peer_bytes_per_s: float
    reads_per_s: float
    writes_per_s: float


class Change(NamedTuple):
    """Cost of one change of configuration at one instance.

    Attributes:
        kilobytes: What it reads from the table.
        cpu_ms: Processor time to read, check and put it in force.
    """

    kilobytes: float
    cpu_ms: float


def make_inventory(sizes: Sizes) -> inventory_lib.Inventory:
    """Returns an inventory of the given sizes."""
    targets = [
        inventory_lib.Target(
            f"engine-{n}", f"http://10.0.0.{n}:8000", "engine", "dc-1", 80_000
        )
        for n in range(sizes.targets)
    ]
    models = [
        inventory_lib.Model(f"model-{n}", "1", 4_000, 4_400)
        for n in range(sizes.models)
    ]
    adapters = [
        inventory_lib.Adapter(
            f"adapter-{n}", f"model-{n % sizes.models}", "1", 80
        )
        for n in range(sizes.adapters)
    ]
    accounts = [
        inventory_lib.Account(f"account-{n}", 10_000, 40_000)
        for n in range(sizes.accounts)
    ]
    keys = [
        inventory_lib.Key(f"key-{n}", account.name, ids.sha256_hex(str(n)))
        for n, account in enumerate(accounts)
    ]
    return inventory_lib.Inventory(
        targets={t.name: t for t in targets},
        models={m.name: m for m in models},
        adapters={a.name: a for a in adapters},
        routes={},
        accounts={a.name: a for a in accounts},
        keys={k.name: k for k in keys},
        classes={"default": inventory_lib.RequestClass("default", 30_000)},
    )


def measure_control(sizes: Sizes, duration_ms: int) -> Control:
    """Measures an idle fleet: configuration, membership and limits."""
    fleet = local.LocalFleet(sizes.instances, make_inventory(sizes))
    fleet.run(_SETTLE_MS, _STEP_MS)
    shared, network = fleet.shared, fleet.network
    shared.measures_bytes = True
    shared.bytes = shared.reads = shared.writes = network.bytes = 0
    started_s = time.process_time()
    fleet.run(duration_ms, _STEP_MS)
    cpu_s = time.process_time() - started_s
    seconds = duration_ms / 1_000
    share = seconds * sizes.instances
    return Control(
        cpu_s / share * 100,
        shared.bytes / share,
        network.bytes / share,
        # The fleet here looks at the version twice a second, an instance once.
        shared.reads / seconds - sizes.instances / _POLL_S,
        shared.writes / seconds,
    )


def measure_change(sizes: Sizes) -> Change:
    """Measures one change of configuration at one instance."""
    inventory = make_inventory(sizes)
    fleet = local.LocalFleet(1, inventory)
    fleet.run(2_000)
    store.apply(fleet.shared.rows, inventory, 1)
    node = fleet.nodes["instance-0"]
    fleet.shared.measures_bytes = True
    started_s = time.process_time()
    node.configuration.tick()
    cpu_ms = (time.process_time() - started_s) * 1_000
    return Change(fleet.shared.bytes / 1_000, cpu_ms)


def slope(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Fits a line by least squares.

    Returns:
        Value at zero, slope, and the largest distance of a point from the
        line as a part of the largest value.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    gradient = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
        if spread
        else 0.0
    )
    start = mean_y - gradient * mean_x
    error = max(abs(y - start - gradient * x) for x, y in points)
    largest = max(abs(y) for _, y in points) or 1.0
    return start, gradient, error / largest

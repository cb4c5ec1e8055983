"""Measures idle instances as real processes: processor time and memory."""

import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from scripts import measure_relay  # noqa: E402
from tanagerloft.targets import engine  # noqa: E402
from tests.support import fleet as fleet_lib  # noqa: E402

_SIZES = (8,)
_SETTLE_S = 5
_MEASURE_S = 15
_REPORTS = 2_000


def _measure(instances: int) -> None:
    with (
        tempfile.TemporaryDirectory() as directory,
        fleet_lib.Fleet(directory, instances, 2) as fleet,
    ):
        time.sleep(_SETTLE_S)
        pids = [fleet.pid(name) for name in fleet.instance_names()]
        before = [measure_relay.cpu_s(pid) for pid in pids]
        counts = fleet.get("platform", "/counts")
        time.sleep(_MEASURE_S)
        after = [measure_relay.cpu_s(pid) for pid in pids]
        later = fleet.get("platform", "/counts")
        used = [b - a for a, b in zip(before, after, strict=True)]
        memory = [measure_relay.resident_mb(pid) for pid in pids]
        print(
            f"{instances:9}  {sum(used) / len(used) / _MEASURE_S * 100:5.2f}"
            f"  {max(memory):11.1f}"
            f"  {(later['reads'] - counts['reads']) / _MEASURE_S:7.1f}"
            f"  {(later['writes'] - counts['writes']) / _MEASURE_S:8.1f}"
        )


def _measure_reports() -> None:
    """Measures what one load report costs an instance that asks for it."""
    with (
        tempfile.TemporaryDirectory() as directory,
        fleet_lib.Fleet(directory, 1, 1) as fleet,
    ):
        target = fleet.inventory.targets["engine-1"]
        started_s = time.process_time()
        for _ in range(_REPORTS):
            engine.fetch_report(fleet.client, target)
        used_ms = (time.process_time() - started_s) * 1_000
        size = len(fleet.request("engine-1", "GET", "/load_report").body)
    print(
        f"one load report: {used_ms / _REPORTS:.2f} ms of processor time,"
        f" body {size} bytes without models"
    )


def main() -> None:
    """Measures each size."""
    _measure_reports()
    print("instances  cpu %  resident MB  reads/s  writes/s  (idle)")
    for instances in _SIZES:
        _measure(instances)


if __name__ == "__main__":
    main()

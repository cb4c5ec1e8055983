"""The command ``tanagerloft bench``."""

import click

from tanagerloft.bench import capacity as capacity_lib
from tanagerloft.bench import limit_designs
from tanagerloft.bench import limit_workload

_LOAD = 0.95
_STEADY_MS = 300_000
_AFTER_KILL_MS = 30_000
_OUTAGE_MS = 600_000
_CONTROL_MS = 40_000


@click.group()
def bench() -> None:
    """Run experiments on a virtual clock; same figures on every run."""


@bench.command()
@click.option("--sizes", default="8,32,128,380", help="Numbers of instances.")
@click.option("--seed", default=1, show_default=True, help="Random seed.")
def limits(sizes: str, seed: int) -> None:
    """Compare designs of the fleet-wide limit."""
    click.echo(
        "instances  design              refused   refused 30 s  burst at one"
        "  rate kept in   above  reads  writes  bytes/s"
    )
    click.echo(
        "                               steady    after kill    instance"
        "      10 min outage  bound  /s     /s      an instance"
    )
    for count in map(int, sizes.split(",")):
        for name, make in limit_designs.DESIGNS.items():
            click.echo(_row(count, name, make, seed))


@bench.command()
@click.option("--sizes", default="8,32,128,380", help="Numbers of instances.")
def capacity(sizes: str) -> None:
    """Measure slopes of the control path up to the users' target size."""
    counts = [int(size) for size in sizes.split(",")]
    _print_control(counts)
    _print_changes()


def _print_control(counts: list[int]) -> None:
    click.echo(
        "instances  accounts  cpu %  table bytes/s  peer bytes/s"
        "  fleet reads/s  fleet writes/s   (an instance, idle fleet)"
    )
    cpu, table_bytes = [], []
    for count in counts:
        sizes = capacity_lib.TARGET._replace(instances=count)
        control = capacity_lib.measure_control(sizes, _CONTROL_MS)
        cpu.append((float(count), control.cpu_percent))
        table_bytes.append((float(count), control.table_bytes_per_s))
        click.echo(
            f"{count:9}  {sizes.accounts:8}  {control.cpu_percent:5.2f}"
            f"  {control.table_bytes_per_s:13.0f}"
            f"  {control.peer_bytes_per_s:12.0f}  {control.reads_per_s:13.0f}"
            f"  {control.writes_per_s:14.1f}"
        )
    for name, points in (("cpu %", cpu), ("table bytes/s", table_bytes)):
        start, gradient, error = capacity_lib.slope(points)
        click.echo(
            f"{name}: {start:.3g} + {gradient:.3g} an instance,"
            f" off by at most {error:.0%}"
        )


def _print_changes() -> None:
    click.echo(
        "models + adapters  kilobytes  cpu ms   (one change, one instance)"
    )
    points = []
    for part in (0.1, 0.25, 0.5, 1.0):
        sizes = capacity_lib.TARGET._replace(
            models=int(capacity_lib.TARGET.models * part),
            adapters=int(capacity_lib.TARGET.adapters * part),
            targets=int(capacity_lib.TARGET.targets * part),
        )
        change = capacity_lib.measure_change(sizes)
        items = sizes.models + sizes.adapters
        points.append((float(items), change.cpu_ms))
        click.echo(f"{items:17}  {change.kilobytes:9.0f}  {change.cpu_ms:6.1f}")
    start, gradient, error = capacity_lib.slope(points)
    click.echo(
        f"cpu ms: {start:.3g} + {gradient:.3g} a model or adapter,"
        f" off by at most {error:.0%}"
    )


def _row(count: int, name: str, make, seed: int) -> str:
    workload = limit_workload.Workload(
        count, _LOAD, 0.5, min(_STEADY_MS, _STEADY_MS * 32 // count), seed=seed
    )
    design = make(count)
    steady = limit_workload.run(design, workload)
    killed = limit_workload.run(
        design,
        workload._replace(duration_ms=_AFTER_KILL_MS, kill_first=True),
    )
    burst = limit_workload.run_burst(make(count))
    outage_ms = min(_OUTAGE_MS, _OUTAGE_MS * 32 // count)
    outage = limit_workload.run(
        make(count),
        workload._replace(load=1.5, duration_ms=outage_ms, table_down=True),
    )
    due = limit_designs.RATE_TOKENS_PER_S * outage_ms / 1_000
    above = max(
        steady.above_bound_tokens,
        killed.above_bound_tokens,
        outage.above_bound_tokens,
    )
    return (
        f"{count:9}  {name:18}  {steady.wrongly_refused:7.2%}"
        f"  {killed.wrongly_refused:12.2%}  {burst:12.0%}"
        f"  {outage.admitted_tokens / due:13.1%}  {above:5}"
        f"  {steady.reads_per_s:5.0f}  {steady.writes_per_s:6.1f}"
        f"  {steady.bytes_per_s:7.0f}"
    )

"""The command ``tanagerloft bench``."""

import click

from tanagerloft.bench import limit_designs

_LOAD = 0.95
_STEADY_MS = 300_000
_AFTER_KILL_MS = 30_000
_OUTAGE_MS = 600_000


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


def _row(count: int, name: str, make, seed: int) -> str:
    workload = limit_designs.Workload(
        count, _LOAD, 0.5, min(_STEADY_MS, _STEADY_MS * 32 // count), seed=seed
    )
    design = make(count)
    steady = limit_designs.run(design, workload)
    killed = limit_designs.run(
        design,
        workload._replace(duration_ms=_AFTER_KILL_MS, kill_first=True),
    )
    burst = limit_designs.run_burst(make(count))
    outage_ms = min(_OUTAGE_MS, _OUTAGE_MS * 32 // count)
    outage = limit_designs.run(
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

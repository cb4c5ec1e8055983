"""The command ``tanagerloft status``."""

import json
from typing import Any

import click

from tanagerloft.cmd import exits
from tanagerloft.cmd import options
from tanagerloft.decisions import membership
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@options.table_options
def status(as_json: bool, table_url: str, table_name: str) -> None:
    """Print instances, versions in force, replicas, queues and limits."""
    table = options.open_table(table_url, table_name)
    report = _collect(table)
    if as_json:
        click.echo(json.dumps(report))
        return
    _print(report)


def _collect(table: table_lib.Table) -> dict[str, Any]:
    version = options.read_current(table).number
    found = scan(table, rows.INSTANCE)
    instances = {row.key.name: row.body for row in found}
    return {
        "version": version,
        "instances": instances,
        "lagging": lagging(found, version),
        "replicas": {
            row.key.name: row.body.get("replicas", {})
            for row in scan(table, rows.MODEL)
        },
        "targets": {
            row.key.name: row.body.get("reserved", {})
            for row in scan(table, rows.TARGET)
        },
        "limits": {
            row.key.name: [slot["holder"] for slot in row.body["slots"]]
            for row in scan(table, rows.LIMIT)
        },
    }


def lagging(instances: list[table_lib.Row], version: int) -> list[str]:
    """Returns the serving instances that have an earlier version in force."""
    return sorted(
        row.key.name
        for row in instances
        if row.body["state"] == membership.SERVING
        and row.body["version"] < version
    )


def scan(table: table_lib.Table, kind: str) -> list[table_lib.Row]:
    """Returns all rows of a kind, or ends the process."""
    found = table.scan(kind)
    if isinstance(found, table_errors.TableError):
        exits.fail(f"table: {found.reason}")
    return found


def _print(report: dict[str, Any]) -> None:
    click.echo(f"version in force: {report['version']}")
    click.echo("instances (name, data centre, version, state, waiting):")
    for name, body in report["instances"].items():
        click.echo(
            f"  {name}  {body['data_centre']}  {body['version']}"
            f"  {body['state']}  {body['waiting']}"
        )
    names = ", ".join(report["lagging"]) or "none"
    click.echo(f"lagging behind: {names}")
    click.echo("replicas (model, target, state):")
    for name, decided in report["replicas"].items():
        for target, replica in decided.items():
            click.echo(f"  {name}  {target}  {replica['state']}")
    click.echo("memory reserved (target, megabytes):")
    for name, reserved in report["targets"].items():
        total_mb = sum(entry["mb"] for entry in reserved.values())
        click.echo(f"  {name}  {total_mb}")
    click.echo("limit shares (account, holders):")
    for name, holders in report["limits"].items():
        click.echo(f"  {name}  {' '.join(h or '-' for h in holders)}")

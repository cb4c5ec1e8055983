"""The command ``tanagerloft inventory``."""

import click

from tanagerloft.cmd import exits
from tanagerloft.cmd import options
from tanagerloft.config import errors
from tanagerloft.config import inventory_text
from tanagerloft.config import store
from tanagerloft.tables import errors as table_errors

_FILE = click.Path(exists=True, dir_okay=False)


@click.group()
def inventory() -> None:
    """Check, apply and show the inventory and rules."""


@inventory.command()
@click.argument("file", type=_FILE)
def check(file: str) -> None:
    """Check the inventory in FILE; exit code 2 names the faulty line."""
    options.read_inventory(file)
    click.echo(f"{file}: valid")


@inventory.command()
@click.argument("file", type=_FILE)
@click.option(
    "--base",
    type=click.IntRange(min=0),
    required=True,
    help="Version that the change was made from; 0 for the first.",
)
@options.table_options
def apply(file: str, base: int, table_url: str, table_name: str) -> None:
    """Make the inventory in FILE the next version.

    Exit code 3 if another version than --base is in force.
    """
    table = options.open_table(table_url, table_name)
    result = store.apply(table, options.read_inventory(file), base)
    if isinstance(result, store.Version):
        click.echo(f"version {result.number} accepted")
        return
    code = exits.FAILED
    if result.code == table_errors.CONFLICT:
        code = exits.CONFLICT
    exits.fail(_explain(result), code)


@inventory.command()
@options.table_options
def show(table_url: str, table_name: str) -> None:
    """Print the version in force; its number goes to standard error."""
    table = options.open_table(table_url, table_name)
    version = options.read_current(table)
    click.echo(f"version {version.number}", err=True)
    click.echo(inventory_text.dump(version.inventory), nl=False)


def _explain(error: errors.ApplyError) -> str:
    return f"{error.code}: version {error.version_in_force} is in force"

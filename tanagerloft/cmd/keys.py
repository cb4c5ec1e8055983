"""The command ``tanagerloft keys``."""

from collections.abc import Callable
import secrets
import time

import click

from tanagerloft.cmd import exits
from tanagerloft.cmd import options
from tanagerloft.cmd import status
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import store
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import ids

_KEY_BYTES = 32
_ATTEMPTS = 10
_POLL_S = 0.25

Edit = Callable[[inventory_lib.Inventory], inventory_lib.Inventory]


@click.group()
def keys() -> None:
    """Issue and withdraw keys of client accounts."""


@keys.command()
@click.argument("account")
@click.argument("name")
@options.table_options
def issue(account: str, name: str, table_url: str, table_name: str) -> None:
    """Issue a key called NAME for ACCOUNT and print it, this once only."""
    key = "tl-" + secrets.token_urlsafe(_KEY_BYTES)
    entry = inventory_lib.Key(name, account, ids.sha256_hex(key))

    def add(inventory: inventory_lib.Inventory) -> inventory_lib.Inventory:
        if account not in inventory.accounts:
            exits.fail(f"no account {account!r}", exits.INVALID)
        if name in inventory.keys:
            exits.fail(f"a key {name!r} exists", exits.INVALID)
        return inventory._replace(keys={**inventory.keys, name: entry})

    number = _change(options.open_table(table_url, table_name), add)
    click.echo(f"version {number} accepted", err=True)
    click.echo(key)


@keys.command()
@click.argument("name")
@click.option(
    "--wait-s",
    default=20,
    show_default=True,
    help="Seconds to wait until all instances say that it is in force.",
)
@options.table_options
def withdraw(name: str, wait_s: int, table_url: str, table_name: str) -> None:
    """Withdraw the key called NAME; exit code 4 if an instance lags."""

    def remove(inventory: inventory_lib.Inventory) -> inventory_lib.Inventory:
        if name not in inventory.keys:
            exits.fail(f"no key {name!r}", exits.INVALID)
        left = {k: v for k, v in inventory.keys.items() if k != name}
        return inventory._replace(keys=left)

    table = options.open_table(table_url, table_name)
    number = _change(table, remove)
    click.echo(f"version {number} accepted", err=True)
    lagging = _wait_in_force(table, number, wait_s)
    if lagging:
        names = ", ".join(lagging)
        exits.fail(f"not in force yet at: {names}", exits.LAGGING)
    click.echo("in force everywhere", err=True)


def _wait_in_force(
    table: table_lib.Table, number: int, wait_s: int
) -> list[str]:
    """Waits for a version; returns the instances that do not have it."""
    deadline_s = time.monotonic() + wait_s
    while True:
        lagging = status.lagging(status.scan(table, rows.INSTANCE), number)
        if not lagging or time.monotonic() >= deadline_s:
            return lagging
        time.sleep(_POLL_S)


def _change(table: table_lib.Table, edit: Edit) -> int:
    """Applies an edit to the version in force, again after each conflict."""
    attempts = 0
    while True:
        attempts += 1
        current = options.read_current(table)
        result = store.apply(table, edit(current.inventory), current.number)
        if isinstance(result, store.Version):
            return result.number
        if result.code != table_errors.CONFLICT:
            exits.fail(f"{result.code}: {result.reason}")
        if attempts == _ATTEMPTS:
            exits.fail("other changes kept coming first", exits.CONFLICT)

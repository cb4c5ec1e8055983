"""The command ``tanagerloft keys``."""

from collections.abc import Callable
import secrets

import click

from tanagerloft.cmd import exits
from tanagerloft.cmd import options
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import store
from tanagerloft.platform import errors as platform_errors
from tanagerloft.platform import table as table_lib
from tanagerloft.util import ids

_KEY_BYTES = 32
_ATTEMPTS = 10

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
@options.table_options
def withdraw(name: str, table_url: str, table_name: str) -> None:
    """Withdraw the key called NAME."""

    def remove(inventory: inventory_lib.Inventory) -> inventory_lib.Inventory:
        if name not in inventory.keys:
            exits.fail(f"no key {name!r}", exits.INVALID)
        left = {k: v for k, v in inventory.keys.items() if k != name}
        return inventory._replace(keys=left)

    number = _change(options.open_table(table_url, table_name), remove)
    click.echo(f"version {number} accepted", err=True)


def _change(table: table_lib.Table, edit: Edit) -> int:
    """Applies an edit to the version in force, again after each conflict."""
    attempts = 0
    while True:
        attempts += 1
        current = options.read_current(table)
        result = store.apply(table, edit(current.inventory), current.number)
        if isinstance(result, store.Version):
            return result.number
        if result.code != platform_errors.CONFLICT:
            exits.fail(f"{result.code}: {result.reason}")
        if attempts == _ATTEMPTS:
            exits.fail("other changes kept coming first", exits.CONFLICT)

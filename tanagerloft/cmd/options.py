"""Options that several commands share."""

from collections.abc import Callable

import click

from tanagerloft.cmd import exits
from tanagerloft.config import errors
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import inventory_text
from tanagerloft.config import store
from tanagerloft.tables import dynamo_table
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import table as table_lib
from tanagerloft.util import http

_TIMEOUT_MS = 5_000


def table_options(command: Callable) -> Callable:
    """Adds the options that name the platform's table."""
    url = click.option(
        "--table-url",
        envvar="TANAGERLOFT_TABLE_URL",
        required=True,
        help="URL of the platform's table.",
    )
    name = click.option(
        "--table-name",
        envvar="TANAGERLOFT_TABLE_NAME",
        default="tanagerloft",
        show_default=True,
        help="Name of the table.",
    )
    return url(name(command))


def open_table(table_url: str, table_name: str) -> table_lib.Table:
    """Returns a client of the platform's table."""
    return dynamo_table.DynamoTable(
        http.HttpClient(), table_url, table_name, _TIMEOUT_MS
    )


def read_current(table: table_lib.Table) -> store.Version:
    """Returns the version in force, or ends the process."""
    number = store.read_number(table)
    if isinstance(number, table_errors.TableError):
        exits.fail(f"table: {number.reason}")
    version = store.read(table, number)
    if isinstance(version, table_errors.TableError):
        exits.fail(f"table: {version.reason}")
    return version


def read_inventory(path: str) -> inventory_lib.Inventory:
    """Returns the inventory in a file, or ends the process."""
    with open(path, encoding="utf-8") as file:
        inventory = inventory_text.parse(file.read())
    if isinstance(inventory, errors.InventoryError):
        exits.fail(f"{path}: {inventory}", exits.INVALID)
    return inventory

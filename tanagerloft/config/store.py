"""Versions of the configuration in the platform's table."""

import base64
from typing import NamedTuple
import zlib

from tanagerloft.config import errors
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import inventory_text
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import ids


class Version(NamedTuple):
    """One version of the configuration.

    Attributes:
        number: Rises by one with each accepted change, 0 for none.
        inventory: Its contents.
    """

    number: int
    inventory: inventory_lib.Inventory


_PACKED = "zlib_b85"
NONE = Version(0, inventory_lib.empty())


def read_number(table: table_lib.Table) -> int | table_errors.TableError:
    """Returns the number of the version in force, 0 if there is none."""
    head = table.read(rows.configuration_head())
    if isinstance(head, table_errors.TableError):
        return head
    return head.revision


def read(
    table: table_lib.Table, number: int
) -> Version | table_errors.TableError:
    """Returns the contents of version ``number``."""
    if number == 0:
        return NONE
    row = table.read(rows.configuration_version(number))
    if isinstance(row, table_errors.TableError):
        return row
    text = _unpack(row.body)
    if text is None:
        return table_errors.unavailable(f"version {number} is not there")
    inventory = inventory_text.parse(text)
    if isinstance(inventory, errors.InventoryError):
        return table_errors.unavailable(f"version {number}: {inventory}")
    return Version(number, inventory)


def apply(
    table: table_lib.Table,
    inventory: inventory_lib.Inventory,
    expected_number: int,
) -> Version | errors.ApplyError:
    """Makes ``inventory`` the version after ``expected_number``.

    The change is accepted once its conditional write has committed.
    """
    number = expected_number + 1
    body = _pack(inventory_text.dump(inventory))
    transaction = table_lib.Transaction(
        ids.new_id(),
        (
            table_lib.Put(rows.configuration_head(), expected_number, {}),
            table_lib.Put(rows.configuration_version(number), 0, body),
        ),
    )
    result = table_lib.commit_resolved(table, transaction)
    if isinstance(result, table_errors.TableError):
        return _apply_error(table, result)
    return Version(number, inventory)


def _pack(text: str) -> dict[str, str]:
    """Returns the row of a version: rows have a bound on their size."""
    packed = base64.b85encode(zlib.compress(text.encode()))
    return {_PACKED: packed.decode("ascii")}


def _unpack(body: dict[str, str]) -> str | None:
    if _PACKED not in body:
        return None
    return zlib.decompress(base64.b85decode(body[_PACKED])).decode()


def _apply_error(
    table: table_lib.Table, error: table_errors.TableError
) -> errors.ApplyError:
    number = read_number(table)
    in_force = 0 if isinstance(number, table_errors.TableError) else number
    return errors.ApplyError(error.code, in_force, error.reason)

"""Interface of the platform's transactional table."""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from tanagerloft.tables import errors

_RESOLVE_ATTEMPTS = 3


class RowKey(NamedTuple):
    """Name of a row: its kind is the partition, its name is within it."""

    kind: str
    name: str


class Row(NamedTuple):
    """A row as read.

    Attributes:
        key: Name of the row.
        revision: Count of writes, 0 if the row does not exist.
        operation_id: Identity of the transaction that wrote it last.
        body: Contents, JSON values only.
    """

    key: RowKey
    revision: int
    operation_id: str
    body: dict[str, Any]


class Put(NamedTuple):
    """A write that holds only if the row is at ``expected_revision``."""

    key: RowKey
    expected_revision: int
    body: dict[str, Any]


class Check(NamedTuple):
    """A condition on a row that the transaction does not write."""

    key: RowKey
    expected_revision: int


class Transaction(NamedTuple):
    """Writes that take effect together or not at all.

    Attributes:
        operation_id: Identity stored in each written row, so that a writer
            whose answer was lost can read what happened.
        puts: Conditional writes, at least one.
        checks: Further conditions.
    """

    operation_id: str
    puts: tuple[Put, ...]
    checks: tuple[Check, ...] = ()


class Committed(NamedTuple):
    """Result of a transaction that took effect."""

    operation_id: str


def absent(key: RowKey) -> Row:
    """Returns the row that does not exist."""
    return Row(key, 0, "", {})


def written(put: Put, committed: Committed) -> Row:
    """Returns the row as a committed write has left it."""
    return Row(
        put.key, put.expected_revision + 1, committed.operation_id, put.body
    )


class Table(Protocol):
    """The platform's table. Calls block; errors are returned."""

    def read(self, key: RowKey) -> Row | errors.TableError:
        """Returns the row, at revision 0 if it does not exist."""

    def scan(self, kind: str) -> list[Row] | errors.TableError:
        """Returns all rows of one kind, ordered by name."""

    def commit(self, transaction: Transaction) -> Committed | errors.TableError:
        """Commits, or returns ``conflict``, ``unavailable`` or ``unknown``."""


def commit_resolved(
    table: Table, transaction: Transaction
) -> Committed | errors.TableError:
    """Commits and, if the answer was lost, reads what happened.

    A repeat is safe because each write is conditional on a revision: it takes
    effect at most once.

    Returns:
        The commit; ``conflict``, ``unavailable``; or ``unknown`` where a later
        write hides whether this one took effect, or the table can't be read.
    """
    result = table.commit(transaction)
    for _ in range(_RESOLVE_ATTEMPTS):
        if not _is_unknown(result):
            return result
        found = _look_up(table, transaction)
        if found is not None:
            return found
        result = _repeat(table, transaction)
    return result


def _is_unknown(result: Committed | errors.TableError) -> bool:
    return (
        isinstance(result, errors.TableError) and result.code == errors.UNKNOWN
    )


def _look_up(
    table: Table, transaction: Transaction
) -> Committed | errors.TableError | None:
    """Returns the outcome, or None if the write has had no effect so far."""
    put = transaction.puts[0]
    row = table.read(put.key)
    if isinstance(row, errors.TableError):
        return errors.unknown(row.reason)
    if row.operation_id == transaction.operation_id:
        return Committed(transaction.operation_id)
    if row.revision == put.expected_revision:
        return None
    if row.revision == put.expected_revision + 1:
        return errors.conflict(f"{put.key.name} was written by another")
    return errors.unknown(f"{put.key.name} was written again since")


def _repeat(
    table: Table, transaction: Transaction
) -> Committed | errors.TableError:
    """Commits again; a conflict may be with the first try's own write."""
    result = table.commit(transaction)
    if isinstance(result, errors.TableError) and result.code in (
        errors.CONFLICT,
        errors.UNAVAILABLE,
    ):
        return errors.unknown(result.reason)
    return result

"""Converts limit rows for decisions.account_shares, and writes changes."""

from tanagerloft.decisions import account_shares
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import ids


def write(
    table: table_lib.Table, name: str, change: account_shares.Write
) -> account_shares.WriteOutcome:
    """Commits a change to the limit row of an account.

    Args:
        table: The platform's table.
        name: Name of the account.
        change: The change, with the revisions of instance rows that must hold.
    """
    put = table_lib.Put(rows.limit(name), change.expected_revision, change.body)
    checks = tuple(
        table_lib.Check(rows.instance(instance), revision)
        for instance, revision in change.checks.items()
    )
    result = table_lib.commit_resolved(
        table, table_lib.Transaction(ids.new_id(), (put,), checks)
    )
    return _outcome(result)


def view(row: table_lib.Row, lease_until_ms: int) -> account_shares.RowView:
    """Returns the view of a limit row that account_shares works on."""
    return account_shares.RowView(row.revision, row.body, lease_until_ms)


def _outcome(
    result: table_lib.Committed | table_errors.TableError,
) -> account_shares.WriteOutcome:
    if isinstance(result, table_lib.Committed):
        return account_shares.WriteOutcome.COMMITTED
    if result.code == table_errors.UNKNOWN:
        return account_shares.WriteOutcome.UNKNOWN
    return account_shares.WriteOutcome.NOT_WRITTEN

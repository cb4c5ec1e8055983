"""Table kept in memory, for the stand-in, the trial and tests."""

import threading

from tanagerloft.tables import errors
from tanagerloft.tables import table as table_lib


class MemoryTable:
    """Transactional table in one process. Safe for use by many threads."""

    def __init__(self):
        self._rows: dict[table_lib.RowKey, table_lib.Row] = {}
        self._lock = threading.Lock()

    def read(self, key: table_lib.RowKey) -> table_lib.Row:
        """Returns the row, at revision 0 if it does not exist."""
        with self._lock:
            return self._get(key)

    def scan(self, kind: str) -> list[table_lib.Row]:
        """Returns all rows of one kind, ordered by name."""
        with self._lock:
            rows = [r for r in self._rows.values() if r.key.kind == kind]
        return sorted(rows, key=lambda row: row.key)

    def commit(
        self, transaction: table_lib.Transaction
    ) -> table_lib.Committed | errors.TableError:
        """Commits all writes, or none if a condition does not hold."""
        conditions = transaction.puts + transaction.checks
        with self._lock:
            for condition in conditions:
                revision = self._get(condition.key).revision
                if revision != condition.expected_revision:
                    return errors.conflict(
                        f"{condition.key.kind}/{condition.key.name} is at"
                        f" revision {revision}"
                    )
            for put in transaction.puts:
                self._rows[put.key] = table_lib.Row(
                    put.key,
                    put.expected_revision + 1,
                    transaction.operation_id,
                    put.body,
                )
        return table_lib.Committed(transaction.operation_id)

    def _get(self, key: table_lib.RowKey) -> table_lib.Row:
        return self._rows.get(key) or table_lib.absent(key)

"""Fake of the table that instances in one process share."""

import json

from tanagerloft.tables import dynamo_codec
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import memory
from tanagerloft.tables import table as table_lib


class SharedTable:
    """The table that all instances of a fleet use, with counts and faults.

    Attributes:
        rows: The table itself.
        down: Whether it answers nobody.
        cut: Instances that cannot reach it.
        reads: Calls that read.
        writes: Calls that write.
        bytes: Bytes of rows read and written, if ``measures_bytes`` is set.
        measures_bytes: Whether rows go through the table's codec, as they do
            between processes.
        late: Transactions that were answered with "unknown" and may still
            take effect.
    """

    def __init__(self):
        self.rows = memory.MemoryTable()
        self.down = False
        self.cut: set[str] = set()
        self.reads = 0
        self.writes = 0
        self.bytes = 0
        self.measures_bytes = False
        self.late: list[table_lib.Transaction] = []

    def carry(self, row: table_lib.Row) -> table_lib.Row:
        """Sends a row through the codec if bytes are measured."""
        if not self.measures_bytes:
            return row
        text = json.dumps(dynamo_codec.encode_row(row), separators=(",", ":"))
        self.bytes += len(text)
        return dynamo_codec.decode_row(json.loads(text))

    def land_late(self) -> None:
        """Lets the transactions that are still under way take effect."""
        for transaction in self.late:
            self.rows.commit(transaction)
        self.late.clear()


class TableHandle:
    """One instance's way to the shared table; a ``table.Table``.

    Attributes:
        next_writes: What becomes of the next writes: ``lost answer`` (takes
            effect, answered "unknown"), ``lost`` (no effect, "unknown") or
            ``late`` ("unknown", takes effect when ``land_late`` is called).
    """

    def __init__(self, shared: SharedTable, instance_id: str):
        self._shared = shared
        self._instance_id = instance_id
        self.next_writes: list[str] = []

    def read(
        self, key: table_lib.RowKey
    ) -> table_lib.Row | table_errors.TableError:
        """Returns the row, unless the table cannot be reached."""
        if self._is_cut():
            return table_errors.unavailable("cut")
        self._shared.reads += 1
        return self._shared.carry(self._shared.rows.read(key))

    def scan(self, kind: str) -> list[table_lib.Row] | table_errors.TableError:
        """Returns all rows of a kind, unless the table cannot be reached."""
        if self._is_cut():
            return table_errors.unavailable("cut")
        self._shared.reads += 1
        return [self._shared.carry(r) for r in self._shared.rows.scan(kind)]

    def commit(
        self, transaction: table_lib.Transaction
    ) -> table_lib.Committed | table_errors.TableError:
        """Commits, subject to the faults set."""
        if self._is_cut():
            return table_errors.unavailable("cut")
        self._shared.writes += 1
        for put in transaction.puts:
            written = table_lib.Committed(transaction.operation_id)
            self._shared.carry(table_lib.written(put, written))
        fate = self.next_writes.pop(0) if self.next_writes else ""
        if fate == "lost":
            return table_errors.unknown(fate)
        if fate == "late":
            self._shared.late.append(transaction)
            return table_errors.unknown(fate)
        result = self._shared.rows.commit(transaction)
        return table_errors.unknown(fate) if fate else result

    def _is_cut(self) -> bool:
        return self._shared.down or self._instance_id in self._shared.cut

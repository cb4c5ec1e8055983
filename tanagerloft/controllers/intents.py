"""Controller of the records of non-idempotent requests."""

from typing import Any

from tanagerloft.decisions import intents
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import ids


class IntentController:
    """Reads and writes intent records; stateless."""

    def __init__(self, table: table_lib.Table):
        self._table = table

    def recall(self, context: context_lib.RequestContext) -> context_lib.Result:
        """Returns the recorded result, or None if the request may run."""
        row = self._table.read(_key_of(context))
        if isinstance(row, table_errors.TableError):
            return errors.RECORD_UNAVAILABLE
        return _result_of(intents.decide(row.body, _digest_of(context)))

    def claim(self, context: context_lib.RequestContext) -> context_lib.Result:
        """Records that the request is about to be sent.

        Returns:
            None if this request owns the record and may send; otherwise the
            final result.
        """
        key = _key_of(context)
        row = self._table.read(key)
        if isinstance(row, table_errors.TableError):
            return errors.RECORD_UNAVAILABLE
        digest = _digest_of(context)
        decision = intents.decide(row.body, digest)
        if not isinstance(decision, intents.MayRun):
            return _result_of(decision)
        result = self._write(row, intents.running_record(digest))
        if isinstance(result, table_lib.Committed):
            return None
        if result.code == table_errors.CONFLICT:
            return self.recall(context) or errors.RECORD_UNAVAILABLE
        return errors.RECORD_UNAVAILABLE

    def complete(
        self, context: context_lib.RequestContext, outcome: intents.Replay
    ) -> None:
        """Records the response for retries; else a retry gets "unknown"."""
        record = intents.done_record(_digest_of(context), outcome)
        self._overwrite(context, record)

    def abandon(self, context: context_lib.RequestContext) -> None:
        """Records that the request was never sent, so a retry may run."""
        self._overwrite(context, intents.not_run_record(_digest_of(context)))

    def _overwrite(
        self, context: context_lib.RequestContext, record: dict[str, Any]
    ) -> None:
        row = self._table.read(_key_of(context))
        if isinstance(row, table_lib.Row):
            self._write(row, record)

    def _write(
        self, row: table_lib.Row, record: dict[str, Any]
    ) -> table_lib.Committed | table_errors.TableError:
        transaction = table_lib.Transaction(
            ids.new_id(), (table_lib.Put(row.key, row.revision, record),)
        )
        return table_lib.commit_resolved(self._table, transaction)


def _key_of(context: context_lib.RequestContext) -> table_lib.RowKey:
    return rows.intent(context.account_name, context.idempotency_key)


def _digest_of(context: context_lib.RequestContext) -> str:
    target = f"{context.method} {context.work.target_path}\n".encode()
    return ids.sha256_hex(target + context.body)


def _result_of(decision: intents.Decision) -> context_lib.Result:
    if isinstance(decision, intents.MayRun):
        return None
    if isinstance(decision, intents.DigestMismatch):
        return errors.IDEMPOTENCY_KEY_REUSED
    if isinstance(decision, intents.OutcomeUnknown):
        return errors.OUTCOME_UNKNOWN
    return context_lib.Answered(decision)

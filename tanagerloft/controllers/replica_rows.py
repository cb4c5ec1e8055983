"""Reads and writes the rows of models and of targets."""

from collections.abc import Iterable
from typing import NamedTuple

from tanagerloft.controllers import catalogue
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.controllers import health as health_lib
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import ids


class Observed(NamedTuple):
    """Row of a model, and since when it has had this revision."""

    row: table_lib.Row
    since_ms: int


class ReplicaRows:
    """Rows that record decisions on replicas, as last read by the instance."""

    def __init__(
        self,
        table: table_lib.Table,
        configuration: configuration_lib.ConfigurationController,
        health: health_lib.HealthController,
        clock: clock_lib.Clock,
    ):
        self._table = table
        self._configuration = configuration
        self._health = health
        self._clock = clock
        self._observed: dict[str, Observed] = {}

    def observed(self, name: str) -> Observed | None:
        """Returns the row of a model as last read, None if never read."""
        return self._observed.get(name)

    def read(self, name: str) -> table_lib.Row | None:
        """Returns the row of a model, None if the table cannot be reached."""
        row = self._table.read(rows.model(name))
        if isinstance(row, table_errors.TableError):
            return None
        before = self._observed.get(name)
        if before is None or before.row.revision != row.revision:
            self._observed[name] = Observed(row, self._clock.now_ms())
        return row

    def all_lost(self, decided: Iterable[str]) -> bool:
        """Returns whether the targets of all decided replicas are lost."""
        return all(self._health.is_lost(name) for name in decided)

    def reports_ready(self, target_name: str, item_name: str) -> bool:
        """Returns whether a target reports a model as ready."""
        latest = self._health.latest_report(target_name)
        return latest is not None and (
            latest.report.items.get(item_name) == "ready"
        )

    def commit(
        self,
        model_row: table_lib.Row,
        target_row: table_lib.Row,
        model_body: dict,
        target_body: dict,
    ) -> bool:
        """Writes the rows of a model and of a target in one transaction."""
        puts = (
            table_lib.Put(model_row.key, model_row.revision, model_body),
            table_lib.Put(target_row.key, target_row.revision, target_body),
        )
        result = table_lib.commit_resolved(
            self._table, table_lib.Transaction(ids.new_id(), puts)
        )
        committed = isinstance(result, table_lib.Committed)
        if committed:
            self.read(model_row.key.name)
        return committed

    def targets(self) -> dict[str, catalogue.Target]:
        """Returns the engines with a current report that are not leaving."""
        found = self._table.scan(rows.TARGET)
        if isinstance(found, table_errors.TableError):
            return {}
        by_name = {row.key.name: row for row in found}
        inventory = self._configuration.version.inventory
        states = {}
        for name, entry in inventory.targets.items():
            latest = self._health.latest_report(name)
            if (
                entry.type != "engine"
                or latest is None
                or latest.report.leaving
            ):
                continue
            row = by_name.get(name) or table_lib.absent(rows.target(name))
            states[name] = catalogue.make_target(
                inventory, entry, row, latest.report
            )
        return states

    def read_target(self, name: str) -> catalogue.Target | None:
        """Returns an engine with a current report, with its row."""
        row = self._table.read(rows.target(name))
        latest = self._health.latest_report(name)
        inventory = self._configuration.version.inventory
        entry = inventory.targets.get(name)
        if isinstance(row, table_errors.TableError):
            return None
        if latest is None or entry is None:
            return None
        return catalogue.make_target(inventory, entry, row, latest.report)

"""The lease holder: receives reports, sends views and plans engines."""

from __future__ import annotations

from collections.abc import Callable
import logging

from tanagerloft.coordination import account_grants
from tanagerloft.coordination import engine_controller
from tanagerloft.coordination import in_flight_totals
from tanagerloft.coordination import instance_reports
from tanagerloft.coordination import messages
from tanagerloft.coordination import model_changelog
from tanagerloft.coordination import target_permits
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import crash_quarantine
from tanagerloft.decisions import handover
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import prompt_quarantine
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types
from tanagerloft.util import bounded
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Longest and shortest time between two plans.
_PLAN_INTERVAL_MS = 100
_MIN_PLAN_INTERVAL_MS = 15
# Shortest time between two checks for changes of the loaded models.
_CHANGELOG_INTERVAL_MS = 5
# Reports of each instance before a prompt part is barred: one brings the answer
# that names it, the next one the objection.
_OBJECTION_REPORTS = 2
# Most recent leaving targets that views mention. The target list has them
# within seconds.
_MAX_LEAVING_TARGETS = 32


class Holder:
    """Answers reports and plans engines while this instance holds the lease.

    Args:
        lease: State of the lease.
        engines: Plans engines and sends orders to them.
        directory: Target directory.
        now_ms: Clock.
        name: Name of this instance.
        known_state: Returns the state that this instance has read from the
            store.
        target_changes: Returns the changes of the target list since a version
            of the store.
        tolerance: Amount by which accounts may exceed their limits.
    """

    def __init__(
        self,
        lease: order_lease.OrderLease,
        engines: engine_controller.EngineController,
        directory: targets_lib.TargetDirectory,
        now_ms: Callable[[], int],
        name: str,
        known_state: Callable[[], messages.KnownState],
        target_changes: Callable[[int], messages.TargetListDelta],
        tolerance: token_grants.Tolerance,
    ):
        self._lease = lease
        self._engines = engines
        self._now_ms = now_ms
        self._name = name
        self._known_state = known_state
        self._target_changes = target_changes
        self._grants = account_grants.AccountGrants(lease, now_ms, tolerance)
        self._directory = directory
        self._permits = target_permits.TargetGrants(
            lease, directory.feedback.limits, now_ms
        )
        self._reports = instance_reports.InstanceReports()
        self._totals = in_flight_totals.InFlightTotals()
        self._crashes = crash_quarantine.CrashLedger()
        self._prompt_parts = prompt_quarantine.PartLedger()
        self._changelog = model_changelog.ModelChangelog()
        self._changelog_updated_ms = 0
        self._new_models: set[tuple[str, str]] = set()
        self._leaving_targets: dict[str, int] = {}
        self._initialized_token: int | None = None
        self._renew_soon: Callable[[], None] = lambda: None
        self._configuration: types.Configuration | None = None
        self._wake = engines.changed

    def set_renew_soon(self, renew_soon: Callable[[], None]) -> None:
        """Sets the callback that requests an early renewal of the lease."""
        self._renew_soon = renew_soon
        # The next holder must know of the load.
        self._engines.set_on_store_load(renew_soon)

    def configure(self, configuration: types.Configuration) -> None:
        """Applies a new configuration."""
        self._configuration = configuration
        self._engines.configure(configuration)
        self._grants.configure(configuration)

    def on_report(
        self, report: messages.Report, send_view: instance_reports.SendView
    ) -> None:
        """Records a report and answers it while the lease is held.

        Args:
            report: The report.
            send_view: Sends a view to the sender.
        """
        now_ms = self._now_ms()
        if self._lease.is_valid(now_ms) and self._lease.stepped_down:
            send_view(self._last_view(report, now_ms))
            return
        if not self._lease.is_holder(now_ms) or self._configuration is None:
            return
        if report.reads_store and self._renewal_overdue(now_ms):
            self._lease.step_down()
            logger.warning(
                "stepped down as lease holder",
                extra={
                    "reader": report.instance,
                    "renewed_ago_ms": self._lease.renewed_ago_ms(now_ms),
                },
            )
            send_view(self._last_view(report, now_ms))
            return
        received = self._reports.by_instance.get(report.instance)
        if received is None:
            pass
        elif received.report.incarnation != report.incarnation:
            self._engines.usage.on_restart(report.instance)
        elif received.report.sequence >= report.sequence:
            return
        self._record(report, send_view, now_ms)
        send_view(self._granting_view(report, now_ms))

    def _granting_view(
        self, report: messages.Report, now_ms: int
    ) -> messages.View:
        """Returns a view with the grants that a report requests."""
        grants = self._grants.grant(report, _process_id(report))
        if report.instance in self._grants.withheld_from:
            self._renew_soon()
        permits = self._permits.grant(_process_id(report), report.permit_needs)
        view = self._view(report, now_ms)
        return view._replace(grants=grants, permits=permits)

    def next_promises(self, term: order_lease.Term) -> dict[str, float]:
        """Returns the promises to write with a claim or a renewal."""
        return self._grants.next_promises(term)

    def last_promises(self) -> dict[str, float]:
        """Returns the promises of a holder that no longer grants tokens."""
        return self._grants.last_promises()

    def handover_state(self, term: order_lease.Term) -> handover.HandoverState:
        """Returns the learned state to write with a term.

        Until its term has begun, a new holder passes on the state that it has
        inherited.
        """
        if term.token != self._initialized_token:
            return term.learnt
        return self._engines.handover_state(self._now_ms())

    def on_promised(self, term: order_lease.Term) -> None:
        """Handles the successful write of the promises of a term.

        Instances that wait for tokens which were promised to the next holder
        get them now.
        """
        self._grants.on_promised(term)
        if term.token != self._initialized_token:
            self._initialized_token = term.token
            self._engines.inherit(
                self._lease.inherited_state, self._lease.inherited_ms
            )
        waiting = self._grants.withheld_from & self._reports.by_instance.keys()
        self._grants.withheld_from.clear()
        now_ms = self._now_ms()
        for instance in waiting:
            received = self._reports.by_instance[instance]
            if self._lease.is_holder(now_ms):
                received.send_view(self._granting_view(received.report, now_ms))

    def _record(
        self,
        report: messages.Report,
        send_view: instance_reports.SendView,
        now_ms: int,
    ) -> None:
        self._reports.record(report, send_view, now_ms)
        self._totals.record(report)
        self._crashes.update(_process_id(report), report.crashes, now_ms)
        self._prompt_parts.update(
            report.part_crashes,
            report.sound_parts,
            report.barred_parts,
            now_ms,
        )
        self._directory.feedback.on_shared_limits(report.limits)
        for target_id, born_ms in report.leaving_targets.items():
            if self._leaving_targets.get(target_id) != born_ms:
                bounded.put_newest(
                    self._leaving_targets,
                    target_id,
                    born_ms,
                    _MAX_LEAVING_TARGETS,
                )
        if report.leaving:
            self._totals.remove(report.instance)
        self._engines.usage.update_counts(
            report.instance, report.request_counts, now_ms
        )
        if report.leaving:
            self._engines.usage.forget(report.instance)
        if report.waiting:
            self._wake.set()

    async def run(self) -> None:
        """Plans until the process ends."""
        while True:
            await loops.sleep(_MIN_PLAN_INTERVAL_MS)
            pause_ms = self._engines.states.next_change_in_ms(
                self._now_ms(), _PLAN_INTERVAL_MS
            )
            await loops.wait(self._wake, pause_ms)
            self._wake.clear()
            now_ms = self._now_ms()
            if self._configuration is None or not self._lease.is_holder(now_ms):
                self._engines.states.clear()
                continue
            self._drop_expired(now_ms)
            self._engines.update(now_ms)
            self._send_arrivals(now_ms)
            reports = [
                received.report for received in self._reports.live(now_ms)
            ]
            self._engines.plan(reports, self._totals, now_ms)

    def _send_arrivals(self, now_ms: int) -> None:
        """Sends a view at once to instances that wait for a new model.

        In a large fleet each instance reports too rarely to learn of it from
        the answer to its next report.
        """
        self._update_changelog(now_ms)
        new_models, self._new_models = self._new_models, set()
        if not new_models:
            return
        for received in self._reports.live(now_ms):
            waiting = received.report.waiting
            if any(
                (item.model, item.adapter) in new_models for item in waiting
            ):
                received.send_view(self._view(received.report, now_ms))

    def _view(self, report: messages.Report, now_ms: int) -> messages.View:
        """Returns a view without grants."""
        view = self._last_view(report, now_ms)
        seen_token, seen_version = report.models_seen
        self._update_changelog(now_ms)
        models, models_version = self._changelog.changes_since(
            seen_version if seen_token == view.token else 0
        )
        return view._replace(
            models=models,
            models_version=models_version,
            ready_in_ms=self._engines.ready_in_ms,
        )

    def _last_view(self, report: messages.Report, now_ms: int) -> messages.View:
        """Returns a view without grants or models: this term may have ended."""
        return messages.View(
            holder=self._name,
            token=self._lease.term.token if self._lease.term else 0,
            sequence=report.sequence,
            instances=self._reports.live_count(now_ms),
            grants={},
            in_flight=self._totals.others_in_flight(report.instance),
            prefilling=self._totals.others_prefilling(report.instance),
            models={},
            models_version=report.models_seen[1],
            ready_in_ms={},
            quarantined=self._crashes.quarantined(now_ms),
            suspect_parts=self._prompt_parts.suspects(now_ms),
            barred_parts=self._barred_parts(now_ms),
            status=self._status(now_ms),
            leaving_targets=self._leaving_targets,
            targets=self._target_changes(report.targets_version),
            limits=self._directory.feedback.limits.limits_to_share(now_ms),
            permits=[],
        )

    def _barred_parts(self, now_ms: int) -> list[str]:
        """Returns the prompt parts that no request may have."""
        live_count = self._reports.live_count(now_ms)
        objection_ms = _OBJECTION_REPORTS * instance_reports.interval_ms(
            live_count
        )
        return self._prompt_parts.barred(objection_ms, now_ms)

    def _renewal_overdue(self, now_ms: int) -> bool:
        return self._lease.is_renewal_overdue(now_ms)

    def _status(self, now_ms: int) -> messages.HolderStatus:
        return messages.HolderStatus(
            lease_version=self._lease.version,
            renewed_ago_ms=self._lease.renewed_ago_ms(now_ms),
            renewal_overdue=self._renewal_overdue(now_ms),
            stepped_down=self._lease.stepped_down,
            known_state=self._known_state(),
        )

    def _drop_expired(self, now_ms: int) -> None:
        """Removes instances that no longer report from the totals."""
        for instance in self._reports.expired(now_ms):
            self._totals.remove(instance)

    def _update_changelog(self, now_ms: int) -> None:
        if now_ms - self._changelog_updated_ms >= _CHANGELOG_INTERVAL_MS:
            self._changelog_updated_ms = now_ms
            self._new_models |= self._changelog.update(
                self._engines.states.shared_models()
            )


def _process_id(report: messages.Report) -> str:
    """Returns the identity of the process of an instance."""
    return f"{report.instance}/{report.incarnation}"

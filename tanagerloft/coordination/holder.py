"""The holder's side of the fleet: what it hears, its views, its orders."""

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
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types
from tanagerloft.util import bounded
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Time between plans when nothing happens, and the least time between two.
_PLAN_INTERVAL_MS = 100
_MIN_PLAN_INTERVAL_MS = 15
# Least time between two looks for changes of what engines hold.
_CHANGELOG_INTERVAL_MS = 5
# Leaving targets that are told on, the newest; the list tells of them within
# seconds.
_MAX_LEAVING_TARGETS = 32


class Holder:
    """Answers reports and lets engines be planned while the lease holds.

    Args:
        lease: The lease's state.
        engines: Engines and orders to them.
        directory: What is known of the targets.
        now_ms: Clock.
        name: Name of this instance.
        knowledge: Returns how current this instance's own knowledge is.
        tell_targets: Returns what has changed in the list of targets since a
            version of the store.
        tolerance: By how much accounts may exceed their limits.
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
        self._changelog = model_changelog.ModelChangelog()
        self._changelog_updated_ms = 0
        self._new_models: set[tuple[str, str]] = set()
        self._leaving_targets: dict[str, int] = {}
        self._initialized_token = 0
        self._renew_soon: Callable[[], None] = lambda: None
        self._configuration: types.Configuration | None = None
        self._wake = engines.changed

    def set_renew_soon(self, renew_soon: Callable[[], None]) -> None:
        """Sets what is called when new promises should be written at once."""
        self._renew_soon = renew_soon

    def configure(self, configuration: types.Configuration) -> None:
        """Takes in a new configuration."""
        self._configuration = configuration
        self._engines.configure(configuration)
        self._grants.configure(configuration)

    def on_report(
        self, report: messages.Report, reply: instance_reports.SendView
    ) -> None:
        """Takes in a report, and answers it if the lease holds.

        Args:
            report: The report.
            reply: Sends a view to its sender.
        """
        now_ms = self._now_ms()
        if self._lease.is_valid(now_ms) and self._lease.stepped_down:
            reply(self._last_view(report, now_ms))
            return
        if not self._lease.is_holder(now_ms) or self._configuration is None:
            return
        if report.reads_store and self._renewal_overdue(now_ms):
            self._lease.step_down()
            logger.warning(
                "lease given up",
                extra={
                    "reader": report.instance,
                    "renewed_ago_ms": self._lease.renewed_ago_ms(now_ms),
                },
            )
            reply(self._last_view(report, now_ms))
            return
        heard = self._reports.by_instance.get(report.instance)
        if heard is None:
            pass
        elif heard.report.incarnation != report.incarnation:
            self._engines.usage.on_restart(report.instance)
        elif heard.report.sequence >= report.sequence:
            return
        self._record(report, reply, now_ms)
        reply(self._granting_view(report, now_ms))

    def _granting_view(
        self, report: messages.Report, now_ms: int
    ) -> messages.View:
        """Returns a view with the grants that a report asks for."""
        grants = self._grants.grant(report, _process_id(report))
        if report.instance in self._grants.withheld_from:
            self._renew_soon()
        permits = self._permits.grant(_process_id(report), report.permit_needs)
        view = self._view(report, now_ms)
        return view._replace(grants=grants, permits=permits)

    def next_promises(self, term: order_lease.Term) -> dict[str, float]:
        """Returns what to write of the buckets with a claim or a renewal."""
        return self._grants.next_promises(term)

    def last_promises(self) -> dict[str, float]:
        """Returns what a holder that grants no more leaves."""
        return self._grants.last_promises()

    def handover_state(self, term: order_lease.Term) -> handover.HandoverState:
        """Returns what to hand on with a term of what has been learnt.

        A new holder hands on what it was left, until its term has begun.
        """
        if term.token != self._initialized_token:
            return term.learnt
        return self._engines.handover_state(self._now_ms())

    def on_promised(self, term: order_lease.Term) -> None:
        """Takes in that the row holds the promises of a term.

        Those who wait for tokens that were promised before get them now.
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
            heard = self._reports.by_instance[instance]
            if self._lease.is_holder(now_ms):
                heard.send_view(self._granting_view(heard.report, now_ms))

    def _record(
        self,
        report: messages.Report,
        reply: instance_reports.SendView,
        now_ms: int,
    ) -> None:
        self._reports.record(report, reply, now_ms)
        self._totals.record(report)
        self._crashes.update(_process_id(report), report.crashes, now_ms)
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
        """Plans for as long as the process runs."""
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
            reports = [heard.report for heard in self._reports.live(now_ms)]
            self._engines.plan(reports, self._totals, now_ms)

    def _send_arrivals(self, now_ms: int) -> None:
        """Tells instances at once of models that they wait for.

        Load answered: many instances, each of which reports seldom.
        """
        self._update_changelog(now_ms)
        arrived, self._new_models = self._new_models, set()
        if not arrived:
            return
        for heard in self._reports.live(now_ms):
            waited = heard.report.waiting
            if any((item.model, item.adapter) in arrived for item in waited):
                heard.send_view(self._view(heard.report, now_ms))

    def _view(self, report: messages.Report, now_ms: int) -> messages.View:
        """Returns a view without grants."""
        view = self._last_view(report, now_ms)
        seen_token, seen_mark = report.models_seen
        self._update_changelog(now_ms)
        models, mark = self._changelog.changes_since(
            seen_mark if seen_token == view.token else 0
        )
        return view._replace(
            models=models,
            models_version=mark,
            ready_in_ms=self._engines.ready_in_ms,
        )

    def _last_view(self, report: messages.Report, now_ms: int) -> messages.View:
        """Returns a view that grants nothing: this term may have ended."""
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
            status=self._status(now_ms),
            leaving_targets=self._leaving_targets,
            targets=self._target_changes(report.targets_version),
            limits=self._directory.feedback.limits.limits_to_share(now_ms),
            permits=[],
        )

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
        """Takes the loads of instances that report no more off the sums."""
        for instance in self._reports.expired(now_ms):
            self._totals.remove(instance)

    def _update_changelog(self, now_ms: int) -> None:
        if now_ms - self._changelog_updated_ms >= _CHANGELOG_INTERVAL_MS:
            self._changelog_updated_ms = now_ms
            self._new_models |= self._changelog.update(
                self._engines.states.shared_models()
            )


def _process_id(report: messages.Report) -> str:
    """Returns the name of one life of an instance."""
    return f"{report.instance}/{report.incarnation}"

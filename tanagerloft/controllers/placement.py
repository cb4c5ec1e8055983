"""Controller of replicas: decides on loads and unloads, and sends orders."""

import logging

from tanagerloft.controllers import catalogue
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.controllers import dispatch as dispatch_lib
from tanagerloft.controllers import health as health_lib
from tanagerloft.controllers import membership as membership_lib
from tanagerloft.controllers import replica_demand
from tanagerloft.controllers import replica_rows
from tanagerloft.decisions import errors as decision_errors
from tanagerloft.decisions import reconcile
from tanagerloft.decisions import rendezvous
from tanagerloft.decisions import replicas
from tanagerloft.filters import errors as filter_errors
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.targets import engine
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import http

logger = logging.getLogger(__name__)

_NON_OWNER_DELAY_MS = 250
_READ_INTERVAL_MS = 200
_MIN_RECONCILE_INTERVAL_MS = 5_000
_RECONCILE_PER_INSTANCE_MS = 2_000
_UNLOAD_INTERVAL_MS = 1_000
_MIN_IDLE_FOR_EVICTION_MS = 1_000


class PlacementController:
    """Loads models and adapters on demand and unloads idle ones.

    A decision takes effect when the transaction over the rows of the model and
    of the target commits; the order is sent only after that.
    """

    def __init__(
        self,
        table: table_lib.Table,
        client: http.HttpClient,
        configuration: configuration_lib.ConfigurationController,
        membership: membership_lib.MembershipController,
        health: health_lib.HealthController,
        dispatcher: dispatch_lib.Dispatcher,
        clock: clock_lib.Clock,
        keep_warm_ms: int,
    ):
        self._table = table
        self._client = client
        self._configuration = configuration
        self._membership = membership
        self._health = health
        self._dispatcher = dispatcher
        self._clock = clock
        self._keep_warm_ms = keep_warm_ms
        self._rows = replica_rows.ReplicaRows(
            table, configuration, health, clock
        )
        self._wanted_since_ms: dict[str, int] = {}
        self._read_due_ms: dict[str, int] = {}
        self._reconcile_due_ms = 0
        self._unload_due_ms = 0

    def tick(self) -> None:
        """Handles all models that requests wait for, then idle ones."""
        now_ms = self._clock.now_ms()
        self._dispatcher.assign_all(now_ms)
        inventory = self._configuration.version.inventory
        wanted = replica_demand.wanted(
            inventory, self._dispatcher, self._health
        )
        self._wanted_since_ms = {
            name: self._wanted_since_ms.get(name, now_ms) for name in wanted
        }
        for name in wanted:
            if now_ms >= self._read_due_ms.get(name, 0):
                self._read_due_ms[name] = now_ms + _READ_INTERVAL_MS
                self._serve_demand(name)
        replica_demand.watch(
            inventory, wanted, self._rows, self._dispatcher, self._health
        )
        if now_ms >= self._reconcile_due_ms:
            count = len(self._membership.live())
            scaled_ms = count * _RECONCILE_PER_INSTANCE_MS
            self._reconcile_due_ms = now_ms + max(
                _MIN_RECONCILE_INTERVAL_MS, scaled_ms
            )
            self._reconcile_owned()
        self._unload_idle()

    def _serve_demand(self, name: str) -> None:
        """Makes the next step towards a ready replica of a model or adapter."""
        inventory = self._configuration.version.inventory
        item = catalogue.find_item(inventory, name)
        row = self._rows.read(name)
        if item is None or row is None:
            return
        decided = replicas.replicas_of(row.body)
        for target_name in decided:
            self._reconcile(item, row, target_name, wanted=True)
        if self._rows.all_lost(decided) and self._may_decide(name):
            self._decide_load(item, row)

    def _may_decide(self, name: str) -> bool:
        """Lets the owner decide at once, other instances after a delay."""
        owner = rendezvous.owner(name, self._membership.live())
        if owner == self._membership.identity.instance_id:
            return True
        waited_ms = self._clock.now_ms() - self._wanted_since_ms[name]
        return waited_ms >= _NON_OWNER_DELAY_MS

    def _decide_load(self, item: replicas.Item, row: table_lib.Row) -> None:
        inventory = self._configuration.version.inventory
        targets = self._rows.targets()
        if item.parent:
            parent_row = self._rows.read(item.parent)
            parent = catalogue.find_item(inventory, item.parent)
            if parent_row is None or parent is None:
                return
            targets = self._with_parent(parent, parent_row, targets)
        if not targets:
            return
        states = [target.state for target in targets.values()]
        lost = frozenset(
            name
            for name in replicas.replicas_of(row.body)
            if self._health.is_lost(name)
        )
        plan = replicas.plan_load(item, row.body, states, lost)
        if isinstance(plan, decision_errors.NoCapacity):
            self._on_no_capacity(item, plan, targets)
            return
        self._execute(item, row, targets[plan.order.target], plan)

    def _with_parent(
        self,
        parent: replicas.Item,
        parent_row: table_lib.Row,
        targets: dict[str, catalogue.Target],
    ) -> dict[str, catalogue.Target]:
        """Returns targets with a ready parent, after a step to provide one."""
        decided = replicas.replicas_of(parent_row.body)
        if self._rows.all_lost(decided):
            self._decide_load(parent, parent_row)
            return {}
        for target_name in decided:
            self._reconcile(parent, parent_row, target_name, wanted=True)
        return {
            name: target
            for name, target in targets.items()
            if name in decided and self._rows.reports_ready(name, parent.name)
        }

    def _on_no_capacity(
        self,
        item: replicas.Item,
        no_capacity: decision_errors.NoCapacity,
        targets: dict[str, catalogue.Target],
    ) -> None:
        """Evicts an idle item, or refuses if no engine is large enough."""
        if no_capacity.permanent:
            self._dispatcher.refuse(item.name, filter_errors.NO_TARGET)
            return
        states = [target.state for target in targets.values()]
        choice = replicas.choose_eviction(
            item, states, _MIN_IDLE_FOR_EVICTION_MS
        )
        if choice is not None:
            target_name, item_name = choice
            self._unload(item_name, target_name)

    def _unload(self, name: str, target_name: str) -> None:
        item = catalogue.find_item(self._configuration.version.inventory, name)
        row = self._rows.read(name)
        target = self._rows.read_target(target_name)
        if item is None or row is None or target is None:
            return
        plan = replicas.plan_unload(item, row.body, target.state)
        if isinstance(plan, replicas.Plan):
            self._execute(item, row, target, plan)

    def _reconcile(
        self,
        item: replicas.Item,
        row: table_lib.Row,
        target_name: str,
        wanted: bool,
    ) -> None:
        """Compares a decided replica with the target's report, and acts."""
        latest = self._health.latest_report(target_name)
        observed = self._rows.observed(item.name)
        entry = self._configuration.target(target_name)
        if latest is None or entry is None or observed is None:
            return
        if latest.requested_ms < observed.since_ms:
            return
        action = reconcile.next_action(
            replicas.replicas_of(row.body)[target_name],
            item.name,
            latest.report,
            self._clock.now_ms() - observed.since_ms,
            entry.checks_fencing,
            wanted,
        )
        if action is reconcile.Action.WAIT:
            return
        target = self._rows.read_target(target_name)
        if target is not None:
            self._act(action, item, row, target)

    def _act(
        self,
        action: reconcile.Action,
        item: replicas.Item,
        row: table_lib.Row,
        target: catalogue.Target,
    ) -> None:
        if action is reconcile.Action.RELEASE:
            bodies = replicas.release_replica(
                item.name, row.body, target.state.name, target.row.body
            )
            self._rows.commit(row, target.row, *bodies)
            return
        if action is reconcile.Action.CONFIRM_READY:
            plan = replicas.confirm_ready(item, row.body, target.state)
        else:
            plan = replicas.plan_retry(item, row.body, target.state)
        if isinstance(plan, replicas.Plan):
            self._execute(item, row, target, plan)

    def _execute(
        self,
        item: replicas.Item,
        row: table_lib.Row,
        target: catalogue.Target,
        plan: replicas.Plan,
    ) -> None:
        """Commits a plan and then sends its order."""
        if not self._rows.commit(
            row, target.row, plan.model_body, plan.target_body
        ):
            return
        if plan.order.verb == "none":
            return
        logger.info(
            "%s %s on %s, token %d",
            plan.order.verb,
            item.name,
            plan.order.target,
            plan.order.token,
        )
        failed = engine.send_order(self._client, target.entry, plan.order, item)
        if failed is not None:
            logger.warning(
                "%s %s on %s: %s",
                plan.order.verb,
                item.name,
                plan.order.target,
                failed.reason,
            )

    def _reconcile_owned(self) -> None:
        """Reconciles decided replicas of the items that this instance owns."""
        found = self._table.scan(rows.MODEL)
        if isinstance(found, table_errors.TableError):
            return
        live = self._membership.live()
        me = self._membership.identity.instance_id
        inventory = self._configuration.version.inventory
        for row in found:
            name = row.key.name
            item = catalogue.find_item(inventory, name)
            if item is None or rendezvous.owner(name, live) != me:
                continue
            current = self._rows.read(name)
            if current is None:
                return
            for target_name in replicas.replicas_of(current.body):
                wanted = name in self._wanted_since_ms
                self._reconcile(item, current, target_name, wanted)

    def _unload_idle(self) -> None:
        """Unloads long-idle models and adapters that this instance owns."""
        now_ms = self._clock.now_ms()
        if now_ms < self._unload_due_ms:
            return
        self._unload_due_ms = now_ms + _UNLOAD_INTERVAL_MS
        live = self._membership.live()
        me = self._membership.identity.instance_id
        inventory = self._configuration.version.inventory
        for target_name, name in self._health.idle_items(self._keep_warm_ms):
            latest = self._health.latest_report(target_name)
            if latest is None or rendezvous.owner(name, live) != me:
                continue
            if name in catalogue.unloadable(inventory, latest.report):
                self._unload(name, target_name)

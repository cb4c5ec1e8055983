"""Plans the models of engines and orders them to be loaded or unloaded.

Orders are given only while this instance holds the lease.
"""

from __future__ import annotations

from collections.abc import Callable
import logging

from tanagerloft.coordination import demands
from tanagerloft.coordination import engine_states
from tanagerloft.coordination import in_flight_totals
from tanagerloft.coordination import messages
from tanagerloft.coordination import order_sender
from tanagerloft.coordination import overloaded_engines
from tanagerloft.coordination import plan_log
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import handover
from tanagerloft.decisions import model_catalog
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import model_plan
from tanagerloft.decisions import model_usage
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import ready_times
from tanagerloft.decisions import store_rate_limit
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)

# Time within which a newly loaded model gets its first request.
_FIRST_USE_MS = 500
# Engines without a configured capacity get no loads.
_NO_CAPACITY = types.EngineCapacity(memory_mb=0.0, max_adapters=0)


class EngineController:
    """Tracks engines, plans their models and issues the orders.

    Args:
        lease: State of the lease.
        directory: Target directory.
        send_order: Sends an order to an engine.
        fetch_report: Fetches the state of an engine.
        now_ms: Clock.

    Attributes:
        usage: Use of models across the fleet.
        ready_in_ms: Time until each requested model is expected to be loaded.
        changed: Set when an engine has answered an order.
        states: States of the engines.
    """

    def __init__(
        self,
        lease: order_lease.OrderLease,
        directory: targets_lib.TargetDirectory,
        send_order: order_sender.SendOrder,
        fetch_report: engine_states.FetchReport,
        now_ms: Callable[[], int],
    ):
        self._lease = lease
        self._directory = directory
        self._now_ms = now_ms
        self.states = engine_states.EngineStates(
            directory, fetch_report, now_ms, self._on_new_engine
        )
        self._overloaded = overloaded_engines.OverloadedEngines(
            self.states, directory
        )
        self._catalogs: dict[str, model_catalog.ModelCatalog] = {}
        self._plans: dict[str, model_plan.ModelPlanner] = {}
        self._ready_times: dict[str, ready_times.ReadyTimeEstimator] = {}
        self._services: dict[str, types.Service] = {}
        self._rate_limiters = store_rate_limit.TermRateLimiters()
        self.usage = model_usage.ModelUsage()
        self._plan_log = plan_log.PlanLog(self.states, self.usage)
        self.ready_in_ms: dict[str, int] = {}
        self._sender = order_sender.OrderSender(
            lease, self.states, send_order, now_ms
        )
        self.changed = self._sender.answered

    def configure(self, configuration: types.Configuration) -> None:
        """Applies a new configuration."""
        self._services = configuration.services
        self._plans = {
            service.name: self._planner(service)
            for service in configuration.services.values()
            if service.has_engines
        }
        for name in self._plans:
            self._ready_times.setdefault(name, ready_times.ReadyTimeEstimator())
        for service in configuration.services.values():
            if service.has_engines and service.engine_capacity is None:
                logger.warning(
                    "no capacity configured for engines; models not loaded",
                    extra={
                        "service": service.name,
                        "configuration": configuration.version,
                    },
                )

    def _planner(self, service: types.Service) -> model_plan.ModelPlanner:
        """Returns the planner of a service, which outlives configurations."""
        catalog = self._catalogs.get(service.name)
        if catalog is None:
            catalog = model_catalog.ModelCatalog()
            self._catalogs[service.name] = catalog
        catalog.declare(service.models)
        planner = self._plans.get(service.name)
        return planner or model_plan.ModelPlanner(catalog)

    def handover_state(self, now_ms: int) -> handover.HandoverState:
        """Returns the learned state for the next holder."""
        estimator = self.states.store_concurrency
        return handover.HandoverState(
            estimator.concurrency(),
            estimator.proven_concurrency,
            self.usage.longest_unmet(now_ms),
            self.states.loads_in_progress(),
        )

    def inherit(self, state: handover.HandoverState, at_ms: int) -> None:
        """Restores the learned state of the previous holder.

        Args:
            state: The state that it has written.
            at_ms: Clock reading that the times in the state refer to.
        """
        if state.store_at_once:
            self.states.store_concurrency.restore(
                state.store_at_once, state.store_proved
            )
        self.usage.restore_unmet(state.missed, at_ms)
        self.states.inherit_loads(state.loads, at_ms)

    def set_on_store_load(self, on_store_load: Callable[[], None]) -> None:
        """Sets a callback for loads from the weight store that begin."""
        self._sender.on_store_load = on_store_load

    def update(self, now_ms: int) -> None:
        """Updates engines from the target list, their reports and orders."""
        self.states.refresh(set(self._plans))
        self.states.poll_reports(now_ms)
        self.states.advance_store_loads()
        self._update_orders(now_ms)

    def plan(
        self,
        reports: list[messages.Report],
        totals: in_flight_totals.InFlightTotals,
        now_ms: int,
    ) -> None:
        """Plans all services, and issues orders if the lease allows it.

        A holder that still waits for the takeover delay plans too, so that
        requests whose model cannot be ready in time are rejected early.

        Args:
            reports: Reports of all instances.
            totals: Totals over the reports.
            now_ms: Clock reading.
        """
        self.ready_in_ms = {}
        if not self._lease.is_holder(now_ms):
            for estimator in self._ready_times.values():
                estimator.discard_waits()
            return
        self._plan_log.log_term(self._lease.term)
        in_flight = totals.by_model()
        usage = self.usage.usage(in_flight)
        self._overloaded.update(usage.recent)
        held = {
            name
            for target_id, state in self.states.by_target.items()
            if target_id not in self._overloaded.target_ids
            for name in state.orders.usable()
            if name != state.orders.loading
        }
        self.usage.update_held(held, in_flight, now_ms)
        for service, plan in self._plans.items():
            planned = self._plan_service(
                service, plan, reports, totals, usage, now_ms
            )
            for order in planned.orders:
                if self._lease.may_order(now_ms):
                    self._issue(order, planned.purposes[order], now_ms)

    def _on_new_engine(self, entry: types.TargetEntry) -> None:
        self.usage.on_initial_placement(
            entry.models, self._catalogs[entry.service].declared
        )

    def _update_orders(self, now_ms: int) -> None:
        """Marks orders as done that are due, and retries unconfirmed ones."""
        for target_id, state in self.states.by_target.items():
            loading = state.orders.loading
            if state.orders.complete_due(now_ms) and loading:
                # Waiting requests take a moment to reach the model.
                self.usage.mark_used_until(loading, now_ms + _FIRST_USE_MS)
            entry = self._directory.entries.get(target_id)
            if entry is None or not self._lease.may_order(now_ms):
                continue
            retry = state.orders.start_retry(now_ms)
            if retry is not None:
                if state.store_load == retry.model:
                    self._rate_limiter(entry.service, now_ms).count_load(now_ms)
                    self.states.discard_store_load(state)
                self._sender.start(entry, state, retry)

    def _plan_service(
        self,
        service: str,
        plan: model_plan.ModelPlanner,
        reports: list[messages.Report],
        totals: in_flight_totals.InFlightTotals,
        usage: model_orders.Usage,
        now_ms: int,
    ) -> model_plan.Plan:
        engines = [
            self._engine(entry, totals.by_target, now_ms)
            for entry in self._directory.entries.values()
            if entry.service == service
            and entry.target_id in self.states.by_target
        ]
        store = model_orders.WeightStore(
            loads_left=self._rate_limiter(service, now_ms).available(now_ms),
            under_way=self.states.store_loads(),
            concurrency=self.states.store_concurrency.concurrency(),
            proven=self.states.store_concurrency.proven_concurrency,
        )
        returning = demands.returning_callers(reports, service)
        planned = plan.plan(
            engines,
            demands.of_service(reports, service),
            usage._replace(returning=returning),
            store,
            now_ms,
            may_prefetch=self.states.copies_known(),
        )
        expected_ms = self._ready_times[service].estimate(
            planned.ready_in_ms,
            {name for engine in engines for name in engine.models},
            {engine.loading for engine in engines},
            now_ms,
        )
        self.ready_in_ms.update(expected_ms)
        if planned.ready_in_ms:
            self._plan_log.log_waiting(
                service, expected_ms, engines, store, now_ms
            )
        return planned

    def _engine(
        self,
        entry: types.TargetEntry,
        running: dict[str, dict[str, int]],
        now_ms: int,
    ) -> model_orders.Engine:
        orders = self.states.by_target[entry.target_id].orders
        models = dict(orders.usable())
        models.pop(orders.loading, None)
        takeover_wait_ms = self._lease.orders_in_ms(now_ms)
        capacity = self._capacity(entry.service)
        return model_orders.Engine(
            target_id=entry.target_id,
            service=entry.service,
            models=models,
            loading=orders.loading,
            busy=orders.busy(now_ms) or takeover_wait_ms > 0,
            busy_ms=max(orders.busy_ms(now_ms), takeover_wait_ms),
            leaving=self._directory.is_leaving(entry)
            or entry.target_id in self._overloaded.target_ids,
            copies=orders.copies,
            running=running.get(entry.target_id, {}),
            slots=self._services[entry.service].slots,
            capacity_mb=capacity.memory_mb,
            max_adapters=capacity.max_adapters,
            disk_mb=capacity.disk_mb,
        )

    def _rate_limiter(
        self, service: str, now_ms: int
    ) -> store_rate_limit.LoadRateLimiter:
        assert self._lease.term is not None
        loads_per_s = self._services[service].store_loads_per_s or 0.0
        token = self._lease.term.token
        return self._rate_limiters.limiter(
            token, self._lease.is_first_term, service, loads_per_s, now_ms
        )

    def _capacity(self, service: str) -> types.EngineCapacity:
        return self._services[service].engine_capacity or _NO_CAPACITY

    def _issue(
        self,
        order: model_orders.Order,
        purpose: model_orders.Purpose,
        now_ms: int,
    ) -> None:
        entry = self._directory.entries.get(order.target_id)
        state = self.states.by_target.get(order.target_id)
        if entry is None or state is None:
            return
        orders = state.orders
        catalog = self._catalogs[entry.service]
        capacity = self._capacity(entry.service)
        if orders.busy(now_ms) or not model_orders.fits(
            orders.held_during(order),
            order,
            catalog.known,
            capacity.memory_mb,
            capacity.max_adapters,
        ):
            return
        duration_ms = 0.0
        if order.verb is model_orders.Verb.LOAD and not order.adapter:
            model = catalog.declared[order.model]
            duration_ms = orders.copies.load_ms(model)
            if order.model not in orders.copies:
                self._rate_limiter(entry.service, now_ms).count_load(now_ms)
                self.states.note_store_load(state, model)
        if not order.adapter:
            self._plan_log.log_order(order, purpose, now_ms)
        orders.record_order(order, duration_ms, now_ms)
        self._sender.start(entry, state, order)

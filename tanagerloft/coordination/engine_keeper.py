"""Keeps engines loaded as planned, while this instance may give orders."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import NamedTuple

from tanagerloft.coordination import errors
from tanagerloft.coordination import fleet_loads
from tanagerloft.coordination import messages
from tanagerloft.coordination import model_marks
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import engine_orders
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import model_plan
from tanagerloft.decisions import model_usage
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import weight_store
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)

# Least time between two reports of one engine.
_REPORT_POLL_MS = 300
# Time between lines of the log on what is waited for.
_TELL_PLAN_MS = 1_000
# Window over which the weight store's rate holds: the bound on loads in five
# seconds. The users' pages give the rate and the loads at full speed.
_LOAD_WINDOW_MS = 5_000
_LOADS_IN_WINDOW = 10
_LOADS_AT_ONCE = 4
# Memory for weights and places for adapters of an engine, by the same pages.
_ROOM_MB = 230_000.0
_MAX_ADAPTERS = 8
# Time in which a model that has been loaded gets its first request.
_FIRST_USE_MS = 500


class OrderAnswer(NamedTuple):
    """Answer of an engine to an order.

    Attributes:
        result: What it means.
        detail: Text for logs.
    """

    result: engine_orders.Result
    detail: str


SendOrder = Callable[
    [types.TargetEntry, model_orders.Order, int, int], Awaitable[OrderAnswer]
]
FetchReport = Callable[
    [types.TargetEntry],
    Awaitable[types.TargetReport | errors.MalformedEntry],
]


class _EngineState:
    """What the holder knows of one life of an engine."""

    def __init__(self, entry: types.TargetEntry):
        self.born_ms = entry.born_ms
        self.orders = engine_orders.EngineOrders(entry.models)
        self.report_due_ms = 0
        self.polling = False


class EngineKeeper:
    """Follows engines, plans their models and carries out the orders.

    Args:
        lease: The lease's state.
        directory: What is known of the targets.
        send_order: Sends an order to an engine.
        fetch_report: Asks an engine for its state.
        now_ms: Clock.

    Attributes:
        usage: Use of models over the fleet.
        later_ms: Time until a waited-for model will be there, by model.
        changed: Set when an order has been answered.
    """

    def __init__(
        self,
        lease: order_lease.OrderLease,
        directory: targets_lib.TargetDirectory,
        send_order: SendOrder,
        fetch_report: FetchReport,
        now_ms: Callable[[], int],
    ):
        self._lease = lease
        self._directory = directory
        self._send_order = send_order
        self._fetch_report = fetch_report
        self._now_ms = now_ms
        self._engines: dict[str, _EngineState] = {}
        self._plans: dict[str, model_plan.ModelPlan] = {}
        self._services: dict[str, types.Service] = {}
        self._store_loads: list[int] = []
        self._lanes = weight_store.StoreLanes(_LOADS_AT_ONCE)
        self._tell_plan_ms = 0
        self._tasks: set[asyncio.Task] = set()
        self.usage = model_usage.ModelUsage()
        self.later_ms: dict[str, int] = {}
        self.changed = asyncio.Event()

    def configure(self, configuration: types.Configuration) -> None:
        """Takes in a new configuration."""
        self._services = configuration.services
        self._plans = {
            service.name: model_plan.ModelPlan(service.models)
            for service in configuration.services.values()
            if service.has_engines
        }

    def forget(self) -> None:
        """Forgets all engines: another holder may give them orders."""
        self._engines.clear()

    def told_models(self) -> dict[str, model_marks.Models | None]:
        """Returns what instances are told that engines hold."""
        return {
            target_id: _told(state.orders)
            for target_id, state in self._engines.items()
        }

    def changes_in_ms(self, now_ms: int, most_ms: int) -> int:
        """Returns the time until an engine may take an order, at most so much.

        Args:
            now_ms: Reading of the clock.
            most_ms: What is returned if no engine is known to change sooner.
        """
        times = (
            state.orders.changes_in_ms(now_ms)
            for state in self._engines.values()
        )
        return min((ms for ms in times if ms is not None), default=most_ms)

    def follow(self, now_ms: int) -> None:
        """Follows the list of targets, reports and orders under way."""
        self._refresh()
        self._poll_reports(now_ms)
        self._follow_orders(now_ms)

    def plan(
        self,
        reports: list[messages.Report],
        loads: fleet_loads.FleetLoads,
        now_ms: int,
    ) -> None:
        """Plans and gives orders, if the lease allows it now.

        Args:
            reports: Reports of all instances.
            loads: Sums of the reports.
            now_ms: Reading of the clock.
        """
        self.later_ms = {}
        if self._lease.may_order(now_ms):
            for service, plan in self._plans.items():
                self._plan_service(service, plan, reports, loads, now_ms)

    def _models(self, service: str) -> dict[str, types.Model]:
        known = self._services.get(service)
        return known.models if known is not None else {}

    def _refresh(self) -> None:
        """Follows the entries of engines."""
        entries = self._directory.entries
        for target_id in set(self._engines) - set(entries):
            del self._engines[target_id]
        for target_id, entry in entries.items():
            if entry.service not in self._plans:
                continue
            state = self._engines.get(target_id)
            if state is None or state.born_ms != entry.born_ms:
                self._engines[target_id] = _EngineState(entry)
                self.usage.note_placed(
                    entry.models, self._models(entry.service)
                )

    def _poll_reports(self, now_ms: int) -> None:
        for target_id, state in self._engines.items():
            entry = self._directory.entries.get(target_id)
            if entry is None or state.polling or now_ms < state.report_due_ms:
                continue
            if state.orders.wants_report(now_ms):
                state.report_due_ms = now_ms + _REPORT_POLL_MS
                state.polling = True
                self._start(self._poll(entry, state))

    async def _poll(
        self, entry: types.TargetEntry, state: _EngineState
    ) -> None:
        asked_ms = self._now_ms()
        try:
            report = await self._fetch_report(entry)
        finally:
            state.polling = False
        if isinstance(report, errors.MalformedEntry):
            logger.info(
                "no report",
                extra={"target": entry.target_id, "reason": report.reason},
            )
            return
        late = state.orders.on_report(report, asked_ms)
        if late:
            self._note_late(entry, state, late)

    def _note_late(
        self, entry: types.TargetEntry, state: _EngineState, model: str
    ) -> None:
        under_way = self._count_store_loads()
        now_ms = self._now_ms()
        if model not in state.orders.copies:
            self._lanes.note_late(under_way, now_ms)
        logger.info(
            "load is late",
            extra={
                "target": entry.target_id,
                "model": model,
                "store_loads": under_way,
                "store_at_once": self._lanes.at_once(now_ms),
            },
        )

    def _count_store_loads(self) -> int:
        return sum(map(_loads_from_store, self._engines.values()))

    def _follow_orders(self, now_ms: int) -> None:
        """Counts orders as done that should be, and repeats doubtful ones."""
        for target_id, state in self._engines.items():
            loading = state.orders.loading
            if state.orders.on_time(now_ms) and loading:
                # Requests that wait for it need a moment to reach it.
                self.usage.keep_until(loading, now_ms + _FIRST_USE_MS)
            entry = self._directory.entries.get(target_id)
            if entry is None or not self._lease.may_order(now_ms):
                continue
            again = state.orders.repeat(now_ms)
            if again is not None:
                self._start(self._carry_out(entry, state, again))

    def _plan_service(
        self,
        service: str,
        plan: model_plan.ModelPlan,
        reports: list[messages.Report],
        loads: fleet_loads.FleetLoads,
        now_ms: int,
    ) -> None:
        engines = [
            self._engine(entry, loads.running, now_ms)
            for entry in self._directory.entries.values()
            if entry.service == service and entry.target_id in self._engines
        ]
        self._store_loads = [
            at_ms
            for at_ms in self._store_loads
            if now_ms - at_ms < _LOAD_WINDOW_MS
        ]
        store = model_orders.WeightStore(
            loads_left=_LOADS_IN_WINDOW - len(self._store_loads),
            under_way=self._count_store_loads(),
            at_once=self._lanes.at_once(now_ms),
        )
        planned = plan.plan(
            engines,
            _demands(reports, service),
            self.usage.usage(loads.by_model()),
            store,
            now_ms,
        )
        self.later_ms.update(planned.later_ms)
        if planned.later_ms and now_ms >= self._tell_plan_ms:
            self._tell_plan_ms = now_ms + _TELL_PLAN_MS
            logger.info(
                "models waited for",
                extra={
                    "service": service,
                    "later_ms": planned.later_ms,
                    "busy_ms": {
                        engine.target_id: engine.busy_ms
                        for engine in engines
                        if engine.busy
                    },
                    "idle": [e.target_id for e in engines if not e.busy],
                    "store_loads": store.under_way,
                    "store_left": store.loads_left,
                    "store_at_once": store.at_once,
                },
            )
        for order in planned.orders:
            self._give(order, now_ms)

    def _engine(
        self,
        entry: types.TargetEntry,
        running: dict[str, dict[str, int]],
        now_ms: int,
    ) -> model_orders.Engine:
        orders = self._engines[entry.target_id].orders
        models = dict(orders.usable())
        models.pop(orders.loading, None)
        return model_orders.Engine(
            target_id=entry.target_id,
            service=entry.service,
            models=models,
            loading=orders.loading,
            busy=orders.busy(now_ms),
            busy_ms=orders.busy_ms(now_ms),
            leaving=entry.leaving,
            copies=orders.copies,
            running=running.get(entry.target_id, {}),
            slots=self._services[entry.service].slots,
            room_mb=_ROOM_MB,
            max_adapters=_MAX_ADAPTERS,
        )

    def _give(self, order: model_orders.Order, now_ms: int) -> None:
        entry = self._directory.entries.get(order.target_id)
        state = self._engines.get(order.target_id)
        if entry is None or state is None:
            return
        orders = state.orders
        shapes = self._models(entry.service)
        if orders.busy(now_ms) or not model_orders.fits(
            orders.held(), order, shapes, _ROOM_MB, _MAX_ADAPTERS
        ):
            return
        takes_ms = 0.0
        if order.verb is model_orders.Verb.LOAD and not order.adapter:
            takes_ms = orders.copies.load_ms(shapes[order.model])
            if order.model not in orders.copies:
                self._store_loads.append(now_ms)
        orders.give(order, takes_ms, now_ms)
        self._start(self._carry_out(entry, state, order))

    async def _carry_out(
        self,
        entry: types.TargetEntry,
        state: _EngineState,
        order: model_orders.Order,
    ) -> None:
        now_ms = self._now_ms()
        if not self._lease.may_order(now_ms) or self._lease.term is None:
            result = engine_orders.Result.NOT_SENT
            state.orders.on_answer(order, result, now_ms)
            return
        token = self._lease.term.token
        sequence = state.orders.count_before(order)
        answer = await self._send_order(entry, order, token, sequence)
        state.orders.on_answer(order, answer.result, self._now_ms())
        self.changed.set()
        logger.info(
            "order given",
            extra={
                "target": entry.target_id,
                "verb": order.verb.value,
                "model": order.model,
                "adapter": order.adapter,
                "token": token,
                "sequence": sequence,
                "outcome": answer.result.value,
                "detail": answer.detail,
            },
        )

    def _start(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _loads_from_store(state: _EngineState) -> bool:
    orders = state.orders
    return bool(orders.loading) and orders.loading not in orders.copies


def _demands(
    reports: list[messages.Report], service: str
) -> list[model_orders.Demand]:
    merged: dict[tuple[str, str], model_orders.Demand] = {}
    for report in reports:
        for item in report.waited:
            if item.service != service:
                continue
            key = (item.model, item.adapter)
            demand = model_orders.Demand(
                *key,
                aims_left_ms=tuple(item.aims_left_ms),
                patience_left_ms=tuple(item.patience_left_ms),
            )
            known = merged.get(key)
            if known is not None:
                demand = model_orders.merge(known, demand)
            merged[key] = demand
    return list(merged.values())


def _told(orders: engine_orders.EngineOrders) -> model_marks.Models | None:
    """Returns what instances are told that an engine holds."""
    if not orders.known:
        return None
    return {
        name: sorted(adapters) for name, adapters in orders.usable().items()
    }

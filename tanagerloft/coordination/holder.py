"""The holder's side of the fleet: what it hears, its views, its orders."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging
from typing import NamedTuple

from tanagerloft.coordination import errors
from tanagerloft.coordination import fleet_loads
from tanagerloft.coordination import messages
from tanagerloft.coordination import model_marks
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import engine_orders
from tanagerloft.decisions import model_plan
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)

# Time between plans when nobody waits, and the least time between two.
_PLAN_MS = 100
_PLAN_PAUSE_MS = 15
# Without a renewal for this long, the holder hands the lease on to whoever can
# reach the store; renewals are made about three times in it.
_STRUGGLING_MS = 1_900
# An instance that has not reported for this long counts no more.
_REPORT_MAX_AGE_MS = 2_000
# Least time between two counts of the instances, and two looks for changes of
# what engines hold.
_COUNT_MS = 100
_MARK_MS = 5
_RECENT_HALF_LIFE_MS = 4_000
_RECENT_STEP_MS = 500
# Recent requests that a model counts for which the platform has placed on two
# engines or more, before there are any.
_PLACED_TWICE_REQUESTS = 8.0
# The same for a model with adapters.
_HAS_ADAPTERS_REQUESTS = 1.0
_REPORT_POLL_MS = 300
# Time between lines of the log on what is waited for.
_TELL_PLAN_MS = 1_000
# Window over which the weight store's rate holds.
_LOAD_WINDOW_MS = 5_000
# Loads from the store in the window, and at once at full speed, as long as the
# platform does not tell.
_LOADS_IN_WINDOW = 10
_LOADS_AT_ONCE = 4
# Engines hold this much when their entry does not say.
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
    [types.TargetEntry, model_plan.Order, int, int], Awaitable[OrderAnswer]
]
FetchReport = Callable[
    [types.TargetEntry],
    Awaitable[types.TargetReport | errors.MalformedEntry],
]


class Knowledge(NamedTuple):
    """How current an instance's knowledge from the store is.

    Attributes:
        configuration: Version of the configuration in force.
        configuration_age_ms: Age of the proof that there is no newer one.
        targets_mark: Number that changes with the list of targets.
        targets_age_ms: Age of the list.
    """

    configuration: int
    configuration_age_ms: int
    targets_mark: int
    targets_age_ms: int


class _Heard(NamedTuple):
    report: messages.Report
    at_ms: int


class _EngineState:
    """What the holder knows of one life of an engine."""

    def __init__(self, entry: types.TargetEntry):
        self.born_ms = entry.born_ms
        self.listed_models = entry.models
        self.orders = engine_orders.EngineOrders(entry.models)
        self.turn = asyncio.Lock()
        self.report_due_ms = 0
        self.polling = False


class Holder:
    """Plans and gives orders while this instance holds the lease.

    Args:
        lease: The lease's state.
        directory: What is known of the targets.
        send_order: Sends an order to an engine.
        fetch_report: Asks an engine for its state.
        now_ms: Clock.
        name: Name of this instance.
        knowledge: Returns how current this instance's own knowledge is.
        tolerance: By how much accounts may exceed their limits.
    """

    def __init__(
        self,
        lease: order_lease.OrderLease,
        directory: targets_lib.TargetDirectory,
        send_order: SendOrder,
        fetch_report: FetchReport,
        now_ms: Callable[[], int],
        name: str,
        knowledge: Callable[[], Knowledge],
        tolerance: token_grants.Tolerance,
    ):
        self._lease = lease
        self._directory = directory
        self._send_order = send_order
        self._fetch_report = fetch_report
        self._now_ms = now_ms
        self._name = name
        self._knowledge = knowledge
        self._tolerance = tolerance
        self._heard: dict[str, _Heard] = {}
        self._loads = fleet_loads.FleetLoads()
        self._marks = model_marks.ModelMarks()
        self._marked_ms = 0
        self._count = 0
        self._counted_ms = 0
        self._engines: dict[str, _EngineState] = {}
        self._ledger: token_grants.GrantLedger | None = None
        self._ledger_token = 0
        self._configuration: types.Configuration | None = None
        self._plans: dict[str, model_plan.ModelPlan] = {}
        self._used_seen: dict[str, dict[str, int]] = {}
        self._last_used_ms: dict[str, int] = {}
        self._recent: dict[str, float] = {}
        self._recent_ms = 0
        self._placed: set[str] = set()
        self._store_loads: list[int] = []
        self._later_ms: dict[str, int] = {}
        self._tell_plan_ms = 0
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    def configure(self, configuration: types.Configuration) -> None:
        """Takes in a new configuration."""
        self._configuration = configuration
        self._plans = {
            service.name: model_plan.ModelPlan(service.models)
            for service in configuration.services.values()
            if service.has_engines
        }
        if self._ledger is not None:
            self._ledger.configure(self._limits(configuration), self._now_ms())

    def on_report(self, report: messages.Report) -> messages.View | None:
        """Takes in a report; returns the view to answer, if the lease holds."""
        now_ms = self._now_ms()
        if self._lease.mine and self._lease.given_up:
            return self._last_view(report, now_ms)
        if not self._lease.leads(now_ms) or self._configuration is None:
            return None
        if report.reads_store and self._struggles(now_ms):
            self._lease.give_up()
            logger.warning(
                "lease given up",
                extra={
                    "reader": report.instance,
                    "renewed_ago_ms": self._lease.renewed_ago_ms(now_ms),
                },
            )
            return self._last_view(report, now_ms)
        heard = self._heard.get(report.instance)
        if heard is None or heard.report.incarnation != report.incarnation:
            self._used_seen.pop(report.instance, None)
        elif heard.report.sequence >= report.sequence:
            return None
        self._heard[report.instance] = _Heard(report, now_ms)
        self._loads.put(report)
        if report.leaving:
            del self._heard[report.instance]
            self._loads.remove(report.instance)
        self._note_use(report, now_ms)
        if report.waited:
            self._wake.set()
        return self._view(report, now_ms)

    async def follow(self) -> None:
        """Plans for as long as the process runs."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PLAN_MS / 1_000):
                    await self._wake.wait()
            await asyncio.sleep(_PLAN_PAUSE_MS / 1_000)
            self._wake.clear()
            now_ms = self._now_ms()
            if self._configuration is None or not self._lease.leads(now_ms):
                self._engines.clear()
                continue
            self._drop_silent(now_ms)
            self._refresh(now_ms)
            self._poll_reports(now_ms)
            self._follow_orders(now_ms)
            self._later_ms = {}
            if self._lease.may_order(now_ms):
                for service, plan in self._plans.items():
                    self._plan(service, plan, now_ms)

    def _view(self, report: messages.Report, now_ms: int) -> messages.View:
        ledger = self._current_ledger(now_ms)
        token = self._lease.term.token if self._lease.term else 0
        seen_token, seen_mark = report.models_seen
        self._update_marks(now_ms)
        models, mark = self._marks.since(
            seen_mark if seen_token == token else 0
        )
        process = f"{report.instance}/{report.incarnation}"
        grants = {
            account: ledger.grant(process, account, need, now_ms)
            for account, need in report.needs.items()
        }
        return messages.View(
            holder=self._name,
            token=token,
            sequence=report.sequence,
            instances=self._live_count(now_ms),
            grants=grants,
            in_flight=self._loads.others_in_flight(report.instance),
            prefilling=self._loads.others_prefilling(report.instance),
            models=models,
            models_mark=mark,
            later_ms=self._later_ms,
            proof=self._proof(now_ms),
        )

    def _last_view(self, report: messages.Report, now_ms: int) -> messages.View:
        """Returns a view that only tells that this term has ended."""
        return messages.View(
            holder=self._name,
            token=self._lease.term.token if self._lease.term else 0,
            sequence=report.sequence,
            instances=self._live_count(now_ms),
            grants={},
            in_flight=self._loads.others_in_flight(report.instance),
            prefilling=self._loads.others_prefilling(report.instance),
            models={},
            models_mark=report.models_seen[1],
            later_ms={},
            proof=self._proof(now_ms),
        )

    def _struggles(self, now_ms: int) -> bool:
        return self._lease.renewed_ago_ms(now_ms) > _STRUGGLING_MS

    def _proof(self, now_ms: int) -> messages.Proof:
        return messages.Proof(
            lease_version=self._lease.version,
            renewed_ago_ms=self._lease.renewed_ago_ms(now_ms),
            struggling=self._struggles(now_ms),
            given_up=self._lease.given_up,
            **self._knowledge()._asdict(),
        )

    def _current_ledger(self, now_ms: int) -> token_grants.GrantLedger:
        """Returns the buckets of this term; a takeover begins empty ones."""
        assert self._lease.term is not None
        token = self._lease.term.token
        if self._ledger is None or self._ledger_token != token:
            self._ledger = token_grants.GrantLedger(full=token == 1)
            self._ledger_token = token
            if self._configuration is not None:
                self._ledger.configure(
                    self._limits(self._configuration), now_ms
                )
        return self._ledger

    def _limits(
        self, configuration: types.Configuration
    ) -> dict[str, token_grants.Limit]:
        limits = {}
        for account in configuration.accounts.values():
            limit = token_grants.Limit(
                account.rate_tokens_per_s, account.burst_tokens
            )
            if limit.rate_tokens_per_s > 0:
                limit = token_grants.stretch(limit, self._tolerance)
            limits[account.name] = limit
        return limits

    def _drop_silent(self, now_ms: int) -> None:
        """Forgets instances that have not reported for a while."""
        oldest_ms = now_ms - _REPORT_MAX_AGE_MS
        for instance, heard in list(self._heard.items()):
            if heard.at_ms < oldest_ms:
                self._loads.remove(instance)

    def _live_count(self, now_ms: int) -> int:
        if now_ms - self._counted_ms >= _COUNT_MS:
            self._counted_ms = now_ms
            self._count = len(self._live(now_ms))
        return max(1, self._count)

    def _live(self, now_ms: int) -> list[messages.Report]:
        oldest_ms = now_ms - _REPORT_MAX_AGE_MS
        return [
            heard.report
            for heard in self._heard.values()
            if heard.at_ms >= oldest_ms
        ]

    def _update_marks(self, now_ms: int) -> None:
        if now_ms - self._marked_ms < _MARK_MS:
            return
        self._marked_ms = now_ms
        self._marks.update(
            {
                target_id: _told(state.orders)
                for target_id, state in self._engines.items()
            }
        )

    def _note_use(self, report: messages.Report, now_ms: int) -> None:
        seen = self._used_seen.setdefault(report.instance, {})
        for subject, count in report.used.items():
            more = count - seen.get(subject, 0)
            if more > 0:
                model = subject.partition("/")[0]
                self._last_used_ms[model] = now_ms
                self._last_used_ms[subject] = now_ms
                self._recent[model] = self._recent.get(model, 0.0) + more
            seen[subject] = count
        if not self._last_used_ms:
            self._recent_ms = now_ms
        if now_ms - self._recent_ms >= _RECENT_STEP_MS:
            elapsed_ms = now_ms - self._recent_ms
            factor = 0.5 ** (elapsed_ms / _RECENT_HALF_LIFE_MS)
            self._recent_ms = now_ms
            for model in self._recent:
                self._recent[model] *= factor

    def _refresh(self, now_ms: int) -> None:
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
                self._note_placed(entry)
                continue
            state.listed_models = entry.models

    def _note_placed(self, entry: types.TargetEntry) -> None:
        """Guesses the use of models before there is any.

        A model that the platform has placed twice is a busy one. One that has
        adapters serves several purposes, so it is likely to be asked for.
        """
        shapes: dict[str, types.Model] = {}
        if self._configuration is not None:
            shapes = self._configuration.services[entry.service].models
        for model in entry.models:
            if model in shapes and shapes[model].adapter_count:
                self._recent.setdefault(model, _HAS_ADAPTERS_REQUESTS)
            if model in self._placed and model not in self._last_used_ms:
                self._recent[model] = _PLACED_TWICE_REQUESTS
            self._placed.add(model)

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
        state.orders.on_report(report, asked_ms)

    def _follow_orders(self, now_ms: int) -> None:
        """Counts orders as done that should be, and repeats doubtful ones."""
        for target_id, state in self._engines.items():
            loading = state.orders.loading
            if state.orders.on_time(now_ms) and loading:
                # Requests that wait for it need a moment to reach it.
                self._last_used_ms[loading] = now_ms + _FIRST_USE_MS
            entry = self._directory.entries.get(target_id)
            if entry is None or not self._lease.may_order(now_ms):
                continue
            again = state.orders.repeat(now_ms)
            if again is not None:
                self._start(self._carry_out(entry, state, again))

    def _plan(
        self, service: str, plan: model_plan.ModelPlan, now_ms: int
    ) -> None:
        live = self._live(now_ms)
        running = self._loads.running
        engines = [
            self._engine(entry, self._engines[entry.target_id], running, now_ms)
            for entry in self._directory.entries.values()
            if entry.service == service and entry.target_id in self._engines
        ]
        self._store_loads = [
            at_ms
            for at_ms in self._store_loads
            if now_ms - at_ms < _LOAD_WINDOW_MS
        ]
        weight_store = model_plan.WeightStore(
            loads_left=_LOADS_IN_WINDOW - len(self._store_loads),
            under_way=sum(
                self._loads_from_store(state)
                for state in self._engines.values()
            ),
            at_once=_LOADS_AT_ONCE,
        )
        planned = plan.plan(
            engines,
            _demands(live, service),
            model_plan.Usage(
                self._last_used_ms, self._recent, self._loads.by_model()
            ),
            weight_store,
            now_ms,
        )
        self._later_ms.update(planned.later_ms)
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
                    "store_loads": weight_store.under_way,
                    "store_left": weight_store.loads_left,
                },
            )
        for order in planned.orders:
            self._give(order, now_ms)

    def _loads_from_store(self, state: _EngineState) -> bool:
        orders = state.orders
        return bool(orders.loading) and (
            orders.loading not in orders.in_memory | orders.on_disk
        )

    def _engine(
        self,
        entry: types.TargetEntry,
        state: _EngineState,
        running: dict[str, dict[str, int]],
        now_ms: int,
    ) -> model_plan.Engine:
        orders = state.orders
        models = dict(orders.usable())
        models.pop(orders.loading, None)
        return model_plan.Engine(
            target_id=entry.target_id,
            service=entry.service,
            models=models,
            loading=orders.loading,
            busy=orders.busy(now_ms),
            busy_ms=orders.busy_ms(now_ms),
            leaving=entry.leaving,
            in_memory=orders.in_memory,
            on_disk=orders.on_disk,
            running=running.get(entry.target_id, {}),
            room_mb=_ROOM_MB,
            max_adapters=_MAX_ADAPTERS,
        )

    def _give(self, order: model_plan.Order, now_ms: int) -> None:
        entry = self._directory.entries.get(order.target_id)
        state = self._engines.get(order.target_id)
        if entry is None or state is None or self._configuration is None:
            return
        orders = state.orders
        shapes = self._configuration.services[entry.service].models
        if orders.busy(now_ms) or not model_plan.fits(
            orders.held(), order, shapes, _ROOM_MB, _MAX_ADAPTERS
        ):
            return
        takes_ms = 0.0
        if order.verb is model_plan.Verb.LOAD and not order.adapter:
            shape = shapes[order.model]
            if order.model in orders.in_memory:
                takes_ms = shape.memory_load_ms
            elif order.model in orders.on_disk:
                takes_ms = shape.disk_load_ms
            else:
                takes_ms = shape.load_ms
                self._store_loads.append(now_ms)
        orders.give(order, takes_ms, now_ms)
        self._start(self._carry_out(entry, state, order))

    async def _carry_out(
        self,
        entry: types.TargetEntry,
        state: _EngineState,
        order: model_plan.Order,
    ) -> None:
        # One after another: each names the number of orders before it.
        async with state.turn:
            now_ms = self._now_ms()
            if not self._lease.may_order(now_ms) or self._lease.term is None:
                result = engine_orders.Result.NOT_SENT
                state.orders.on_answer(order, result, now_ms)
                return
            token = self._lease.term.token
            sequence = state.orders.count_before(order)
            answer = await self._send_order(entry, order, token, sequence)
            state.orders.on_answer(order, answer.result, self._now_ms())
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


def _demands(
    reports: list[messages.Report], service: str
) -> list[model_plan.Demand]:
    merged: dict[tuple[str, str], model_plan.Demand] = {}
    for report in reports:
        for item in report.waited:
            if item.service != service:
                continue
            key = (item.model, item.adapter)
            demand = model_plan.Demand(
                *key,
                aims_left_ms=tuple(item.aims_left_ms),
                patience_left_ms=tuple(item.patience_left_ms),
            )
            known = merged.get(key)
            if known is not None:
                demand = model_plan.merge(known, demand)
            merged[key] = demand
    return list(merged.values())


def _told(orders: engine_orders.EngineOrders) -> model_marks.Models | None:
    """Returns what instances are told that an engine holds."""
    if not orders.known:
        return None
    return {
        name: sorted(adapters) for name, adapters in orders.usable().items()
    }

"""Simulated engines that carry out the orders of an engine controller."""

import asyncio
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

from tanagerloft.coordination import engine_controller
from tanagerloft.coordination import errors
from tanagerloft.coordination import in_flight_totals
from tanagerloft.coordination import messages
from tanagerloft.coordination import order_sender
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import targets
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types
from tests.support import engines

_NONE: frozenset[str] = frozenset()
_STEP_MS = 20
_REPORT_LAG_MS = 200
# Interval between requests for each model or adapter in use.
_REQUEST_INTERVAL_MS = 500
_LATENCY_OBJECTIVE_MS = 300
# An instance reports request counts for this long after the last request.
_USAGE_REPORT_MS = 2_000


class Habits(NamedTuple):
    """How callers wait for a model.

    Attributes:
        wait_ms: Longest wait for the first event of one try.
        deadline_ms: Time from the first try until a caller gives up.
        retries: Further tries after a refusal. A caller comes back at the time
            that it is told, but after a third of the time it has left at most.
        run_ms: Duration of a request.
    """

    wait_ms: int = 2_400
    deadline_ms: int = 2_400
    retries: int = 0
    run_ms: int = 300


_NO_RETRIES = Habits()


class _Caller(NamedTuple):
    model: str
    at_ms: int
    deadline_ms: int
    retries: int


class _EngineState(NamedTuple):
    at_ms: int
    held: dict[str, frozenset[str]]
    loading: str
    until_ms: int
    sequence: int
    on_disk: tuple[str, ...]


class _Engine:
    def __init__(
        self, held: Iterable[str], copies: Iterable[str], registered_ms: int
    ):
        models = dict.fromkeys(held, _NONE)
        on_disk = tuple(dict.fromkeys([*copies, *models]))
        first = _EngineState(-10_000, models, "", 0, 0, on_disk)
        self.history = [first]
        self.registered_ms = registered_ms

    @property
    def current(self) -> _EngineState:
        return self.history[-1]

    def change_state(self, at_ms: int, **changes) -> None:
        self.history.append(self.current._replace(at_ms=at_ms, **changes))


class EngineFleet:
    """An engine controller, its engines and a weight store, on a virtual clock.

    Args:
        service: The service, with the capacity and load rate of its engines.
        held: Models that each engine holds at the start.
        store_concurrency: Concurrent loads that the weight store serves at
            full speed.
        lease: Lease of the controller; None for one that allows orders.
        copies: Copies on the disk of each engine at the start, least recently
            used first.
        disk_mb: Size of each disk.
        registers_ms: Time until each engine is in the list of targets.
        habits: How callers wait.

    Attributes:
        service: The current service configuration.
        controller: The engine controller.
        now_ms: Reading of the clock.
        loses_answers: Whether orders are carried out and not answered.
        load_starts_ms: Start times of the loads from the weight store.
        loaded: Models and adapters that have been loaded.
        served: Models whose callers were served before their timeout.
        peak_store_loads: Peak number of concurrent loads from the store.
        over_capacity: Models and adapters held by engines after each order
            that exceeded their capacity.
        repeated_loads: Models loaded from the store while another engine held,
            loaded or had a copy of them.
    """

    def __init__(
        self,
        service: types.Service,
        held: list[list[str]],
        store_concurrency,
        lease: order_lease.OrderLease | None = None,
        copies: list[list[str]] | None = None,
        disk_mb: float = float("inf"),
        registers_ms: list[int] | None = None,
        habits: Habits = _NO_RETRIES,
    ):
        self._disk_mb = disk_mb
        self._habits = habits
        self.service = service
        self._models: dict[str, types.Model] = {}
        self.now_ms = 10_000
        self.load_starts_ms: list[int] = []
        self.loaded: set[str] = set()
        self.over_capacity: list[dict[str, frozenset[str]]] = []
        self.repeated_loads: list[str] = []
        self.loses_answers = False
        self._list_version = 0
        self._store_ends_ms: list[int] = []
        self._store_concurrency = store_concurrency
        self.served: set[str] = set()
        self._waiting_callers: list[_Caller] = []
        self._returning_callers: list[_Caller] = []
        self._running: list[tuple[str, str, int]] = []
        self.peak_store_loads = 0
        self._request_counts: dict[str, int] = {}
        self._last_request_ms: dict[str, int] = {}
        self._engines = {
            f"e{n}": _Engine(
                models,
                copies[n] if copies else (),
                self.now_ms + (registers_ms[n] if registers_ms else 0),
            )
            for n, models in enumerate(held)
        }
        self._directory = targets.TargetDirectory(
            lambda key, _value: engines.entry(key), lambda: self.now_ms, "dc"
        )
        self._list_engines()
        self.controller = self._new_controller(
            lease or engines.held_lease(self.now_ms)
        )
        self.configure(service)

    def _list_engines(self) -> None:
        """Adds engines that have registered to the list of targets."""
        listed = self._directory.entries
        names = [
            name
            for name, engine in self._engines.items()
            if name not in listed and engine.registered_ms <= self.now_ms
        ]
        if names:
            version = self._list_version = self._list_version + 1
            rows = tuple(store_lib.Row(name, b"", version) for name in names)
            self._directory.table.on_rows(
                store_lib.Snapshot(rows, version), complete=not listed
            )

    def _new_controller(
        self, lease: order_lease.OrderLease
    ) -> engine_controller.EngineController:
        return engine_controller.EngineController(
            lease,
            self._directory,
            self._send_order,
            self._delayed_report,
            lambda: self.now_ms,
        )

    @property
    def engine_names(self) -> list[str]:
        """Names of the engines."""
        return list(self._engines)

    def lose_engine(self, name: str) -> None:
        """Removes an engine with its copies for good."""
        del self._engines[name]
        version = self._list_version = self._list_version + 1
        gone = store_lib.Row(name, None, version)
        self._directory.table.on_rows(
            store_lib.Snapshot((gone,), version), complete=False
        )

    def change_holder(self) -> None:
        """Replaces a lost lease holder by another instance."""
        handover_state = self.controller.handover_state(self.now_ms)
        self.controller = self._new_controller(
            engines.taken_over_lease(self.now_ms)
        )
        self.configure(self.service)
        self.controller.inherit(handover_state, self.now_ms)

    def configure(self, service: types.Service) -> None:
        """Applies a new service configuration to the controller."""
        self.service = service
        self._models |= service.models
        self.configure_services(service)

    def configure_services(self, *services: types.Service) -> None:
        """Applies a configuration with other services to the controller."""
        self.controller.configure(
            types.Configuration(
                version=1,
                routes={},
                services={service.name: service for service in services},
                accounts={},
                account_by_key={},
                limits=types.CallerLimits(),
            )
        )

    def holds(self, model_key: str) -> bool:
        """Returns whether any engine holds a model or adapter."""
        model, _, adapter = model_key.partition("/")
        return any(
            model in engine.current.held
            and (not adapter or adapter in engine.current.held[model])
            for engine in self._engines.values()
        )

    def on_disks(self) -> set[str]:
        """Returns the models with a copy on any disk."""
        return {
            name
            for engine in self._engines.values()
            for name in engine.current.on_disk
        }

    async def run(
        self,
        for_ms: int,
        waiting: dict[str, int],
        refused: Iterable[str] = (),
        requested: Collection[str] = (),
    ) -> None:
        """Advances the clock while callers wait.

        Args:
            for_ms: Time to simulate.
            waiting: Number of waiting requests by model or model/adapter.
            refused: Models requested by callers that do not wait.
            requested: Models that one caller each requests; it waits
                unless the controller predicts that it would be in vain.
        """
        for model in requested:
            self._add_caller(
                _Caller(
                    model,
                    self.now_ms,
                    self.now_ms + self._habits.deadline_ms,
                    self._habits.retries,
                )
            )
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += _STEP_MS
            self._list_engines()
            self._finish_loads()
            self._return_callers()
            report = self._serve_callers(self._instance_report(waiting))
            self._record_usage({*filter(self.holds, waiting), *refused})
            self.controller.update(self.now_ms)
            loads = in_flight_totals.InFlightTotals()
            loads.record(report)
            self.controller.plan([report], loads, self.now_ms)
            for _ in range(4):
                await asyncio.sleep(0)

    def _record_usage(self, model_keys: Iterable[str]) -> None:
        if self.now_ms % _REQUEST_INTERVAL_MS == 0:
            for model_key in model_keys:
                self._count_request(model_key)
        oldest_ms = self.now_ms - _USAGE_REPORT_MS
        recent = {
            model_key: self._request_counts[model_key]
            for model_key, at_ms in self._last_request_ms.items()
            if at_ms >= oldest_ms
        }
        self.controller.usage.update_counts("i", recent, self.now_ms)

    def _count_request(self, model_key: str) -> None:
        self._request_counts[model_key] = (
            self._request_counts.get(model_key, 0) + 1
        )
        self._last_request_ms[model_key] = self.now_ms

    def _add_caller(self, caller: _Caller) -> None:
        self._count_request(caller.model)
        self._waiting_callers.append(caller)

    def _return_callers(self) -> None:
        """Lets refused callers try again that were told to come back now."""
        due = [c for c in self._returning_callers if c.at_ms <= self.now_ms]
        self._returning_callers = [
            c for c in self._returning_callers if c.at_ms > self.now_ms
        ]
        for caller in due:
            self._add_caller(caller)

    def _refuse(self, caller: _Caller, ready_in_ms: int) -> None:
        if caller.retries:
            max_delay_ms = (caller.deadline_ms - self.now_ms) // 3
            self._returning_callers.append(
                caller._replace(
                    at_ms=self.now_ms + min(ready_in_ms, max_delay_ms),
                    retries=caller.retries - 1,
                )
            )

    def _serve_callers(self, report: messages.Report) -> messages.Report:
        """Routes callers to loaded models; adds waiting callers to a report."""
        waiting = []
        left_ms_by_model: dict[str, list[int]] = {}
        for caller in self._waiting_callers:
            model = caller.model
            left_ms = (
                min(caller.at_ms + self._habits.wait_ms, caller.deadline_ms)
                - self.now_ms
            )
            holder = next(
                (
                    target_id
                    for target_id, engine in self._engines.items()
                    if model in engine.current.held
                ),
                "",
            )
            if holder:
                self.served.add(model)
                self._running.append(
                    (holder, model, self.now_ms + self._habits.run_ms)
                )
                continue
            ready_in_ms = self.controller.ready_in_ms.get(model, 0)
            if ready_in_ms <= left_ms:
                waiting.append(caller)
                left_ms_by_model.setdefault(model, []).append(left_ms)
            else:
                self._refuse(caller, ready_in_ms)
        self._waiting_callers = waiting
        self._running = [run for run in self._running if run[2] > self.now_ms]
        in_flight: dict[str, dict[str, int]] = {}
        for holder, model, _ in self._running:
            in_flight.setdefault(holder, {})[model] = 1
        caller_demand = [
            messages.WaitingRequests(
                self.service.name,
                model,
                "",
                [
                    remaining_ms - self._habits.wait_ms + _LATENCY_OBJECTIVE_MS
                    for remaining_ms in all_left_ms
                ],
                all_left_ms,
            )
            for model, all_left_ms in left_ms_by_model.items()
        ]
        return report._replace(
            waiting=report.waiting + caller_demand,
            in_flight=in_flight,
            returning=self._returning(),
        )

    def _returning(self) -> list[messages.ReturningCallers]:
        left_ms: dict[str, list[int]] = {}
        for caller in self._returning_callers:
            gives_up_ms = min(
                caller.deadline_ms, caller.at_ms + self._habits.wait_ms
            )
            left_ms.setdefault(caller.model, []).append(
                gives_up_ms - self.now_ms
            )
        return [
            messages.ReturningCallers(self.service.name, model, times_ms)
            for model, times_ms in left_ms.items()
        ]

    def _instance_report(self, waiting: dict[str, int]) -> messages.Report:
        return engines.instance_report(
            "i",
            waiting=[
                messages.WaitingRequests(
                    self.service.name,
                    *(model_key.partition("/")[::2]),
                    [3_000] * count,
                    [12_000] * count,
                )
                for model_key, count in waiting.items()
                if not self.holds(model_key)
            ],
        )

    def _finish_loads(self) -> None:
        for engine in self._engines.values():
            state = engine.current
            if not state.loading or self.now_ms < state.until_ms:
                continue
            model = state.loading
            self.loaded.add(model)
            engine.change_state(
                self.now_ms,
                held={**state.held, model: _NONE},
                loading="",
                on_disk=self._disk_after_load(state.on_disk, model),
            )

    def _disk_after_load(
        self, on_disk: tuple[str, ...], model: str
    ) -> tuple[str, ...]:
        """Returns the copies on a disk; those used least recently give way."""
        models = self._models
        copies = [name for name in on_disk if name != model] + [model]
        while sum(models[name].size_mb for name in copies) > self._disk_mb:
            copies.pop(0)
        return tuple(copies)

    async def _send_order(
        self, entry, order, _token, sequence
    ) -> order_sender.OrderAnswer:
        engine = self._engines.get(entry.target_id)
        if engine is None:
            return order_sender.OrderAnswer(
                order_progress.Result.NOT_SENT, "not connected"
            )
        result = order_progress.Result.REFUSED
        if not engine.current.loading and sequence == engine.current.sequence:
            result = self._execute(engine, order)
        if self.loses_answers:
            result = order_progress.Result.UNKNOWN
        return order_sender.OrderAnswer(result, "")

    def _execute(
        self, engine: _Engine, order: model_orders.Order
    ) -> order_progress.Result:
        held = dict(engine.current.held)
        sequence = engine.current.sequence + 1
        result = order_progress.Result.ACCEPTED
        if order.adapter and order.model in held:
            held[order.model] ^= {order.adapter}
            self._check_capacity(held)
            if order.verb is model_orders.Verb.LOAD:
                self.loaded.add(f"{order.model}/{order.adapter}")
            else:
                result = order_progress.Result.HOLDS
            engine.change_state(self.now_ms, held=held, sequence=sequence)
        elif order.verb is model_orders.Verb.UNLOAD:
            held.pop(order.model, None)
            engine.change_state(self.now_ms, held=held, sequence=sequence)
        else:
            self._check_capacity({**held, order.model: _NONE})
            engine.change_state(
                self.now_ms,
                loading=order.model,
                until_ms=self.now_ms + self._load_ms(engine, order.model),
                sequence=sequence,
            )
        return result

    def _load_ms(self, engine: _Engine, name: str) -> int:
        model = self._models[name]
        if name in engine.current.on_disk:
            return int(model.disk_load_ms)
        self.load_starts_ms.append(self.now_ms)
        if any(
            name in (*other.current.held, *other.current.on_disk)
            or name == other.current.loading
            for other in self._engines.values()
            if other is not engine
        ):
            self.repeated_loads.append(name)
        # A load whose engine is lost keeps its place until it would be done.
        self._store_ends_ms = [
            end_ms for end_ms in self._store_ends_ms if end_ms > self.now_ms
        ]
        store_loads = 1 + len(self._store_ends_ms)
        self.peak_store_loads = max(self.peak_store_loads, store_loads)
        load_ms = int(
            model.load_ms * max(1.0, store_loads / self._store_concurrency)
        )
        self._store_ends_ms.append(self.now_ms + load_ms)
        return load_ms

    def _check_capacity(self, held: dict[str, frozenset[str]]) -> None:
        """The oracle: a real engine would crash beyond its capacity."""
        capacity = self.service.engine_capacity
        memory_mb = model_orders.held_mb(held, self._models)
        adapters = sum(map(len, held.values()))
        if (
            capacity is None
            or memory_mb > capacity.memory_mb
            or adapters > capacity.max_adapters
        ):
            self.over_capacity.append(held)

    async def _delayed_report(
        self, entry
    ) -> types.TargetReport | errors.MalformedEntry:
        until_ms = self.now_ms - _REPORT_LAG_MS
        if entry.target_id not in self._engines:
            return errors.MalformedEntry(entry.target_id, "not connected")
        history = self._engines[entry.target_id].history
        state = [past for past in history if past.at_ms <= until_ms][-1]
        return engines.report(
            state.held,
            busy=bool(state.loading),
            order_sequence=state.sequence,
            on_disk=state.on_disk,
        )

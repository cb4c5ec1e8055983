"""Engines of a made-up deployment that carry out what a keeper orders."""

import asyncio
from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

from tanagerloft.coordination import engine_controller
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
# Time between two requests for each subject in use.
_USE_MS = 500
# Aim and patience of callers, and time that their requests take.
_AIM_MS = 300
_PATIENCE_MS = 2_400
_RUN_MS = 300
# Instances tell of requests for so long.
_USE_TOLD_MS = 2_000


class _Seen(NamedTuple):
    at_ms: int
    held: dict[str, frozenset[str]]
    loading: str
    until_ms: int
    sequence: int
    on_disk: frozenset[str]


class _Engine:
    def __init__(self, held: Iterable[str]):
        models = dict.fromkeys(held, _NONE)
        first = _Seen(-10_000, models, "", 0, 0, frozenset(models))
        self.history = [first]

    @property
    def now(self) -> _Seen:
        return self.history[-1]

    def become(self, at_ms: int, **changes) -> None:
        self.history.append(self.now._replace(at_ms=at_ms, **changes))


class EngineFleet:
    """A keeper, its engines and a weight store, on a virtual clock.

    Args:
        service: The service; its room and rate are what the engines have.
        held: Models that each engine holds at the start.
        at_once: Loads that the weight store takes at full speed.
        lease: Lease of the keeper, one that allows orders if None.

    Attributes:
        service: The service as the engines have it.
        keeper: The keeper.
        now_ms: Reading of the clock.
        begun_ms: When each load from the weight store began.
        arrived: Models and adapters that have been loaded.
        served: Models that callers came for, and were sent to in time.
        under_way: Most loads from the weight store at a time.
        over_room: What engines were ordered to hold beyond their room.
    """

    def __init__(
        self,
        service: types.Service,
        held: list[list[str]],
        at_once,
        lease: order_lease.OrderLease | None = None,
    ):
        self.service = service
        self.now_ms = 10_000
        self.begun_ms: list[int] = []
        self.arrived: set[str] = set()
        self.over_room: list[dict[str, frozenset[str]]] = []
        self._at_once = at_once
        self.served: set[str] = set()
        self._callers: list[tuple[str, int]] = []
        self._runs: list[tuple[str, str, int]] = []
        self.under_way = 0
        self._used: dict[str, int] = {}
        self._used_ms: dict[str, int] = {}
        self._engines = {
            f"e{n}": _Engine(models) for n, models in enumerate(held)
        }
        self._directory = targets.TargetDirectory(
            lambda key, _value: engines.entry(key), lambda: self.now_ms, "dc"
        )
        rows = tuple(store_lib.Row(name, b"", 1) for name in self._engines)
        self._directory.table.on_rows(
            store_lib.Snapshot(rows, 1), complete=True
        )
        self.keeper = self._new_keeper(lease or engines.held_lease(self.now_ms))
        self.configure(service)

    def _new_keeper(
        self, lease: order_lease.OrderLease
    ) -> engine_controller.EngineController:
        return engine_controller.EngineController(
            lease,
            self._directory,
            self._order,
            self._report,
            lambda: self.now_ms,
        )

    def change_holder(self) -> None:
        """Lets another instance take the lease from a lost holder."""
        learnt = self.keeper.handover_state(self.now_ms)
        self.keeper = self._new_keeper(engines.taken_lease(self.now_ms))
        self.configure(self.service)
        self.keeper.inherit(learnt, self.now_ms)

    def configure(self, service: types.Service) -> None:
        """Gives the keeper a new configuration."""
        self.service = service
        self.keeper.configure(
            types.Configuration(
                version=1,
                routes={},
                services={service.name: service},
                accounts={},
                account_by_key={},
                limits=types.CallerLimits(),
            )
        )

    def holds(self, subject: str) -> bool:
        """Returns whether an engine holds a model, or an adapter of it."""
        model, _, adapter = subject.partition("/")
        return any(
            model in engine.now.held
            and (not adapter or adapter in engine.now.held[model])
            for engine in self._engines.values()
        )

    async def run(
        self,
        for_ms: int,
        waited: dict[str, int],
        refused: Iterable[str] = (),
        asked: Collection[str] = (),
    ) -> None:
        """Lets time pass while callers wait.

        Args:
            for_ms: How long.
            waited: Requests that wait, by model or model and adapter.
            refused: Models that are asked for by callers that do not wait.
            asked: Models that one caller each asks for, who waits unless the
                keeper tells that it would be in vain.
        """
        for model in asked:
            self._count(model)
            self._callers.append((model, self.now_ms))
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += _STEP_MS
            self._advance()
            report = self._call(self._instance_report(waited))
            self._use({*filter(self.holds, waited), *refused})
            self.keeper.update(self.now_ms)
            loads = in_flight_totals.InFlightTotals()
            loads.record(report)
            self.keeper.plan([report], loads, self.now_ms)
            for _ in range(4):
                await asyncio.sleep(0)

    def _use(self, subjects: Iterable[str]) -> None:
        if self.now_ms % _USE_MS == 0:
            for subject in subjects:
                self._count(subject)
        oldest_ms = self.now_ms - _USE_TOLD_MS
        told = {
            subject: self._used[subject]
            for subject, at_ms in self._used_ms.items()
            if at_ms >= oldest_ms
        }
        self.keeper.usage.update_counts("i", told, self.now_ms)

    def _count(self, subject: str) -> None:
        self._used[subject] = self._used.get(subject, 0) + 1
        self._used_ms[subject] = self.now_ms

    def _call(self, report: messages.Report) -> messages.Report:
        """Sends callers to their models, adds those who wait to a report."""
        waiting = []
        waited: dict[str, list[int]] = {}
        for model, at_ms in self._callers:
            left_ms = at_ms + _PATIENCE_MS - self.now_ms
            holder = next(
                (k for k, e in self._engines.items() if model in e.now.held), ""
            )
            if holder:
                self.served.add(model)
                self._runs.append((holder, model, self.now_ms + _RUN_MS))
            elif self.keeper.ready_in_ms.get(model, 0) <= left_ms:
                waiting.append((model, at_ms))
                waited.setdefault(model, []).append(left_ms)
        self._callers = waiting
        self._runs = [one for one in self._runs if one[2] > self.now_ms]
        in_flight: dict[str, dict[str, int]] = {}
        for holder, model, _ in self._runs:
            in_flight.setdefault(holder, {})[model] = 1
        more = [
            messages.WaitingRequests(
                self.service.name,
                model,
                "",
                [left - _PATIENCE_MS + _AIM_MS for left in lefts],
                lefts,
            )
            for model, lefts in waited.items()
        ]
        return report._replace(
            waiting=report.waiting + more, in_flight=in_flight
        )

    def _instance_report(self, waited: dict[str, int]) -> messages.Report:
        return engines.instance_report(
            "i",
            waiting=[
                messages.WaitingRequests(
                    self.service.name,
                    *(subject.partition("/")[::2]),
                    [3_000] * count,
                    [12_000] * count,
                )
                for subject, count in waited.items()
                if not self.holds(subject)
            ],
        )

    def _advance(self) -> None:
        for engine in self._engines.values():
            seen = engine.now
            if not seen.loading or self.now_ms < seen.until_ms:
                continue
            model = seen.loading
            self.arrived.add(model)
            engine.become(
                self.now_ms,
                held={**seen.held, model: _NONE},
                loading="",
                on_disk=seen.on_disk | {model},
            )

    async def _order(
        self, entry, order, _token, sequence
    ) -> order_sender.OrderAnswer:
        engine = self._engines[entry.target_id]
        result = order_progress.Result.REFUSED
        if not engine.now.loading and sequence == engine.now.sequence:
            result = self._carry_out(engine, order)
        return order_sender.OrderAnswer(result, "")

    def _carry_out(
        self, engine: _Engine, order: model_orders.Order
    ) -> order_progress.Result:
        held = dict(engine.now.held)
        sequence = engine.now.sequence + 1
        result = order_progress.Result.ACCEPTED
        if order.adapter and order.model in held:
            held[order.model] ^= {order.adapter}
            self._check(held)
            if order.verb is model_orders.Verb.LOAD:
                self.arrived.add(f"{order.model}/{order.adapter}")
            else:
                result = order_progress.Result.HOLDS
            engine.become(self.now_ms, held=held, sequence=sequence)
        elif order.verb is model_orders.Verb.UNLOAD:
            held.pop(order.model, None)
            engine.become(self.now_ms, held=held, sequence=sequence)
        else:
            self._check({**held, order.model: _NONE})
            engine.become(
                self.now_ms,
                loading=order.model,
                until_ms=self.now_ms + self._load_ms(engine, order.model),
                sequence=sequence,
            )
        return result

    def _load_ms(self, engine: _Engine, name: str) -> int:
        model = self.service.models[name]
        if name in engine.now.on_disk:
            return int(model.disk_load_ms)
        self.begun_ms.append(self.now_ms)
        under_way = 1 + sum(
            other.now.loading not in ("", *other.now.on_disk)
            for other in self._engines.values()
        )
        self.under_way = max(self.under_way, under_way)
        return int(model.load_ms * max(1.0, under_way / self._at_once))

    def _check(self, held: dict[str, frozenset[str]]) -> None:
        """The oracle: a real engine crashes over its room."""
        room = self.service.engine_capacity
        memory_mb = model_orders.held_mb(held, self.service.models)
        adapters = sum(map(len, held.values()))
        if (
            room is None
            or memory_mb > room.memory_mb
            or adapters > room.max_adapters
        ):
            self.over_room.append(held)

    async def _report(self, entry) -> types.TargetReport:
        until_ms = self.now_ms - _REPORT_LAG_MS
        history = self._engines[entry.target_id].history
        seen = [one for one in history if one.at_ms <= until_ms][-1]
        return engines.report(
            seen.held,
            busy=bool(seen.loading),
            order_sequence=seen.sequence,
            on_disk=seen.on_disk,
        )

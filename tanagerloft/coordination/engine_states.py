"""Tracks engines: their entries in the target list, reports and late loads."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import NamedTuple

from tanagerloft.coordination import errors
from tanagerloft.coordination import model_changelog
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import engine_orders
from tanagerloft.decisions import handover
from tanagerloft.decisions import store_concurrency
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)

# Shortest time between two reports of one engine.
_MIN_REPORT_INTERVAL_MS = 300
# Engines that start together register over some seconds. None is missing if no
# further one has registered for this long.
_REGISTRATION_MS = 2_000

FetchReport = Callable[
    [types.TargetEntry],
    Awaitable[types.TargetReport | errors.MalformedEntry],
]


class _LoadWithoutEngine(NamedTuple):
    """A load from the weight store whose engine is not listed.

    Attributes:
        load: The load.
        at_ms: Reading of the clock that its times refer to.
    """

    load: handover.StoreLoad
    at_ms: int

    @property
    def due_ms(self) -> int:
        """When it should be done."""
        return self.at_ms + self.load.left_ms


class EngineState:
    """State of one incarnation of an engine, as the lease holder knows it.

    Attributes:
        target_id: Name of the engine.
        born_ms: Start of this incarnation.
        orders: Orders to the engine and their progress.
        store_load: Model that it loads from the weight store, until the
            duration of the load is known; empty for none.
        store_load_ms: Time at which that load was ordered.
        models_logged: Whether its first known models have been logged.
    """

    def __init__(self, entry: types.TargetEntry, now_ms: int):
        self.target_id = entry.target_id
        self.born_ms = entry.born_ms
        self.orders = engine_orders.EngineOrders(entry.models, now_ms)
        self.report_due_ms = 0
        self.polling = False
        self.store_load = ""
        self.store_load_ms = 0
        self.models_logged = False

    def inherit_load(self, load: handover.StoreLoad, at_ms: int) -> None:
        """Goes on with a load that a previous lease holder has ordered.

        Args:
            load: The load.
            at_ms: Reading of the clock that the times of the load refer to.
        """
        self.store_load = load.model
        self.store_load_ms = at_ms - load.ordered_ago_ms
        self.orders.inherit_load(
            load.model, self.store_load_ms, at_ms + load.left_ms
        )

    def shared_models(self) -> model_changelog.Models | None:
        """Returns the models to share with instances, None if unknown."""
        if not self.orders.known:
            return None
        return {
            name: sorted(adapters)
            for name, adapters in self.orders.usable().items()
        }

    def load_in_progress(self, now_ms: int) -> handover.StoreLoad | None:
        """Returns the load from the weight store, None if there is none."""
        due_ms = self.orders.load_due_ms()
        if not self.store_load or not self.loads_from_store() or due_ms is None:
            return None
        return handover.StoreLoad(
            self.target_id,
            self.born_ms,
            self.store_load,
            now_ms - self.store_load_ms,
            due_ms - now_ms,
        )

    def loads_from_store(self) -> bool:
        """Returns whether the engine loads from the weight store."""
        loading = self.orders.loading
        return bool(loading) and loading not in self.orders.copies

    def is_load_unconfirmed(self) -> bool:
        """Returns whether a load that should be done is not confirmed yet."""
        return bool(self.store_load) and not self.loads_from_store()


class EngineStates:
    """States of all engines.

    Args:
        directory: Target directory.
        fetch_report: Fetches the state of an engine.
        now_ms: Clock.
        on_new_engine: Called with the entry of a new engine.

    Attributes:
        by_target: States by target.
        store_concurrency: Estimates how many concurrent loads the weight store
            serves at full speed.
    """

    def __init__(
        self,
        directory: targets_lib.TargetDirectory,
        fetch_report: FetchReport,
        now_ms: Callable[[], int],
        on_new_engine: Callable[[types.TargetEntry], None],
    ):
        self._directory = directory
        self._fetch_report = fetch_report
        self._now_ms = now_ms
        self._on_new_engine = on_new_engine
        self.store_concurrency = store_concurrency.ConcurrencyEstimator()
        self._polls: set[asyncio.Task] = set()
        self._newest_ms = 0
        self.by_target: dict[str, EngineState] = {}
        self._without_engine: dict[tuple[str, int], _LoadWithoutEngine] = {}

    def loads_in_progress(self) -> list[handover.StoreLoad]:
        """Returns the loads from the weight store for the next holder."""
        now_ms = self._now_ms()
        loads = [
            state.load_in_progress(now_ms) for state in self.by_target.values()
        ]
        loads += [
            item.load._replace(
                ordered_ago_ms=item.load.ordered_ago_ms + now_ms - item.at_ms,
                left_ms=item.load.left_ms + item.at_ms - now_ms,
            )
            for item in self._without_engine.values()
            if item.due_ms > now_ms
        ]
        return [load for load in loads if load is not None]

    def inherit_loads(
        self, loads: Iterable[handover.StoreLoad], at_ms: int
    ) -> None:
        """Restores the loads in progress when the previous holder wrote.

        Args:
            loads: The loads.
            at_ms: Reading of the clock that their times refer to.
        """
        self._without_engine = {
            (load.target_id, load.born_ms): _LoadWithoutEngine(load, at_ms)
            for load in loads
        }
        for state in self.by_target.values():
            self._inherit_load(state)

    def _inherit_load(self, state: EngineState) -> None:
        item = self._without_engine.pop((state.target_id, state.born_ms), None)
        if item is not None and not state.store_load:
            state.inherit_load(item.load, item.at_ms)

    def clear(self) -> None:
        """Discards all engines: another holder may give them orders.

        If none does, this one goes on with the loads in progress.
        """
        if not self.by_target:
            return
        loads = self.loads_in_progress()
        for state in self.by_target.values():
            self._end_store_load(state, "holder changes")
            self.store_concurrency.discard_load(state.target_id)
        self.by_target.clear()
        self.inherit_loads(loads, self._now_ms())

    def shared_models(self) -> dict[str, model_changelog.Models | None]:
        """Returns the models of each engine to share, None if unknown.

        A model whose load should be done, but may take longer, is shared once
        a report confirms it.
        """
        shared = {}
        for target_id, state in self.by_target.items():
            models = state.shared_models()
            if (
                models is not None
                and state.is_load_unconfirmed()
                and not self.store_concurrency.is_duration_reliable(target_id)
            ):
                models.pop(state.store_load, None)
            shared[target_id] = models
        return shared

    def next_change_in_ms(self, now_ms: int, max_ms: int) -> int:
        """Returns the time until an engine may accept an order, bounded.

        Args:
            now_ms: Clock reading.
            max_ms: Upper bound on the result.
        """
        times = (
            state.orders.next_change_in_ms(now_ms)
            for state in self.by_target.values()
        )
        return min((max_ms, *(ms for ms in times if ms is not None)))

    def copies_known(self) -> bool:
        """Returns whether all engines have registered and reported.

        Otherwise a model without a known copy may have one all the same. An
        engine that hasn't reported for a while no longer counts.
        """
        now_ms = self._now_ms()
        return now_ms - self._newest_ms >= _REGISTRATION_MS and not any(
            state.orders.may_load_untracked(now_ms)
            for state in self.by_target.values()
        )

    def store_loads(self) -> int:
        """Returns the number of loads from the weight store in progress.

        It includes loads that a previous holder may have ordered.
        """
        now_ms = self._now_ms()
        return self._loads_without_engine(now_ms) + sum(
            state.loads_from_store()
            or state.orders.may_load_untracked(now_ms)
            or state.is_load_unconfirmed()
            and not self.store_concurrency.is_duration_reliable(state.target_id)
            for state in self.by_target.values()
        )

    def _loads_without_engine(self, now_ms: int) -> int:
        """Returns the number of loads whose engines are gone.

        The weight store runs such a load until it would have been done.
        """
        return sum(
            item.due_ms > now_ms for item in self._without_engine.values()
        )

    def note_store_load(self, state: EngineState, model: types.Model) -> None:
        """Records that an engine starts to load from the weight store."""
        self.advance_store_loads()
        max_concurrent = self.store_loads() + 1
        min_concurrent = (
            sum(s.loads_from_store() for s in self.by_target.values())
            + self._loads_without_engine(self._now_ms())
            + 1
        )
        state.store_load = model.name
        state.store_load_ms = self._now_ms()
        self.store_concurrency.begin_load(
            state.target_id, model.load_ms, max_concurrent, min_concurrent
        )
        self.advance_store_loads()

    def discard_store_load(self, state: EngineState) -> None:
        """Discards a load that has not started, or may start at any time."""
        self._end_store_load(state, "not begun, or later")
        self.store_concurrency.discard_load(state.target_id)

    def advance_store_loads(self) -> None:
        """Advances the progress of the loads in progress.

        A load that should be done counts until a report confirms it. The
        learned speed of the store gives the remaining time of the others.
        """
        now_ms = self._now_ms()
        loading = [s for s in self.by_target.values() if s.store_load]
        unseen = sum(
            state.orders.may_load_untracked(now_ms)
            for state in self.by_target.values()
            if not state.store_load
        )
        unseen += self._loads_without_engine(now_ms)
        self.store_concurrency.advance(len(loading) + unseen, now_ms)
        for state in loading:
            left_ms = self.store_concurrency.left_ms(state.target_id)
            if left_ms and state.orders.loading == state.store_load:
                state.orders.set_time_left(left_ms, now_ms)

    def refresh(self, services: set[str]) -> None:
        """Adds, replaces and removes engines after the target list.

        An engine is removed too if its service no longer has engines, or if
        its entry names another service.

        Args:
            services: Names of the services that have engines.
        """
        entries = {
            target_id: entry
            for target_id, entry in self._directory.entries.items()
            if entry.service in services
        }
        for target_id in set(self.by_target) - set(entries):
            removed = self.by_target.pop(target_id)
            self._keep_load_without_engine(removed)
            self._end_store_load(removed, "engine gone")
            self.store_concurrency.discard_load(target_id)
        for target_id, entry in entries.items():
            state = self.by_target.get(target_id)
            if state is None or state.born_ms != entry.born_ms:
                if state is not None:
                    self._keep_load_without_engine(state)
                    self._end_store_load(state, "engine restarted")
                self.store_concurrency.discard_load(target_id)
                self._newest_ms = self._now_ms()
                state = EngineState(entry, self._newest_ms)
                self.by_target[target_id] = state
                self._inherit_load(state)
                self._on_new_engine(entry)

    def _keep_load_without_engine(self, state: EngineState) -> None:
        """Keeps a load whose engine has gone, or is not listed any more."""
        now_ms = self._now_ms()
        load = state.load_in_progress(now_ms)
        if load is not None:
            key = state.target_id, state.born_ms
            self._without_engine[key] = _LoadWithoutEngine(load, now_ms)

    def poll_reports(self, now_ms: int) -> None:
        """Fetches reports from engines whose state may have changed."""
        for target_id, state in self.by_target.items():
            entry = self._directory.entries.get(target_id)
            if entry is None or state.polling or now_ms < state.report_due_ms:
                continue
            if state.orders.needs_report(now_ms):
                state.report_due_ms = now_ms + _MIN_REPORT_INTERVAL_MS
                state.polling = True
                loop = asyncio.get_running_loop()
                poll = loop.create_task(self._poll(entry, state))
                self._polls.add(poll)
                poll.add_done_callback(self._polls.discard)

    async def _poll(self, entry: types.TargetEntry, state: EngineState) -> None:
        asked_ms = self._now_ms()
        try:
            report = await self._fetch_report(entry)
        finally:
            state.polling = False
        if isinstance(report, errors.MalformedEntry):
            logger.info(
                "engine report could not be fetched",
                extra={"target": entry.target_id, "reason": report.reason},
            )
            return
        self.advance_store_loads()
        known_copies = state.orders.copies.all()
        late_model = state.orders.on_report(report, asked_ms)
        self._log_evicted(state, known_copies - state.orders.copies.all())
        if state.orders.known and not state.models_logged:
            state.models_logged = True
            _log_engine(state, report)
        self._observe_store_load(state, report, asked_ms)
        if late_model:
            logger.info(
                "model load is late",
                extra={
                    "target": entry.target_id,
                    "model": late_model,
                    "store_loads": self.store_loads(),
                    "store_at_once": self.store_concurrency.concurrency(),
                },
            )

    def _log_evicted(self, state: EngineState, evicted: frozenset[str]) -> None:
        """Logs copies that an engine has dropped to make room for others."""
        if not evicted:
            return
        elsewhere = {
            model
            for other in self.by_target.values()
            if other is not state
            for model in other.orders.copies.all()
        }
        logger.info(
            "copies evicted",
            extra={
                "target": state.target_id,
                "models": sorted(evicted),
                "last_copies": sorted(evicted - elsewhere),
                "store_load": state.store_load,
            },
        )

    def _observe_store_load(
        self,
        state: EngineState,
        report: types.TargetReport,
        asked_ms: int,
    ) -> None:
        """Updates the load time estimate of the store from a report."""
        if not state.store_load:
            return
        if state.store_load in report.models:
            self.store_concurrency.on_load_done(state.target_id)
            self._end_store_load(state, "done")
        elif not report.busy and not state.orders.loading:
            self.store_concurrency.discard_load(state.target_id)
            self._end_store_load(state, "not held")
        elif report.busy:
            age_ms = self._now_ms() - asked_ms + engine_orders.REPORT_LAG_MS
            self.store_concurrency.on_still_loading(state.target_id, age_ms)

    def _end_store_load(self, state: EngineState, outcome: str) -> None:
        """Stops tracking the load from the weight store, if there is one."""
        if not state.store_load:
            return
        logger.info(
            "store load ended",
            extra={
                "target": state.target_id,
                "model": state.store_load,
                "outcome": outcome,
                "took_ms": self._now_ms() - state.store_load_ms,
                "store_at_once": self.store_concurrency.concurrency(),
            },
        )
        state.store_load = ""


def _log_engine(state: EngineState, report: types.TargetReport) -> None:
    logger.info(
        "engine known",
        extra={
            "target": state.target_id,
            "born_ms": state.born_ms,
            "models": sorted(report.models),
            "in_memory": sorted(report.in_memory),
            "on_disk": report.on_disk,
        },
    )

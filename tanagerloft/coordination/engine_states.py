"""Follows engines: their entries in the list, their reports, late loads."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import NamedTuple

from tanagerloft.coordination import errors
from tanagerloft.coordination import model_marks
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import engine_orders
from tanagerloft.decisions import weight_store
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)

# Least time between two reports of one engine.
_REPORT_POLL_MS = 300

FetchReport = Callable[
    [types.TargetEntry],
    Awaitable[types.TargetReport | errors.MalformedEntry],
]


class StoreLoad(NamedTuple):
    """A load from the weight store.

    Attributes:
        model: The model.
        began_ms: When it was ordered.
        under_way: Most such loads that have been under way at once during it,
            itself included.
    """

    model: types.Model
    began_ms: int
    under_way: int


class EngineState:
    """What the holder knows of one life of an engine.

    Attributes:
        orders: Account of the orders to it.
        store_load: Its last load from the weight store, until it is known how
            long that took; None for none.
    """

    def __init__(self, entry: types.TargetEntry):
        self.born_ms = entry.born_ms
        self.orders = engine_orders.EngineOrders(entry.models)
        self.report_due_ms = 0
        self.polling = False
        self.store_load: StoreLoad | None = None

    def told(self) -> model_marks.Models | None:
        """Returns what instances are told that it holds."""
        if not self.orders.known:
            return None
        return {
            name: sorted(adapters)
            for name, adapters in self.orders.usable().items()
        }

    def loads_from_store(self) -> bool:
        """Returns whether it loads from the weight store."""
        loading = self.orders.loading
        return bool(loading) and loading not in self.orders.copies


class EngineStates:
    """States of all engines by target.

    Args:
        directory: What is known of the targets.
        fetch_report: Asks an engine for its state.
        now_ms: Clock.
        placed: Told of an engine that is new.

    Attributes:
        by_target: The states.
        lanes: How many loads the weight store takes at once.
    """

    def __init__(
        self,
        directory: targets_lib.TargetDirectory,
        fetch_report: FetchReport,
        now_ms: Callable[[], int],
        placed: Callable[[types.TargetEntry], None],
    ):
        self._directory = directory
        self._fetch_report = fetch_report
        self._now_ms = now_ms
        self._placed = placed
        self.lanes = weight_store.StoreLanes()
        self._polls: set[asyncio.Task] = set()
        self.by_target: dict[str, EngineState] = {}

    def forget(self) -> None:
        """Forgets all engines: another holder may give them orders."""
        self.by_target.clear()

    def told_models(self) -> dict[str, model_marks.Models | None]:
        """Returns what instances are told that engines hold."""
        return {
            target_id: state.told()
            for target_id, state in self.by_target.items()
        }

    def changes_in_ms(self, now_ms: int, most_ms: int) -> int:
        """Returns the time until an engine may take an order, at most so much.

        Args:
            now_ms: Reading of the clock.
            most_ms: Bound on what is returned.
        """
        times = (
            state.orders.changes_in_ms(now_ms)
            for state in self.by_target.values()
        )
        return min((most_ms, *(ms for ms in times if ms is not None)))

    def store_loads(self) -> int:
        """Returns the number of loads from the weight store under way."""
        return sum(s.loads_from_store() for s in self.by_target.values())

    def note_store_load(self, begins: EngineState, model: types.Model) -> None:
        """Takes in that an engine begins to load from the weight store."""
        under_way = self.store_loads() + 1
        begins.store_load = StoreLoad(model, self._now_ms(), under_way)
        for state in self.by_target.values():
            load = state.store_load
            if load is not None and state.loads_from_store():
                state.store_load = load._replace(
                    under_way=max(load.under_way, under_way)
                )

    def refresh(self, services: set[str]) -> None:
        """Follows the entries of the engines of some services."""
        entries = self._directory.entries
        for target_id in set(self.by_target) - set(entries):
            del self.by_target[target_id]
        for target_id, entry in entries.items():
            if entry.service not in services:
                continue
            state = self.by_target.get(target_id)
            if state is None or state.born_ms != entry.born_ms:
                self.by_target[target_id] = EngineState(entry)
                self._placed(entry)

    def poll_reports(self, now_ms: int) -> None:
        """Asks engines for reports that would tell something new."""
        for target_id, state in self.by_target.items():
            entry = self._directory.entries.get(target_id)
            if entry is None or state.polling or now_ms < state.report_due_ms:
                continue
            if state.orders.wants_report(now_ms):
                state.report_due_ms = now_ms + _REPORT_POLL_MS
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
                "no report",
                extra={"target": entry.target_id, "reason": report.reason},
            )
            return
        late = state.orders.on_report(report, asked_ms)
        if late:
            self._note_late(entry, state, late)
            return
        load = state.store_load
        if (
            load is not None
            and load.model.name in report.models
            and not report.busy
        ):
            now_ms = self._now_ms()
            self.lanes.note_done(
                load.under_way,
                now_ms - load.began_ms,
                load.model.load_ms,
                now_ms,
            )
            state.store_load = None

    def _note_late(
        self, entry: types.TargetEntry, state: EngineState, model: str
    ) -> None:
        now_ms = self._now_ms()
        load = state.store_load
        if load is not None and load.model.name == model:
            self.lanes.note_late(load.under_way, now_ms)
        logger.info(
            "load is late",
            extra={
                "target": entry.target_id,
                "model": model,
                "store_loads": load.under_way if load is not None else 0,
                "store_at_once": self.lanes.at_once(now_ms),
            },
        )

"""Logs the plans of the lease holder and the reasons for its orders."""

from __future__ import annotations

import itertools
import logging
from typing import TYPE_CHECKING

from tanagerloft.decisions import model_orders

if TYPE_CHECKING:
    from tanagerloft.coordination import engine_states
    from tanagerloft.decisions import model_usage
    from tanagerloft.decisions import order_lease

logger = logging.getLogger(__name__)

# Shortest time between two log lines on requested models.
_WAITING_LOG_INTERVAL_MS = 1_000
# Number of models in such a line, those with the longest unmet demand.
_MAX_LOGGED_MISSED = 20


class PlanLog:
    """Writes the log lines of one engine controller.

    Args:
        states: States of the engines.
        usage: Use of models across the fleet.
    """

    def __init__(
        self,
        states: engine_states.EngineStates,
        usage: model_usage.ModelUsage,
    ):
        self._states = states
        self._usage = usage
        self._waiting_log_due_ms = 0
        self._logged_token = 0

    def log_term(self, term: order_lease.Term | None) -> None:
        """Logs once per term what the holder knows as it starts to plan."""
        if term is None or term.token == self._logged_token:
            return
        self._logged_token = term.token
        logger.info(
            "planning begins",
            extra={
                "token": term.token,
                "store_at_once": self._states.store_concurrency.concurrency(),
                "missed": len(self._usage.usage({}).unmet_demand),
            },
        )

    def log_waiting(
        self,
        service: str,
        expected_ms: dict[str, int],
        engines: list[model_orders.Engine],
        store: model_orders.WeightStore,
        now_ms: int,
    ) -> None:
        """Logs at intervals which models are waited for, and why.

        Args:
            service: Name of the service.
            expected_ms: Expected time until each requested model is loaded.
            engines: Engines of the service.
            store: State of the weight store.
            now_ms: Clock reading.
        """
        if now_ms < self._waiting_log_due_ms:
            return
        self._waiting_log_due_ms = now_ms + _WAITING_LOG_INTERVAL_MS
        logger.info(
            "models waited for",
            extra={
                "service": service,
                "later_ms": expected_ms,
                "busy_ms": {
                    engine.target_id: engine.busy_ms
                    for engine in engines
                    if engine.busy
                },
                "idle": [e.target_id for e in engines if not e.busy],
                "store_loads": store.under_way,
                "store_left": store.loads_left,
                "store_at_once": store.concurrency,
                "missed": dict(
                    itertools.islice(
                        self._usage.longest_unmet(now_ms).items(),
                        _MAX_LOGGED_MISSED,
                    )
                ),
            },
        )

    def log_order(
        self,
        order: model_orders.Order,
        purpose: model_orders.Purpose,
        now_ms: int,
    ) -> None:
        """Logs the reasons for an order to load or unload a model."""
        usage = self._usage.usage({})
        states = self._states.by_target
        missed = usage.unmet_demand.get(order.model)
        used_ms = usage.last_used_ms.get(order.model)
        logger.info(
            "order chosen",
            extra={
                "target": order.target_id,
                "verb": order.verb.value,
                "model": order.model,
                "purpose": purpose.value,
                "from_store": states[order.target_id].store_load == order.model,
                "holders": sum(
                    order.model in state.orders.usable()
                    for state in states.values()
                ),
                "copies": sum(
                    order.model in state.orders.copies
                    for state in states.values()
                ),
                "missed_requests": round(missed.requests, 1) if missed else 0,
                "missed_ms": now_ms - missed.since_ms if missed else None,
                "unused_ms": None if used_ms is None else now_ms - used_ms,
                "store_loads": self._states.store_loads(),
            },
        )

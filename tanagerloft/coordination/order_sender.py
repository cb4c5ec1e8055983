"""Sends orders to engines and handles their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import NamedTuple

from tanagerloft.coordination import engine_states
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)

# Results of orders that have not started anything.
_NOT_STARTED = (
    order_progress.Result.HOLDS,
    order_progress.Result.REFUSED,
    order_progress.Result.NOT_SENT,
)


class OrderAnswer(NamedTuple):
    """Answer of an engine to an order.

    Attributes:
        result: Outcome of the order.
        detail: Detail for the log.
    """

    result: order_progress.Result
    detail: str


SendOrder = Callable[
    [types.TargetEntry, model_orders.Order, int, int], Awaitable[OrderAnswer]
]


class OrderSender:
    """Sends orders, each in its own task.

    Args:
        lease: State of the lease.
        states: States of the engines.
        send_order: Sends an order to an engine.
        now_ms: Clock.

    Attributes:
        answered: Set when an engine has answered an order.
        on_store_load: Called when an engine has accepted to load from the
            weight store.
    """

    def __init__(
        self,
        lease: order_lease.OrderLease,
        states: engine_states.EngineStates,
        send_order: SendOrder,
        now_ms: Callable[[], int],
    ):
        self._lease = lease
        self._states = states
        self._send_order = send_order
        self._now_ms = now_ms
        self._tasks: set[asyncio.Task] = set()
        self.answered = asyncio.Event()
        self.on_store_load: Callable[[], None] = lambda: None

    def start(
        self,
        entry: types.TargetEntry,
        state: engine_states.EngineState,
        order: model_orders.Order,
    ) -> None:
        """Starts to send an order that is already recorded for its engine."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._send(entry, state, order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(
        self,
        entry: types.TargetEntry,
        state: engine_states.EngineState,
        order: model_orders.Order,
    ) -> None:
        term = self._lease.term
        if term is None or not self._lease.may_order(self._now_ms()):
            self._on_answer(state, order, order_progress.Result.NOT_SENT)
            return
        sequence = state.orders.expected_sequence(order)
        from_store = state.store_load == order.model
        answer = await self._send_order(entry, order, term.token, sequence)
        self._on_answer(state, order, answer.result)
        logger.info(
            "order sent",
            extra={
                "target": entry.target_id,
                "verb": order.verb.value,
                "model": order.model,
                "adapter": order.adapter,
                "from_store": from_store,
                "token": term.token,
                "sequence": sequence,
                "outcome": answer.result.value,
                "detail": answer.detail,
            },
        )

    def _on_answer(
        self,
        state: engine_states.EngineState,
        order: model_orders.Order,
        result: order_progress.Result,
    ) -> None:
        state.orders.on_answer(order, result, self._now_ms())
        if result in _NOT_STARTED and state.store_load == order.model:
            self._states.discard_store_load(state)
        elif (
            result is order_progress.Result.ACCEPTED
            and state.store_load == order.model
        ):
            self.on_store_load()
        self.answered.set()

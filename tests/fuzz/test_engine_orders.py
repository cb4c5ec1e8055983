"""Stateful fuzzing of the tracking of orders against a model of an engine.

The engine executes orders late, loses responses, is slow, and reports a past
state. The oracle is the engine: it must never receive an order that exceeds its
capacity.
"""

import os
from typing import NamedTuple

from hypothesis import stateful
from hypothesis import strategies
import pytest

from tanagerloft.decisions import engine_orders
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types
from tests.fuzz import machines
from tests.support import engines

_EXAMPLES = int(os.environ.get("EXAMPLES", "300"))
_LAG_MS = 200
_LOAD_MS = 1_400
_MEMORY_MB = 2_100.0
_MAX_ADAPTERS = 2
_MODELS = {
    name: types.Model(name, 1_000, 6_000, 1_100, _LOAD_MS, 10.0, 4)
    for name in ("m1", "m2", "m3", "m4")
}
_Result = order_progress.Result
_orders = strategies.builds(
    model_orders.Order,
    verb=strategies.sampled_from(model_orders.Verb),
    target_id=strategies.just("e"),
    model=strategies.sampled_from(sorted(_MODELS)),
    adapter=strategies.sampled_from(("", "", "a1", "a2", "a3")),
)


class _State(NamedTuple):
    """State of an engine at one time."""

    held: dict[str, frozenset[str]]
    loading: str
    unloading: str
    until_ms: int
    sequence: int


class _Engine:
    """An engine that executes one order at a time."""

    def __init__(self):
        self.state = _State({}, "", "", 0, 0)
        self.history: list[tuple[int, _State]] = [(-10_000, self.state)]

    def advance(self, now_ms: int) -> None:
        state = self.state
        if not (state.loading or state.unloading) or now_ms < state.until_ms:
            return
        held = dict(state.held)
        if state.loading:
            held[state.loading] = frozenset()
        held.pop(state.unloading, None)
        self._set(
            state.until_ms, state._replace(held=held, loading="", unloading="")
        )

    def order(
        self, order: model_orders.Order, expected: int, duration_ms: int, now_ms
    ) -> order_progress.Result:
        """Executes or refuses an order."""
        state = self.state
        busy = bool(state.loading or state.unloading)
        if busy or expected != state.sequence:
            return _Result.REFUSED
        held = state.held.get(order.model)
        loads = order.verb is model_orders.Verb.LOAD
        if order.adapter:
            if held is None:
                return _Result.REFUSED
            if loads is (order.adapter in held):
                return _Result.HOLDS if loads else _Result.REFUSED
            changed = held ^ {order.adapter}
            after = {**state.held, order.model: changed}
            self._check(after)
            self._set(
                now_ms, state._replace(held=after, sequence=state.sequence + 1)
            )
            return _Result.ACCEPTED if loads else _Result.HOLDS
        if loads is (held is not None):
            return _Result.HOLDS if loads else _Result.REFUSED
        if loads:
            self._check({**state.held, order.model: frozenset()})
        self._set(
            now_ms,
            state._replace(
                loading=order.model if loads else "",
                unloading="" if loads else order.model,
                until_ms=now_ms + duration_ms,
                sequence=state.sequence + 1,
            ),
        )
        return _Result.ACCEPTED

    def report(self, now_ms: int) -> types.TargetReport:
        """Returns the state as it was ``_LAG_MS`` ago."""
        state = [past for at, past in self.history if at <= now_ms - _LAG_MS][
            -1
        ]
        return engines.report(
            state.held,
            busy=bool(state.loading or state.unloading),
            order_sequence=state.sequence,
            on_disk=tuple(_MODELS),
        )

    def _set(self, at_ms: int, state: _State) -> None:
        self.state = state
        self.history.append((at_ms, state))

    def _check(self, held: dict[str, frozenset[str]]) -> None:
        """The oracle: memory and adapters within the capacity."""
        assert model_orders.held_mb(held, _MODELS) <= _MEMORY_MB
        assert sum(map(len, held.values())) <= _MAX_ADAPTERS


class OrdersMachine(stateful.RuleBasedStateMachine):
    """One lease holder and one engine."""

    def __init__(self):
        super().__init__()
        self.now_ms = 10_000
        self.engine = _Engine()
        self.orders = engine_orders.EngineOrders({})
        self.late: list[tuple[model_orders.Order, int]] = []
        self.answers: list[tuple] = []

    @stateful.rule(delta_ms=strategies.sampled_from((10, 60, 310, 1_500)))
    def time_passes(self, delta_ms):
        self.now_ms += delta_ms
        self.engine.advance(self.now_ms)
        self.orders.complete_due(self.now_ms)

    @stateful.rule(asked_ago_ms=strategies.sampled_from((0, 5, 100)))
    def report_arrives(self, asked_ago_ms):
        asked_ms = self.now_ms - asked_ago_ms
        self.orders.on_report(self.engine.report(asked_ms), asked_ms)

    def _send(self, order, fate, slow) -> None:
        """Sends an order and queues its response."""
        expected = self.orders.expected_sequence(order)
        duration_ms = 40 if order.verb is model_orders.Verb.UNLOAD else _LOAD_MS
        duration_ms *= 3 if slow else 1
        result = _Result.UNKNOWN
        if fate == "late":
            self.late.append((order, expected))
        elif fate != "lost":
            result = self.engine.order(
                order, expected, duration_ms, self.now_ms
            )
            if fate == "unanswered":
                result = _Result.UNKNOWN
        self.answers.append((order, result, self.orders))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule()
    def an_answer_arrives(self):
        order, result, orders = self.answers.pop(0)
        if result is _Result.UNKNOWN:
            self.now_ms += 800
            self.engine.advance(self.now_ms)
        orders.on_answer(order, result, self.now_ms)

    @stateful.rule(
        order=_orders,
        fate=strategies.sampled_from(
            ("answered", "answered", "unanswered", "late", "lost")
        ),
        slow=strategies.booleans(),
    )
    def gives_order(self, order, fate, slow):
        orders = self.orders
        if orders.busy(self.now_ms) or not model_orders.fits(
            orders.held_during(order), order, _MODELS, _MEMORY_MB, _MAX_ADAPTERS
        ):
            return
        held = orders.held().get(order.model)
        loads = order.verb is model_orders.Verb.LOAD
        has = held is not None
        if order.adapter:
            has = held is not None and order.adapter in held
            if held is None:
                return
        if loads is has:
            return
        orders.record_order(order, _LOAD_MS if loads else 0, self.now_ms)
        self._send(order, fate, slow)

    @stateful.rule(fate=strategies.sampled_from(("answered", "late", "lost")))
    def holder_retries(self, fate):
        retried = self.orders.start_retry(self.now_ms)
        if retried is not None:
            self._send(retried, fate, slow=False)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def a_late_order_is_carried_out(self):
        order, expected = self.late.pop(0)
        self.engine.order(order, expected, _LOAD_MS, self.now_ms)

    @stateful.rule()
    def another_holder_takes_over(self):
        self.now_ms += 3_000
        self.engine.advance(self.now_ms)
        self.orders = engine_orders.EngineOrders({})


class _ForgetfulOrders(engine_orders.EngineOrders):
    """Flaw: a load in progress is not counted until a report shows it."""

    def held_during(self, _order):
        return {}


def _run_loads(machine: OrdersMachine) -> None:
    """Orders one load after another."""
    for name in sorted(_MODELS):
        machine.time_passes(1_500)
        machine.time_passes(310)
        machine.report_arrives(0)
        order = model_orders.Order(model_orders.Verb.LOAD, "e", name)
        machine.gives_order(order, "answered", slow=False)
        if machine.answers:
            machine.an_answer_arrives()


def test_adapters_of_a_model_whose_unload_was_refused_still_count():
    """Adapters must count although the unload of their model was ordered.

    Seen on gcd-vigia-grown: an engine was ordered to load one adapter beyond
    its limit.
    """
    machine = OrdersMachine()

    def give_order(verb, model, adapter="", slow=False):
        order = model_orders.Order(verb, "e", model, adapter)
        machine.gives_order(order, "answered", slow)
        if machine.answers:
            machine.an_answer_arrives()

    load, unload = model_orders.Verb.LOAD, model_orders.Verb.UNLOAD
    for name in ("m1", "m2"):
        machine.time_passes(1_500)
        machine.time_passes(310)
        machine.report_arrives(0)
        give_order(load, name)
    machine.time_passes(1_500)
    machine.time_passes(310)
    machine.report_arrives(0)
    for adapter in ("a1", "a2"):
        give_order(load, "m2", adapter)
    # The engine is still busy with the first unload and refuses the second.
    give_order(unload, "m1", slow=True)
    machine.time_passes(10)
    give_order(unload, "m2")
    machine.time_passes(310)
    give_order(load, "m2", "a3")
    assert machine.engine.state.held == {"m2": frozenset(("a1", "a2"))}


def test_oracle_detects_injected_flaw():
    _run_loads(OrdersMachine())
    flawed = OrdersMachine()
    flawed.orders = _ForgetfulOrders({})
    with pytest.raises(AssertionError):
        _run_loads(flawed)


def test_orders_never_exceed_engine_capacity():
    machines.run(OrdersMachine, _EXAMPLES, steps=60)

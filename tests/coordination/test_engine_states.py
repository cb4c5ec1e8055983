"""What the holder learns from reports of engines."""

import asyncio

from tanagerloft.coordination import engine_states
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import targets
from tanagerloft.decisions import handover
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types
from tests.support import engines

_MODEL = types.Model("m", 34_300.0, 6_000, 390, 520, 40.0, 0)
_NAMES = ("e1", "e2", "e3", "e4")


class _Play:
    """Engines whose reports and clock a test sets."""

    def __init__(self):
        self.now_ms = 10_000
        self.report = engines.report()
        directory = targets.TargetDirectory(
            lambda key, _value: engines.entry(key), lambda: self.now_ms, "dc"
        )
        rows = tuple(store_lib.Row(name, b"", 1) for name in _NAMES)
        directory.table.on_rows(store_lib.Snapshot(rows, 1), complete=True)
        self._directory = directory
        self.states = engine_states.EngineStates(
            directory, self._fetch, lambda: self.now_ms, lambda _entry: None
        )

    def remove(self, name: str) -> None:
        """Removes an engine from the list of targets."""
        rows = (store_lib.Row(name, None, 2),)
        self._directory.table.on_rows(
            store_lib.Snapshot(rows, 2), complete=False
        )

    async def _fetch(self, _entry):
        return self.report

    async def poll(self) -> None:
        self.states.refresh({"s"})
        self.states.poll_reports(self.now_ms)
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def test_loads_that_are_late_together_lower_what_is_under_way_at_once():
    # Seen on the grown site: the store takes two loads, four were under way.
    async def run():
        play = _Play()
        await play.poll()
        states = play.states.by_target
        for state in states.values():
            order = model_orders.Order(model_orders.Verb.LOAD, "e", "m")
            play.states.note_store_load(state, _MODEL)
            state.orders.record_order(order, 6_000, play.now_ms)
            accepted = order_progress.Result.ACCEPTED
            state.orders.on_answer(order, accepted, play.now_ms)
        assert play.states.store_loads() == len(_NAMES)
        assert play.states.store_concurrency.concurrency() == 4
        play.now_ms += 6_100
        play.states.advance_store_loads()
        for state in states.values():
            assert state.orders.complete_due(play.now_ms)
            assert state.shared_models() == {"m": []}
        play.now_ms += 600
        play.report = engines.report(busy=True, order_sequence=1)
        await play.poll()
        assert all(state.shared_models() == {} for state in states.values())
        # What is known of one load speaks against four at once; how far down
        # it goes follows from how long they last.
        play.now_ms += 600
        play.states.advance_store_loads()
        await play.poll()
        assert play.states.store_concurrency.concurrency() == 3

    asyncio.run(run())


def test_an_engine_that_has_been_restarted_is_a_new_one():
    async def run():
        play = _Play()
        await play.poll()
        before = dict(play.states.by_target)
        assert before["e1"].orders.known
        play.states.by_target["e1"].born_ms = 0
        play.states.refresh({"s"})
        assert play.states.by_target["e1"] is not before["e1"]
        assert play.states.by_target["e2"] is before["e2"]
        assert not play.states.by_target["e1"].orders.known

    asyncio.run(run())


def test_loads_that_are_not_seen_to_be_done_make_no_room_for_others():
    async def run():
        play = _Play()
        await play.poll()
        state = play.states.by_target["e1"]
        order = model_orders.Order(model_orders.Verb.LOAD, "e1", "m")

        def load():
            play.states.note_store_load(state, _MODEL)
            state.orders.record_order(order, 6_000, play.now_ms)
            accepted = order_progress.Result.ACCEPTED
            state.orders.on_answer(order, accepted, play.now_ms)
            play.now_ms += 6_100
            play.states.advance_store_loads()
            assert state.orders.complete_due(play.now_ms)
            assert state.shared_models() == {"m": []}

        load()
        assert play.states.store_loads() == 1
        play.now_ms += 600
        play.report = engines.report(["m"], order_sequence=1)
        await play.poll()
        assert play.states.store_loads() == 0
        # One at a time has been seen to go at full speed.
        play.report = engines.report(order_sequence=2)
        play.now_ms += 600
        load()
        assert play.states.store_loads() == 0

    asyncio.run(run())


def test_a_load_of_the_previous_holder_goes_on_until_a_report_ends_it():
    # Regression: a model was loaded again at another engine, 1 s before the
    # load that the previous holder had ordered was done.
    async def run():
        play = _Play()
        load = handover.StoreLoad("e1", 1, "m", 2_000, 4_000)
        play.states.inherit_loads([load], play.now_ms)
        play.report = engines.report(busy=True, order_sequence=1)
        await play.poll()
        state = play.states.by_target["e1"]
        assert state.orders.loading == "m"
        assert state.orders.busy_ms(play.now_ms) == 4_000
        assert play.states.loads_in_progress() == [load]
        # The same process may become the holder again.
        play.states.clear()
        play.now_ms += 5_000
        await play.poll()
        state = play.states.by_target["e1"]
        assert state.orders.loading == "m"
        play.now_ms += 400
        play.report = engines.report(["m"], on_disk=("m",), order_sequence=1)
        await play.poll()
        assert not state.orders.loading
        assert state.shared_models() == {"m": []}
        # It ended for another reason.
        play.states.clear()
        play.states.inherit_loads([load], play.now_ms)
        play.report = engines.report(order_sequence=1)
        await play.poll()
        state = play.states.by_target["e1"]
        assert not state.orders.loading
        assert not state.store_load

    asyncio.run(run())


def test_a_load_keeps_its_place_in_the_store_when_its_engine_goes():
    # Regression: the next load began as if it were alone, took half as long
    # again, and callers were sent to the engine before it was done.
    async def run():
        play = _Play()
        await play.poll()
        state = play.states.by_target["e1"]
        order = model_orders.Order(model_orders.Verb.LOAD, "e1", "m")
        play.states.note_store_load(state, _MODEL)
        state.orders.record_order(order, 6_000, play.now_ms)
        accepted = order_progress.Result.ACCEPTED
        state.orders.on_answer(order, accepted, play.now_ms)
        play.now_ms += 1_000
        play.remove("e1")
        await play.poll()
        assert play.states.store_loads() == 1
        (load,) = play.states.loads_in_progress()
        assert (load.model, load.left_ms) == ("m", 5_030)
        # The next holder counts it too.
        play.states.clear()
        play.states.inherit_loads([load], play.now_ms)
        await play.poll()
        assert play.states.store_loads() == 1
        play.now_ms += 5_100
        assert play.states.store_loads() == 0
        assert not play.states.loads_in_progress()

    asyncio.run(run())


def test_a_model_is_shared_once_a_load_that_may_take_longer_is_confirmed():
    # Regression: three callers were sent to an engine 4 s before it had loaded
    # their model, and used up the retry budget.
    async def run():
        play = _Play()
        await play.poll()
        state = play.states.by_target["e1"]
        order = model_orders.Order(model_orders.Verb.LOAD, "e1", "m")
        play.states.note_store_load(state, _MODEL)
        state.orders.record_order(order, 6_000, play.now_ms)
        accepted = order_progress.Result.ACCEPTED
        state.orders.on_answer(order, accepted, play.now_ms)
        play.now_ms += 6_100
        assert state.orders.complete_due(play.now_ms)
        assert play.states.shared_models()["e1"] == {}
        play.now_ms += 400
        play.report = engines.report(["m"], on_disk=("m",), order_sequence=1)
        await play.poll()
        assert play.states.shared_models()["e1"] == {"m": []}

    asyncio.run(run())

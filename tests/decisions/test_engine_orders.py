"""Account of the orders of one engine."""

from tanagerloft.decisions import engine_orders
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types
from tests.support import engines

_LOAD = model_orders.Order(model_orders.Verb.LOAD, "e", "m")
_UNLOAD = model_orders.Order(model_orders.Verb.UNLOAD, "e", "old")
_NONE: frozenset[str] = frozenset()


def _report(models=(), busy=False, sequence=0) -> types.TargetReport:
    return engines.report(models, busy=busy, order_sequence=sequence)


def _known(*models: str) -> engine_orders.EngineOrders:
    orders = engine_orders.EngineOrders(dict.fromkeys(models, _NONE))
    orders.on_report(_report(models), 1_000)
    return orders


def test_nothing_is_ordered_before_a_report():
    orders = engine_orders.EngineOrders({})
    assert orders.busy(1_000)
    orders.on_report(_report(), 1_000)
    assert not orders.busy(1_000)


def test_a_load_counts_as_held_from_the_order_on():
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    assert "m" in orders.held()
    assert "m" not in orders.usable()
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    assert not orders.on_time(2_900)
    assert orders.on_time(3_100)
    assert "m" in orders.usable()
    assert not orders.busy(3_100)


def test_a_load_slower_than_expected_still_counts_as_held():
    # Seen on the bench: a report from before the end of a slow load made the
    # engine look empty, and the next load crashed it.
    orders = _known("a", "b")
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    assert orders.on_time(3_100)
    orders.on_report(_report(("a", "b"), busy=True, sequence=1), 3_500)
    assert "m" in orders.held()
    assert orders.busy(3_600)
    orders.on_report(_report(("a", "b", "m"), sequence=1), 4_500)
    assert not orders.busy(4_600)
    assert set(orders.usable()) == {"a", "b", "m"}


def test_a_report_from_before_an_order_changes_nothing():
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.on_report(_report(), 2_100)
    assert "m" in orders.held()


def test_an_engine_busy_with_an_order_of_another_holder_gets_none():
    orders = engine_orders.EngineOrders({})
    orders.on_report(_report(busy=True, sequence=3), 1_000)
    assert orders.busy(1_500)
    assert orders.sequence == 3


def test_a_refused_load_waits_for_a_report():
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.REFUSED, 2_005)
    assert orders.busy(2_500)
    assert orders.wants_report(2_500)
    orders.on_report(_report(sequence=4), 2_500)
    assert not orders.busy(2_600)
    assert orders.sequence == 4


def test_a_load_refused_during_an_unload_is_tried_again_soon():
    orders = _known("old")
    orders.give(_UNLOAD, 0, 2_000)
    assert "old" in orders.held()
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    assert orders.on_time(2_060)
    orders.give(_LOAD, 1_000, 2_070)
    orders.on_answer(_LOAD, order_progress.Result.REFUSED, 2_075)
    assert orders.busy(2_080)
    assert not orders.busy(2_200)


def test_an_order_without_an_answer_is_repeated_as_it_was():
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_800)
    assert orders.repeat(2_900) is None
    assert orders.repeat(3_200) == _LOAD
    assert orders.count_before(_LOAD) == 0
    assert "m" in orders.held()
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 3_205)
    assert orders.sequence == 1


def test_an_order_without_an_answer_that_another_one_overtook_is_over():
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_800)
    orders.on_report(_report(sequence=1), 3_200)
    assert "m" not in orders.held()
    assert not orders.busy(4_000)


def test_a_load_that_the_engine_forgot_ends():
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.on_report(_report(sequence=1), 2_900)
    assert "m" in orders.held()
    orders.on_report(_report(sequence=1), 4_600)
    assert "m" not in orders.held()


def test_an_order_after_one_for_an_adapter_counts_it():
    # Seen on the bench: the count was taken before the adapter's order was
    # accepted, and all later orders were refused for seconds.
    adapter = model_orders.Order(model_orders.Verb.LOAD, "e", "old", "a1")
    orders = _known("old")
    orders.give(adapter, 0, 2_000)
    assert orders.count_before(adapter) == 0
    orders.on_answer(adapter, order_progress.Result.ACCEPTED, 2_005)
    orders.give(_UNLOAD, 0, 2_006)
    assert orders.count_before(_UNLOAD) == 1
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_010)
    assert orders.sequence == 2


def test_no_order_is_given_before_the_answer_to_the_last():
    # Found by a hunt: orders for adapters queued up behind one that was not
    # answered; a report took them out of the account, and more were given than
    # the engine had places for.
    adapter = model_orders.Order(model_orders.Verb.LOAD, "e", "old", "a1")
    orders = _known("old")
    orders.give(adapter, 0, 2_000)
    assert orders.busy(2_001)
    orders.on_report(_report(("old",)), 2_700)
    assert orders.busy(2_701)
    assert orders.held() == {"old": frozenset(["a1"])}
    orders.on_answer(adapter, order_progress.Result.UNKNOWN, 2_800)
    assert orders.busy(2_801)
    orders.on_report(_report(("old",)), 3_200)
    assert not orders.busy(3_201)


def test_a_count_is_not_taken_without_what_is_held():
    # The count of a report from before the last order would let the next order
    # pass, though what was loaded meanwhile is not known yet.
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_800)
    orders.on_report(_report(sequence=3), 2_850)
    assert orders.sequence == 0


def test_a_repeated_order_that_is_refused_waits_for_a_report():
    orders = _known("old")
    orders.give(_UNLOAD, 0, 2_000)
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.on_time(2_060)
    orders.give(_LOAD, 1_000, 2_070)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_870)
    assert orders.repeat(3_200) == _LOAD
    # The first one may have been accepted.
    orders.on_answer(_LOAD, order_progress.Result.REFUSED, 3_205)
    assert orders.busy(4_000)


def test_refusals_do_not_put_off_reports():
    orders = _known("old")
    orders.give(_UNLOAD, 0, 2_000)
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.on_time(2_060)
    for at_ms in range(2_070, 2_500, 100):
        orders.give(_LOAD, 1_000, at_ms)
        orders.on_answer(_LOAD, order_progress.Result.REFUSED, at_ms + 5)
    assert orders.wants_report(2_500)


def test_an_adapter_counts_until_its_unload_is_confirmed():
    # Found by a hunt: an unload was not answered, the next adapter took its
    # place, and the engine crashed.
    drop = model_orders.Order(model_orders.Verb.UNLOAD, "e", "m", "a1")
    orders = engine_orders.EngineOrders({"m": frozenset(["a1"])})
    report = _report(("m",))._replace(models={"m": frozenset(["a1"])})
    orders.on_report(report, 1_000)
    orders.give(drop, 0, 2_000)
    assert orders.held() == {"m": frozenset(["a1"])}
    assert orders.usable() == {"m": frozenset()}
    orders.on_answer(drop, order_progress.Result.UNKNOWN, 2_800)
    assert orders.held() == {"m": frozenset(["a1"])}
    assert orders.busy(2_900)
    orders.on_report(report, 3_500)
    assert not orders.busy(3_500)
    orders.give(drop, 0, 3_600)
    orders.on_answer(drop, order_progress.Result.HOLDS, 3_605)
    assert orders.held() == {"m": frozenset()}


def test_an_adapter_on_its_way_takes_its_place():
    orders = engine_orders.EngineOrders({})
    report = _report(("m",))._replace(arriving=frozenset([("m", "a1")]))
    orders.on_report(report, 1_000)
    assert orders.held() == {"m": frozenset(["a1"])}


def test_a_load_that_takes_longer_is_not_usable_until_a_report_shows_it():
    # Seen on the grown site: the weight store takes two loads at full speed,
    # four were under way, and requests were sent to models not there yet.
    orders = _known()
    orders.give(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    assert orders.on_time(3_100)
    assert _LOAD.model in orders.usable()
    late = orders.on_report(_report(busy=True, sequence=1), 3_500)
    assert late == _LOAD.model
    assert _LOAD.model not in orders.usable()
    assert _LOAD.model in orders.held()
    assert orders.loading == _LOAD.model
    assert orders.busy(4_000)
    assert not orders.on_time(9_000)
    orders.on_report(_report((_LOAD.model,), sequence=1), 9_500)
    assert _LOAD.model in orders.usable()
    assert not orders.busy(9_501)


def test_a_repeated_order_is_due_from_its_acceptance():
    # Seen on gcd-vigia: engines left orders unanswered for a second; their
    # loads then seemed late, until one load at a time was left.
    orders = _known()
    orders.give(_LOAD, 6_000, 10_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 10_800)
    assert orders.repeat(11_200) == _LOAD
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 11_210)
    assert not orders.on_time(17_000)
    assert orders.on_time(17_300)


def test_an_engine_that_waits_for_runs_is_tried_more_and_more_seldom():
    orders = _known("old")
    orders.give(_UNLOAD, 0, 2_000)
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    now_ms, tries = 2_010, 0
    while now_ms < 4_000:
        if orders.on_time(now_ms) or not orders.busy(now_ms):
            orders.give(_LOAD, 1_000, now_ms)
            orders.on_answer(_LOAD, order_progress.Result.REFUSED, now_ms + 5)
            tries += 1
        now_ms += 10
    assert 5 <= tries <= 10


def test_what_is_late_is_not_taken_to_end_at_once():
    """Seen on gcd-vigia: a model with dozens of callers waited for seconds.

    Its copy was on an engine whose load was late, which was taken to be free
    at any moment.
    """
    orders = _known()
    load = model_orders.Order(model_orders.Verb.LOAD, "e", "m")
    orders.give(load, 6_000, 1_000)
    orders.on_answer(load, order_progress.Result.ACCEPTED, 1_000)
    assert orders.on_time(7_100)
    orders.on_report(_report(busy=True, sequence=1), 8_000)
    for now_ms in (8_000, 9_000, 10_000, 12_000):
        assert orders.busy_ms(now_ms) >= 500


def test_an_engine_blocked_for_long_is_taken_to_stay_so():
    orders = _known()
    orders.on_report(_report(busy=True, sequence=1), 2_000)
    assert orders.busy(2_000)
    assert orders.busy_ms(2_000) == 0
    assert orders.busy_ms(4_000) == 2_000


def test_a_load_slowed_by_others_counts_as_done_when_it_will_be():
    orders = _known()
    load = model_orders.Order(model_orders.Verb.LOAD, "e", "m")
    orders.give(load, 6_000, 1_000)
    orders.on_answer(load, order_progress.Result.ACCEPTED, 1_000)
    orders.expect(9_000, 2_000)
    assert not orders.on_time(10_000)
    # The guess may be too long: reports are asked for from when it can be done.
    assert orders.wants_report(8_000)
    assert orders.on_time(11_100)

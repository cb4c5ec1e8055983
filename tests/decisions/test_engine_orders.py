"""Tests of tanagerloft.decisions.engine_orders."""

from tanagerloft.decisions import engine_orders
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types
from tests.support import engines

_LOAD = model_orders.Order(model_orders.Verb.LOAD, "e", "m")
_UNLOAD = model_orders.Order(model_orders.Verb.UNLOAD, "e", "old")
_NO_ADAPTERS: frozenset[str] = frozenset()


def _report(models=(), busy=False, sequence=0) -> types.TargetReport:
    return engines.report(models, busy=busy, order_sequence=sequence)


def _idle_engine(*models: str) -> engine_orders.EngineOrders:
    orders = engine_orders.EngineOrders(dict.fromkeys(models, _NO_ADAPTERS))
    orders.on_report(_report(models), 1_000)
    return orders


def test_no_order_is_given_before_the_first_report():
    orders = engine_orders.EngineOrders({})
    assert orders.busy(1_000)
    orders.on_report(_report(), 1_000)
    assert not orders.busy(1_000)


def test_a_load_counts_as_held_once_it_is_ordered():
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    assert "m" in orders.held()
    assert "m" not in orders.usable()
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    assert not orders.complete_due(2_900)
    assert orders.complete_due(3_100)
    assert "m" in orders.usable()
    assert not orders.busy(3_100)


def test_a_load_slower_than_expected_still_counts_as_held():
    # Regression: a report from before the end of a slow load made the engine
    # look empty, and the next load crashed it.
    orders = _idle_engine("a", "b")
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    assert orders.complete_due(3_100)
    orders.on_report(_report(("a", "b"), busy=True, sequence=1), 3_500)
    assert "m" in orders.held()
    assert orders.busy(3_600)
    orders.on_report(_report(("a", "b", "m"), sequence=1), 4_500)
    assert not orders.busy(4_600)
    assert set(orders.usable()) == {"a", "b", "m"}


def test_a_report_older_than_an_order_is_ignored():
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.on_report(_report(), 2_100)
    assert "m" in orders.held()


def test_an_engine_busy_with_another_holders_order_gets_no_order():
    orders = engine_orders.EngineOrders({})
    orders.on_report(_report(busy=True, sequence=3), 1_000)
    assert orders.busy(1_500)
    assert orders.sequence == 3


def test_an_engine_that_refused_a_load_is_blocked_until_a_report():
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.REFUSED, 2_005)
    assert orders.busy(2_500)
    assert orders.needs_report(2_500)
    orders.on_report(_report(sequence=4), 2_500)
    assert not orders.busy(2_600)
    assert orders.sequence == 4


def test_a_load_refused_during_an_unload_is_retried_after_a_short_backoff():
    orders = _idle_engine("old")
    orders.record_order(_UNLOAD, 0, 2_000)
    assert "old" in orders.held()
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    assert orders.complete_due(2_060)
    orders.record_order(_LOAD, 1_000, 2_070)
    orders.on_answer(_LOAD, order_progress.Result.REFUSED, 2_075)
    assert orders.busy(2_080)
    assert not orders.busy(2_200)


def test_an_unanswered_order_is_retried_unchanged():
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_800)
    assert orders.start_retry(2_900) is None
    assert orders.start_retry(3_200) == _LOAD
    assert orders.expected_sequence(_LOAD) == 0
    assert "m" in orders.held()
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 3_205)
    assert orders.sequence == 1


def test_an_unanswered_order_ends_when_another_was_accepted_instead():
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_800)
    orders.on_report(_report(sequence=1), 3_200)
    assert "m" not in orders.held()
    assert not orders.busy(4_000)


def test_an_accepted_load_that_never_appears_in_reports_ends():
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.on_report(_report(sequence=1), 2_900)
    assert "m" in orders.held()
    orders.on_report(_report(sequence=1), 4_600)
    assert "m" not in orders.held()


def test_an_adapter_order_raises_the_expected_sequence():
    # Regression: the sequence was read before the adapter's order was accepted,
    # so all later orders were refused for seconds.
    adapter = model_orders.Order(model_orders.Verb.LOAD, "e", "old", "a1")
    orders = _idle_engine("old")
    orders.record_order(adapter, 0, 2_000)
    assert orders.expected_sequence(adapter) == 0
    orders.on_answer(adapter, order_progress.Result.ACCEPTED, 2_005)
    orders.record_order(_UNLOAD, 0, 2_006)
    assert orders.expected_sequence(_UNLOAD) == 1
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_010)
    assert orders.sequence == 2


def test_no_order_is_given_while_an_answer_is_outstanding():
    # Regression: adapter orders queued up behind an unanswered one; a report
    # removed them from the held adapters, and more were ordered than the engine
    # had capacity for.
    adapter = model_orders.Order(model_orders.Verb.LOAD, "e", "old", "a1")
    orders = _idle_engine("old")
    orders.record_order(adapter, 0, 2_000)
    assert orders.busy(2_001)
    orders.on_report(_report(("old",)), 2_700)
    assert orders.busy(2_701)
    assert orders.held() == {"old": frozenset(["a1"])}
    orders.on_answer(adapter, order_progress.Result.UNKNOWN, 2_800)
    assert orders.busy(2_801)
    orders.on_report(_report(("old",)), 3_200)
    assert not orders.busy(3_201)


def test_the_sequence_is_not_updated_without_the_held_models():
    # With the sequence of a report from before the last order, the next order
    # would be accepted, although what was loaded meanwhile isn't known yet.
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_800)
    orders.on_report(_report(sequence=3), 2_850)
    assert orders.sequence == 0


def test_an_engine_that_refused_a_retry_is_blocked_until_a_report():
    orders = _idle_engine("old")
    orders.record_order(_UNLOAD, 0, 2_000)
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.complete_due(2_060)
    orders.record_order(_LOAD, 1_000, 2_070)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 2_870)
    assert orders.start_retry(3_200) == _LOAD
    # The first copy of the order may have been accepted.
    orders.on_answer(_LOAD, order_progress.Result.REFUSED, 3_205)
    assert orders.busy(4_000)


def test_refusals_do_not_delay_reports():
    orders = _idle_engine("old")
    orders.record_order(_UNLOAD, 0, 2_000)
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    orders.complete_due(2_060)
    for at_ms in range(2_070, 2_500, 100):
        orders.record_order(_LOAD, 1_000, at_ms)
        orders.on_answer(_LOAD, order_progress.Result.REFUSED, at_ms + 5)
    assert orders.needs_report(2_500)


def test_an_adapter_counts_as_held_until_its_unload_is_confirmed():
    # Regression: an unload wasn't answered, the next adapter was loaded in its
    # place, and the engine crashed.
    unload = model_orders.Order(model_orders.Verb.UNLOAD, "e", "m", "a1")
    orders = engine_orders.EngineOrders({"m": frozenset(["a1"])})
    report = _report(("m",))._replace(models={"m": frozenset(["a1"])})
    orders.on_report(report, 1_000)
    orders.record_order(unload, 0, 2_000)
    assert orders.held() == {"m": frozenset(["a1"])}
    assert orders.usable() == {"m": frozenset()}
    orders.on_answer(unload, order_progress.Result.UNKNOWN, 2_800)
    assert orders.held() == {"m": frozenset(["a1"])}
    assert orders.busy(2_900)
    orders.on_report(report, 3_500)
    assert not orders.busy(3_500)
    orders.record_order(unload, 0, 3_600)
    orders.on_answer(unload, order_progress.Result.HOLDS, 3_605)
    assert orders.held() == {"m": frozenset()}


def test_an_adapter_that_is_being_loaded_counts_as_held():
    orders = engine_orders.EngineOrders({})
    report = _report(("m",))._replace(loading_adapters=frozenset([("m", "a1")]))
    orders.on_report(report, 1_000)
    assert orders.held() == {"m": frozenset(["a1"])}


def test_a_late_load_is_not_usable_until_a_report_shows_the_model():
    # Regression: the weight store ran two loads at full speed while four were
    # in progress, and requests were sent to models that weren't loaded yet.
    orders = _idle_engine()
    orders.record_order(_LOAD, 1_000, 2_000)
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 2_005)
    assert orders.complete_due(3_100)
    assert _LOAD.model in orders.usable()
    late = orders.on_report(_report(busy=True, sequence=1), 3_500)
    assert late == _LOAD.model
    assert _LOAD.model not in orders.usable()
    assert _LOAD.model in orders.held()
    assert orders.loading == _LOAD.model
    assert orders.busy(4_000)
    assert not orders.complete_due(9_000)
    orders.on_report(_report((_LOAD.model,), sequence=1), 9_500)
    assert _LOAD.model in orders.usable()
    assert not orders.busy(9_501)


def test_a_retried_order_is_timed_from_its_acceptance():
    # Regression: engines left orders unanswered for a second; their loads then
    # seemed late, which reduced the estimated store concurrency to one.
    orders = _idle_engine()
    orders.record_order(_LOAD, 6_000, 10_000)
    orders.on_answer(_LOAD, order_progress.Result.UNKNOWN, 10_800)
    assert orders.start_retry(11_200) == _LOAD
    orders.on_answer(_LOAD, order_progress.Result.ACCEPTED, 11_210)
    assert not orders.complete_due(17_000)
    assert orders.complete_due(17_300)


def test_retries_at_a_busy_engine_back_off_exponentially():
    orders = _idle_engine("old")
    orders.record_order(_UNLOAD, 0, 2_000)
    orders.on_answer(_UNLOAD, order_progress.Result.ACCEPTED, 2_005)
    now_ms, tries = 2_010, 0
    while now_ms < 4_000:
        if orders.complete_due(now_ms) or not orders.busy(now_ms):
            orders.record_order(_LOAD, 1_000, now_ms)
            orders.on_answer(_LOAD, order_progress.Result.REFUSED, now_ms + 5)
            tries += 1
        now_ms += 10
    assert 5 <= tries <= 10


def test_a_late_load_is_not_estimated_to_end_immediately():
    """A late load must not make the engine look free at any moment.

    A model with dozens of callers waited for seconds because its copy was on
    such an engine.
    """
    orders = _idle_engine()
    load = model_orders.Order(model_orders.Verb.LOAD, "e", "m")
    orders.record_order(load, 6_000, 1_000)
    orders.on_answer(load, order_progress.Result.ACCEPTED, 1_000)
    assert orders.complete_due(7_100)
    orders.on_report(_report(busy=True, sequence=1), 8_000)
    for now_ms in (8_000, 9_000, 10_000, 12_000):
        assert orders.busy_ms(now_ms) >= 500


def test_the_estimated_busy_time_of_a_blocked_engine_grows():
    orders = _idle_engine()
    orders.on_report(_report(busy=True, sequence=1), 2_000)
    assert orders.busy(2_000)
    assert orders.busy_ms(2_000) == 0
    assert orders.busy_ms(4_000) == 2_000


def test_a_load_slowed_by_others_is_completed_at_its_revised_time():
    orders = _idle_engine()
    load = model_orders.Order(model_orders.Verb.LOAD, "e", "m")
    orders.record_order(load, 6_000, 1_000)
    orders.on_answer(load, order_progress.Result.ACCEPTED, 1_000)
    orders.set_time_left(9_000, 2_000)
    assert not orders.complete_due(10_000)
    # The estimate may be too long: reports are requested from the time at which
    # the load can be done.
    assert orders.needs_report(8_000)
    assert orders.complete_due(11_100)

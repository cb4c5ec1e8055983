"""Tests of tanagerloft.decisions.starvation."""

from hypothesis import given
from hypothesis import strategies

from tanagerloft.decisions import model_orders
from tanagerloft.decisions import starvation

_OVERDUE_MS = 8_000


def _usage(since_ms: dict[str, int], unmet=5.0) -> model_orders.Usage:
    unmet_demand = {
        m: model_orders.UnmetDemand(unmet, at) for m, at in since_ms.items()
    }
    return model_orders.Usage({}, {}, {}, unmet_demand)


def test_no_model_is_chosen_before_it_is_overdue():
    guard = starvation.StarvationGuard()
    usage = _usage({"a": 1_000})
    assert guard.choose_overdue(usage, {"a"}, (), 8_900, 1) == []
    assert guard.choose_overdue(usage, {"a"}, (), 9_000, 1) == ["a"]


def test_the_model_unserved_for_longest_comes_first():
    guard = starvation.StarvationGuard()
    usage = _usage({"a": 2_000, "b": 1_000})
    assert guard.choose_overdue(usage, {"a", "b"}, (), 20_000, 2) == ["b"]


def test_a_single_request_makes_no_model_overdue():
    guard = starvation.StarvationGuard()
    assert (
        guard.choose_overdue(_usage({"a": 0}, 1.0), {"a"}, (), 20_000, 8) == []
    )


def test_one_overdue_model_is_loaded_at_a_time():
    guard = starvation.StarvationGuard()
    usage = _usage({"a": 1_000, "b": 2_000})
    assert guard.choose_overdue(usage, {"a", "b"}, (), 20_000, 3) == ["a"]
    assert guard.choose_overdue(usage, {"b"}, {"a"}, 20_100, 3) == []
    assert guard.choose_overdue(usage, {"b"}, {"c"}, 26_000, 3) == ["b"]


def test_half_of_the_store_concurrency_goes_to_overdue_models():
    """Regression: one overdue model at a time.

    It left 9 of 66 models unserved for a whole day.
    """
    guard = starvation.StarvationGuard()
    usage = _usage({"a": 1_000, "b": 2_000, "c": 3_000})
    assert guard.choose_overdue(usage, {"a", "b", "c"}, (), 20_000, 4) == [
        "a",
        "b",
    ]
    assert guard.choose_overdue(usage, {"b", "c"}, {"a"}, 20_100, 4) == ["b"]
    assert guard.choose_overdue(usage, {"c"}, {"a", "b"}, 20_200, 4) == []
    assert guard.choose_overdue(usage, {"c"}, {"b"}, 26_000, 4) == ["c"]


def test_a_model_whose_callers_come_back_in_time_comes_first():
    # Regression: loads were given for callers who had gone; nobody was served.
    guard = starvation.StarvationGuard()
    usage = _usage({"a": 1_000, "b": 2_000})
    absent = {"a", "b"}
    assert guard.choose_overdue(usage, absent, (), 20_000, 2, {"b"}) == ["b"]


def test_models_with_a_copy_do_not_wait_for_places_of_the_store():
    # Regression: a model that loads in half a second from a copy stood in line
    # for 20 s behind models that take 8 s each.
    guard = starvation.StarvationGuard()
    usage = _usage({"a": 1_000, "b": 2_000, "c": 3_000})
    chosen = guard.choose_overdue(
        usage, {"a", "b", "c"}, (), 20_000, 2, with_copy={"c"}
    )
    assert chosen == ["a", "c"]
    chosen = guard.choose_overdue(
        usage, {"b", "c"}, {"a"}, 20_100, 2, with_copy={"c"}
    )
    assert chosen == ["c"]


def test_models_with_a_copy_take_precedence_one_at_a_time():
    # Regression: on a heavily loaded fleet of nine engines, overdue models
    # reserved all of them, and those in most demand got none.
    guard = starvation.StarvationGuard()
    usage = _usage({"a": 1_000, "b": 2_000, "c": 3_000})
    chosen = guard.choose_overdue(
        usage, {"a", "b", "c"}, (), 20_000, 2, with_copy={"a", "b"}
    )
    assert chosen == ["c", "a"]


def test_models_that_engines_hold_are_not_chosen():
    guard = starvation.StarvationGuard()
    assert guard.choose_overdue(_usage({"a": 0}), (), (), 20_000, 8) == []


@given(
    asked_ms=strategies.lists(
        strategies.integers(0, 30_000), min_size=1, max_size=12
    ),
    load_ms=strategies.integers(200, 6_000),
    store_concurrency=strategies.integers(1, 8),
)
def test_each_wanted_model_is_loaded_within_a_bound(
    asked_ms, load_ms, store_concurrency
):
    # However many other models there are, each waits only for those before it.
    guard = starvation.StarvationGuard()
    since_ms = {f"m{n}": at_ms for n, at_ms in enumerate(asked_ms)}
    absent, loading = set(since_ms), {}
    arrived_ms: dict[str, int] = {}
    for now_ms in range(0, 130_000, 100):
        for model in [m for m, at_ms in loading.items() if now_ms >= at_ms]:
            arrived_ms[model] = now_ms
            del loading[model]
        asked = {m for m in absent if since_ms[m] <= now_ms}
        usage = _usage({m: since_ms[m] for m in asked})
        for model in guard.choose_overdue(
            usage, asked, loading, now_ms, store_concurrency
        ):
            absent.remove(model)
            loading[model] = now_ms + load_ms
        assert len(loading) <= max(1, store_concurrency // 2)
    for model, at_ms in since_ms.items():
        before = sum(other <= at_ms for other in asked_ms)
        rounds = -(-before // max(1, store_concurrency // 2)) + 1
        slack_ms = rounds * (load_ms + 100)
        assert arrived_ms[model] <= at_ms + _OVERDUE_MS + slack_ms

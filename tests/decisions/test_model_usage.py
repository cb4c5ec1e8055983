"""Tests of tanagerloft.decisions.model_usage."""

from tanagerloft.decisions import model_usage

_NOW_MS = 50_000


def test_unmet_demand_survives_a_change_of_holder():
    predecessor = model_usage.ModelUsage()
    predecessor.update_counts("i", {}, _NOW_MS)
    predecessor.update_counts("i", {"a": 3}, _NOW_MS)
    predecessor.update_counts("i", {"a": 3, "b": 1}, _NOW_MS + 2_000)
    handed_over = predecessor.longest_unmet(_NOW_MS + 5_000)
    assert list(handed_over) == ["a", "b"]
    successor = model_usage.ModelUsage()
    successor.update_counts("i", {"old": 1}, 0)
    successor.restore_unmet(handed_over, 9_000)
    unmet = successor.usage({}).unmet_demand
    assert unmet.keys() == {"a", "b"}
    assert unmet["a"].since_ms == 4_000
    assert unmet["b"].since_ms == 6_000


def test_counts_from_before_the_term_are_not_counted_again():
    usage = model_usage.ModelUsage()
    usage.update_counts("i", {"a": 40, "b": 1}, _NOW_MS)
    assert usage.usage({}).unmet_demand["a"].requests == 1
    usage.update_counts("i", {"a": 42, "c": 5}, _NOW_MS + 100)
    unmet = usage.usage({}).unmet_demand
    assert (unmet["a"].requests, unmet["c"].requests) == (3, 5)


def test_a_restarted_instance_counts_from_zero():
    usage = model_usage.ModelUsage()
    usage.update_counts("i", {"a": 40}, _NOW_MS)
    usage.on_restart("i")
    usage.update_counts("i", {"a": 4}, _NOW_MS + 100)
    assert usage.usage({}).unmet_demand["a"].requests == 5


def test_demand_is_unmet_until_a_request_is_served():
    usage = model_usage.ModelUsage()
    usage.update_counts("i", {"a": 1, "b": 1}, _NOW_MS)
    usage.update_held({"a", "b"}, {}, _NOW_MS + 8_000)
    assert usage.usage({}).unmet_demand.keys() == {"a", "b"}
    # One model has a request in progress, the other gets one later.
    usage.update_held({"a", "b"}, {"a": 1}, _NOW_MS + 8_100)
    assert usage.usage({}).unmet_demand.keys() == {"b"}
    usage.update_counts("i", {"b": 2}, _NOW_MS + 9_000)
    usage.update_held({"a", "b"}, {}, _NOW_MS + 9_100)
    assert not usage.usage({}).unmet_demand
    # The demand for a model that is evicted after it was served is unmet from
    # its next request on.
    usage.update_held(set(), {}, _NOW_MS + 10_000)
    usage.update_counts("i", {"b": 3}, _NOW_MS + 11_000)
    assert usage.usage({}).unmet_demand["b"].since_ms == _NOW_MS + 11_000

"""What is known of the use of models, and outlives a holder."""

from tanagerloft.decisions import model_usage

_NOW_MS = 50_000


def test_missed_models_outlive_a_holder():
    before = model_usage.ModelUsage()
    before.note_counts("i", {}, _NOW_MS)
    before.note_counts("i", {"a": 3}, _NOW_MS)
    before.note_counts("i", {"a": 3, "b": 1}, _NOW_MS + 2_000)
    left = before.longest_missed(_NOW_MS + 5_000)
    assert list(left) == ["a", "b"]
    after = model_usage.ModelUsage()
    after.note_counts("i", {"old": 1}, 0)
    after.inherit_missed(left, 9_000)
    missed = after.usage({}).missed
    assert missed.keys() == {"a", "b"}
    assert missed["a"].since_ms == 4_000
    assert missed["b"].since_ms == 6_000


def test_what_an_instance_counted_for_the_holder_before_is_not_new():
    usage = model_usage.ModelUsage()
    usage.note_counts("i", {"a": 40, "b": 1}, _NOW_MS)
    assert usage.usage({}).missed["a"].requests == 1
    usage.note_counts("i", {"a": 42, "c": 5}, _NOW_MS + 100)
    missed = usage.usage({}).missed
    assert (missed["a"].requests, missed["c"].requests) == (3, 5)


def test_an_instance_that_starts_again_counts_from_the_start():
    usage = model_usage.ModelUsage()
    usage.note_counts("i", {"a": 40}, _NOW_MS)
    usage.restarted("i")
    usage.note_counts("i", {"a": 4}, _NOW_MS + 100)
    assert usage.usage({}).missed["a"].requests == 5


def test_a_model_is_missed_until_a_caller_has_found_it():
    usage = model_usage.ModelUsage()
    usage.note_counts("i", {"a": 1, "b": 1}, _NOW_MS)
    usage.note_held({"a", "b"}, {}, _NOW_MS + 8_000)
    assert usage.usage({}).missed.keys() == {"a", "b"}
    # One has a request under way, for the other one comes later.
    usage.note_held({"a", "b"}, {"a": 1}, _NOW_MS + 8_100)
    assert usage.usage({}).missed.keys() == {"b"}
    usage.note_counts("i", {"b": 2}, _NOW_MS + 9_000)
    usage.note_held({"a", "b"}, {}, _NOW_MS + 9_100)
    assert not usage.usage({}).missed
    # What was served and is dropped is missed from its next request on.
    usage.note_held(set(), {}, _NOW_MS + 10_000)
    usage.note_counts("i", {"b": 3}, _NOW_MS + 11_000)
    assert usage.usage({}).missed["b"].since_ms == _NOW_MS + 11_000

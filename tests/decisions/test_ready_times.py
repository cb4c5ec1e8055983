"""Tests of tanagerloft.decisions.arrival_times."""

from tanagerloft.decisions import ready_times


def _play(arrivals, planned_ms, took_ms, count, start_ms=0):
    """Lets models wait, each for some time beyond what was planned."""
    now_ms = start_ms
    for index in range(count):
        name = f"m{start_ms}-{index}"
        arrivals.expected({name: planned_ms}, (), (), now_ms)
        now_ms += took_ms
        arrivals.expected({}, {name}, (), now_ms)
    return now_ms


def test_plans_are_believed_at_first():
    arrivals = ready_times.ArrivalTimes()
    planned = {"a": 400, "b": 6_000}
    assert arrivals.expected(planned, (), (), 0) == planned


def test_models_that_arrive_late_make_later_ones_be_expected_late():
    arrivals = ready_times.ArrivalTimes()
    now_ms = _play(arrivals, 400, 1_200, 40)
    expected = arrivals.expected({"a": 400, "b": 6_000}, (), (), now_ms)
    assert 1_000 <= expected["a"] <= 1_200
    # Long waits have been as planned, as far as anybody knows.
    assert expected["b"] == 6_000


def test_models_that_arrive_as_planned_again_are_believed_again():
    arrivals = ready_times.ArrivalTimes()
    now_ms = _play(arrivals, 400, 1_200, 40)
    now_ms = _play(arrivals, 400, 400, 100, now_ms)
    assert arrivals.expected({"a": 400}, (), (), now_ms)["a"] < 500


def test_callers_that_leave_in_vain_count_as_late():
    arrivals = ready_times.ArrivalTimes()
    for index in range(30):
        arrivals.expected({f"m{index}": 3_000}, (), (), index * 10_000)
        arrivals.expected({}, (), (), index * 10_000 + 8_000)
    assert arrivals.expected({"a": 3_000}, (), (), 400_000)["a"] > 6_000


def test_callers_that_leave_before_the_planned_time_tell_nothing():
    arrivals = ready_times.ArrivalTimes()
    for index in range(30):
        arrivals.expected({f"m{index}": 3_000}, (), (), index * 10_000)
        arrivals.expected({}, (), (), index * 10_000 + 2_000)
    assert arrivals.expected({"a": 3_000}, (), (), 400_000)["a"] == 3_000


def test_a_load_under_way_comes_as_planned():
    arrivals = ready_times.ArrivalTimes()
    now_ms = _play(arrivals, 400, 1_200, 40)
    assert arrivals.expected({"a": 400}, (), ("a",), now_ms) == {"a": 400}

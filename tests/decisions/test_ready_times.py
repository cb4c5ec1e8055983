"""Tests of tanagerloft.decisions.ready_times."""

from tanagerloft.decisions import ready_times


def _simulate_waits(estimator, planned_ms, took_ms, count, start_ms=0):
    """Simulates models that become ready some time after the planned one."""
    now_ms = start_ms
    for index in range(count):
        name = f"m{start_ms}-{index}"
        estimator.estimate({name: planned_ms}, (), (), now_ms)
        now_ms += took_ms
        estimator.estimate({}, {name}, (), now_ms)
    return now_ms


def test_planned_times_are_returned_before_any_observation():
    estimator = ready_times.ReadyTimeEstimator()
    planned = {"a": 400, "b": 6_000}
    assert estimator.estimate(planned, (), (), 0) == planned


def test_late_models_raise_later_estimates():
    estimator = ready_times.ReadyTimeEstimator()
    now_ms = _simulate_waits(estimator, 400, 1_200, 40)
    expected = estimator.estimate({"a": 400, "b": 6_000}, (), (), now_ms)
    assert 1_000 <= expected["a"] <= 1_200
    # No long wait has been observed to differ from its plan.
    assert expected["b"] == 6_000


def test_estimates_recover_when_models_are_on_time_again():
    estimator = ready_times.ReadyTimeEstimator()
    now_ms = _simulate_waits(estimator, 400, 1_200, 40)
    now_ms = _simulate_waits(estimator, 400, 400, 100, now_ms)
    assert estimator.estimate({"a": 400}, (), (), now_ms)["a"] < 500


def test_callers_that_leave_after_the_planned_time_count_as_late():
    estimator = ready_times.ReadyTimeEstimator()
    for index in range(30):
        estimator.estimate({f"m{index}": 3_000}, (), (), index * 10_000)
        estimator.estimate({}, (), (), index * 10_000 + 8_000)
    assert estimator.estimate({"a": 3_000}, (), (), 400_000)["a"] > 6_000


def test_callers_that_leave_before_the_planned_time_are_not_counted():
    estimator = ready_times.ReadyTimeEstimator()
    for index in range(30):
        estimator.estimate({f"m{index}": 3_000}, (), (), index * 10_000)
        estimator.estimate({}, (), (), index * 10_000 + 2_000)
    assert estimator.estimate({"a": 3_000}, (), (), 400_000)["a"] == 3_000


def test_a_load_in_progress_is_ready_as_planned():
    estimator = ready_times.ReadyTimeEstimator()
    now_ms = _simulate_waits(estimator, 400, 1_200, 40)
    assert estimator.estimate({"a": 400}, (), ("a",), now_ms) == {"a": 400}

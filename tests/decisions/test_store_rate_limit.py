"""Tests of tanagerloft.decisions.store_rate_limit."""

from tanagerloft.decisions import store_rate_limit


def test_loads_begin_at_the_rate():
    pace = store_rate_limit.LoadRateLimiter(0.5, is_first_term=True, now_ms=0)
    begun = 0
    for now_ms in range(0, 20_000, 100):
        while pace.available(now_ms):
            pace.count_load(now_ms)
            begun += 1
    assert begun == 2 + 9


def test_a_successor_starts_without_a_burst():
    pace = store_rate_limit.LoadRateLimiter(0.5, is_first_term=False, now_ms=0)
    assert pace.available(0) == 0
    assert pace.available(1_900) == 0
    assert pace.available(2_100) == 1


def test_a_lower_rate_applies_immediately():
    pace = store_rate_limit.LoadRateLimiter(10.0, is_first_term=False, now_ms=0)
    pace.set_rate(0.5, 100)
    assert pace.available(100) == 1
    pace.count_load(100)
    assert pace.available(1_000) == 0

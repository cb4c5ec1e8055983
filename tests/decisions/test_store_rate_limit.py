"""How many loads from the weight store begin."""

from tanagerloft.decisions import store_rate_limit


def test_loads_begin_at_the_rate():
    pace = store_rate_limit.LoadPace(0.5, first=True, now_ms=0)
    begun = 0
    for now_ms in range(0, 20_000, 100):
        while pace.left(now_ms):
            pace.take(now_ms)
            begun += 1
    assert begun == 2 + 9


def test_a_holder_that_follows_another_begins_without_a_burst():
    pace = store_rate_limit.LoadPace(0.5, first=False, now_ms=0)
    assert pace.left(0) == 0
    assert pace.left(1_900) == 0
    assert pace.left(2_100) == 1


def test_a_lower_rate_counts_from_now():
    pace = store_rate_limit.LoadPace(10.0, first=False, now_ms=0)
    pace.set_rate(0.5, 100)
    assert pace.left(100) == 1
    pace.take(100)
    assert pace.left(1_000) == 0

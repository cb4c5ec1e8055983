"""How many loads the weight store takes at once."""

from tanagerloft.decisions import weight_store


def test_late_loads_lower_what_is_under_way():
    lanes = weight_store.StoreLanes()
    assert lanes.at_once(0) == 4
    lanes.note_late(4, 10_000)
    assert lanes.at_once(10_000) == 3
    # The others of the same four tell nothing new.
    lanes.note_late(4, 10_500)
    assert lanes.at_once(10_500) == 3
    lanes.note_late(3, 20_000)
    assert lanes.at_once(20_000) == 2


def test_one_load_alone_tells_nothing():
    lanes = weight_store.StoreLanes()
    lanes.note_late(1, 10_000)
    assert lanes.at_once(10_000) == 4


def test_more_is_tried_again_after_a_while():
    lanes = weight_store.StoreLanes()
    lanes.note_late(2, 10_000)
    assert lanes.at_once(29_000) == 1
    assert lanes.at_once(30_000) == 2
    assert lanes.at_once(90_000) == 2


def test_loads_on_time_show_that_the_store_takes_more():
    lanes = weight_store.StoreLanes()
    lanes.note_done(2, 6_100, 6_000, 0)
    assert lanes.at_once(0) == 4
    lanes.note_done(4, 6_100, 6_000, 0)
    assert lanes.at_once(0) == 5
    lanes.note_late(5, 10_000)
    lanes.note_done(4, 6_100, 6_000, 10_000)
    assert lanes.at_once(10_000) == 4


def test_the_time_of_slow_loads_tells_what_the_store_takes():
    # Seen on gcd-vigia-grown: seven loads under way where two are at full
    # speed, each of which took half a minute.
    lanes = weight_store.StoreLanes()
    lanes.note_done(7, 27_300, 7_800, 50_000)
    assert lanes.at_once(50_000) == 2
    lanes.note_done(1, 27_300, 7_800, 50_000)
    assert lanes.at_once(50_000) == 2


def test_a_holder_that_follows_knows_what_the_one_before_has_learnt():
    lanes = weight_store.StoreLanes()
    lanes.on_told(2)
    assert lanes.at_once(0) == 2


def test_loads_begin_at_the_rate():
    pace = weight_store.LoadPace(0.5, first=True, now_ms=0)
    begun = 0
    for now_ms in range(0, 20_000, 100):
        while pace.left(now_ms):
            pace.take(now_ms)
            begun += 1
    assert begun == 2 + 9


def test_a_holder_that_follows_another_begins_without_a_burst():
    pace = weight_store.LoadPace(0.5, first=False, now_ms=0)
    assert pace.left(0) == 0
    assert pace.left(1_900) == 0
    assert pace.left(2_100) == 1


def test_a_lower_rate_counts_from_now():
    pace = weight_store.LoadPace(10.0, first=False, now_ms=0)
    pace.set_rate(0.5, 100)
    assert pace.left(100) == 1
    pace.take(100)
    assert pace.left(1_000) == 0

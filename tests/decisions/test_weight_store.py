"""How many loads the weight store takes at once."""

from tanagerloft.decisions import weight_store


def test_late_loads_lower_what_is_under_way():
    lanes = weight_store.StoreLanes(4)
    assert lanes.at_once(0) == 4
    lanes.note_late(4, 10_000)
    assert lanes.at_once(10_000) == 3
    # The others of the same four tell nothing new.
    lanes.note_late(4, 10_500)
    assert lanes.at_once(10_500) == 3
    lanes.note_late(3, 20_000)
    assert lanes.at_once(20_000) == 2


def test_one_load_alone_tells_nothing():
    lanes = weight_store.StoreLanes(4)
    lanes.note_late(1, 10_000)
    assert lanes.at_once(10_000) == 4


def test_more_is_tried_again_after_a_while():
    lanes = weight_store.StoreLanes(2)
    lanes.note_late(2, 10_000)
    assert lanes.at_once(29_000) == 1
    assert lanes.at_once(30_000) == 2
    assert lanes.at_once(90_000) == 2

"""Maximum of recent values."""

from tanagerloft.util import recent_maximum


def test_a_value_counts_for_one_to_two_periods():
    maximum = recent_maximum.RecentMaximum(100)
    assert maximum.value == 0
    maximum.update(7, 0)
    maximum.update(3, 99)
    assert maximum.value == 7
    maximum.update(2, 100)
    assert maximum.value == 7
    maximum.update(2, 200)
    assert maximum.value == 2

"""How long the holder's word spares an instance its own reading.

A holder that is cut off from the store must not keep others from what they
could read: a change is in force, and a leaving target left alone, in time.
"""

import pytest

from tanagerloft.coordination import configuration
from tanagerloft.coordination import target_list
from tanagerloft.coordination import targets

# The users' bounds on both, on the fleets of today and on the grown ones.
_BOUNDS_MS = (2_000, 3_000)
_AGES_MS = (0, 500, 1_000, 1_200, 1_300, 2_400)


class _NoStore:
    """Store that is not called."""


@pytest.mark.parametrize("bound_ms", _BOUNDS_MS)
@pytest.mark.parametrize("age_ms", _AGES_MS)
def test_a_change_of_configuration_is_read_in_time(bound_ms, age_ms):
    keeper = configuration.ConfigurationKeeper(
        _NoStore(),
        "t",
        "c",
        lambda _: None,
        lambda: 10_000,
        lambda _: None,
        4_000,
        bound_ms,
    )
    keeper.on_proof(0, age_ms, asked_ms=10_000)
    assert keeper.word.spares_until_ms + age_ms < 10_000 + bound_ms
    # A holder that reaches the store spares the reading.
    if age_ms <= 1_000:
        assert keeper.word.spares_until_ms >= 10_500


@pytest.mark.parametrize("bound_ms", _BOUNDS_MS)
@pytest.mark.parametrize("age_ms", _AGES_MS)
def test_a_leaving_target_is_read_of_in_time(bound_ms, age_ms):
    directory = targets.TargetDirectory(lambda *_: None, lambda: 0, "dc")
    listing = target_list.TargetList(
        _NoStore(), "t", directory, lambda: 10_000, lambda: None, bound_ms
    )
    listing.on_proof(1, 0, age_ms, asked_ms=10_000)
    assert listing.word.spares_until_ms + age_ms < 10_000 + bound_ms
    if age_ms <= 500:
        assert listing.word.spares_until_ms >= 10_500

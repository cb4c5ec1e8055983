"""How long the holder's word spares an instance its own reading.

A holder that is cut off from the store must not keep others from what they
could read: a change is in force, and a leaving target left alone, in time.
"""

import pytest

from tanagerloft.coordination import configuration
from tanagerloft.coordination import messages
from tanagerloft.coordination import poll_deferral
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import target_list
from tanagerloft.coordination import targets

# The users' bounds on both, on fleets of three sizes.
_BOUNDS_MS = (2_000, 3_000, 4_000)
_AGES_MS = (0, 500, 1_000, 1_200, 1_300, 2_400)


class _NoStore:
    """Store that is not called."""


def _listing(bound_ms: int) -> target_list.TargetList:
    """Returns a list that has been read at version 1."""
    directory = targets.TargetDirectory(lambda *_: None, lambda: 0, "dc")
    directory.table.on_rows(store_lib.Snapshot((), 1), complete=True)
    return target_list.TargetList(
        _NoStore(), "t", directory, lambda: 10_000, lambda: None, bound_ms
    )


def _nothing_new(age_ms: int) -> messages.TargetListDelta:
    return messages.TargetListDelta([], 1, 1, 1, age_ms)


@pytest.mark.parametrize("bound_ms", _BOUNDS_MS)
@pytest.mark.parametrize("age_ms", _AGES_MS)
def test_a_change_of_configuration_is_read_in_time(bound_ms, age_ms):
    keeper = configuration.ConfigurationWatcher(
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
    assert keeper.deferral.deferred_until_ms + age_ms < 10_000 + bound_ms
    # A holder that reaches the store spares the reading.
    if age_ms <= 1_000:
        assert keeper.deferral.deferred_until_ms >= 10_500


@pytest.mark.parametrize("bound_ms", _BOUNDS_MS)
@pytest.mark.parametrize("age_ms", _AGES_MS)
def test_a_leaving_target_is_read_of_in_time(bound_ms, age_ms):
    listing = _listing(bound_ms)
    listing.on_delta(_nothing_new(age_ms), asked_ms=10_000)
    assert listing.deferral.deferred_until_ms + age_ms < 10_000 + bound_ms
    if age_ms <= 500:
        assert listing.deferral.deferred_until_ms >= 10_500


def test_a_large_fleet_lives_on_the_holders_word():
    # Seen on the large site: 195 instances report once a second each, the
    # word spared a reading for one second, and all read all the time.
    pause_ms = 975
    listing = _listing(4_000)
    listing.on_delta(_nothing_new(500), asked_ms=10_000)
    assert listing.deferral.deferred_until_ms >= 10_000 + 2 * pause_ms


@pytest.mark.parametrize("bound_ms", _BOUNDS_MS)
def test_nothing_is_deferred_before_the_first_status(bound_ms):
    deferral = poll_deferral.PollDeferral(bound_ms, 1_250, 150, lambda: 0)
    assert deferral.deferred_until_ms == 0
    deferral.on_status(0, asked_ms=0)
    assert deferral.deferred_until_ms > 0

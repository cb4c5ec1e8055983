"""The list of targets as one instance tells it to another."""

import pytest

from tanagerloft.coordination import messages
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import target_entries
from tests.support import engines


def _directory() -> target_entries.TargetEntries:
    def decode(key: str, value: bytes):
        return engines.entry(key, leaving=value == b"leaving")

    return target_entries.TargetEntries(decode)


def _rows(version: int, **values: tuple[int, bytes | None]):
    rows = (store_lib.Row(k, v, at) for k, (at, v) in values.items())
    return store_lib.Snapshot(tuple(rows), version)


def _pair() -> tuple[
    target_entries.TargetEntries, target_entries.TargetEntries
]:
    """Returns two directories that have read two targets at version 10."""
    pair = _directory(), _directory()
    for one in pair:
        one.on_rows(_rows(10, a=(3, b"ready"), b=(7, b"ready")), complete=True)
    return pair


def _tell(holder, follower, since=None) -> None:
    since = follower.known_version if since is None else since
    told, version = holder.changes_since(since)
    follower.on_shared(told, since, version)


def test_changes_are_told():
    holder, follower = _pair()
    holder.on_rows(
        _rows(20, a=(15, b"leaving"), b=(16, None), c=(18, b"ready")),
        complete=False,
    )
    _tell(holder, follower)
    assert follower.by_target == holder.by_target
    assert follower.known_version == 20


def test_what_the_follower_knows_better_stays():
    holder, follower = _pair()
    holder.on_rows(_rows(20, a=(15, b"ready")), complete=False)
    follower.on_rows(
        _rows(30, a=(25, b"leaving"), b=(26, None)), complete=False
    )
    _tell(holder, follower, since=10)
    assert follower.by_target["a"].leaving
    assert "b" not in follower.by_target
    assert follower.known_version == 30


def test_an_old_reading_of_the_store_does_not_undo_what_was_told():
    holder, follower = _pair()
    holder.on_rows(
        _rows(20, a=(15, b"leaving"), c=(16, b"ready")), complete=False
    )
    _tell(holder, follower)
    follower.on_rows(_rows(12, a=(3, b"ready"), b=(7, b"ready")), complete=True)
    assert follower.by_target["a"].leaving
    assert "c" in follower.by_target


def test_a_holder_that_does_not_know_what_has_gone_tells_nothing():
    # It has read the list whole after the follower did: what came and went
    # in between it has never seen.
    holder, follower = _pair()
    holder.on_rows(_rows(40, a=(3, b"ready")), complete=True)
    assert holder.changes_since(follower.known_version) == ([], 0)
    _tell(holder, follower)
    assert set(follower.by_target) == {"a", "b"}
    assert follower.known_version == 10


def test_a_follower_that_has_read_nothing_takes_nothing():
    holder, _ = _pair()
    follower = _directory()
    _tell(holder, follower)
    assert not follower.by_target
    assert follower.known_version == 0


def test_many_changes_are_told_in_parts():
    holder, follower = _pair()
    many = {f"t{n}": (20 + n, b"ready") for n in range(50)}
    holder.on_rows(_rows(100, **many), complete=False)
    tells = 0
    while follower.known_version < 100:
        _tell(holder, follower)
        tells += 1
    assert tells == 3
    assert follower.by_target == holder.by_target


@pytest.mark.parametrize(
    "entry", [engines.entry("a", models={"m": frozenset(["a1"])}), None]
)
def test_told_rows_travel_whole(entry):
    told = messages.TargetListDelta(
        [target_entries.SharedTarget("a", 5, entry)], 1, 5, 9, 100
    )
    view = engines.view(targets=told)
    assert messages.decode(messages.encode(view)) == view


def test_a_late_word_of_a_target_that_has_gone_since_is_not_taken():
    # Found by fuzzing: the row had come and gone between two readings, so its
    # version was not known here.
    follower = _directory()
    follower.on_rows(_rows(1), complete=True)
    follower.on_rows(_rows(3), complete=True)
    late = target_entries.SharedTarget("t", 2, engines.entry("t"))
    follower.on_shared([late], 1, 2)
    assert not follower.by_target

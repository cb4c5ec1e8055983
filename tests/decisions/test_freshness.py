"""Tests of tanagerloft.decisions.freshness."""

import pytest

from tanagerloft.decisions import freshness

_FRESH_MS = 4_000
_NOW_MS = 100_000
_OLD_MS = _NOW_MS - 10_000
_PEERS = {"b": "dc-1", "c": "dc-1", "d": "dc-2"}


def _status(version=5, table_age_ms=60_000, asked_ms=_NOW_MS):
    return freshness.PeerTableStatus(asked_ms, version, table_age_ms)


@pytest.mark.parametrize(
    ("statuses", "expected"),
    [
        ({}, "UNCONFIRMED"),
        ({"b": _status(table_age_ms=0)}, "CURRENT"),
        ({"b": _status(table_age_ms=0, version=4)}, "UNCONFIRMED"),
        ({"b": _status(table_age_ms=0, version=6)}, "BEHIND"),
        ({"b": _status(version=6)}, "BEHIND"),
        ({name: _status() for name in "bcd"}, "TABLE_DOWN"),
        ({name: _status() for name in "bd"}, "TABLE_DOWN"),
        ({name: _status() for name in "bc"}, "UNCONFIRMED"),
        ({"d": _status()}, "UNCONFIRMED"),
        ({name: _status(table_age_ms=2_001) for name in "bcd"}, "CURRENT"),
        (
            {name: _status(4, table_age_ms=2_001) for name in "bcd"},
            "TABLE_DOWN",
        ),
        (
            {name: _status(4, table_age_ms=2_000) for name in "bcd"},
            "UNCONFIRMED",
        ),
        ({name: _status(asked_ms=_OLD_MS) for name in "bcd"}, "UNCONFIRMED"),
    ],
)
def test_freshness_by_the_statuses_of_peers(statuses, expected):
    result = freshness.assess(5, _OLD_MS, _NOW_MS, _FRESH_MS, _PEERS, statuses)
    assert result is freshness.Freshness[expected]


def test_an_own_recent_read_suffices():
    result = freshness.assess(5, _NOW_MS - 1, _NOW_MS, _FRESH_MS, _PEERS, {})
    assert result is freshness.Freshness.CURRENT


def test_the_only_instance_relies_on_itself():
    result = freshness.assess(5, _OLD_MS, _NOW_MS, _FRESH_MS, {}, {})
    assert result is freshness.Freshness.TABLE_DOWN

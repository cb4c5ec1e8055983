"""Tests of tanagerloft.decisions.freshness."""

import pytest

from tanagerloft.decisions import freshness

_FRESH_MS = 4_000
_NOW_MS = 100_000
_OLD_MS = _NOW_MS - 10_000
_PEERS = {"b": "dc-1", "c": "dc-1", "d": "dc-2"}


def _sight(version=5, table_age_ms=60_000, asked_ms=_NOW_MS):
    return freshness.PeerTableStatus(asked_ms, version, table_age_ms)


@pytest.mark.parametrize(
    ("sights", "expected"),
    [
        ({}, "UNCONFIRMED"),
        ({"b": _sight(table_age_ms=0)}, "CURRENT"),
        ({"b": _sight(table_age_ms=0, version=4)}, "UNCONFIRMED"),
        ({"b": _sight(table_age_ms=0, version=6)}, "BEHIND"),
        ({"b": _sight(version=6)}, "BEHIND"),
        ({name: _sight() for name in "bcd"}, "TABLE_DOWN"),
        ({name: _sight() for name in "bd"}, "TABLE_DOWN"),
        ({name: _sight() for name in "bc"}, "UNCONFIRMED"),
        ({"d": _sight()}, "UNCONFIRMED"),
        ({name: _sight(table_age_ms=2_001) for name in "bcd"}, "CURRENT"),
        (
            {name: _sight(4, table_age_ms=2_001) for name in "bcd"},
            "TABLE_DOWN",
        ),
        (
            {name: _sight(4, table_age_ms=2_000) for name in "bcd"},
            "UNCONFIRMED",
        ),
        ({name: _sight(asked_ms=_OLD_MS) for name in "bcd"}, "UNCONFIRMED"),
    ],
)
def test_silent_table(sights, expected):
    result = freshness.assess(5, _OLD_MS, _NOW_MS, _FRESH_MS, _PEERS, sights)
    assert result is freshness.Freshness[expected]


def test_own_read_suffices():
    result = freshness.assess(5, _NOW_MS - 1, _NOW_MS, _FRESH_MS, _PEERS, {})
    assert result is freshness.Freshness.CURRENT


def test_only_instance_relies_on_itself():
    result = freshness.assess(5, _OLD_MS, _NOW_MS, _FRESH_MS, {}, {})
    assert result is freshness.Freshness.TABLE_DOWN

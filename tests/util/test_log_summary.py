"""Tests of tanagerloft.util.log_summary."""

import json

from tanagerloft.util import log_summary


def _line(**fields):
    plain = {
        "event": "request ended",
        "route": "r",
        "model": "m",
        "outcome": "answered",
        "reason": "",
        "expected_ms": None,
        "holder_age_ms": 50,
        "took_ms": 100,
    }
    return " 2.5 i-1 " + json.dumps({**plain, **fields})


def test_requests_are_counted_by_what_was_known_and_what_became_of_them():
    lines = [
        _line(),
        _line(took_ms=300),
        _line(expected_ms=400, outcome="refused", reason="model_not_ready"),
        _line(expected_ms=6_000, outcome="caller gone", holder_age_ms=4_000),
        _line(model="", route="plain"),
        "no line of ours",
        json.dumps({"event": "lease taken"}),
    ]
    head, *rows = log_summary.table(lines)
    assert head.split()[:2] == ["requests", "share"]
    cells = [row.split(maxsplit=4) for row in rows]
    assert cells[0][:4] == ["1", "20.0%", "100", "100"]
    assert "no model" in rows[0]
    assert cells[1][:4] == ["2", "40.0%", "300", "300"]
    assert any(
        "expected soon" in row and "refused model_not_ready" in row
        for row in rows
    )
    assert any("expected much later, holder away" in row for row in rows)


def test_nothing_is_printed_of_logs_without_requests():
    assert not list(log_summary.table([json.dumps({"event": "started"})]))

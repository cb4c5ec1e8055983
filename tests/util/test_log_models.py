"""Tests of tanagerloft.util.log_models."""

import json

from tanagerloft.util import log_models


def _line(event, **fields):
    return " 2.5 i-1 " + json.dumps({"event": event, **fields})


def _requests(model, count, status=503):
    outcome = "answered" if status == 200 else "refused"
    fields = {"model": model, "outcome": outcome, "status": status}
    return [_line("request ended", **fields)] * count


def _load(model, purpose, from_store=True, copies=0):
    return _line(
        "order chosen",
        verb="load",
        model=model,
        purpose=purpose,
        from_store=from_store,
        copies=copies,
    )


def test_what_became_of_models_that_were_never_served():
    lines = [
        _line("engine known", models=["kept"], in_memory=[], on_disk=["kept"]),
        _load("lost", "refused"),
        _line("store load ended", model="lost", outcome="engine gone"),
        _load("there", "ahead of demand"),
        _line("store load ended", model="there", outcome="done"),
        _load("there", "waited for", from_store=False),
        _load("served", "replica", copies=1),
        *_requests("lost", 5),
        *_requests("there", 4),
        *_requests("kept/a1", 4),
        *_requests("none", 4),
        *_requests("served", 4, status=200),
        *_requests("rare", 3),
        "no line of ours",
    ]
    text = "\n".join(log_models.table(lines))
    assert text.startswith("4 of 5 models and adapters never served")
    assert "lost: 5 requests, load from the store not finished" in text
    assert "there: 4 requests, loaded from the store" in text
    assert "kept/a1: 4 requests, held or copied at first, not loaded" in text
    assert "none: 4 requests, no load given" in text
    assert "rare" not in text
    assert "1  replica, on another engine, not served before, asked" in text
    assert "1  ended: engine gone" in text


def test_nothing_is_told_of_logs_without_requests():
    assert not list(log_models.table([_line("started")]))

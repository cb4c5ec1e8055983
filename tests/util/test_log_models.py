"""Tests of tanagerloft.util.log_models."""

import json

from tanagerloft.util import log_models


def _line(event, at_s=2.5, **fields):
    return f" {at_s} i-1 " + json.dumps({"event": event, **fields})


def _requests(model, count, status=503, at_s=2.5, account=""):
    outcome = "answered" if status == 200 else "refused"
    fields = {"model": model, "outcome": outcome, "status": status}
    return [
        _line(
            "request ended",
            at_s + 10 * number,
            account=account or f"a{number}",
            took_ms=5,
            **fields,
        )
        for number in range(count)
    ]


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
        _line("copies evicted", models=["none", "b"], last_copies=["none"]),
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
    assert text.endswith(
        "1 models lost their last known copy to others\n     1  never served"
    )


def test_a_caller_that_comes_back_counts_once():
    lines = [
        *_requests("m", 3, account="a"),
        *_requests("m", 3, at_s=8.5, account="a"),
    ]
    assert not list(log_models.table(lines))
    lines += _requests("m", 1, at_s=40, account="b")
    text = "\n".join(log_models.table(lines))
    assert text.startswith("1 of 1 models and adapters never served")
    assert "m: 4 requests" in text


def test_whom_loads_from_the_store_served():
    def sent(model, at_s):
        fields = {"model": model, "from_store": True, "outcome": "accepted"}
        return _line("order sent", at_s, **fields)

    def done(model, at_s):
        return _line("store load ended", at_s, model=model, outcome="done")

    lines = [
        sent("twice", 1),
        sent("twice", 3),
        done("twice", 11),
        sent("soon", 1),
        done("soon", 9),
        sent("nobody", 1),
        done("nobody", 9),
        *_requests("soon", 4, status=200, at_s=12),
        *_requests("nobody", 4),
    ]
    text = "\n".join(log_models.table(lines))
    assert "1  accepted, and ordered again before it was done" in text
    assert "1  accepted, served somebody soon after" in text
    assert "2  accepted, served nobody" in text


def test_nothing_is_told_of_logs_without_requests():
    assert not list(log_models.table([_line("started")]))

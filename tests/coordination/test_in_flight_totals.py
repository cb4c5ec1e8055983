"""Sums of reports and marks on what engines hold."""

import msgpack

from tanagerloft.coordination import in_flight_totals
from tanagerloft.coordination import messages
from tanagerloft.coordination import model_changelog
from tests.support import engines


def _report(instance, in_flight=None, prefilling=None) -> messages.Report:
    return engines.instance_report(
        instance, in_flight=in_flight or {}, prefilling=prefilling or {}
    )


def test_others_leave_out_the_instance_itself():
    loads = in_flight_totals.InFlightTotals()
    loads.record(_report("a", {"t": {"m": 2}}, {"t": 500}))
    loads.record(_report("b", {"t": {"m/x": 3}, "u": {"": 1}}))
    assert loads.others_in_flight("a") == {"t": 3, "u": 1}
    assert loads.others_in_flight("b") == {"t": 2}
    assert loads.others_prefilling("b") == {"t": 500}
    assert loads.others_prefilling("a") == {}
    assert loads.by_model() == {"m": 5, "": 1}


def test_a_report_replaces_the_one_before():
    loads = in_flight_totals.InFlightTotals()
    loads.record(_report("a", {"t": {"m": 2}}))
    loads.record(_report("a", {"u": {"m": 1}}))
    assert loads.by_target == {"u": {"m": 1}}
    loads.remove("a")
    loads.remove("a")
    assert loads.by_target == {}
    assert loads.others_in_flight("b") == {}


def test_only_changes_are_told():
    marks = model_changelog.ModelChangelog()
    marks.update({"t": {"m": []}, "u": {"n": ["a"]}})
    told, mark = marks.changes_since(0)
    assert told == {"t": {"m": []}, "u": {"n": ["a"]}}
    marks.update({"t": {"m": []}, "u": None})
    told, later = marks.changes_since(mark)
    assert told == {"u": None}
    assert marks.changes_since(later) == ({}, later)


def test_many_changes_are_told_in_parts():
    # An engine holds three models and up to eight adapters. A view that tells
    # of many must stay a datagram, far below 64 kilobytes.
    held = {f"model-{n}": [f"adapter-{n}", f"adapter-1{n}"] for n in range(3)}
    marks = model_changelog.ModelChangelog()
    marks.update({f"target-{n:010}": held for n in range(100)})
    told: dict = {}
    mark = 0
    for _ in range(3):
        part, mark = marks.changes_since(mark)
        assert len(msgpack.packb(part)) <= 8_192
        told |= part
    assert len(told) == 100


def test_what_arrives_is_named():
    marks = model_changelog.ModelChangelog()
    assert marks.update({"t": {"m": ["a"]}}) == {("m", ""), ("m", "a")}
    assert marks.update({"t": {"m": ["a", "b"]}, "u": None}) == {("m", "b")}
    assert marks.update({"t": {"m": ["b"]}, "u": {"n": []}}) == {("n", "")}


def test_messages_survive_the_wire():
    report = _report("a", {"t": {"m": 2}})
    decoded = messages.decode(messages.encode(report))
    assert decoded == report


def test_other_bytes_are_no_message():
    for data in (b"", b"\xff", b"\x93\x01\x02\x03", b"\x91\xa1r"):
        assert messages.decode(data) is None

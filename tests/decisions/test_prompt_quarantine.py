"""Quarantine of prompt parts that crash targets."""

from tanagerloft.decisions import prompt_evidence
from tanagerloft.decisions import prompt_quarantine

_OBJECTION_MS = 200


def _crash(evidence, parts, number, now_ms):
    target_id = f"t{number}"
    evidence.record_lost(parts, target_id, now_ms)
    return evidence.record_down(target_id, f"{target_id}/1", now_ms + 60)


def _report(ledger, evidence, sequence, now_ms):
    """Sends a report to the holder and applies its answer."""
    ledger.update(
        evidence.crashes_to_share(sequence, now_ms),
        evidence.sound_to_share(now_ms),
        evidence.barred_to_share(sequence),
        now_ms,
    )
    evidence.on_verdicts(
        sequence,
        ledger.suspects(now_ms),
        ledger.barred(_OBJECTION_MS, now_ms),
    )


def test_crashes_seen_by_different_instances_are_counted_together():
    ledger = prompt_quarantine.PartLedger()
    instances = [prompt_evidence.PartEvidence() for _ in range(4)]
    for number in range(3):
        _crash(instances[number], ("bad",), number, 1_000 * number)
        for sequence, evidence in enumerate(instances):
            _report(ledger, evidence, sequence, 1_000 * number + 300)
    for evidence in instances[2:]:
        assert evidence.barred_part(("bad",), 2_500) == "bad"


def test_one_crash_seen_by_many_instances_counts_once():
    ledger = prompt_quarantine.PartLedger()
    instances = [prompt_evidence.PartEvidence() for _ in range(9)]
    for evidence in instances:
        _crash(evidence, ("rare",), 1, 0)
        _report(ledger, evidence, 1, 100)
    assert ledger.barred(_OBJECTION_MS, 10_000) == []


def test_a_part_that_is_sound_elsewhere_is_not_barred():
    # Three targets crash at once, under requests that share a part.
    ledger = prompt_quarantine.PartLedger()
    unlucky = prompt_evidence.PartEvidence()
    other = prompt_evidence.PartEvidence()
    for number in range(3):
        _crash(unlucky, ("shared",), number, 0)
    other.record_begun(("shared",), 50)
    for now_ms in (100, 200, 300):
        _report(ledger, unlucky, now_ms, now_ms)
        _report(ledger, other, now_ms, now_ms)
    assert ledger.barred(_OBJECTION_MS, 1_000) == []
    _report(ledger, unlucky, 400, 400)
    assert unlucky.barred_part(("shared",), 500) is None
    assert not unlucky.crashes_to_share(500, 500)


def test_a_part_is_not_barred_for_crashes_under_another_part():
    ledger = prompt_quarantine.PartLedger()
    evidence = prompt_evidence.PartEvidence()
    for number in range(3):
        _crash(evidence, ("bad", "companion"), number, 1_000 * number)
    _crash(evidence, ("bad",), 3, 3_000)
    _report(ledger, evidence, 1, 3_300)
    _report(ledger, evidence, 2, 3_600)
    assert ledger.barred(_OBJECTION_MS, 4_000) == ["bad"]
    assert evidence.barred_part(("companion",), 4_000) is None


def test_a_verdict_passes_to_the_next_holder():
    evidence = prompt_evidence.PartEvidence()
    evidence.on_verdicts(1, ["bad"], ["bad"])
    ledger = prompt_quarantine.PartLedger()
    _report(ledger, evidence, 2, 5_000)
    assert evidence.barred_part(("bad",), 5_000) == "bad"


def test_a_verdict_read_from_the_store_lasts_until_the_holder_knows_it():
    evidence = prompt_evidence.PartEvidence()
    ledger = prompt_quarantine.PartLedger()
    evidence.adopt(["bad"])
    evidence.on_verdicts(1, [], [])
    assert evidence.barred_part(("bad",), 0) == "bad"
    _report(ledger, evidence, 2, 100)
    assert evidence.barred_part(("bad",), 100) == "bad"
    assert ledger.barred(_OBJECTION_MS, 61_000) == []
    _report(ledger, evidence, 3, 61_000)
    assert evidence.barred_part(("bad",), 61_000) is None


def test_a_verdict_ends_and_the_next_crash_renews_it_for_longer():
    ledger = prompt_quarantine.PartLedger()
    crashes = ["a/1", "b/1", "c/1"]
    ledger.update({"bad": crashes}, [], [], 0)
    assert ledger.barred(_OBJECTION_MS, 1_000) == ["bad"]
    assert ledger.barred(_OBJECTION_MS, 62_000) == []
    ledger.update({"bad": [*crashes, "d/1"]}, [], [], 63_000)
    assert ledger.barred(_OBJECTION_MS, 63_000) == ["bad"]
    assert ledger.barred(_OBJECTION_MS, 63_000 + 110_000) == ["bad"]
    assert ledger.barred(_OBJECTION_MS, 63_000 + 130_000) == []


def test_a_cleared_part_is_not_accused_again_of_the_same_crash():
    ledger = prompt_quarantine.PartLedger()
    ledger.update({"p": ["a/1", "b/1"]}, [], [], 0)
    ledger.update({}, ["p"], [], 100)
    ledger.update({"p": ["a/1", "b/1", "c/1"]}, [], [], 200)
    assert ledger.suspects(300) == ["p"]
    assert ledger.barred(_OBJECTION_MS, 5_000) == []


def test_ever_new_parts_take_bounded_memory():
    evidence = prompt_evidence.PartEvidence()
    ledger = prompt_quarantine.PartLedger()
    for number in range(2_000):
        _crash(evidence, (f"p{number}",), number, number)
        _report(ledger, evidence, number, number)
    assert len(evidence.crashes_to_share(9_999, 2_000)) <= 64
    assert len(ledger.suspects(2_000)) <= 256

"""Evidence of one instance on prompt parts."""

from tanagerloft.decisions import prompt_evidence


def _crash(evidence, parts, number, now_ms):
    target_id = f"t{number}"
    evidence.record_lost(parts, target_id, now_ms)
    return evidence.record_down(target_id, f"{target_id}/1", now_ms + 60)


def test_a_part_under_three_crashes_is_barred_and_others_are_not():
    evidence = prompt_evidence.PartEvidence()
    for number in range(3):
        evidence.record_begun(("first", f"other-{number}"), 1_000 * number)
        _crash(evidence, ("first", "bad"), number, 1_000 * number)
    assert evidence.barred_part(("first", "other-0"), 3_000) is None
    assert evidence.barred_part(("first", "bad"), 3_000) == "bad"


def test_an_answer_clears_a_part():
    evidence = prompt_evidence.PartEvidence()
    for number in range(2):
        _crash(evidence, ("p",), number, 0)
    evidence.record_begun(("p",), 100)
    _crash(evidence, ("p",), 2, 20_000)
    assert evidence.crashes_to_share(1, 20_100) == {"p": ["t2/1"]}


def test_a_part_that_was_sound_before_is_barred_later():
    evidence = prompt_evidence.PartEvidence()
    evidence.record_begun(("p",), 0)
    for number in range(3):
        _crash(evidence, ("p",), number, 15_000 + number)
    assert evidence.barred_part(("p",), 15_100) == "p"


def test_a_target_that_accepts_connections_accuses_no_part():
    evidence = prompt_evidence.PartEvidence()
    for number in range(5):
        evidence.record_lost(("p",), "t", 1_000 * number)
        evidence.record_up("t")
        assert evidence.record_down("t", f"t/{number}", 1_000 * number) == []

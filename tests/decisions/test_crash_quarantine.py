"""Quarantine of requests that crash targets."""

from tanagerloft.decisions import crash_quarantine


def test_a_crash_counts_once_per_digest():
    # Three callers send the same request when a target crashes by itself.
    counts = crash_quarantine.CrashCounts()
    for _ in range(3):
        counts.record_lost_connection("d", "t", 1_000)
    counts.record_down("t", 1_100)
    assert counts.counts_to_share(1_100) == {"d": 1}
    assert not counts.is_quarantined("d", 1_100)


def test_three_crashes_quarantine_a_request_until_it_is_answered():
    counts = crash_quarantine.CrashCounts()
    for number in range(3):
        counts.record_lost_connection("d", f"t{number}", 1_000)
        counts.record_down(f"t{number}", 1_100)
    assert counts.is_quarantined("d", 1_100)
    counts.record_response("d")
    assert not counts.is_quarantined("d", 1_100)


def test_a_target_that_accepts_connections_has_not_crashed():
    counts = crash_quarantine.CrashCounts()
    counts.record_lost_connection("d", "t", 1_000)
    counts.record_up("t")
    counts.record_down("t", 1_100)
    assert counts.counts_to_share(1_100) == {}


def test_a_connection_lost_long_before_the_crash_does_not_count():
    counts = crash_quarantine.CrashCounts()
    counts.record_lost_connection("d", "t", 1_000)
    counts.record_down("t", 3_001)
    assert counts.counts_to_share(3_001) == {}


def test_crashes_are_forgotten_and_bounded():
    counts = crash_quarantine.CrashCounts()
    for number in range(1_000):
        counts.record_lost_connection(f"d{number}", "t", 1_000)
    counts.record_down("t", 1_100)
    assert 1 <= len(counts.counts_to_share(1_100)) <= 100
    assert counts.counts_to_share(70_000) == {}


def test_crashes_of_the_fleet_are_summed_and_forgotten():
    ledger = crash_quarantine.CrashLedger()
    for name in ("a/1", "b/1", "c/1"):
        ledger.update(name, {"d": 1, "e": 0}, 1_000)
    assert ledger.quarantined(1_000) == ["d"]
    ledger.update("b/1", {}, 2_000)
    assert ledger.quarantined(2_000) == []
    ledger.update("b/1", {"d": 1}, 3_000)
    assert ledger.quarantined(70_000) == []

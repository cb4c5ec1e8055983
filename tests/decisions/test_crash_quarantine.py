"""Counts of requests that crash targets."""

from tanagerloft.decisions import crash_quarantine


def test_one_crash_counts_once_however_many_requests_it_took():
    # Three callers ask the same when a target crashes by itself.
    counts = crash_quarantine.CrashCounts()
    for _ in range(3):
        counts.record_lost_connection("d", "t", 1_000)
    counts.record_down("t", 1_100)
    assert counts.counts_to_share(1_100) == {"d": 1}
    assert not counts.is_quarantined("d", 1_100)


def test_three_crashes_bar_until_an_answer():
    counts = crash_quarantine.CrashCounts()
    for n in range(3):
        counts.record_lost_connection("d", f"t{n}", 1_000)
        counts.record_down(f"t{n}", 1_100)
    assert counts.is_quarantined("d", 1_100)
    counts.record_answer("d")
    assert not counts.is_quarantined("d", 1_100)


def test_a_target_that_takes_connections_has_not_crashed():
    counts = crash_quarantine.CrashCounts()
    counts.record_lost_connection("d", "t", 1_000)
    counts.record_up("t")
    counts.record_down("t", 1_100)
    assert counts.counts_to_share(1_100) == {}


def test_a_loss_long_before_the_crash_is_not_its_cause():
    counts = crash_quarantine.CrashCounts()
    counts.record_lost_connection("d", "t", 1_000)
    counts.record_down("t", 3_001)
    assert counts.counts_to_share(3_001) == {}


def test_crashes_are_forgotten_and_bounded():
    counts = crash_quarantine.CrashCounts()
    for n in range(1_000):
        counts.record_lost_connection(f"d{n}", "t", 1_000)
    counts.record_down("t", 1_100)
    assert 1 <= len(counts.counts_to_share(1_100)) <= 100
    assert counts.counts_to_share(70_000) == {}


def test_the_fleet_s_crashes_are_summed_and_forgotten():
    ledger = crash_quarantine.CrashLedger()
    for name in ("a/1", "b/1", "c/1"):
        ledger.update(name, {"d": 1, "e": 0}, 1_000)
    assert ledger.quarantined(1_000) == ["d"]
    ledger.update("b/1", {}, 2_000)
    assert ledger.quarantined(2_000) == []
    ledger.update("b/1", {"d": 1}, 3_000)
    assert ledger.quarantined(70_000) == []

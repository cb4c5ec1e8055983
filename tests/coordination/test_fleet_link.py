"""Reports of an instance."""

from tanagerloft.coordination import fleet_link
from tanagerloft.coordination import messages
from tanagerloft.coordination import targets
from tanagerloft.decisions import crash_quarantine
from tests.support import engines


def test_a_report_stays_as_it_was_when_loads_change():
    # The holder hears its own reports as objects, and takes the last one off
    # its sums when the next comes.
    directory = targets.TargetDirectory(lambda *_: None, lambda: 0, "dc")
    heard: list[messages.Report] = []
    link = fleet_link.FleetLink(
        "a",
        "1",
        engines.held_lease(valid_ms=3_000),
        directory,
        lambda *_: None,
        lambda: 0,
        list,
        lambda: None,
        lambda: False,
        lambda *_: None,
        crash_quarantine.CrashCounts(),
    )
    link.loopback = heard.append
    directory.note_start("t", "m")
    directory.note_prefill("t", 500)
    link.report()
    directory.note_end("t", "m")
    directory.note_prefill("t", -500)
    assert heard[0].in_flight == {"t": {"m": 1}}
    assert heard[0].prefilling == {"t": 500}

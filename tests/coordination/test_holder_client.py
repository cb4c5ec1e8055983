"""Reports of an instance."""

import asyncio

from tanagerloft.coordination import holder_client
from tanagerloft.coordination import messages
from tanagerloft.coordination import targets
from tanagerloft.decisions import crash_quarantine
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import prompt_evidence
from tanagerloft.decisions import target_notices
from tanagerloft.util import loops
from tests.support import engines
from tests.support import virtual_loop


def _link(lease, directory, now_ms) -> holder_client.HolderClient:
    return holder_client.HolderClient(
        "a",
        "1",
        lease,
        directory,
        lambda *_: None,
        now_ms,
        list,
        list,
        lambda: None,
        lambda: False,
        lambda *_: None,
        crash_quarantine.CrashCounts(),
        prompt_evidence.PartEvidence(),
    )


def test_a_report_stays_as_it_was_when_loads_change():
    # The holder hears its own reports as objects, and takes the last one off
    # its sums when the next comes.
    directory = targets.TargetDirectory(lambda *_: None, lambda: 0, "dc")
    heard: list[messages.Report] = []
    link = _link(engines.held_lease(valid_ms=3_000), directory, lambda: 0)
    link.loopback = heard.append
    directory.note_start("t", "m")
    directory.note_prefill("t", 500)
    link.report()
    directory.note_end("t", "m")
    directory.note_prefill("t", -500)
    assert heard[0].in_flight == {"t": {"m": 1}}
    assert heard[0].prefilling == {"t": 500}


def test_when_a_model_will_be_there_is_told_also_while_the_holder_is_lost():
    """Seen on gcd-vigia: callers waited to their end for orders of nobody."""
    now_ms = 10_000
    lease = order_lease.OrderLease("a", "1", "a:1", 1_500, 3_000)
    before = order_lease.Term("z", "1", "z:1", 1, True, False, {})
    lease.on_row(1, before, now_ms)
    directory = targets.TargetDirectory(lambda *_: None, lambda: now_ms, "dc")
    link = _link(lease, directory, lambda: now_ms)
    link.on_view(engines.view(ready_in_ms={"under way": 2_000}))
    assert link.model_ready_in_ms("other") is None
    assert link.model_ready_in_ms("under way") == 2_000
    now_ms += 1_000
    assert link.model_ready_in_ms("under way") == 1_000
    # The lost term, the turn after it, and the way of an order.
    assert link.model_ready_in_ms("other") == 500 + 3_000 + 400
    now_ms += 1_500
    assert link.model_ready_in_ms("under way") == 2_400


def test_a_new_holder_that_has_heard_few_does_not_make_shares_larger():
    now_ms = 10_000
    lease = order_lease.OrderLease("a", "1", "a:1", 1_500, 3_000)
    directory = targets.TargetDirectory(lambda *_: None, lambda: now_ms, "dc")
    link = _link(lease, directory, lambda: now_ms)
    link.on_view(engines.view(token=1, instances=9))
    now_ms += 5_000
    link.on_view(engines.view(token=2, sequence=2, instances=1))
    assert link.instances == 9
    link.on_view(engines.view(token=2, sequence=3, instances=12))
    assert link.instances == 12
    now_ms += 2_000
    link.on_view(engines.view(token=2, sequence=4, instances=5))
    assert link.instances == 5


def test_who_waits_for_a_permit_is_not_left_to_a_holder_that_has_given_up():
    outcomes = []

    async def play():
        now_ms = virtual_loop.now_ms
        lease = order_lease.OrderLease("a", "1", "a:1", 1_500, 3_000)
        directory = targets.TargetDirectory(lambda *_: None, now_ms, "dc")
        link = _link(lease, directory, now_ms)
        life = target_notices.TargetIncarnation("t", 1)
        directory.feedback.limits.record_response(life, 1.0, 0, 1)
        following = asyncio.ensure_future(link.run())
        status = engines.view().status._replace(stepped_down=True)
        link.permits.acquire(life, outcomes.append)
        for sequence in range(1, 20):
            link.on_view(engines.view(sequence=sequence, status=status))
            await loops.sleep(50)
        following.cancel()

    virtual_loop.run(play())
    assert len(outcomes) == 1

"""Tests of tanagerloft.decisions.order_lease."""

from tanagerloft.decisions import handover
from tanagerloft.decisions import order_lease
from tanagerloft.util import store_versions

_VALID_MS = 4_000
_TAKEOVER_DELAY_MS = 3_000
# Half of the maximum time that an order is in transit.
_TRANSIT_MS = 400


def _lease(name="a", incarnation="1") -> order_lease.OrderLease:
    return order_lease.OrderLease(
        name, incarnation, f"{name}:1", _VALID_MS, _TAKEOVER_DELAY_MS
    )


class _Row:
    """The lease row in the store."""

    def __init__(self):
        self.version = 0
        self.term = None

    def copy(self):
        return self.version, self.term

    def restore(self, copy) -> None:
        """Lets the store come back from a copy, which begins a new era."""
        era, _ = store_versions.split_era(self.version)
        _, number = store_versions.split_era(copy[0])
        self.version = store_versions.join_era(era + 1, number)
        self.term = copy[1]

    def write(self, lease, claim, now_ms) -> bool:
        if claim is None or claim.expected_version != self.version:
            return False
        self.version += 1
        self.term = claim.term
        lease.on_written(claim, self.version, now_ms, now_ms)
        return True

    def read(self, lease, now_ms) -> None:
        lease.on_row(self.version, self.term, now_ms)


def _first_holder(row: _Row) -> order_lease.OrderLease:
    lease = _lease()
    row.read(lease, 0)
    assert row.write(lease, lease.next_claim(0), 0)
    return lease


def test_the_first_holder_orders_immediately():
    lease = _first_holder(_Row())
    assert lease.may_order(0)
    assert lease.term.token == 1


def test_a_holder_that_does_not_renew_stops_ordering():
    # A frozen process resumes with a clock that has advanced.
    lease = _first_holder(_Row())
    assert lease.may_order(_VALID_MS - _TRANSIT_MS - 1)
    # An order sent now could arrive after the end of the term.
    assert not lease.may_order(_VALID_MS - _TRANSIT_MS)
    assert not lease.may_order(_VALID_MS)


def test_a_successor_waits_for_expiry_and_takeover_delay():
    row = _Row()
    first = _first_holder(row)
    other = _lease("b")
    row.read(other, 1_000)
    assert other.next_claim(4_000) is None
    assert row.write(other, other.next_claim(5_000), 5_000)
    assert other.term.token == 2
    last_of_first_ms = _VALID_MS - _TRANSIT_MS - 1
    assert first.may_order(last_of_first_ms)
    assert not other.may_order(
        last_of_first_ms + _TAKEOVER_DELAY_MS + 2 * _TRANSIT_MS
    )
    row.write(other, other.next_claim(6_000), 6_000)
    first_order_ms = 5_000 + _TAKEOVER_DELAY_MS + _TRANSIT_MS
    assert not other.may_order(first_order_ms - 1)
    assert other.may_order(first_order_ms)
    row.read(first, first_order_ms)
    assert not first.may_order(first_order_ms)


def test_a_released_lease_is_taken_before_it_expires():
    row = _Row()
    first = _first_holder(row)
    # A row that an earlier release of the program wrote.
    row.version += 1
    row.term = first.term._replace(released=True)
    row.read(first, 500)
    assert not first.may_order(500)
    other = _lease("b")
    row.read(other, 1_000)
    assert row.write(other, other.next_claim(1_000), 1_000)
    assert not other.may_order(3_500)
    row.write(other, other.next_claim(3_000), 3_000)
    # The last order of the first may have been in transit.
    assert not other.may_order(4_000 + _TRANSIT_MS - 1)
    assert other.may_order(4_000 + _TRANSIT_MS)


def _assert_restart_orders_immediately(
    row: _Row, earlier: order_lease.OrderLease, now_ms: int
) -> None:
    """Checks that the restarted holder may order without a takeover delay."""
    restarted = _lease("a", "2")
    row.read(restarted, now_ms)
    assert row.write(restarted, restarted.next_claim(now_ms), now_ms)
    assert restarted.may_order(now_ms)
    assert restarted.term.token > earlier.own_token > 0


def test_a_restarted_holder_continues_with_a_higher_token():
    row = _Row()
    _assert_restart_orders_immediately(row, _first_holder(row), 600)


def test_a_holder_restarted_during_its_takeover_delay_waits_again():
    row = _Row()
    _first_holder(row)
    other = _lease("b")
    row.read(other, 0)
    assert row.write(other, other.next_claim(4_000), 4_000)
    restarted = _lease("b", "2")
    row.read(restarted, 4_500)
    assert row.write(restarted, restarted.next_claim(4_500), 4_500)
    assert not restarted.may_order(7_000)
    assert not restarted.may_order(7_500 + _TRANSIT_MS - 1)
    assert restarted.may_order(7_500 + _TRANSIT_MS)


def test_two_candidates_cannot_both_claim():
    row = _Row()
    first, second = _lease("a"), _lease("b")
    row.read(first, 0)
    row.read(second, 0)
    claim = second.next_claim(0)
    assert row.write(first, first.next_claim(0), 0)
    assert not row.write(second, claim, 0)


def test_a_holder_that_steps_down_reports_it():
    # Regression: a holder that gave no more orders still answered reports, so
    # no instance read that the lease was free, which took 1.6 s more.
    row = _Row()
    first = _first_holder(row)
    assert first.is_holder(500)
    first.step_down()
    assert first.stepped_down
    assert not first.is_holder(500)
    assert not first.may_order(500)
    assert first.is_valid(500)
    assert not first.is_valid(_VALID_MS + 1)
    second = _lease("b")
    row.read(second, 400)
    second.on_reported_free(first.term.token, 510)
    assert row.write(second, second.next_claim(520), 520)
    assert not second.may_order(510 + _TAKEOVER_DELAY_MS - 1)


def test_the_takeover_delay_starts_at_the_end_of_the_lost_term():
    """Regression: the delay started when the successor took the lease."""
    row = _Row()
    _first_holder(row)
    other = _lease("b")
    row.read(other, 0)
    takeover_ms = _VALID_MS + 900
    assert row.write(other, other.next_claim(takeover_ms), takeover_ms)
    first_order_ms = _VALID_MS + _TAKEOVER_DELAY_MS + _TRANSIT_MS
    for now_ms in range(takeover_ms, first_order_ms, 500):
        assert not other.may_order(now_ms)
        row.write(other, other.next_claim(now_ms), now_ms)
    row.write(other, other.next_claim(first_order_ms), first_order_ms)
    assert other.may_order(first_order_ms)


def test_renewal_times_follow_from_the_validity():
    row = _Row()
    lease = _first_holder(row)
    assert lease.renewal_interval_ms * 4 <= _VALID_MS
    assert not lease.is_renewal_overdue(2 * lease.renewal_interval_ms)
    assert lease.is_renewal_overdue(3 * lease.renewal_interval_ms)


def test_an_instance_that_restarts_skips_the_takeover_delay():
    """A rolling restart must not add a takeover delay per instance.

    Each instance that stopped handed the lease to the one that stopped next:
    four changes of the holder, each with three seconds without orders.
    """
    row = _Row()
    stopping = _first_holder(row)
    # It holds the lease while it stops.
    assert row.write(stopping, stopping.next_claim(3_000), 3_000)
    assert stopping.may_order(5_000)
    last_write = stopping.stop()
    assert row.write(stopping, last_write, 5_000)
    assert not stopping.may_order(5_000)
    assert not stopping.is_holder(5_000)
    assert not stopping.is_valid(5_000)
    assert stopping.next_claim(5_000) is None
    _assert_restart_orders_immediately(row, stopping, 5_600)


def test_another_takes_over_from_an_instance_that_stops_permanently():
    row = _Row()
    stopping = _first_holder(row)
    other = _lease("b")
    row.read(other, 900)
    assert row.write(stopping, stopping.stop(), 1_000)
    row.read(other, 1_100)
    expires_ms = 1_100 + _VALID_MS
    assert other.next_claim(expires_ms - 1) is None
    assert row.write(other, other.next_claim(expires_ms), expires_ms)
    assert not other.may_order(expires_ms + _TAKEOVER_DELAY_MS - 1)


def test_promises_are_read_for_a_version_known_from_the_holder_status():
    row = _Row()
    holder = _first_holder(row)
    other = _lease("b")
    row.read(other, 0)
    claim = holder.next_claim(1_000)
    with_promises = claim._replace(
        term=claim.term._replace(promises={"acme": 5.0})
    )
    assert row.write(holder, with_promises, 1_000)
    other.on_holder_status(1, row.version, 0, 1_000)
    row.read(other, 1_000 + _VALID_MS)
    assert other.term.promises == {"acme": 5.0}
    # Reading a version known from the holder's status doesn't extend the wait.
    assert other.next_claim(1_000 + _VALID_MS) is not None


def _restored_between_two_holders() -> tuple[_Row, order_lease.OrderLease]:
    """Returns a row that names ``a`` again, and ``b``, the last holder."""
    row = _Row()
    _first_holder(row)
    copy = row.copy()
    second = _lease("b")
    row.read(second, 0)
    assert row.write(second, second.next_claim(_VALID_MS), _VALID_MS)
    assert row.write(second, second.next_claim(7_000), 7_000)
    assert second.may_order(8_000)
    row.restore(copy)
    return row, second


def test_a_restarted_instance_does_not_trust_a_row_of_an_earlier_era():
    # Guards against two holders with one token: the copy named an instance that
    # was no longer the holder, and it gave orders at once when it restarted.
    row, second = _restored_between_two_holders()
    restarted = _lease("a", "2")
    row.read(restarted, 8_000)
    assert restarted.next_claim(8_000) is None
    expires_ms = 8_000 + _VALID_MS
    assert row.write(restarted, restarted.next_claim(expires_ms), expires_ms)
    assert restarted.own_token > second.own_token
    assert not restarted.is_first_term
    first_order_ms = expires_ms + _TAKEOVER_DELAY_MS + _TRANSIT_MS
    for now_ms in range(expires_ms, first_order_ms, 500):
        assert not restarted.may_order(now_ms)
        row.write(restarted, restarted.next_claim(now_ms), now_ms)
    row.write(restarted, restarted.next_claim(first_order_ms), first_order_ms)
    assert restarted.may_order(first_order_ms)


def test_a_valid_holder_goes_on_after_a_restore_with_a_higher_token():
    row, second = _restored_between_two_holders()
    earlier_token = second.own_token
    row.read(second, 8_000)
    assert not second.is_holder(8_000)
    assert row.write(second, second.next_claim(8_000), 8_000)
    assert second.is_holder(8_000)
    assert second.own_token > earlier_token
    # Orders with the earlier token must have arrived.
    assert not second.may_order(8_000 + 2 * _TRANSIT_MS - 1)
    assert second.may_order(8_000 + 2 * _TRANSIT_MS)


def test_a_holder_whose_term_has_ended_does_not_go_on_after_a_restore():
    row, second = _restored_between_two_holders()
    late_ms = 7_000 + _VALID_MS
    row.read(second, late_ms)
    assert second.next_claim(late_ms) is None


def test_a_row_that_a_restore_has_lost_is_not_the_first_one():
    row = _Row()
    copy = row.copy()
    first = _first_holder(row)
    row.restore(copy)
    started = _lease("b")
    row.read(started, 500)
    assert started.next_claim(500) is None
    expires_ms = 500 + _VALID_MS
    assert row.write(started, started.next_claim(expires_ms), expires_ms)
    assert started.own_token > first.own_token
    assert not started.is_first_term
    assert not started.may_order(expires_ms)


def test_a_claim_that_meets_an_older_copy_begins_no_term():
    # The version that it expects is given out again in the next era.
    row = _Row()
    _first_holder(row)
    other = _lease("b")
    row.read(other, 0)
    claim = other.next_claim(_VALID_MS)
    row.restore(row.copy())
    row.version, row.term = row.version + 1, claim.term
    other.on_written(claim, row.version, _VALID_MS, _VALID_MS)
    assert not other.is_mine
    assert other.next_claim(_VALID_MS) is None


def test_promises_and_loads_of_an_earlier_era_are_not_inherited():
    # Promised tokens have been spent since, and loads are done.
    row = _Row()
    holder = _first_holder(row)
    load = handover.StoreLoad("e", 1, "m", 400, 5_600)
    claim = holder.next_claim(100)
    term = claim.term._replace(
        promises={"acme": 5.0},
        learnt=handover.HandoverState(2, 2, {"m": (1.0, 5)}, [load]),
    )
    assert row.write(holder, claim._replace(term=term), 100)
    row.restore(row.copy())
    other = _lease("b")
    row.read(other, 500)
    expires_ms = 500 + _VALID_MS
    assert row.write(other, other.next_claim(expires_ms), expires_ms)
    assert other.inherited_promises == {}
    assert other.inherited_state == term.learnt._replace(loads=())


def test_an_unreadable_row_is_that_of_an_unknown_holder():
    row = _Row()
    first = _first_holder(row)
    row.version, row.term = row.version + 1, order_lease.UNREADABLE
    other = _lease("b")
    row.read(other, 500)
    assert other.next_claim(500) is None
    expires_ms = 500 + _VALID_MS
    assert row.write(other, other.next_claim(expires_ms), expires_ms)
    assert other.own_token > first.own_token
    assert not other.may_order(expires_ms + _TAKEOVER_DELAY_MS)


def test_orders_follow_those_in_transit_from_a_holder_that_steps_down():
    # Guards against orders of two holders less than the takeover delay apart:
    # the last one of a holder that steps down may arrive after its report.
    row = _Row()
    first = _first_holder(row)
    assert first.may_order(500)
    first.step_down()
    second = _lease("b")
    row.read(second, 400)
    second.on_reported_free(first.own_token, 500)
    assert row.write(second, second.next_claim(500), 500)
    for now_ms in (1_500, 2_500, 3_500):
        assert row.write(second, second.next_claim(now_ms), now_ms)
    first_order_ms = 500 + _TAKEOVER_DELAY_MS + _TRANSIT_MS
    assert not second.may_order(first_order_ms - 1)
    assert second.may_order(first_order_ms)


def test_a_claim_whose_answer_is_lost_waits_for_the_takeover_delay():
    # Guards against orders right after a takeover: the claimant read its own
    # row, and took the wait for over.
    row = _Row()
    _first_holder(row)
    other = _lease("b")
    row.read(other, 0)
    claim = other.next_claim(_VALID_MS)
    row.version, row.term = row.version + 1, claim.term
    row.read(other, _VALID_MS)
    assert not other.is_mine
    assert row.write(other, other.next_claim(_VALID_MS), _VALID_MS)
    assert not other.term.settled
    first_order_ms = _VALID_MS + _TAKEOVER_DELAY_MS + _TRANSIT_MS
    for now_ms in range(_VALID_MS, first_order_ms, 500):
        assert not other.may_order(now_ms)
        assert row.write(other, other.next_claim(now_ms), now_ms)
    row.write(other, other.next_claim(first_order_ms), first_order_ms)
    assert other.may_order(first_order_ms)

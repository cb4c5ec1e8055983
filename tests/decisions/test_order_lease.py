"""Tests of tanagerloft.decisions.order_lease."""

from tanagerloft.decisions import order_lease

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
    assert other.may_order(4_000)


def _assert_restart_orders_immediately(row: _Row, now_ms: int) -> None:
    """Checks that the restarted holder may order without a takeover delay."""
    restarted = _lease("a", "2")
    row.read(restarted, now_ms)
    assert row.write(restarted, restarted.next_claim(now_ms), now_ms)
    assert restarted.may_order(now_ms)
    assert restarted.term.token == 2


def test_a_restarted_holder_continues_with_a_higher_token():
    row = _Row()
    _first_holder(row)
    _assert_restart_orders_immediately(row, 600)


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
    assert restarted.may_order(7_600)


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
    _assert_restart_orders_immediately(row, 5_600)


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

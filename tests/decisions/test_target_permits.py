"""Permits for requests to targets with a limit."""

import pytest

from tanagerloft.decisions import target_permits
from tanagerloft.decisions import token_grants

_HOLDER_TIMEOUT_MS = 150


def _ledger(limit_per_s: float) -> target_permits.PermitLedger:
    ledger = target_permits.PermitLedger()
    ledger.configure({"t": limit_per_s}, 0)
    return ledger


def _need_one(granted: float = 0.0) -> token_grants.Need:
    return token_grants.Need(granted + 1.0, granted)


def test_only_whole_permits_are_granted():
    ledger = _ledger(1.0)
    first = ledger.grant("a", "t", _need_one(), 500)
    assert (first.granted, first.free_ms) == (0.0, 501)
    assert ledger.grant("b", "t", _need_one(), 1_000).granted == 1.0
    assert ledger.grant("a", "t", _need_one(), 1_010).granted == 0.0


def test_each_request_without_a_permit_gets_a_turn_of_its_own():
    ledger = _ledger(2.0)
    turns = [ledger.grant(name, "t", _need_one(), 0).turn_ms for name in "abcd"]
    assert turns == [501, 1_001, 1_501, 2_001]
    # A request that is sent at its turn gets a permit.
    assert ledger.grant("a", "t", _need_one(), 501).granted == 1.0


def test_a_permit_that_has_not_arrived_in_time_is_granted_again():
    ledger = _ledger(1.0)
    assert ledger.grant("a", "t", _need_one(), 2_000).granted == 1.0
    # The same grant is sent again while it is valid. Later its permit can't be
    # used any more, so that the need is granted from the bucket again.
    assert ledger.grant("a", "t", _need_one(), 2_100).granted == 1.0
    ledger.grant("b", "t", _need_one(), 3_000)
    ledger.grant("c", "t", _need_one(), 3_000)
    assert ledger.grant("a", "t", _need_one(), 3_100).granted == 0.0


def test_a_new_holder_starts_with_the_granted_count_that_is_reported():
    ledger = _ledger(1.0)
    assert ledger.grant("a", "t", _need_one(7.0), 1_000).granted == 8.0


def test_a_target_without_a_limit_needs_no_permits():
    ledger = _ledger(1.0)
    ledger.configure({}, 10)
    assert ledger.grant("a", "t", _need_one(), 20).granted == 1.0


class _Requester:
    """Requests permits and keeps the outcomes."""

    def __init__(self):
        self.permits = target_permits.Permits(_HOLDER_TIMEOUT_MS, phase=0.0)
        self.outcomes: list[target_permits.Outcome] = []

    def request(self, now_ms: int, times: int = 1) -> None:
        for _ in range(times):
            self.permits.acquire(1, now_ms, self.outcomes.append)

    @property
    def granted(self) -> int:
        return sum(outcome.granted for outcome in self.outcomes)


def _grant(granted: float) -> target_permits.PermitGrant:
    return target_permits.PermitGrant(granted, 100, 300, 1_000)


def test_a_permit_without_a_waiting_request_is_lost():
    requester = _Requester()
    requester.request(0)
    requester.permits.cancel(requester.outcomes.append)
    requester.permits.on_grant(_grant(1.0), 1, expired=False)
    requester.request(10)
    assert requester.permits.need() == token_grants.Need(2.0, 1.0)


def test_an_expired_permit_is_lost_and_its_request_waits_on():
    requester = _Requester()
    requester.request(0)
    requester.permits.on_grant(_grant(1.0), 1, expired=True)
    assert not requester.outcomes
    assert requester.permits.need() == token_grants.Need(2.0, 1.0)


def test_requests_without_a_permit_get_consecutive_turns():
    requester = _Requester()
    requester.request(0, times=3)
    requester.permits.on_grant(_grant(1.0), 1, expired=False)
    assert [outcome.granted for outcome in requester.outcomes] == [
        True,
        False,
        False,
    ]
    assert [outcome.turn_ms for outcome in requester.outcomes[1:]] == [
        300,
        1_300,
    ]


@pytest.mark.parametrize(("instances", "max_granted"), [(1, 11), (10, 2)])
def test_without_a_holder_an_instance_grants_itself_its_share(
    instances, max_granted
):
    requester = _Requester()
    for now_ms in range(0, 20_000, 100):
        requester.request(now_ms)
        requester.permits.on_holder_timeout(now_ms, 1.0, instances)
    assert max_granted - 1 <= requester.granted <= max_granted
    assert all(outcome.turn_ms <= 1_000 for outcome in requester.outcomes)


def test_no_permit_is_self_granted_while_the_number_of_instances_is_unknown():
    requester = _Requester()
    requester.request(0)
    requester.permits.on_holder_timeout(200, 50.0, 0)
    assert requester.outcomes == [target_permits.Outcome(False, 1_000, 1_000)]

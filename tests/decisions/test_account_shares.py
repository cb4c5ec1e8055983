"""Tests of tanagerloft.decisions.account_shares."""

import pytest

from tanagerloft.decisions import account_shares
from tanagerloft.decisions import shares

_GRANT_MS = 100
_RATE, _BURST = 1_000, 8_100
_WHOLE = shares.size(shares.SLOTS, _RATE, _BURST, _GRANT_MS).cap_micro_tokens
_LEASE_UNTIL_MS = 100_000
_A = shares.InstanceIncarnation("a", "life-1")
_ALONE = account_shares.Fleet(("a",), {})
_BOTH = account_shares.Fleet(("a", "b"), {})


def _view(revision, body):
    return account_shares.RowView(revision, body, _LEASE_UNTIL_MS)


@pytest.fixture
def state():
    """An instance that has just acquired all shares of a new account."""
    result = account_shares.AccountShares("account", _A, _GRANT_MS, 0)
    result.configure(_RATE, _BURST, 0)
    write = result.on_row(_view(0, {}), _ALONE, 0)
    result.on_written(write, account_shares.WriteOutcome.COMMITTED, 0)
    return result, write.body


def test_the_first_instance_acquires_all_shares_full(state):
    shares_state, body = state
    assert len(shares_state.slots) == shares.SLOTS
    assert shares_state.available(0) == _WHOLE
    assert shares.holders(body) == ["a"]


def test_surplus_shares_are_released_with_their_tokens(state):
    shares_state, body = state
    write = shares_state.on_row(_view(1, body), _BOTH, 10)
    assert len(write.change.released) == shares.SLOTS // 2
    assert len(shares_state.slots) == shares.SLOTS // 2
    released_micro_tokens = sum(
        slot["micro_tokens"] for slot in write.body["slots"]
    )
    assert released_micro_tokens == shares_state.available(10) == _WHOLE // 2


def test_released_shares_are_not_used_until_the_outcome_is_known(state):
    """The write may take effect late, so the shares must not be used."""
    shares_state, body = state
    write = shares_state.on_row(_view(1, body), _BOTH, 10)
    shares_state.on_written(write, account_shares.WriteOutcome.UNKNOWN, 10)
    retried = shares_state.on_row(_view(1, body), _ALONE, 2_000)
    assert retried.expected_revision == write.expected_revision
    assert len(shares_state.slots) == shares.SLOTS // 2


def test_shares_are_used_again_once_the_release_has_failed(state):
    shares_state, body = state
    write = shares_state.on_row(_view(1, body), _BOTH, 10)
    shares_state.on_written(write, account_shares.WriteOutcome.UNKNOWN, 10)
    shares_state.on_row(_view(2, body), _ALONE, 2_000)
    assert len(shares_state.slots) == shares.SLOTS


def test_an_acquisition_of_unknown_outcome_is_found_in_the_row():
    shares_state = account_shares.AccountShares("account", _A, _GRANT_MS, 0)
    shares_state.configure(_RATE, _BURST, 0)
    write = shares_state.on_row(_view(0, {}), _ALONE, 0)
    shares_state.on_written(write, account_shares.WriteOutcome.UNKNOWN, 0)
    assert shares_state.slots == frozenset()
    shares_state.on_row(_view(1, write.body), _ALONE, 100)
    assert len(shares_state.slots) == shares.SLOTS
    assert shares_state.available(100) == 0


def test_no_tokens_are_reserved_after_the_lease(state):
    shares_state, body = state
    reservation = shares_state.reserve_up_to(_WHOLE, _LEASE_UNTIL_MS)
    assert reservation.micro_tokens == 0
    assert shares_state.on_row(_view(1, body), _ALONE, _LEASE_UNTIL_MS) is None
    assert shares_state.slots == frozenset()


def test_renewal_after_the_end_of_the_lease_does_not_revive_shares(state):
    shares_state, _ = state
    shares_state.renew(2 * _LEASE_UNTIL_MS, _LEASE_UNTIL_MS)
    assert shares_state.reserve_up_to(1, _LEASE_UNTIL_MS).micro_tokens == 0


def test_taking_over_from_a_lapsed_holder_checks_its_row(state):
    _, body = state
    successor = account_shares.AccountShares(
        "account", shares.InstanceIncarnation("b", "life-2"), _GRANT_MS, 0
    )
    successor.configure(_RATE, _BURST, 0)
    fleet = account_shares.Fleet(("b",), {"a": 7})
    write = successor.on_row(_view(1, body), fleet, 10)
    assert write.checks == {"a": 7}
    assert write.change.acquired_micro_tokens == 0


def test_successor_at_the_same_address_takes_over_without_tokens(state):
    _, body = state
    successor = account_shares.AccountShares(
        "account", shares.InstanceIncarnation("a", "life-2"), _GRANT_MS, 0
    )
    successor.configure(_RATE, _BURST, 0)
    write = successor.on_row(_view(1, body), _ALONE, 10)
    successor.on_written(write, account_shares.WriteOutcome.COMMITTED, 10)
    assert len(successor.slots) == shares.SLOTS
    assert successor.available(10) == 0

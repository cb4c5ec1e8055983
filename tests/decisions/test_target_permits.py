"""Permits for targets with a limit."""

import pytest

from tanagerloft.decisions import target_permits
from tanagerloft.decisions import token_grants

_SILENCE_MS = 150


def _ledger(limit_per_s: float) -> target_permits.PermitLedger:
    ledger = target_permits.PermitLedger()
    ledger.configure({"t": limit_per_s}, 0)
    return ledger


def _one(granted: float = 0.0) -> token_grants.Need:
    return token_grants.Need(granted + 1.0, granted)


def test_only_whole_permits_are_granted():
    ledger = _ledger(1.0)
    first = ledger.grant("a", "t", _one(), 500)
    assert (first.granted, first.free_ms) == (0.0, 501)
    assert ledger.grant("b", "t", _one(), 1_000).granted == 1.0
    assert ledger.grant("a", "t", _one(), 1_010).granted == 0.0


def test_each_that_gets_none_is_told_a_turn_of_its_own():
    ledger = _ledger(2.0)
    turns = [ledger.grant(one, "t", _one(), 0).turn_ms for one in "abcd"]
    assert turns == [501, 1_001, 1_501, 2_001]
    # Who comes when it is its turn finds a permit.
    assert ledger.grant("a", "t", _one(), 501).granted == 1.0


def test_what_has_not_arrived_in_time_is_granted_anew():
    ledger = _ledger(1.0)
    assert ledger.grant("a", "t", _one(), 2_000).granted == 1.0
    # Told again at once, but of a lost view nothing can be used later.
    assert ledger.grant("a", "t", _one(), 2_100).granted == 1.0
    ledger.grant("b", "t", _one(), 3_000)
    ledger.grant("c", "t", _one(), 3_000)
    assert ledger.grant("a", "t", _one(), 3_100).granted == 0.0


def test_permits_of_another_holder_begin_with_what_an_instance_tells():
    ledger = _ledger(1.0)
    assert ledger.grant("a", "t", _one(7.0), 1_000).granted == 8.0


def test_a_target_without_a_limit_needs_no_permits():
    ledger = _ledger(1.0)
    ledger.configure({}, 10)
    assert ledger.grant("a", "t", _one(), 20).granted == 1.0


class _Asker:
    """Asks for permits and keeps the outcomes."""

    def __init__(self):
        self.permits = target_permits.Permits(_SILENCE_MS, phase=0.0)
        self.outcomes: list[target_permits.Outcome] = []

    def ask(self, now_ms: int, times: int = 1) -> None:
        for _ in range(times):
            self.permits.acquire(1, now_ms, self.outcomes.append)

    @property
    def granted(self) -> int:
        return sum(outcome.granted for outcome in self.outcomes)


def _granting(granted: float) -> target_permits.PermitGrant:
    return target_permits.PermitGrant(granted, 100, 300, 1_000)


def test_a_permit_that_nobody_waits_for_any_more_is_lost():
    asker = _Asker()
    asker.ask(0)
    asker.permits.cancel(asker.outcomes.append)
    asker.permits.on_grant(_granting(1.0), 1, expired=False)
    asker.ask(10)
    assert asker.permits.need() == token_grants.Need(2.0, 1.0)


def test_a_permit_that_was_held_up_is_lost_and_its_request_waits_on():
    asker = _Asker()
    asker.ask(0)
    asker.permits.on_grant(_granting(1.0), 1, expired=True)
    assert not asker.outcomes
    assert asker.permits.need() == token_grants.Need(2.0, 1.0)


def test_those_that_get_none_are_told_one_turn_after_the_other():
    asker = _Asker()
    asker.ask(0, times=3)
    asker.permits.on_grant(_granting(1.0), 1, expired=False)
    assert [one.granted for one in asker.outcomes] == [True, False, False]
    assert [one.turn_ms for one in asker.outcomes[1:]] == [300, 1_300]


@pytest.mark.parametrize(("instances", "most"), [(1, 11), (10, 2)])
def test_without_a_holder_an_instance_gives_itself_its_part(instances, most):
    asker = _Asker()
    for now_ms in range(0, 20_000, 100):
        asker.ask(now_ms)
        asker.permits.on_holder_timeout(now_ms, 1.0, instances)
    assert most - 1 <= asker.granted <= most
    assert all(one.turn_ms <= 1_000 for one in asker.outcomes)


def test_nothing_is_sent_alone_while_the_number_of_instances_is_not_known():
    asker = _Asker()
    asker.ask(0)
    asker.permits.on_holder_timeout(200, 50.0, 0)
    assert asker.outcomes == [target_permits.Outcome(False, 1_000, 1_000)]

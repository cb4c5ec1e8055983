"""Stateful fuzzing of permits for a target with a limit.

Instances acquire permits, report, miss views, freeze while a view is in
transit, restart and grant themselves permits without a lease holder; holders
replace each other. The oracle counts the requests that reach the target in any
four seconds.
"""

import os
from typing import NamedTuple

from hypothesis import stateful
from hypothesis import strategies
import pytest

from tanagerloft.decisions import target_permits
from tests.fuzz import machines

_EXAMPLES = int(os.environ.get("EXAMPLES", "100"))
_NAMES = tuple("abcdefghi")
_TARGET = "t/1"
_HOLDER_TIMEOUT_MS = 150
_WINDOW_MS = 4_000
# Excess over the limit that the users tolerate in any window.
_RATIO = 1.5
_SLACK = 5
_names = strategies.sampled_from(_NAMES)
_limits = strategies.sampled_from((0.0, 0.5, 1.0, 3.0, 20.0))


class _PendingView(NamedTuple):
    grant: target_permits.PermitGrant
    sequence: int
    asked_ms: int


class PermitMachine(stateful.RuleBasedStateMachine):
    """Nine instances, one lease holder at a time, and one target."""

    def __init__(self):
        super().__init__()
        self.now_ms = 100_000
        self.sequence = 0
        self.limit_per_s = 1.0
        self.limited_ms = self.now_ms
        self.past_limits_per_s = [(self.now_ms, 1.0)]
        self.sent: list[int] = []
        self.incarnations = dict.fromkeys(_NAMES, 0)
        self.last_view_ms = dict.fromkeys(_NAMES, self.now_ms)
        self.delayed_views: dict[str, _PendingView] = {}
        self.permits = {name: self._new(name) for name in _NAMES}
        self.ledger = self._ledger()

    def _new(self, name: str) -> target_permits.Permits:
        phase = _NAMES.index(name) / len(_NAMES)
        return target_permits.Permits(_HOLDER_TIMEOUT_MS, phase)

    def _ledger(self) -> target_permits.PermitLedger:
        ledger = target_permits.PermitLedger()
        ledger.configure({_TARGET: self.limit_per_s}, self.now_ms)
        return ledger

    def _send(self) -> None:
        self.sent.append(self.now_ms)
        since_ms = self.now_ms - _WINDOW_MS
        number = sum(at_ms > since_ms for at_ms in self.sent)
        highest_per_s = max(
            limit
            for until_ms, limit in [
                *self.past_limits_per_s,
                (self.now_ms, self.limit_per_s),
            ]
            if until_ms > since_ms
        )
        assert number <= _RATIO * highest_per_s * _WINDOW_MS / 1_000 + _SLACK

    @stateful.rule(
        delta_ms=strategies.sampled_from((1, 20, 100, 500, 2_000, 20_000))
    )
    def time_passes(self, delta_ms):
        self.now_ms += delta_ms

    @stateful.rule(limit_per_s=_limits)
    def limit_changes(self, limit_per_s):
        self.past_limits_per_s.append((self.now_ms, self.limit_per_s))
        self.limit_per_s = limit_per_s
        self.ledger.configure({_TARGET: limit_per_s}, self.now_ms)

    @stateful.rule(name=_names)
    def acquires(self, name):
        def done(outcome: target_permits.Outcome) -> None:
            if outcome.granted:
                self._send()
            else:
                assert outcome.turn_ms > 0

        self.permits[name].acquire(self.sequence + 1, self.now_ms, done)

    @stateful.rule(name=_names, fate=strategies.sampled_from((0, 0, 0, 1, 2)))
    def reports(self, name, fate):
        """The view arrives at once, is lost, or waits for a frozen instance."""
        self.sequence += 1
        permits = self.permits[name]
        process = f"{name}/{self.incarnations[name]}"
        need = permits.need()
        grant = self.ledger.grant(process, _TARGET, need, self.now_ms)
        if fate == 0:
            self._receive(name, _PendingView(grant, self.sequence, self.now_ms))
        elif fate == 1:
            view = _PendingView(grant, self.sequence, self.now_ms)
            self.delayed_views[name] = view

    @stateful.rule(name=_names)
    def thaws(self, name):
        view = self.delayed_views.pop(name, None)
        if view is not None:
            self._receive(name, view)

    def _receive(self, name: str, view: _PendingView) -> None:
        self.last_view_ms[name] = self.now_ms
        age_ms = self.now_ms - view.asked_ms
        lapsed = age_ms > target_permits.PERMIT_VALID_MS
        self.permits[name].on_grant(view.grant, view.sequence, lapsed)

    @stateful.rule(rounds=strategies.integers(1, 8))
    def every_instance_acquires(self, rounds):
        for _ in range(rounds):
            for name in _NAMES:
                self.acquires(name)
                self.reports(name, fate=0)
            self.now_ms += 250

    @stateful.rule(rounds=strategies.integers(1, 8))
    def every_instance_acquires_without_a_holder(self, rounds):
        for _ in range(rounds):
            for name in _NAMES:
                self.acquires(name)
            self.now_ms += _HOLDER_TIMEOUT_MS + 20
            for name in _NAMES:
                self.grants_itself(name)

    @stateful.rule(name=_names)
    def grants_itself(self, name):
        if self.now_ms - self.last_view_ms[name] > _HOLDER_TIMEOUT_MS:
            self.permits[name].on_holder_timeout(
                self.now_ms, self.limit_per_s, len(_NAMES)
            )

    @stateful.rule(name=_names)
    def restarts(self, name):
        # The users excuse a restart, but requests already sent still count.
        self.permits[name] = self._new(name)
        self.delayed_views.pop(name, None)
        self.incarnations[name] += 1

    @stateful.rule()
    def holder_is_replaced(self):
        self.ledger = self._ledger()


class _IgnoresExpiryMachine(PermitMachine):
    """Flaw: an expired permit is used."""

    def _receive(self, name: str, view: _PendingView) -> None:
        self.last_view_ms[name] = self.now_ms
        self.permits[name].on_grant(view.grant, view.sequence, expired=False)


class _FullBucketMachine(PermitMachine):
    """Flaw: each holder starts with the permits of one second."""

    def _ledger(self) -> target_permits.PermitLedger:
        self.now_ms -= 2_000
        ledger = super()._ledger()
        self.now_ms += 2_000
        return ledger


def test_requests_in_any_window_stay_within_limit():
    machines.run(PermitMachine, _EXAMPLES, steps=50)


def _run_late_views(machine: PermitMachine) -> None:
    """Accumulates permits in transit to frozen instances."""
    for name in _NAMES:
        machine.time_passes(2_000)
        machine.acquires(name)
        machine.reports(name, fate=1)
    for name in _NAMES:
        machine.thaws(name)
    machine.every_instance_acquires(14)


def _run_takeovers(machine: PermitMachine) -> None:
    """Replaces the holder repeatedly while every instance asks for permits."""
    for _ in range(8):
        machine.every_instance_acquires(1)
        machine.holder_is_replaced()
    machine.every_instance_acquires(4)


@pytest.mark.parametrize(
    ("steps", "flawed"),
    [
        (_run_late_views, _IgnoresExpiryMachine),
        (_run_takeovers, _FullBucketMachine),
    ],
)
def test_oracle_detects_injected_flaws(steps, flawed):
    steps(PermitMachine())
    with pytest.raises(AssertionError):
        steps(flawed())

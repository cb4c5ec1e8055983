"""Stateful fuzzing of the quarantine of requests that crash targets.

Instances send good and bad requests; bad requests crash their target, and
targets also crash for other reasons. Reports and views are lost, lease holders
and instances are replaced. The oracle counts the crashes caused by each bad
request: after the limit all instances quarantine it, and good requests are
never quarantined.
"""

import os

from hypothesis import stateful
from hypothesis import strategies
import pytest

from tanagerloft.decisions import crash_quarantine
from tests.fuzz import machines

_EXAMPLES = int(os.environ.get("EXAMPLES", "100"))
_NAMES = ("a", "b", "c")
_names = strategies.sampled_from(_NAMES)
_digests = strategies.sampled_from(("bad-1", "bad-2", "good-1", "good-2"))


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Three instances, a lease holder, and targets that bad requests crash."""

    counts_class = crash_quarantine.CrashCounts

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.incarnations = dict.fromkeys(_NAMES, 0)
        self.counts = {name: self.counts_class() for name in _NAMES}
        self.quarantined: dict[str, list[str]] = {name: [] for name in _NAMES}
        self.ledger = crash_quarantine.CrashLedger()
        self.targets = 0
        # Crash times seen by the current incarnation of each instance.
        self.crashes: dict[str, dict[str, list[int]]] = {
            name: {} for name in _NAMES
        }

    def _fleet_crashes(self, digest: str) -> int:
        recent_ms = self.now_ms - 50_000
        return sum(
            at_ms >= recent_ms
            for crash_times in self.crashes.values()
            for at_ms in crash_times.get(digest, ())
        )

    @stateful.rule(delta_ms=strategies.sampled_from((10, 400, 3_000, 20_000)))
    def time_passes(self, delta_ms):
        self.now_ms += delta_ms

    @stateful.rule(name=_names, digest=_digests, lost=strategies.booleans())
    def sends(self, name, digest, lost):
        counts = self.counts[name]
        if digest in self.quarantined[name] or counts.is_quarantined(
            digest, self.now_ms
        ):
            assert digest.startswith("bad")
            return
        self.targets += 1
        target_id = f"t{self.targets}"
        if digest.startswith("bad"):
            counts.record_lost_connection(digest, target_id, self.now_ms)
            self.now_ms += 50
            counts.record_down(target_id, self.now_ms)
            crash_times = self.crashes[name].setdefault(digest, [])
            crash_times.append(self.now_ms)
        elif lost:
            # The answer is lost, the target survives.
            counts.record_lost_connection(digest, target_id, self.now_ms)
            counts.record_up(target_id)
        else:
            counts.record_response(digest)

    @stateful.rule(name=_names)
    def a_target_crashes_by_itself(self, name):
        # A good request is running there and then succeeds on another target.
        counts = self.counts[name]
        counts.record_lost_connection("good-1", "own", self.now_ms)
        counts.record_down("own", self.now_ms)
        counts.record_response("good-1")

    @stateful.rule(
        name=_names, report=strategies.booleans(), view=strategies.booleans()
    )
    def reports(self, name, report, view):
        if not report:
            return
        process = f"{name}/{self.incarnations[name]}"
        recent_counts = self.counts[name].counts_to_share(self.now_ms)
        self.ledger.update(process, recent_counts, self.now_ms)
        if view:
            self.quarantined[name] = self.ledger.quarantined(self.now_ms)

    @stateful.rule()
    def all_report_twice(self):
        for _ in range(2):
            for name in _NAMES:
                self.reports(name, True, True)
        for digest in ("bad-1", "bad-2"):
            if self._fleet_crashes(digest) >= crash_quarantine.MAX_CRASHES:
                for name in _NAMES:
                    assert digest in self.quarantined[name]

    @stateful.rule()
    def another_holder_takes_over(self):
        self.ledger = crash_quarantine.CrashLedger()

    @stateful.rule(name=_names)
    def an_instance_is_replaced(self, name):
        # Counts that it had not reported yet are lost with it.
        self.incarnations[name] += 1
        self.counts[name] = self.counts_class()
        self.quarantined[name] = []
        self.crashes[name] = {}


class _ForgetfulCounts(crash_quarantine.CrashCounts):
    """Flaw: ignores the crashes of every other target."""

    def record_down(self, target_id, now_ms):
        if int(target_id.lstrip("town") or 0) % 2:
            super().record_down(target_id, now_ms)


def _run_crashes(machine: QuarantineMachine) -> None:
    for name in ("a", "b", "c", "a", "b", "c"):
        machine.sends(name, "bad-1", lost=False)
    machine.all_report_twice()


def test_oracle_detects_injected_flaw():
    _run_crashes(QuarantineMachine())
    flawed = QuarantineMachine()
    flawed.counts = {name: _ForgetfulCounts() for name in _NAMES}
    flawed.sends("a", "bad-1", lost=False)
    flawed.sends("b", "bad-1", lost=False)
    flawed.sends("c", "bad-1", lost=False)
    with pytest.raises(AssertionError):
        flawed.all_report_twice()


def test_only_requests_that_crash_targets_are_quarantined():
    machines.run(QuarantineMachine, _EXAMPLES, steps=40)

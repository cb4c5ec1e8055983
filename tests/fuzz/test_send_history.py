"""Stateful fuzzing of what may follow a failed send.

Targets run requests, refuse them, lose answers or break off. The oracle knows
what truly ran: a request that may run once runs once at most, and what is told
"not run" has not run.
"""

import os

from hypothesis import stateful
from hypothesis import strategies
import pytest

from tanagerloft.decisions import attempts
from tanagerloft.decisions import send_history
from tests.fuzz import machines

_EXAMPLES = int(os.environ.get("EXAMPLES", "200"))
_MAX_TARGETS = 2


class SendMachine(stateful.RuleBasedStateMachine):
    """One request after another."""

    history_class = send_history.SendHistory

    def __init__(self):
        super().__init__()
        self._begin(False)

    def _begin(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.history = self.history_class(repeatable, _MAX_TARGETS)
        self.ran: list[str] = []
        self.over = False

    @stateful.rule(repeatable=strategies.booleans())
    def another_request(self, repeatable):
        self._begin(repeatable)

    @stateful.rule(
        place=strategies.sampled_from(("a", "b", "c")),
        fate=strategies.sampled_from(
            ("no connection", "refused", "lost, not run", "lost, ran")
        ),
    )
    def is_sent(self, place, fate):
        if self.over:
            return
        history = self.history
        if fate == "no connection":
            evidence = attempts.Evidence.NOT_SENT
        else:
            history.record_sent(place)
            assert history.sends <= send_history.MAX_SENDS
            evidence = attempts.Evidence.UNKNOWN
        if fate == "refused":
            history.record_not_run()
            evidence = attempts.Evidence.REFUSED
        elif fate == "lost, ran":
            self.ran.append(place)
        self._check_runs()
        if not history.may_retry(evidence):
            self.over = True
            if not history.may_have_run:
                # The caller is told that it did not run.
                assert not self.ran

    def _check_runs(self) -> None:
        if not self.repeatable:
            assert len(self.ran) <= 1
        assert len(set(self.ran)) <= _MAX_TARGETS

    @stateful.rule(place=strategies.sampled_from(("a", "b", "c")))
    def an_error_of_a_target_may_be_repeated(self, place):
        if self.over:
            return
        self.history.record_sent(place)
        self.ran.append(place)
        self._check_runs()
        self.over = not self.history.may_rerun()


class _HastyHistory(send_history.SendHistory):
    """Flaw: a lost answer is taken for a request that did not run."""

    def may_retry(self, evidence):
        return self.sends < send_history.MAX_SENDS


def _play_losses(machine: SendMachine) -> None:
    for place in ("a", "b"):
        machine.is_sent(place, "lost, ran")


def test_the_oracle_sees_a_planted_flaw():
    _play_losses(SendMachine())
    flawed = SendMachine()
    flawed.history = _HastyHistory(False, _MAX_TARGETS)
    with pytest.raises(AssertionError):
        _play_losses(flawed)


def test_a_request_runs_no_more_often_than_it_may():
    machines.run(SendMachine, _EXAMPLES, steps=30)

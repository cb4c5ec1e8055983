"""Stateful fuzzing of the retries after a failed send.

Targets run requests, refuse them or lose responses. The oracle knows which
requests really ran: a request that must not be retried runs at most once, and a
request reported as "not run" has not run.
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
    """Sends one request after another."""

    history_class = send_history.SendHistory

    def __init__(self):
        super().__init__()
        self._begin(False)

    def _begin(self, repeatable: bool) -> None:
        self.repeatable = repeatable
        self.history = self.history_class(repeatable, _MAX_TARGETS)
        self.ran: list[str] = []
        self.ended = False

    @stateful.rule(repeatable=strategies.booleans())
    def another_request(self, repeatable):
        self._begin(repeatable)

    @stateful.rule(
        target_id=strategies.sampled_from(("a", "b", "c")),
        fate=strategies.sampled_from(
            ("no connection", "refused", "lost, not run", "lost, ran")
        ),
    )
    def is_sent(self, target_id, fate):
        if self.ended:
            return
        history = self.history
        if fate == "no connection":
            evidence = attempts.Evidence.NOT_SENT
        else:
            history.record_sent(target_id)
            assert history.sends <= send_history.MAX_SENDS
            evidence = attempts.Evidence.UNKNOWN
        if fate == "refused":
            history.record_not_run()
            evidence = attempts.Evidence.REFUSED
        elif fate == "lost, ran":
            self.ran.append(target_id)
        self._check_runs()
        if not history.may_retry(evidence):
            self.ended = True
            if not history.may_have_run:
                # The caller gets a refusal that says "not run".
                assert not self.ran

    def _check_runs(self) -> None:
        if not self.repeatable:
            assert len(self.ran) <= 1
        assert len(set(self.ran)) <= _MAX_TARGETS

    @stateful.rule(target_id=strategies.sampled_from(("a", "b", "c")))
    def an_error_of_a_target_may_be_retried(self, target_id):
        if self.ended:
            return
        self.history.record_sent(target_id)
        self.ran.append(target_id)
        self._check_runs()
        self.ended = not self.history.may_rerun()


class _RetryAlwaysHistory(send_history.SendHistory):
    """Flaw: a lost response counts as a request that did not run."""

    def may_retry(self, evidence):
        return self.sends < send_history.MAX_SENDS


def _run_lost_answers(machine: SendMachine) -> None:
    for target_id in ("a", "b"):
        machine.is_sent(target_id, "lost, ran")


def test_oracle_detects_injected_flaw():
    _run_lost_answers(SendMachine())
    flawed = SendMachine()
    flawed.history = _RetryAlwaysHistory(False, _MAX_TARGETS)
    with pytest.raises(AssertionError):
        _run_lost_answers(flawed)


def test_requests_run_no_more_often_than_allowed():
    machines.run(SendMachine, _EXAMPLES, steps=30)

"""Whether a failed send may be followed by another one."""

from tanagerloft.decisions import attempts
from tanagerloft.decisions import send_history


def test_a_refusal_applies_only_to_the_send_that_it_answers():
    # The first send to a target may have run, a second one to the same target
    # was refused, and the caller was told that nothing had run. Found by
    # fuzzing.
    history = send_history.SendHistory(retryable=True, max_targets=2)
    history.record_sent("a")
    assert history.may_retry(attempts.Evidence.UNKNOWN)
    history.record_sent("a")
    history.record_not_run()
    assert history.may_have_run


def test_a_refused_request_has_not_run():
    history = send_history.SendHistory(retryable=False, max_targets=1)
    history.record_sent("a")
    history.record_not_run()
    assert not history.may_have_run
    assert history.may_retry(attempts.Evidence.REFUSED)


def test_a_request_that_may_have_run_is_not_retried_unless_retryable():
    history = send_history.SendHistory(retryable=False, max_targets=3)
    history.record_sent("a")
    for evidence in attempts.Evidence:
        assert not history.may_retry(evidence)

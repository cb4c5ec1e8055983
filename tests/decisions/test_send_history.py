"""What may follow a failed send."""

from tanagerloft.decisions import attempts
from tanagerloft.decisions import send_history


def test_a_refusal_takes_back_only_the_send_that_it_answers():
    # Found by fuzzing: the first send at a target may have run, a second one
    # there was refused, and the caller was told that nothing had run.
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


def test_what_may_run_once_is_not_sent_after_a_doubt():
    history = send_history.SendHistory(retryable=False, max_targets=3)
    history.record_sent("a")
    for evidence in attempts.Evidence:
        assert not history.may_retry(evidence)

"""Sends of one request so far, and whether another one is allowed.

Targets may refuse a request, close the connection or lose the response. A
request that is not retryable is never sent again after a send that may have
run it; a retryable one may run on as many targets as its route allows.
"""

from __future__ import annotations

from tanagerloft.decisions import attempts

# Bound on the sends of one request, including those that did not run.
MAX_SENDS = 4


class SendHistory:
    """Sends of one request.

    Args:
        retryable: Whether it may run more than once.
        max_targets: Number of targets on which it may run.

    Attributes:
        sends: Number of sends so far.
        tried: Targets that it was sent to.
    """

    def __init__(self, retryable: bool, max_targets: int):
        self._retryable = retryable
        self._max_targets = max_targets
        self._may_have_run: set[str] = set()
        self._may_have_run_before_last: set[str] = set()
        self.sends = 0
        self.tried: set[str] = set()

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request."""
        return bool(self._may_have_run)

    def record_sent(self, target_id: str) -> None:
        """Counts a send; it may have run until the target denies it."""
        self.sends += 1
        self.tried.add(target_id)
        self._may_have_run_before_last = set(self._may_have_run)
        self._may_have_run.add(target_id)

    def record_not_run(self) -> None:
        """Records that the last send did not run; earlier ones may have."""
        self._may_have_run = self._may_have_run_before_last

    def may_rerun(self) -> bool:
        """Returns whether it may run again, although it may have run."""
        return (
            self._retryable
            and self.sends < MAX_SENDS
            and len(self._may_have_run) < self._max_targets
        )

    def may_retry(self, evidence: attempts.Evidence) -> bool:
        """Returns whether another send may follow a failed one.

        Args:
            evidence: What is known of the failed send.
        """
        not_run = evidence in (
            attempts.Evidence.NOT_SENT,
            attempts.Evidence.REFUSED,
        )
        if self._may_have_run and not self._retryable:
            return False
        return (not_run and self.sends < MAX_SENDS) or self.may_rerun()

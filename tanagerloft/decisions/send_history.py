"""What has become of the sends of one request, and what may follow.

Load answered: targets that refuse, break off or lose answers. A request that
may run only once is never sent after a send that may have run it; any other one
may run on so many targets as its route allows.
"""

from __future__ import annotations

from tanagerloft.decisions import attempts

# Sends of one request, those that did not run included.
MAX_SENDS = 4


class SendHistory:
    """Sends of one request.

    Args:
        repeatable: Whether it may run more than once.
        max_targets: Targets on which it may run.

    Attributes:
        sends: Sends so far.
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
        """Counts a send; until the target says otherwise, it may run."""
        self.sends += 1
        self.tried.add(target_id)
        self._may_have_run_before_last = set(self._may_have_run)
        self._may_have_run.add(target_id)

    def record_not_run(self) -> None:
        """Takes in that the last send did not run; earlier ones may have."""
        self._may_have_run = self._may_have_run_before_last

    def may_rerun(self) -> bool:
        """Returns whether it may run once more, though it may have run."""
        return (
            self._retryable
            and self.sends < MAX_SENDS
            and len(self._may_have_run) < self._max_targets
        )

    def may_retry(self, evidence: attempts.Evidence) -> bool:
        """Returns whether another send may follow one that failed."""
        not_run = evidence in (
            attempts.Evidence.NOT_SENT,
            attempts.Evidence.REFUSED,
        )
        if self._may_have_run and not self._retryable:
            return False
        return (not_run and self.sends < MAX_SENDS) or self.may_rerun()

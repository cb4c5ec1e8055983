"""What may follow a failed attempt."""

import enum
from typing import NamedTuple


class Evidence(enum.Enum):
    """What is known of an attempt that gave no whole answer."""

    NOT_SENT = "not sent"
    REFUSED = "refused by the target, not run"
    UNKNOWN = "sent, outcome unknown"
    CUT = "cut after part of the answer went to the caller"


class Step(enum.Enum):
    """What to do next."""

    RETRY = "retry"
    REFUSE_NOT_RUN = "refuse, not run"
    REFUSE_UNKNOWN = "refuse, unknown"
    END_CUT = "end the answer as an error"


class History(NamedTuple):
    """What has happened to a request so far.

    Attributes:
        attempts: Attempts made.
        maybe_run: Whether an attempt may have run the request.
        idempotent: Whether it may run more than once.
        deadline_ms: When it must have been answered.
    """

    attempts: int
    may_have_run: bool
    idempotent: bool
    deadline_ms: int


MAX_ATTEMPTS = 3


def next_step(history: History, evidence: Evidence, now_ms: int) -> Step:
    """Decides what follows an attempt that ended with ``evidence``."""
    if evidence is Evidence.CUT:
        return Step.END_CUT
    maybe_run = history.may_have_run or evidence is Evidence.UNKNOWN
    if maybe_run and not history.idempotent:
        return Step.REFUSE_UNKNOWN
    if history.attempts < MAX_ATTEMPTS and now_ms < history.deadline_ms:
        return Step.RETRY
    return Step.REFUSE_UNKNOWN if maybe_run else Step.REFUSE_NOT_RUN

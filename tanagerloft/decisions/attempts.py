"""Decides what follows a failed attempt."""

import enum
from typing import NamedTuple


class Evidence(enum.Enum):
    """What is known of an attempt without a complete response."""

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
    """Attempts of a request so far.

    Attributes:
        attempts: Number of attempts made.
        may_have_run: Whether an attempt may have run the request.
        idempotent: Whether it may run more than once.
        deadline_ms: Time by which it must be answered.
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
    may_have_run = history.may_have_run or evidence is Evidence.UNKNOWN
    if may_have_run and not history.idempotent:
        return Step.REFUSE_UNKNOWN
    if history.attempts < MAX_ATTEMPTS and now_ms < history.deadline_ms:
        return Step.RETRY
    return Step.REFUSE_UNKNOWN if may_have_run else Step.REFUSE_NOT_RUN

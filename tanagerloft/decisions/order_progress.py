"""Progress of an order to an engine."""

from __future__ import annotations

import enum
from typing import NamedTuple

from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

# An accepted order that no report shows to be in effect ends this long after it
# was due.
_REPORT_GRACE_MS = 1_000


class Result(enum.Enum):
    """Outcome of sending an order to an engine."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class Phase(enum.Enum):
    """Phase of an order whose execution takes time.

    ``SENT``: sent, no answer yet. ``ACCEPTED``: accepted; completed once its
    expected duration has passed. ``UNANSWERED``: no answer came, the engine may
    or may not have accepted it. ``LATE``: takes longer than expected.
    ``INHERITED``: ordered by a previous lease holder.
    """

    SENT = "sent"
    ACCEPTED = "accepted"
    UNANSWERED = "doubt"
    LATE = "late"
    INHERITED = "inherited"


class PendingOrder(NamedTuple):
    """An order whose execution takes time, in transit or in progress.

    Attributes:
        order: The order.
        expected_sequence: Number of orders that the engine had accepted before
            it.
        duration_ms: Expected duration from its acceptance.
        due_ms: When it should be done.
        phase: Its phase.
        retried: Whether it has been sent twice.
    """

    order: model_orders.Order
    expected_sequence: int
    duration_ms: int
    due_ms: int
    phase: Phase
    retried: bool

    def has_ended(
        self, report: types.TargetReport, sequence: int, observed_ms: int
    ) -> bool:
        """Returns whether a report of an idle engine shows that it has ended.

        Args:
            report: The report.
            sequence: Number of orders that the engine has accepted.
            observed_ms: Reading of the clock at the state that the report
                shows.
        """
        if (self.order.model in report.models) is self.is_load:
            return True
        if self.phase is Phase.INHERITED:
            return True
        if self.phase in (Phase.ACCEPTED, Phase.LATE):
            return observed_ms > self.due_ms + _REPORT_GRACE_MS
        # Another order was accepted instead, so this one never will be.
        return sequence > self.expected_sequence

    @property
    def is_load(self) -> bool:
        """Whether it is a load rather than an unload."""
        return self.order.verb is model_orders.Verb.LOAD

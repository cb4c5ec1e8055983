"""Progress of an order to an engine."""

from __future__ import annotations

import enum
from typing import NamedTuple

from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

# An accepted order that a report does not show is over after this time.
_REPORT_GRACE_MS = 1_000


class Result(enum.Enum):
    """What an engine answered to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class Phase(enum.Enum):
    """What is known of an order that takes time.

    ``SENT``: no answer yet. ``ACCEPTED``: counted as done when it should be.
    ``DOUBT``: no answer came. ``LATE``: takes longer than it should.
    """

    SENT = "sent"
    ACCEPTED = "accepted"
    UNANSWERED = "doubt"
    LATE = "late"


class PendingOrder(NamedTuple):
    """An order that takes time, on its way or being carried out.

    Attributes:
        order: The order.
        expected_sequence: Orders that the engine had accepted before it.
        duration_ms: Time that it takes once it has been accepted.
        due_ms: When it should be done.
        phase: What is known of it.
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
            observed_ms: When the engine was as the report tells.
        """
        if (self.order.model in report.models) is self.is_load:
            return True
        if self.phase in (Phase.ACCEPTED, Phase.LATE):
            return observed_ms > self.due_ms + _REPORT_GRACE_MS
        # Another order was accepted instead; this one never will be.
        return sequence > self.expected_sequence

    @property
    def is_load(self) -> bool:
        """Whether it is a load, and not an unload."""
        return self.order.verb is model_orders.Verb.LOAD

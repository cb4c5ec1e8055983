"""Progress of an order to an engine."""

from __future__ import annotations

import enum
from typing import NamedTuple

from tanagerloft.decisions import model_orders
from tanagerloft.fleet import types

# An accepted order that a report does not show is over after this time.
_GRACE_MS = 1_000


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
    DOUBT = "doubt"
    LATE = "late"


class Pending(NamedTuple):
    """An order that takes time, on its way or being carried out.

    Attributes:
        order: The order.
        expected: Number of orders that the engine had accepted before it.
        takes_ms: Time that it takes once it has been accepted.
        due_ms: When it should be done.
        phase: What is known of it.
        repeated: Whether it has been sent twice.
    """

    order: model_orders.Order
    expected: int
    takes_ms: int
    due_ms: int
    phase: Phase
    repeated: bool

    def is_over(
        self, report: types.TargetReport, sequence: int, seen_ms: int
    ) -> bool:
        """Returns whether a report of an idle engine shows that it has ended.

        Args:
            report: The report.
            sequence: Number of orders that the engine has accepted.
            seen_ms: When the engine was as the report tells.
        """
        if (self.order.model in report.models) is self.loads:
            return True
        if self.phase in (Phase.ACCEPTED, Phase.LATE):
            return seen_ms > self.due_ms + _GRACE_MS
        # Another order was accepted instead; this one never will be.
        return sequence > self.expected

    @property
    def loads(self) -> bool:
        """Whether it is a load, and not an unload."""
        return self.order.verb is model_orders.Verb.LOAD

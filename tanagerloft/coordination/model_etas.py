"""Estimates of when requested models are loaded, at an instance."""

from __future__ import annotations

from collections.abc import Callable

from tanagerloft.decisions import order_lease

# The holder counts as lost after this time without an answer, or after this
# many unanswered reports, whichever is longer.
_LOST_MS = 500
_LOST_REPORTS = 2.5


class ModelEtas:
    """Estimates from the holder's views, and own ones while it is lost.

    Args:
        lease: State of the lease.
        now_ms: Clock.

    Attributes:
        last_answer_ms: Time of the last answer of the holder.
    """

    def __init__(
        self, lease: order_lease.OrderLease, now_ms: Callable[[], int]
    ):
        self._lease = lease
        self._now_ms = now_ms
        self._ready_in_ms: dict[str, int] = {}
        self.last_answer_ms = 0

    def on_view(self, ready_in_ms: dict[str, int]) -> None:
        """Updates the time until each requested model is loaded."""
        self._ready_in_ms = ready_in_ms
        self.last_answer_ms = self._now_ms()

    def silence_ms(self) -> int:
        """Returns the time since the last answer of the holder."""
        return self._now_ms() - self.last_answer_ms

    def holder_is_lost(self, report_pause_ms: float) -> bool:
        """Returns whether the holder has left several reports unanswered.

        Args:
            report_pause_ms: Time between two reports.
        """
        lost_ms = max(_LOST_MS, _LOST_REPORTS * report_pause_ms)
        return self._lease.known and self.silence_ms() > lost_ms

    def ready_in_ms(self, model: str, report_pause_ms: float) -> int | None:
        """Returns the time until a model is loaded, None if unknown.

        While no holder answers, only loads in progress can finish before
        another holder gives orders.

        Args:
            model: The model.
            report_pause_ms: Time between two reports.
        """
        told_ms = self._ready_in_ms.get(model)
        if not self.holder_is_lost(report_pause_ms):
            return told_ms
        if told_ms is not None and told_ms > self.silence_ms():
            return told_ms - self.silence_ms()
        return self._lease.orders_in_ms(self._now_ms())

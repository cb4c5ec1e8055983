"""When waited-for models are expected, as an instance knows it."""

from __future__ import annotations

from collections.abc import Callable

from tanagerloft.decisions import order_lease

# Without an answer for so long, and for so many reports, the holder is lost.
_LOST_MS = 500
_LOST_REPORTS = 2.5


class ModelEtas:
    """What the holder has told of models, and what follows without it.

    Args:
        lease: The lease's state.
        now_ms: Clock.

    Attributes:
        heard_ms: When the holder last answered.
    """

    def __init__(
        self, lease: order_lease.OrderLease, now_ms: Callable[[], int]
    ):
        self._lease = lease
        self._now_ms = now_ms
        self._ready_in_ms: dict[str, int] = {}
        self.last_answer_ms = 0

    def on_view(self, ready_in_ms: dict[str, int]) -> None:
        """Takes in the time until each waited-for model will be there."""
        self._ready_in_ms = ready_in_ms
        self.last_answer_ms = self._now_ms()

    def silence_ms(self) -> int:
        """Returns the age of the holder's last word."""
        return self._now_ms() - self.last_answer_ms

    def holder_is_lost(self, report_pause_ms: float) -> bool:
        """Returns whether the holder has left several reports unanswered.

        Args:
            report_pause_ms: Time between two reports.
        """
        lost_ms = max(_LOST_MS, _LOST_REPORTS * report_pause_ms)
        return self._lease.known and self.silence_ms() > lost_ms

    def ready_in_ms(self, model: str, report_pause_ms: float) -> int | None:
        """Returns the time until a model will be there, None if not known.

        While no holder answers, only what was under way can come before
        another one gives orders.

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

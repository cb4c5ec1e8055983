"""Reports that the holder has heard, the last of each instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.coordination import messages

# An instance that has not reported for this long counts no more.
_MAX_AGE_MS = 2_000
# Least time between two counts of the instances.
_COUNT_INTERVAL_MS = 100

SendView = Callable[[messages.View], None]


class ReceivedReport(NamedTuple):
    """A report.

    Attributes:
        report: The report.
        at_ms: When it was heard.
        reply: Sends a view to its sender.
    """

    report: messages.Report
    received_ms: int
    send_view: SendView


class InstanceReports:
    """The last report of each instance.

    Attributes:
        by_instance: The reports.
    """

    def __init__(self):
        self.by_instance: dict[str, ReceivedReport] = {}
        self._count = 0
        self._counted_ms = 0

    def record(
        self, report: messages.Report, reply: SendView, now_ms: int
    ) -> None:
        """Takes in a report; a last one is forgotten with its instance."""
        if report.leaving:
            self.by_instance.pop(report.instance, None)
        else:
            self.by_instance[report.instance] = ReceivedReport(
                report, now_ms, reply
            )

    def live(self, now_ms: int) -> list[ReceivedReport]:
        """Returns the reports of instances that report."""
        oldest_ms = now_ms - _MAX_AGE_MS
        return [
            heard
            for heard in self.by_instance.values()
            if heard.received_ms >= oldest_ms
        ]

    def expired(self, now_ms: int) -> list[str]:
        """Returns the instances that report no more."""
        oldest_ms = now_ms - _MAX_AGE_MS
        return [
            instance
            for instance, heard in self.by_instance.items()
            if heard.received_ms < oldest_ms
        ]

    def live_count(self, now_ms: int) -> int:
        """Returns the number of instances that report, the holder's own too."""
        if now_ms - self._counted_ms >= _COUNT_INTERVAL_MS:
            self._counted_ms = now_ms
            self._count = len(self.live(now_ms))
        return max(1, self._count)

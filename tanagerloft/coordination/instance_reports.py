"""Last report of each instance, as received by the lease holder."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.coordination import messages

# Shortest time between two reports of an instance; loads of targets are at most
# this old.
_REPORT_MS = 100
# The report interval grows with the number of instances, so that the holder's
# work for periodic reports does not.
_REPORT_PER_INSTANCE_MS = 5
# An instance without a report for this long is no longer counted.
_MAX_AGE_MS = 2_000
# Shortest time between two counts of the instances.
_COUNT_INTERVAL_MS = 100

SendView = Callable[[messages.View], None]


def interval_ms(instances: int) -> int:
    """Returns the time between two reports of an instance.

    Args:
        instances: Number of instances.
    """
    return max(_REPORT_MS, instances * _REPORT_PER_INSTANCE_MS)


class ReceivedReport(NamedTuple):
    """A report and how to answer it.

    Attributes:
        report: The report.
        received_ms: Time of receipt.
        send_view: Sends a view to the sender.
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
        """Records a report; the last one of a process removes its instance."""
        if report.leaving:
            self.by_instance.pop(report.instance, None)
        else:
            self.by_instance[report.instance] = ReceivedReport(
                report, now_ms, reply
            )

    def live(self, now_ms: int) -> list[ReceivedReport]:
        """Returns the reports of live instances."""
        oldest_ms = now_ms - _MAX_AGE_MS
        return [
            received
            for received in self.by_instance.values()
            if received.received_ms >= oldest_ms
        ]

    def expired(self, now_ms: int) -> list[str]:
        """Returns the instances that no longer report."""
        oldest_ms = now_ms - _MAX_AGE_MS
        return [
            instance
            for instance, received in self.by_instance.items()
            if received.received_ms < oldest_ms
        ]

    def live_count(self, now_ms: int) -> int:
        """Returns the number of live instances, including the holder."""
        if now_ms - self._counted_ms >= _COUNT_INTERVAL_MS:
            self._counted_ms = now_ms
            self._count = len(self.live(now_ms))
        return max(1, self._count)

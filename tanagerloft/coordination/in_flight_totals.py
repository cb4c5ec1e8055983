"""Totals of requests in flight over all instances, updated by each report."""

from __future__ import annotations

from tanagerloft.coordination import messages


class InFlightTotals:
    """Requests in flight and pending prefill over all instances.

    Attributes:
        by_target: Requests in flight by target and model (with adapter).
    """

    def __init__(self):
        self._reports: dict[str, messages.Report] = {}
        self._in_flight: dict[str, int] = {}
        self._prefilling: dict[str, int] = {}
        self.by_target: dict[str, dict[str, int]] = {}

    def record(self, report: messages.Report) -> None:
        """Records a report, which replaces the previous one of the instance."""
        self.remove(report.instance)
        self._reports[report.instance] = report
        self._add(report, 1)

    def remove(self, instance: str) -> None:
        """Removes an instance."""
        report = self._reports.pop(instance, None)
        if report is not None:
            self._add(report, -1)

    def others_in_flight(self, instance: str) -> dict[str, int]:
        """Returns the requests of the other instances by target."""
        report = self._reports.get(instance)
        own = report.in_flight if report is not None else {}
        return _positive(
            (target_id, total - sum(own.get(target_id, {}).values()))
            for target_id, total in self._in_flight.items()
        )

    def others_prefilling(self, instance: str) -> dict[str, int]:
        """Returns pending prefill tokens of the other instances by target."""
        report = self._reports.get(instance)
        own = report.prefilling if report is not None else {}
        return _positive(
            (target_id, total - own.get(target_id, 0))
            for target_id, total in self._prefilling.items()
        )

    def by_model(self) -> dict[str, int]:
        """Returns requests in flight by model, including those for adapters."""
        total: dict[str, int] = {}
        for counts in self.by_target.values():
            for model_key, count in counts.items():
                model = model_key.partition("/")[0]
                total[model] = total.get(model, 0) + count
        return total

    def _add(self, report: messages.Report, sign: int) -> None:
        for target_id, counts in report.in_flight.items():
            _change(self._in_flight, target_id, sign * sum(counts.values()))
            sums = self.by_target.setdefault(target_id, {})
            for model_key, count in counts.items():
                _change(sums, model_key, sign * count)
            if not sums:
                del self.by_target[target_id]
        for target_id, tokens in report.prefilling.items():
            _change(self._prefilling, target_id, sign * tokens)


def _change(sums: dict[str, int], key: str, delta: int) -> None:
    total = sums.get(key, 0) + delta
    if total:
        sums[key] = total
    else:
        sums.pop(key, None)


def _positive(items) -> dict[str, int]:
    return {key: value for key, value in items if value > 0}

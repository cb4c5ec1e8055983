"""Prometheus metrics of the gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import prometheus_client
from prometheus_client import exposition

if TYPE_CHECKING:
    from tanagerloft.gateway import exchange as exchange_lib

_PREFIX = "tanagerloft_"
_LABELS = ("route", "account")
_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)
_MS_PER_S = 1_000
# Routes and accounts beyond this number share the label value "other".
_MAX_LABEL_VALUES = 200
_OTHER = "other"


class GatewayMetrics:
    """Counters and histograms by route and client account."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._label_values: set[str] = set()
        self._requests = prometheus_client.Counter(
            _PREFIX + "requests",
            "Requests by outcome.",
            (*_LABELS, "outcome"),
            registry=self.registry,
        )
        self._refusals = prometheus_client.Counter(
            _PREFIX + "refusals",
            "Requests refused before a target was chosen.",
            ("reason",),
            registry=self.registry,
        )
        self._wait_seconds = self._histogram(
            "wait_seconds", "Arrival to first send."
        )
        self._first_event_seconds = self._histogram(
            "first_event_seconds", "Arrival to first part of the answer."
        )
        self._whole_seconds = self._histogram(
            "whole_seconds", "Arrival to the end."
        )

    def gauge(
        self, name: str, help_text: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read when the metrics are exported."""
        gauge = prometheus_client.Gauge(
            _PREFIX + name, help_text, registry=self.registry
        )
        gauge.set_function(read)

    def count_refusal(self, reason: str) -> None:
        """Counts a request refused before a target was chosen."""
        self._refusals.labels(reason).inc()

    def observe(
        self, exchange: exchange_lib.Exchange, outcome: str, now_ms: int
    ) -> None:
        """Records the outcome and the times of a request that has ended."""
        context = exchange.context
        labels = (
            self._bounded_label(context.route.name),
            self._bounded_label(context.account_name or ""),
        )
        self._requests.labels(*labels, outcome).inc()
        times = context.times
        for histogram, at_ms in (
            (self._wait_seconds, times.sent_ms),
            (self._first_event_seconds, times.response_ms),
            (self._whole_seconds, now_ms),
        ):
            if at_ms is not None:
                seconds = (at_ms - times.arrived_ms) / _MS_PER_S
                histogram.labels(*labels).observe(seconds)

    def text(self) -> bytes:
        """Returns all metrics in the exposition format."""
        return exposition.generate_latest(self.registry)

    def _histogram(
        self, name: str, help_text: str
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            _PREFIX + name,
            help_text,
            _LABELS,
            buckets=_BUCKETS_S,
            registry=self.registry,
        )

    def _bounded_label(self, value: str) -> str:
        if (
            value in self._label_values
            or len(self._label_values) < _MAX_LABEL_VALUES
        ):
            self._label_values.add(value)
            return value
        return _OTHER

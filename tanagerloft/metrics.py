"""Prometheus metrics of one instance."""

import threading

import prometheus_client
from prometheus_client import exposition

from tanagerloft.decisions import attempts
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors

_LABELS = ("account", "request_class")
_WAIT_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32, 64)
_FIRST_TOKEN_BUCKETS_S = (
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    0.8,
    1.2,
    2,
    4,
    8,
    16,
    32,
)
_BETWEEN_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.07, 0.1, 0.2, 0.5, 1, 5)
_COLD_MS = 200


class Metrics:
    """Counters and histograms, by client account and request class."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        self._lock = threading.Lock()
        self._last_event_ms: dict[str, int] = {}
        self._requests = self._counter(
            "requests", "Requests by outcome.", (*_LABELS, "outcome", "run")
        )
        self._attempt_failures = self._counter(
            "attempt_failures", "Failed attempts by evidence.", ("evidence",)
        )
        self._tokens = self._counter(
            "stream_events", "Events relayed.", _LABELS
        )
        self._peer_bytes = self._counter(
            "peer_bytes", "Bytes exchanged with peers.", ("direction",)
        )
        self._wait = self._histogram(
            "queue_wait_seconds", "Wait for a target.", _WAIT_BUCKETS_S
        )
        self._cold_start = self._histogram(
            "cold_start_seconds",
            "Wait for a target when it was over 0.2 s.",
            _WAIT_BUCKETS_S,
        )
        self._first_token = self._histogram(
            "first_token_seconds",
            "Arrival to first byte of the answer.",
            _FIRST_TOKEN_BUCKETS_S,
        )
        self._between = self._histogram(
            "between_tokens_seconds",
            "Time between relayed events.",
            _BETWEEN_BUCKETS_S,
        )

    def observe_wait(
        self, context: context_lib.RequestContext, wait_ms: int
    ) -> None:
        """Records how long a request waited for a target."""
        self._wait.labels(*_labels(context)).observe(wait_ms / 1_000)
        if wait_ms >= _COLD_MS:
            self._cold_start.labels(*_labels(context)).observe(wait_ms / 1_000)

    def observe_first_byte(self, context: context_lib.RequestContext) -> None:
        """Records the beginning of an answer."""
        assert context.first_byte_ms is not None
        elapsed_ms = context.first_byte_ms - context.arrived_ms
        self._first_token.labels(*_labels(context)).observe(elapsed_ms / 1_000)

    def observe_events(
        self, context: context_lib.RequestContext, count: int, now_ms: int
    ) -> None:
        """Records stream events that arrived together."""
        if count == 0:
            return
        labels = _labels(context)
        self._tokens.labels(*labels).inc(count)
        before_ms = self._last_event_ms.get(context.request_id)
        self._last_event_ms[context.request_id] = now_ms
        if before_ms is not None:
            gap_s = (now_ms - before_ms) / 1_000 / count
            self._between.labels(*labels).observe(gap_s)

    def count_attempt_failure(self, evidence: attempts.Evidence) -> None:
        """Counts an attempt that gave no whole answer."""
        self._attempt_failures.labels(evidence.name.lower()).inc()

    def count_peer_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts a message from or to a peer."""
        self._peer_bytes.labels(direction).inc(size_bytes)

    def count_end(
        self,
        context: context_lib.RequestContext,
        refusal: errors.Refusal | None,
    ) -> None:
        """Counts the end of a request."""
        self._last_event_ms.pop(context.request_id, None)
        outcome = refusal.code if refusal else "answered"
        run = refusal.run if refusal else "run"
        self._requests.labels(*_labels(context), outcome, run).inc()

    def count_early_refusal(self, refusal: errors.Refusal) -> None:
        """Counts a refusal before anything is known of the request."""
        self._requests.labels("", "", refusal.code, refusal.run).inc()

    def gauge(self, name: str, doc: str, read) -> None:
        """Adds a gauge whose value is read when metrics are collected."""
        gauge = prometheus_client.Gauge(
            f"tanagerloft_{name}", doc, registry=self.registry
        )
        gauge.set_function(read)

    def render(self) -> tuple[str, bytes]:
        """Returns the content type and the text for a scrape."""
        data = prometheus_client.generate_latest(self.registry)
        return exposition.CONTENT_TYPE_LATEST, data

    def _counter(self, name: str, doc: str, labels: tuple[str, ...]):
        return prometheus_client.Counter(
            f"tanagerloft_{name}", doc, labels, registry=self.registry
        )

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]):
        return prometheus_client.Histogram(
            f"tanagerloft_{name}",
            doc,
            _LABELS,
            registry=self.registry,
            buckets=buckets,
        )


def _labels(context: context_lib.RequestContext) -> tuple[str, str]:
    request_class = getattr(context, "request_class", None)
    return context.account_name, request_class.name if request_class else ""

"""Controller of the health of targets: load reports and failed attempts."""

from concurrent import futures
import logging
import threading
from typing import NamedTuple

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.decisions import attempts
from tanagerloft.decisions import reconcile
from tanagerloft.decisions import routing
from tanagerloft.targets import engine
from tanagerloft.targets import errors as target_errors
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import http

logger = logging.getLogger(__name__)

_WATCHED_POLL_MS = 500
_MIN_IDLE_POLL_MS = 5_000
_POLL_PER_TARGET_MS = 100
_URGENT_POLL_MS = 50
_REPORT_MAX_AGE_POLLS = 3
_LOST_TARGET_MS = 5_000
_FAILURE_HALF_LIFE_MS = 5_000
_MAX_FAILURES = 16
_POLL_THREADS = 4


class ReceivedReport(NamedTuple):
    """Latest load report of a target.

    Attributes:
        report: The report.
        requested_ms: When it was requested.
    """

    report: reconcile.LoadReport
    requested_ms: int


class _Failures(NamedTuple):
    number: int
    at_ms: int


class HealthController:
    """Polls load reports and counts failed attempts.

    Targets that this instance uses are polled often. The poll interval of the
    others grows with their number.
    """

    def __init__(
        self,
        client: http.HttpClient,
        configuration: configuration_lib.ConfigurationController,
        clock: clock_lib.Clock,
        data_centre: str,
    ):
        self._client = client
        self._configuration = configuration
        self._clock = clock
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._latest_reports: dict[str, ReceivedReport] = {}
        self._failing_since_ms: dict[str, int] = {}
        self._failures: dict[str, _Failures] = {}
        self._missing: dict[tuple[str, str], int] = {}
        self._poll_due_ms: dict[str, int] = {}
        self._polling: set[str] = set()
        self._watched: frozenset[str] = frozenset()
        self._urgent: frozenset[str] = frozenset()
        self._executor = futures.ThreadPoolExecutor(
            _POLL_THREADS, thread_name_prefix="reports"
        )

    def tick(self) -> None:
        """Starts polls that are due."""
        now_ms = self._clock.now_ms()
        for target in self._configuration.version.inventory.targets.values():
            if target.type != "engine" or target.name in self._polling:
                continue
            if now_ms >= self._poll_due_ms.get(target.name, 0):
                self._polling.add(target.name)
                self._poll_due_ms[target.name] = now_ms + self._interval_ms(
                    target.name
                )
                self._executor.submit(self._poll, target)

    def stop(self) -> None:
        """Stops polling."""
        self._executor.shutdown(wait=True, cancel_futures=True)

    def watch(self, names: frozenset[str], urgent: frozenset[str]) -> None:
        """Sets the targets that are polled often, and those that are urgent."""
        self._watched = names
        for name in urgent - self._urgent:
            self._poll_due_ms[name] = 0
        self._urgent = urgent

    def latest_report(self, name: str) -> ReceivedReport | None:
        """Returns the latest report of a target unless it is too old."""
        latest = self._latest_reports.get(name)
        if latest is None:
            return None
        max_age_ms = _REPORT_MAX_AGE_POLLS * self._idle_interval_ms()
        if self._clock.now_ms() - latest.requested_ms > max_age_ms:
            return None
        return latest

    def is_lost(self, name: str) -> bool:
        """Returns whether a target is leaving or has long not reported."""
        latest = self.latest_report(name)
        if latest is not None:
            return latest.report.leaving
        failing_ms = self._failing_since_ms.get(name)
        if failing_ms is None:
            return name not in self._configuration.version.inventory.targets
        return self._clock.now_ms() - failing_ms > _LOST_TARGET_MS

    def idle_items(self, min_idle_ms: int) -> list[tuple[str, str]]:
        """Returns pairs of target and item that have been idle this long."""
        return [
            (target, item)
            for target, latest in list(self._latest_reports.items())
            for item, idle_ms in latest.report.idle_ms.items()
            if idle_ms >= min_idle_ms
        ]

    def candidates(self, subject: str) -> list[routing.Candidate]:
        """Returns the targets that can run ``subject`` now."""
        inventory = self._configuration.version.inventory
        if subject.startswith("route:"):
            route = inventory.routes.get(subject.removeprefix("route:"))
            names = route.targets if route else ()
            return [self._candidate(inventory.targets[name]) for name in names]
        return [
            self._candidate(target)
            for target in inventory.targets.values()
            if self._is_ready(target.name, subject)
        ]

    def record_success(self, name: str) -> None:
        """Resets the failure count of a target that has responded."""
        self._failures.pop(name, None)

    def record_failure(
        self, name: str, subject: str, evidence: attempts.Evidence
    ) -> None:
        """Counts a failed attempt against a target."""
        now_ms = self._clock.now_ms()
        with self._lock:
            if evidence is attempts.Evidence.REFUSED:
                self._missing[name, subject] = now_ms
            else:
                number = min(self._decayed(name, now_ms) + 1, _MAX_FAILURES)
                self._failures[name] = _Failures(number, now_ms)
        self._poll_due_ms[name] = 0

    def _interval_ms(self, name: str) -> int:
        if name in self._urgent:
            return _URGENT_POLL_MS
        if name in self._watched:
            scaled_ms = len(self._watched) * _POLL_PER_TARGET_MS
            return max(_WATCHED_POLL_MS, scaled_ms)
        return self._idle_interval_ms()

    def _idle_interval_ms(self) -> int:
        """Returns the poll interval of targets that are not in use."""
        count = len(self._configuration.version.inventory.targets)
        return max(_MIN_IDLE_POLL_MS, count * _POLL_PER_TARGET_MS)

    def _poll(self, target: inventory_lib.Target) -> None:
        requested_ms = self._clock.now_ms()
        report = engine.fetch_report(self._client, target)
        self._polling.discard(target.name)
        if isinstance(report, target_errors.ReportFailed):
            self._failing_since_ms.setdefault(target.name, requested_ms)
            if self._latest_reports.pop(target.name, None) is not None:
                logger.warning("%s: no report: %s", target.name, report.reason)
            return
        self._failing_since_ms.pop(target.name, None)
        previous = self._latest_reports.get(target.name)
        self._latest_reports[target.name] = ReceivedReport(report, requested_ms)
        if (
            previous is None
            or previous.report.incarnation != report.incarnation
        ):
            logger.info("%s: incarnation %s", target.name, report.incarnation)
            self._failures.pop(target.name, None)

    def _is_ready(self, name: str, subject: str) -> bool:
        latest = self.latest_report(name)
        if latest is None or latest.report.leaving:
            return False
        if latest.requested_ms <= self._missing.get((name, subject), -1):
            return False
        return latest.report.items.get(subject) == "ready"

    def _candidate(self, target: inventory_lib.Target) -> routing.Candidate:
        latest = self._latest_reports.get(target.name)
        return routing.Candidate(
            name=target.name,
            in_flight=0,
            reported_active=latest.report.active if latest else 0,
            recent_failures=self._decayed(target.name, self._clock.now_ms()),
            same_data_centre=target.data_centre == self._data_centre,
        )

    def _decayed(self, name: str, now_ms: int) -> int:
        failures = self._failures.get(name)
        if failures is None:
            return 0
        halvings = (now_ms - failures.at_ms) // _FAILURE_HALF_LIFE_MS
        return failures.number >> min(halvings, _MAX_FAILURES)

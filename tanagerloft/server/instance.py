"""An instance: starts and stops its parts."""

import json
import logging
import threading
import time

from tanagerloft import registry as registry_lib
from tanagerloft.config import settings as settings_lib
from tanagerloft.controllers import runner as runner_lib
from tanagerloft.server import application as application_lib
from tanagerloft.server import http_server
from tanagerloft.server import services as services_lib
from tanagerloft.tables import dynamo_table
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import http

logger = logging.getLogger(__name__)

FILTER_MODULES = (
    "tanagerloft.filters.identify",
    "tanagerloft.filters.authenticate",
    "tanagerloft.filters.recall",
    "tanagerloft.filters.admit",
    "tanagerloft.filters.serve",
)
_READY_POLL_S = 0.02
_HEALTH_MS = 250
_PLACEMENT_MS = 100
_MEMBERSHIP_MS = 500
_LIMITS_MS = 500


class Instance:
    """A running instance."""

    def __init__(self, settings: settings_lib.Settings):
        self._settings = settings
        client = http.HttpClient()
        table = dynamo_table.DynamoTable(
            client,
            settings.get("platform", "table_url"),
            settings.get("platform", "table_name"),
            settings.get("platform", "timeout_ms"),
            settings.get("instance", "id"),
        )
        self.services = services_lib.Services(
            settings, clock_lib.Clock(), table, client
        )
        registry = registry_lib.load(FILTER_MODULES)
        filters = [
            registry.build("filter", name, self.services)
            for name in registry.names("filter")
        ]
        self.application = application_lib.Application(
            self.services, filters, self._status
        )
        address = settings.get("instance", "address")
        self._server = http_server.HttpServer(
            address.host,
            address.port,
            self.application,
            settings.get("server", "threads"),
            settings.get("server", "max_header_bytes"),
            settings.get("server", "read_timeout_ms"),
            self.application.refuse_unread,
        )
        self._runner = runner_lib.Runner(self._loops())
        self._add_gauges()
        self.port = 0

    def start(self) -> None:
        """Starts all parts."""
        self.services.bus.start()
        self.port = self._server.start()
        host = self._settings.get("instance", "address").host
        self.services.membership.announce(f"{host}:{self.port}")
        self._runner.start()
        logger.info("serving on port %d", self.port)

    def wait_ready(self, timeout_ms: int, stop: threading.Event) -> bool:
        """Waits until requests can be admitted; returns whether they can.

        Args:
            timeout_ms: Bound on the wait.
            stop: Ends the wait when it is set.
        """
        services = self.services
        deadline_ms = services.clock.now_ms() + timeout_ms
        while services.clock.now_ms() < deadline_ms and not stop.is_set():
            if (
                services.configuration.is_ready()
                and services.limits.is_settled()
            ):
                return True
            time.sleep(_READY_POLL_S)
        return False

    def stop(self) -> None:
        """Stops gracefully: no answer under way is cut."""
        services = self.services
        logger.info("stopping, %d in flight", self.application.in_flight)
        self.application.begin_stop()
        services.membership.leaving = True
        services.membership.heartbeat()
        time.sleep(self._settings.get("server", "lame_duck_ms") / 1_000)
        drain_ms = self._settings.get("server", "drain_timeout_ms")
        if not self.application.finish_open(drain_ms):
            logger.warning("%d requests cut", self.application.in_flight)
        self._server.stop()
        self._runner.stop()
        services.limits.release_all()
        services.health.stop()
        services.bus.stop()
        logger.info("stopped")

    def _loops(self) -> list[runner_lib.Loop]:
        services = self.services
        poll_ms = self._settings.get("configuration", "poll_interval_ms")

        def loop(name: str, controller, interval_ms: int) -> runner_lib.Loop:
            wake = threading.Event()
            return runner_lib.Loop(name, controller.tick, interval_ms, wake)

        configuration = loop("configuration", services.configuration, poll_ms)
        placement = loop("placement", services.placement, _PLACEMENT_MS)
        return [
            configuration._replace(wake=services.configuration_wake),
            loop("membership", services.membership, _MEMBERSHIP_MS),
            loop("limits", services.limits, _LIMITS_MS),
            loop("health", services.health, _HEALTH_MS),
            placement._replace(wake=services.placement_wake),
        ]

    def _add_gauges(self) -> None:
        services = self.services
        metrics = services.metrics
        metrics.gauge("waiting", "Waiting requests.", services.dispatcher.depth)
        metrics.gauge(
            "in_flight", "Open requests.", lambda: self.application.in_flight
        )
        metrics.gauge(
            "configuration_version",
            "Version in force.",
            lambda: services.configuration.version.number,
        )

    def _status(self) -> bytes:
        services = self.services
        status = {
            **services.membership.identity._asdict(),
            **services.describe(),
            "state": "leaving" if services.membership.leaving else "serving",
            "in_flight": self.application.in_flight,
            "open_tokens": services.limits.open_tokens(),
            "threads": threading.active_count(),
            "keys": services.configuration.freshness().value,
            "table_age_ms": services.configuration.table_age_ms(),
            "live": services.membership.live(),
        }
        return json.dumps(status).encode()

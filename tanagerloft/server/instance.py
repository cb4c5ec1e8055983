"""An instance: builds its parts, starts and stops them."""

import json
import logging
import threading
import time
from typing import Any

from tanagerloft import metrics as metrics_lib
from tanagerloft import registry as registry_lib
from tanagerloft.config import settings as settings_lib
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.controllers import dispatch as dispatch_lib
from tanagerloft.controllers import health as health_lib
from tanagerloft.controllers import intents as intents_lib
from tanagerloft.controllers import limits as limits_lib
from tanagerloft.controllers import membership as membership_lib
from tanagerloft.controllers import placement as placement_lib
from tanagerloft.controllers import runner as runner_lib
from tanagerloft.peers import bus as bus_lib
from tanagerloft.platform import dynamo_table
from tanagerloft.platform import instances as instances_lib
from tanagerloft.platform import table as table_lib
from tanagerloft.server import application as application_lib
from tanagerloft.server import http_server
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import http
from tanagerloft.util import ids

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


class Services:
    """What filters and controllers share; each is an attribute.

    Attributes:
        settings: Settings of the process.
        clock: Clock of the process.
        client: HTTP client for targets.
        table: The platform's table.
        metrics: Metrics of the process.
        bus: Messages between instances.
        configuration: Configuration in force, and keys.
        membership: View of the other instances.
        limits: Limits of client accounts.
        intents: Records of non-idempotent requests.
        health: What is known of the targets.
        dispatcher: Waiting requests.
        placement: Replicas.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        clock: clock_lib.Clock,
        table: table_lib.Table,
        client: http.HttpClient,
    ):
        self.settings = settings
        self.clock = clock
        self.client = client
        self.table = table
        self.metrics = metrics_lib.Metrics()
        self.bus = bus_lib.Bus(
            str(settings.get("instance", "peer_address")),
            clock,
            self.metrics.count_peer_bytes,
        )
        self.placement_wake = threading.Event()
        self.configuration_wake = threading.Event()
        self.configuration = configuration_lib.ConfigurationController(
            table,
            clock,
            settings.get("configuration", "freshness_ms"),
            self.configuration_wake.set,
        )
        self.bus.handle("configuration", self.configuration.answer_peer)
        self.membership = self._build_membership()
        self.limits = limits_lib.LimitController(
            table,
            self.configuration,
            self.membership,
            self.bus,
            clock,
            settings.get("limits", "grant_timeout_ms"),
        )
        self.intents = intents_lib.IntentController(table)
        self.health = health_lib.HealthController(
            client,
            self.configuration,
            clock,
            settings.get("instance", "data_centre"),
        )
        self.dispatcher = dispatch_lib.Dispatcher(
            settings.get("queue", "max_waiting"),
            settings.get("queue", "max_per_target"),
            self.health.candidates,
            self.placement_wake.set,
        )
        self.placement = placement_lib.PlacementController(
            table,
            client,
            self.configuration,
            self.membership,
            self.health,
            self.dispatcher,
            clock,
            settings.get("placement", "keep_warm_ms"),
        )

    def _build_membership(self) -> membership_lib.MembershipController:
        settings = self.settings
        identity = membership_lib.Identity(
            instance_id=settings.get("instance", "id"),
            incarnation=ids.short_id(),
            data_centre=settings.get("instance", "data_centre"),
            address=str(settings.get("instance", "address")),
            peer_address=self.bus.address,
        )
        url = settings.get("platform", "instances_url")
        timeout_ms = settings.get("platform", "timeout_ms")
        return membership_lib.MembershipController(
            identity,
            self.table,
            lambda: instances_lib.fetch(self.client, url, timeout_ms),
            self.bus,
            self.configuration,
            self.clock,
            settings.get("limits", "lease_ms"),
            self.describe,
        )

    def describe(self) -> dict[str, Any]:
        """Returns what the instance tells of itself in its row."""
        return {
            "version": self.configuration.version.number,
            "waiting": self.dispatcher.depth(),
            "shares": self.limits.held(),
        }


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
        self.services = Services(settings, clock_lib.Clock(), table, client)
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

    def wait_ready(self, timeout_ms: int) -> bool:
        """Waits until requests can be admitted; returns whether they can."""
        services = self.services
        deadline_ms = services.clock.now_ms() + timeout_ms
        while services.clock.now_ms() < deadline_ms:
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
        services.limits.hand_back_all()
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

"""The parts of an instance that filters and controllers share."""

import threading
from typing import Any

from tanagerloft import metrics as metrics_lib
from tanagerloft.config import settings as settings_lib
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.controllers import dispatch as dispatch_lib
from tanagerloft.controllers import health as health_lib
from tanagerloft.controllers import intents as intents_lib
from tanagerloft.controllers import limits as limits_lib
from tanagerloft.controllers import membership as membership_lib
from tanagerloft.controllers import placement as placement_lib
from tanagerloft.peers import bus as bus_lib
from tanagerloft.tables import instances as instances_lib
from tanagerloft.tables import table as table_lib
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import http
from tanagerloft.util import ids


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
        self.bus.handle("configuration", self.configuration.version_for_peers)
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

"""Control path of an instance: its controllers and their messages."""

from __future__ import annotations

from collections.abc import Coroutine
import hashlib
import logging

from tanagerloft.config import settings as settings_lib
from tanagerloft.coordination import configuration as configuration_lib
from tanagerloft.coordination import engine_controller
from tanagerloft.coordination import holder as holder_lib
from tanagerloft.coordination import holder_client as holder_client_lib
from tanagerloft.coordination import lease_manager
from tanagerloft.coordination import messages
from tanagerloft.coordination import prompt_verdicts
from tanagerloft.coordination import stream_versions as stream_versions_lib
from tanagerloft.coordination import target_list
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import crash_quarantine
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import prompt_evidence as evidence_lib
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types
from tanagerloft.gateway import deployment as deployment_lib
from tanagerloft.gateway import returning_callers as returning_callers_lib
from tanagerloft.gateway import wait_queue as wait_queue_lib
from tanagerloft.net import datagrams
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import ids

logger = logging.getLogger(__name__)

# Subtracted from the time within which a withdrawn key must stop working, for
# requests in transit and for a store whose reads are up to a second old.
_KEY_REVOCATION_MARGIN_MS = 1_000
# Spread of the times at which instances read the lease row; shorter than the
# interval between two reads.
_LEASE_READ_JITTER_MS = 300


class Control:
    """Controllers of one instance and the connections between them.

    Args:
        settings: Settings of the process.
        deployment: Drivers of the deployment.
        wait_queue: Requests that wait for a model.
        crashes: Crashes of targets that this instance has seen.
        prompt_evidence: Prompt parts under these crashes.
        clock: Clock.

    Attributes:
        directory: State of the targets.
        targets: Watches the list of targets in the store.
        configuration: Watches the configuration; has the one in force.
        lease: State of the order lease.
        lease_manager: Reads and writes the lease row.
        holder_client: Sends reports to the lease holder and applies its
            answers.
        stream_versions: Software versions that began streams.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        deployment: deployment_lib.Deployment,
        wait_queue: wait_queue_lib.WaitQueue,
        returning_callers: returning_callers_lib.ReturningCallers,
        crashes: crash_quarantine.CrashCounts,
        prompt_evidence: evidence_lib.PartEvidence,
        clock: clock_lib.Clock,
    ):
        self._now_ms = now_ms = clock.now_ms
        self._wait_queue = wait_queue
        self._datagrams = datagrams.DatagramSocket(self._receive)
        name = settings.get("instance", "id")
        incarnation = ids.short_id()
        self.directory = targets_lib.TargetDirectory(
            deployment.decode_entry,
            now_ms,
            settings.get("instance", "data_centre"),
            incarnation,
            clock.wall_ms,
        )
        self.targets = target_list.TargetList(
            deployment.store,
            deployment.targets_table,
            self.directory,
            now_ms,
            wait_queue.try_all,
            settings.get("store", "drain_ms"),
        )
        withdraw_ms = settings.get("keys", "withdraw_ms")
        self.configuration = configuration_lib.ConfigurationWatcher(
            deployment.store,
            deployment.configuration_table,
            deployment.configuration_key,
            deployment.decode_configuration,
            now_ms,
            self._apply_configuration,
            withdraw_ms - _KEY_REVOCATION_MARGIN_MS,
            settings.get("store", "apply_ms"),
        )
        self.lease = order_lease.OrderLease(
            name,
            incarnation,
            str(settings.get("listen", "peers")),
            settings.get("orders", "lease_valid_ms"),
            settings.get("orders", "turn_ms"),
            bool(settings.get("orders", "first_start")),
        )
        self.holder_client = holder_client_lib.HolderClient(
            name,
            incarnation,
            self.lease,
            self.directory,
            self._datagrams.send,
            now_ms,
            lambda: wait_queue.summary(now_ms()),
            lambda: returning_callers.summary(now_ms()),
            wait_queue.try_all,
            self._reads_store,
            self._apply_holder_state,
            crashes,
            prompt_evidence,
        )
        self._prompt_verdicts = prompt_verdicts.PromptVerdicts(
            deployment.store, prompt_evidence, self.lease, now_ms
        )
        self.stream_versions = stream_versions_lib.StreamVersions(
            deployment.store,
            name,
            self.directory.table,
            self.lease,
            now_ms,
            clock.wall_ms,
        )
        self._engines = engines = engine_controller.EngineController(
            self.lease,
            self.directory,
            deployment.send_order,
            deployment.fetch_report,
            now_ms,
        )
        self._holder = holder_lib.Holder(
            self.lease,
            engines,
            self.directory,
            now_ms,
            name,
            self._make_known_state,
            self._make_target_delta,
            token_grants.Tolerance(
                settings.get("limits", "tolerated_tokens"),
                settings.get("limits", "tolerated_share"),
            ),
        )
        self.holder_client.loopback = self._loop_back_report
        digest = hashlib.sha256(name.encode()).digest()
        self.lease_manager = lease_manager.LeaseManager(
            deployment.store,
            self.lease,
            now_ms,
            lambda: self.holder_client.last_answer_ms,
            lambda: self.holder_client.renewal_overdue,
            lambda: self.holder_client.report_pause_ms,
            digest[0] * _LEASE_READ_JITTER_MS // 256,
            lease_manager.is_small(
                settings.get("instance", "cores")
                * settings.get("instance", "core_share"),
                settings.get("instance", "link_mbps"),
            ),
            self._holder,
        )
        self._holder.set_renew_soon(self.lease_manager.renew_soon)

    async def open(self, address: settings_lib.Address) -> None:
        """Opens the socket for messages of other instances."""
        await self._datagrams.open(address.host, address.port)

    def close(self) -> None:
        """Closes the socket for messages of other instances."""
        self._datagrams.close()

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """Returns the coroutines that must run as long as the process."""
        return [
            self.configuration.run(),
            self.targets.run(),
            self.lease_manager.run(),
            self.holder_client.run(),
            self._holder.run(),
            self._prompt_verdicts.run(),
            self.stream_versions.run_reads(),
            self.stream_versions.run_writes(),
        ]

    def keys_are_current(self) -> bool:
        """Returns whether the known keys are recent enough to be accepted."""
        return self.configuration.keys_are_current(self._now_ms())

    def _apply_configuration(self, configuration: types.Configuration) -> None:
        self.holder_client.configure(configuration)
        self.stream_versions.configure(configuration)
        self._holder.configure(configuration)
        # A request may wait for a model that is no longer declared.
        self._wait_queue.try_all()

    def _make_known_state(self) -> messages.KnownState:
        now_ms = self._now_ms()
        return messages.KnownState(
            configuration_version=self.configuration.version,
            configuration_age_ms=now_ms - self.configuration.proved_ms,
            store_concurrency=self._engines.states.store_concurrency.concurrency(),
            store_proven_concurrency=self._engines.states.store_concurrency.proven_concurrency,
        )

    def _make_target_delta(
        self, since_version: int
    ) -> messages.TargetListDelta:
        changed, version = self.directory.table.changes_since(since_version)
        return messages.TargetListDelta(
            changed=changed,
            since_version=since_version,
            version=version,
            known_version=self.directory.table.known_version,
            age_ms=self._now_ms() - self.targets.read_ms,
        )

    def _reads_store(self) -> bool:
        return self.lease_manager.reads_store()

    def _apply_holder_state(
        self,
        status: messages.HolderStatus,
        delta: messages.TargetListDelta,
        asked_ms: int,
    ) -> None:
        known = status.known_state
        self.configuration.on_proof(
            known.configuration_version, known.configuration_age_ms, asked_ms
        )
        self.targets.on_delta(delta, asked_ms)
        self._engines.states.store_concurrency.restore(
            known.store_concurrency, known.store_proven_concurrency
        )

    def _receive(self, data: bytes, address: tuple[str, int]) -> None:
        message = messages.decode(data)
        if isinstance(message, messages.Report):
            self._holder.on_report(
                message,
                lambda view: self._datagrams.send(
                    messages.encode(view), address
                ),
            )
        elif isinstance(message, messages.View):
            self.holder_client.on_view(message)
        else:
            logger.warning(
                "malformed datagram dropped", extra={"peer": address[0]}
            )

    def _loop_back_report(self, report: messages.Report) -> None:
        self._holder.on_report(report, self.holder_client.on_view)

"""An instance on one event loop: its components, start and graceful stop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import signal

from tanagerloft.config import settings as settings_lib
from tanagerloft.decisions import crash_quarantine
from tanagerloft.decisions import prompt_evidence
from tanagerloft.decisions import retry_budget
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import control as control_lib
from tanagerloft.gateway import crash_detector as crash_detector_lib
from tanagerloft.gateway import dependencies
from tanagerloft.gateway import deployment as deployment_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import gateway as gateway_lib
from tanagerloft.gateway import metrics as metrics_lib
from tanagerloft.gateway import returning_callers
from tanagerloft.gateway import steps as steps_lib
from tanagerloft.gateway import wait_queue as wait_queue_lib
from tanagerloft.net import caller_connection
from tanagerloft.net import connection_pool
from tanagerloft.net import errors as net_errors
from tanagerloft.net import plain_pages
from tanagerloft.net import responder as responder_lib
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

_MS_PER_S = 1_000
# Length of the accept queue: more connections than callers open in a second.
_ACCEPT_BACKLOG = 1_024
# Time from SIGTERM until idle connections are closed. The platform checks
# readiness once a second, and two failed checks end new connections.
_LAME_DUCK_MS = 2_500
# Part of the grace period reserved at its end, for the last bytes.
_STOP_MARGIN_MS = 500
_STOP_POLL_INTERVAL_MS = 50
# Timeout of the last write of the lease row, within that margin.
_LAST_WRITE_TIMEOUT_MS = 200


class Instance:
    """A running instance.

    Args:
        settings: Settings of the process.
        build: Builds the drivers of the deployment.
        clock: Clock of the process.

    Attributes:
        control: Control path.
        directory: State of the targets.
        gateway: Request path.
        wait_queue: Requests that wait for a model.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        build: deployment_lib.Build,
        clock: clock_lib.Clock,
    ):
        self._settings = settings
        self._clock = clock
        self._name = settings.get("instance", "id")
        self._pool = connection_pool.Pool(clock.now_ms)
        store = settings.get("store", "address")
        self._deployment = build(
            self._pool, (store.host, store.port), self._name
        )
        self._connections: set[caller_connection.CallerConnection] = set()
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._caller_server: asyncio.Server
        self._started_ms = clock.now_ms()
        self._crashes = crash_quarantine.CrashCounts()
        self._prompt_evidence = prompt_evidence.PartEvidence()
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self.wait_queue = wait_queue_lib.WaitQueue()
        self._returning_callers = returning_callers.ReturningCallers()
        self._metrics = metrics_lib.GatewayMetrics()
        self.control = control_lib.Control(
            settings,
            self._deployment,
            self.wait_queue,
            self._returning_callers,
            self._crashes,
            self._prompt_evidence,
            clock,
        )
        self.directory = self.control.directory
        self._build_gateway()

    def _build_gateway(self) -> None:
        now_ms = self._clock.now_ms
        deps = dependencies.Dependencies(
            codec=self._deployment.codec,
            directory=self.directory,
            pool=self._pool,
            permits=self.control.holder_client.permits,
            stream_versions=self.control.stream_versions,
            wait_queue=self.wait_queue,
            returning_callers=self._returning_callers,
            acquire_retry=self._acquire_retry,
            record_first_send=self._record_first_send,
            recheck=self._recheck,
            crash_detector=crash_detector_lib.CrashDetector(
                self._pool, self._crashes, self._prompt_evidence, now_ms
            ),
            prompt_evidence=self._prompt_evidence,
            report_soon=self.control.holder_client.report_soon,
            declares_model=self._declares_model,
            model_ready_in_ms=self.control.holder_client.model_ready_in_ms,
            holder_age_ms=self.control.holder_client.holder_age_ms,
            now_ms=now_ms,
        )
        steps = [
            steps_lib.make_identify(random.SystemRandom()),
            steps_lib.make_authenticate(self.control.keys_are_current),
        ]
        self.gateway = gateway_lib.Gateway(
            self._deployment.codec,
            self.control.configuration,
            self.control.holder_client,
            steps,
            deps,
            now_ms,
            self._metrics,
        )
        gauge = self._metrics.gauge
        gauge("open_requests", "Open requests.", self._count_open)
        gauge("waiting", "Requests waiting for a model.", self.wait_queue.count)
        gauge("holds_lease", "Whether it gives orders.", self._holds_lease)
        gauge(
            "configuration_version",
            "Version in force.",
            self._configuration_version,
        )
        gauge(
            "configuration_behind_ms",
            "Time since a newer version was announced that is not in force.",
            lambda: self.control.configuration.behind_ms,
        )
        gauge(
            "key_proof_age_ms",
            "Age of the proof of keys.",
            self._key_proof_age_ms,
        )
        gauge("targets", "Known targets.", lambda: len(self.directory.entries))
        gauge(
            "limited_targets",
            "Targets that have named a limit.",
            self.directory.feedback.limits.count,
        )

    def _count_open(self) -> int:
        return self.gateway.open_count

    def _holds_lease(self) -> int:
        return int(self.control.lease.may_order(self._clock.now_ms()))

    def _configuration_version(self) -> int:
        return self.control.configuration.version

    def _key_proof_age_ms(self) -> int:
        return self._clock.now_ms() - self.control.configuration.proved_ms

    async def run(self) -> None:
        """Serves until SIGTERM, then stops gracefully.

        Raises:
            net_errors.ListenError: An address is in use.
        """
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._listen()
        for coroutine in self.control.background_tasks():
            task = loop.create_task(coroutine)
            task.add_done_callback(_exit_on_task_failure)
            self._tasks.append(task)
        logger.info(
            "started",
            extra={
                "data_centre": self._settings.get("instance", "data_centre"),
                "callers": str(self._settings.get("listen", "callers")),
            },
        )
        await stop.wait()
        await self._stop()

    async def _listen(self) -> None:
        peers = self._settings.get("listen", "peers")
        await self.control.open(peers)
        pages = plain_pages.PageHandler(
            {
                self._deployment.ready_path: self._ready_page,
                self._deployment.metrics_path: self._metrics_page,
            },
            self._clock.now_ms,
        )
        self._caller_server = await self._serve(
            "callers", self.gateway, self._connections
        )
        ready = self._settings.get("listen", "ready")
        page_connections: set[caller_connection.CallerConnection] = set()
        await self._serve("ready", pages, page_connections)
        if self._settings.get("listen", "metrics") != ready:
            await self._serve("metrics", pages, page_connections)

    async def _serve(
        self,
        key: str,
        handler: responder_lib.Handler,
        connections: set[caller_connection.CallerConnection],
    ) -> asyncio.Server:
        address = self._settings.get("listen", key)
        try:
            return await asyncio.get_running_loop().create_server(
                lambda: caller_connection.CallerConnection(
                    handler, connections
                ),
                address.host,
                address.port,
                backlog=_ACCEPT_BACKLOG,
            )
        except OSError as error:
            raise net_errors.ListenError(str(address), str(error)) from error

    async def _stop(self) -> None:
        """Stops gracefully: lets open requests complete in the grace period."""
        grace_ms = int(self._settings.get("stop", "grace_s") * _MS_PER_S)
        deadline_ms = self._clock.now_ms() + grace_ms - _STOP_MARGIN_MS
        logger.info("stopping", extra={"open": self.gateway.open_count})
        self._stopping = True
        self.gateway.stop(deadline_ms)
        await loops.sleep(min(_LAME_DUCK_MS, grace_ms // 2))
        self.gateway.refuse_unsent()
        self.control.holder_client.report(leaving=True)
        while self._clock.now_ms() < deadline_ms:
            for connection in list(self._connections):
                connection.close_if_idle()
            if not self._connections:
                if not self._caller_server.is_serving():
                    break
                # A connection may have been accepted just before.
                self._caller_server.close()
            await loops.sleep(_STOP_POLL_INTERVAL_MS)
        self._caller_server.close()
        cut_requests = self.gateway.open_count
        self.gateway.end_all()
        with contextlib.suppress(TimeoutError):
            async with loops.timeout(_LAST_WRITE_TIMEOUT_MS):
                await self.control.lease_manager.release()
        for task in self._tasks:
            task.remove_done_callback(_exit_on_task_failure)
            task.cancel()
        self.control.close()
        logger.info("stopped", extra={"cut": cut_requests})

    def _reload(self) -> None:
        """Handles SIGHUP: changes arrive from the store, none need a reload."""
        logger.info("reload requested; addresses change only at a restart")

    def _recheck(
        self, context: context_lib.RequestContext
    ) -> errors.Refusal | None:
        if self.control.holder_client.is_quarantined(lambda: context.digest):
            return errors.CRASHES_TARGETS
        shared_parts = context.decoded.shared_parts
        part = self._prompt_evidence.barred_part(
            shared_parts, self._clock.now_ms()
        )
        if part is not None:
            logger.info(
                "request has a barred prompt part",
                extra={
                    "request": context.decoded.request_id,
                    "part": part,
                    "shared_parts": list(shared_parts),
                },
            )
            return errors.PROMPT_PART_CRASHES_TARGETS
        configuration = (
            self.control.configuration.current or context.configuration
        )
        return steps_lib.recheck_key(
            context, configuration, self.control.keys_are_current()
        )

    def _declares_model(self, service: str, model: str) -> bool:
        """Returns whether a service declares a model, or has no models."""
        configuration = self.control.configuration.current
        declared = (
            configuration.services.get(service) if configuration else None
        )
        if declared is None or not declared.has_engines:
            return True
        return model in declared.models

    def _retry_budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            get = self._settings.get
            budget = retry_budget.RetryBudget(
                get("retries", "ratio"),
                get("retries", "slack"),
                int(get("retries", "window_s") * _MS_PER_S),
                self._started_ms,
            )
            self._budgets[service] = budget
        return budget

    def _acquire_retry(self, service: str) -> retry_budget.Decision:
        return self._retry_budget(service).try_acquire(
            self.control.holder_client.peak_instances, self._clock.now_ms()
        )

    def _record_first_send(self, service: str) -> None:
        self._retry_budget(service).record_first_send(
            self.control.holder_client.peak_instances
        )

    def _ready_page(self) -> plain_pages.Page:
        if self._stopping:
            return plain_pages.Page(503, b"stopping\n")
        if (
            self.control.configuration.current is None
            or not self.control.targets.known
        ):
            return plain_pages.Page(503, b"not configured\n")
        if self.control.configuration.is_outdated:
            return plain_pages.Page(503, b"configuration outdated\n")
        return plain_pages.Page(200, b"ready\n")

    def _metrics_page(self) -> plain_pages.Page:
        return plain_pages.Page(200, self._metrics.text())


def _exit_on_task_failure(task: asyncio.Task) -> None:
    """Exits the process when a background task has ended with an error."""
    if task.cancelled():
        return
    error = task.exception()
    logger.critical("background task failed", exc_info=error)
    raise SystemExit(1)

"""Client of the lease holder: sends reports and applies its views."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.coordination import account_needs
from tanagerloft.coordination import instance_reports
from tanagerloft.coordination import messages
from tanagerloft.coordination import model_etas
from tanagerloft.coordination import request_counts
from tanagerloft.coordination import target_permits
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.decisions import account_tokens
from tanagerloft.decisions import crash_quarantine
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import prompt_evidence as evidence_lib
from tanagerloft.decisions import target_notices
from tanagerloft.fleet import types
from tanagerloft.util import loops
from tanagerloft.util import recent_maximum

logger = logging.getLogger(__name__)

# Delay before tokens and models are requested, so that the requests of a burst
# share a report.
_BATCH_DELAY_MS = 1
# A report with an unanswered need is retried after this time or after one
# millisecond per instance, whichever is longer.
_RETRY_MS = 20
# Silence of the holder after which an instance uses its share of each limit.
_SILENCE_MS = 150
# Time within which a new holder has received reports of all live instances.
_COUNT_SETTLE_MS = 2_000
# Instances that no longer report may be cut off from the holder only, and go on
# using their shares of what the fleet divides.
_PEAK_COUNT_PERIOD_MS = 300_000
# Number of reports whose send times are kept, to compute the age of answers.
_MAX_SENT_TIMES = 200


class HolderClient:
    """Sends reports to the lease holder and applies its views.

    Args:
        instance: Name of this instance.
        incarnation: Identity of this process.
        lease: State of the lease, which names the holder.
        directory: Target directory.
        send: Sends a datagram.
        now_ms: Clock.
        waiting: Returns the requests that wait for models.
        returning: Returns the refused callers that are to come back.
        changed: Called when more targets may be available for requests.
        reads_store: Returns whether this instance has just read the lease row.
        on_holder_status: Called with the holder's status, its changes of the
            target list and the send time of the report that it answers.
        crashes: Crashes of targets seen by this instance.
        prompt_evidence: Prompt parts under these crashes.

    Attributes:
        permits: Permits for targets with a limit.
        renewal_overdue: Whether the holder reports that its renewals fail.
        loopback: Delivers reports to the holder in the same process.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        lease: order_lease.OrderLease,
        directory: targets_lib.TargetDirectory,
        send: Callable[[bytes, tuple[str, int]], None],
        now_ms: Callable[[], int],
        waiting: Callable[[], list[messages.WaitingRequests]],
        returning: Callable[[], list[messages.ReturningCallers]],
        changed: Callable[[], None],
        reads_store: Callable[[], bool],
        on_holder_status: Callable[
            [messages.HolderStatus, messages.TargetListDelta, int], None
        ],
        crashes: crash_quarantine.CrashCounts,
        prompt_evidence: evidence_lib.PartEvidence,
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._lease = lease
        self._directory = directory
        self._send = send
        self._now_ms = now_ms
        self._waiting = waiting
        self._returning = returning
        self._changed = changed
        self._reads_store = reads_store
        self._on_holder_status = on_holder_status
        self._crashes = crashes
        self._prompt_evidence = prompt_evidence
        self._quarantined: frozenset[str] = frozenset()
        self._sequence = 0
        self._sent_ms: dict[int, int] = {}
        self._accounts = account_needs.AccountNeeds(_SILENCE_MS)
        self.permits = target_permits.TargetPermits(
            instance,
            directory.feedback.limits,
            now_ms,
            _SILENCE_MS,
            lambda: self._sequence + 1,
            self.report_soon,
        )
        self._request_counts = request_counts.RequestCounts()
        self._pending_report: asyncio.TimerHandle | None = None
        self._answered_sequence = 0
        self._token = 0
        self.renewal_overdue = False
        self._stepped_down = False
        self._models_seen = (0, 0)
        self._instances = 0
        self._count_settled_ms = 0
        self._peak_instances = recent_maximum.RecentMaximum(
            _PEAK_COUNT_PERIOD_MS
        )
        self._model_etas = model_etas.ModelEtas(lease, now_ms)
        self.loopback: Callable[[messages.Report], None] | None = None

    def configure(self, configuration: types.Configuration) -> None:
        """Applies the accounts of a new configuration."""
        self._accounts.configure(configuration)

    def acquire(
        self,
        account: types.Account,
        cost_tokens: float,
        done: Callable[[account_tokens.Outcome], None],
    ) -> bool:
        """Acquires tokens of an account; see ``AccountTokens.acquire``."""
        acquired = self._accounts.acquire(
            account, cost_tokens, self._sequence + 1, self._now_ms(), done
        )
        if not acquired:
            self.report_soon()
        return acquired

    def refund(self, account: types.Account, cost_tokens: float) -> None:
        """Refunds the tokens of a request that did not run."""
        self._accounts.refund(account, cost_tokens)

    def cancel(
        self,
        account: types.Account,
        done: Callable[[account_tokens.Outcome], None],
    ) -> None:
        """Cancels a wait for tokens."""
        self._accounts.cancel(account, done)

    @property
    def instances(self) -> int:
        """Number of instances, 0 if no holder has reported it."""
        return self._instances

    @property
    def peak_instances(self) -> int:
        """Largest number of instances of the last minutes, 0 if not known."""
        return self._peak_instances.value

    @property
    def report_pause_ms(self) -> int:
        """Time between two reports while no request waits."""
        return instance_reports.interval_ms(self.instances)

    @property
    def last_answer_ms(self) -> int:
        """Time of the last answer of the holder."""
        return self._model_etas.last_answer_ms

    def model_ready_in_ms(self, model: str) -> int | None:
        """Returns the time until a model is loaded, None if unknown."""
        return self._model_etas.ready_in_ms(model, self.report_pause_ms)

    def holder_age_ms(self) -> int:
        """Returns the time since the last answer of the holder."""
        return self._model_etas.silence_ms()

    def is_quarantined(self, digest: Callable[[], str]) -> bool:
        """Returns whether a request has crashed too many targets.

        Args:
            digest: Returns the digest of the request.
        """
        if not self._quarantined and self._crashes.is_empty:
            return False
        value = digest()
        return value in self._quarantined or self._crashes.is_quarantined(
            value, self._now_ms()
        )

    def count_request(self, model_key: str) -> None:
        """Counts a request for a model, or for a model with an adapter."""
        self._request_counts.record(model_key, self._now_ms())

    def report_soon(self) -> None:
        """Schedules a report within a millisecond."""
        if self._pending_report is None:
            self._pending_report = loops.call_later(
                _BATCH_DELAY_MS, self.report
            )

    async def run(self) -> None:
        """Sends reports until the process ends."""
        while True:
            urgent = self._accounts.waits or self.permits.waits
            if not urgent or self._answered_sequence < self._sequence:
                self.report()
            now_ms = self._now_ms()
            if self._stepped_down or now_ms - self.last_answer_ms > _SILENCE_MS:
                self._accounts.on_silence(now_ms)
                self.permits.on_silence(self._instances)
            if self._model_etas.holder_is_lost(self.report_pause_ms):
                # Waiting requests reconsider whether to go on waiting.
                self._changed()
            delay_ms = self.report_pause_ms
            if urgent:
                delay_ms = max(_RETRY_MS, self.instances)
            await loops.sleep(delay_ms)

    def report(self, leaving: bool = False) -> None:
        """Sends a report now.

        Args:
            leaving: Whether it is the last report of this process.
        """
        if self._pending_report is not None:
            self._pending_report.cancel()
            self._pending_report = None
        self._sequence += 1
        now_ms = self._now_ms()
        self._sent_ms[self._sequence] = now_ms
        self._sent_ms.pop(self._sequence - _MAX_SENT_TIMES, None)
        report = messages.Report(
            instance=self._instance,
            incarnation=self._incarnation,
            sequence=self._sequence,
            needs=self._accounts.needs(),
            in_flight={
                target_id: dict(counts)
                for target_id, counts in self._directory.in_flight.items()
            },
            prefilling=dict(self._directory.prefilling),
            waiting=self._waiting(),
            request_counts=self._request_counts.recent(now_ms),
            leaving=leaving,
            reads_store=self._reads_store(),
            models_seen=self._models_seen,
            crashes=self._crashes.counts_to_share(now_ms),
            part_crashes=self._prompt_evidence.crashes_to_share(
                self._sequence, now_ms
            ),
            sound_parts=self._prompt_evidence.sound_to_share(now_ms),
            barred_parts=self._prompt_evidence.barred_to_share(self._sequence),
            leaving_targets=dict(
                self._directory.feedback.notices.leaving_to_share()
            ),
            targets_version=self._directory.table.known_version,
            limits=self._directory.feedback.limits.limits_to_share(now_ms),
            permit_needs=self.permits.needs(),
            returning=self._returning(),
        )
        if self._lease.is_mine:
            if self.loopback is not None:
                self.loopback(report)
            return
        term = self._lease.term
        # An unknown holder has no address.
        if term is not None and term.address:
            host, _, port = term.address.rpartition(":")
            self._send(messages.encode(report), (host, int(port)))

    def on_view(self, view: messages.View) -> None:
        """Applies a view of the holder."""
        if view.token < self._token or view.sequence < self._answered_sequence:
            return
        now_ms = self._now_ms()
        new_term = view.token != self._token
        self._token = view.token
        self._answered_sequence = view.sequence
        self._model_etas.on_view(view.ready_in_ms)
        self._count_instances(view.instances, new_term, now_ms)
        self._quarantined = frozenset(view.quarantined)
        self._prompt_evidence.on_verdicts(
            view.sequence, view.suspect_parts, view.barred_parts
        )
        self._directory.feedback.notices.update_reported_leaving(
            frozenset(
                target_notices.TargetIncarnation(*item)
                for item in view.leaving_targets.items()
            )
        )
        self._on_status(view, now_ms)
        changed = self._directory.on_view(
            view.in_flight, view.prefilling, view.models, new_term
        )
        self._models_seen = (view.token, view.models_version)
        changed |= bool(view.ready_in_ms)
        changed |= self._directory.feedback.on_shared_limits(view.limits)
        self._accounts.on_grants(view.grants, view.sequence, now_ms)
        asked_ms = self._sent_ms.get(view.sequence, 0)
        self.permits.on_grants(view.permits, view.sequence, now_ms - asked_ms)
        if changed:
            self._changed()

    def _count_instances(
        self, instances: int, new_term: bool, now_ms: int
    ) -> None:
        """Updates the number of instances.

        A new holder has not received the reports of all instances at first, so
        the number does not fall until then.
        """
        if new_term:
            self._count_settled_ms = now_ms + _COUNT_SETTLE_MS
        if now_ms < self._count_settled_ms:
            instances = max(instances, self._instances)
        self._instances = instances
        self._peak_instances.update(instances, now_ms)
        self._accounts.set_instance_count(instances)

    def _on_status(self, view: messages.View, now_ms: int) -> None:
        status = view.status
        self.renewal_overdue = status.renewal_overdue
        # A holder that has stepped down still answers for a while, but grants
        # nothing.
        self._stepped_down = status.stepped_down
        asked_ms = self._sent_ms.get(view.sequence)
        if view.holder == self._instance or asked_ms is None:
            return
        if status.stepped_down:
            self._lease.on_reported_free(view.token, now_ms)
        self._lease.on_holder_status(
            view.token, status.lease_version, status.renewed_ago_ms, now_ms
        )
        self._on_holder_status(status, view.targets, asked_ms)

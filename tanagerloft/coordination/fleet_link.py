"""An instance's side of the fleet: reports to the holder, its views."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from tanagerloft.coordination import account_needs
from tanagerloft.coordination import messages
from tanagerloft.coordination import model_times
from tanagerloft.coordination import target_permits
from tanagerloft.coordination import targets as targets_lib
from tanagerloft.coordination import use_counts
from tanagerloft.decisions import account_tokens
from tanagerloft.decisions import crash_quarantine
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import target_notices
from tanagerloft.fleet import types
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

# Time between reports; loads of targets are at most this old.
_REPORT_MS = 100
# The more instances, the more seldom each reports, so that the holder's work
# for plain reports does not grow with their number.
_REPORT_PER_INSTANCE_MS = 5
# Asks for tokens and models are sent after this time, so that those of one
# burst travel together.
_SOON_MS = 1
# A report with a need that got no answer is sent again after this time, or
# after as many milliseconds as there are instances.
_REPEAT_MS = 20
# Without the holder for this long, an instance uses its share of limits.
_SILENCE_MS = 150
# A new holder has heard all instances that live after this time.
_COUNTING_MS = 2_000
# Reports whose time of sending is kept, to date the answers.
_SENT_KEPT = 200


class FleetLink:
    """Reports to the holder of the lease and takes in its views.

    Args:
        instance: Name of this instance.
        incarnation: Identity of this process.
        lease: The lease's state, which names the holder.
        directory: What is known of the targets.
        send: Sends a datagram.
        now_ms: Clock.
        waited: Returns what requests wait for.
        changed: Told when requests may find more targets.
        reads_store: Returns whether this instance has just read the store.
        on_told: Told the holder's proof, what it knows of the list of targets,
            and when it was asked.
        crashes: Crashes of targets that this instance has seen.

    Attributes:
        permits: Permits for targets with a limit.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        lease: order_lease.OrderLease,
        directory: targets_lib.TargetDirectory,
        send: Callable[[bytes, tuple[str, int]], None],
        now_ms: Callable[[], int],
        waited: Callable[[], list[messages.Waited]],
        changed: Callable[[], None],
        reads_store: Callable[[], bool],
        on_told: Callable[[messages.Proof, messages.ToldList, int], None],
        crashes: crash_quarantine.CrashCounts,
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._lease = lease
        self._directory = directory
        self._send = send
        self._now_ms = now_ms
        self._waited = waited
        self._changed = changed
        self._reads_store = reads_store
        self._on_told = on_told
        self._crashes = crashes
        self._barred: frozenset[str] = frozenset()
        self._sequence = 0
        self._sent_ms: dict[int, int] = {}
        self._accounts = account_needs.AccountNeeds(_SILENCE_MS)
        self.permits = target_permits.TargetPermits(
            instance,
            directory.answers.limits,
            now_ms,
            _SILENCE_MS,
            lambda: self._sequence + 1,
            self.report_soon,
        )
        self._uses = use_counts.UseCounts()
        self._soon: asyncio.TimerHandle | None = None
        self._heard_sequence = 0
        self._token = 0
        self.struggling = False
        self._given_up = False
        self._models_seen = (0, 0)
        self._told_instances = 0
        self._counted_from_ms = 0
        self._model_times = model_times.ModelTimes(lease, now_ms)
        self.loopback: Callable[[messages.Report], None] | None = None

    def configure(self, configuration: types.Configuration) -> None:
        """Takes in the accounts of a new configuration."""
        self._accounts.configure(configuration)

    def ask(
        self,
        account: types.Account,
        cost_tokens: float,
        done: Callable[[account_tokens.Outcome], None],
    ) -> bool:
        """Takes tokens of an account; see ``GrantAccount.ask``."""
        there = self._accounts.ask(
            account, cost_tokens, self._sequence + 1, self._now_ms(), done
        )
        if not there:
            self.report_soon()
        return there

    def give_back(self, account: types.Account, cost_tokens: float) -> None:
        """Returns tokens of a request that did not run."""
        self._accounts.give_back(account, cost_tokens)

    def forget(
        self,
        account: types.Account,
        done: Callable[[account_tokens.Outcome], None],
    ) -> None:
        """Ends a wait for tokens."""
        self._accounts.forget(account, done)

    @property
    def instances(self) -> int:
        """Number of instances, 0 if no holder has told it."""
        return self._told_instances

    @property
    def report_pause_ms(self) -> int:
        """Time between reports when nothing happens."""
        return max(_REPORT_MS, self.instances * _REPORT_PER_INSTANCE_MS)

    @property
    def heard_ms(self) -> int:
        """When the holder last answered."""
        return self._model_times.heard_ms

    def model_later_ms(self, model: str) -> int | None:
        """Returns the time until a model will be there, None if not known."""
        return self._model_times.later_ms(model, self.report_pause_ms)

    def holder_age_ms(self) -> int:
        """Returns the age of the holder's last word."""
        return self._model_times.silent_ms()

    def bars(self, digest: Callable[[], str]) -> bool:
        """Returns whether a request has crashed too many targets."""
        if not self._barred and self._crashes.is_empty:
            return False
        known = digest()
        return known in self._barred or self._crashes.is_quarantined(
            known, self._now_ms()
        )

    def note_use(self, subject: str) -> None:
        """Counts a request for a model."""
        self._uses.note(subject, self._now_ms())

    def report_soon(self) -> None:
        """Sends a report within a millisecond."""
        if self._soon is None:
            self._soon = loops.call_later(_SOON_MS, self.report)

    async def follow(self) -> None:
        """Reports for as long as the process runs."""
        while True:
            urgent = self._accounts.waits or self.permits.waits
            if not urgent or self._heard_sequence < self._sequence:
                self.report()
            now_ms = self._now_ms()
            if self._given_up or now_ms - self.heard_ms > _SILENCE_MS:
                self._accounts.on_silence(now_ms)
                self.permits.on_silence(self._told_instances)
            if self._model_times.holder_is_lost(self.report_pause_ms):
                # Those who wait look whether they do so in vain.
                self._changed()
            delay_ms = self.report_pause_ms
            if urgent:
                delay_ms = max(_REPEAT_MS, self.instances)
            await loops.sleep(delay_ms)

    def report(self, leaving: bool = False) -> None:
        """Sends a report now."""
        if self._soon is not None:
            self._soon.cancel()
            self._soon = None
        self._sequence += 1
        now_ms = self._now_ms()
        self._sent_ms[self._sequence] = now_ms
        self._sent_ms.pop(self._sequence - _SENT_KEPT, None)
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
            waited=self._waited(),
            used=self._uses.recent(now_ms),
            leaving=leaving,
            reads_store=self._reads_store(),
            models_seen=self._models_seen,
            crashes=self._crashes.counts_to_share(now_ms),
            leaving_targets=dict(
                self._directory.answers.notices.leaving_to_share()
            ),
            targets_known=self._directory.table.known_version,
            limits=self._directory.answers.limits.limits_to_share(now_ms),
            permit_needs=self.permits.needs(),
        )
        if self._lease.is_mine:
            if self.loopback is not None:
                self.loopback(report)
            return
        term = self._lease.term
        if term is not None:
            host, _, port = term.address.rpartition(":")
            self._send(messages.encode(report), (host, int(port)))

    def on_view(self, view: messages.View) -> None:
        """Takes in a view of the holder."""
        if view.token < self._token or view.sequence < self._heard_sequence:
            return
        now_ms = self._now_ms()
        fresh_term = view.token != self._token
        self._token = view.token
        self._heard_sequence = view.sequence
        self._model_times.on_told(view.later_ms)
        self._count_instances(view.instances, fresh_term, now_ms)
        self._barred = frozenset(view.barred)
        self._directory.answers.notices.update_reported_leaving(
            frozenset(
                target_notices.TargetIncarnation(*item)
                for item in view.leaving_targets.items()
            )
        )
        self._take_proof(view, now_ms)
        changed = self._directory.on_view(
            view.in_flight, view.prefilling, view.models, fresh_term
        )
        self._models_seen = (view.token, view.models_mark)
        changed |= bool(view.later_ms)
        changed |= self._directory.answers.on_told_limits(view.limits)
        self._accounts.on_grants(view.grants, view.sequence, now_ms)
        asked_ms = self._sent_ms.get(view.sequence, 0)
        self.permits.on_grants(view.permits, view.sequence, now_ms - asked_ms)
        if changed:
            self._changed()

    def _count_instances(
        self, instances: int, fresh_term: bool, now_ms: int
    ) -> None:
        """Takes in a count of instances, to which a new holder comes slowly."""
        if fresh_term:
            self._counted_from_ms = now_ms + _COUNTING_MS
        if now_ms < self._counted_from_ms:
            instances = max(instances, self._told_instances)
        self._told_instances = instances
        self._accounts.share(instances)

    def _take_proof(self, view: messages.View, now_ms: int) -> None:
        proof = view.proof
        self.struggling = proof.struggling
        # Such a holder answers on for a while, and grants nothing.
        self._given_up = proof.given_up
        asked_ms = self._sent_ms.get(view.sequence)
        if view.holder == self._instance or asked_ms is None:
            return
        if proof.given_up:
            self._lease.on_reported_free(view.token, now_ms)
        self._lease.on_holder_status(
            view.token, proof.lease_version, proof.renewed_ago_ms, now_ms
        )
        self._on_told(proof, view.targets, asked_ms)

"""Directory of the targets, and the choice of a target for a request."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.coordination import target_entries
from tanagerloft.coordination import target_feedback
from tanagerloft.decisions import target_notices
from tanagerloft.fleet import types
from tanagerloft.util import bounded
from tanagerloft.util import clock as clock_lib

_SYSTEM_CLOCK = clock_lib.Clock()
# Time after which a target that has reported a missing model is tried again.
# Entries of the target list lag behind by up to one poll.
_MISSING_MODEL_RETRY_MS = 100
# A failed target is tried again within seconds: most have recovered by then.
_FAILURE_HALF_LIFE_MS = 3_000
# Pending prefill tokens that weigh as much as one request in flight.
_PREFILL_TOKENS_PER_REQUEST = 250.0
# Requests in flight that one failure weighs as much as.
_REQUESTS_PER_FAILURE = 8.0
# A failure that has decayed below this weight is dropped.
_MIN_FAILURE_WEIGHT = 0.1
# Incarnations of targets whose failures are kept, the latest.
_MAX_FAILURE_RECORDS = 1_024


class Requirement(NamedTuple):
    """What a target needs to run a request.

    Attributes:
        service: Service.
        model: Model, empty on a plain service.
        adapter: Adapter, empty for none.
        software_version: Version of the target's software, None for any.
    """

    service: str
    model: str
    adapter: str
    software_version: str | None = None


class _Failures(NamedTuple):
    weight: float
    at_ms: int


class Pause(NamedTuple):
    """Time for which a target accepts no requests.

    Attributes:
        left_ms: Time until it may accept one.
        target: The target.
        lacks_permit: Whether only a permit is missing.
    """

    left_ms: int
    target: types.TargetEntry
    lacks_permit: bool


class TargetDirectory:
    """Directory of the targets, with their loads and failures.

    Args:
        decode: Decodes an entry of the target list.
        now_ms: Clock.
        data_centre: Data centre of this instance.
        incarnation: Identity of this process.
        wall_ms: Wall clock.

    Attributes:
        table: Entries of the target list.
        in_flight: Requests in flight by target and model (with adapter).
        prefilling: Prompt tokens sent and not prefilled yet, by target.
        feedback: State that targets have announced in their responses.
    """

    def __init__(
        self,
        decode: target_entries.DecodeEntry,
        now_ms: Callable[[], int],
        data_centre: str,
        incarnation: str = "",
        wall_ms: Callable[[], int] = _SYSTEM_CLOCK.wall_ms,
    ):
        self.table = target_entries.TargetEntries(decode)
        self._now_ms = now_ms
        self._data_centre = data_centre
        self._missing_models: dict[tuple[str, str], int] = {}
        self._failures: dict[target_notices.TargetIncarnation, _Failures] = {}
        self._others_in_flight: dict[str, int] = {}
        self._others_prefilling: dict[str, int] = {}
        self._shared_models: dict[str, dict[str, frozenset[str]]] = {}
        self.in_flight: dict[str, dict[str, int]] = {}
        self.prefilling: dict[str, int] = {}
        self.feedback = target_feedback.TargetFeedback(
            self.table, now_ms, wall_ms, incarnation
        )

    @property
    def entries(self) -> dict[str, types.TargetEntry]:
        """Entries of the list by target."""
        return self.table.by_target

    def on_view(
        self,
        others: dict[str, int],
        others_prefilling: dict[str, int],
        models: dict[str, dict[str, list[str]] | None],
        new_term: bool,
    ) -> bool:
        """Applies the holder's view.

        Args:
            others: Requests of other instances in flight, by target.
            others_prefilling: Their pending prefill tokens, by target.
            models: Models of targets, where these have changed.
            new_term: Whether this is the first view of a new term.

        Returns:
            Whether more targets may be available for requests.
        """
        self._others_in_flight = others
        self._others_prefilling = others_prefilling
        if new_term:
            self._shared_models.clear()
        for target_id, held in models.items():
            if held is None:
                self._shared_models.pop(target_id, None)
            else:
                self._shared_models[target_id] = {
                    name: frozenset(adapters) for name, adapters in held.items()
                }
        return bool(models)

    def loaded_models(
        self, entry: types.TargetEntry
    ) -> dict[str, frozenset[str]]:
        """Returns the models of an engine, from the holder's view if known."""
        return self._shared_models.get(entry.target_id, entry.models)

    def choose(
        self, requirement: Requirement, avoid: frozenset[str]
    ) -> types.TargetEntry | None:
        """Returns the target that should run a request, None if none can.

        The least loaded target wins. Loads include those of other instances,
        so that a burst across instances spreads, and recent failures, so that
        targets which fail or slow down get fewer requests.

        Args:
            requirement: What the target needs.
            avoid: Targets that are chosen only if there are no others.
        """
        now_ms = self._now_ms()
        best = None
        best_key: tuple | None = None
        for entry in self.entries.values():
            if not self._is_eligible(entry, requirement, now_ms):
                continue
            incarnation = target_feedback.incarnation_of(entry)
            if not self.feedback.accepts_now(incarnation, now_ms):
                continue
            load: float = self._in_flight_count(entry.target_id)
            load += (
                self.prefill_tokens(entry.target_id)
                / _PREFILL_TOKENS_PER_REQUEST
            )
            load += _REQUESTS_PER_FAILURE * self._failure_weight(
                incarnation, now_ms
            )
            is_remote = entry.data_centre != self._data_centre
            key = (
                entry.target_id in avoid
                or self.feedback.notices.is_reported_leaving(incarnation),
                load + (0.5 if is_remote else 0.0),
                entry.target_id,
            )
            if best_key is None or key < best_key:
                best, best_key = entry, key
        return best

    def pause(self, requirement: Requirement) -> Pause | None:
        """Returns the time until an eligible target may be sent a request.

        Args:
            requirement: What the target needs.

        Returns:
            The pause of the target that ends it first, None if there is no
            such target.
        """
        if not self.feedback.any_pauses:
            return None
        now_ms = self._now_ms()
        notices, limits = self.feedback.notices, self.feedback.limits
        pauses = []
        for entry in self.entries.values():
            incarnation = target_feedback.incarnation_of(entry)
            fits = self._is_eligible(entry, requirement, now_ms)
            if not fits or notices.is_leaving(incarnation):
                continue
            backoff_ms = notices.backoff_ms(incarnation, now_ms)
            left_ms = max(backoff_ms, limits.blocked_ms(incarnation, now_ms))
            lacks_permit = not backoff_ms and self.feedback.is_limited(entry)
            pauses.append(Pause(left_ms, entry, lacks_permit))
        return min(
            pauses,
            default=None,
            key=lambda pause: (pause.left_ms, pause.target.target_id),
        )

    def can_run(
        self, entry: types.TargetEntry, requirement: Requirement
    ) -> bool:
        """Returns whether a chosen target can still run a request."""
        return self.accepts(entry) and self._is_eligible(
            entry, requirement, self._now_ms()
        )

    def may_be_met(self, requirement: Requirement) -> bool:
        """Returns whether a target may come to meet a requirement.

        A model is not loaded at a target of one software version while one of
        another version holds it.
        """
        version = requirement.software_version
        if version is None or not self.table.known_version:
            return True
        any_version = requirement._replace(software_version=None)
        now_ms = self._now_ms()
        has_version = False
        for entry in self.entries.values():
            if entry.service != requirement.service or entry.leaving:
                continue
            if entry.software_version == version:
                has_version = True
            elif self._is_eligible(entry, any_version, now_ms):
                return False
        return has_version

    def accepts(self, entry: types.TargetEntry) -> bool:
        """Returns whether a chosen target still accepts requests."""
        current = self.entries.get(entry.target_id)
        if current is None or current.leaving:
            return False
        now_ms = self._now_ms()
        return self.feedback.notices.accepts_requests(
            target_feedback.incarnation_of(entry), now_ms
        )

    def is_leaving(self, entry: types.TargetEntry) -> bool:
        """Returns whether a target is leaving, as far as any instance knows."""
        return entry.leaving or self.feedback.is_leaving(entry)

    def prefill_tokens(self, target_id: str) -> int:
        """Returns the pending prefill tokens of a target."""
        own = self.prefilling.get(target_id, 0)
        return own + self._others_prefilling.get(target_id, 0)

    def note_prefill(self, target_id: str, tokens: int) -> None:
        """Counts prompt tokens sent to a target, or prefilled if negative."""
        left = self.prefilling.get(target_id, 0) + tokens
        if left > 0:
            self.prefilling[target_id] = left
        else:
            self.prefilling.pop(target_id, None)

    def note_start(self, target_id: str, model_key: str) -> None:
        """Counts a request sent to a target."""
        counts = self.in_flight.setdefault(target_id, {})
        counts[model_key] = counts.get(model_key, 0) + 1

    def note_end(self, target_id: str, model_key: str) -> None:
        """Counts the end of a request at a target."""
        counts = self.in_flight.get(target_id, {})
        left = counts.get(model_key, 0) - 1
        if left > 0:
            counts[model_key] = left
        else:
            counts.pop(model_key, None)
        if not counts:
            self.in_flight.pop(target_id, None)

    def note_failure(self, target_id: str) -> None:
        """Records that a target failed a request."""
        entry = self.entries.get(target_id)
        if entry is None:
            return
        incarnation, now_ms = (
            target_feedback.incarnation_of(entry),
            self._now_ms(),
        )
        failures = _Failures(
            self._failure_weight(incarnation, now_ms) + 1.0, now_ms
        )
        bounded.put_newest(
            self._failures, incarnation, failures, _MAX_FAILURE_RECORDS
        )

    def note_missing_model(self, target_id: str, model_key: str) -> None:
        """Records that a target reported a missing model or adapter."""
        self._missing_models[target_id, model_key] = self._now_ms()

    def _is_eligible(
        self,
        entry: types.TargetEntry,
        requirement: Requirement,
        now_ms: int,
    ) -> bool:
        """Returns whether a target can run a request, its feedback aside."""
        if entry.service != requirement.service or entry.leaving:
            return False
        version = requirement.software_version
        if version is not None and entry.software_version != version:
            return False
        return not requirement.model or self._holds(entry, requirement, now_ms)

    def _holds(
        self, entry: types.TargetEntry, requirement: Requirement, now_ms: int
    ) -> bool:
        model, adapter = requirement.model, requirement.adapter
        adapters = self.loaded_models(entry).get(model)
        if adapters is None or (adapter and adapter not in adapters):
            return False
        lacks_ms = self._missing_models.get(
            (entry.target_id, model_key(model, adapter))
        )
        return lacks_ms is None or now_ms - lacks_ms >= _MISSING_MODEL_RETRY_MS

    def _in_flight_count(self, target_id: str) -> int:
        own = sum(self.in_flight.get(target_id, {}).values())
        return own + self._others_in_flight.get(target_id, 0)

    def _failure_weight(
        self, incarnation: target_notices.TargetIncarnation, now_ms: int
    ) -> float:
        failures = self._failures.get(incarnation)
        if failures is None:
            return 0.0
        age = (now_ms - failures.at_ms) / _FAILURE_HALF_LIFE_MS
        weight = failures.weight * 0.5**age
        if weight < _MIN_FAILURE_WEIGHT:
            del self._failures[incarnation]
            return 0.0
        return weight


def model_key(model: str, adapter: str) -> str:
    """Returns the key under which a model, or an adapter of it, is counted."""
    return f"{model}/{adapter}" if adapter else model

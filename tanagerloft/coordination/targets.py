"""What an instance knows of the targets, and its choice among them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.coordination import target_entries
from tanagerloft.coordination import target_feedback
from tanagerloft.decisions import target_notices
from tanagerloft.fleet import types
from tanagerloft.util import bounded

# A target that said that it lacks a model is asked again after this time;
# entries lag behind by up to a poll.
_MISSING_MODEL_RETRY_MS = 100
# A target that failed is tried again within seconds: most are back by then.
_FAILURE_HALF_LIFE_MS = 3_000
# Prompt tokens still to be read that weigh as much as a request under way.
_PREFILL_TOKENS_PER_REQUEST = 250.0
# Requests that a failure counts for when targets are compared.
_REQUESTS_PER_FAILURE = 8.0
# A failure weighs less than this share of itself is forgotten.
_MIN_FAILURE_WEIGHT = 0.1
# Lives of targets whose failures are remembered, the latest.
_MAX_FAILURE_RECORDS = 1_024


class _Failures(NamedTuple):
    weight: float
    at_ms: int


class Pause(NamedTuple):
    """Time for which a target takes no request.

    Attributes:
        left_ms: Time until it may take one.
        target: The target.
        lacks_permit: Whether all that it takes is a permit.
    """

    left_ms: int
    target: types.TargetEntry
    lacks_permit: bool


class TargetDirectory:
    """Targets by identity.

    Args:
        decode: Decodes an entry of the platform's list.
        now_ms: Clock.
        data_centre: Where this instance runs.
        incarnation: Identity of this process.

    Attributes:
        table: The platform's list of targets.
        in_flight: Requests under way by target and model (with adapter).
        prefilling: Prompt tokens sent by target and not read yet.
        answers: What targets have said in their answers.
    """

    def __init__(
        self,
        decode: target_entries.DecodeEntry,
        now_ms: Callable[[], int],
        data_centre: str,
        incarnation: str = "",
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
            self.table, now_ms, incarnation
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
        """Takes in the holder's view.

        Args:
            others: Requests of other instances by target.
            others_prefilling: Their unread prompt tokens by target.
            models: What targets hold, where that has changed.
            new_term: Whether this is the first view of a new term.

        Returns:
            Whether requests may find more targets.
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
        """Returns what an engine holds, by the holder's word if there is."""
        return self._shared_models.get(entry.target_id, entry.models)

    def choose(
        self, service: str, model: str, adapter: str, avoid: frozenset[str]
    ) -> types.TargetEntry | None:
        """Returns the target that should run a request, None if none can.

        Load answered: bursts that many instances see at once, targets that
        fail or slow down.

        Args:
            service: Service that runs the request.
            model: Model, empty on a plain service.
            adapter: Adapter, empty for none.
            avoid: Targets that are taken only if there are no others.
        """
        now_ms = self._now_ms()
        best = None
        best_key: tuple | None = None
        for entry in self.entries.values():
            if not self._is_eligible(entry, service, model, adapter, now_ms):
                continue
            life = target_feedback.incarnation_of(entry)
            if not self.feedback.accepts_now(life, now_ms):
                continue
            load: float = self._in_flight_count(entry.target_id)
            load += (
                self.prefill_tokens(entry.target_id)
                / _PREFILL_TOKENS_PER_REQUEST
            )
            load += _REQUESTS_PER_FAILURE * self._failure_weight(life, now_ms)
            far = entry.data_centre != self._data_centre
            key = (
                entry.target_id in avoid
                or self.feedback.notices.is_reported_leaving(life),
                load + (0.5 if far else 0.0),
                entry.target_id,
            )
            if best_key is None or key < best_key:
                best, best_key = entry, key
        return best

    def pause(self, service: str, model: str, adapter: str) -> Pause | None:
        """Returns until when no target that fits may be sent a request.

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
            life = target_feedback.incarnation_of(entry)
            fits = self._is_eligible(entry, service, model, adapter, now_ms)
            if not fits or notices.is_leaving(life):
                continue
            backoff_ms = notices.backoff_ms(life, now_ms)
            left_ms = max(backoff_ms, limits.blocked_ms(life, now_ms))
            lacks_permit = not backoff_ms and self.feedback.is_limited(entry)
            pauses.append(Pause(left_ms, entry, lacks_permit))
        return min(
            pauses,
            default=None,
            key=lambda pause: (pause.left_ms, pause.target.target_id),
        )

    def can_run(
        self,
        entry: types.TargetEntry,
        service: str,
        model: str,
        adapter: str,
    ) -> bool:
        """Returns whether a target that was chosen can still run a request."""
        return self.accepts(entry) and self._is_eligible(
            entry, service, model, adapter, self._now_ms()
        )

    def accepts(self, entry: types.TargetEntry) -> bool:
        """Returns whether a target that was chosen may still be sent to."""
        current = self.entries.get(entry.target_id)
        if current is None or current.leaving:
            return False
        now_ms = self._now_ms()
        return self.feedback.notices.accepts_requests(
            target_feedback.incarnation_of(entry), now_ms
        )

    def is_leaving(self, entry: types.TargetEntry) -> bool:
        """Returns whether a target leaves, as far as anybody knows."""
        return entry.leaving or self.feedback.is_leaving(entry)

    def prefill_tokens(self, target_id: str) -> int:
        """Returns the prompt tokens that a target has still to read."""
        own = self.prefilling.get(target_id, 0)
        return own + self._others_prefilling.get(target_id, 0)

    def note_prefill(self, target_id: str, tokens: int) -> None:
        """Counts prompt tokens sent to a target, or read by it if negative."""
        left = self.prefilling.get(target_id, 0) + tokens
        if left > 0:
            self.prefilling[target_id] = left
        else:
            self.prefilling.pop(target_id, None)

    def note_start(self, target_id: str, subject: str) -> None:
        """Counts a request sent to a target."""
        counts = self.in_flight.setdefault(target_id, {})
        counts[subject] = counts.get(subject, 0) + 1

    def note_end(self, target_id: str, subject: str) -> None:
        """Counts the end of a request at a target."""
        counts = self.in_flight.get(target_id, {})
        left = counts.get(subject, 0) - 1
        if left > 0:
            counts[subject] = left
        else:
            counts.pop(subject, None)
        if not counts:
            self.in_flight.pop(target_id, None)

    def note_failure(self, target_id: str) -> None:
        """Remembers that a target failed a request."""
        entry = self.entries.get(target_id)
        if entry is None:
            return
        life, now_ms = target_feedback.incarnation_of(entry), self._now_ms()
        failures = _Failures(self._failure_weight(life, now_ms) + 1.0, now_ms)
        bounded.put_newest(self._failures, life, failures, _MAX_FAILURE_RECORDS)

    def note_missing_model(self, target_id: str, subject: str) -> None:
        """Remembers that a target said that it lacks a model or adapter."""
        self._missing_models[target_id, subject] = self._now_ms()

    def _is_eligible(
        self,
        entry: types.TargetEntry,
        service: str,
        model: str,
        adapter: str,
        now_ms: int,
    ) -> bool:
        """Returns whether a target fits, its own notices aside."""
        if entry.service != service or entry.leaving:
            return False
        return not model or self._holds(entry, model, adapter, now_ms)

    def _holds(
        self, entry: types.TargetEntry, model: str, adapter: str, now_ms: int
    ) -> bool:
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
        self, life: target_notices.TargetIncarnation, now_ms: int
    ) -> float:
        failures = self._failures.get(life)
        if failures is None:
            return 0.0
        age = (now_ms - failures.at_ms) / _FAILURE_HALF_LIFE_MS
        weight = failures.weight * 0.5**age
        if weight < _MIN_FAILURE_WEIGHT:
            del self._failures[life]
            return 0.0
        return weight


def model_key(model: str, adapter: str) -> str:
    """Returns the name under which a model, or its adapter, is counted."""
    return f"{model}/{adapter}" if adapter else model

"""What an instance knows of the targets, and its choice among them."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import NamedTuple

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.decisions import target_notices
from tanagerloft.fleet import types

logger = logging.getLogger(__name__)

# A target that said that it lacks a model is asked again after this time;
# entries lag behind by up to a poll.
_LACKS_MS = 100
# A target that failed is tried again within seconds: most are back by then.
_FAILURE_HALF_LIFE_MS = 3_000
# Prompt tokens still to be read that weigh as much as a request under way.
_TOKENS_PER_LOAD = 250.0
# Requests that a failure counts for when targets are compared.
_FAILURE_WEIGHT = 8.0
# Changed rows told in one message, so that it stays a datagram of a few
# kilobytes.
_MAX_TOLD = 20
# A failure weighs less than this share of itself is forgotten.
_FAILURE_FLOOR = 0.1

DecodeEntry = Callable[[str, bytes], types.TargetEntry | errors.MalformedEntry]


class Changes(NamedTuple):
    """What entries have changed.

    Attributes:
        members: Targets that there are, or what they are.
        models: Models that engines hold.
    """

    members: bool
    models: bool


class ToldTarget(NamedTuple):
    """What one instance tells another of a target.

    Attributes:
        target_id: Identity.
        version: Version of the row that it is known from.
        entry: What the row says, without copies of weights; None if there is
            none (any more).
    """

    target_id: str
    version: int
    entry: types.TargetEntry | None


class _Failures(NamedTuple):
    weight: float
    at_ms: int


class TargetDirectory:
    """Targets by identity.

    Args:
        decode: Decodes an entry of the platform's list.
        now_ms: Clock.
        data_centre: Where this instance runs.

    Attributes:
        base_version: Version of the store from which on this instance knows
            of all changes.
        known_version: Version up to which it does.
        entries: Entries of the platform's list.
        in_flight: Requests under way by target and model (with adapter).
        prefilling: Prompt tokens sent by target and not read yet.
        notices: What targets have said in their answers.
        malformed: Entries that could not be read.
    """

    def __init__(
        self,
        decode: DecodeEntry,
        now_ms: Callable[[], int],
        data_centre: str,
    ):
        self._decode = decode
        self._now_ms = now_ms
        self._data_centre = data_centre
        self._lacks: dict[tuple[str, str], int] = {}
        self._failures: dict[str, _Failures] = {}
        self._others: dict[str, int] = {}
        self._others_prefilling: dict[str, int] = {}
        self._told_models: dict[str, dict[str, frozenset[str]]] = {}
        self._versions: dict[str, int] = {}
        self.base_version = 0
        self.known_version = 0
        self.entries: dict[str, types.TargetEntry] = {}
        self.in_flight: dict[str, dict[str, int]] = {}
        self.prefilling: dict[str, int] = {}
        self.notices = target_notices.TargetNotices()
        self.malformed = 0

    def on_rows(self, snapshot: store_lib.Snapshot, whole: bool) -> Changes:
        """Takes in entries from the store.

        Args:
            snapshot: Rows of the list.
            whole: Whether entries that are not among them are gone.
        """
        members = models = False
        if whole:
            present = {row.key for row in snapshot.rows}
            for target_id in set(self.entries) - present:
                if self._is_news(target_id, snapshot.version):
                    members |= self._remove(target_id, "not in the list")
            self.base_version = snapshot.version
        for row in snapshot.rows:
            if not self._is_news(row.key, row.version):
                continue
            changes = self._on_row(row)
            members |= changes.members
            models |= changes.models
        self.known_version = max(self.known_version, snapshot.version)
        return Changes(members, models)

    def _on_row(self, row: store_lib.Row) -> Changes:
        if row.value is None:
            return Changes(self._remove(row.key, "removed"), False)
        entry = self._decode(row.key, row.value)
        if isinstance(entry, errors.MalformedEntry):
            self.malformed += 1
            logger.warning("target entry refused", extra=entry._asdict())
            return Changes(self._remove(row.key, "malformed"), False)
        return self._take(entry, row.version)

    def _is_news(self, target_id: str, version: int) -> bool:
        """Notes the version of a row; returns whether it was not known."""
        if version <= self._versions.get(target_id, 0):
            return False
        self._versions[target_id] = version
        return True

    def tell_since(self, version: int) -> tuple[list[ToldTarget], int]:
        """Returns what has changed since a version, the oldest first.

        Returns:
            The changes, and the version up to which they are all; 0 if this
            instance does not know what has changed since.
        """
        if version < self.base_version or not self.known_version:
            return [], 0
        if version >= self.known_version:
            return [], version
        changed = sorted(
            (row_version, target_id)
            for target_id, row_version in self._versions.items()
            if row_version > version
        )
        told = [
            ToldTarget(target_id, row_version, self.entries.get(target_id))
            for row_version, target_id in changed[:_MAX_TOLD]
        ]
        if len(told) < len(changed):
            return told, told[-1].version
        return told, self.known_version

    def on_told(
        self, told: list[ToldTarget], since_version: int, version: int
    ) -> Changes:
        """Takes in what another instance knows of the list.

        Args:
            told: Rows that have changed, by its own reading of the store.
            since_version: Version after which these are all.
            version: Version up to which they are.
        """
        if not self.known_version or since_version > self.known_version:
            return Changes(False, False)
        members = models = False
        for target_id, row_version, entry in told:
            if not self._is_news(target_id, row_version):
                continue
            if entry is None:
                members |= self._remove(target_id, "removed")
                continue
            changes = self._take(entry, row_version)
            members |= changes.members
            models |= changes.models
        self.known_version = max(self.known_version, version)
        return Changes(members, models)

    def on_view(
        self,
        others: dict[str, int],
        others_prefilling: dict[str, int],
        models: dict[str, dict[str, list[str]] | None],
        whole: bool,
    ) -> bool:
        """Takes in the holder's view.

        Args:
            others: Requests of other instances by target.
            others_prefilling: Their unread prompt tokens by target.
            models: What targets hold, where that has changed.
            whole: Whether the changes are all that this holder has told.

        Returns:
            Whether requests may find more targets.
        """
        self._others = others
        self._others_prefilling = others_prefilling
        if whole:
            self._told_models.clear()
        for target_id, held in models.items():
            if held is None:
                self._told_models.pop(target_id, None)
            else:
                self._told_models[target_id] = {
                    name: frozenset(adapters) for name, adapters in held.items()
                }
        return bool(models)

    def models_of(self, entry: types.TargetEntry) -> dict[str, frozenset[str]]:
        """Returns what an engine holds, by the holder's word if there is."""
        return self._told_models.get(entry.target_id, entry.models)

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
            if not self._could_take(entry, service, model, adapter, now_ms):
                continue
            life = life_of(entry)
            if not self.notices.takes(life, now_ms):
                continue
            load: float = self._load(entry.target_id)
            load += self.prefill_tokens(entry.target_id) / _TOKENS_PER_LOAD
            load += _FAILURE_WEIGHT * self._failing(entry.target_id, now_ms)
            far = entry.data_centre != self._data_centre
            key = (
                entry.target_id in avoid or self.notices.is_hinted(life),
                load + (0.5 if far else 0.0),
                entry.target_id,
            )
            if best_key is None or key < best_key:
                best, best_key = entry, key
        return best

    def back_off_ms(self, service: str, model: str, adapter: str) -> int | None:
        """Returns how long all targets that could run a request refuse any.

        Returns:
            The time until the first one takes requests again, None if there
            is no such target.
        """
        now_ms = self._now_ms()
        times = (
            self.notices.back_off_ms(life_of(entry), now_ms)
            for entry in self.entries.values()
            if self._could_take(entry, service, model, adapter, now_ms)
            and not self.notices.leaves(life_of(entry))
        )
        return min(times, default=None)

    def takes(self, entry: types.TargetEntry) -> bool:
        """Returns whether a target that was chosen may still be sent to."""
        current = self.entries.get(entry.target_id)
        if current is None or current.leaving:
            return False
        return self.notices.takes(life_of(entry), self._now_ms())

    def leaves(self, entry: types.TargetEntry) -> bool:
        """Returns whether a target leaves, as far as anybody knows."""
        life = life_of(entry)
        known = self.notices.leaves(life) or self.notices.is_hinted(life)
        return entry.leaving or known

    def note_leaving(self, entry: types.TargetEntry, misdirected: bool) -> None:
        """Remembers that an answer says that its target leaves.

        Args:
            entry: Target that the request was sent to.
            misdirected: Whether another target may have answered, which has
                the same address.
        """
        lives = [life_of(entry)]
        if misdirected:
            lives += [
                life_of(other)
                for other in self.entries.values()
                if (other.host, other.port) == (entry.host, entry.port)
            ]
        for life in lives:
            if self.notices.note_leaving(life):
                logger.info("target says it leaves", extra=life._asdict())

    def note_back_off(self, entry: types.TargetEntry, for_ms: int) -> None:
        """Remembers that a target wants no requests for a time."""
        life = life_of(entry)
        self.notices.note_back_off(life, for_ms, self._now_ms())
        logger.info(
            "target backs off", extra={**life._asdict(), "for_ms": for_ms}
        )

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
        now_ms = self._now_ms()
        weight = self._failing(target_id, now_ms) + 1.0
        self._failures[target_id] = _Failures(weight, now_ms)

    def note_lacks(self, target_id: str, subject: str) -> None:
        """Remembers that a target said that it lacks a model or adapter."""
        self._lacks[target_id, subject] = self._now_ms()

    def _could_take(
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
        adapters = self.models_of(entry).get(model)
        if adapters is None or (adapter and adapter not in adapters):
            return False
        lacks_ms = self._lacks.get((entry.target_id, subject(model, adapter)))
        return lacks_ms is None or now_ms - lacks_ms >= _LACKS_MS

    def _load(self, target_id: str) -> int:
        own = sum(self.in_flight.get(target_id, {}).values())
        return own + self._others.get(target_id, 0)

    def _failing(self, target_id: str, now_ms: int) -> float:
        failures = self._failures.get(target_id)
        if failures is None:
            return 0.0
        age = (now_ms - failures.at_ms) / _FAILURE_HALF_LIFE_MS
        weight = failures.weight * 0.5**age
        if weight < _FAILURE_FLOOR:
            del self._failures[target_id]
            return 0.0
        return weight

    def _take(self, entry: types.TargetEntry, version: int) -> Changes:
        before = self.entries.get(entry.target_id)
        self.entries[entry.target_id] = entry
        if before is not None and before.born_ms == entry.born_ms:
            if before.leaving != entry.leaving:
                logger.info(
                    "target leaves",
                    extra={"target": entry.target_id, "version": version},
                )
            members = before._replace(
                models=entry.models,
                in_memory=entry.in_memory,
                on_disk=entry.on_disk,
                leaves_in_ms=entry.leaves_in_ms,
            )
            return Changes(members != entry, before.models != entry.models)
        logger.info(
            "target known",
            extra={
                "target": entry.target_id,
                "service": entry.service,
                "leaving": entry.leaving,
                "version": version,
            },
        )
        self._failures.pop(entry.target_id, None)
        return Changes(True, True)

    def _remove(self, target_id: str, reason: str) -> bool:
        if self.entries.pop(target_id, None) is None:
            return False
        self._failures.pop(target_id, None)
        logger.info(
            "target gone", extra={"target": target_id, "reason": reason}
        )
        return True


def life_of(entry: types.TargetEntry) -> target_notices.Life:
    """Returns the life of a target that an entry tells of."""
    return target_notices.Life(entry.target_id, entry.born_ms)


def subject(model: str, adapter: str) -> str:
    """Returns the name under which a model, or its adapter, is counted."""
    return f"{model}/{adapter}" if adapter else model

"""Stateful fuzzing of the target list that instances read and share.

Readings of the store and messages take any time, messages are lost or
duplicated, and the store drops its history. The oracle is the history of the
list: the state of a target known to an instance never goes back in time, and an
instance that knows the list up to a version knows all changes up to it.
"""

import itertools
import os

from hypothesis import stateful
from hypothesis import strategies
import pytest

from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import target_entries
from tests.fuzz import machines
from tests.support import engines

_EXAMPLES = int(os.environ.get("EXAMPLES", "150"))
_INSTANCES = range(3)
_NAMES = ("t1", "t2", "t3")
_READY, _LEAVING, _GONE = b"ready", b"leaving", None

_instances = strategies.sampled_from(_INSTANCES)


class ListMachine(stateful.RuleBasedStateMachine):
    """A store with a target list, and three instances that follow it."""

    table_type = target_entries.TargetEntries

    def __init__(self):
        super().__init__()
        self.version = 1
        self.history: dict[str, list[tuple[int, bytes | None]]] = {
            name: [(0, _GONE)] for name in _NAMES
        }
        self.instances = [self.table_type(self._decode) for _ in _INSTANCES]
        # Version of the latest change that each instance has been seen to know,
        # by target.
        self.known_changes = [dict.fromkeys(_NAMES, 0) for _ in _INSTANCES]
        self.readings: list[tuple] = []
        self.messages: list[tuple] = []

    @staticmethod
    def _decode(key: str, value: bytes):
        return engines.entry(key, leaving=value == _LEAVING)

    @stateful.rule(
        name=strategies.sampled_from(_NAMES),
        value=strategies.sampled_from((_READY, _LEAVING, _GONE)),
    )
    def changes(self, name, value):
        self.version += 1
        if self.history[name][-1][1] != value:
            self.history[name].append((self.version, value))

    @stateful.rule(index=_instances, history_lost=strategies.booleans())
    def begins_to_read(self, index, history_lost):
        after = self.instances[index].known_version
        whole = history_lost or not after
        rows = []
        for name, history in self.history.items():
            at, value = history[-1]
            if (whole and value is not _GONE) or (not whole and at > after):
                rows.append(store_lib.Row(name, value, at))
        snapshot = store_lib.Snapshot(tuple(rows), self.version)
        self.readings.append((index, snapshot, whole))

    @stateful.precondition(lambda self: self.readings)
    @stateful.rule(data=strategies.data())
    def reading_ends(self, data):
        reading = data.draw(strategies.sampled_from(self.readings))
        self.readings.remove(reading)
        index, snapshot, whole = reading
        self.instances[index].on_rows(snapshot, whole)

    @stateful.rule(sender=_instances, receiver=_instances)
    def asks_for_changes(self, sender, receiver):
        since = self.instances[receiver].known_version
        entries, version = self.instances[sender].changes_since(since)
        self.messages.append((receiver, entries, since, version))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(data=strategies.data(), again=strategies.booleans())
    def message_arrives(self, data, again):
        message = data.draw(strategies.sampled_from(self.messages))
        if not again:
            self.messages.remove(message)
        receiver, entries, since, version = message
        self.instances[receiver].on_shared(entries, since, version)

    @stateful.rule(index=_instances)
    def restarts(self, index):
        self.instances[index] = self.table_type(self._decode)
        self.known_changes[index] = dict.fromkeys(_NAMES, 0)
        self.readings = [r for r in self.readings if r[0] != index]
        self.messages = [m for m in self.messages if m[0] != index]

    @stateful.invariant()
    def no_instance_regresses_or_misses_a_change(self):
        for index, name in itertools.product(_INSTANCES, _NAMES):
            instance = self.instances[index]
            entry = instance.by_target.get(name)
            value = _GONE
            if entry is not None:
                value = _LEAVING if entry.leaving else _READY
            history = self.history[name]
            covered = max(
                at for at, _ in history if at <= instance.known_version
            )
            oldest = max(covered, self.known_changes[index][name])
            matching = [at for at, past in history if past == value]
            assert any(at >= oldest for at in matching), (index, name)
            self.known_changes[index][name] = min(
                at for at in matching if at >= oldest
            )


class _SharesBeforeBase(target_entries.TargetEntries):
    """Flaw: shares changes since a version before its own base."""

    def changes_since(self, version):
        self.base_version = 0
        return super().changes_since(version)


class _AcceptsAnyPart(target_entries.TargetEntries):
    """Flaw: applies a partial list as if it held all changes."""

    def on_shared(self, entries, since_version, version):
        return super().on_shared(entries, 0, version + 1)


class _AcceptsOldRows(target_entries.TargetEntries):
    """Flaw: does not compare the versions of rows."""

    def _advance_version(self, target_id, version):
        self._versions[target_id] = version
        return True


def test_instances_at_a_version_know_all_changes_up_to_it():
    machines.run(ListMachine, _EXAMPLES, steps=40)


class _OldestFirst:
    """Draws the oldest waiting item."""

    def __init__(self, waiting):
        self._waiting = waiting

    def draw(self, _strategy):
        return self._waiting[0]


def _complete_reading(machine, index):
    machine.begins_to_read(index, False)
    machine.reading_ends(_OldestFirst(machine.readings))


def _deliver_message(machine):
    machine.message_arrives(_OldestFirst(machine.messages), False)
    machine.no_instance_regresses_or_misses_a_change()


def _run_target_removed_before_sender_reads(machine):
    machine.changes("t1", _READY)
    _complete_reading(machine, 0)
    machine.changes("t1", _GONE)
    _complete_reading(machine, 1)
    machine.asks_for_changes(1, 0)
    _deliver_message(machine)


def _run_change_after_message(machine):
    machine.changes("t1", _READY)
    _complete_reading(machine, 0)
    _complete_reading(machine, 1)
    machine.asks_for_changes(1, 0)
    _deliver_message(machine)
    machine.changes("t2", _READY)
    machine.no_instance_regresses_or_misses_a_change()


def _run_late_message(machine):
    machine.changes("t1", _READY)
    _complete_reading(machine, 0)
    _complete_reading(machine, 1)
    machine.changes("t1", _LEAVING)
    _complete_reading(machine, 1)
    machine.asks_for_changes(1, 0)
    machine.changes("t1", _READY)
    _complete_reading(machine, 0)
    machine.no_instance_regresses_or_misses_a_change()
    _deliver_message(machine)


@pytest.mark.parametrize(
    ("flawed", "steps"),
    [
        (_SharesBeforeBase, _run_target_removed_before_sender_reads),
        (_AcceptsAnyPart, _run_change_after_message),
        (_AcceptsOldRows, _run_late_message),
    ],
)
def test_oracle_detects_injected_flaw(flawed, steps):
    # Scripted: whether a random search finds the rarest flaw depends on the
    # hash seed of the run.
    class _FlawedMachine(ListMachine):
        table_type = flawed

    steps(ListMachine())
    with pytest.raises(AssertionError):
        steps(_FlawedMachine())

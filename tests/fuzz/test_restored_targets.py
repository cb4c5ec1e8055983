"""Stateful fuzzing of the target list around restores of the store.

Targets are ready, leave and are gone, and start again under the same name. The
store comes back from copies at any time, targets write their rows again later,
and instances read the list and share it. The oracle knows the true history of
each target: an instance that knew that an incarnation leaves or is gone never
takes it for ready again, and instances know the true list once all rows are
written and read.
"""

import os
from typing import NamedTuple

from hypothesis import stateful
from hypothesis import strategies
import pytest

from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import target_entries
from tanagerloft.util import store_versions
from tests.fuzz import machines
from tests.support import engines

_EXAMPLES = int(os.environ.get("EXAMPLES", "150"))
_INSTANCES = range(2)
_NAMES = ("t1", "t2")
_READY, _LEAVING, _GONE = b"ready", b"leaving", None

_instances = strategies.sampled_from(_INSTANCES)
_names = strategies.sampled_from(_NAMES)


class _State(NamedTuple):
    born_ms: int
    phase: bytes | None


class _Store(NamedTuple):
    era: int
    version: int
    rows: dict[str, tuple[int, _State]]


def _decode(key: str, value: bytes):
    born, _, phase = value.partition(b" ")
    return engines.entry(
        key, leaving=phase == _LEAVING, born_ms=int(born.decode())
    )


class RestoreMachine(stateful.RuleBasedStateMachine):
    """A store with copies, two targets and two instances."""

    table_type = target_entries.TargetEntries

    def __init__(self):
        super().__init__()
        self.store = _Store(0, 0, {})
        self.copies: list[_Store] = []
        self.true_states = {name: _State(1, _READY) for name in _NAMES}
        self.unwritten: set[str] = set()
        self.instances = [self.table_type(_decode) for _ in _INSTANCES]
        self.needs_scan = [True for _ in _INSTANCES]
        # Incarnations that an instance has known to leave or to be gone.
        self.ended: list[set[tuple[str, int]]] = [set() for _ in _INSTANCES]
        self.newest_born_ms = [dict.fromkeys(_NAMES, 0) for _ in _INSTANCES]
        for name in _NAMES:
            self._write(name)
        for index in _INSTANCES:
            self.reads(index)

    def _write(self, name: str) -> None:
        self.unwritten.discard(name)
        version = self.store.version + 1
        rows = {**self.store.rows, name: (version, self.true_states[name])}
        self.store = _Store(self.store.era, version, rows)

    @stateful.rule(name=_names)
    def target_goes_on(self, name):
        """A target leaves, is gone or starts again, and writes its row."""
        born_ms, phase = self.true_states[name]
        following = {
            _READY: _State(born_ms, _LEAVING),
            _LEAVING: _State(born_ms, _GONE),
            _GONE: _State(born_ms + 1, _READY),
        }
        self.true_states[name] = following[phase]
        self._write(name)

    @stateful.rule(name=_names)
    def target_writes_its_row_again(self, name):
        self._write(name)

    @stateful.rule()
    def store_is_copied(self):
        self.copies.append(self.store)

    @stateful.precondition(lambda self: self.copies)
    @stateful.rule(data=strategies.data())
    def store_is_restored(self, data):
        copy = data.draw(strategies.sampled_from(self.copies))
        self._restore(copy)

    def _restore(self, copy: _Store) -> None:
        self.store = copy._replace(era=self.store.era + 1)
        self.unwritten = set(_NAMES)

    @stateful.rule(index=_instances)
    def history_is_lost(self, index):
        self.needs_scan[index] = True

    @stateful.rule(index=_instances)
    def reads(self, index):
        instance, store = self.instances[index], self.store
        era, number = store_versions.split_era(instance.known_version)
        scans = (
            self.needs_scan[index] or era != store.era or number > store.version
        )
        is_first_of_era = instance.is_of_later_era(
            store_lib.Snapshot((), store.version, store.era)
        )
        if scans and not is_first_of_era and self.unwritten:
            # Targets have written their rows before the next scan.
            return
        rows = []
        for name, (version, state) in store.rows.items():
            value = None
            if state.phase is not _GONE:
                value = b"%d %b" % (state.born_ms, state.phase)
            if (scans and value) or (not scans and version > number):
                rows.append(store_lib.Row(name, value, version))
        snapshot = store_lib.Snapshot(tuple(rows), store.version, store.era)
        # The first scan of an era is followed by another one.
        self.needs_scan[index] = instance.is_of_later_era(snapshot)
        instance.on_rows(snapshot, scans)

    @stateful.rule(sender=_instances, receiver=_instances)
    def shares(self, sender, receiver):
        since = self.instances[receiver].known_version
        changed, version = self.instances[sender].changes_since(since)
        self.instances[receiver].on_shared(changed, since, version)

    @stateful.invariant()
    def no_ended_incarnation_is_ready_again(self):
        for index, name in ((i, n) for i in _INSTANCES for n in _NAMES):
            entry = self.instances[index].by_target.get(name)
            ended, newest_born_ms = (
                self.ended[index],
                self.newest_born_ms[index],
            )
            if entry is None:
                ended.add((name, newest_born_ms[name]))
                continue
            if entry.leaving:
                ended.add((name, entry.born_ms))
            else:
                assert (name, entry.born_ms) not in ended, (index, name)
            assert entry.born_ms >= newest_born_ms[name]
            newest_born_ms[name] = entry.born_ms

    def teardown(self):
        for name in self.unwritten.copy():
            self._write(name)
        for index in _INSTANCES:
            self.reads(index)
            self.reads(index)
            known = {
                name: (entry.born_ms, entry.leaving)
                for name, entry in self.instances[index].by_target.items()
            }
            assert known == {
                name: (state.born_ms, state.phase == _LEAVING)
                for name, state in self.true_states.items()
                if state.phase is not _GONE
            }, index


class _IgnoresEras(target_entries.TargetEntries):
    """Flaw: compares versions without their eras."""

    def on_rows(self, snapshot, complete):
        return super().on_rows(snapshot._replace(era=0), complete)


class _AppliesCopiedRows(target_entries.TargetEntries):
    """Flaw: takes each row of a restored store for a later one."""

    def _may_be_copied(self, _row):
        return False


class _RemovesWhatTheCopyLacks(target_entries.TargetEntries):
    """Flaw: forgets that a target is gone when the copy still has it."""

    def _advance_version(self, target_id, version):
        advances = super()._advance_version(target_id, version)
        self._highest_numbers.pop(target_id, None)
        return advances


def test_targets_that_left_stay_so_and_the_list_is_right_in_the_end():
    machines.run(RestoreMachine, _EXAMPLES, steps=40)


def _run_leaving_after_restore(machine: RestoreMachine) -> None:
    machine.store_is_copied()
    for _ in range(5):
        machine.target_writes_its_row_again("t2")
    for index in _INSTANCES:
        machine.reads(index)
    machine._restore(machine.copies[0])
    machine.target_goes_on("t1")
    machine.teardown()


def _run_copy_with_a_target_that_left(machine: RestoreMachine) -> None:
    machine.store_is_copied()
    machine.target_goes_on("t1")
    machine.reads(0)
    machine.no_ended_incarnation_is_ready_again()
    machine._restore(machine.copies[0])
    machine.reads(0)
    machine.no_ended_incarnation_is_ready_again()


@pytest.mark.parametrize(
    ("flawed", "steps"),
    [
        (_IgnoresEras, _run_leaving_after_restore),
        (_AppliesCopiedRows, _run_copy_with_a_target_that_left),
        (_RemovesWhatTheCopyLacks, _run_copy_with_a_target_that_left),
    ],
)
def test_oracle_detects_injected_flaw(flawed, steps):
    class _FlawedMachine(RestoreMachine):
        table_type = flawed

    steps(RestoreMachine())
    with pytest.raises(AssertionError):
        steps(_FlawedMachine())

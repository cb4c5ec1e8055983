"""Stateful fuzzing of limits: no window above burst + rate * window.

Instances charge and settle requests while they, the table and connections
fail. The oracle is one ideal token bucket over the tokens of all instances. For
longer runs: ``make fuzz EXAMPLES=2000``. Each flaw in ``_FLAWS`` is a mutation
of the code that the same state machine must detect.
"""

import os
from unittest import mock

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from tanagerloft.bench import local
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.controllers import grants as grants_lib
from tanagerloft.decisions import account_shares
from tanagerloft.decisions import bucket as bucket_lib
from tanagerloft.decisions import membership
from tanagerloft.decisions import shares
from tests.fuzz import machines

_RATE = 1_000
_BURST = 4_000
_INSTANCE_COUNT = 4
_LEASE_MS = 20_000
_ACCOUNT = inventory_lib.Account("account", _RATE, _BURST)
_EXAMPLES = int(os.environ.get("EXAMPLES", "40"))
_STEPS = 40
# More than the attempts of platform.table.commit_resolved.
_ALL_ATTEMPTS = 5
_FATES = ("lost answer", "lost", "late")

_instances = strategies.integers(0, _INSTANCE_COUNT - 1)


def _inventory():
    return inventory_lib.empty()._replace(
        accounts={_ACCOUNT.name: _ACCOUNT},
        classes={"default": inventory_lib.RequestClass("default", 1_000)},
    )


class LimitMachine(stateful.RuleBasedStateMachine):
    """Instances charge requests while instances, table and links fail."""

    def __init__(self):
        super().__init__()
        self.fleet = local.LocalFleet(_INSTANCE_COUNT, _inventory(), _LEASE_MS)
        self.open = []
        self.admitted = []
        self.fleet.run(6_000)

    def _node(self, number):
        return self.fleet.nodes.get(f"instance-{number}")

    def _charge(self, node, tokens):
        charge = node.limits.charge(_ACCOUNT, tokens)
        if not isinstance(charge, grants_lib.Charge):
            return False
        self.open.append((node, charge, self.fleet.clock.now_ms()))
        return True

    def _settle(self, index, part):
        node, charge, at_ms = self.open.pop(index)
        used = charge.cost_tokens * part // 10
        if self.fleet.nodes.get(node.instance_id) is not node:
            used = charge.cost_tokens
        else:
            node.limits.settle(charge, used)
        self.admitted.append((at_ms, used))

    @stateful.rule(number=_instances, tokens=strategies.integers(1, _BURST))
    def charge(self, number, tokens):
        if self._node(number) is not None:
            self._charge(self._node(number), tokens)

    @stateful.rule()
    def charge_all_available(self):
        for node in self.fleet.nodes.values():
            tokens = _BURST
            while tokens > 0:
                if not self._charge(node, tokens):
                    tokens //= 2

    @stateful.rule(
        index=strategies.integers(0, 20), part=strategies.integers(0, 10)
    )
    def settle(self, index, part):
        if self.open:
            self._settle(index % len(self.open), part)

    @stateful.rule(
        count=strategies.integers(1, 12), part=strategies.sampled_from((0, 10))
    )
    def settle_oldest(self, count, part):
        for _ in range(min(count, len(self.open))):
            self._settle(0, part)

    @stateful.rule(
        seconds=strategies.integers(1, 5), count=strategies.integers(1, 12)
    )
    def settle_between_rounds(self, seconds, count):
        self.charge_all_available()
        self.fleet.run(seconds * 1_000)
        self.charge_all_available()
        self.settle_oldest(count, 0)
        self.charge_all_available()

    @stateful.rule(number=_instances)
    def only_one_ticks(self, number):
        self.fleet.clock.advance(2_000)
        if self._node(number) is not None:
            self._node(number).tick()

    @stateful.rule(steps=strategies.integers(1, 12))
    def pass_time(self, steps):
        self.fleet.run(steps * 500)

    @stateful.rule(seconds=strategies.integers(10, 40))
    def pass_much_time(self, seconds):
        self.fleet.run(seconds * 1_000)

    @stateful.rule(number=_instances)
    def kill(self, number):
        if self._node(number) is not None:
            self.fleet.kill(f"instance-{number}")

    @stateful.rule(number=_instances)
    def report_gone(self, number):
        name = f"instance-{number}"
        if name not in self.fleet.nodes:
            self.fleet.gone.add(name)

    @stateful.rule(number=_instances)
    def start(self, number):
        name = f"instance-{number}"
        self.fleet.start(name)

    @stateful.rule(number=_instances)
    def stop_gracefully(self, number):
        node = self._node(number)
        if node is not None:
            node.limits.release_all()
            self.fleet.kill(node.instance_id)

    @stateful.rule(number=_instances)
    def kill_for_good(self, number):
        if self._node(number) is not None:
            self.charge_all_available()
            self.fleet.kill(f"instance-{number}")
            self.fleet.gone.add(f"instance-{number}")
            self.fleet.run(2_500)
            self.charge_all_available()

    @stateful.rule(number=_instances, seconds=strategies.integers(1, 50))
    def freeze(self, number, seconds):
        name = f"instance-{number}"
        node = self.fleet.nodes.pop(name, None)
        if node is None:
            return
        self.fleet.network.dead.add(node.bus.address)
        self.fleet.run(seconds * 1_000)
        self.fleet.network.dead.discard(node.bus.address)
        self.fleet.nodes[name] = node
        self.charge_all_available()

    @stateful.rule(number=_instances, fate=strategies.sampled_from(_FATES))
    def lose_hand_back(self, number, fate):
        node = self._node(number)
        if node is not None:
            node.table.next_writes = [fate] * _ALL_ATTEMPTS
            node.limits.release_all()
            node.table.next_writes = []
            node.tick()

    @stateful.rule(
        number=_instances,
        live=strategies.sets(_instances, max_size=_INSTANCE_COUNT),
    )
    def wrong_view(self, number, live):
        """Gives an instance an arbitrary view of which instances are live."""
        node = self._node(number)
        if node is not None:
            names = {f"instance-{n}" for n in live | {number}}
            node.membership.live = lambda: tuple(sorted(names))

    @stateful.rule(down=strategies.booleans())
    def outage(self, down):
        self.fleet.shared.down = down

    @stateful.rule(number=_instances, cut=strategies.booleans())
    def cut_from_table(self, number, cut):
        if cut:
            self.fleet.shared.cut.add(f"instance-{number}")
        else:
            self.fleet.shared.cut.clear()

    @stateful.rule(one=_instances, other=_instances, cut=strategies.booleans())
    def cut_peers(self, one, other, cut):
        if not cut:
            self.fleet.network.cut.clear()
        elif self._node(one) and self._node(other):
            ends = (self._node(one), self._node(other))
            self.fleet.network.cut.add(
                frozenset(node.bus.address for node in ends)
            )

    @stateful.rule(
        number=_instances,
        fate=strategies.sampled_from(_FATES),
        count=strategies.integers(1, 6),
    )
    def lose_answers(self, number, fate, count):
        node = self._node(number)
        if node is not None:
            node.table.next_writes = [fate] * count

    @stateful.rule()
    def late_writes_land(self):
        self.fleet.shared.land_late()

    @stateful.invariant()
    def bound_holds(self):
        """Checks every window with a leaky bucket of rate and burst."""
        open_charges = [(at, c.cost_tokens) for _, c, at in self.open]
        level, last_ms = 0.0, 0
        for at_ms, tokens in sorted(self.admitted + open_charges):
            level = max(0.0, level - (at_ms - last_ms) * _RATE / 1_000) + tokens
            last_ms = at_ms
            assert level <= _BURST, (level, at_ms)


LimitMachine.TestCase.settings = settings(
    machines.SETTINGS, max_examples=_EXAMPLES, stateful_step_count=_STEPS
)
TestLimits = LimitMachine.TestCase


def _ignores_lease_expiry(self, now_ms):
    """Flaw: shares are used after their lease has expired."""


def _fills_acquired_shares(self, write, outcome, now_ms):
    """Flaw: shares acquired from a dead instance come with full tokens."""
    if write.change.acquired:
        tokens = self._size(len(write.change.acquired)).cap_micro_tokens
        change = write.change._replace(acquired_micro_tokens=tokens)
        write = write._replace(change=change)
    _real_on_written(self, write, outcome, now_ms)


def _returns_everything(self, reservation, used, now_ms):
    """Flaw: settlement returns all unused tokens."""
    self._refill(now_ms)
    unused = reservation.micro_tokens - used
    self._set_level(self._level_micro + unused)


def _raises_no_peaks(self, sequence, micro_tokens):
    """Flaw: a settlement does not raise the past levels for later ones."""
    self._record_peak()


def _trusts_silence(self, now_ms):
    """Flaw: an instance silent for 10 s is considered ended."""
    return {
        name: seen.row.revision
        for name, seen in self._seen.items()
        if name != self._me and now_ms - seen.changed_ms > 10_000
    }


_real_on_written = account_shares.AccountShares.on_written
_FLAWS = {
    "lease not checked": (
        account_shares.AccountShares,
        "_drop_if_lapsed",
        _ignores_lease_expiry,
    ),
    "acquired shares full": (
        account_shares.AccountShares,
        "on_written",
        _fills_acquired_shares,
    ),
    "settled in full": (
        bucket_lib.TokenBucket,
        "settle",
        _returns_everything,
    ),
    "settled one by one": (
        bucket_lib.TokenBucket,
        "_raise_peaks",
        _raises_no_peaks,
    ),
    "silence is considered an end": (
        membership.FleetView,
        "lapsed",
        _trusts_silence,
    ),
}


@pytest.mark.parametrize("flaw", _FLAWS)
def test_machine_finds_the_flaw(flaw):
    with mock.patch.object(*_FLAWS[flaw]):
        machines.expect_failure(LimitMachine, _STEPS)


def test_shares_sum_to_the_limit():
    whole = shares.size(shares.SLOTS, _RATE, _BURST, local.GRANT_MS)
    one = shares.size(1, _RATE, _BURST, local.GRANT_MS)
    assert one.cap_micro_tokens * shares.SLOTS <= whole.cap_micro_tokens
    assert one.rate_milli_per_s * shares.SLOTS <= _RATE * 1_000

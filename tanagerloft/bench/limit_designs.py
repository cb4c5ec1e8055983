"""Designs of a fleet-wide limit, to be compared side by side."""

from collections.abc import Callable
from typing import Protocol

from tanagerloft.bench import local
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.controllers import grants as grants_lib
from tanagerloft.decisions import bucket as bucket_lib

RATE_TOKENS_PER_S = 10_000
BURST_TOKENS = 40_000
STEP_MS = 500
_MOVE_EVERY_MS = 10_000
_DEMAND_DECAY = 0.5
_TAKEOVER_MS = 5_000
_MICRO = 1_000_000
_ACCOUNT = inventory_lib.Account("account", RATE_TOKENS_PER_S, BURST_TOKENS)


class Design(Protocol):
    """A way to keep one account's limit over a fleet."""

    clock: local.clock_lib.ManualClock

    def charge(self, instance: int, cost_tokens: int) -> bool:
        """Charges a request at an instance; returns whether it is admitted."""

    def pass_time(self, duration_ms: int) -> None:
        """Lets time pass."""

    def kill(self, instance: int) -> None:
        """Ends an instance without notice."""

    def set_table_down(self, down: bool) -> None:
        """Makes the table unreachable for all, or reachable again."""

    def usage(self) -> tuple[int, int, int]:
        """Returns table reads, table writes and bytes between instances."""


def make_bucket(share: float, grant_ms: int, now_ms: int):
    """Returns a full bucket over a share of the limit."""
    bucket = bucket_lib.TokenBucket(now_ms)
    reserve = RATE_TOKENS_PER_S * grant_ms * 1_000
    cap = int((BURST_TOKENS * _MICRO - reserve) * share)
    bucket.resize(int(RATE_TOKENS_PER_S * 1_000 * share), cap, now_ms)
    bucket.fill(cap, now_ms)
    return bucket


class StaticSplit:
    """Each instance has an equal part for good; no messages, no table."""

    def __init__(self, count: int):
        self.clock = local.clock_lib.ManualClock()
        now_ms = self.clock.now_ms()
        self._buckets = [
            make_bucket(1 / count, 0, now_ms) for _ in range(count)
        ]

    def charge(self, instance: int, cost_tokens: int) -> bool:
        """Charges the instance's own part."""
        bucket = self._buckets[instance]
        cost = bucket_lib.to_micro_tokens(cost_tokens)
        return bucket.reserve(cost, self.clock.now_ms()) is not None

    def pass_time(self, duration_ms: int) -> None:
        """Lets time pass."""
        self.clock.advance(duration_ms)

    def kill(self, instance: int) -> None:
        """The part of a dead instance is lost."""

    def set_table_down(self, down: bool) -> None:
        """No table is used."""

    def usage(self) -> tuple[int, int, int]:
        """Returns that nothing was used."""
        return 0, 0, 0


class SingleHome:
    """One instance holds the whole bucket and grants each request.

    When it dies, another takes over after ``_TAKEOVER_MS``, with an empty
    bucket because it cannot know what was spent.
    """

    _BYTES_PER_GRANT = 120

    def __init__(self, count: int):
        self.clock = local.clock_lib.ManualClock()
        self._count = count
        self._bucket = make_bucket(1, local.GRANT_MS, self.clock.now_ms())
        self._home = 0
        self._dead_until_ms = 0
        self._writes = 0
        self._bytes = 0

    def charge(self, instance: int, cost_tokens: int) -> bool:
        """Asks the home."""
        now_ms = self.clock.now_ms()
        if now_ms < self._dead_until_ms:
            return False
        if instance != self._home:
            self._bytes += self._BYTES_PER_GRANT
        cost = bucket_lib.to_micro_tokens(cost_tokens)
        return self._bucket.reserve(cost, now_ms) is not None

    def pass_time(self, duration_ms: int) -> None:
        """Lets time pass."""
        self.clock.advance(duration_ms)

    def kill(self, instance: int) -> None:
        """Moves the home if it is the one that dies."""
        if instance != self._home:
            return
        now_ms = self.clock.now_ms()
        self._home = (instance + 1) % self._count
        self._dead_until_ms = now_ms + _TAKEOVER_MS
        self._bucket.reserve_up_to(BURST_TOKENS * _MICRO, self._dead_until_ms)
        self._writes += 1

    def set_table_down(self, down: bool) -> None:
        """The home keeps its long lease."""

    def usage(self) -> tuple[int, int, int]:
        """Returns table reads, table writes and bytes between instances."""
        return 0, self._writes, self._bytes


class MovedShares:
    """Each instance has a part that follows its demand, moved by the table.

    Every ``_MOVE_EVERY_MS`` each instance reads the row and writes its new
    part. A dead instance's part comes back after ``_TAKEOVER_MS``. Nothing
    moves while the table is down.
    """

    def __init__(self, count: int):
        self.clock = local.clock_lib.ManualClock()
        self._count = count
        now_ms = self.clock.now_ms()
        self._buckets = [
            make_bucket(1 / count, 0, now_ms) for _ in range(count)
        ]
        self._demand = [1.0] * count
        self._recent = [0.0] * count
        self._dead: dict[int, int] = {}
        self._move_due_ms = now_ms + _MOVE_EVERY_MS
        self._table_down = False
        self._reads = 0
        self._writes = 0

    def charge(self, instance: int, cost_tokens: int) -> bool:
        """Charges the instance's own part."""
        self._recent[instance] += cost_tokens
        cost = bucket_lib.to_micro_tokens(cost_tokens)
        bucket = self._buckets[instance]
        return bucket.reserve(cost, self.clock.now_ms()) is not None

    def pass_time(self, duration_ms: int) -> None:
        """Lets time pass and moves parts when that is due."""
        self.clock.advance(duration_ms)
        if self.clock.now_ms() >= self._move_due_ms:
            self._move_due_ms += _MOVE_EVERY_MS
            if not self._table_down:
                self._move()

    def kill(self, instance: int) -> None:
        """Remembers when the part of a dead instance may be taken."""
        self._dead[instance] = self.clock.now_ms() + _TAKEOVER_MS

    def set_table_down(self, down: bool) -> None:
        """Stops the moves while the table is down."""
        self._table_down = down

    def usage(self) -> tuple[int, int, int]:
        """Returns table reads, table writes and bytes between instances."""
        return self._reads, self._writes, 0

    def _move(self) -> None:
        now_ms = self.clock.now_ms()
        self._reads += self._count
        self._writes += self._count
        for index, recent in enumerate(self._recent):
            kept = self._demand[index] * _DEMAND_DECAY
            self._demand[index] = kept + recent
            self._recent[index] = 0.0
            if self._dead.get(index, now_ms + 1) <= now_ms:
                self._demand[index] = 0.0
        floor = sum(self._demand) / self._count / 10
        wanted = [
            0.0 if index in self._dead else demand + floor
            for index, demand in enumerate(self._demand)
        ]
        self._set_parts([want / sum(wanted) for want in wanted])

    def _set_parts(self, parts: list[float]) -> None:
        """Shrinks first; what was cut off is what may be given out."""
        now_ms = self.clock.now_ms()
        freed = 0
        sizes = [
            (
                int(RATE_TOKENS_PER_S * 1_000 * part),
                int(BURST_TOKENS * _MICRO * part),
            )
            for part in parts
        ]
        growing = []
        for bucket, size in zip(self._buckets, sizes, strict=True):
            before = bucket.available(now_ms)
            bucket.resize(*size, now_ms)
            freed += before - bucket.available(now_ms)
            growing.append(max(0, size[1] - bucket.available(now_ms)))
        total = max(1, sum(growing))
        for bucket, room in zip(self._buckets, growing, strict=True):
            bucket.fill(freed * room // total, now_ms)


class SharesWithGrants:
    """What is built: shares on up to eight holders, who grant to others."""

    def __init__(self, count: int):
        inventory = inventory_lib.empty()._replace(
            accounts={_ACCOUNT.name: _ACCOUNT},
            classes={"default": inventory_lib.RequestClass("default", 1_000)},
        )
        self._fleet = local.LocalFleet(count, inventory)
        self.clock = self._fleet.clock
        self._gone_at_ms: dict[str, int] = {}
        self._wait_for_shares()

    def charge(self, instance: int, cost_tokens: int) -> bool:
        """Charges the instance's shares, and asks other holders."""
        node = self._fleet.nodes[f"instance-{instance}"]
        result = node.limits.charge(_ACCOUNT, cost_tokens)
        return isinstance(result, grants_lib.Charge)

    def pass_time(self, duration_ms: int) -> None:
        """Lets time pass, with all instances' control paths."""
        self._fleet.run(duration_ms, duration_ms)
        now_ms = self.clock.now_ms()
        for name, at_ms in self._gone_at_ms.items():
            if now_ms >= at_ms:
                self._fleet.gone.add(name)

    def kill(self, instance: int) -> None:
        """Ends an instance; the platform says so after ``_TAKEOVER_MS``."""
        name = f"instance-{instance}"
        self._fleet.kill(name)
        self._gone_at_ms[name] = self.clock.now_ms() + _TAKEOVER_MS

    def set_table_down(self, down: bool) -> None:
        """Makes the table unreachable, or reachable again."""
        self._fleet.shared.down = down

    def usage(self) -> tuple[int, int, int]:
        """Returns table reads, table writes and bytes between instances."""
        shared = self._fleet.shared
        return shared.reads, shared.writes, self._fleet.network.bytes

    def _wait_for_shares(self) -> None:
        while self._held() < 8:
            self._fleet.run(STEP_MS, STEP_MS)
        self._fleet.run(60_000, STEP_MS)

    def _held(self) -> int:
        return sum(
            node.limits.held().get(_ACCOUNT.name, 0)
            for node in self._fleet.nodes.values()
        )


DESIGNS: dict[str, Callable[[int], Design]] = {
    "static split": StaticSplit,
    "single home": SingleHome,
    "moved shares": MovedShares,
    "shares with grants": SharesWithGrants,
}

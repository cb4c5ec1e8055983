"""Drives designs of a fleet-wide limit with one workload.

Each design is driven by the same arrivals as a single ideal bucket. What the
ideal bucket admits and a design refuses counts as wrongly refused.
"""

import random
from typing import NamedTuple

from tanagerloft.bench import limit_designs as designs
from tanagerloft.decisions import bucket as bucket_lib

_MIN_COST_TOKENS = 200
_MAX_COST_TOKENS = 1_800
_MEAN_COST_TOKENS = (_MIN_COST_TOKENS + _MAX_COST_TOKENS) / 2


class Outcome(NamedTuple):
    """What one design did on one workload.

    Attributes:
        wrongly_refused: Part of what the ideal bucket admits.
        admitted_tokens: Tokens admitted.
        above_bound_tokens: Most by which a window exceeded the bound.
        reads_per_s: Table reads of the fleet.
        writes_per_s: Table writes of the fleet.
        bytes_per_s: Bytes sent between instances, each instance's average.
    """

    wrongly_refused: float
    admitted_tokens: int
    above_bound_tokens: int
    reads_per_s: float
    writes_per_s: float
    bytes_per_s: float


class _Bound:
    """Checks every window by a leaky bucket of the limit's size."""

    def __init__(self):
        self._level = 0.0
        self._at_ms = 0
        self.above = 0

    def add(self, tokens: int, now_ms: int) -> None:
        leaked = (now_ms - self._at_ms) * designs.RATE_TOKENS_PER_S / 1_000
        self._at_ms = now_ms
        self._level = max(0.0, self._level - leaked) + tokens
        self.above = max(self.above, round(self._level - designs.BURST_TOKENS))


class Workload(NamedTuple):
    """Arrivals of one account's requests.

    Attributes:
        instances: Number of instances.
        load: Offered tokens as a part of the account's rate.
        skew: Part of the load at the first instance; the rest is even.
        duration_ms: How long it lasts.
        kill_first: Whether the first instance dies at the start.
        table_down: Whether the table is down all the time.
        seed: Seed of the random numbers.
    """

    instances: int
    load: float
    skew: float
    duration_ms: int
    kill_first: bool = False
    table_down: bool = False
    seed: int = 1


def run(design: designs.Design, workload: Workload) -> Outcome:
    """Drives one design with a workload."""
    rng = random.Random(workload.seed)
    ideal = designs.make_bucket(1, 0, design.clock.now_ms())
    bound = _Bound()
    if workload.kill_first:
        design.kill(0)
    design.set_table_down(workload.table_down)
    before = design.usage()
    ideal_count = wrong = admitted = 0
    steps = workload.duration_ms // designs.STEP_MS
    arrivals_per_step = (
        workload.load
        * designs.RATE_TOKENS_PER_S
        / _MEAN_COST_TOKENS
        * designs.STEP_MS
        / 1_000
    )
    for _ in range(steps):
        design.pass_time(designs.STEP_MS)
        now_ms = design.clock.now_ms()
        for _ in range(_poisson(rng, arrivals_per_step)):
            cost = rng.randint(_MIN_COST_TOKENS, _MAX_COST_TOKENS)
            good = design.charge(_pick(rng, workload), cost)
            ideally = (
                ideal.reserve(bucket_lib.to_micro_tokens(cost), now_ms)
                is not None
            )
            ideal_count += ideally
            wrong += ideally and not good
            if good:
                admitted += cost
                bound.add(cost, now_ms)
    design.set_table_down(False)
    used = [b - a for a, b in zip(before, design.usage(), strict=True)]
    seconds = workload.duration_ms / 1_000
    return Outcome(
        wrong / max(1, ideal_count),
        admitted,
        max(0, bound.above),
        used[0] / seconds,
        used[1] / seconds,
        used[2] / seconds / workload.instances,
    )


def run_burst(design: designs.Design) -> float:
    """Spends the whole burst at one instance; returns the part admitted."""
    cost = round(_MEAN_COST_TOKENS)
    count = designs.BURST_TOKENS // cost
    good = sum(design.charge(1, cost) for _ in range(count))
    return good / count


def _pick(rng: random.Random, workload: Workload) -> int:
    first = 1 if workload.kill_first else 0
    if not workload.kill_first and rng.random() < workload.skew:
        return 0
    return rng.randrange(first, workload.instances)


def _poisson(rng: random.Random, mean: float) -> int:
    """Returns a Poisson number by counting exponential gaps."""
    count = 0
    total = rng.expovariate(1.0)
    while total < mean:
        count += 1
        total += rng.expovariate(1.0)
    return count

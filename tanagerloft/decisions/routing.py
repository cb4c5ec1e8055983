"""Choice of the target for one attempt."""

from collections.abc import Iterable
from typing import NamedTuple


class Candidate(NamedTuple):
    """A target that could run a request.

    Attributes:
        name: Name of the target.
        in_flight: Requests that this instance has open there.
        reported_active: Requests that the target reported last.
        recent_failures: Failures seen lately, decaying.
        same_data_centre: Whether it is in this instance's data centre.
    """

    name: str
    in_flight: int
    reported_active: int
    recent_failures: int
    same_data_centre: bool


def choose(
    candidates: Iterable[Candidate], max_in_flight: int
) -> Candidate | None:
    """Returns the best candidate with room, or None.

    Failures weigh most, so that a failing target keeps a small share and can
    show that it has recovered, then open requests, then distance.
    """
    with_capacity = [c for c in candidates if c.in_flight < max_in_flight]
    return min(with_capacity, key=_cost, default=None)


def _cost(candidate: Candidate) -> tuple[int, int, str]:
    load = max(candidate.in_flight, candidate.reported_active)
    penalty = candidate.recent_failures * candidate.recent_failures
    return (
        load + penalty,
        0 if candidate.same_data_centre else 1,
        candidate.name,
    )

"""Chooses the target of one attempt."""

from collections.abc import Iterable
from typing import NamedTuple


class Candidate(NamedTuple):
    """A target that could run a request.

    Attributes:
        name: Name of the target.
        in_flight: Open requests of this instance on the target.
        reported_active: Running requests in the latest report of the target.
        recent_failures: Recent failures, decaying over time.
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
    """Returns the best candidate with free capacity, or None.

    Recent failures weigh most, so that a failing target gets a small share of
    requests and can show that it has recovered; then open requests, then
    distance.

    Args:
        candidates: Targets that could run the request.
        max_in_flight: Open requests of this instance allowed per target.
    """
    with_capacity = [
        candidate
        for candidate in candidates
        if candidate.in_flight < max_in_flight
    ]
    return min(with_capacity, key=_cost, default=None)


def _cost(candidate: Candidate) -> tuple[int, int, str]:
    load = max(candidate.in_flight, candidate.reported_active)
    penalty = candidate.recent_failures * candidate.recent_failures
    return (
        load + penalty,
        0 if candidate.same_data_centre else 1,
        candidate.name,
    )

"""Rendezvous hashing: which instance takes care of what.

A home is a hint that keeps many instances from doing the same work. Nothing
may depend on there being exactly one.
"""

from collections.abc import Iterable

from tanagerloft.util import ids


def rank(subject: str, instance_ids: Iterable[str]) -> list[str]:
    """Returns the instances in order of preference for ``subject``."""
    return sorted(
        instance_ids,
        key=lambda instance_id: ids.stable_score(subject, instance_id),
        reverse=True,
    )


def owner(subject: str, instance_ids: Iterable[str]) -> str | None:
    """Returns the preferred instance, or None if there is none."""
    return max(
        instance_ids,
        key=lambda instance_id: ids.stable_score(subject, instance_id),
        default=None,
    )

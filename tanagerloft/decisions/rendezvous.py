"""Rendezvous hashing: chooses the instance that owns a subject.

An owner is a hint that keeps several instances from doing the same work.
Nothing may depend on there being exactly one owner.
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
    """Returns the most preferred instance, or None if there is none."""
    return max(
        instance_ids,
        key=lambda instance_id: ids.stable_score(subject, instance_id),
        default=None,
    )

"""Decides whether an instance may still use its set of keys.

While an instance can read the table of the store, its keys are current. When
it cannot, a key may have been withdrawn without its knowledge, unless the
table is down for all instances: then nothing can have been withdrawn.
"""

import enum
from typing import NamedTuple


class PeerTableStatus(NamedTuple):
    """Answer of a peer to a question about the table.

    Attributes:
        asked_ms: When this instance asked, by its own clock.
        version: Version that the peer has in force.
        table_age_ms: Time since the peer last read the table, by its clock.
    """

    asked_ms: int
    version: int
    table_age_ms: int


class Freshness(enum.Enum):
    """State of the keys; they may be used if ``CURRENT`` or ``TABLE_DOWN``."""

    CURRENT = "current"
    TABLE_DOWN = "the table is down for all"
    BEHIND = "a peer has a later version"
    UNCONFIRMED = "unconfirmed"


def assess(
    version: int,
    confirmed_ms: int,
    now_ms: int,
    freshness_ms: int,
    peers: dict[str, str],
    statuses: dict[str, PeerTableStatus],
) -> Freshness:
    """Decides whether keys of ``version`` may be used.

    Args:
        version: Version that this instance has in force.
        confirmed_ms: When the table last confirmed it, by the time at which
            the read was sent.
        now_ms: Reading of the clock.
        freshness_ms: Age up to which evidence counts. A peer that has not
            read the table for half of this time counts as unable to read it.
        peers: Peers that were asked, and the data centre of each.
        statuses: Latest answer of each peer.

    Returns:
        ``CURRENT`` or ``TABLE_DOWN`` if the keys may be used. ``TABLE_DOWN``
        requires that a majority of those asked, this instance included, and at
        least one peer in each data centre cannot read the table, so that a
        part of the fleet that is cut off does not rely on itself.
    """
    if now_ms - confirmed_ms <= freshness_ms:
        return Freshness.CURRENT
    recent = {
        name: status
        for name, status in statuses.items()
        if now_ms - status.asked_ms <= freshness_ms
    }
    if any(status.version > version for status in recent.values()):
        return Freshness.BEHIND
    if any(
        _confirms(status, version, now_ms, freshness_ms)
        for status in recent.values()
    ):
        return Freshness.CURRENT
    table_unreachable = {
        name
        for name, status in recent.items()
        if name in peers and 2 * status.table_age_ms > freshness_ms
    }
    return _assess_table_down(table_unreachable, peers)


def _assess_table_down(
    table_unreachable: set[str], peers: dict[str, str]
) -> Freshness:
    """Decides by the peers that cannot read the table either.

    Args:
        table_unreachable: Names of these peers.
        peers: Peers that were asked, and the data centre of each.
    """
    majority = 2 * (len(table_unreachable) + 1) > len(peers) + 1
    data_centres = {peers[name] for name in table_unreachable}
    if majority and data_centres == set(peers.values()):
        return Freshness.TABLE_DOWN
    return Freshness.UNCONFIRMED


def _confirms(
    status: PeerTableStatus, version: int, now_ms: int, freshness_ms: int
) -> bool:
    """Returns whether a peer has recently read this version."""
    age_ms = now_ms - status.asked_ms + status.table_age_ms
    return status.version == version and age_ms <= freshness_ms

"""Whether an instance may still use its set of keys.

While an instance reads the table, its keys are current. When it cannot, a key
may have been withdrawn without its knowledge, unless the table is down for
all, in which case nothing can have been withdrawn.
"""

import enum
from typing import NamedTuple


class PeerTableStatus(NamedTuple):
    """What a peer said of the table.

    Attributes:
        asked_ms: When this instance asked, by its own clock.
        version: Version that the peer has in force.
        table_age_ms: Time since the peer last read the table, by its clock.
    """

    asked_ms: int
    version: int
    table_age_ms: int


class Freshness(enum.Enum):
    """What the evidence allows."""

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
            read the table for half of it counts as unable to.
        peers: Peers that were asked, and the data centre of each.
        statuses: Latest word of each peer.

    Returns:
        ``CURRENT`` or ``TABLE_DOWN`` if they may be used. That the table is
        down must be the word of a majority of those asked, this instance
        included, and of some peer in each data centre, so that a part of the
        fleet that is cut off does not rely on itself.
    """
    if now_ms - confirmed_ms <= freshness_ms:
        return Freshness.CURRENT
    recent = {
        name: sight
        for name, sight in statuses.items()
        if now_ms - sight.asked_ms <= freshness_ms
    }
    if any(sight.version > version for sight in recent.values()):
        return Freshness.BEHIND
    if any(
        _confirms(sight, version, now_ms, freshness_ms)
        for sight in recent.values()
    ):
        return Freshness.CURRENT
    silent_table = {
        name
        for name, sight in recent.items()
        if name in peers and 2 * sight.table_age_ms > freshness_ms
    }
    return _assess_table_down(silent_table, peers)


def _assess_table_down(
    silent_table: set[str], peers: dict[str, str]
) -> Freshness:
    """Decides by the peers that cannot reach the table either."""
    majority = 2 * (len(silent_table) + 1) > len(peers) + 1
    heard = {peers[name] for name in silent_table}
    if majority and heard == set(peers.values()):
        return Freshness.TABLE_DOWN
    return Freshness.UNCONFIRMED


def _confirms(
    sight: PeerTableStatus, version: int, now_ms: int, freshness_ms: int
) -> bool:
    """Returns whether a peer has read this version from the table lately."""
    age_ms = now_ms - sight.asked_ms + sight.table_age_ms
    return sight.version == version and age_ms <= freshness_ms

"""Shares of an account's limit and their holders, kept in one table row.

The limit of an account is divided into ``SLOTS`` equal shares. Each share is
held by one instance, which runs one token bucket over all shares that it
holds. A share gets a new holder only after its holder has released it or can't
use it any more. The row is ``{"slots": [slot, ...]}``.
"""

from collections.abc import Collection
import copy
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from tanagerloft.decisions import rendezvous

SLOTS = 8
_MICRO_PER_TOKEN = 1_000_000
_MILLI_PER_TOKEN = 1_000


class Slot(TypedDict):
    """One share.

    Attributes:
        holder: Instance that holds it, empty if it is free.
        incarnation: Incarnation of the holder.
        micro_tokens: Tokens that were released with it, in millionths.
    """

    holder: str
    incarnation: str
    micro_tokens: int


class InstanceIncarnation(NamedTuple):
    """One process of an instance, as a holder of shares."""

    instance_id: str
    incarnation: str


class Size(NamedTuple):
    """Rate and capacity of the bucket over some shares."""

    rate_milli_per_s: int
    cap_micro_tokens: int


class Change(NamedTuple):
    """A change of the row.

    Attributes:
        body: New contents of the row.
        acquired: Slots that this instance holds once it has committed.
        released: Slots to release instead; the body does not contain this yet,
            because the holder must stop using them first.
        acquired_micro_tokens: Tokens that come with the acquired slots, in
            millionths.
    """

    body: dict[str, Any]
    acquired: frozenset[int]
    released: frozenset[int]
    acquired_micro_tokens: int


def size(
    slot_count: int,
    rate_tokens_per_s: int,
    burst_tokens: int,
    grant_transit_ms: int,
) -> Size:
    """Returns the size of the bucket over ``slot_count`` shares.

    The capacity leaves out what refills in ``grant_transit_ms``, because a
    grant counts when it is made but may be used up to that much later.

    Args:
        slot_count: Number of shares.
        rate_tokens_per_s: Rate of the account.
        burst_tokens: Burst of the account.
        grant_transit_ms: Time for which granted tokens may be in transit.
    """
    rate_milli = rate_tokens_per_s * _MILLI_PER_TOKEN
    cap_micro = burst_tokens * _MICRO_PER_TOKEN - rate_milli * grant_transit_ms
    return Size(
        rate_milli * slot_count // SLOTS,
        max(0, cap_micro) * slot_count // SLOTS,
    )


def held_by(body: dict[str, Any], me: InstanceIncarnation) -> frozenset[int]:
    """Returns the slots that ``me`` holds according to the row."""
    return frozenset(
        index
        for index, slot in enumerate(body.get("slots", []))
        if (slot["holder"], slot["incarnation"]) == me
    )


def holders(body: dict[str, Any]) -> list[str]:
    """Returns the instances that hold shares."""
    held = {slot["holder"] for slot in body.get("slots", [])}
    return sorted(held - {""})


def initial_body(cap_micro_tokens: int) -> dict[str, Any]:
    """Returns the first row of an account: all shares free and full."""
    share = cap_micro_tokens // SLOTS
    slots = [
        Slot(holder="", incarnation="", micro_tokens=share)
        for _ in range(SLOTS)
    ]
    return {"slots": slots}


def plan(
    account: str,
    body: dict[str, Any],
    me: InstanceIncarnation,
    live: Collection[str],
    lapsed: Collection[str],
) -> Change | None:
    """Decides which shares this instance acquires or releases.

    Args:
        account: Name of the account.
        body: The row, not empty.
        me: This instance.
        live: Instances believed to be live, including this one. A hint.
        lapsed: Instances that cannot use their shares any more: the platform
            reports them as ended, or their leases have expired.

    Returns:
        The change to commit, or None.
    """
    new_body = copy.deepcopy(body)
    slots = new_body["slots"]
    fair_slot_count = -(-SLOTS // max(1, len(live)))
    counts = _held_counts(slots, me, live, lapsed)
    acquired = _slots_to_acquire(
        account, slots, me, live, lapsed, counts, fair_slot_count
    )
    tokens = sum(_tokens_in(slots[index]) for index in acquired)
    for index in acquired:
        slots[index] = Slot(
            holder=me.instance_id, incarnation=me.incarnation, micro_tokens=0
        )
    released = (
        set()
        if acquired
        else _slots_to_release(slots, me, counts, fair_slot_count)
    )
    if not acquired and not released:
        return None
    return Change(new_body, frozenset(acquired), frozenset(released), tokens)


def release(
    body: dict[str, Any], slots: Collection[int], micro_tokens: int
) -> dict[str, Any]:
    """Returns the row with ``slots`` free and the tokens divided among them."""
    new_body = copy.deepcopy(body)
    share = micro_tokens // max(1, len(slots))
    for index in slots:
        new_body["slots"][index] = Slot(
            holder="", incarnation="", micro_tokens=share
        )
    return new_body


def _slots_to_acquire(
    account: str,
    slots: list[Slot],
    me: InstanceIncarnation,
    live: Collection[str],
    lapsed: Collection[str],
    counts: dict[str, int],
    fair_slot_count: int,
) -> set[int]:
    """Returns the slots to acquire, and adds them to ``counts``."""
    acquired = set()
    for index, slot in enumerate(slots):
        if _is_predecessor(slot, me):
            acquired.add(index)
            counts[me.instance_id] += 1
    for index, slot in enumerate(slots):
        if index in acquired or not _is_free(slot, lapsed):
            continue
        if (
            _next_owner(account, index, live, counts, fair_slot_count)
            == me.instance_id
        ):
            acquired.add(index)
            counts[me.instance_id] += 1
    return acquired


def _is_predecessor(slot: Slot, me: InstanceIncarnation) -> bool:
    """Returns whether an earlier process of this instance holds the slot.

    It has ended, because it was bound to the same address.
    """
    return (
        slot["holder"] == me.instance_id
        and slot["incarnation"] != me.incarnation
    )


def _is_free(slot: Slot, lapsed: Collection[str]) -> bool:
    return not slot["holder"] or slot["holder"] in lapsed


def _tokens_in(slot: Slot) -> int:
    return 0 if slot["holder"] else slot["micro_tokens"]


def _held_counts(
    slots: list[Slot],
    me: InstanceIncarnation,
    live: Collection[str],
    lapsed: Collection[str],
) -> dict[str, int]:
    counts = dict.fromkeys(live, 0)
    counts.setdefault(me.instance_id, 0)
    for slot in slots:
        if _is_free(slot, lapsed) or _is_predecessor(slot, me):
            continue
        if slot["holder"] in counts:
            counts[slot["holder"]] += 1
    return counts


def _next_owner(
    account: str,
    index: int,
    live: Collection[str],
    counts: dict[str, int],
    fair_slot_count: int,
) -> str | None:
    """Returns the instance that should acquire a free share.

    It is the first in hashing order of those below their fair number.
    """
    subject = f"{account}/{index}"
    below_fair = [name for name in live if counts[name] < fair_slot_count]
    return rendezvous.owner(subject, below_fair)


def _slots_to_release(
    slots: list[Slot],
    me: InstanceIncarnation,
    counts: dict[str, int],
    fair_slot_count: int,
) -> set[int]:
    """Returns the slots to release for instances that hold none."""
    mine = held_by({"slots": slots}, me)
    surplus = len(mine) - fair_slot_count
    lacking = sum(1 for count in counts.values() if count == 0)
    if surplus <= 0 or lacking == 0:
        return set()
    return set(sorted(mine)[-min(surplus, lacking * fair_slot_count) :])

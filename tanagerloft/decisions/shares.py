"""Shares of an account's limit: who holds which, recorded in one table row.

The limit of an account is cut into ``SLOTS`` equal shares. Each is held by one
instance, which runs a token bucket over the shares it holds. A share changes
hands only when its holder has handed it back, or cannot use it any more. The
row is ``{"slots": [slot, ...]}``.
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
        holder: Instance that holds it, empty if it was handed back.
        incarnation: Incarnation of the holder.
        micro_tokens: Tokens that were handed back with it.
    """

    holder: str
    incarnation: str
    micro_tokens: int


class InstanceIncarnation(NamedTuple):
    """The instance that plans."""

    instance_id: str
    incarnation: str


class Size(NamedTuple):
    """Rate and bound of the bucket over some shares."""

    rate_milli_per_s: int
    cap_micro_tokens: int


class Change(NamedTuple):
    """A change of the row.

    Attributes:
        body: New contents.
        taken: Slots that this instance holds once it has committed.
        returned: Slots to hand back instead; the body does not have this yet,
            because the holder must stop using them first.
        taken_micro_tokens: Tokens that come with the taken slots.
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

    The bound leaves out what refills in ``grant_ms``, the time for which
    granted tokens may be under way: a grant counts when it was made but is used
    up to that much later.
    """
    rate_milli = rate_tokens_per_s * _MILLI_PER_TOKEN
    cap_micro = burst_tokens * _MICRO_PER_TOKEN - rate_milli * grant_transit_ms
    return Size(
        rate_milli * slot_count // SLOTS,
        max(0, cap_micro) * slot_count // SLOTS,
    )


def held_by(body: dict[str, Any], me: InstanceIncarnation) -> frozenset[int]:
    """Returns the slots that the row says ``me`` holds."""
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
    """Returns the row of an account that has never had one: all shares full."""
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
    """Decides which shares this instance takes or hands back.

    Args:
        account: Name of the account.
        body: The row, not empty.
        me: This instance.
        live: Instances believed to live, with this one. A hint.
        lapsed: Instances that cannot use their shares any more: the platform
            says that they are gone, or their leases have lapsed.

    Returns:
        The change to commit, or None.
    """
    new_body = copy.deepcopy(body)
    slots = new_body["slots"]
    fair_count = -(-SLOTS // max(1, len(live)))
    counts = _held_counts(slots, me, live, lapsed)
    taken = _slots_to_acquire(
        account, slots, me, live, lapsed, counts, fair_count
    )
    tokens = sum(_tokens_in(slots[index]) for index in taken)
    for index in taken:
        slots[index] = Slot(
            holder=me.instance_id, incarnation=me.incarnation, micro_tokens=0
        )
    returned = (
        set() if taken else _slots_to_release(slots, me, counts, fair_count)
    )
    if not taken and not returned:
        return None
    return Change(new_body, frozenset(taken), frozenset(returned), tokens)


def release(
    body: dict[str, Any], slots: Collection[int], micro_tokens: int
) -> dict[str, Any]:
    """Returns the row with ``slots`` free, and tokens divided among them."""
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
    fair_count: int,
) -> set[int]:
    """Returns the shares to take, and counts them in ``counts``."""
    taken = set()
    for index, slot in enumerate(slots):
        if _is_predecessor(slot, me):
            taken.add(index)
            counts[me.instance_id] += 1
    for index, slot in enumerate(slots):
        if index in taken or not _is_free(slot, lapsed):
            continue
        if (
            _next_owner(account, index, live, counts, fair_count)
            == me.instance_id
        ):
            taken.add(index)
            counts[me.instance_id] += 1
    return taken


def _is_predecessor(slot: Slot, me: InstanceIncarnation) -> bool:
    """An earlier process of this name: it was bound to the same address."""
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
    fair_count: int,
) -> str | None:
    """Returns who should take a free share: the first with too few."""
    subject = f"{account}/{index}"
    with_room = [name for name in live if counts[name] < fair_count]
    return rendezvous.owner(subject, with_room)


def _slots_to_release(
    slots: list[Slot],
    me: InstanceIncarnation,
    counts: dict[str, int],
    fair_count: int,
) -> set[int]:
    """Returns shares to hand back for instances that have none."""
    mine = held_by({"slots": slots}, me)
    extra = len(mine) - fair_count
    lacking = sum(1 for count in counts.values() if count == 0)
    if extra <= 0 or lacking == 0:
        return set()
    return set(sorted(mine)[-min(extra, lacking * fair_count) :])

"""Compares a planned replica with the load report of its target."""

import enum
from typing import NamedTuple

from tanagerloft.decisions import replicas

ORDER_RETRY_MS = 2_000
ORDER_EFFECT_MS = 10_000


class LoadReport(NamedTuple):
    """A target's load report.

    Attributes:
        incarnation: Changes when the target restarts.
        items: State of each item by name: ``loading``, ``ready``,
            ``unloading`` or ``failed``.
        active: Requests that run now.
        idle_ms: Time without a request for each ready item.
        tokens: Fencing token of the latest order obeyed for each item.
        memory_mb: Memory for models.
        used_mb: Memory in use.
        leaving: Whether the target accepts no new work.
    """

    incarnation: str
    items: dict[str, str]
    active: int
    idle_ms: dict[str, int]
    tokens: dict[str, int]
    memory_mb: int
    used_mb: int
    leaving: bool


class Action(enum.Enum):
    """Next action for one replica."""

    WAIT = "wait"
    CONFIRM_READY = "confirm ready"
    RELEASE = "release"
    RETRY_ORDER = "repeat order"


def next_action(
    replica: replicas.Replica,
    item_name: str,
    report: LoadReport,
    unchanged_ms: int,
    checks_fencing: bool,
    wanted: bool,
) -> Action:
    """Decides what to do about a planned replica.

    Args:
        replica: The replica as stored in the table.
        item_name: Model or adapter.
        report: A report made after the row was read.
        unchanged_ms: Time for which the row has been seen unchanged.
        checks_fencing: Whether the target refuses old fencing tokens and
            orders for another incarnation.
        wanted: Whether requests wait for the item.

    Returns:
        The action. A slot is released only where no order that was sent for it
        can take effect any more: on targets that check fencing tokens because a
        later token was obeyed, on others after ``ORDER_EFFECT_MS``.
    """
    if report.incarnation != replica["incarnation"]:
        return _action_after_restart(wanted, unchanged_ms, checks_fencing)
    reported = report.items.get(item_name)
    obeyed = report.tokens.get(item_name, 0) >= replica["token"]
    if replica["state"] == replicas.UNLOADING:
        if reported is None and obeyed:
            settled = checks_fencing or unchanged_ms >= ORDER_EFFECT_MS
            return Action.RELEASE if settled else Action.WAIT
        return _retry_if_overdue(obeyed, unchanged_ms)
    if reported == "ready":
        loading = replica["state"] == replicas.LOADING
        return Action.CONFIRM_READY if loading else Action.WAIT
    if reported == "loading":
        return Action.WAIT
    if replica["state"] == replicas.READY and not wanted:
        overdue = unchanged_ms >= ORDER_EFFECT_MS
        return Action.RELEASE if overdue else Action.WAIT
    if unchanged_ms >= ORDER_RETRY_MS:
        return Action.RETRY_ORDER
    return Action.WAIT


def _action_after_restart(
    wanted: bool, unchanged_ms: int, checks_fencing: bool
) -> Action:
    """Decides for a target that has restarted and so lost its items.

    An old order may still reach it. A retried order keeps the slot and its
    memory, so it is safe at any time.
    """
    if wanted:
        return Action.RETRY_ORDER
    settled = checks_fencing or unchanged_ms >= ORDER_EFFECT_MS
    return Action.RELEASE if settled else Action.WAIT


def _retry_if_overdue(obeyed: bool, unchanged_ms: int) -> Action:
    if not obeyed and unchanged_ms >= ORDER_RETRY_MS:
        return Action.RETRY_ORDER
    return Action.WAIT

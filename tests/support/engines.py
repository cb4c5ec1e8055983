"""Entries, reports and messages that many tests need in like form."""

from tanagerloft.coordination import messages
from tanagerloft.decisions import order_lease
from tanagerloft.fleet import types

_NONE: frozenset[str] = frozenset()
_TURN_MS = 3_000


def held_lease(
    now_ms: int = 0, valid_ms: int = 10**9
) -> order_lease.OrderLease:
    """Returns the lease as the instance ``a`` has it, which holds it.

    Args:
        now_ms: Reading of the clock when it was taken.
        valid_ms: Time for which one renewal counts.
    """
    lease = order_lease.OrderLease("a", "1", "a:1", valid_ms, _TURN_MS)
    lease.on_row(0, None, now_ms)
    claim = lease.next_claim(now_ms)
    assert claim is not None
    lease.on_written(claim, 1, now_ms, now_ms)
    return lease


def taken_over_lease(
    now_ms: int, valid_ms: int = 10**9
) -> order_lease.OrderLease:
    """Returns the lease as ``a`` has it, which took it over at ``now_ms``.

    The holder before was lost just long enough ago.
    """
    lease = order_lease.OrderLease("a", "1", "a:1", valid_ms, _TURN_MS)
    before = order_lease.Term("z", "1", "z:1", 1, True, False, {})
    lease.on_row(1, before, now_ms - valid_ms)
    claim = lease.next_claim(now_ms)
    assert claim is not None
    lease.on_written(claim, 2, now_ms, now_ms)
    return lease


def view(**changes) -> messages.View:
    """Returns a view of the holder ``z`` that tells nothing."""
    base = messages.View(
        holder="z",
        token=1,
        sequence=1,
        instances=3,
        grants={},
        in_flight={},
        prefilling={},
        models={},
        models_version=0,
        ready_in_ms={},
        quarantined=[],
        status=messages.HolderStatus(
            1, 0, False, False, messages.KnownState(1, 0, 4, 0)
        ),
        leaving_targets={},
        targets=messages.TargetListDelta([], 1, 5, 9, 100),
        limits=[],
        permits=[],
    )
    return base._replace(**changes)


def entry(target_id: str, **changes) -> types.TargetEntry:
    """Returns the entry of an empty engine of the service ``s``."""
    base = types.TargetEntry(
        target_id=target_id,
        service="s",
        host="10.0.0.1",
        port=1,
        data_centre="dc",
        leaving=False,
        leaves_in_ms=None,
        born_ms=1,
        models={},
        in_memory=_NONE,
        on_disk=_NONE,
    )
    return base._replace(**changes)


def report(models=(), **changes) -> types.TargetReport:
    """Returns the report of an idle engine.

    Args:
        models: Names of the models that it holds, or these with adapters.
        **changes: Fields that differ.
    """
    held = models if isinstance(models, dict) else dict.fromkeys(models, _NONE)
    base = types.TargetReport(
        models=held,
        loading_adapters=frozenset(),
        busy=False,
        order_sequence=0,
        waiting=0,
        running=0,
        in_memory=_NONE,
        on_disk=_NONE,
    )
    return base._replace(**changes)


def instance_report(instance: str, **changes) -> messages.Report:
    """Returns the first report of an instance without requests."""
    base = messages.Report(
        instance=instance,
        incarnation="1",
        sequence=1,
        needs={},
        in_flight={},
        prefilling={},
        waiting=[],
        request_counts={},
        leaving=False,
        reads_store=False,
        models_seen=(0, 0),
        crashes={},
        leaving_targets={},
        targets_version=0,
        limits=[],
        permit_needs=[],
    )
    return base._replace(**changes)

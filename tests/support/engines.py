"""Default leases, target entries, reports and messages for tests."""

from tanagerloft.coordination import messages
from tanagerloft.decisions import order_lease
from tanagerloft.fleet import types

_NONE: frozenset[str] = frozenset()
_TAKEOVER_DELAY_MS = 3_000


def held_lease(
    now_ms: int = 0, valid_ms: int = 10**9
) -> order_lease.OrderLease:
    """Returns the lease state of the instance ``a``, which holds the lease.

    Args:
        now_ms: Time of the acquisition.
        valid_ms: Validity of one renewal.
    """
    lease = order_lease.OrderLease(
        "a", "1", "a:1", valid_ms, _TAKEOVER_DELAY_MS
    )
    lease.on_row(0, None, now_ms)
    claim = lease.next_claim(now_ms)
    assert claim is not None
    lease.on_written(claim, 1, now_ms, now_ms)
    return lease


def taken_over_lease(
    now_ms: int, valid_ms: int = 10**9
) -> order_lease.OrderLease:
    """Returns the lease state of ``a`` after a takeover at ``now_ms``.

    The lease of the previous holder has just expired.
    """
    lease = order_lease.OrderLease(
        "a", "1", "a:1", valid_ms, _TAKEOVER_DELAY_MS
    )
    before = order_lease.Term("z", "1", "z:1", 1, True, False, {})
    lease.on_row(1, before, now_ms - valid_ms)
    claim = lease.next_claim(now_ms)
    assert claim is not None
    lease.on_written(claim, 2, now_ms, now_ms)
    return lease


def view(**changes) -> messages.View:
    """Returns an empty view of the lease holder ``z``."""
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
        suspect_parts=[],
        barred_parts=[],
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
    """Returns the entry of an engine of the service ``s`` without models."""
    base = types.TargetEntry(
        target_id=target_id,
        service="s",
        host="10.0.0.1",
        port=1,
        data_centre="dc",
        leaving=False,
        leaves_in_ms=None,
        born_ms=1,
        software_version="",
        models={},
        in_memory=_NONE,
        on_disk=_NONE,
    )
    return base._replace(**changes)


def report(models=(), **changes) -> types.TargetReport:
    """Returns the report of an idle engine.

    Args:
        models: Names of the held models, or a dict from model to adapters.
        **changes: Overridden fields.
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
        on_disk=(),
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
        part_crashes={},
        sound_parts=[],
        barred_parts=[],
        leaving_targets={},
        targets_version=0,
        limits=[],
        permit_needs=[],
        returning=[],
    )
    return base._replace(**changes)

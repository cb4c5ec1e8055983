"""Messages between instances: reports to the lease holder and its views.

Messages carry state, not events, and are sent as datagrams: a lost, duplicated
or late one does no harm, and no connection can hang. They are packed as lists,
so the order and number of the fields are the format.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgpack

from tanagerloft.coordination import target_entries
from tanagerloft.coordination import target_permits
from tanagerloft.decisions import target_limits
from tanagerloft.decisions import target_permits as permits_lib
from tanagerloft.decisions import token_grants
from tanagerloft.fleet import types

_REPORT = "r"
_VIEW = "v"


class WaitingRequests(NamedTuple):
    """Requests that wait for a model at one instance.

    Attributes:
        service: Service of the model.
        model: Model.
        adapter: Adapter, empty for none.
        objectives_left_ms: Time until each misses its latency objective.
        caller_timeouts_left_ms: Time until the caller of each gives up.
    """

    service: str
    model: str
    adapter: str
    objectives_left_ms: list[int]
    caller_timeouts_left_ms: list[int]


class ReturningCallers(NamedTuple):
    """Callers refused by one instance that are expected to come back.

    Attributes:
        service: Service of the model.
        model: Model.
        caller_timeouts_left_ms: Time until each gives up.
    """

    service: str
    model: str
    caller_timeouts_left_ms: list[int]


class Report(NamedTuple):
    """State that an instance reports to the holder.

    Attributes:
        instance: Name of the instance.
        incarnation: Identity of its process.
        sequence: Sequence number of the report.
        needs: Tokens needed by account.
        in_flight: Requests in flight by target and model (with adapter).
        prefilling: Prompt tokens by target of requests that have no first part
            of a response yet.
        waiting: Requests that wait for models.
        request_counts: Requests for each model since the start of the process.
        leaving: Whether it is the last report of the process.
        reads_store: Whether the instance has just read the lease row.
        models_seen: Fencing token and version of the models that it knows of.
        crashes: Crashes of targets by digest of the request.
        part_crashes: Crashes under each prompt part that the instance
            suspects.
        sound_parts: Suspect parts that it knows to be sound.
        barred_parts: Parts that a holder has barred.
        leaving_targets: Targets that have announced to it that they leave,
            with the start of their incarnation.
        targets_version: Version of the store up to which it knows the target
            list.
        limits: Limits that targets have announced, as far as known.
        permit_needs: Permits needed for targets with a limit.
        returning: Refused callers that are expected to come back.
    """

    instance: str
    incarnation: str
    sequence: int
    needs: dict[str, token_grants.Need]
    in_flight: dict[str, dict[str, int]]
    prefilling: dict[str, int]
    waiting: list[WaitingRequests]
    request_counts: dict[str, int]
    leaving: bool
    reads_store: bool
    models_seen: tuple[int, int]
    crashes: dict[str, int]
    part_crashes: dict[str, list[str]]
    sound_parts: list[str]
    barred_parts: list[str]
    leaving_targets: dict[str, int]
    targets_version: int
    limits: list[target_limits.SharedLimit]
    permit_needs: list[target_permits.Need]
    returning: list[ReturningCallers]


class TargetListDelta(NamedTuple):
    """Changes of the target list, as the holder knows it.

    Attributes:
        changed: Rows that have changed.
        since_version: Version of the store after which the changes are
            complete.
        version: Version up to which they are complete; 0 if the holder does
            not know all changes since.
        known_version: Version up to which the holder knows the list.
        age_ms: Age of the holder's last read of the list.
    """

    changed: list[target_entries.SharedTarget]
    since_version: int
    version: int
    known_version: int
    age_ms: int


class KnownState(NamedTuple):
    """What an instance knows from the platform's store and of its weight store.

    Attributes:
        configuration_version: Version of the configuration in force.
        configuration_age_ms: Age of the proof that there is no newer one.
        store_concurrency: Concurrent loads that the weight store serves at full
            speed.
        store_proven_concurrency: Concurrent loads that have been observed at
            full speed.
    """

    configuration_version: int
    configuration_age_ms: int
    store_concurrency: int
    store_proven_concurrency: int


class HolderStatus(NamedTuple):
    """Status of the lease holder.

    Attributes:
        lease_version: Version of the lease row.
        renewed_ago_ms: Time since the last renewal of the lease began.
        renewal_overdue: Whether renewals fail.
        stepped_down: Whether the holder gives no more orders in this term.
        known_state: What the holder knows from the store.
    """

    lease_version: int
    renewed_ago_ms: int
    renewal_overdue: bool
    stepped_down: bool
    known_state: KnownState


class View(NamedTuple):
    """Answer of the holder to a report.

    Attributes:
        holder: Name of the holder.
        token: Its fencing token.
        sequence: Sequence number of the report that it answers.
        instances: Instances that report to it.
        grants: Grants by account.
        in_flight: Requests of other instances in flight by target.
        prefilling: Prompt tokens of other instances by target, see ``Report``.
        models: Models with adapters by target, where they have changed since
            the version in the report; None for a target whose models the
            holder does not know.
        models_version: Version up to which the changes are included.
        ready_in_ms: Time until each requested model is expected to be loaded.
        quarantined: Digests of requests that crash targets.
        suspect_parts: Prompt parts that were under crashes.
        barred_parts: Prompt parts that no request may have.
        status: Status of the holder.
        leaving_targets: Targets that have announced to an instance that they
            leave, with the start of their incarnation.
        targets: Changes of the target list.
        limits: Limits that targets have announced, as far as known.
        permits: Grants of permits for targets with a limit.
    """

    holder: str
    token: int
    sequence: int
    instances: int
    grants: dict[str, token_grants.Grant]
    in_flight: dict[str, int]
    prefilling: dict[str, int]
    models: dict[str, dict[str, list[str]] | None]
    models_version: int
    ready_in_ms: dict[str, int]
    quarantined: list[str]
    suspect_parts: list[str]
    barred_parts: list[str]
    status: HolderStatus
    leaving_targets: dict[str, int]
    targets: TargetListDelta
    limits: list[target_limits.SharedLimit]
    permits: list[target_permits.Grant]


def encode(message: Report | View) -> bytes:
    """Encodes a message."""
    if isinstance(message, Report):
        return msgpack.packb([_REPORT, *message])
    changed = [_encode_target(item) for item in message.targets.changed]
    delta = message.targets._replace(changed=changed)
    return msgpack.packb([_VIEW, *message._replace(targets=delta)])


def decode(data: bytes) -> Report | View | None:
    """Decodes a message; returns None if the data is malformed."""
    try:
        kind, *fields = msgpack.unpackb(data)
        if kind == _REPORT:
            return _decode_report(Report(*fields))
        if kind == _VIEW:
            return _decode_view(View(*fields))
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
        return None
    return None


def _encode_target(target: target_entries.SharedTarget) -> Any:
    if target.entry is None:
        return target
    *plain, models, _in_memory, _on_disk = target.entry
    held = {name: list(adapters) for name, adapters in models.items()}
    return [target.target_id, target.version, [*plain, held]]


def _decode_target(raw: Any) -> target_entries.SharedTarget:
    target_id, version, fields = raw
    if fields is None:
        return target_entries.SharedTarget(target_id, version, None)
    *plain, held = fields
    models = {name: frozenset(adapters) for name, adapters in held.items()}
    empty: frozenset[str] = frozenset()
    entry = types.TargetEntry._make([*plain, models, empty, empty])
    return target_entries.SharedTarget(target_id, version, entry)


def _decode_report(raw: Any) -> Report:
    return raw._replace(
        needs={k: token_grants.Need(*v) for k, v in raw.needs.items()},
        waiting=[WaitingRequests(*item) for item in raw.waiting],
        models_seen=tuple(raw.models_seen),
        limits=[target_limits.SharedLimit(*item) for item in raw.limits],
        permit_needs=[target_permits.Need(*need) for need in raw.permit_needs],
        returning=[ReturningCallers(*item) for item in raw.returning],
    )


def _decode_view(raw: Any) -> View:
    status = HolderStatus(*raw.status)
    return raw._replace(
        grants={k: token_grants.Grant(*v) for k, v in raw.grants.items()},
        status=status._replace(known_state=KnownState(*status.known_state)),
        targets=_decode_list(raw.targets),
        limits=[target_limits.SharedLimit(*item) for item in raw.limits],
        permits=[_decode_permit(item) for item in raw.permits],
    )


def _decode_permit(raw: Any) -> target_permits.Grant:
    target_id, born_ms, grant = raw
    return target_permits.Grant(
        target_id, born_ms, permits_lib.PermitGrant(*grant)
    )


def _decode_list(raw: Any) -> TargetListDelta:
    delta = TargetListDelta(*raw)
    return delta._replace(
        changed=[_decode_target(item) for item in delta.changed]
    )

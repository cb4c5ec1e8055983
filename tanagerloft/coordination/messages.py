"""Messages between instances: reports to the holder, its views back.

All say how things are, not how they changed, and travel as datagrams: one that
is lost, repeated or late does no harm, and there is no connection to go silent.
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
        aims_left_ms: Time left until each misses its aim.
        patience_left_ms: Time until the caller of each leaves.
    """

    service: str
    model: str
    adapter: str
    objectives_left_ms: list[int]
    caller_timeouts_left_ms: list[int]


class Report(NamedTuple):
    """What an instance tells the holder.

    Attributes:
        instance: Name.
        incarnation: Identity of its process.
        sequence: Number of the report.
        needs: Needs of tokens by account.
        in_flight: Requests under way by target and model (with adapter).
        prefilling: Prompt tokens sent by target, for which there is no first
            part of an answer yet.
        waited: Requests that wait for models.
        used: Requests for each model since the start of the process.
        leaving: Whether it is the last one.
        reads_store: Whether it has just read the store.
        models_seen: Term and mark of the models that it knows of.
        crashes: Crashes of targets by digest of the request.
        leaving_targets: Targets that have told it that they leave, by the
            start of their life.
        targets_known: Version of the store up to which it knows the list of
            targets.
        limits: Limits that targets have named, as far as it knows.
        permit_needs: Needs of permits for targets with a limit.
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
    leaving_targets: dict[str, int]
    targets_version: int
    limits: list[target_limits.SharedLimit]
    permit_needs: list[target_permits.Need]


class TargetListDelta(NamedTuple):
    """What the holder knows of the list of targets.

    Attributes:
        changed: Rows that have changed.
        since_version: Version of the store after which these are all.
        version: Version up to which they are; 0 if the holder does not know
            what has changed since.
        known_version: Version up to which the holder knows the list.
        age_ms: Age of its knowledge.
    """

    changed: list[target_entries.SharedTarget]
    since_version: int
    version: int
    known_version: int
    age_ms: int


class KnownState(NamedTuple):
    """How current an instance's knowledge from the store is.

    Attributes:
        configuration: Version of the configuration in force.
        configuration_age_ms: Age of the proof that there is no newer one.
        store_at_once: Loads that the weight store takes at full speed.
        store_proved: Loads at once that have been seen to go at full speed.
    """

    configuration_version: int
    configuration_age_ms: int
    store_concurrency: int
    store_proven_concurrency: int


class HolderStatus(NamedTuple):
    """How current the holder's lease and knowledge are.

    Attributes:
        lease_version: Version of the lease row.
        renewed_ago_ms: Time since the last renewal of the lease began.
        struggling: Whether renewals fail.
        given_up: Whether the holder gives no more orders in this term.
        knowledge: Its knowledge from the store.
    """

    lease_version: int
    renewed_ago_ms: int
    renewal_overdue: bool
    stepped_down: bool
    known_state: KnownState


class View(NamedTuple):
    """What the holder answers.

    Attributes:
        holder: Name of the holder.
        token: Its fencing token.
        sequence: Number of the report that it answers.
        instances: Instances that report to it.
        grants: Grants by account.
        in_flight: Requests of other instances by target.
        prefilling: Prompt tokens of other instances by target, see there.
        models: Models with adapters by target, where they have changed since
            the mark in the report; None for a target that the holder does not
            know of.
        models_mark: Mark up to which the changes are told.
        later_ms: Time until a waited-for model can be had, by model.
        barred: Digests of requests that crash targets.
        proof: How current the holder's knowledge is.
        leaving_targets: Targets that have told an instance that they leave,
            by the start of their life.
        targets: What the holder knows of the list of targets.
        limits: Limits that targets have named, as far as it knows.
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
    status: HolderStatus
    leaving_targets: dict[str, int]
    targets: TargetListDelta
    limits: list[target_limits.SharedLimit]
    permits: list[target_permits.Grant]


def encode(message: Report | View) -> bytes:
    """Encodes a message."""
    if isinstance(message, Report):
        return msgpack.packb([_REPORT, *message])
    changed = [_encode_target(one) for one in message.targets.changed]
    told = message.targets._replace(changed=changed)
    return msgpack.packb([_VIEW, *message._replace(targets=told)])


def decode(data: bytes) -> Report | View | None:
    """Decodes a message; None if it is none."""
    try:
        kind, *fields = msgpack.unpackb(data)
        if kind == _REPORT:
            return _decode_report(Report(*fields))
        if kind == _VIEW:
            return _decode_view(View(*fields))
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
        return None
    return None


def _encode_target(told: target_entries.SharedTarget) -> Any:
    if told.entry is None:
        return told
    *plain, models, _in_memory, _on_disk = told.entry
    held = {name: list(adapters) for name, adapters in models.items()}
    return [told.target_id, told.version, [*plain, held]]


def _decode_target(raw: Any) -> target_entries.SharedTarget:
    target_id, version, fields = raw
    if fields is None:
        return target_entries.SharedTarget(target_id, version, None)
    *plain, held = fields
    models = {name: frozenset(adapters) for name, adapters in held.items()}
    none: frozenset[str] = frozenset()
    entry = types.TargetEntry._make([*plain, models, none, none])
    return target_entries.SharedTarget(target_id, version, entry)


def _decode_report(raw: Any) -> Report:
    return raw._replace(
        needs={k: token_grants.Need(*v) for k, v in raw.needs.items()},
        waiting=[WaitingRequests(*item) for item in raw.waiting],
        models_seen=tuple(raw.models_seen),
        limits=[target_limits.SharedLimit(*item) for item in raw.limits],
        permit_needs=[target_permits.Need(*one) for one in raw.permit_needs],
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
    told = TargetListDelta(*raw)
    return told._replace(changed=[_decode_target(one) for one in told.changed])

"""Decodes the operator's configuration."""

from __future__ import annotations

import logging
from typing import Any

import orjson

from tanagerloft.coordination import errors
from tanagerloft.fleet import types
from tanagerloft.platform import fields

logger = logging.getLogger(__name__)

_ROUTE_KIND_BY_NAME = {
    "idempotent": types.RouteKind.IDEMPOTENT,
    "non_idempotent": types.RouteKind.ONCE,
    "stream": types.RouteKind.STREAM,
}
_MS_PER_S = 1_000


def decode(value: bytes) -> types.Configuration | errors.MalformedEntry:
    """Decodes a configuration.

    A malformed route or account is left out; any other fault refuses the
    configuration.
    """
    try:
        body = orjson.loads(value)
        return _decode(body)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return errors.MalformedEntry("configuration", repr(error))


def _decode(body: dict[str, Any]) -> types.Configuration:
    accounts = {}
    account_by_key = {}
    for item in body.get("tenants") or ():
        try:
            account = _decode_account(item)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning(
                "malformed account ignored", extra={"reason": repr(error)}
            )
            continue
        accounts[account.name] = account
        for key in item.get("api_keys") or ():
            account_by_key[str(key)] = account
    return types.Configuration(
        version=int(body["version"]),
        routes=_decode_routes(body["routes"]),
        services={
            item["name"]: _decode_service(item) for item in body["services"]
        },
        accounts=accounts,
        account_by_key=account_by_key,
        limits=_decode_limits(body.get("limits") or {}),
    )


def _decode_routes(items: list) -> dict[str, tuple[types.Route, ...]]:
    routes: dict[str, list[types.Route]] = {}
    for item in items:
        try:
            route = _decode_route(item)
        except (KeyError, TypeError, ValueError) as error:
            logger.warning(
                "malformed route ignored",
                extra={"route": item, "reason": repr(error)},
            )
            continue
        routes.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
        for host, found in routes.items()
    }


def _decode_route(item: dict[str, Any]) -> types.Route:
    splits = item.get("traffic_split") or [
        {"service": item["service"], "weight": 1}
    ]
    return types.Route(
        name=str(item["name"]),
        host=str(item["host"]).lower(),
        prefix=str(item["prefix"]),
        kind=_ROUTE_KIND_BY_NAME[item["kind"]],
        resumable=bool(item.get("resumable")),
        timeout_ms=int(item["timeout_ms"]),
        # For streams this is the latency of the first event, despite its name.
        latency_objective_ms=int(
            item.get("target_latency_ms") or item["timeout_ms"]
        ),
        gap_ms=int(item.get("gap_aim_ms") or 0),
        # Counts targets, not attempts.
        max_targets=int(item.get("max_attempts") or 1),
        priority=int(item.get("priority") or 0),
        open=bool(item.get("public")),
        splits=tuple(
            types.Split(str(part["service"]), float(part["weight"]))
            for part in splits
        ),
    )


def _decode_service(item: dict[str, Any]) -> types.Service:
    engine = item.get("engine") or {}
    return types.Service(
        name=str(item["name"]),
        max_connections=int(item.get("max_conns") or 0),
        models={
            model["name"]: types.Model(
                name=str(model["name"]),
                size_mb=float(model["weights_mb"]),
                load_ms=float(model["load_s"]) * _MS_PER_S,
                memory_load_ms=float(model.get("warm_s") or model["load_s"])
                * _MS_PER_S,
                disk_load_ms=float(model.get("disk_s") or model["load_s"])
                * _MS_PER_S,
                adapter_size_mb=float(model.get("adapter_mb") or 0),
                adapter_count=int(model.get("adapters") or 0),
            )
            for model in engine.get("models") or ()
        },
        slots=int(engine.get("slots") or 0),
        engine_capacity=_decode_room(engine),
        store_loads_per_s=_optional_float(engine.get("loads_per_s")),
    )


def _decode_room(engine: dict[str, Any]) -> types.EngineCapacity | None:
    # Inside ``models`` this name is the size of one model's weights.
    memory_mb = _optional_float(engine.get("weights_mb"))
    if memory_mb is None:
        return None
    return types.EngineCapacity(
        memory_mb,
        int(engine.get("adapter_slots") or 0),
        float(engine.get("disk_mb") or 0),
    )


def _optional_float(value: Any) -> float | None:
    return None if value is None else float(value)


def _decode_account(item: dict[str, Any]) -> types.Account:
    priority = item.get("priority")
    return types.Account(
        # Requests to targets name the account in a header.
        name=fields.read_header_value(item["name"]),
        rate_tokens_per_s=float(item.get("rate_per_s") or 0),
        burst_tokens=float(item.get("burst") or 0),
        default_cost_tokens=int(item.get("plain_tokens") or 0),
        priority=None if priority is None else int(priority),
    )


def _decode_limits(item: dict[str, Any]) -> types.CallerLimits:
    default = types.CallerLimits()
    return types.CallerLimits(
        *(
            int(item.get(name) or default._asdict()[name])
            for name in default._fields
        )
    )

"""Decodes entries of the list of targets and reports of engines."""

from __future__ import annotations

from typing import Any

import orjson

from tanagerloft.coordination import errors
from tanagerloft.fleet import types
from tanagerloft.platform import fields

_STATES = ("ready", "draining")


def decode_entry(
    target_id: str, value: bytes
) -> types.TargetEntry | errors.MalformedEntry:
    """Decodes a target's entry, which is not trusted to be well-formed."""
    try:
        return _decode_entry(target_id, _load_object(value))
    except (KeyError, ValueError) as error:
        return errors.MalformedEntry(target_id, repr(error))


def _load_object(value: bytes) -> dict[str, Any]:
    body = orjson.loads(value)
    if body is None:
        raise ValueError("expected an object, got None")
    return fields.read_object(body)


def _decode_entry(target_id: str, body: dict[str, Any]) -> types.TargetEntry:
    state = fields.read_name(body["state"])
    if state not in _STATES:
        raise ValueError(f"unknown state {state!r}")
    host, port = fields.read_address(body["address"])
    copies = fields.read_object(body.get("at_hand"))
    remaining_ms = body.get("remaining_ms")
    return types.TargetEntry(
        # Requests to the target name it in a header.
        target_id=fields.read_header_value(target_id),
        service=fields.read_name(body["service"]),
        host=host,
        port=port,
        data_centre=fields.read_name(_get(body, "zone", "")),
        leaving=state != "ready",
        leaves_in_ms=None
        if remaining_ms is None
        else fields.read_duration_ms(remaining_ms),
        born_ms=fields.read_whole_number(_get(body, "born", 0)),
        # Inside ``models`` this name is the version of the weights.
        software_version=fields.read_name(body.get("version", "")),
        models=decode_models(body.get("models")),
        in_memory=frozenset(_read_names(copies.get("in_memory"))),
        on_disk=frozenset(_read_names(copies.get("on_disk"))),
    )


def _get(body: dict[str, Any], name: str, default: Any) -> Any:
    """Returns a field, or the default if it is missing or null."""
    value = body.get(name)
    return default if value is None else value


def _read_names(value: Any) -> list[str]:
    return fields.read_list(value, fields.read_name)


def decode_report(body: bytes) -> types.TargetReport | errors.MalformedEntry:
    """Decodes an engine's report."""
    try:
        return _decode_report(_load_object(body))
    except (KeyError, ValueError) as error:
        return errors.MalformedEntry("report", repr(error))


def _decode_report(body: dict[str, Any]) -> types.TargetReport:
    copies = fields.read_object(body.get("at_hand"))
    return types.TargetReport(
        models=decode_models(body["models"]),
        loading_adapters=frozenset(
            fields.read_list(body.get("coming"), _decode_arriving)
        ),
        busy=bool(body["busy"]),
        # In the list of targets, this name counts heartbeats.
        order_sequence=fields.read_whole_number(body["sequence"]),
        waiting=fields.read_whole_number(_get(body, "waiting", 0)),
        running=fields.read_whole_number(_get(body, "running", 0)),
        in_memory=frozenset(_read_names(copies.get("in_memory"))),
        # Listed from the least recently used on; the pages don't name the
        # order, so it may decide preferences only.
        on_disk=tuple(_read_names(copies.get("on_disk"))),
    )


def decode_models(items: Any) -> dict[str, frozenset[str]]:
    """Decodes loaded models; returns the loaded adapters by model.

    Raises:
        KeyError: An item has no name.
        ValueError: An item is malformed.
    """
    return dict(fields.read_list(items, _decode_model))


def _decode_model(item: Any) -> tuple[str, frozenset[str]]:
    body = fields.read_object(item)
    adapters = fields.read_list(body.get("adapters"), _adapter_name)
    return fields.read_name(body["name"]), frozenset(adapters)


def _adapter_name(item: Any) -> str:
    name = fields.read_name(item["name"] if isinstance(item, dict) else item)
    return name.rpartition("/")[2].partition("@")[0]


def _decode_arriving(item: Any) -> tuple[str, str]:
    model, _, adapter = fields.read_name(item).partition("/")
    return model, adapter.partition("@")[0]

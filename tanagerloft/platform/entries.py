"""Decodes entries of the list of targets and reports of engines."""

from __future__ import annotations

from typing import Any

import orjson

from tanagerloft.coordination import errors
from tanagerloft.fleet import types

_STATES = ("ready", "draining")


def decode_entry(
    target_id: str, value: bytes
) -> types.TargetEntry | errors.MalformedEntry:
    """Decodes a target's entry, which is not trusted to be well-formed."""
    try:
        return _decode_entry(target_id, orjson.loads(value))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return errors.MalformedEntry(target_id, repr(error))


def _decode_entry(target_id: str, body: dict[str, Any]) -> types.TargetEntry:
    state = _require_text(body["state"])
    if state not in _STATES:
        raise ValueError(f"unknown state {state!r}")
    host, _, port = _require_text(body["address"]).rpartition(":")
    copies = body.get("at_hand") or {}
    remaining_ms = body.get("remaining_ms")
    return types.TargetEntry(
        target_id=target_id,
        service=_require_text(body["service"]),
        host=host,
        port=int(port),
        data_centre=str(body.get("zone") or ""),
        leaving=state != "ready",
        leaves_in_ms=None if remaining_ms is None else int(remaining_ms),
        born_ms=_decode_start(body.get("born")),
        # Inside ``models`` this name is the version of the weights.
        software_version=_require_text(body.get("version", "")),
        models=decode_models(body.get("models") or ()),
        in_memory=frozenset(copies.get("in_memory") or ()),
        on_disk=frozenset(copies.get("on_disk") or ()),
    )


def _decode_start(value: Any) -> int:
    if value is None:
        return 0
    if type(value) is not int:
        raise TypeError(f"expected a whole number, got {value!r}")
    return value


def decode_report(body: bytes) -> types.TargetReport | errors.MalformedEntry:
    """Decodes an engine's report."""
    try:
        return _decode_report(orjson.loads(body))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return errors.MalformedEntry("report", repr(error))


def _decode_report(body: dict[str, Any]) -> types.TargetReport:
    copies = body.get("at_hand") or {}
    return types.TargetReport(
        models=decode_models(body["models"]),
        loading_adapters=frozenset(
            _decode_arriving(name) for name in body.get("coming") or ()
        ),
        busy=bool(body["busy"]),
        # In the list of targets, this name counts heartbeats.
        order_sequence=int(body["sequence"]),
        waiting=int(body.get("waiting") or 0),
        running=int(body.get("running") or 0),
        in_memory=frozenset(copies.get("in_memory") or ()),
        # Listed from the least recently used on; the pages don't name the
        # order, so it may decide preferences only.
        on_disk=tuple(copies.get("on_disk") or ()),
    )


def decode_models(items: Any) -> dict[str, frozenset[str]]:
    """Decodes loaded models; returns the loaded adapters by model."""
    return {
        _require_text(item["name"]): frozenset(
            _adapter_name(adapter) for adapter in item.get("adapters") or ()
        )
        for item in items
    }


def _adapter_name(item: Any) -> str:
    name = item["name"] if isinstance(item, dict) else _require_text(item)
    return str(name).rpartition("/")[2].partition("@")[0]


def _decode_arriving(item: Any) -> tuple[str, str]:
    model, _, adapter = _require_text(item).partition("/")
    return model, adapter.partition("@")[0]


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a text, got {value!r}")
    return value

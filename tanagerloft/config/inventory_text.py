"""Inventory as text: parsing and checking.

An inventory is a text of JSON objects, one on each line, as an asset register
exports it. The field ``kind`` tells what an entry is.
"""

from collections.abc import Callable
import json
import re
from typing import Any

from tanagerloft.config import errors
from tanagerloft.config import inventory as inventory_lib

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_KINDS: dict[str, tuple[str, type]] = {
    "target": ("targets", inventory_lib.Target),
    "model": ("models", inventory_lib.Model),
    "adapter": ("adapters", inventory_lib.Adapter),
    "route": ("routes", inventory_lib.Route),
    "account": ("accounts", inventory_lib.Account),
    "key": ("keys", inventory_lib.Key),
    "class": ("classes", inventory_lib.RequestClass),
}


def parse(text: str) -> inventory_lib.Inventory | errors.InventoryError:
    """Parses and checks an inventory; the first fault refuses it whole."""
    inventory = inventory_lib.empty()
    lines: dict[tuple[str, str], int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        fault = _add_line(inventory, lines, number, line)
        if fault is not None:
            return errors.InventoryError(number, fault)
    return _first_bad_reference(inventory, lines) or inventory


def dump(inventory: inventory_lib.Inventory) -> str:
    """Returns the inventory as text that ``parse`` accepts."""
    lines = []
    for kind, (field, _) in _KINDS.items():
        for entry in getattr(inventory, field).values():
            lines.append(json.dumps({"kind": kind, **entry._asdict()}))
    return "\n".join(lines) + "\n"


def _add_line(
    inventory: inventory_lib.Inventory,
    lines: dict[tuple[str, str], int],
    number: int,
    line: str,
) -> str | None:
    """Adds one entry; returns what is wrong with it, or None."""
    try:
        fields = json.loads(line)
    except ValueError as error:
        return f"not JSON: {error}"
    if not isinstance(fields, dict) or fields.get("kind") not in _KINDS:
        return f"kind must be one of {', '.join(_KINDS)}"
    field, entry_type = _KINDS[fields.pop("kind")]
    entry = _make_entry(entry_type, fields)
    if isinstance(entry, str):
        return entry
    entries = getattr(inventory, field)
    if entry.name in entries:
        return (
            f"{entry.name!r} stands already on line {lines[field, entry.name]}"
        )
    entries[entry.name] = entry
    lines[field, entry.name] = number
    return None


def _make_entry(
    entry_type: Any, fields: dict[str, Any]
) -> inventory_lib.Entry | str:
    types = entry_type.__annotations__
    for name, value in fields.items():
        if name not in types:
            return f"unknown field {name!r}"
        fault = _type_fault(name, value, types[name])
        if fault is not None:
            return fault
    for name in entry_type._fields:
        if name not in fields and name not in entry_type._field_defaults:
            return f"field {name!r} is missing"
    if "targets" in fields:
        fields["targets"] = tuple(fields["targets"])
    entry = entry_type(**fields)
    return _value_fault(entry) or entry


def _type_fault(name: str, value: Any, expected: Any) -> str | None:
    if expected in (str, int, bool):
        if type(value) is not expected:
            return f"{name} must be of type {expected.__name__}"
        return None
    if not isinstance(value, list) or not all(
        isinstance(item, str) for item in value
    ):
        return f"{name} must be a list of names"
    return None


def _value_fault(entry: inventory_lib.Entry) -> str | None:
    if not _NAME.fullmatch(entry.name):
        return f"{entry.name!r} is not a valid name"
    for name, value in entry._asdict().items():
        if type(value) is int and value < 0 and name != "priority":
            return f"{name} must not be negative"
    check = _VALUE_CHECKS.get(type(entry))
    return check(entry) if check else None


def _target_fault(target: inventory_lib.Target) -> str | None:
    if target.type not in ("engine", "service"):
        return "type must be engine or service"
    if not target.url.startswith(("http://", "https://")):
        return "url must start with http:// or https://"
    return None


def _model_fault(model: inventory_lib.Model) -> str | None:
    if model.load_peak_mb < model.size_mb:
        return "load_peak_mb must be at least size_mb"
    if model.max_replicas < 1:
        return "max_replicas must be at least 1"
    return None


def _route_fault(route: inventory_lib.Route) -> str | None:
    if not route.path.startswith("/") or route.path.startswith("/v1/"):
        return "path must start with a slash and lie outside /v1/"
    if not route.targets:
        return "targets must not be empty"
    if route.open and not route.idempotent:
        return "a route that is not idempotent cannot be open"
    return None


def _account_fault(account: inventory_lib.Account) -> str | None:
    if account.weight < 1 or account.burst_tokens < 1:
        return "weight and burst_tokens must be at least 1"
    return None


def _key_fault(key: inventory_lib.Key) -> str | None:
    if not _DIGEST.fullmatch(key.sha256):
        return "sha256 must be 64 lower-case hexadecimal digits"
    return None


def _class_fault(request_class: inventory_lib.RequestClass) -> str | None:
    return None if request_class.deadline_ms else "deadline_ms must not be 0"


_VALUE_CHECKS: dict[type, Callable[[Any], str | None]] = {
    inventory_lib.Target: _target_fault,
    inventory_lib.Model: _model_fault,
    inventory_lib.Route: _route_fault,
    inventory_lib.Account: _account_fault,
    inventory_lib.Key: _key_fault,
    inventory_lib.RequestClass: _class_fault,
}


def _first_bad_reference(
    inventory: inventory_lib.Inventory, lines: dict[tuple[str, str], int]
) -> errors.InventoryError | None:
    """Finds an entry that names another which does not exist or fit."""
    if "default" not in inventory.classes:
        return errors.InventoryError(0, "class 'default' is missing")
    for field, name, fault in _reference_faults(inventory):
        return errors.InventoryError(lines[field, name], fault)
    return None


def _reference_faults(inventory: inventory_lib.Inventory):
    for model in inventory.models.values():
        if model.request_class not in inventory.classes:
            yield "models", model.name, f"no class {model.request_class!r}"
    for adapter in inventory.adapters.values():
        if adapter.model not in inventory.models:
            yield "adapters", adapter.name, f"no model {adapter.model!r}"
        if adapter.name in inventory.models:
            yield "adapters", adapter.name, "name is that of a model"
    for route in inventory.routes.values():
        for target in route.targets:
            if _type_of(inventory, target) != "service":
                yield "routes", route.name, f"no service {target!r}"
        if route.request_class not in inventory.classes:
            yield "routes", route.name, f"no class {route.request_class!r}"
    yield from _key_reference_faults(inventory)


def _key_reference_faults(inventory: inventory_lib.Inventory):
    digests: dict[str, str] = {}
    for key in inventory.keys.values():
        if key.account not in inventory.accounts:
            yield "keys", key.name, f"no account {key.account!r}"
        if key.sha256 in digests:
            yield "keys", key.name, f"same digest as {digests[key.sha256]!r}"
        digests[key.sha256] = key.name


def _type_of(inventory: inventory_lib.Inventory, target: str) -> str:
    entry = inventory.targets.get(target)
    return entry.type if entry else ""

"""Tests of tanagerloft.config.inventory."""

import json

import pytest

from tanagerloft.config import errors
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import inventory_text

_DIGEST = "0" * 64
_LINES = [
    {"kind": "class", "name": "default", "deadline_ms": 1_000},
    {"kind": "target", "name": "e", "url": "http://h", "type": "engine",
     "data_centre": "dc", "memory_mb": 10, "checks_fencing": True},
    {"kind": "target", "name": "s", "url": "http://h", "type": "service",
     "data_centre": "dc"},
    {"kind": "model", "name": "m", "version": "1", "size_mb": 1,
     "load_peak_mb": 2},
    {"kind": "adapter", "name": "a", "model": "m", "version": "1",
     "size_mb": 1},
    {"kind": "route", "name": "r", "path": "/r", "targets": ["s"]},
    {"kind": "account", "name": "c", "rate_tokens_per_s": 1,
     "burst_tokens": 1},
    {"kind": "key", "name": "k", "account": "c", "sha256": _DIGEST},
]  # fmt: skip


def _text(lines):
    return "\n".join(json.dumps(line) for line in lines)


def test_dump_and_parse_agree():
    inventory = inventory_text.parse(_text(_LINES))
    assert isinstance(inventory, inventory_lib.Inventory)
    assert inventory_text.parse(inventory_text.dump(inventory)) == inventory


@pytest.mark.parametrize(
    ("line", "change", "reason"),
    [
        (2, {"type": "car"}, "type must be engine or service"),
        (2, {"memory_mb": "10"}, "memory_mb must be of type int"),
        (2, {"checks_fencing": 1}, "checks_fencing must be of type bool"),
        (2, {"colour": "red"}, "unknown field 'colour'"),
        (3, {"name": "e"}, "'e' stands already on line 2"),
        (3, {"name": "../x"}, "'../x' is not a valid name"),
        (4, {"load_peak_mb": 0}, "load_peak_mb must be at least size_mb"),
        (4, {"size_mb": -1}, "size_mb must not be negative"),
        (4, {"request_class": "x"}, "no class 'x'"),
        (5, {"model": "x"}, "no model 'x'"),
        (5, {"name": "m"}, "name is that of a model"),
        (6, {"targets": ["e"]}, "no service 'e'"),
        (6, {"targets": []}, "targets must not be empty"),
        (6, {"path": "/v1/x"}, "path must start with a slash and lie"),
        (6, {"open": True, "idempotent": False}, "cannot be open"),
        (7, {"weight": 0}, "weight and burst_tokens must be at least 1"),
        (8, {"account": "x"}, "no account 'x'"),
        (8, {"sha256": "zz"}, "sha256 must be 64 lower-case"),
        (8, {"kind": "car"}, "kind must be one of"),
    ],
)
def test_fault_names_the_line(line, change, reason):
    lines = [dict(entry) for entry in _LINES]
    lines[line - 1].update(change)
    result = inventory_text.parse(_text(lines))
    assert isinstance(result, errors.InventoryError)
    assert result.line == line
    assert reason in result.reason


def test_missing_field_and_broken_json_name_the_line():
    assert inventory_text.parse('{"kind": "class"}').line == 1
    assert inventory_text.parse(_text(_LINES) + "\n{").line == 9

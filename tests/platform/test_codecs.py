"""Codecs of the adapter."""

import ipaddress
import json

import hypothesis
from hypothesis import strategies

from tanagerloft.coordination import errors
from tanagerloft.coordination import messages
from tanagerloft.coordination import target_entries
from tanagerloft.fleet import types
from tanagerloft.platform import configuration
from tanagerloft.platform import entries
from tests.support import engines
from tests.support import users_platform

_ENTRY = {
    "service": "s",
    "address": "10.1.2.3:80",
    "zone": "z",
    "version": "v3",
    "state": "ready",
    # Counts heartbeats in an entry, and orders in a report.
    "sequence": 900,
    "born": 5,
    "models": [{"name": "m", "version": 1, "adapters": ["a1"]}],
    "at_hand": {"in_memory": ["m"], "on_disk": ["m", "n"]},
}


def test_an_entry_is_decoded():
    entry = entries.decode_entry("t", json.dumps(_ENTRY).encode())
    assert isinstance(entry, types.TargetEntry)
    assert (entry.host, entry.port) == ("10.1.2.3", 80)
    assert entry.models == {"m": frozenset(["a1"])}
    assert entry.on_disk == {"m", "n"}
    assert entry.software_version == "v3"
    assert not entry.leaving


def test_malformed_entries_are_refused():
    for change in (
        {"state": "unknown"},
        {"service": None},
        {"address": "10.1.2.3"},
        {"address": 7},
        {"models": 3},
        {"models": [{"name": 1}]},
        {"born": "5"},
        {"born": 5.0},
        {"born": True},
        {"version": 3},
        {"remaining_ms": "91520261205173540120"},
        {"remaining_ms": 10**20},
        {"remaining_ms": -1},
        {"remaining_ms": True},
        {"born": -5},
        {"born": 2**63},
        {"address": "10.1.2.3:0"},
        {"address": "10.1.2.3:65536"},
        {"address": "10.1.2.3:91520261205173540120"},
        {"address": "10.1.2.3:+80"},
        {"address": "host.example:80"},
        {"address": "0.0.0.0:80"},
        {"zone": 3},
        {"zone": "z" * 201},
        {"models": {"m": []}},
        {"at_hand": ["m"]},
        {"at_hand": {"on_disk": "mn"}},
    ):
        value = json.dumps({**_ENTRY, **change}).encode()
        found = entries.decode_entry("t", value)
        assert isinstance(found, errors.MalformedEntry), change


def test_a_report_is_decoded():
    body = {
        "models": [{"name": "m", "version": 2, "adapters": ["a1"]}],
        "coming": ["m/a2@1"],
        "busy": True,
        "sequence": 4,
        "waiting": 1,
        "running": 2,
    }
    report = entries.decode_report(json.dumps(body).encode())
    assert isinstance(report, types.TargetReport)
    assert report.loading_adapters == {("m", "a2")}
    assert (report.busy, report.order_sequence) == (True, 4)


def test_a_configuration_is_decoded():
    value = json.dumps(users_platform.configuration()).encode()
    config = configuration.decode(value)
    assert isinstance(config, types.Configuration)
    route = config.find_route("h.example", "/resume/x")
    assert route is not None
    assert route.kind is types.RouteKind.STREAM
    assert route.retryable
    assert config.services["engines"].models["m1"].load_ms == 6_000
    assert config.account_by_key[users_platform.KEY].name == "acc"


def test_the_longest_prefix_wins():
    body = users_platform.configuration()
    body["routes"] = [
        {**body["routes"][0], "name": "short", "prefix": "/a/"},
        {**body["routes"][0], "name": "long", "prefix": "/a/b/"},
    ]
    config = configuration.decode(json.dumps(body).encode())
    assert isinstance(config, types.Configuration)
    found = config.find_route("h.example", "/a/b/c")
    assert found is not None
    assert found.name == "long"
    assert config.find_route("h.example", "/other") is None


def test_a_malformed_route_leaves_the_others():
    body = users_platform.configuration()
    body["routes"].append({"name": "bad", "kind": "unheard of"})
    config = configuration.decode(json.dumps(body).encode())
    assert isinstance(config, types.Configuration)
    assert len(config.routes["h.example"]) == 5


_TEXT = strategies.text(max_size=300)
_JSON = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.integers(-(2**70), 2**70),
    strategies.integers(0, 2**70).map(str),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.integers(0, 2**20).map(lambda port: f"10.1.2.3:{port}"),
    _TEXT,
    strategies.lists(_TEXT, max_size=3),
    strategies.dictionaries(_TEXT, _TEXT, max_size=3),
)
# The fields that the decoder uses; ``state`` and ``service`` are fixed words.
_FIELDS = ("address", "zone", "version", "born", "remaining_ms", "at_hand")


@hypothesis.settings(max_examples=500, deadline=None)
@hypothesis.given(
    name=_TEXT.filter(bool) | strategies.just("t"),
    field=strategies.sampled_from(_FIELDS),
    value=_JSON,
    model=_TEXT,
    adapters=strategies.lists(_TEXT | _JSON, max_size=2),
)
def test_an_accepted_entry_can_be_shared_and_addressed(
    name, field, value, model, adapters
):
    # Guards against an entry that is taken, and later ends the process that
    # sends it on or connects to its target.
    models = [{"name": model, "adapters": adapters}]
    body = {**_ENTRY, "models": models, field: value}
    entry = entries.decode_entry(name, json.dumps(body).encode())
    if isinstance(entry, errors.MalformedEntry):
        return
    shared = target_entries.SharedTarget(name, 1, entry)
    delta = messages.TargetListDelta([shared], 0, 1, 1, 0)
    view = engines.view()._replace(targets=delta)
    received = messages.decode(messages.encode(view))
    assert isinstance(received, messages.View)
    without_copies = entry._replace(in_memory=frozenset(), on_disk=frozenset())
    assert received.targets.changed == [shared._replace(entry=without_copies)]
    assert ipaddress.ip_address(entry.host)
    assert 0 < entry.port < 2**16
    assert name.encode("latin-1").strip() == name.encode("latin-1")

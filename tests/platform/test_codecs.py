"""Codecs of the adapter."""

import json
import math

import hypothesis
from hypothesis import strategies
import pytest

from tanagerloft.coordination import errors
from tanagerloft.fleet import types
from tanagerloft.gateway import codec
from tanagerloft.gateway import errors as gateway_errors
from tanagerloft.net import responder as responder_lib
from tanagerloft.net import target_connection
from tanagerloft.platform import configuration
from tanagerloft.platform import entries
from tanagerloft.platform import requests
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


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from([*_ENTRY, "routes", "services", "version"]),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(_JSON, strategies.binary(max_size=20))
def test_no_input_breaks_a_decoder(value, raw):
    for data in (json.dumps(value).encode(), raw):
        entries.decode_entry("t", data)
        entries.decode_report(data)
        configuration.decode(data)


def _decode(**headers) -> codec.DecodedRequest | gateway_errors.Refusal:
    fields = {"Host": "H.example:80", "Attempt-Id": "a"} | headers
    request = responder_lib.Request(
        "GET",
        b"/p/x?q",
        tuple((k.encode(), v.encode()) for k, v in fields.items()),
        b"",
        0,
    )
    return requests.PlatformCodec().decode(request)


def test_a_request_is_decoded():
    decoded = _decode(**{"Model": "m/a3", "Token-Counts": "1460,80"})
    assert isinstance(decoded, codec.DecodedRequest)
    assert (decoded.host, decoded.path) == ("h.example", "/p/x")
    assert (decoded.model, decoded.adapter, decoded.tokens) == (
        "m",
        "a3",
        1_540,
    )


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        ("5c1e07a2:800,91BD3F06:410, e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("e4402b7d:250", ()),
        ("", ()),
        ("5c:8,xyz:1,:3,91:,7f:5,e4:1", ("5c", "7f")),
        (",,,", ()),
        ("a" * 40 + ":1,5c:8,e4:1", ("5c",)),
        (",".join(["5c:8"] * 900), ("5c",) * 32),
    ],
)
def test_the_shared_parts_of_a_prompt_are_decoded(value, parts):
    decoded = _decode(**{"Prompt-Prefix": value})
    assert isinstance(decoded, codec.DecodedRequest)
    assert decoded.shared_parts == parts


@pytest.mark.parametrize(
    ("value", "resumed_id"),
    [("a-7", "a-7"), ("", None), ("a 7", None), ("a" * 129, None)],
)
def test_the_attempt_that_began_a_stream_is_decoded(value, resumed_id):
    decoded = _decode(Resumes=value)
    assert isinstance(decoded, codec.DecodedRequest)
    assert decoded.resumed_id == resumed_id
    repeated = _decode(Resumes="a-7", resumes="a-8")
    assert repeated == gateway_errors.MALFORMED


def test_hop_by_hop_headers_are_not_forwarded():
    decoded = _decode(
        **{"Connection": "X-Mine, close", "X-Mine": "1", "X-Yours": "2"}
    )
    assert isinstance(decoded, codec.DecodedRequest)
    names = {name.lower() for name, _ in decoded.headers}
    assert b"x-mine" not in names
    assert b"x-yours" in names


def _decode_head(**headers) -> codec.ResponseInfo:
    decoded = _decode()
    assert isinstance(decoded, codec.DecodedRequest)
    head = target_connection.ResponseHead(
        200, tuple((k.encode(), v.encode()) for k, v in headers.items())
    )
    return requests.PlatformCodec().decode_head(decoded, head)


def test_only_a_sealed_response_with_the_request_id_is_authentic():
    assert _decode_head(**{"attempt-id": "a", "response-seal": "s"}).authentic
    assert not _decode_head(**{"attempt-id": "a"}).authentic
    assert not _decode_head(**{"response-seal": "s"}).authentic
    assert not _decode_head(
        **{"attempt-id": "b", "response-seal": "s"}
    ).matches_request


def test_a_limit_is_decoded_safely():
    """Malformed values are ignored; of two values the lower one counts."""
    limit_by_text = {
        "1": 1.0,
        " 12.50 ": 12.5,
        "0": 0.0,
        "0.001": 0.001,
        "999999999": 999_999_999.0,
        "-1": None,
        "1e9": None,
        "": None,
        "nan": None,
        "1,2": None,
        "9" * 400: None,
    }
    for text, limit_per_s in limit_by_text.items():
        info = _decode_head(**{"attempt-id": "a", "server-limit": text})
        assert info.limit_per_s == limit_per_s, text
    pairs = ((b"server-limit", b"7"), (b"server-limit", b"2"))
    head = target_connection.ResponseHead(503, pairs)
    assert (
        requests.PlatformCodec().decode_head(_decode(), head).limit_per_s == 2.0
    )


def test_only_a_response_to_the_request_tells_that_there_is_no_limit():
    assert _decode_head(**{"attempt-id": "a"}).limit_per_s == math.inf
    assert _decode_head(**{"attempt-id": "b"}).limit_per_s is None
    assert _decode_head().limit_per_s is None


def test_a_refusal_has_a_retry_time():
    refusal = gateway_errors.MODEL_NOT_READY._replace(retry_after_ms=1_234)
    headers, _ = requests.PlatformCodec().encode_refusal(refusal, "a")
    assert (b"Retry-After", b"1.234") in headers

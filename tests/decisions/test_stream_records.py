"""Records of the software versions that began streams."""

import pytest

from tanagerloft.decisions import base_versions
from tanagerloft.decisions import stream_records

_HOLD_MS = 1_000


def _streams(count: int) -> list[bytes]:
    return [stream_records.digest(f"a-{n}") for n in range(count)]


def test_records_survive_encoding():
    records = stream_records.StreamRecords()
    streams = _streams(30)
    for number, stream in enumerate(streams):
        records.put(stream, f"v{number % 3}", 500 + number)
    logged = stream_records.decode(records.encode(100, 10_000))
    assert logged is not None
    assert logged.expires_wall_ms == 10_000 + 529 - 100
    assert logged.versions == {
        stream: f"v{number % 3}" for number, stream in enumerate(streams)
    }


def test_a_full_row_stays_within_the_limit_of_the_store():
    records = stream_records.StreamRecords()
    for stream in _streams(stream_records.MAX_RECORDS):
        assert not records.is_full
        records.put(stream, "v1", 1)
    assert records.is_full
    assert len(records.encode(0, 10**13)) < 65_536


def test_expired_records_are_dropped_and_earlier_ones_kept():
    records = stream_records.StreamRecords()
    first, second, third = _streams(3)
    records.put(first, "v1", 100)
    records.put(second, "v1", 200)
    earlier = stream_records.LoggedRecords(0, {second: "v0", third: "v0"})
    records.add_earlier(earlier, 300)
    records.drop_expired(150)
    assert first not in records
    logged = stream_records.decode(records.encode(150, 0))
    assert logged is not None
    assert logged.versions == {second: "v1", third: "v0"}


@pytest.mark.parametrize("value", [b"", b"x", b"\x93\x01\x02\x03", b"\x92\x01"])
def test_malformed_rows_are_not_decoded(value):
    assert stream_records.decode(value) is None


def _choose(policy, serving, base, now_ms):
    return policy.choose("s", serving, base, _HOLD_MS, now_ms)


def test_the_version_of_most_targets_becomes_the_first_base_version():
    policy = base_versions.BaseVersionPolicy()
    assert _choose(policy, [], None, 0) is None
    assert _choose(policy, ["v2", "v1", "v2"], None, 10) == "v2"


def test_the_base_version_changes_only_after_it_was_absent_for_long():
    policy = base_versions.BaseVersionPolicy()
    assert _choose(policy, ["v1", "v2"], "v1", 0) is None
    assert _choose(policy, ["v2"], "v1", _HOLD_MS - 1) is None
    assert _choose(policy, ["v1", "v2"], "v1", _HOLD_MS) is None
    assert _choose(policy, ["v2"], "v1", 2 * _HOLD_MS - 1) is None
    assert _choose(policy, [], "v1", 2 * _HOLD_MS) is None
    assert _choose(policy, ["v2"], "v1", 2 * _HOLD_MS) == "v2"


def test_a_new_process_waits_before_it_changes_the_base_version():
    policy = base_versions.BaseVersionPolicy()
    assert _choose(policy, ["v2"], "v1", 50_000) is None
    assert _choose(policy, ["v2"], "v1", 50_000 + _HOLD_MS) == "v2"

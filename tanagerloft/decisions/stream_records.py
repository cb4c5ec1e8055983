"""Records of the software versions that began streams.

A stream may only go on at the software version that began it. Most streams of a
service are begun by its base version and leave no record; streams that another
version begins are recorded. So a stream without a record is one of the base
version, provided that no process takes another version for the base one.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

import msgpack

_DIGEST_BYTES = 8
# Records of one process, which fit into one row of the store.
MAX_RECORDS = 4_000


class _Record(NamedTuple):
    software_version: str
    expires_ms: int


class LoggedRecords(NamedTuple):
    """Records of one process, as its row of the store holds them.

    Attributes:
        expires_wall_ms: Wall time after which no caller resumes any of them.
        versions: Software version of each stream, by digest.
    """

    expires_wall_ms: int
    versions: dict[bytes, str]


class StreamRecords:
    """Records of the streams that one process has begun."""

    def __init__(self):
        self._by_digest: dict[bytes, _Record] = {}

    def __contains__(self, stream: bytes) -> bool:
        """Returns whether a stream has a record."""
        return stream in self._by_digest

    @property
    def is_full(self) -> bool:
        """Whether there is no room for another record."""
        return len(self._by_digest) >= MAX_RECORDS

    def put(
        self, stream: bytes, software_version: str, expires_ms: int
    ) -> None:
        """Records the version that begins a stream."""
        self._by_digest[stream] = _Record(software_version, expires_ms)

    def add_earlier(self, logged: LoggedRecords, expires_ms: int) -> None:
        """Adds the records of an earlier process of the same instance."""
        for stream, software_version in logged.versions.items():
            if not self.is_full:
                self._by_digest.setdefault(
                    stream, _Record(software_version, expires_ms)
                )

    def drop_expired(self, now_ms: int) -> None:
        """Drops the records of streams that no caller resumes any more."""
        self._by_digest = {
            stream: record
            for stream, record in self._by_digest.items()
            if record.expires_ms > now_ms
        }

    def encode(self, now_ms: int, wall_ms: int) -> bytes:
        """Encodes the records as the value of a row."""
        streams: dict[str, bytes] = {}
        latest_ms = now_ms
        for stream, record in self._by_digest.items():
            version = record.software_version
            streams[version] = streams.get(version, b"") + stream
            latest_ms = max(latest_ms, record.expires_ms)
        return msgpack.packb([wall_ms + latest_ms - now_ms, streams])


def digest(stream_id: str) -> bytes:
    """Returns the digest under which a stream is recorded.

    Args:
        stream_id: Identity of the attempt that began it.
    """
    return hashlib.blake2b(
        stream_id.encode(), digest_size=_DIGEST_BYTES
    ).digest()


def decode(value: bytes) -> LoggedRecords | None:
    """Decodes the value of a row; returns None if it is malformed."""
    try:
        expires_wall_ms, streams = msgpack.unpackb(value)
        versions = {
            joined[start : start + _DIGEST_BYTES]: str(version)
            for version, joined in streams.items()
            for start in range(0, len(joined), _DIGEST_BYTES)
        }
        return LoggedRecords(int(expires_wall_ms), versions)
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException):
        return None

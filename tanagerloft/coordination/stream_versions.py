"""Knows which software version began a stream, also after a restart.

Streams that a version other than the base version of their service begins are
recorded in the store before they are sent to a target, see
``decisions.stream_records``. Each instance has a row for its records, and each
service one for its base version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
from typing import NamedTuple

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.coordination import table_reader
from tanagerloft.coordination import target_entries
from tanagerloft.decisions import base_versions
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import stream_records
from tanagerloft.fleet import types
from tanagerloft.util import bounded
from tanagerloft.util import loops

logger = logging.getLogger(__name__)

TABLE = "streams"
_BASE_PREFIX = "base/"
_RECORDS_PREFIX = "records/"
# Age of what is known of base versions up to which it is relied on.
_VALID_MS = 120_000
# Time between two reads of the table, also while a base version is missing.
_REFRESH_MS = 10_000
_MISSING_REFRESH_MS = 1_000
# Delay after a failed call.
_RETRY_DELAY_MS = 300
# Longest time that a request waits for its record, or for a look-up.
_WAIT_TIMEOUT_MS = 1_000
# Streams begun by this process that need no look-up, the newest.
_MAX_BEGUN = 8_192

OnRecorded = Callable[[bool], None]
OnFound = Callable[[str | None], None]


class _PendingRecord(NamedTuple):
    asked_ms: int
    done: OnRecorded


class _LookUp(NamedTuple):
    asked_ms: int
    stream: bytes | None
    service: str
    done: OnFound


class StreamVersions:
    """Records the software versions of streams, and looks them up.

    Args:
        store: The platform's store.
        instance: Name of this instance.
        targets: Entries of the target list.
        lease: State of the lease; its holder maintains the base versions.
        now_ms: Clock.
        wall_ms: Wall clock.
    """

    def __init__(
        self,
        store: store_lib.Store,
        instance: str,
        targets: target_entries.TargetEntries,
        lease: order_lease.OrderLease,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
    ):
        self._store = store
        self._reader = table_reader.TableReader(store, TABLE)
        self._row_key = _RECORDS_PREFIX + instance
        self._targets = targets
        self._lease = lease
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._services: frozenset[str] = frozenset()
        self._keep_ms = 0
        self._policy = base_versions.BaseVersionPolicy()
        # Base version of each service, with the version of its row.
        self._bases: dict[str, tuple[str, int]] = {}
        self._logged: dict[str, stream_records.LoggedRecords] = {}
        self._read_ms: int | None = None
        self._era = 0
        self._read_now = asyncio.Event()
        self._look_ups: list[_LookUp] = []
        self._records = stream_records.StreamRecords()
        self._row_version: int | None = None
        self._write_now = asyncio.Event()
        self._pending: list[_PendingRecord] = []
        self._writes_fail = False
        self._begun: dict[bytes, str] = {}

    def configure(self, configuration: types.Configuration) -> None:
        """Applies the routes of a new configuration."""
        resumable = [
            route
            for routes in configuration.routes.values()
            for route in routes
            if route.resumable
        ]
        self._services = frozenset(
            split.service for route in resumable for split in route.splits
        )
        self._keep_ms = max(
            (route.timeout_ms for route in resumable), default=0
        )
        self._read_now.set()

    def base_version(self, service: str) -> str | None:
        """Returns the base version of a service, None if it is not known."""
        if self._read_ms is None or self._now_ms() - self._read_ms > _VALID_MS:
            return None
        base = self._bases.get(service)
        return base[0] if base else None

    def needs_record(
        self, stream_id: str, service: str, software_version: str
    ) -> bool:
        """Returns whether a stream needs a record before it is sent.

        Args:
            stream_id: Identity of the attempt that begins the stream.
            service: Its service.
            software_version: Software version that is to begin it.
        """
        if stream_records.digest(stream_id) in self._records:
            return True
        return self.base_version(service) != software_version

    @property
    def can_record(self) -> bool:
        """Whether a record is likely to be written in time."""
        return not self._writes_fail and not self._records.is_full

    def record(
        self,
        stream_id: str,
        software_version: str,
        expires_ms: int,
        done: OnRecorded,
    ) -> None:
        """Records the software version that is to begin a stream.

        Args:
            stream_id: Identity of the attempt that begins it.
            software_version: The version.
            expires_ms: Time after which its caller no longer resumes it.
            done: Called with whether the record is in the store.
        """
        stream = stream_records.digest(stream_id)
        self._records.put(stream, software_version, expires_ms)
        self._pending.append(_PendingRecord(self._now_ms(), done))
        self._write_now.set()

    def note_begun(self, stream_id: str, software_version: str) -> None:
        """Remembers the version of a stream that this process has begun."""
        bounded.put_newest(
            self._begun,
            stream_records.digest(stream_id),
            software_version,
            _MAX_BEGUN,
        )

    def look_up(
        self, stream_id: str | None, service: str, done: OnFound
    ) -> None:
        """Looks up the software version that began a stream.

        Args:
            stream_id: Identity of the attempt that began it, None if unknown.
            service: Its service.
            done: Called with the version, None if it is not certain.
        """
        stream = stream_records.digest(stream_id) if stream_id else None
        begun = self._begun.get(stream) if stream else None
        if begun is not None:
            done(begun)
            return
        self._look_ups.append(_LookUp(self._now_ms(), stream, service, done))
        self._read_now.set()

    async def run_reads(self) -> None:
        """Reads the table and answers look-ups until the process ends."""
        while True:
            self._read_now.clear()
            asked, self._look_ups = self._look_ups, []
            if await self._read():
                for look_up in asked:
                    look_up.done(self._find(look_up))
                await self._maintain_bases()
                await loops.wait(self._read_now, self._refresh_ms())
            else:
                self._look_ups = self._answer_offline(asked) + self._look_ups
                if self._reader.failures:
                    await loops.sleep(_RETRY_DELAY_MS)

    async def run_writes(self) -> None:
        """Writes records until the process ends."""
        while True:
            await self._write_now.wait()
            self._write_now.clear()
            pending, self._pending = self._pending, []
            written = await self._write()
            self._writes_fail = not written
            if written:
                for record in pending:
                    record.done(True)
                continue
            self._pending = self._expire_records(pending) + self._pending
            await loops.sleep(_RETRY_DELAY_MS)
            self._write_now.set()

    def _refresh_ms(self) -> int:
        if not self._services:
            return _VALID_MS
        if self._services <= self._bases.keys():
            return _REFRESH_MS
        return _MISSING_REFRESH_MS

    async def _read(self) -> bool:
        """Reads what has changed; returns whether that succeeded."""
        started_ms = self._now_ms()
        is_full = self._reader.is_full_scan
        snapshot = await self._reader.read(wait_ms=0)
        if snapshot is None:
            return False
        if is_full:
            self._bases.clear()
            self._logged.clear()
        for row in snapshot.rows:
            self._apply(row)
        if self._row_version is None or snapshot.era != self._era:
            self._adopt_row(snapshot)
        self._read_ms = started_ms
        return True

    def _apply(self, row: store_lib.Row) -> None:
        if row.value is None:
            self._bases.pop(row.key.removeprefix(_BASE_PREFIX), None)
            self._logged.pop(row.key, None)
            return
        if row.key.startswith(_BASE_PREFIX):
            service = row.key.removeprefix(_BASE_PREFIX)
            base = row.value.decode("utf-8", "replace")
            self._bases[service] = (base, row.version)
            return
        logged = stream_records.decode(row.value)
        if logged is None:
            logger.error(
                "malformed records of streams ignored", extra={"key": row.key}
            )
            return
        self._logged[row.key] = logged

    def _adopt_row(self, snapshot: store_lib.Snapshot) -> None:
        """Takes over this instance's row, as it was before this process.

        After a restore of the store, the row lacks the latest records.
        """
        versions = {row.key: row.version for row in snapshot.rows}
        restored = self._row_version is not None
        self._row_version = versions.get(self._row_key, 0)
        self._era = snapshot.era
        self._keep_earlier(self._logged.get(self._row_key))
        if restored:
            self._write_now.set()

    def _find(self, look_up: _LookUp) -> str | None:
        base = self.base_version(look_up.service)
        if look_up.stream is None:
            # Without a name, only the absence of all records is certain.
            found = None if self._has_records() else base
        else:
            recorded = (
                logged.versions.get(look_up.stream)
                for logged in self._logged.values()
            )
            found = next((version for version in recorded if version), base)
        logger.info(
            "software version of a stream looked up",
            extra={
                "service": look_up.service,
                "named": look_up.stream is not None,
                "software": found,
                "base": base,
                "took_ms": self._now_ms() - look_up.asked_ms,
            },
        )
        return found

    def _has_records(self) -> bool:
        """Returns whether any stream has a record, as of the last read."""
        wall_ms = self._wall_ms()
        return any(
            logged.versions and logged.expires_wall_ms > wall_ms
            for logged in self._logged.values()
        )

    def _answer_offline(self, asked: list[_LookUp]) -> list[_LookUp]:
        """Answers look-ups without the store; returns those that wait for it.

        While the store is away nothing can be recorded, so a service whose
        targets are all of the base version has no other streams.
        """
        oldest_ms = self._now_ms() - _WAIT_TIMEOUT_MS
        waiting = []
        for look_up in asked:
            only_version = self._only_version(look_up.service)
            if only_version is not None or look_up.asked_ms < oldest_ms:
                look_up.done(only_version)
            else:
                waiting.append(look_up)
        return waiting

    def _only_version(self, service: str) -> str | None:
        """Returns the base version if it is the only one, else None."""
        base = self.base_version(service)
        listed = {
            entry.software_version
            for entry in self._targets.by_target.values()
            if entry.service == service
        }
        return base if listed == {base} and not self._has_records() else None

    def _expire_records(
        self, pending: list[_PendingRecord]
    ) -> list[_PendingRecord]:
        oldest_ms = self._now_ms() - _WAIT_TIMEOUT_MS
        for record in pending:
            if record.asked_ms < oldest_ms:
                record.done(False)
        return [item for item in pending if item.asked_ms >= oldest_ms]

    async def _write(self) -> bool:
        """Writes this instance's records; returns whether that succeeded."""
        if self._row_version is None:
            self._read_now.set()
            return False
        failure = await self._write_once(self._row_version)
        if failure is errors.StoreFailure.CONFLICT:
            # An earlier write of unknown outcome has taken effect.
            failure = await self._write_once(self._row_version)
        return failure is None

    async def _write_once(self, row_version: int) -> errors.StoreFailure | None:
        """Writes the records; returns how that failed, None for success."""
        now_ms = self._now_ms()
        self._records.drop_expired(now_ms)
        value = self._records.encode(now_ms, self._wall_ms())
        written = await self._store.write(
            TABLE, self._row_key, value, row_version
        )
        if not isinstance(written, errors.StoreError):
            self._row_version = written.version
            return None
        logger.warning(
            "records of streams could not be written",
            extra={"reason": written.reason, "row_version": row_version},
        )
        if written.failure is not errors.StoreFailure.NOT_DONE:
            await self._read_row()
        return written.failure

    async def _read_row(self) -> None:
        """Reads this instance's row after a write of unknown outcome."""
        row = await self._store.read(TABLE, self._row_key)
        if isinstance(row, errors.StoreError):
            return
        self._row_version = row.version
        self._keep_earlier(stream_records.decode(row.value or b""))

    def _keep_earlier(
        self, logged: stream_records.LoggedRecords | None
    ) -> None:
        """Keeps the records of an earlier process in this instance's row."""
        if logged is not None:
            keep_ms = max(self._keep_ms, _VALID_MS)
            self._records.add_earlier(logged, self._now_ms() + keep_ms)

    async def _maintain_bases(self) -> None:
        """Chooses base versions; their rows are written by the holder."""
        if not self._targets.known_version:
            return
        entries = list(self._targets.by_target.values())
        for service in self._services:
            serving = [
                entry.software_version
                for entry in entries
                if entry.service == service
            ]
            base, row_version = self._bases.get(service, (None, 0))
            chosen = self._policy.choose(
                service,
                serving,
                base,
                _VALID_MS + self._keep_ms,
                self._now_ms(),
            )
            if chosen is not None and self._lease.is_holder(self._now_ms()):
                await self._write_base(service, chosen, row_version)

    async def _write_base(
        self, service: str, chosen: str, row_version: int
    ) -> None:
        written = await self._store.write(
            TABLE, _BASE_PREFIX + service, chosen.encode(), row_version
        )
        logger.info(
            "base version of a service written",
            extra={
                "service": service,
                "software": chosen,
                "outcome": written.reason
                if isinstance(written, errors.StoreError)
                else written.version,
            },
        )

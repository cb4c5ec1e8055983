"""Entries of the target list, read from the store or shared by instances."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import NamedTuple

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.fleet import types
from tanagerloft.util import store_versions

logger = logging.getLogger(__name__)

# Changed rows in one message, which keeps it a datagram of a few kilobytes.
_MAX_SHARED_ROWS = 20
# Bytes of names in the changed rows of one message.
_MAX_SHARED_BYTES = 16_384

DecodeEntry = Callable[[str, bytes], types.TargetEntry | errors.MalformedEntry]


class SharedTarget(NamedTuple):
    """A row of the target list, as one instance shares it with another.

    Attributes:
        target_id: Name of the target.
        version: Version of the row, see ``store_versions.join_era``.
        entry: Contents of the row, without the copies of weights; None if the
            row does not exist (any more).
    """

    target_id: str
    version: int
    entry: types.TargetEntry | None


class TargetEntries:
    """Entries by target, each with the version of its row.

    A row replaces only an older version of it, whatever its source. All
    versions are those of ``store_versions.join_era``. After a restore of the
    store, its rows may be older than what is known: a target that has left does
    not come back with them, and one that the copy lacks is kept until targets
    have had the time to write their rows again.

    Args:
        decode: Decodes an entry of the platform's list.

    Attributes:
        base_version: Version of the store since which this instance knows all
            changes.
        known_version: Version up to which it knows them.
        by_target: The entries.
        on_added: Called with the entry of each new incarnation.
    """

    def __init__(self, decode: DecodeEntry):
        self._decode = decode
        self._versions: dict[str, int] = {}
        self._highest_numbers: dict[str, int] = {}
        # Targets whose entries have named their start.
        self._name_start: set[str] = set()
        self.base_version = 0
        self.known_version = 0
        self.by_target: dict[str, types.TargetEntry] = {}
        self.on_added: Callable[[types.TargetEntry], None] = lambda _: None

    def on_rows(self, snapshot: store_lib.Snapshot, complete: bool) -> bool:
        """Applies rows read from the store.

        Args:
            snapshot: Rows of the list.
            complete: Whether entries that are not among them are gone.

        Returns:
            Whether more targets may be available for requests.
        """
        version = store_versions.join_era(snapshot.era, snapshot.version)
        restored = complete and self.is_of_later_era(snapshot)
        changed = False
        if complete:
            if not restored:
                self._remove_missing(snapshot, version)
            self.base_version = version
        for row in snapshot.rows:
            row_version = store_versions.join_era(snapshot.era, row.version)
            if restored and self._may_be_copied(row):
                self._on_copied_row(row, row_version)
            elif self._is_newer(row.key, row_version, complete):
                changed |= self._on_row(row, row_version)
        self.known_version = max(self.known_version, version)
        return changed

    def is_of_later_era(self, snapshot: store_lib.Snapshot) -> bool:
        """Returns whether the store has been restored since the last read."""
        known_era, _ = store_versions.split_era(self.known_version)
        return self.known_version > 0 and snapshot.era > known_era

    def _remove_missing(
        self, snapshot: store_lib.Snapshot, version: int
    ) -> None:
        present = {row.key for row in snapshot.rows}
        for target_id in set(self.by_target) - present:
            if self._is_newer(target_id, version, complete=True):
                self._remove(target_id, "not in the list")

    def _may_be_copied(self, row: store_lib.Row) -> bool:
        """Returns whether a row may be an earlier state of its target.

        Rows of a copy have the numbers of earlier eras, and only the first scan
        of an era can find one.
        """
        return row.version <= self._highest_numbers.get(row.key, 0)

    def _on_copied_row(self, row: store_lib.Row, version: int) -> None:
        """Applies a row that may be older than what is known of its target.

        It counts only if it says that the known incarnation is leaving.
        """
        known = self.by_target.get(row.key)
        entry = self._decode(row.key, row.value) if row.value else None
        applies = (
            known is not None
            and isinstance(entry, types.TargetEntry)
            and entry.leaving
            and entry.born_ms == known.born_ms
        )
        logger.info(
            "row of an older copy",
            extra={"target": row.key, "version": version, "applies": applies},
        )
        if applies:
            assert isinstance(entry, types.TargetEntry)
            self._put(entry, version)

    def _on_row(self, row: store_lib.Row, version: int) -> bool:
        if row.value is None:
            self._remove(row.key, "removed")
            return False
        entry = self._check_start(self._decode(row.key, row.value))
        if isinstance(entry, errors.MalformedEntry):
            logger.warning(
                "malformed target entry ignored", extra=entry._asdict()
            )
            self._remove(row.key, "malformed")
            return False
        return self._put(entry, version)

    def _check_start(
        self, entry: types.TargetEntry | errors.MalformedEntry
    ) -> types.TargetEntry | errors.MalformedEntry:
        """Refuses an entry without a start of a target that has named one.

        Such an entry is of another writer; what is known of an incarnation
        would not hold for it.
        """
        if isinstance(entry, errors.MalformedEntry):
            return entry
        if entry.born_ms:
            self._name_start.add(entry.target_id)
        elif entry.target_id in self._name_start:
            return errors.MalformedEntry(entry.target_id, "no start")
        return entry

    def _is_newer(self, target_id: str, version: int, complete: bool) -> bool:
        """Records the version of a row as read; returns whether it is newer.

        What is known of a target from before a restore lasts until a change of
        its row, or until the second scan after the restore.
        """
        era, _ = store_versions.split_era(version)
        known_era, _ = store_versions.split_era(
            self._versions.get(target_id, 0)
        )
        if self._advance_version(target_id, version):
            return True
        if complete and known_era < era:
            self._record_version(target_id, version)
            return True
        return False

    def _advance_version(self, target_id: str, version: int) -> bool:
        """Records the version of a row; returns whether it is newer.

        All rows up to the known version are known, including those that were
        added and removed between two reads.
        """
        known = max(self.known_version, self._versions.get(target_id, 0))
        if version <= known:
            return False
        self._record_version(target_id, version)
        return True

    def _record_version(self, target_id: str, version: int) -> None:
        self._versions[target_id] = version
        _, number = store_versions.split_era(version)
        self._highest_numbers[target_id] = max(
            number, self._highest_numbers.get(target_id, 0)
        )

    def changes_since(self, version: int) -> tuple[list[SharedTarget], int]:
        """Returns the changes since a version, the oldest first.

        Returns:
            The changes, and the version up to which they are complete; 0 if
            this instance does not know all changes since, or the first one
            does not fit into a message.
        """
        if version < self.base_version or not self.known_version:
            return [], 0
        if version >= self.known_version:
            return [], version
        changed = sorted(
            (row_version, target_id)
            for target_id, row_version in self._versions.items()
            if row_version > version
        )
        shared: list[SharedTarget] = []
        left_bytes = _MAX_SHARED_BYTES
        for row_version, target_id in changed[:_MAX_SHARED_ROWS]:
            entry = self.by_target.get(target_id)
            left_bytes -= _name_bytes(entry)
            if left_bytes < 0:
                break
            shared.append(SharedTarget(target_id, row_version, entry))
        if len(shared) < len(changed):
            return shared, shared[-1].version if shared else 0
        return shared, self.known_version

    def on_shared(
        self, shared: list[SharedTarget], since_version: int, version: int
    ) -> bool:
        """Applies changes that another instance shares.

        Args:
            shared: Rows that have changed, as it has read them from the store.
            since_version: Version after which they are complete.
            version: Version up to which they are complete.

        Returns:
            Whether more targets may be available for requests.
        """
        if not self.known_version or since_version > self.known_version:
            return False
        changed = False
        for target_id, row_version, entry in shared:
            if not self._advance_version(target_id, row_version):
                continue
            if entry is None:
                self._remove(target_id, "removed")
            else:
                changed |= self._put(entry, row_version)
        self.known_version = max(self.known_version, version)
        return changed

    def _put(self, entry: types.TargetEntry, version: int) -> bool:
        previous = self.by_target.get(entry.target_id)
        self.by_target[entry.target_id] = entry
        if previous is not None and previous.born_ms == entry.born_ms:
            if previous.leaving != entry.leaving:
                logger.info(
                    "target is leaving",
                    extra={"target": entry.target_id, "version": version},
                )
            return previous.models != entry.models
        self.on_added(entry)
        logger.info(
            "target added",
            extra={
                "target": entry.target_id,
                "service": entry.service,
                "born_ms": entry.born_ms,
                "software": entry.software_version,
                "leaving": entry.leaving,
                "version": version,
            },
        )
        return True

    def _remove(self, target_id: str, reason: str) -> None:
        if self.by_target.pop(target_id, None) is not None:
            logger.info(
                "target removed", extra={"target": target_id, "reason": reason}
            )


def _name_bytes(entry: types.TargetEntry | None) -> int:
    """Returns the size of the names in an entry that may be of any number."""
    if entry is None:
        return 0
    names = [
        *entry.models,
        *(a for held in entry.models.values() for a in held),
    ]
    return sum(len(name.encode()) for name in names)

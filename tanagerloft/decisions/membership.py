"""View of the other instances, and this instance's own lease.

The view may be wrong; that may cost its users time, never a guarantee. Two
parts of it are reliable: this instance's own lease, and which instances can't
use what they hold any more.
"""

from typing import Any
from typing import NamedTuple

from tanagerloft.decisions import rendezvous

_MIN_HEARTBEAT_MS = 2_000
_HEARTBEAT_PER_INSTANCE_MS = 30
_MIN_SCAN_MS = 2_000
_SCAN_PER_INSTANCE_MS = 100
_MAX_MISSED_HEARTBEATS = 3
_LEASE_MARGIN_MS = 5_000
_MAX_QUERIED_PEERS = 8
_QUERIED_PER_DATA_CENTRE = 2

SERVING = "serving"
LEAVING = "leaving"


class InstanceRow(NamedTuple):
    """An instance's own row.

    Attributes:
        instance_id: Name of the instance.
        revision: Increases with each heartbeat.
        state: ``serving`` or ``leaving``.
        peer_address: Address for other instances.
        data_centre: Data centre in which it runs.
    """

    instance_id: str
    revision: int
    state: str
    peer_address: str
    data_centre: str


class ListedInstance(NamedTuple):
    """An instance in the platform's list.

    Attributes:
        instance_id: Name of the instance.
        peer_address: Address for other instances.
        live: Whether the platform reports it as live.
        gone: Whether the platform reports that it has ended for good.
    """

    instance_id: str
    peer_address: str
    live: bool
    gone: bool


class _SeenRow(NamedTuple):
    row: InstanceRow
    changed_ms: int


class FleetView:
    """View of the fleet at one instance.

    Args:
        me: Name of this instance.
        lease_ms: Time for which an instance may use what it holds after a
            heartbeat.
    """

    def __init__(self, me: str, lease_ms: int):
        self._me = me
        self._lease_ms = lease_ms
        self._renewed_ms: int | None = None
        self._seen: dict[str, _SeenRow] = {}
        self._listed: dict[str, ListedInstance] = {}

    def on_heartbeat_committed(self, sent_ms: int) -> None:
        """Records that a heartbeat sent at ``sent_ms`` has committed."""
        self._renewed_ms = sent_ms

    def on_rows(self, rows: list[InstanceRow], now_ms: int) -> None:
        """Updates the view from the rows of all instances."""
        seen = {}
        for row in rows:
            previous = self._seen.get(row.instance_id)
            unchanged = previous and previous.row.revision == row.revision
            changed_ms = (
                previous.changed_ms if previous and unchanged else now_ms
            )
            seen[row.instance_id] = _SeenRow(row, changed_ms)
        self._seen = seen

    def on_announced(self, row: InstanceRow, now_ms: int) -> None:
        """Updates the view from the row of an instance that has started."""
        previous = self._seen.get(row.instance_id)
        if previous is None or previous.row.revision < row.revision:
            self._seen = {**self._seen, row.instance_id: _SeenRow(row, now_ms)}

    def on_instance_list(self, listed: list[ListedInstance]) -> None:
        """Updates the view from the platform's list."""
        self._listed = {entry.instance_id: entry for entry in listed}

    def lease_until_ms(self) -> int:
        """Returns when this instance's lease ends, less a safety margin."""
        if self._renewed_ms is None:
            return 0
        return self._renewed_ms + self._lease_ms - _LEASE_MARGIN_MS

    def lapsed(self, now_ms: int) -> dict[str, int]:
        """Returns the instances that cannot use what they hold any more.

        Returns:
            By instance, the revision that its row must still have when
            something is taken over from it.
        """
        result = {}
        for name, seen in self._seen.items():
            listed = self._listed.get(name)
            gone = listed is not None and listed.gone
            unchanged_ms = now_ms - seen.changed_ms
            lease_expired = unchanged_ms > self._lease_ms + _LEASE_MARGIN_MS
            if name != self._me and (gone or lease_expired):
                result[name] = seen.row.revision
        return result

    def live(self, now_ms: int) -> tuple[str, ...]:
        """Returns the instances believed to be live, including this one."""
        live = {
            name
            for name, seen in self._seen.items()
            if self._is_live(name, seen, now_ms)
        }
        return tuple(sorted(live | {self._me}))

    def peer_addresses(self, now_ms: int) -> dict[str, str]:
        """Returns the addresses of the others believed to be live."""
        addresses = {
            entry.instance_id: entry.peer_address
            for entry in self._listed.values()
            if entry.live and entry.instance_id not in self._seen
        }
        for name in self.live(now_ms):
            if name in self._seen:
                addresses[name] = self._seen[name].row.peer_address
        addresses.pop(self._me, None)
        return addresses

    def peers_to_query(self, now_ms: int) -> dict[str, str]:
        """Returns the peers to query about the table.

        Returns:
            Some peers of each data centre, with their data centres.
        """
        addresses = self.peer_addresses(now_ms)
        queried: dict[str, str] = {}
        count: dict[str, int] = {}
        for name in rendezvous.rank(self._me, addresses):
            seen = self._seen.get(name)
            data_centre = seen.row.data_centre if seen else ""
            count[data_centre] = count.get(data_centre, 0) + 1
            enough = len(queried) >= _MAX_QUERIED_PEERS
            if not enough or count[data_centre] <= _QUERIED_PER_DATA_CENTRE:
                queried[name] = data_centre
        return queried

    def heartbeat_interval_ms(self) -> int:
        """Returns the time between heartbeats, longer in a larger fleet."""
        scaled_ms = len(self._seen) * _HEARTBEAT_PER_INSTANCE_MS
        return max(_MIN_HEARTBEAT_MS, scaled_ms)

    def scan_interval_ms(self) -> int:
        """Returns the time between scans, longer in a larger fleet."""
        return max(_MIN_SCAN_MS, len(self._seen) * _SCAN_PER_INSTANCE_MS)

    def _is_live(self, name: str, seen: _SeenRow, now_ms: int) -> bool:
        listed = self._listed.get(name)
        if listed is not None and not listed.live:
            return False
        if seen.row.state != SERVING:
            return False
        timeout_ms = (
            _MAX_MISSED_HEARTBEATS * self.heartbeat_interval_ms()
            + self.scan_interval_ms()
        )
        # While this instance cannot reach the table, missing heartbeats of
        # others mean nothing.
        own_heartbeat_age_ms = now_ms - (self._renewed_ms or 0)
        return now_ms - seen.changed_ms <= timeout_ms + own_heartbeat_age_ms


def decode_row(name: str, revision: int, body: dict[str, Any]) -> InstanceRow:
    """Decodes an instance's row of the table.

    Args:
        name: Name of the instance.
        revision: Revision of the row.
        body: Contents of the row.
    """
    return InstanceRow(
        name,
        revision,
        body["state"],
        body["peer_address"],
        body["data_centre"],
    )

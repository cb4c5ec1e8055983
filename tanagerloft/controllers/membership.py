"""Controller of the view of the other instances.

Each instance writes its own row from time to time and reads all of them more
seldom the larger the fleet is. The row also renews the instance's lease on its
shares of limits.
"""

import logging
from typing import Any
from typing import NamedTuple

from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.decisions import freshness
from tanagerloft.decisions import homes
from tanagerloft.peers import bus as bus_lib
from tanagerloft.peers import errors as peer_errors
from tanagerloft.platform import errors as platform_errors
from tanagerloft.platform import instances as instances_lib
from tanagerloft.platform import rows
from tanagerloft.platform import table as table_lib
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import ids

logger = logging.getLogger(__name__)

_MIN_HEARTBEAT_MS = 2_000
_HEARTBEAT_PER_INSTANCE_MS = 30
_MIN_SCAN_MS = 2_000
_SCAN_PER_INSTANCE_MS = 100
_MISSED_HEARTBEATS = 3
_LEASE_MARGIN_MS = 5_000
_MAX_ASKED_PEERS = 8
_ASK_TIMEOUT_MS = 300


class Identity(NamedTuple):
    """What an instance says of itself.

    Attributes:
        instance_id: Name, the same after a restart.
        incarnation: Random identity of this process.
        data_centre: Where it runs.
        address: Address for callers.
        peer_address: Address for other instances.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    address: str
    peer_address: str


class _Seen(NamedTuple):
    row: table_lib.Row
    changed_ms: int


class MembershipController:
    """Live view of the fleet. It may be wrong; it is only a hint.

    The two things it says that others rely on are ``lease_holds`` and
    ``lapsed``, which follow from leases and from the platform's word.
    """

    def __init__(
        self,
        identity: Identity,
        table: table_lib.Table,
        fetch_list,
        bus: bus_lib.Bus,
        configuration: configuration_lib.ConfigurationController,
        clock: clock_lib.Clock,
        lease_ms: int,
        describe,
    ):
        self.identity = identity
        self._table = table
        self._fetch_list = fetch_list
        self._bus = bus
        self._configuration = configuration
        self._clock = clock
        self._lease_ms = lease_ms
        self._describe = describe
        self._row: table_lib.Row | None = None
        self._renewed_ms: int | None = None
        self._heartbeat_due_ms = 0
        self._scan_due_ms = 0
        self._seen: dict[str, _Seen] = {}
        self._listed: dict[str, instances_lib.Listed] = {}
        self._sights: dict[str, freshness.PeerSight] = {}
        self.leaving = False
        bus.handle("sight", self._answer_sight)

    def announce(self, address: str) -> None:
        """Sets the address for callers, once it is bound."""
        self.identity = self.identity._replace(address=address)

    def tick(self) -> None:
        """Writes the heartbeat, reads the others' and asks peers if need be."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._heartbeat_due_ms:
            self._heartbeat_due_ms = now_ms + self.heartbeat_ms()
            self.heartbeat()
        if now_ms >= self._scan_due_ms:
            self._scan_due_ms = now_ms + self._scan_ms()
            self._read_list()
            self._scan()
        self._ask_peers()

    def refresh(self) -> None:
        """Makes the next tick read the rows of all instances."""
        self._scan_due_ms = 0

    def heartbeat(self) -> None:
        """Writes this instance's row; that renews its lease."""
        started_ms = self._clock.now_ms()
        if self._row is None:
            row = self._table.read(rows.instance(self.identity.instance_id))
            if isinstance(row, platform_errors.TableError):
                return
            self._row = row
        body = {**self.identity._asdict(), **self._describe()}
        put = table_lib.Put(self._row.key, self._row.revision, body)
        transaction = table_lib.Transaction(ids.new_id(), (put,))
        result = table_lib.commit_resolved(self._table, transaction)
        if isinstance(result, platform_errors.TableError):
            self._row = None
            return
        self._row = table_lib.Row(
            put.key, put.expected_revision + 1, result.operation_id, body
        )
        self._renewed_ms = started_ms

    def lease_holds(self, now_ms: int) -> bool:
        """Returns whether this instance's lease holds, with a margin."""
        if self._renewed_ms is None:
            return False
        return now_ms - self._renewed_ms < self._lease_ms - _LEASE_MARGIN_MS

    def lapsed(self, now_ms: int) -> dict[str, int]:
        """Returns instances that cannot use what they hold any more.

        Returns:
            By instance, the revision at which its row must still be when
            something is taken from it.
        """
        result = {}
        for instance_id, seen in self._seen.items():
            if instance_id == self.identity.instance_id:
                continue
            listed = self._listed.get(instance_id)
            gone = listed is not None and listed.state == instances_lib.GONE
            unchanged_ms = now_ms - seen.changed_ms
            if gone or unchanged_ms > self._lease_ms + _LEASE_MARGIN_MS:
                result[instance_id] = seen.row.revision
        return result

    def live(self) -> list[str]:
        """Returns the instances believed to live, with this one."""
        now_ms = self._clock.now_ms()
        live = {self.identity.instance_id}
        for instance_id, seen in self._seen.items():
            if self._is_live(instance_id, seen, now_ms):
                live.add(instance_id)
        return sorted(live)

    def peer_addresses(self) -> dict[str, str]:
        """Returns the addresses of the other instances believed to live."""
        addresses = {
            listed.instance_id: listed.peer_address
            for listed in self._listed.values()
            if listed.state == instances_lib.LIVE
        }
        for instance_id in self.live():
            if instance_id in self._seen:
                row = self._seen[instance_id].row
                addresses[instance_id] = row.body["peer_address"]
        addresses.pop(self.identity.instance_id, None)
        return addresses

    def heartbeat_ms(self) -> int:
        """Returns the interval between heartbeats."""
        count = len(self._seen)
        return max(_MIN_HEARTBEAT_MS, count * _HEARTBEAT_PER_INSTANCE_MS)

    def _scan_ms(self) -> int:
        return max(_MIN_SCAN_MS, len(self._seen) * _SCAN_PER_INSTANCE_MS)

    def _is_live(self, instance_id: str, seen: _Seen, now_ms: int) -> bool:
        listed = self._listed.get(instance_id)
        if listed is not None and listed.state != instances_lib.LIVE:
            return False
        if seen.row.body.get("state") != "serving":
            return False
        patience_ms = _MISSED_HEARTBEATS * self.heartbeat_ms() + self._scan_ms()
        own_silence_ms = now_ms - (self._renewed_ms or 0)
        # While the table cannot be reached, silence of others means nothing.
        return now_ms - seen.changed_ms <= patience_ms + own_silence_ms

    def _read_list(self) -> None:
        listed = self._fetch_list()
        if not isinstance(listed, platform_errors.TableError):
            self._listed = {entry.instance_id: entry for entry in listed}

    def _scan(self) -> None:
        found = self._table.scan(rows.INSTANCE)
        if isinstance(found, platform_errors.TableError):
            return
        now_ms = self._clock.now_ms()
        seen = {}
        for row in found:
            before = self._seen.get(row.key.name)
            if before is not None and before.row.revision == row.revision:
                seen[row.key.name] = before
            else:
                seen[row.key.name] = _Seen(row, now_ms)
        self._seen = seen

    def _ask_peers(self) -> None:
        """Asks some peers for their view of the table while it is silent."""
        addresses = self.peer_addresses()
        asked = homes.rank(self.identity.instance_id, addresses)
        asked = asked[:_MAX_ASKED_PEERS]
        if self._configuration.needs_peers():
            self._ask(asked, addresses)
        self._configuration.hear_peers(len(asked), self._sights)

    def _ask(self, asked: list[str], addresses: dict[str, str]) -> None:
        asked_ms = self._clock.now_ms()
        calls = {
            name: self._bus.begin_call(
                addresses[name], "sight", None, _ASK_TIMEOUT_MS
            )
            for name in asked
        }
        for name, future in calls.items():
            answer = future.result()
            if isinstance(answer, peer_errors.CallFailed):
                continue
            version, table_age_ms = answer
            sight = freshness.PeerSight(asked_ms, version, table_age_ms)
            self._sights[name] = sight
            if version > self._configuration.version.number:
                self._configuration.fetch_from_peer(self._bus, addresses[name])

    def _answer_sight(self, _payload: Any) -> list[int]:
        configuration = self._configuration
        return [configuration.version.number, configuration.table_age_ms()]

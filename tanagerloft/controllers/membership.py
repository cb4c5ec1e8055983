"""Controller of fleet membership and of this instance's lease.

Each instance writes its own row periodically as a heartbeat, which also renews
its lease. It reads all rows at an interval that grows with the fleet.
"""

from collections.abc import Callable
import threading
from typing import Any
from typing import NamedTuple

from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.decisions import freshness
from tanagerloft.decisions import membership
from tanagerloft.decisions import rendezvous
from tanagerloft.peers import bus as bus_lib
from tanagerloft.peers import errors as peer_errors
from tanagerloft.tables import errors as table_errors
from tanagerloft.tables import instances as instances_lib
from tanagerloft.tables import rows
from tanagerloft.tables import table as table_lib
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import ids

_QUERY_TIMEOUT_MS = 300
_NOTIFIED_PEERS = 3

FetchList = Callable[[], "list[instances_lib.Listed] | table_errors.TableError"]


class Identity(NamedTuple):
    """Identity and addresses of an instance, as stored in its row.

    Attributes:
        instance_id: Name, the same after a restart.
        incarnation: Random identifier of this process.
        data_centre: Where it runs.
        address: Address for callers.
        peer_address: Address for other instances.
    """

    instance_id: str
    incarnation: str
    data_centre: str
    address: str
    peer_address: str


class MembershipController:
    """Maintains the view of the fleet and this instance's lease.

    Args:
        identity: This instance.
        table: The platform's table.
        fetch_list: Fetches the list of instances from the platform.
        bus: Messages between instances.
        configuration: Needs the table status of peers during an outage.
        clock: Clock of the process.
        lease_ms: Time after a heartbeat for which shares may be used.
        describe: Returns the other fields of the row.
    """

    def __init__(
        self,
        identity: Identity,
        table: table_lib.Table,
        fetch_list: FetchList,
        bus: bus_lib.Peers,
        configuration: configuration_lib.ConfigurationController,
        clock: clock_lib.Clock,
        lease_ms: int,
        describe: Callable[[], dict[str, Any]],
    ):
        self.identity = identity
        self._table = table
        self._fetch_list = fetch_list
        self._bus = bus
        self._configuration = configuration
        self._clock = clock
        self._describe = describe
        self._view = membership.FleetView(identity.instance_id, lease_ms)
        self._row_lock = threading.Lock()
        self._row: table_lib.Row | None = None
        self._heartbeat_due_ms = 0
        self._scan_due_ms = 0
        self._peer_statuses: dict[str, freshness.PeerTableStatus] = {}
        self.leaving = False
        bus.handle("sight", self._handle_sight)
        bus.handle("hello", self._on_hello)
        bus.handle("version", configuration.on_peer_version)
        configuration.on_adopted(self._announce_version)

    def announce(self, address: str) -> None:
        """Sets the address for callers, once it is bound."""
        self.identity = self.identity._replace(address=address)

    def tick(self) -> None:
        """Writes the heartbeat, reads all rows and queries peers when due."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._heartbeat_due_ms:
            interval_ms = self._view.heartbeat_interval_ms()
            self._heartbeat_due_ms = now_ms + interval_ms
            self.heartbeat()
        if now_ms >= self._scan_due_ms:
            self._scan_due_ms = now_ms + self._view.scan_interval_ms()
            self._scan()
        self._query_peers()

    def refresh(self) -> None:
        """Makes the next tick read the rows of all instances."""
        self._scan_due_ms = 0

    def heartbeat(self) -> None:
        """Writes this instance's row, which renews its lease."""
        with self._row_lock:
            self._write_row()

    def lease_until_ms(self) -> int:
        """Returns when this instance's lease expires, minus a margin."""
        return self._view.lease_until_ms()

    def lapsed(self) -> dict[str, int]:
        """Returns instances that can no longer use the shares they hold."""
        return self._view.lapsed(self._clock.now_ms())

    def live(self) -> tuple[str, ...]:
        """Returns the live instances, this one included."""
        return self._view.live(self._clock.now_ms())

    def peer_addresses(self) -> dict[str, str]:
        """Returns the addresses of the other live instances."""
        return self._view.peer_addresses(self._clock.now_ms())

    def _write_row(self) -> None:
        sent_ms = self._clock.now_ms()
        key = rows.instance(self.identity.instance_id)
        if self._row is None:
            row = self._table.read(key)
            if isinstance(row, table_errors.TableError):
                return
            self._row = row
        state = membership.LEAVING if self.leaving else membership.SERVING
        body = {
            **self.identity._asdict(),
            **self._describe(),
            "state": state,
        }
        put = table_lib.Put(key, self._row.revision, body)
        result = table_lib.commit_resolved(
            self._table, table_lib.Transaction(ids.new_id(), (put,))
        )
        if isinstance(result, table_errors.TableError):
            self._row = None
            return
        self._row = table_lib.written(put, result)
        self._view.on_heartbeat_committed(sent_ms)

    def _scan(self) -> None:
        listed = self._fetch_list()
        if not isinstance(listed, table_errors.TableError):
            self._view.on_instance_list([_to_listed(entry) for entry in listed])
        found = self._table.scan(rows.INSTANCE)
        if isinstance(found, table_errors.TableError):
            return
        before = self.peer_addresses()
        decoded = [
            membership.decode_row(row.key.name, row.revision, row.body)
            for row in found
        ]
        self._view.on_rows(decoded, self._clock.now_ms())
        self._announce_to_new_peers(before)

    def _announce_to_new_peers(self, known: dict[str, str]) -> None:
        """Sends this instance's row to peers that it did not know before.

        Of two instances that start together, one may read the rows before the
        other writes its own. The other then knows the first and announces
        itself to it.
        """
        row = self._row
        if row is None:
            return
        hello = membership.decode_row(row.key.name, row.revision, row.body)
        for name, address in self.peer_addresses().items():
            if name not in known:
                self._bus.begin_call(
                    address, "hello", list(hello), _QUERY_TIMEOUT_MS
                )

    def _on_hello(self, payload: Any) -> None:
        row = membership.InstanceRow(*payload)
        self._view.on_announced(row, self._clock.now_ms())

    def _query_peers(self) -> None:
        """Queries some peers for their table status during an outage."""
        if not self._configuration.needs_peers():
            return
        queried = self._view.peers_to_query(self._clock.now_ms())
        self._query(list(queried), self.peer_addresses())
        self._configuration.update_peer_statuses(queried, self._peer_statuses)

    def _query(self, queried: list[str], addresses: dict[str, str]) -> None:
        asked_ms = self._clock.now_ms()
        calls = {
            name: self._bus.begin_call(
                addresses[name], "sight", None, _QUERY_TIMEOUT_MS
            )
            for name in queried
        }
        for name, future in calls.items():
            answer = future.result()
            if isinstance(answer, peer_errors.CallFailed):
                continue
            version, table_age_ms = answer
            status = freshness.PeerTableStatus(asked_ms, version, table_age_ms)
            self._peer_statuses[name] = status
            if version > self._configuration.version.number:
                self._configuration.fetch_from_peer(self._bus, addresses[name])

    def _announce_version(self, number: int) -> None:
        """Announces a new version to some peers, which announce it further."""
        addresses = self.peer_addresses()
        subject = f"{self.identity.instance_id}/{number}"
        for name in rendezvous.rank(subject, addresses)[:_NOTIFIED_PEERS]:
            self._bus.begin_call(
                addresses[name], "version", number, _QUERY_TIMEOUT_MS
            )

    def _handle_sight(self, _payload: Any) -> list[int]:
        configuration = self._configuration
        return [configuration.version.number, configuration.table_age_ms()]


def _to_listed(entry: instances_lib.Listed) -> membership.ListedInstance:
    return membership.ListedInstance(
        entry.instance_id,
        entry.peer_address,
        entry.state == instances_lib.LIVE,
        entry.state == instances_lib.GONE,
    )

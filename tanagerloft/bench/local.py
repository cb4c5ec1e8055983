"""Fakes at the interfaces, in one process: peers and instances."""

from collections.abc import Callable
from concurrent import futures
from typing import Any

import msgpack

from tanagerloft.bench import local_table
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.config import store
from tanagerloft.controllers import configuration as configuration_lib
from tanagerloft.controllers import limits as limits_lib
from tanagerloft.controllers import membership as membership_lib
from tanagerloft.peers import bus as bus_lib
from tanagerloft.peers import errors as peer_errors
from tanagerloft.tables import instances as instances_lib
from tanagerloft.util import clock as clock_lib

FRESHNESS_MS = 4_000
GRANT_MS = 150
LEASE_MS = 1_200_000


class Network:
    """Connects buses in one process; calls are answered at once."""

    def __init__(self):
        self.buses: dict[str, Bus] = {}
        self.dead: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.bytes = 0

    def reaches(self, sender: str, receiver: str) -> bool:
        """Returns whether a message gets through."""
        if receiver not in self.buses or {sender, receiver} & self.dead:
            return False
        return frozenset((sender, receiver)) not in self.cut

    def count(self, message: Any) -> None:
        """Counts the size of a message as the real bus would send it."""
        self.bytes += len(msgpack.packb([0, message]))


class Bus:
    """An instance's end of the network; a ``bus.Peers``."""

    def __init__(self, network: Network, address: str):
        self.address = address
        self._network = network
        self._handlers: dict[str, bus_lib.Handler] = {}
        network.buses[address] = self

    def handle(self, kind: str, handler: bus_lib.Handler) -> None:
        """Registers the handler for calls of one kind."""
        self._handlers[kind] = handler

    def call(
        self, address: str, kind: str, payload: Any, _timeout_ms: int
    ) -> Any | peer_errors.CallFailed:
        """Calls a peer and returns its answer."""
        network = self._network
        network.count([kind, payload])
        if not network.reaches(self.address, address):
            return peer_errors.CallFailed("cut")
        answer = network.buses[address].answer(kind, payload)
        network.count(answer)
        return answer

    def begin_call(
        self, address: str, kind: str, payload: Any, timeout_ms: int
    ) -> futures.Future:
        """Calls a peer; the future has its answer already."""
        future: futures.Future = futures.Future()
        future.set_result(self.call(address, kind, payload, timeout_ms))
        return future

    def answer(self, kind: str, payload: Any) -> Any:
        """Answers a call of a peer."""
        return self._handlers[kind](payload)


class Node:
    """The control path of one instance: configuration, membership, limits."""

    def __init__(
        self,
        instance_id: str,
        incarnation: str,
        shared: local_table.SharedTable,
        network: Network,
        clock: clock_lib.Clock,
        fetch_list: Callable[[], list[instances_lib.Listed]],
        lease_ms: int = LEASE_MS,
        data_centre: str = "dc-1",
    ):
        self.instance_id = instance_id
        self._awake = False
        self.table = local_table.TableHandle(shared, instance_id)
        self.bus = Bus(network, f"{instance_id}/{incarnation}")
        self.configuration = configuration_lib.ConfigurationController(
            self.table, clock, FRESHNESS_MS, self._wake
        )
        self.bus.handle("configuration", self.configuration.version_for_peers)
        identity = membership_lib.Identity(
            instance_id, incarnation, data_centre, "", self.bus.address
        )
        self.membership = membership_lib.MembershipController(
            identity,
            self.table,
            fetch_list,
            self.bus,
            self.configuration,
            clock,
            lease_ms,
            dict,
        )
        self.limits = limits_lib.LimitController(
            self.table,
            self.configuration,
            self.membership,
            self.bus,
            clock,
            GRANT_MS,
        )

    def _wake(self) -> None:
        self._awake = True

    def run_woken(self) -> bool:
        """Runs the configuration's controller if it has been woken."""
        was_awake, self._awake = self._awake, False
        if was_awake:
            self.configuration.tick()
        return was_awake

    def tick(self) -> None:
        """Runs each controller once."""
        self.configuration.tick()
        self.membership.tick()
        self.limits.tick()


class LocalFleet:
    """Several instances' control paths over one table and network.

    Attributes:
        clock: The clock of all instances.
        shared: The table.
        network: The peers' messages.
        nodes: The instances that run, by name.
        gone: Instances that the platform says have ended.
        lists_live: Whether the platform's list shows the live ones too.
    """

    def __init__(
        self,
        count: int,
        inventory: inventory_lib.Inventory,
        lease_ms: int = LEASE_MS,
        data_centres: int = 1,
    ):
        self.clock = clock_lib.ManualClock()
        self.shared = local_table.SharedTable()
        self.network = Network()
        self.nodes: dict[str, Node] = {}
        self.gone: set[str] = set()
        self.lists_live = False
        self._lease_ms = lease_ms
        self._data_centres = data_centres
        self._starts = 0
        store.apply(self.shared.rows, inventory, 0)
        for number in range(count):
            self.start(f"instance-{number}")

    def start(self, name: str) -> Node:
        """Starts an instance, or its successor at the same address."""
        if name in self.nodes:
            self.kill(name)
        self._starts += 1
        self.gone.discard(name)
        self.nodes[name] = Node(
            name,
            f"life-{self._starts}",
            self.shared,
            self.network,
            self.clock,
            self._list,
            self._lease_ms,
            self._data_centre(name),
        )
        return self.nodes[name]

    def _data_centre(self, name: str) -> str:
        number = int(name.rpartition("-")[2])
        return f"dc-{number % self._data_centres + 1}"

    def kill(self, name: str) -> None:
        """Ends an instance without notice."""
        node = self.nodes.pop(name)
        self.network.dead.add(node.bus.address)

    def run(self, duration_ms: int, step_ms: int = 500) -> None:
        """Lets time pass, all instances ticking once a step."""
        for _ in range(duration_ms // step_ms):
            self.clock.advance(step_ms)
            for node in list(self.nodes.values()):
                node.tick()
            while any(node.run_woken() for node in self.nodes.values()):
                pass

    def _list(self) -> list[instances_lib.Listed]:
        listed = [
            instances_lib.Listed(name, "", instances_lib.GONE)
            for name in sorted(self.gone)
        ]
        if self.lists_live:
            listed += [
                instances_lib.Listed(name, node.bus.address, instances_lib.LIVE)
                for name, node in self.nodes.items()
            ]
        return listed

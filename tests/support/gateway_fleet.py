"""Instances, targets and a store in one process, on a virtual clock.

The instances run the real code except for sockets: requests are passed to
their gateways directly, and messages between instances and to targets arrive
after a simulated transit time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import functools
import json
import random
from typing import NamedTuple
from unittest import mock

from tanagerloft.config import fleet_settings
from tanagerloft.config import settings as settings_lib
from tanagerloft.coordination import errors
from tanagerloft.coordination import order_sender
from tanagerloft.coordination import store as store_lib
from tanagerloft.gateway import instance as instance_lib
from tanagerloft.net import connection_pool
from tanagerloft.net import datagrams
from tanagerloft.net import responder as responder_lib
from tanagerloft.net import target_connection
from tanagerloft.platform import deployment
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import loops
from tests.support import gateway_targets
from tests.support import users_platform
from tests.support import virtual_loop

# One-way delay between instances and to targets.
_TRANSIT_MS = 1
_STORE_DELAY_MS = 4
_STORE_POLL_MS = 5
_STARTUP_MS = 3_000
# Time for which the store is away before it comes back from a copy, and time
# within which targets and the operator then write their rows again.
_RESTORE_MS = 300
_REWRITE_MS = 1_500
_HEARTBEAT_MS = 1_200
# Time for which a target is down after a crash.
_DOWN_MS = 3_000


class Reply(NamedTuple):
    """Response to a caller.

    Attributes:
        at_ms: Time of the request.
        took_ms: Time until the response.
        status: HTTP status code; 0 if the connection was aborted.
        retry_after_ms: Delay given by Retry-After; 0 without the header.
    """

    at_ms: int
    took_ms: int
    status: int
    retry_after_ms: int


class SentOrder(NamedTuple):
    """An order that an instance has given to an engine."""

    at_ms: int
    instance: str
    target: str
    token: int


class _Copy(NamedTuple):
    """Copy of the store at one moment."""

    at_ms: int
    version: int
    rows: dict[tuple[str, str], tuple[int, bytes | None]]


class _Connection:
    """Simulated connection of an instance to a target."""

    def __init__(self, instance: str, target: gateway_targets.Target):
        self._target = target
        self._receiver: target_connection.Receiver | None = None
        self._stream: asyncio.Task | None = None
        self.instance = instance
        self.exchanges = 0
        target.connections.add(self)

    def send(self, data: bytes, receiver) -> None:
        self._receiver = receiver
        self.exchanges += 1
        loops.call_later(_TRANSIT_MS, lambda: self._deliver_request(data))

    def _deliver_request(self, data: bytes) -> None:
        if self._receiver is None:
            return
        head, took_ms = self._target.receive(self.instance, data)
        names_limit = head.get(b"server-limit") is not None
        response_ms = took_ms + _TRANSIT_MS
        events = self._target.events(data) if head.status == 200 else ()
        if events:
            self._stream = asyncio.create_task(
                self._send_events(head, response_ms, events)
            )
        elif self._target.crashes_under(data):
            loops.call_later(took_ms, self._crash_target)
        else:
            loops.call_later(
                response_ms, lambda: self._respond(head, names_limit)
            )

    async def _send_events(
        self,
        head: target_connection.ResponseHead,
        response_ms: int,
        events: Iterable[bytes],
    ) -> None:
        await loops.sleep(response_ms)
        assert self._receiver is not None
        self._receiver.on_head(head)
        for event in events:
            self._receiver.on_body(event)
            await loops.sleep(self._target.event_interval_ms)
        receiver, self._receiver = self._receiver, None
        self._target.connections.discard(self)
        receiver.on_end()

    def _crash_target(self) -> None:
        if self._receiver is not None and not self._target.is_down:
            self._target.crash(_DOWN_MS)

    def on_crash(self) -> None:
        receiver = self._receiver
        self.cancel()
        if receiver is not None:
            failure = target_connection.ExchangeFailure.CLOSED
            loops.call_later(_TRANSIT_MS, lambda: receiver.on_failure(failure))

    def _respond(
        self, head: target_connection.ResponseHead, names_limit: bool
    ) -> None:
        receiver, self._receiver = self._receiver, None
        if receiver is None:
            return
        self._target.connections.discard(self)
        receiver.on_head(head)
        receiver.on_end()
        self._target.on_response(self.instance, head)
        if names_limit:
            self._target.note_limit_known(self.instance)

    def cancel(self) -> None:
        self._receiver = None
        if self._stream is not None:
            self._stream.cancel()
        self._target.connections.discard(self)

    close = cancel

    def set_reading(self, _reading: bool) -> None:
        pass


class _Pool:
    """Fake ``connection_pool.Pool`` of one instance."""

    def __init__(self, fleet: GatewayFleet, instance: str):
        self._fleet = fleet
        self._instance = instance

    def release(self, connection):
        connection.close()

    def acquire_idle(self, _address, _max_idle_ms=None):
        return None

    async def connect(self, address, _timeout_ms=0):
        await loops.sleep(_TRANSIT_MS)
        target = self._fleet.target_at(address[0])
        if target is None or target.is_down:
            return target_connection.ExchangeFailure.NOT_CONNECTED
        return _Connection(self._instance, target)


class _Datagrams:
    """Fake ``datagrams.DatagramSocket`` of one instance."""

    def __init__(self, fleet: GatewayFleet, instance: str, receive):
        self._fleet = fleet
        self._instance = instance
        self.receive = receive
        self.is_open = True

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        self._fleet.send_datagram(self._instance, data, address[0])

    def close(self) -> None:
        self.is_open = False


class _Store:
    """Store client of one instance."""

    def __init__(self, fleet: GatewayFleet, instance: str):
        self._fleet = fleet
        self._instance = instance

    async def _round_trip(self) -> errors.StoreError | None:
        await loops.sleep(_STORE_DELAY_MS)
        if self._fleet.store_down or self._instance in self._fleet.isolated:
            return errors.StoreError(errors.StoreFailure.NOT_DONE, "down")
        return None

    async def read(self, table, key):
        error = await self._round_trip()
        if error is not None:
            return error
        version, value = self._fleet.rows.get((table, key), (0, None))
        return store_lib.Row(key, value, version, self._fleet.era)

    async def scan(self, table):
        error = await self._round_trip()
        if error is not None:
            return error
        rows = self._rows(table, 0)
        present = tuple(row for row in rows if row.value is not None)
        return self._snapshot(present)

    async def changes(self, table, after_version, wait_ms):
        until_ms = virtual_loop.now_ms() + wait_ms
        while True:
            error = await self._round_trip()
            if error is not None:
                return error
            if after_version > self._fleet.version:
                return errors.StoreError(
                    errors.StoreFailure.HISTORY_LOST, "gone"
                )
            rows = self._rows(table, after_version)
            if rows or virtual_loop.now_ms() >= until_ms:
                return self._snapshot(rows)
            await loops.sleep(_STORE_POLL_MS)

    def _rows(self, table, after_version):
        return tuple(
            store_lib.Row(key, value, version)
            for (name, key), (version, value) in self._fleet.rows.items()
            if name == table and version > after_version
        )

    def _snapshot(self, rows):
        return store_lib.Snapshot(rows, self._fleet.version, self._fleet.era)

    async def write(self, table, key, value, expected_version):
        error = await self._round_trip()
        if error is not None:
            return error
        if self._fleet.writes_fail:
            return errors.StoreError(errors.StoreFailure.NOT_DONE, "refused")
        if self._fleet.rows.get((table, key), (0, None))[0] != expected_version:
            return errors.StoreError(errors.StoreFailure.CONFLICT, "newer")
        version = self._fleet.put(table, key, value)
        return store_lib.Written(version, self._fleet.era)


class _Caller:
    """Simulated connection of a caller to the gateway of an instance.

    Attributes:
        data: Bytes received so far.
    """

    def __init__(self, handler, on_response: Callable[[bytes], None]):
        self.handler = handler
        self._on_response = on_response
        self.data = b""
        self._cut = False

    def send(self, data: bytes) -> None:
        if not self._cut:
            self.data += data

    def cut(self) -> None:
        """Loses the connection, as the instance has been killed."""
        self._cut = True
        self._on_response(b"HTTP/1.1 0 cut\r\n")

    def on_response_sent(self, _keep_alive: bool) -> None:
        if not self._cut:
            self._on_response(self.data)

    def abort(self) -> None:
        if not self._cut:
            self.cut()


class GatewayFleet:
    """Instances with their targets and a store.

    Args:
        instances: Number of instances.
        targets: Targets.
        seed: Seed of the random behaviour of callers and the network.
        **config_changes: Overrides of top-level configuration entries.

    Attributes:
        names: Names of the instances.
        targets: Targets by name.
        rows: Version and value of each row of the store, by table and key;
            the value of a removed row is None.
        version: Latest version of the store.
        era: Number of times that the store has come back from an older copy.
        store_down: Whether the store fails all calls.
        writes_fail: Whether the store rejects writes by instances.
        isolated: Instances cut off from the store and from other instances.
        loss: Fraction of datagrams lost.
        delay_ms: Maximum extra delay of datagrams.
        replies: Responses to callers.
        sent_ms: When callers sent each request, by its id.
        starts_ms: Times of the starts of each instance.
        largest_datagram_bytes: Size of the largest datagram sent.
        orders: Orders to engines.
        message_errors: Errors of instances that handled a datagram.
    """

    def __init__(
        self,
        instances: int,
        targets: Iterable[gateway_targets.Target],
        seed: int,
        **config_changes,
    ):
        self._random = random.Random(seed)
        self.names = [f"i{n}" for n in range(instances)]
        self._running: dict[str, tuple[instance_lib.Instance, list]] = {}
        self._sockets: dict[str, _Datagrams] = {}
        self._request_count = 0
        self._callers: dict[str, set[_Caller]] = {n: set() for n in self.names}
        self.targets = {target.target_id: target for target in targets}
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.version = 0
        self.era = 0
        self._copies: list[_Copy] = []
        self.sent_ms: dict[str, int] = {}
        self.starts_ms: dict[str, list[int]] = {n: [] for n in self.names}
        self.store_down = False
        self.writes_fail = False
        self.isolated: set[str] = set()
        self.largest_datagram_bytes = 0
        self.orders: list[SentOrder] = []
        self.message_errors: list[Exception] = []
        self.loss_rate = 0.0
        self.max_delay_ms = 0.0
        self.replies: list[Reply] = []
        self._config = users_platform.configuration(**config_changes)

    def target_at(self, host: str) -> gateway_targets.Target | None:
        """Returns the target at an IP address."""
        targets = self.targets.values()
        return next((t for t in targets if t.host == host), None)

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Writes a row of the store and returns its version."""
        self.version += 1
        self.rows[table, key] = (self.version, value)
        self._copies.append(
            _Copy(virtual_loop.now_ms(), self.version, dict(self.rows))
        )
        return self.version

    async def restore(self, age_ms: int) -> None:
        """Brings the store back from a copy.

        Targets and operator write their rows again within seconds.

        Args:
            age_ms: Age of the copy; the oldest one is taken if there is none
                of that age.
        """
        self.store_down = True
        copied_ms = virtual_loop.now_ms() - age_ms
        await loops.sleep(_RESTORE_MS)
        copy = max(
            (c for c in self._copies if c.at_ms <= copied_ms),
            default=self._copies[0],
        )
        self.version, self.rows = copy.version, dict(copy.rows)
        self._copies = [copy]
        self.era += 1
        self.store_down = False
        writes = [
            lambda target=target: self._put_entry(target)
            for target in self.targets.values()
        ]
        for write in [*writes, self._put_configuration]:
            loops.call_later(self._random.uniform(0, _REWRITE_MS), write)

    async def send_heartbeats(self) -> None:
        """Makes all targets write their entries again and again."""
        while True:
            await loops.sleep(_HEARTBEAT_MS)
            if not self.store_down:
                for target in self.targets.values():
                    self._put_entry(target)

    def send_datagram(self, sender: str, data: bytes, receiver: str) -> None:
        """Delivers a datagram after its transit time, or drops it."""
        self.largest_datagram_bytes = max(
            self.largest_datagram_bytes, len(data)
        )
        partitioned = sender in self.isolated or receiver in self.isolated
        if partitioned or self._random.random() < self.loss_rate:
            return
        transit_ms = _TRANSIT_MS + self._random.uniform(0, self.max_delay_ms)
        loops.call_later(
            transit_ms, lambda: self._deliver(sender, data, receiver)
        )

    def _deliver(self, sender: str, data: bytes, receiver: str) -> None:
        socket = self._sockets.get(receiver)
        if socket is None or not socket.is_open:
            return
        try:
            socket.receive(data, (sender, gateway_targets.PORT))
        except Exception as error:
            self.message_errors.append(error)
            raise

    async def start(self) -> None:
        """Starts all instances and waits until they have read the targets."""
        self._put_configuration()
        for target in self.targets.values():
            target.on_change = self._put_entry
            self._put_entry(target)
        for name in self.names:
            self.start_instance(name)
        await loops.sleep(_STARTUP_MS)

    def configure(self, **changes) -> None:
        """Writes a new version of the configuration.

        Args:
            **changes: Overridden top-level entries.
        """
        self._config = {**self._config, **changes}
        self._put_configuration()

    def _put_configuration(self) -> None:
        self.put("op", "config", json.dumps(self._config).encode())

    def _put_entry(self, target: gateway_targets.Target) -> None:
        """Writes the entry of a target, or removes it once the target is gone.

        A row that has been removed is not written again.
        """
        row = ("servers", target.target_id)
        value = None
        if not target.unlisted:
            value = json.dumps(target.entry()).encode()
        if value is not None or self.rows.get(row, (0, None))[1] is not None:
            self.put(*row, value)

    def start_instance(self, name: str) -> None:
        """Starts an instance."""
        self.starts_ms[name].append(virtual_loop.now_ms())

        def build(_pool, _address, _name):
            base = deployment.build(_pool, _address, _name)
            return base._replace(
                store=_Store(self, name),
                send_order=functools.partial(self._send_order, name),
                fetch_report=self._fetch_report,
            )

        def new_socket(receive):
            self._sockets[name] = _Datagrams(self, name, receive)
            return self._sockets[name]

        settings = settings_lib.parse(
            "\n".join(
                [
                    *("[instance]", f"id = {name}", "data_centre = dc"),
                    *("[listen]", f"callers = {name}:1", f"ready = {name}:2"),
                    *(
                        f"peers = {name}:{gateway_targets.PORT}",
                        f"metrics = {name}:4",
                    ),
                    *("[store]", "address = store:1"),
                ]
            ),
            "test",
            fleet_settings.TABLE,
        )
        assert isinstance(settings, settings_lib.Settings), settings
        pool = _Pool(self, name)
        clock = clock_lib.Clock(
            lambda: virtual_loop.now_ms() * 1_000_000,
            lambda: virtual_loop.now_ms() * 1_000_000,
        )
        with (
            mock.patch.object(datagrams, "DatagramSocket", new_socket),
            mock.patch.object(connection_pool, "Pool", lambda _now_ms: pool),
        ):
            instance = instance_lib.Instance(settings, build, clock)
        loop = asyncio.get_running_loop()
        tasks = [
            loop.create_task(work)
            for work in instance.control.background_tasks()
        ]
        self._running[name] = (instance, tasks)

    async def _send_order(self, name, entry, order, token, sequence):
        sent = SentOrder(virtual_loop.now_ms(), name, entry.target_id, token)
        self.orders.append(sent)
        await loops.sleep(_TRANSIT_MS)
        target = self.targets[entry.target_id]
        result = target.order(order, sequence)
        return order_sender.OrderAnswer(result, "")

    async def _fetch_report(self, entry):
        await loops.sleep(_TRANSIT_MS)
        return self.targets[entry.target_id].report()

    def kill(self, name: str, cut: bool = False) -> None:
        """Ends an instance without notice to the others.

        Args:
            name: The instance.
            cut: Whether its connections are lost; otherwise requests that are
                under way end as if the instance were still there.
        """
        assert not self.controller_errors()
        _, tasks = self._running.pop(name)
        self._sockets.pop(name).close()
        for task in tasks:
            task.cancel()
        for target in self.targets.values():
            target.forget_limit_known(name)
        if cut:
            self._cut_connections(name)

    def _cut_connections(self, name: str) -> None:
        for target in self.targets.values():
            for connection in list(target.connections):
                if connection.instance == name:
                    connection.cancel()
        for caller in list(self._callers[name]):
            caller.cut()

    def controller_errors(self) -> list[BaseException]:
        """Returns the errors of failed controllers.

        In a real deployment each of them ends its process.
        """
        return [
            error
            for _, tasks in self._running.values()
            for task in tasks
            if task.done() and (error := task.exception()) is not None
        ]

    async def restart(
        self, name: str, down_ms: float, cut: bool = False
    ) -> None:
        """Kills an instance and starts it again after ``down_ms``."""
        self.kill(name, cut)
        await loops.sleep(down_ms)
        self.start_instance(name)

    def waiting_count(self) -> int:
        """Returns the number of requests in the queues of all instances."""
        return sum(
            instance.wait_queue.count()
            for instance, _ in self._running.values()
        )

    def known_targets(self) -> dict[str, frozenset[str]]:
        """Returns the targets that each running instance knows."""
        return {
            name: frozenset(instance.directory.entries)
            for name, (instance, _) in self._running.items()
        }

    def ready_names(self) -> list[str]:
        """Returns the instances that report to be ready."""
        return [
            name
            for name, (instance, _) in self._running.items()
            if instance.control.configuration.current is not None
            and instance.control.targets.known
        ]

    def holder(self) -> str | None:
        """Returns the lease holder that answers reports, if there is one."""
        for name, (instance, _) in self._running.items():
            if instance.control.lease.is_holder(virtual_loop.now_ms()):
                return name
        return None

    def leader(self) -> str | None:
        """Returns the instance that may give orders now, if there is one."""
        for name, (instance, _) in self._running.items():
            if instance.control.lease.may_order(virtual_loop.now_ms()):
                return name
        return None

    def send_request(
        self, name: str, path: str = "/free/x", **headers: str
    ) -> None:
        """Sends a request to the gateway of an instance, if it is running."""
        if name not in self._running:
            return
        instance, _ = self._running[name]
        began_ms = virtual_loop.now_ms()
        self._request_count += 1
        request_id = f"a-{self._request_count}"
        self.sent_ms[request_id] = began_ms

        def on_response(data: bytes) -> None:
            head = data.partition(b"\r\n\r\n")[0].lower()
            retry = head.partition(b"retry-after: ")[2].partition(b"\r\n")[0]
            self.replies.append(
                Reply(
                    began_ms,
                    virtual_loop.now_ms() - began_ms,
                    int(data.split(b" ", 2)[1]),
                    round(float(retry or 0) * 1_000),
                )
            )

        self._handle(instance, path, request_id, headers, on_response)

    def _handle(
        self,
        instance: instance_lib.Instance,
        path: str,
        request_id: str,
        headers: dict[str, str],
        on_response: Callable[[bytes], None],
    ) -> _Caller:
        """Passes a request to the gateway of an instance."""
        fields = {
            "Host": "h.example",
            "Attempt-Id": request_id,
            "Authorization": f"Bearer {users_platform.KEY}",
            **headers,
        }
        request = responder_lib.Request(
            "GET",
            path.encode(),
            tuple((k.encode(), v.encode()) for k, v in fields.items()),
            b"",
            virtual_loop.now_ms(),
        )
        caller = _Caller(instance.gateway, on_response)
        responder = responder_lib.Responder(caller, keep_alive=True)
        instance.gateway.handle(request, responder)
        return caller

    async def exchange(
        self, name: str, path: str, request_id: str, headers: dict[str, str]
    ) -> tuple[bytes, bool]:
        """Sends a request to an instance and waits until its response ends.

        Returns:
            What arrived of the response, and whether it is complete.
        """
        if name not in self._running:
            return b"", False
        done = asyncio.get_running_loop().create_future()

        def on_response(data: bytes) -> None:
            if not done.done():
                done.set_result(not data.startswith(b"HTTP/1.1 0 "))

        instance, _ = self._running[name]
        caller = self._handle(instance, path, request_id, headers, on_response)
        self._callers[name].add(caller)
        complete = await done
        self._callers[name].discard(caller)
        return caller.data, complete

    async def send_traffic(
        self, per_s: float, for_ms: int, **request: str
    ) -> None:
        """Sends requests to random instances with exponential intervals.

        Args:
            per_s: Mean request rate.
            for_ms: Duration.
            **request: Arguments of ``send_request``.
        """
        until_ms = virtual_loop.now_ms() + for_ms
        while virtual_loop.now_ms() < until_ms:
            await loops.sleep(self._random.expovariate(per_s) * 1_000)
            self.send_request(self._random.choice(self.names), **request)

    async def close(self) -> None:
        """Kills all instances."""
        for name in list(self._running):
            self.kill(name)
        await asyncio.sleep(0)

"""Request and reply messages between instances over ZeroMQ."""

from collections.abc import Callable
from concurrent import futures
import logging
import queue
import threading
from typing import Any
from typing import NamedTuple
from typing import Protocol

import msgpack
import zmq

from tanagerloft.net import errors as net_errors
from tanagerloft.peers import errors
from tanagerloft.util import clock as clock_lib

logger = logging.getLogger(__name__)

# Longest wait for messages while calls are open, and while none is.
_OPEN_POLL_MS = 20
_IDLE_POLL_MS = 1_000
_MAX_MESSAGE_BYTES = 8_000_000
_LINGER_MS = 0
_HEARTBEAT_MS = 5_000

Handler = Callable[[Any], Any]


class Peers(Protocol):
    """What controllers need of the messages between instances."""

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler for calls of one kind."""

    def call(
        self, address: str, kind: str, payload: Any, timeout_ms: int
    ) -> Any | errors.CallFailed:
        """Calls a peer and waits for its answer."""

    def begin_call(
        self, address: str, kind: str, payload: Any, timeout_ms: int
    ) -> futures.Future:
        """Calls a peer; the future gives its answer or a ``CallFailed``."""


class _Call(NamedTuple):
    address: str
    kind: str
    payload: Any
    expires_ms: int
    future: futures.Future


class Bus:
    """Calls to peers, and handlers for theirs.

    One thread owns all sockets. Handlers run in it, so they must not block.

    Args:
        address: Address to listen on, ``host:port``.
        clock: Clock for time-outs.
        count: Called with the direction (``in`` or ``out``) and size in bytes
            of each message.

    Raises:
        net_errors.ListenError: The address is in use.
    """

    def __init__(
        self,
        address: str,
        clock: clock_lib.Clock,
        count: Callable[[str, int], None] = lambda _direction, _size: None,
    ):
        self._clock = clock
        self._count = count
        self._handlers: dict[str, Handler] = {}
        self._outbox: queue.SimpleQueue[_Call] = queue.SimpleQueue()
        self._pending: dict[int, _Call] = {}
        self._next_id = 1
        self._dealers: dict[str, zmq.Socket] = {}
        self._context = zmq.Context()
        self._router = self._socket(zmq.ROUTER)
        try:
            self._router.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise net_errors.ListenError(address, str(error)) from error
        self.address = self._bound_address()
        self._wake_lock = threading.Lock()
        self._wake_out = self._context.socket(zmq.PAIR)
        self._wake_in = self._context.socket(zmq.PAIR)
        self._wake_in.bind("inproc://wake")
        self._wake_out.connect("inproc://wake")
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name="peers", daemon=True
        )

    def handle(self, kind: str, handler: Handler) -> None:
        """Registers the handler for calls of one kind."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Starts to receive."""
        self._thread.start()

    def stop(self) -> None:
        """Closes all sockets."""
        self._stopping = True
        self._wake()
        self._thread.join()
        self._context.destroy(linger=_LINGER_MS)

    def call(
        self, address: str, kind: str, payload: Any, timeout_ms: int
    ) -> Any | errors.CallFailed:
        """Calls a peer and waits for its answer."""
        future = self.begin_call(address, kind, payload, timeout_ms)
        try:
            return future.result(timeout=(timeout_ms + _OPEN_POLL_MS) / 1_000)
        except futures.TimeoutError:
            return errors.CallFailed("no answer in time")

    def begin_call(
        self, address: str, kind: str, payload: Any, timeout_ms: int
    ) -> futures.Future:
        """Calls a peer; the future gives its answer or a ``CallFailed``."""
        future: futures.Future = futures.Future()
        expires_ms = self._clock.now_ms() + timeout_ms
        self._outbox.put(_Call(address, kind, payload, expires_ms, future))
        self._wake()
        return future

    def _wake(self) -> None:
        with self._wake_lock:
            self._wake_out.send(b"")

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, _LINGER_MS)
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
        return socket

    def _bound_address(self) -> str:
        endpoint = bytes(self._router.getsockopt(zmq.LAST_ENDPOINT))
        return endpoint.decode().rstrip("\x00").removeprefix("tcp://")

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._router, zmq.POLLIN)
        poller.register(self._wake_in, zmq.POLLIN)
        while not self._stopping:
            wait_ms = _OPEN_POLL_MS if self._pending else _IDLE_POLL_MS
            for socket, _ in poller.poll(wait_ms):
                self._receive(socket)
            self._send_outbox(poller)
            self._expire()

    def _receive(self, socket: zmq.Socket) -> None:
        if socket is self._wake_in:
            socket.recv()
            return
        frames = socket.recv_multipart()
        self._count("in", len(frames[-1]))
        try:
            message = msgpack.unpackb(frames[-1])
            if socket is self._router:
                self._answer(frames[0], message)
            else:
                self._take_reply(message)
        except (ValueError, TypeError, KeyError, msgpack.UnpackException):
            logger.exception("peer message dropped")

    def _answer(self, sender: bytes, message: list[Any]) -> None:
        call_id, kind, payload = message
        result = self._handlers[kind](payload)
        data = msgpack.packb([call_id, result])
        self._count("out", len(data))
        self._router.send_multipart([sender, data], zmq.NOBLOCK)

    def _take_reply(self, message: list[Any]) -> None:
        call_id, result = message
        call = self._pending.pop(call_id, None)
        if call is not None:
            call.future.set_result(result)

    def _send_outbox(self, poller: zmq.Poller) -> None:
        while not self._outbox.empty():
            call = self._outbox.get()
            call_id = self._next_id
            self._next_id += 1
            data = msgpack.packb([call_id, call.kind, call.payload])
            try:
                self._dealer(call.address, poller).send(data, zmq.NOBLOCK)
            except zmq.ZMQError as error:
                call.future.set_result(errors.CallFailed(str(error)))
                continue
            self._count("out", len(data))
            self._pending[call_id] = call

    def _dealer(self, address: str, poller: zmq.Poller) -> zmq.Socket:
        if address not in self._dealers:
            dealer = self._socket(zmq.DEALER)
            dealer.connect(f"tcp://{address}")
            poller.register(dealer, zmq.POLLIN)
            self._dealers[address] = dealer
        return self._dealers[address]

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        late = [
            call_id
            for call_id, call in self._pending.items()
            if call.expires_ms <= now_ms
        ]
        for call_id in late:
            call = self._pending.pop(call_id)
            call.future.set_result(errors.CallFailed("no answer in time"))

"""Targets on a virtual clock that may announce a rate limit."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import ipaddress
import itertools
from typing import NamedTuple
from typing import Protocol

from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types
from tanagerloft.net import target_connection
from tanagerloft.util import loops
from tests.support import engines
from tests.support import virtual_loop

PORT = 80
_FIRST_HOST = ipaddress.IPv4Address("10.0.0.1")
_host_numbers = itertools.count()
_MODEL_MISSING_STATUS = 421
# The users' rule: starting _GRACE_MS after a target first announced its limit,
# the requests in any window of _WINDOW_MS must not exceed
# _RATIO * limit * window + _SLACK. Only requests of instances that have known
# of the limit for at least _PROPAGATION_MS count.
_GRACE_MS = 3_000
_WINDOW_MS = 4_000
_PROPAGATION_MS = 500
_RATIO = 1.5
_SLACK = 5


class Connection(Protocol):
    """A connection to a target.

    Attributes:
        instance: Name of the instance that opened it.
    """

    instance: str

    def on_crash(self) -> None:
        """The target has crashed."""

    def cancel(self) -> None:
        """The instance closes the connection."""


class Arrival(NamedTuple):
    """A request received by a target.

    Attributes:
        at_ms: Time of arrival.
        instance: Name of the sending instance.
        knows_limit: Whether the instance has known of the limit long enough
            for the request to count.
        model: Requested model, empty if none.
    """

    at_ms: int
    instance: str
    knows_limit: bool
    model: str


class Target:
    """A target that may announce a rate limit in its responses.

    Args:
        target_id: Name.
        limit: Returns the limit in requests per second that it announces at
            a time in ms, None for no limit.
        run_ms: Duration of a request.

    Attributes:
        host: IP address.
        born: Start of its incarnation, as it names it.
        unlisted: Whether the platform's list no longer has it.
        crashes: Times of its crashes.
        connections: Open connections.
    """

    service = "plain"
    event_interval_ms = 100

    def __init__(
        self,
        target_id: str,
        limit: Callable[[int], float | None] = lambda _: None,
        run_ms: int = 60,
    ):
        self.target_id = target_id
        self.host = str(_FIRST_HOST + next(_host_numbers))
        self.limit = limit
        self.run_ms = run_ms
        self.arrivals: list[Arrival] = []
        self.on_change: Callable[[Target], None] = lambda _: None
        self._limit_known_ms: dict[str, int] = {}
        self._state = "ready"
        self._down_until_ms = 0
        self.born = 1
        self.unlisted = False
        self.crashes: list[int] = []
        self.connections: set[Connection] = set()

    def entry(self) -> dict:
        """Returns its entry in the platform's list."""
        return {
            "service": self.service,
            "address": f"{self.host}:{PORT}",
            "zone": "dc",
            "state": self._state,
            "born": self.born,
        }

    def receive(
        self, instance: str, data: bytes
    ) -> tuple[target_connection.ResponseHead, int]:
        """Records and runs a request.

        Returns:
            Head of the response, and the duration of the request in ms.
        """
        at_ms = virtual_loop.now_ms()
        known_ms = self._limit_known_ms.get(instance, at_ms)
        knows_limit = at_ms - known_ms >= _PROPAGATION_MS
        model = header(data, b"Model").decode()
        self.arrivals.append(Arrival(at_ms, instance, knows_limit, model))
        status, took_ms = self.run(data)
        headers = [
            (b"attempt-id", header(data, b"Attempt-Id")),
            (b"response-seal", b"s"),
            (b"content-length", b"0"),
        ]
        headers += self.extra_headers(status)
        limit = self.limit(at_ms)
        if limit is not None:
            headers.append((b"server-limit", b"%f" % limit))
        return target_connection.ResponseHead(status, tuple(headers)), took_ms

    def extra_headers(self, _status: int) -> list[tuple[bytes, bytes]]:
        """Returns additional headers of a response."""
        return []

    def run(self, _data: bytes) -> tuple[int, int]:
        """Returns status and duration in ms of a request."""
        return 200, self.run_ms

    def events(self, _data: bytes) -> list[bytes]:
        """Returns the events of the response; none if it is no stream."""
        return []

    def on_response(
        self, instance: str, head: target_connection.ResponseHead
    ) -> None:
        """Called when an instance has received a response."""

    def crashes_under(self, _data: bytes) -> bool:
        """Returns whether the target crashes when it answers a request."""
        return False

    @property
    def is_down(self) -> bool:
        """Whether the target accepts no connections after a crash."""
        return virtual_loop.now_ms() < self._down_until_ms

    def crash(self, down_ms: int) -> None:
        """Loses all connections and is down for some time."""
        self.crashes.append(virtual_loop.now_ms())
        self._down_until_ms = virtual_loop.now_ms() + down_ms
        for connection in list(self.connections):
            connection.on_crash()

    def leave(self) -> None:
        """Marks the target as leaving in the platform's list."""
        self._state = "draining"
        self.on_change(self)

    def start_again(self) -> None:
        """Starts again under the same name."""
        self.crash(0)
        self.born = virtual_loop.now_ms()
        self._state = "ready"
        self.on_change(self)

    def unlist(self) -> None:
        """Removes the target from the platform's list; it goes on serving."""
        self.unlisted = True
        self.on_change(self)

    def note_limit_known(self, instance: str) -> None:
        """Records that an instance has received a response with a limit."""
        self._limit_known_ms.setdefault(instance, virtual_loop.now_ms())

    def forget_limit_known(self, instance: str) -> None:
        """Records that an instance has lost its knowledge of the limit."""
        self._limit_known_ms.pop(instance, None)

    def worst_excess(self, first_limit_ms: int) -> float:
        """Returns the largest excess of requests over the limit in any window.

        A result of 0 or less means that the users' rule holds.

        Args:
            first_limit_ms: Time when the target first announced its limit.
        """
        sent_ms = [
            arrival.at_ms for arrival in self.arrivals if arrival.knows_limit
        ]
        worst = -float("inf")
        for begin_ms in sent_ms:
            if begin_ms < first_limit_ms + _GRACE_MS:
                continue
            end_ms = begin_ms + _WINDOW_MS
            limits = [self.limit(t) for t in range(begin_ms, end_ms, 100)]
            if None in limits:
                continue
            number = sum(begin_ms <= at_ms < end_ms for at_ms in sent_ms)
            allowed = _RATIO * max(limits) * _WINDOW_MS / 1_000 + _SLACK
            worst = max(worst, number - allowed)
        return worst


class Engine(Target):
    """An engine that holds some models and has copies of others on disk.

    Args:
        target_id: Name.
        held: Models held at the start.
        copies: Models with a copy on disk at the start.
        load_ms: Duration of a load.
        limit: See ``Target``.
    """

    service = "engines"

    def __init__(
        self,
        target_id: str,
        held: Iterable[str],
        copies: Iterable[str],
        load_ms: int,
        limit: Callable[[int], float | None] = lambda _: None,
    ):
        super().__init__(target_id, limit)
        self._held = set(held)
        self._copies = set(copies)
        self._load_ms = load_ms
        self._loading = ""
        self._order_sequence = 0

    def entry(self) -> dict:
        """Returns its entry in the platform's list."""
        models = [
            {"name": name, "version": 1, "adapters": []}
            for name in sorted(self._held)
        ]
        at_hand = {"in_memory": [], "on_disk": sorted(self._copies)}
        return {**super().entry(), "models": models, "at_hand": at_hand}

    def run(self, data: bytes) -> tuple[int, int]:
        """Returns status and duration in ms of a request."""
        if header(data, b"Model").decode() not in self._held:
            return _MODEL_MISSING_STATUS, 0
        return super().run(data)

    def order(
        self, order: model_orders.Order, sequence: int
    ) -> order_progress.Result:
        """Accepts or refuses an order."""
        if self._loading or sequence != self._order_sequence:
            return order_progress.Result.REFUSED
        self._order_sequence += 1
        if order.verb is model_orders.Verb.UNLOAD:
            self._held.discard(order.model)
            self.on_change(self)
        else:
            self._loading = order.model
            loops.call_later(self._load_ms, self._loaded)
        return order_progress.Result.ACCEPTED

    def _loaded(self) -> None:
        self._held.add(self._loading)
        self._copies.add(self._loading)
        self._loading = ""
        self.on_change(self)

    def report(self) -> types.TargetReport:
        """Returns the report of its state."""
        return engines.report(
            self._held,
            busy=bool(self._loading),
            order_sequence=self._order_sequence,
            on_disk=tuple(sorted(self._copies)),
        )


def header(data: bytes, name: bytes) -> bytes:
    """Returns the value of a header of a request, empty if missing."""
    return data.partition(name + b": ")[2].partition(b"\r\n")[0]

"""State of a request that filters share, and the chain of filters."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol

from werkzeug import datastructures

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.decisions import intents
from tanagerloft.filters import errors


class Responder(Protocol):
    """Sends the response to the caller."""

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Sends the status and headers."""

    def write(self, data: bytes) -> bool:
        """Sends part of the body; False if the caller has disconnected."""

    def is_gone(self) -> bool:
        """Returns whether the caller has closed the connection."""


class Work(NamedTuple):
    """What a request needs from a target.

    Attributes:
        subject: Key in the queue: a model, an adapter or ``route:NAME``.
        target_path: Path and query at the target.
        model: Model or adapter, None on the route of a plain service.
        route: Route to plain services, None for a model.
        stream: Whether the response is a stream of server-sent events.
        cost_tokens: Tokens to reserve: prompt and longest completion.
        open: Whether no API key is needed.
        idempotent: Whether the request may run more than once.
    """

    subject: str
    target_path: str
    model: str | None
    route: inventory_lib.Route | None
    stream: bool
    cost_tokens: int
    open: bool
    idempotent: bool


class RequestContext:
    """State of one request, passed from filter to filter.

    Attributes:
        request_id: Identifier, also sent to the caller and the target.
        method: HTTP method.
        path: Path without the query.
        query: Query string.
        headers: Request headers.
        body: Complete request body.
        arrived_ms: Time of arrival by the clock of the process.
        responder: Sends the response to the caller.
        inventory: Configuration in force on arrival.
        work: What the request needs; set by the filter ``identify``.
        request_class: Request class; set by ``identify``.
        deadline_ms: Latest assignment to a target; set by ``identify``.
        account: Client account, None on open routes; set by ``authenticate``.
        key_digest: SHA-256 of the API key; set by ``authenticate``.
        key_headers: Lower-case names of the headers that contain the key.
        idempotency_key: Of a non-idempotent request; set by ``recall``.
        used_tokens: Tokens that the request used, None if not known.
        first_byte_ms: When the response began, None if it has not.
        responded: Whether the response has begun.
    """

    def __init__(
        self,
        request_id: str,
        method: str,
        path: str,
        query: str,
        headers: datastructures.Headers,
        body: bytes,
        arrived_ms: int,
        responder: Responder,
        inventory: inventory_lib.Inventory,
    ):
        self.request_id = request_id
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.arrived_ms = arrived_ms
        self.responder = responder
        self.inventory = inventory
        self.work: Work
        self.request_class: inventory_lib.RequestClass
        self.deadline_ms = 0
        self.account: inventory_lib.Account | None = None
        self.key_digest = ""
        self.key_headers: frozenset[str] = frozenset()
        self.idempotency_key = ""
        self.used_tokens: int | None = None
        self.first_byte_ms: int | None = None
        self.responded = False
        self._cleanups: list[Callable[[], None]] = []

    @property
    def account_name(self) -> str:
        """Name of the client account, empty on open routes."""
        return self.account.name if self.account else ""

    def on_finish(self, cleanup: Callable[[], None]) -> None:
        """Registers a clean-up that runs however the request ends."""
        self._cleanups.append(cleanup)

    def finish(self) -> None:
        """Runs the registered clean-ups in reverse order."""
        while self._cleanups:
            self._cleanups.pop()()


class Answered(NamedTuple):
    """The request has a response other than a refusal.

    Attributes:
        replay: Recorded response that is still to be sent; None if a target's
            response has already been relayed.
    """

    replay: intents.Replay | None = None


Result = Answered | errors.Refusal | None
Filter = Callable[[RequestContext], Result]


def run_chain(filters: list[Filter], context: RequestContext) -> Any:
    """Runs filters in order until one gives a final result.

    Returns:
        The first result that is not None, or a refusal if there is none.
    """
    for step in filters:
        result = step(context)
        if result is not None:
            return result
    return errors.INTERNAL

"""HTTP client over pycurl that reports how far a failed request got."""

from collections.abc import Callable
import json
import threading
from typing import Any
from typing import NamedTuple

import pycurl

_CONNECT_TIMEOUT_MS = 1_000
_KEEPALIVE_IDLE_S = 15
_KEEPALIVE_INTERVAL_S = 5
_NOTHING_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_URL_MALFORMAT,
    }
)


class HttpRequest(NamedTuple):
    """One request to send.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        headers: Pairs of name and value.
        body: Body, empty for none.
        timeout_ms: Bound on the whole exchange, 0 for none.
        idle_timeout_ms: Bound on silence from the other side, 0 for none.
        fresh_connection: Use a new connection and close it afterwards. libcurl
            repeats a request by itself when a reused connection turns out to
            be dead, so a request that may run only once must set this.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_ms: int = 0
    idle_timeout_ms: int = 0
    fresh_connection: bool = False


class HttpResponse(NamedTuple):
    """A whole response.

    Attributes:
        status: HTTP status code.
        headers: Headers, names in lower case.
        body: Body, empty if it was passed to a sink.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body, or None if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None


class HttpFailure(NamedTuple):
    """An exchange that did not give a whole response.

    Attributes:
        reason: What libcurl said.
        sent: Whether any byte of the request may have left.
        status: Status if the response had begun, else 0.
        aborted: Whether this side ended the exchange.
    """

    reason: str
    sent: bool
    status: int = 0
    aborted: bool = False


class Sink(NamedTuple):
    """Receiver of a streamed response.

    Attributes:
        begin: Called once with status and headers before the first byte.
        data: Called with each piece; returning False ends the exchange.
        keep_going: Polled at least once a second; False ends the exchange.
    """

    begin: Callable[[int, dict[str, str]], None]
    data: Callable[[bytes], bool]
    keep_going: Callable[[], bool]


class HttpClient:
    """Sends requests; each thread reuses its own connections."""

    def __init__(self):
        self._local = threading.local()

    def send(
        self, request: HttpRequest, sink: Sink | None = None
    ) -> HttpResponse | HttpFailure:
        """Sends ``request`` and waits for the end of its response.

        Args:
            request: What to send.
            sink: Receiver of the body; without it the body is collected.

        Returns:
            The response, or how the exchange failed.
        """
        curl = self._handle()
        exchange = _Exchange(curl, sink)
        _prepare(curl, request, exchange)
        try:
            curl.perform()
        except pycurl.error as error:
            return exchange.failure(error)
        return exchange.response()

    def _handle(self) -> pycurl.Curl:
        if not hasattr(self._local, "curl"):
            self._local.curl = pycurl.Curl()
        self._local.curl.reset()
        return self._local.curl


class _Exchange:
    """State of one exchange on a curl handle."""

    def __init__(self, curl: pycurl.Curl, sink: Sink | None):
        self._curl = curl
        self._sink = sink
        self._status = 0
        self._headers: dict[str, str] = {}
        self._pieces: list[bytes] = []
        self._begun = False
        self._aborted = False

    def on_header(self, line: bytes) -> None:
        if line.startswith(b"HTTP/"):
            self._headers.clear()
            self._status = int(line.split(maxsplit=2)[1])
            return
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            self._headers[name.strip().lower()] = value.strip()

    def on_data(self, data: bytes) -> int | None:
        if self._sink is None:
            self._pieces.append(data)
            return None
        self._begin()
        if self._sink.data(data):
            return None
        self._aborted = True
        return -1

    def on_progress(self, *_counts: int) -> int:
        if self._sink is None or self._sink.keep_going():
            return 0
        self._aborted = True
        return 1

    def response(self) -> HttpResponse:
        self._begin()
        return HttpResponse(
            self._status, dict(self._headers), b"".join(self._pieces)
        )

    def failure(self, error: pycurl.error) -> HttpFailure:
        code, text = error.args[0], str(error.args[1])
        sent = code not in _NOTHING_SENT
        if sent and code == pycurl.E_OPERATION_TIMEDOUT:
            sent = self._curl.getinfo(pycurl.REQUEST_SIZE) > 0
        return HttpFailure(text, sent, self._status, self._aborted)

    def _begin(self) -> None:
        if self._sink is not None and not self._begun:
            self._begun = True
            self._sink.begin(self._status, dict(self._headers))


def _prepare(
    curl: pycurl.Curl, request: HttpRequest, exchange: _Exchange
) -> None:
    curl.setopt(pycurl.URL, request.url)
    curl.setopt(pycurl.CUSTOMREQUEST, request.method)
    headers = [f"{name}: {value}" for name, value in request.headers]
    headers.append("Expect:")
    curl.setopt(pycurl.HTTPHEADER, headers)
    if request.body or request.method in ("POST", "PUT"):
        curl.setopt(pycurl.POSTFIELDSIZE, len(request.body))
        curl.setopt(pycurl.POSTFIELDS, request.body)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, _CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    curl.setopt(pycurl.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    if request.timeout_ms:
        curl.setopt(pycurl.TIMEOUT_MS, request.timeout_ms)
    if request.idle_timeout_ms:
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        idle_s = max(1, request.idle_timeout_ms // 1_000)
        curl.setopt(pycurl.LOW_SPEED_TIME, idle_s)
    if request.fresh_connection:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.HEADERFUNCTION, exchange.on_header)
    curl.setopt(pycurl.WRITEFUNCTION, exchange.on_data)
    curl.setopt(pycurl.NOPROGRESS, 0)
    curl.setopt(pycurl.XFERINFOFUNCTION, exchange.on_progress)


def json_request(
    method: str, url: str, payload: Any, timeout_ms: int
) -> HttpRequest:
    """Builds a request that carries ``payload`` as JSON."""
    body = json.dumps(payload).encode()
    headers = (("Content-Type", "application/json"),)
    return HttpRequest(method, url, headers, body, timeout_ms)

"""One attempt: sends a request to a target and relays its answer."""

from collections.abc import Callable
import json
import re
from typing import NamedTuple

from tanagerloft.decisions import attempts
from tanagerloft.util import http

_STREAM_END = b"data: [DONE]"
_EVENT_END = b"\n\n"
_TAIL_BYTES = 64
_USAGE_TAIL_BYTES = 1_024
_TOTAL_TOKENS = re.compile(rb'"total_tokens"\s*:\s*(\d+)')
_OK = 200
_NOT_RUN_HEADER = "x-not-run"
_REQUEST_ID = "x-request-id"
_LENGTH = "content-length"
_PASSED_HEADERS = ("content-type", _LENGTH)


class Callbacks(NamedTuple):
    """What the relay asks of the request path.

    Attributes:
        begin: Sends status and headers to the caller.
        write: Sends a piece to the caller; False if the caller has gone.
        allowed: Whether the request may still go on; polled about every second
            and before each piece.
        events: Told the number of stream events in each piece.
        record: Told status, type and body of a whole answer that is no stream,
            before any of it goes to the caller.
    """

    begin: Callable[[int, list[tuple[str, str]]], None]
    write: Callable[[bytes], bool]
    allowed: Callable[[], bool]
    events: Callable[[int], None]
    record: Callable[[int, str, bytes], None]


class Whole(NamedTuple):
    """The answer reached the caller whole.

    Attributes:
        tokens: Tokens it took, None if the target did not say.
    """

    tokens: int | None


class Failed(NamedTuple):
    """The attempt gave no whole answer.

    Attributes:
        evidence: What is known of it.
        reason: Text for logs.
        caller_gone: Whether the caller closed the connection.
        stopped: Whether ``allowed`` ended it.
        tokens: Stream events relayed before it failed.
    """

    evidence: attempts.Evidence
    reason: str
    caller_gone: bool = False
    stopped: bool = False
    tokens: int = 0


class _Relay:
    """State of one attempt."""

    def __init__(
        self,
        request_id: str,
        stream: bool,
        refused_statuses: frozenset[int],
        callbacks: Callbacks,
    ):
        self._request_id = request_id
        self._refused_statuses = refused_statuses
        self._stream = stream
        self._callbacks = callbacks
        self._status = 0
        self._headers: dict[str, str] = {}
        self._held: list[bytes] = []
        self._tail = b""
        self._events = 0
        self.begun = False
        self.caller_gone = False
        self.stopped = False
        self.crossed = False

    def on_begin(self, status: int, headers: dict[str, str]) -> None:
        self._status = status
        self._headers = headers
        echoed = headers.get(_REQUEST_ID, self._request_id)
        self.crossed = echoed != self._request_id

    def on_data(self, data: bytes) -> bool:
        if self.crossed or not self.keep_going():
            return False
        if not self.is_event_stream():
            self._held.append(data)
            return True
        self._tail = (self._tail + data)[-_USAGE_TAIL_BYTES:]
        events = data.count(_EVENT_END)
        self._events += events
        self._callbacks.events(events)
        return self._pass_on(data)

    def keep_going(self) -> bool:
        if not self._callbacks.allowed():
            self.stopped = True
        return not self.stopped

    def is_event_stream(self) -> bool:
        content_type = self._headers.get("content-type", "")
        return (
            self._stream
            and self._status == _OK
            and content_type.startswith("text/event-stream")
        )

    def _pass_on(self, data: bytes) -> bool:
        if not self.begun:
            self.begun = True
            self._callbacks.begin(self._status, self._passed_headers())
        if not self._callbacks.write(data):
            self.caller_gone = True
        return not self.caller_gone

    def _passed_headers(self) -> list[tuple[str, str]]:
        return [
            (name, self._headers[name])
            for name in _PASSED_HEADERS
            if name in self._headers
        ]

    def finish(self, response: http.HttpResponse) -> Whole | Failed:
        if self.crossed:
            return self._failed(attempts.Evidence.UNKNOWN, "crossed answer")
        if self._says_not_run(response):
            reason = f"refused with {response.status}"
            return self._failed(attempts.Evidence.REFUSED, reason)
        if self.is_event_stream():
            return self._finish_stream()
        body = b"".join(self._held)
        self._headers[_LENGTH] = str(len(body))
        content_type = self._headers.get("content-type", "")
        self._callbacks.record(self._status, content_type, body)
        if not self._pass_on(body):
            return self._failed(attempts.Evidence.UNKNOWN, "caller gone")
        return Whole(_tokens_of(body))

    def _says_not_run(self, response: http.HttpResponse) -> bool:
        return (
            _NOT_RUN_HEADER in response.headers
            or response.status in self._refused_statuses
        )

    def _finish_stream(self) -> Whole | Failed:
        if _STREAM_END not in self._tail[-_TAIL_BYTES:]:
            return self.cut("the stream ended without its terminator")
        found = _TOTAL_TOKENS.search(self._tail)
        return Whole(int(found.group(1)) if found else None)

    def cut(self, reason: str) -> Failed:
        evidence = attempts.Evidence.UNKNOWN
        if self.begun:
            evidence = attempts.Evidence.CUT
        return self._failed(evidence, reason)

    def _failed(self, evidence: attempts.Evidence, reason: str) -> Failed:
        return Failed(
            evidence, reason, self.caller_gone, self.stopped, self._events
        )


def run(
    client: http.HttpClient,
    request: http.HttpRequest,
    request_id: str,
    stream: bool,
    refused_statuses: frozenset[int],
    callbacks: Callbacks,
) -> Whole | Failed:
    """Sends ``request`` and relays the answer.

    A stream goes to the caller piece by piece; any other answer goes only once
    it is whole, so that a cut one can be tried again.

    Args:
        client: HTTP client.
        request: The request.
        request_id: Identity that the answer must carry if it carries one.
        stream: Whether the caller asked for a stream.
        refused_statuses: Statuses by which this kind of target says that it
            did not run the request; the header ``X-Not-Run`` always does.
        callbacks: Way back to the request path.

    Returns:
        The whole answer, or what is known of the failed attempt.
    """
    relay = _Relay(request_id, stream, refused_statuses, callbacks)
    sink = http.Sink(relay.on_begin, relay.on_data, relay.keep_going)
    result = client.send(request, sink)
    if isinstance(result, http.HttpResponse):
        return relay.finish(result)
    if not result.sent:
        evidence = attempts.Evidence.NOT_SENT
        return Failed(evidence, result.reason, stopped=relay.stopped)
    return relay.cut(result.reason)


def _tokens_of(body: bytes) -> int | None:
    try:
        usage = json.loads(body)["usage"]["total_tokens"]
    except (ValueError, KeyError, TypeError):
        return None
    return usage if type(usage) is int and usage >= 0 else None

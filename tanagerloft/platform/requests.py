"""Codec of callers' requests, requests to targets and their responses."""

from __future__ import annotations

import logging
import math
import re

import orjson

from tanagerloft.gateway import codec
from tanagerloft.gateway import errors
from tanagerloft.net import responder as responder_lib
from tanagerloft.net import target_connection
from tanagerloft.platform import wire

logger = logging.getLogger(__name__)

_BEARER = b"bearer "
# Headers that may occur only once: a second value would be ambiguous.
_SINGLE_VALUED = frozenset(
    (
        b"host",
        wire.REQUEST_ID,
        wire.DEADLINE_MS,
        wire.MODEL,
        wire.TOKENS,
        wire.LAST_EVENT_ID,
        wire.RESUMED_ID,
        wire.AUTHORIZATION,
    )
)
_NOT_FORWARDED = (
    wire.RESERVED
    | wire.HOP_BY_HOP
    | {wire.AUTHORIZATION, wire.DEADLINE_MS, wire.LAST_EVENT_ID}
)
_NUMBER = re.compile(rb"[0-9]{1,15}")
# Parts of a prompt that are decoded, and the length of the name of each.
_MAX_PARTS = 32
_PART = re.compile(rb"([0-9a-fA-F]{1,32}):[0-9]{1,15}")
_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")
_STREAM_TYPE = b"text/event-stream"
_REFUSAL_TYPE = (b"Content-Type", b"application/json")
# A caller that retries sooner than this meets the same state.
_MIN_RETRY_MS = 50
_MISDIRECTED = 421
_SERVICE_UNAVAILABLE = 503
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class PlatformCodec:
    """The platform's protocol; implements ``gateway.codec.Codec``."""

    def decode(
        self, request: responder_lib.Request
    ) -> codec.DecodedRequest | errors.Refusal:
        """Decodes a request of a caller, or returns why it is refused."""
        single_valued: dict[bytes, bytes] = {}
        forwarded = []
        parts = []
        not_forwarded = _NOT_FORWARDED | _connection_headers(request.headers)
        for name, value in request.headers:
            lower_name = name.lower()
            if lower_name in _SINGLE_VALUED:
                if lower_name in single_valued:
                    return errors.MALFORMED
                single_valued[lower_name] = value.strip()
            if lower_name == wire.PROMPT_PARTS:
                parts += value.split(b",")
            if lower_name not in not_forwarded:
                forwarded.append((name, value))
        return _decode(request, single_valued, parts, tuple(forwarded))

    def encode(
        self,
        request: responder_lib.Request,
        decoded: codec.DecodedRequest,
        fields: codec.AttemptFields,
    ) -> bytes:
        """Encodes a request to a target."""
        lines = [b"%b %b HTTP/1.1" % (request.method.encode(), request.target)]
        lines += [name + b": " + value for name, value in decoded.headers]
        if fields.remaining_ms is not None:
            lines.append(b"Deadline-Ms: %d" % fields.remaining_ms)
        target_id = fields.target.target_id.encode("latin-1", "replace")
        lines.append(b"Expect-Instance: " + target_id)
        if fields.account is not None:
            lines.append(b"Tenant: " + fields.account.encode("latin-1"))
        if fields.last_event_id is not None:
            lines.append(b"Last-Event-Id: %d" % fields.last_event_id)
        if request.body or request.method not in ("GET", "HEAD"):
            lines.append(b"Content-Length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + request.body

    def decode_head(
        self,
        decoded: codec.DecodedRequest,
        head: target_connection.ResponseHead,
    ) -> codec.ResponseInfo:
        """Decodes the head of a response to a request."""
        echoed_id = head.get(wire.REQUEST_ID)
        matches_request = (
            echoed_id is None
            or echoed_id.decode("latin-1") == decoded.request_id
        )
        not_run = (
            head.get(wire.NOT_RUN) is not None or head.status == _MISDIRECTED
        )
        sealed = head.get(wire.SEAL) is not None
        content_type = head.get(b"content-type") or b""
        return codec.ResponseInfo(
            matches_request=matches_request,
            names_request=echoed_id is not None,
            not_run=not_run,
            authentic=sealed and echoed_id is not None,
            misdirected=head.status == _MISDIRECTED,
            is_stream=content_type.lower().startswith(_STREAM_TYPE),
            leaving=head.get(wire.LEAVING) == b"1",
            backoff_ms=_decode_backoff(head),
            limit_per_s=_decode_limit(
                head, matches_request and echoed_id is not None
            ),
            headers=[
                (name, value)
                for name, value in head.headers
                if name not in wire.HOP_BY_HOP
            ],
        )

    def encode_refusal(
        self, refusal: errors.Refusal, request_id: str
    ) -> tuple[list[tuple[bytes, bytes]], bytes]:
        """Encodes a refusal; returns its headers and body."""
        headers = [_REFUSAL_TYPE]
        if request_id:
            headers.append((b"Attempt-Id", request_id.encode("latin-1")))
        if refusal.retry_after_ms:
            retry_ms = max(_MIN_RETRY_MS, refusal.retry_after_ms)
            headers.append((b"Retry-After", b"%.3f" % (retry_ms / 1_000)))
        body = {"error": refusal.code, "detail": refusal.detail}
        return headers, orjson.dumps(body)


def _decode_backoff(head: target_connection.ResponseHead) -> int:
    """Returns the milliseconds for which a target wants no requests."""
    value = head.get(wire.RETRY_AFTER)
    if head.status != _SERVICE_UNAVAILABLE or value is None:
        return 0
    seconds = _DECIMAL.fullmatch(value.strip())
    return math.ceil(float(seconds[0]) * 1_000) if seconds else 0


def _decode_limit(
    head: target_connection.ResponseHead, matches_request: bool
) -> float | None:
    """Returns the requests a second that a target accepts.

    Of several values the lowest counts. A malformed value tells neither that
    there is a limit nor that there is none.

    Args:
        head: Head of the response.
        matches_request: Whether it responds to the request, by its identity.

    Returns:
        See ``ResponseInfo.limit_per_s``.
    """
    values = [
        value.strip()
        for name, value in head.headers
        if name == wire.LIMIT_PER_S
    ]
    if not values:
        # A response to another request, or by another target, ends no limit.
        is_authoritative = matches_request and head.status != _MISDIRECTED
        return math.inf if is_authoritative else None
    numbers = [_DECIMAL.fullmatch(value) for value in values]
    if not all(numbers):
        logger.warning(
            "malformed limit of a target ignored",
            extra={"values": [value.decode("latin-1") for value in values]},
        )
    return min((float(number[0]) for number in numbers if number), default=None)


def _connection_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> frozenset[bytes]:
    """Returns the hop-by-hop headers that ``Connection`` lists."""
    names = set()
    for name, value in headers:
        if name.lower() == b"connection":
            names |= {part.strip().lower() for part in value.split(b",")}
    return frozenset(names - {b"", b"host", wire.REQUEST_ID})


def _decode(
    request: responder_lib.Request,
    single_valued: dict[bytes, bytes],
    parts: list[bytes],
    forwarded: tuple[tuple[bytes, bytes], ...],
) -> codec.DecodedRequest | errors.Refusal:
    request_id = single_valued.get(wire.REQUEST_ID, b"")
    host = single_valued.get(b"host", b"")
    timeout = single_valued.get(wire.DEADLINE_MS)
    last_event = single_valued.get(wire.LAST_EVENT_ID)
    tokens = _decode_tokens(single_valued.get(wire.TOKENS))
    numbers_valid = all(
        value is None or _NUMBER.fullmatch(value)
        for value in (timeout, last_event)
    )
    if (
        not _REQUEST_ID.fullmatch(request_id)
        or not host
        or not request.target.startswith(b"/")
        or not numbers_valid
        or isinstance(tokens, errors.Refusal)
    ):
        return errors.MALFORMED
    model, _, adapter = single_valued.get(wire.MODEL, b"").partition(b"/")
    return codec.DecodedRequest(
        request_id=request_id.decode("latin-1"),
        host=_strip_port(host.decode("latin-1").lower()),
        path=request.target.partition(b"?")[0].decode("latin-1"),
        key=_decode_key(single_valued.get(wire.AUTHORIZATION)),
        timeout_ms=int(timeout) if timeout is not None else None,
        model=model.decode("latin-1"),
        adapter=adapter.decode("latin-1"),
        tokens=None if tokens is None else sum(tokens),
        prompt_tokens=0 if tokens is None else tokens[0],
        shared_parts=_decode_shared_parts(parts),
        last_event_id=int(last_event) if last_event is not None else None,
        resumed_id=_decode_resumed_id(single_valued.get(wire.RESUMED_ID)),
        headers=forwarded,
    )


def _decode_tokens(
    value: bytes | None,
) -> tuple[int, int] | errors.Refusal | None:
    if value is None:
        return None
    parts = [part.strip() for part in value.split(b",")]
    if len(parts) != 2 or not all(map(_NUMBER.fullmatch, parts)):
        return errors.MALFORMED
    return int(parts[0]), int(parts[1])


def _decode_shared_parts(parts: list[bytes]) -> tuple[str, ...]:
    """Returns the names of all parts but the last; skips malformed ones."""
    decoded = [_PART.fullmatch(part.strip()) for part in parts[:-1]]
    names = [part[1].decode().lower() for part in decoded if part]
    return tuple(names[:_MAX_PARTS])


def _decode_resumed_id(value: bytes | None) -> str | None:
    """Returns the named attempt; a malformed name names none."""
    if value is None or not _REQUEST_ID.fullmatch(value):
        return None
    return value.decode("latin-1")


def _decode_key(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(_BEARER):
        return None
    return value[len(_BEARER) :].strip().decode("latin-1")


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host

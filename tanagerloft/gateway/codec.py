"""Interface of the gateway to the protocol of callers and targets."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from tanagerloft.fleet import types
from tanagerloft.gateway import errors
from tanagerloft.net import responder as responder_lib
from tanagerloft.net import target_connection


class DecodedRequest(NamedTuple):
    """A caller's request in the gateway's types.

    Attributes:
        request_id: Identity of this attempt of the caller.
        host: Host, in lower case and without a port.
        path: Path without the query.
        key: Key of the client account, None if there is none.
        timeout_ms: How long the caller waits, None if it does not say.
        model: Model, empty for none.
        adapter: Adapter of the model, empty for none.
        tokens: Tokens of the prompt and of the longest possible response;
            None if the request states no tokens.
        prompt_tokens: Tokens of the prompt, 0 if not known.
        shared_parts: Parts of the prompt but the last, which is its own.
        last_event_id: Last event that the caller has, None for none.
        resumed_id: Identity of the attempt that brought the first event of a
            stream that the caller resumes; None if it names none.
        headers: Headers that are forwarded to the target.
    """

    request_id: str
    host: str
    path: str
    key: str | None
    timeout_ms: int | None
    model: str
    adapter: str
    tokens: int | None
    prompt_tokens: int
    shared_parts: tuple[str, ...]
    last_event_id: int | None
    resumed_id: str | None
    headers: tuple[tuple[bytes, bytes], ...]


class AttemptFields(NamedTuple):
    """What one attempt adds to the caller's request.

    Attributes:
        target: The target.
        remaining_ms: Time until the deadline, None if there is none.
        account: Name of the client account, None on open routes.
        last_event_id: Event after which a stream resumes, None for none.
    """

    target: types.TargetEntry
    remaining_ms: int | None
    account: str | None
    last_event_id: int | None


class ResponseInfo(NamedTuple):
    """What the head of a response says.

    Attributes:
        matches_request: Whether it responds to this request, not to another,
            as far as it names one.
        names_request: Whether it names the request that it responds to.
        not_run: Whether the target reports that it did not run the request.
        authentic: Whether the target itself responded to the request.
        misdirected: Whether the target lacks the model or is another target
            than the one addressed.
        is_stream: Whether the body is a stream of events.
        leaving: Whether the target announces that it leaves.
        backoff_ms: Time for which it wants no more requests, 0 for none.
        limit_per_s: Requests a second that it accepts from all instances
            together; infinite if it announces no limit, None if the response
            does not tell.
        headers: Headers that are forwarded to the caller.
    """

    matches_request: bool
    names_request: bool
    not_run: bool
    authentic: bool
    misdirected: bool
    is_stream: bool
    leaving: bool
    backoff_ms: int
    limit_per_s: float | None
    headers: list[tuple[bytes, bytes]]


class Codec(Protocol):
    """Converts between bytes of the protocol and the gateway's types."""

    def decode(
        self, request: responder_lib.Request
    ) -> DecodedRequest | errors.Refusal:
        """Decodes a request of a caller, or returns why it is refused."""

    def encode(
        self,
        request: responder_lib.Request,
        decoded: DecodedRequest,
        fields: AttemptFields,
    ) -> bytes:
        """Encodes a request to a target."""

    def decode_head(
        self, decoded: DecodedRequest, head: target_connection.ResponseHead
    ) -> ResponseInfo:
        """Decodes the head of a response to a request."""

    def encode_refusal(
        self, refusal: errors.Refusal, request_id: str
    ) -> tuple[list[tuple[bytes, bytes]], bytes]:
        """Encodes a refusal; returns its headers and body."""

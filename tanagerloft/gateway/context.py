"""State of one request in the gateway."""

from __future__ import annotations

import hashlib

from tanagerloft.coordination import targets
from tanagerloft.fleet import types
from tanagerloft.gateway import codec
from tanagerloft.net import responder as responder_lib


class RequestTimes:
    """Times at which a request reached each stage.

    Attributes:
        arrived_ms: When its first byte arrived.
        sent_ms: When it was first sent to a target, None before.
        response_ms: When the response to the caller began, None before.
    """

    def __init__(self, arrived_ms: int):
        self.arrived_ms = arrived_ms
        self.sent_ms: int | None = None
        self.response_ms: int | None = None

    def log_fields(self, now_ms: int) -> dict[str, int | None]:
        """Returns the fields of log lines about the times."""
        return {
            "waited_ms": self._since(self.sent_ms),
            "first_ms": self._since(self.response_ms),
            "took_ms": now_ms - self.arrived_ms,
        }

    def _since(self, at_ms: int | None) -> int | None:
        return None if at_ms is None else at_ms - self.arrived_ms


class RequestContext:
    """State of one request.

    Attributes:
        request: The request as received.
        responder: Sends the response to the caller.
        decoded: The request in the gateway's types.
        configuration: Configuration in force on arrival.
        route: Its route; set by the step ``identify``.
        service: Service that runs it; set by ``identify``.
        account: Client account, None on open routes; set by ``authenticate``.
        cost_tokens: Tokens charged; set by ``authenticate``.
        deadline_ms: When its response must be complete; set by ``identify``.
        charged: Whether the account has been charged with the tokens.
        times: When it reached each stage.
        holder_age_ms: Age of the lease holder's last status when the request
            started.
        expected_ms: Time until its model was expected to be ready then; None
            if a target had it or no estimate was known.
    """

    def __init__(
        self,
        request: responder_lib.Request,
        responder: responder_lib.Responder,
        decoded: codec.DecodedRequest,
        configuration: types.Configuration,
    ):
        self.request = request
        self.responder = responder
        self.decoded = decoded
        self.configuration = configuration
        self.route: types.Route
        self.service: str = ""
        self.account: types.Account | None = None
        self.cost_tokens = 0
        self.deadline_ms = 0
        self.charged = False
        self.times = RequestTimes(request.arrived_ms)
        self.holder_age_ms = 0
        self.expected_ms: int | None = None
        self._digest: str | None = None

    @property
    def resumable_until_ms(self) -> int:
        """Time after which the caller no longer resumes the stream."""
        timeout_ms = self.decoded.timeout_ms
        if timeout_ms is None:
            return self.deadline_ms
        return max(self.deadline_ms, self.times.arrived_ms + timeout_ms)

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has a part of a stream and resumes it."""
        decoded = self.decoded
        return self.route.resumable and (
            decoded.last_event_id is not None or decoded.resumed_id is not None
        )

    @property
    def model_key(self) -> str:
        """Model, or model and adapter, under which the request is counted."""
        return targets.model_key(self.decoded.model, self.decoded.adapter)

    @property
    def digest(self) -> str:
        """Digest that is equal for retries of the same request by a caller."""
        if self._digest is None:
            parts = (
                self.account_name or "",
                self.decoded.host,
                self.decoded.path,
            )
            digest = hashlib.blake2b(repr(parts).encode(), digest_size=8)
            digest.update(self.request.body)
            self._digest = digest.hexdigest()
        return self._digest

    def log_fields(self) -> dict[str, str | int | None]:
        """Returns the fields of log lines about the request."""
        return {
            "request": self.decoded.request_id,
            "route": self.route.name,
            "account": self.account_name,
            "model": self.model_key,
            "resumed": self.decoded.resumed_id,
            "after_event": self.decoded.last_event_id,
            "configuration": self.configuration.version,
            "holder_age_ms": self.holder_age_ms,
            "expected_ms": self.expected_ms,
        }

    @property
    def account_name(self) -> str | None:
        """Name of the client account."""
        return self.account.name if self.account else None

"""State of one request on its way through the gateway."""

from __future__ import annotations

import hashlib

from tanagerloft.coordination import targets
from tanagerloft.fleet import types
from tanagerloft.gateway import dialect
from tanagerloft.net import caller_connection


class RequestContext:
    """State of one request.

    Attributes:
        request: The request as sent.
        responder: Way back to the caller.
        ask: What it asks for.
        configuration: Configuration in force on arrival.
        route: Its route; set by the step ``identify``.
        service: Service that runs it; set by ``identify``.
        account: Client account, None on open routes; set by ``authenticate``.
        cost_tokens: Tokens charged; set by ``identify``.
        ends_ms: When it needs its final answer; set by ``identify``.
        charged: Whether the tokens have been taken.
    """

    def __init__(
        self,
        request: caller_connection.Request,
        responder: caller_connection.Responder,
        ask: dialect.Ask,
        configuration: types.Configuration,
    ):
        self.request = request
        self.responder = responder
        self.ask = ask
        self.configuration = configuration
        self.route: types.Route
        self.service: str = ""
        self.account: types.Account | None = None
        self.cost_tokens = 0
        self.ends_ms = 0
        self.charged = False
        self._digest: str | None = None

    @property
    def subject(self) -> str:
        """Model, with the adapter, as it is counted."""
        return targets.subject(self.ask.model, self.ask.adapter)

    @property
    def digest(self) -> str:
        """Digest by which a request that comes again is known."""
        if self._digest is None:
            parts = (self.account_name or "", self.ask.host, self.ask.path)
            told = hashlib.blake2b(repr(parts).encode(), digest_size=8)
            told.update(self.request.body)
            self._digest = told.hexdigest()
        return self._digest

    @property
    def account_name(self) -> str | None:
        """Name of the client account."""
        return self.account.name if self.account else None

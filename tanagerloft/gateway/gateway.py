"""Takes requests of callers and leads them to targets."""

from __future__ import annotations

from collections.abc import Callable
import logging

from tanagerloft.coordination import configuration as configuration_lib
from tanagerloft.coordination import fleet_link
from tanagerloft.decisions import account_tokens
from tanagerloft.fleet import types
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dialect as dialect_lib
from tanagerloft.gateway import errors
from tanagerloft.gateway import exchange as exchange_lib
from tanagerloft.gateway import metrics as metrics_lib
from tanagerloft.gateway import parts as parts_lib
from tanagerloft.gateway import steps as steps_lib
from tanagerloft.net import responder as responder_lib

logger = logging.getLogger(__name__)

_UNREAD = {
    408: errors.SLOW_SENDER,
    413: errors.TOO_LARGE,
    431: errors.HEADERS_TOO_LARGE,
}
# During a graceful stop, requests are taken while so much time is left until
# the process ends: nearly all streams are over in it, and all plain answers.
_STREAM_LEFT_MS = 5_000
_PLAIN_LEFT_MS = 2_500
# Requests at once; each takes some tens of kilobytes of the process' memory.
_MAX_OPEN = 1_500


class Gateway:
    """Handler of callers' connections; a ``net`` handler.

    Args:
        dialect: Protocol of callers and targets.
        configuration: Configuration in force.
        link: Tokens of client accounts.
        steps: What a request passes first.
        parts: What exchanges share.
        now_ms: Clock.
        metrics: Counters and histograms.
    """

    def __init__(
        self,
        dialect: dialect_lib.Dialect,
        configuration: configuration_lib.ConfigurationKeeper,
        link: fleet_link.FleetLink,
        steps: list[steps_lib.Step],
        parts: parts_lib.Parts,
        now_ms: Callable[[], int],
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._dialect = dialect
        self._configuration = configuration
        self._link = link
        self._steps = steps
        self._parts = parts
        self._now_ms = now_ms
        self._metrics = metrics
        self._open: set[exchange_lib.Exchange] = set()
        self.stops_at_ms: int | None = None

    @property
    def open_count(self) -> int:
        """Number of requests under way."""
        return len(self._open)

    def stop(self, stops_at_ms: int) -> None:
        """Ends each connection with its next answer.

        Args:
            stops_at_ms: When what is still open will be cut.
        """
        self.stops_at_ms = stops_at_ms

    def refuse_waiting(self) -> None:
        """Refuses requests that no target has, for others to take them."""
        for exchange in list(self._open):
            exchange.refuse_unsent(errors.STOPPING)

    def end_all(self) -> None:
        """Ends all requests, at the end of a graceful stop."""
        for exchange in list(self._open):
            exchange.end()

    def limits(self) -> types.CallerLimits:
        """Returns the bounds in force."""
        current = self._configuration.current
        return current.limits if current else types.CallerLimits()

    def now_ms(self) -> int:
        """Returns the reading of the clock."""
        return self._now_ms()

    def closing(self) -> bool:
        """Returns whether connections are to end with their answer."""
        return self.stops_at_ms is not None

    def refuse_unread(
        self, responder: responder_lib.Responder, status: int
    ) -> None:
        """Answers a request that could not be read."""
        refusal = _UNREAD.get(status, errors.MALFORMED)
        responder.close_after()
        self._refuse(responder, refusal, "", "")

    def handle(
        self,
        request: responder_lib.Request,
        responder: responder_lib.Responder,
    ) -> None:
        """Takes a request."""
        ask = self._dialect.decode(request)
        if isinstance(ask, errors.Refusal):
            self._refuse(responder, ask, "", "")
            return
        configuration = self._configuration.current
        if configuration is None:
            self._refuse(responder, errors.NOT_CONFIGURED, ask.request_id, "")
            return
        if len(self._open) >= _MAX_OPEN:
            self._refuse(responder, errors.OVERLOADED, ask.request_id, "")
            return
        context = context_lib.RequestContext(
            request, responder, ask, configuration
        )
        for step in (*self._steps, self._refuse_late):
            refusal = step(context)
            if refusal is not None:
                detail = f"{ask.host}{ask.path}"
                self._refuse(responder, refusal, ask.request_id, detail)
                return
        self._charge(context)

    def _refuse_late(
        self, context: context_lib.RequestContext
    ) -> errors.Refusal | None:
        """Refuses what could be cut by the end of a graceful stop.

        Load answered: callers that go on using open connections, and new ones
        while most instances of a data centre stop.
        """
        if self.stops_at_ms is None:
            return None
        stream = context.route.kind is types.RouteKind.STREAM
        needed_ms = _STREAM_LEFT_MS if stream else _PLAIN_LEFT_MS
        if self.stops_at_ms - self._now_ms() > needed_ms:
            return None
        return errors.STOPPING

    def _charge(self, context: context_lib.RequestContext) -> None:
        """Takes the request's tokens, then starts it."""
        account = context.account
        if account is None or context.cost_tokens == 0:
            self._start(context)
            return

        def decided(outcome: account_tokens.Outcome) -> None:
            context.responder.on_gone = None
            if outcome.admitted:
                context.charged = True
                self._start(context)
                return
            refusal = errors.LIMIT_UNCONFIRMED
            if outcome.confirmed:
                refusal = errors.limit_exceeded(outcome.retry_ms)
            detail = f"{account.name} {context.cost_tokens}"
            self._refuse(
                context.responder, refusal, context.ask.request_id, detail
            )

        if self._link.ask(account, context.cost_tokens, decided):
            context.charged = True
            self._start(context)
            return
        context.responder.on_gone = lambda: self._link.forget(account, decided)

    def _start(self, context: context_lib.RequestContext) -> None:
        exchange = exchange_lib.Exchange(self._parts, context, self._done)
        self._open.add(exchange)
        if context.ask.model:
            self._link.note_use(context.subject)
        exchange.start()

    def _done(self, exchange: exchange_lib.Exchange, outcome: str) -> None:
        self._open.discard(exchange)
        context = exchange.context
        if context.charged and not exchange.history.may_have_run:
            assert context.account is not None
            self._link.give_back(context.account, context.cost_tokens)
        self._metrics.observe(exchange, outcome, self._now_ms())

    def _refuse(
        self,
        responder: responder_lib.Responder,
        refusal: errors.Refusal,
        request_id: str,
        detail: str,
    ) -> None:
        headers, body = self._dialect.refusal(refusal, request_id)
        logger.info(
            "request refused",
            extra={
                "request": request_id,
                "reason": refusal.code,
                "status": refusal.status,
                "retry_after_ms": refusal.retry_after_ms,
                "detail": detail,
            },
        )
        self._metrics.count_refusal(refusal.code)
        responder.answer(refusal.status, headers, body)

"""Request path of an instance: accepts callers' requests and forwards them."""

from __future__ import annotations

from collections.abc import Callable
import logging

from tanagerloft.coordination import configuration as configuration_lib
from tanagerloft.coordination import holder_client as holder_client_lib
from tanagerloft.decisions import account_tokens
from tanagerloft.fleet import types
from tanagerloft.gateway import codec as codec_lib
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import dependencies
from tanagerloft.gateway import errors
from tanagerloft.gateway import exchange as exchange_lib
from tanagerloft.gateway import metrics as metrics_lib
from tanagerloft.gateway import steps as steps_lib
from tanagerloft.net import responder as responder_lib

logger = logging.getLogger(__name__)

_REFUSAL_BY_STATUS = {
    408: errors.SLOW_SENDER,
    413: errors.TOO_LARGE,
    431: errors.HEADERS_TOO_LARGE,
}
# Refusals that another version of the configuration may not call for.
_BY_CONFIGURATION = (
    errors.UNKNOWN_ROUTE,
    errors.KEY_MISSING,
    errors.KEY_UNKNOWN,
)
# During a graceful stop, requests are accepted while at least this much time
# remains until the process ends. Nearly all streams and all plain responses
# complete within it.
_STREAM_MIN_REMAINING_MS = 5_000
_PLAIN_MIN_REMAINING_MS = 2_500
# Open requests; each takes some tens of kilobytes of memory.
_MAX_OPEN_REQUESTS = 1_500


class Gateway:
    """Handles the requests of callers; implements ``responder.Handler``.

    Args:
        codec: Protocol of callers and targets.
        configuration: Configuration in force.
        holder_client: Tokens of client accounts; receives model usage.
        steps: Checks before a request is forwarded.
        deps: Dependencies shared by all exchanges.
        now_ms: Clock.
        metrics: Counters and histograms.

    Attributes:
        stop_deadline_ms: When requests still open are cut, None unless a stop
            has begun.
    """

    def __init__(
        self,
        codec: codec_lib.Codec,
        configuration: configuration_lib.ConfigurationWatcher,
        holder_client: holder_client_lib.HolderClient,
        steps: list[steps_lib.Step],
        deps: dependencies.Dependencies,
        now_ms: Callable[[], int],
        metrics: metrics_lib.GatewayMetrics,
    ):
        self._codec = codec
        self._configuration = configuration
        self._holder_client = holder_client
        self._steps = steps
        self._deps = deps
        self._now_ms = now_ms
        self._metrics = metrics
        self._open: set[exchange_lib.Exchange] = set()
        self.stop_deadline_ms: int | None = None

    @property
    def open_count(self) -> int:
        """Number of open requests."""
        return len(self._open)

    def stop(self, stop_deadline_ms: int) -> None:
        """Closes each connection after its next response.

        Args:
            stop_deadline_ms: When requests that are still open will be cut.
        """
        self.stop_deadline_ms = stop_deadline_ms

    def refuse_unsent(self) -> None:
        """Refuses requests not sent yet, so that callers go elsewhere."""
        for exchange in list(self._open):
            exchange.refuse_unsent(errors.STOPPING)

    def end_all(self) -> None:
        """Ends all requests, at the end of a graceful stop."""
        for exchange in list(self._open):
            exchange.end()

    def limits(self) -> types.CallerLimits:
        """Returns the limits on requests that are in force."""
        current = self._configuration.current
        return current.limits if current else types.CallerLimits()

    def now_ms(self) -> int:
        """Returns the reading of the clock."""
        return self._now_ms()

    def closing(self) -> bool:
        """Returns whether connections close after their next response."""
        return self.stop_deadline_ms is not None

    def refuse_unreadable(
        self, responder: responder_lib.Responder, status: int
    ) -> None:
        """Refuses a request that could not be read."""
        refusal = _REFUSAL_BY_STATUS.get(status, errors.MALFORMED)
        responder.close_after_response()
        self._refuse(responder, refusal, "", "")

    def handle(
        self,
        request: responder_lib.Request,
        responder: responder_lib.Responder,
    ) -> None:
        """Checks a request and starts to forward it."""
        decoded = self._codec.decode(request)
        if isinstance(decoded, errors.Refusal):
            self._refuse(responder, decoded, "", "")
            return
        configuration = self._usable_configuration()
        if isinstance(configuration, errors.Refusal):
            self._refuse(responder, configuration, decoded.request_id, "")
            return
        context = context_lib.RequestContext(
            request, responder, decoded, configuration
        )
        refusal = self._check(context)
        if refusal is not None:
            detail = f"{decoded.host}{decoded.path}"
            self._refuse(responder, refusal, decoded.request_id, detail)
            return
        self._charge(context)

    def _usable_configuration(self) -> types.Configuration | errors.Refusal:
        """Returns the configuration in force, or why nothing is accepted."""
        configuration = self._configuration.current
        if configuration is None:
            return errors.NOT_CONFIGURED
        if self._configuration.is_outdated:
            return errors.CONFIGURATION_OUTDATED
        if len(self._open) >= _MAX_OPEN_REQUESTS:
            return errors.OVERLOADED
        return configuration

    def _check(
        self, context: context_lib.RequestContext
    ) -> errors.Refusal | None:
        """Returns why a request is refused, None if it is forwarded."""
        for step in (*self._steps, self._refuse_late):
            refusal = step(context)
            if refusal in _BY_CONFIGURATION and self._configuration.is_behind:
                return errors.CONFIGURATION_OUTDATED
            if refusal is not None:
                return refusal
        return None

    def _refuse_late(
        self, context: context_lib.RequestContext
    ) -> errors.Refusal | None:
        """Refuses requests that the end of a graceful stop could cut.

        Callers go on using open connections, and open new ones while most
        instances of a data centre stop.
        """
        if self.stop_deadline_ms is None:
            return None
        is_stream = context.route.kind is types.RouteKind.STREAM
        min_remaining_ms = (
            _STREAM_MIN_REMAINING_MS if is_stream else _PLAIN_MIN_REMAINING_MS
        )
        if self.stop_deadline_ms - self._now_ms() > min_remaining_ms:
            return None
        return errors.STOPPING

    def _charge(self, context: context_lib.RequestContext) -> None:
        """Charges the account with the tokens, then starts the request."""
        account = context.account
        if account is None or context.cost_tokens == 0:
            self._start(context)
            return

        def on_decided(outcome: account_tokens.Outcome) -> None:
            context.responder.on_disconnect = None
            if outcome.admitted:
                context.charged = True
                self._start(context)
                return
            refusal = errors.LIMIT_UNCONFIRMED
            if outcome.confirmed:
                refusal = errors.limit_exceeded(outcome.retry_ms)
            detail = f"{account.name} {context.cost_tokens}"
            self._refuse(
                context.responder, refusal, context.decoded.request_id, detail
            )

        if self._holder_client.acquire(
            account, context.cost_tokens, on_decided
        ):
            context.charged = True
            self._start(context)
            return
        context.responder.on_disconnect = lambda: self._holder_client.cancel(
            account, on_decided
        )

    def _start(self, context: context_lib.RequestContext) -> None:
        exchange = exchange_lib.Exchange(
            self._deps, context, self._on_exchange_done
        )
        self._open.add(exchange)
        if context.decoded.model:
            self._holder_client.count_request(context.model_key)
        exchange.start()

    def _on_exchange_done(
        self, exchange: exchange_lib.Exchange, outcome: str
    ) -> None:
        self._open.discard(exchange)
        context = exchange.context
        if context.charged and not exchange.history.may_have_run:
            assert context.account is not None
            self._holder_client.refund(context.account, context.cost_tokens)
        self._metrics.observe(exchange, outcome, self._now_ms())

    def _refuse(
        self,
        responder: responder_lib.Responder,
        refusal: errors.Refusal,
        request_id: str,
        detail: str,
    ) -> None:
        headers, body = self._codec.encode_refusal(refusal, request_id)
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
        responder.respond(refusal.status, headers, body)

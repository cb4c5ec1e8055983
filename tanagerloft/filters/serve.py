"""Filter that queues a request, forwards it and relays the response."""

from __future__ import annotations

from concurrent import futures
from typing import TYPE_CHECKING

from tanagerloft import registry as registry_lib
from tanagerloft.controllers import dispatch
from tanagerloft.decisions import attempts
from tanagerloft.decisions import intents
from tanagerloft.decisions import queueing
from tanagerloft.filters import authenticate
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors
from tanagerloft.targets import relay
from tanagerloft.util import http

if TYPE_CHECKING:
    from tanagerloft.server import services as services_lib

_POLL_INTERVAL_S = 0.25
# Statuses with which an engine refuses a request before it runs anything.
_ENGINE_REFUSAL_STATUSES = frozenset({404, 429, 503})
_MAX_RECORDED_BYTES = 131_072
# Headers of this connection only, and those that may carry credentials.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "cookie",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
        *authenticate.KEY_HEADERS,
    }
)


def setup(registry: registry_lib.Registry) -> None:
    """Registers the filter."""
    registry.add("filter", "serve", build)


def build(services: services_lib.Services) -> context_lib.Filter:
    """Returns the filter that uses the dispatcher and other controllers."""

    def serve(context: context_lib.RequestContext) -> context_lib.Result:
        return _AttemptLoop(services, context).run()

    return serve


class _AttemptLoop:
    """Makes the attempts of one request, one after another."""

    def __init__(
        self,
        services: services_lib.Services,
        context: context_lib.RequestContext,
    ):
        self._services = services
        self._context = context
        self._attempts = 0
        self._may_have_run = False
        self._tried: frozenset[str] = frozenset()
        self._claimed = False
        self._gone_checked_ms = 0

    def run(self) -> context_lib.Result:
        """Makes attempts until one gives a final result."""
        while True:
            assignment = self._wait_for_target()
            if isinstance(assignment, errors.Refusal):
                return self._refuse(assignment)
            try:
                result = self._attempt(assignment)
            finally:
                now_ms = self._services.clock.now_ms()
                self._services.dispatcher.release(assignment, now_ms)
            if result is not None:
                return result

    def _refuse(self, refusal: errors.Refusal) -> errors.Refusal:
        """Returns the refusal, as "not run" only if no attempt may have run."""
        if self._may_have_run:
            return refusal._replace(run=errors.UNKNOWN)
        self._context.used_tokens = 0
        if self._claimed:
            self._services.intents.abandon(self._context)
        return refusal

    def _wait_for_target(self) -> dispatch.Assignment | errors.Refusal:
        services, context = self._services, self._context
        started_ms = services.clock.now_ms()
        future = services.dispatcher.submit(
            self._waiter(started_ms), self._tried, started_ms
        )
        if isinstance(future, errors.Refusal):
            return future
        result = self._wait(future)
        services.metrics.observe_wait(
            context, services.clock.now_ms() - started_ms
        )
        return result

    def _wait(
        self, future: futures.Future
    ) -> dispatch.Assignment | errors.Refusal:
        while True:
            try:
                return future.result(timeout=_POLL_INTERVAL_S)
            except futures.TimeoutError:
                refusal = self._stop_reason()
            if refusal is None:
                continue
            self._services.dispatcher.cancel(self._context.request_id)
            result = future.result()
            if isinstance(result, dispatch.Assignment):
                now_ms = self._services.clock.now_ms()
                self._services.dispatcher.release(result, now_ms)
            return refusal

    def _stop_reason(self) -> errors.Refusal | None:
        if self._context.responder.is_gone():
            return errors.CLIENT_GONE
        return self._services.configuration.recheck_key(self._context)

    def _waiter(self, now_ms: int) -> queueing.Waiter:
        context = self._context
        return queueing.Waiter(
            request_id=context.request_id,
            account=context.account_name,
            subject=context.work.subject,
            cost_tokens=context.work.cost_tokens,
            weight=context.account.weight if context.account else 1,
            priority=context.request_class.priority,
            enqueued_ms=now_ms,
            deadline_ms=context.deadline_ms,
        )

    def _attempt(self, assignment: dispatch.Assignment) -> context_lib.Result:
        """Makes one attempt; returns None if the request is to be retried."""
        services, context = self._services, self._context
        target = services.configuration.target(assignment.target)
        if target is None:
            return self._refuse(errors.NO_TARGET)
        if not context.work.idempotent and not self._claimed:
            result = services.intents.claim(context)
            if result is not None:
                return result
            self._claimed = True
        refusal = services.configuration.recheck_key(context)
        if refusal is not None:
            return self._refuse(refusal)
        self._attempts += 1
        self._tried |= {assignment.target}
        outcome = relay.run(
            services.client,
            self._target_request(target.url),
            context.request_id,
            context.work.stream,
            _ENGINE_REFUSAL_STATUSES if context.work.model else frozenset(),
            self._callbacks(),
        )
        if isinstance(outcome, relay.Whole):
            return self._on_response(assignment, outcome)
        return self._on_failure(assignment, outcome)

    def _on_response(
        self, assignment: dispatch.Assignment, outcome: relay.Whole
    ) -> context_lib.Answered:
        context = self._context
        self._services.health.record_success(assignment.target)
        context.used_tokens = outcome.tokens
        return context_lib.Answered()

    def _on_failure(
        self, assignment: dispatch.Assignment, failed: relay.Failed
    ) -> context_lib.Result:
        context = self._context
        if failed.caller_gone:
            return errors.CLIENT_GONE._replace(run=errors.UNKNOWN)
        if failed.stopped:
            return self._on_stopped(failed)
        self._services.health.record_failure(
            assignment.target, context.work.subject, failed.evidence
        )
        self._services.metrics.count_attempt_failure(failed.evidence)
        history = attempts.History(
            self._attempts,
            self._may_have_run,
            context.work.idempotent,
            context.deadline_ms,
        )
        now_ms = self._services.clock.now_ms()
        step = attempts.next_step(history, failed.evidence, now_ms)
        self._may_have_run |= failed.evidence is attempts.Evidence.UNKNOWN
        return self._result_of(step)

    def _result_of(self, step: attempts.Step) -> context_lib.Result:
        if step is attempts.Step.RETRY:
            return None
        if step is attempts.Step.END_CUT:
            return errors.ANSWER_CUT
        if step is attempts.Step.REFUSE_UNKNOWN:
            return errors.OUTCOME_UNKNOWN
        return self._refuse(errors.NO_TARGET)

    def _on_stopped(self, failed: relay.Failed) -> errors.Refusal:
        refusal = self._services.configuration.recheck_key(self._context)
        if refusal is None:
            refusal = errors.CLIENT_GONE
        if failed.evidence is attempts.Evidence.NOT_SENT:
            return self._refuse(refusal)
        return refusal._replace(run=errors.UNKNOWN)

    def _callbacks(self) -> relay.Callbacks:
        services, context = self._services, self._context

        def begin(status: int, headers: list[tuple[str, str]]) -> None:
            context.responded = True
            context.first_byte_ms = services.clock.now_ms()
            services.metrics.observe_first_byte(context)
            headers = [*headers, ("X-Request-Id", context.request_id)]
            context.responder.begin(status, headers)

        def allowed() -> bool:
            if self._is_caller_gone():
                return False
            return services.configuration.recheck_key(context) is None

        def events(count: int) -> None:
            services.metrics.observe_events(
                context, count, services.clock.now_ms()
            )

        def record(status: int, content_type: str, body: bytes) -> None:
            if context.work.idempotent or len(body) > _MAX_RECORDED_BYTES:
                return
            text = body.decode(intents.BODY_ENCODING)
            outcome = intents.Replay(status, content_type, text)
            services.intents.complete(context, outcome)

        write = context.responder.write
        return relay.Callbacks(begin, write, allowed, events, record)

    def _is_caller_gone(self) -> bool:
        """Checks the connection, at most once per ``_POLL_INTERVAL_S``."""
        now_ms = self._services.clock.now_ms()
        if now_ms - self._gone_checked_ms < _POLL_INTERVAL_S * 1_000:
            return False
        self._gone_checked_ms = now_ms
        return self._context.responder.is_gone()

    def _target_request(self, base_url: str) -> http.HttpRequest:
        context = self._context
        headers = [
            (name, value)
            for name, value in context.headers
            if name.lower() not in _DROPPED_HEADERS
            and name.lower() not in context.key_headers
        ]
        headers.append(("X-Request-Id", context.request_id))
        relay_idle_ms = self._services.settings.get("relay", "idle_timeout_ms")
        streams = context.work.stream
        return http.HttpRequest(
            method=context.method,
            url=base_url + context.work.target_path,
            headers=tuple(headers),
            body=context.body,
            timeout_ms=context.request_class.answer_ms,
            idle_timeout_ms=relay_idle_ms if streams else 0,
            fresh_connection=(
                not context.work.idempotent or self._attempts > 0
            ),
        )

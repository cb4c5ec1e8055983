"""Checks that a request passes before it is forwarded to a target."""

from __future__ import annotations

from collections.abc import Callable
import random

from tanagerloft.fleet import types
from tanagerloft.gateway import context as context_lib
from tanagerloft.gateway import errors

Step = Callable[[context_lib.RequestContext], errors.Refusal | None]

# Subtracted from the caller's timeout, for the transit of the response.
_RESPONSE_TRANSIT_MS = 10


def make_identify(rng: random.Random) -> Step:
    """Returns the step that sets the route, the service and the deadline.

    Args:
        rng: Random source for the service of a route with a traffic split.
    """

    def identify(
        context: context_lib.RequestContext,
    ) -> errors.Refusal | None:
        decoded, configuration = context.decoded, context.configuration
        route = configuration.find_route(decoded.host, decoded.path)
        if route is None:
            return errors.UNKNOWN_ROUTE
        context.route = route
        context.service = _choose_service(route, rng)
        timeout_ms = route.timeout_ms
        arrived_ms = context.request.arrived_ms
        if decoded.timeout_ms is not None:
            timeout_ms = min(
                timeout_ms, decoded.timeout_ms - _RESPONSE_TRANSIT_MS
            )
        context.deadline_ms = arrived_ms + timeout_ms
        return None

    return identify


def make_authenticate(keys_are_current: Callable[[], bool]) -> Step:
    """Returns the step that sets the client account from the key.

    Args:
        keys_are_current: Whether the known keys are recent enough to be
            accepted.
    """

    def authenticate(
        context: context_lib.RequestContext,
    ) -> errors.Refusal | None:
        if context.route.open:
            return None
        if not keys_are_current():
            return errors.KEYS_UNCONFIRMED
        if context.decoded.key is None:
            return errors.KEY_MISSING
        account = context.configuration.account_by_key.get(context.decoded.key)
        if account is None:
            return errors.KEY_UNKNOWN
        context.account = account
        tokens = context.decoded.tokens
        context.cost_tokens = (
            account.default_cost_tokens if tokens is None else tokens
        )
        return None

    return authenticate


def recheck_key(
    context: context_lib.RequestContext,
    configuration: types.Configuration,
    keys_are_current: bool,
) -> errors.Refusal | None:
    """Checks a key again before a request is sent.

    The key may have been withdrawn while the request waited for its model.

    Args:
        context: The request.
        configuration: Configuration in force now.
        keys_are_current: Whether its keys are recent enough to be accepted.
    """
    if context.account is None:
        return None
    if not keys_are_current:
        return errors.KEYS_UNCONFIRMED
    account = configuration.account_by_key.get(context.decoded.key or "")
    if account is None or account.name != context.account.name:
        return errors.KEY_UNKNOWN
    return None


def _choose_service(route: types.Route, rng: random.Random) -> str:
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return rng.choices(route.splits, weights)[0].service

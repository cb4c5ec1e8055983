"""Filter that charges a request against its account's limit."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from tanagerloft import registry as registry_lib
from tanagerloft.decisions import errors as decision_errors
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors

if TYPE_CHECKING:
    from tanagerloft.controllers import grants as grants_lib
    from tanagerloft.controllers import limits as limits_lib
    from tanagerloft.server import services as services_lib


logger = logging.getLogger(__name__)


def setup(registry: registry_lib.Registry) -> None:
    """Registers the filter."""
    registry.add("filter", "admit", build)


def build(services: services_lib.Services) -> context_lib.Filter:
    """Returns the filter that uses the limit controller."""
    limits = services.limits

    def admit(context: context_lib.RequestContext) -> context_lib.Result:
        cost_tokens = context.work.cost_tokens
        if context.account is None or cost_tokens == 0:
            return None
        charge = limits.charge(context.account, cost_tokens)
        if isinstance(charge, decision_errors.LimitUnconfirmed):
            logger.warning(
                "limit of %s unconfirmed: %s",
                context.account.name,
                charge.reason,
            )
            return errors.LIMIT_UNCONFIRMED
        if isinstance(charge, decision_errors.LimitExceeded):
            if charge.retry_after_ms == 0:
                return errors.LIMIT_TOO_SMALL
            return errors.limit_exceeded(charge.retry_after_ms)
        context.on_finish(lambda: _settle(limits, charge, context))
        return None

    return admit


def _settle(
    limits: limits_lib.LimitController,
    charge: grants_lib.Charge,
    context: context_lib.RequestContext,
) -> None:
    used_tokens = context.used_tokens
    if used_tokens is None:
        used_tokens = context.work.cost_tokens
    limits.settle(charge, used_tokens)

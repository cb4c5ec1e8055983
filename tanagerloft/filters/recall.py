"""Filter that replays the recorded response to a retried request.

It applies to requests that are not idempotent: each carries an idempotency key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tanagerloft import registry as registry_lib
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors

if TYPE_CHECKING:
    from tanagerloft.server import services as services_lib

KEY_HEADER = "Idempotency-Key"
_MAX_KEY_LENGTH = 200


def setup(registry: registry_lib.Registry) -> None:
    """Registers the filter."""
    registry.add("filter", "recall", build)


def build(services: services_lib.Services) -> context_lib.Filter:
    """Returns the filter that uses the intent controller."""
    records = services.intents

    def recall(context: context_lib.RequestContext) -> context_lib.Result:
        if context.work.idempotent:
            return None
        key = context.headers.get(KEY_HEADER, "")
        if not key:
            return errors.IDEMPOTENCY_KEY_MISSING
        if len(key) > _MAX_KEY_LENGTH or not key.isprintable():
            return errors.IDEMPOTENCY_KEY_INVALID
        context.idempotency_key = key
        return records.recall(context)

    return recall

"""Filter that determines the client account from the API key."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib import parse

from tanagerloft import registry as registry_lib
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors
from tanagerloft.util import ids

if TYPE_CHECKING:
    from tanagerloft.server import services as services_lib

KEY_HEADERS = ("authorization", "x-api-key")
_BEARER = "bearer "


def setup(registry: registry_lib.Registry) -> None:
    """Registers the filter."""
    registry.add("filter", "authenticate", build)


def build(services: services_lib.Services) -> context_lib.Filter:
    """Returns the filter that uses the configuration controller."""
    configuration = services.configuration

    def authenticate(
        context: context_lib.RequestContext,
    ) -> context_lib.Result:
        if context.work.open:
            return None
        key = _presented_key(context)
        if isinstance(key, errors.Refusal):
            return key
        if _is_misplaced(key, context):
            return errors.KEY_MISPLACED
        context.key_digest = ids.sha256_hex(key)
        context.key_headers = _headers_with(key, context)
        return configuration.check_key(context)

    return authenticate


def _presented_key(context: context_lib.RequestContext) -> str | errors.Refusal:
    bearer = context.headers.get("Authorization", "")
    plain = context.headers.get("X-Api-Key", "")
    if bearer and plain:
        return errors.TWO_KEYS
    if plain:
        return plain
    if not bearer:
        return errors.KEY_MISSING
    key = bearer[len(_BEARER) :].strip()
    if not bearer.lower().startswith(_BEARER) or not key:
        return errors.KEY_INVALID
    return key


def _is_misplaced(key: str, context: context_lib.RequestContext) -> bool:
    """Returns whether the key is where it would be forwarded to the target."""
    texts = (context.path, context.query, parse.unquote_plus(context.query))
    return key.encode() in context.body or any(key in text for text in texts)


def _headers_with(
    key: str, context: context_lib.RequestContext
) -> frozenset[str]:
    return frozenset(
        name.lower() for name, value in context.headers if key in value
    )

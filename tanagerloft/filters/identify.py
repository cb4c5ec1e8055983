"""Filter that determines the model or route of a request, and its cost."""

import json
from typing import Any

from tanagerloft import registry as registry_lib
from tanagerloft.config import inventory as inventory_lib
from tanagerloft.filters import context as context_lib
from tanagerloft.filters import errors

MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
CLASS_HEADER = "X-Request-Class"
_DEFAULT_MAX_TOKENS = 256
_CHAT_TEMPLATE_TOKENS = 16


def setup(registry: registry_lib.Registry) -> None:
    """Registers the filter."""
    registry.add("filter", "identify", lambda _services: identify)


def identify(context: context_lib.RequestContext) -> context_lib.Result:
    """Sets the work, the request class and the deadline of a request."""
    if context.path in MODEL_PATHS:
        work = _identify_model(context)
    else:
        work = _identify_route(context)
    if isinstance(work, errors.Refusal):
        return work
    context.work = work
    context.request_class = _class_of(context)
    context.deadline_ms = context.arrived_ms + context.request_class.deadline_ms
    return None


def _identify_model(
    context: context_lib.RequestContext,
) -> context_lib.Work | errors.Refusal:
    if context.method != "POST":
        return errors.METHOD_NOT_ALLOWED
    payload = _parse(context.body)
    if payload is None:
        return errors.MALFORMED_BODY
    name = payload.get("model")
    if not isinstance(name, str):
        return errors.MODEL_MISSING
    inventory = context.inventory
    if name not in inventory.models and name not in inventory.adapters:
        return errors.UNKNOWN_MODEL
    max_tokens = payload.get("max_tokens", _DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or max_tokens < 1:
        return errors.INVALID_PARAMETER
    return context_lib.Work(
        subject=name,
        target_path=context.path,
        model=name,
        route=None,
        stream=payload.get("stream") is True,
        cost_tokens=_prompt_tokens(context.body) + max_tokens,
        open=False,
        idempotent=True,
    )


def _identify_route(
    context: context_lib.RequestContext,
) -> context_lib.Work | errors.Refusal:
    route = find_route(context.inventory, context.path)
    if route is None:
        return errors.UNKNOWN_ROUTE
    path = context.path
    if context.query:
        path = f"{path}?{context.query}"
    return context_lib.Work(
        subject=route_subject(route),
        target_path=path,
        model=None,
        route=route,
        stream=False,
        cost_tokens=route.tokens,
        open=route.open,
        idempotent=route.idempotent,
    )


def find_route(
    inventory: inventory_lib.Inventory, path: str
) -> inventory_lib.Route | None:
    """Returns the route with the longest path that is a prefix of ``path``."""
    matches = [
        route
        for route in inventory.routes.values()
        if path == route.path or path.startswith(route.path.rstrip("/") + "/")
    ]
    return max(matches, key=lambda route: len(route.path), default=None)


def route_subject(route: inventory_lib.Route) -> str:
    """Returns the key of a route in the queue; no model can have it."""
    return f"route:{route.name}"


def _parse(body: bytes) -> dict[str, Any] | None:
    try:
        payload = json.loads(body)
    except (ValueError, RecursionError):
        return None
    return payload if isinstance(payload, dict) else None


def _prompt_tokens(body: bytes) -> int:
    """Returns an upper bound: each token stands for at least one byte."""
    return len(body) + _CHAT_TEMPLATE_TOKENS


def _class_of(
    context: context_lib.RequestContext,
) -> inventory_lib.RequestClass:
    """Returns the class in the header, else that of the route or model."""
    inventory = context.inventory
    class_name = context.headers.get(CLASS_HEADER, "")
    if class_name in inventory.classes:
        return inventory.classes[class_name]
    work = context.work
    if work.route is not None:
        return inventory.classes[work.route.request_class]
    model_name = work.model or ""
    if model_name in inventory.adapters:
        model_name = inventory.adapters[model_name].model
    return inventory.classes[inventory.models[model_name].request_class]

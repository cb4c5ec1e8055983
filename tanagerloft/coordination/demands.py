"""Demand for models over all instances, from the requests that wait."""

from __future__ import annotations

from tanagerloft.coordination import messages
from tanagerloft.decisions import model_orders


def of_service(
    reports: list[messages.Report], service: str
) -> list[model_orders.Demand]:
    """Returns the demand for the models of one service."""
    merged: dict[tuple[str, str], model_orders.Demand] = {}
    for report in reports:
        for item in report.waiting:
            if item.service != service:
                continue
            key = (item.model, item.adapter)
            demand = model_orders.Demand(
                *key,
                objectives_left_ms=tuple(item.objectives_left_ms),
                caller_timeouts_left_ms=tuple(item.caller_timeouts_left_ms),
            )
            existing = merged.get(key)
            if existing is not None:
                demand = model_orders.merge(existing, demand)
            merged[key] = demand
    return list(merged.values())


def returning_callers(
    reports: list[messages.Report], service: str
) -> dict[str, tuple[int, ...]]:
    """Returns when the refused callers of each model give up.

    Args:
        reports: Reports of all instances.
        service: Name of the service.

    Returns:
        Time left in ms of each caller that is expected to come back, by model.
    """
    left_ms: dict[str, tuple[int, ...]] = {}
    for report in reports:
        for item in report.returning:
            if item.service == service:
                known = left_ms.get(item.model, ())
                left_ms[item.model] = (*known, *item.caller_timeouts_left_ms)
    return left_ms

"""Orders to model engines and their load reports.

Orders use the model repository extension of the KServe inference protocol
(``/v2/repository/models/NAME/load`` and ``/unload``) with the fencing token,
the incarnation and the version among its parameters.
"""

from typing import Any

from tanagerloft.config import inventory as inventory_lib
from tanagerloft.decisions import reconcile
from tanagerloft.decisions import replicas
from tanagerloft.targets import errors
from tanagerloft.util import http

_ORDER_TIMEOUT_MS = 1_500
_REPORT_TIMEOUT_MS = 800


def send_order(
    client: http.HttpClient,
    target: inventory_lib.Target,
    order: replicas.Order,
    item: replicas.Item,
) -> errors.OrderFailed | None:
    """Sends an order; the target obeys in the background."""
    payload = {
        "parameters": {
            "fencing_token": order.token,
            "incarnation": order.incarnation,
            "version": item.version,
            "parent": item.parent,
        }
    }
    path = f"/v2/repository/models/{order.item}/{order.verb}"
    request = http.json_request(
        "POST", target.url + path, payload, _ORDER_TIMEOUT_MS
    )
    response = client.send(request._replace(fresh_connection=True))
    if isinstance(response, http.HttpFailure):
        return errors.OrderFailed(not response.sent, response.reason)
    if response.status == 200:
        return None
    refused = 400 <= response.status < 500 or response.status == 507
    return errors.OrderFailed(refused, f"target answered {response.status}")


def fetch_report(
    client: http.HttpClient, target: inventory_lib.Target
) -> reconcile.LoadReport | errors.ReportFailed:
    """Asks a target for its load report."""
    url = target.url + "/load_report"
    response = client.send(
        http.HttpRequest("GET", url, timeout_ms=_REPORT_TIMEOUT_MS)
    )
    if isinstance(response, http.HttpFailure):
        return errors.ReportFailed(response.reason)
    body = response.json()
    if response.status != 200 or not isinstance(body, dict):
        return errors.ReportFailed(f"target answered {response.status}")
    return _decode_report(body)


def _decode_report(
    body: dict[str, Any],
) -> reconcile.LoadReport | errors.ReportFailed:
    items = body.get("items", {})
    try:
        return reconcile.LoadReport(
            incarnation=str(body["incarnation"]),
            items={name: item["state"] for name, item in items.items()},
            active=int(body["active"]),
            idle_ms={
                name: int(item["idle_ms"])
                for name, item in items.items()
                if item["state"] == "ready"
            },
            tokens={name: int(t) for name, t in body["tokens"].items()},
            memory_mb=int(body["memory_mb"]),
            used_mb=int(body["used_mb"]),
            leaving=bool(body["leaving"]),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return errors.ReportFailed(f"malformed report: {error!r}")

"""Client of engines: sends orders and fetches reports."""

from __future__ import annotations

import orjson

from tanagerloft.coordination import errors
from tanagerloft.coordination import order_sender
from tanagerloft.decisions import model_orders
from tanagerloft.decisions import order_lease
from tanagerloft.decisions import order_progress
from tanagerloft.fleet import types
from tanagerloft.net import connection_pool
from tanagerloft.net import http_client
from tanagerloft.platform import entries
from tanagerloft.platform import wire

# Engines respond within milliseconds. An order that takes this long is executed
# late, and is retried unchanged.
_ORDER_TIMEOUT_MS = 2 * order_lease.ORDER_TRANSIT_MS
_REPORT_TIMEOUT_MS = 500
# Bytes of a response body that are logged.
_MAX_DETAIL_BYTES = 100
_RESULT_BY_STATUS = {
    200: order_progress.Result.HOLDS,
    202: order_progress.Result.ACCEPTED,
}


class EngineClient:
    """Client of engines.

    Args:
        pool: Connections.
        holder: Name of this instance as lease holder.
    """

    def __init__(self, pool: connection_pool.Pool, holder: str):
        self._pool = pool
        self._holder = holder

    async def send_order(
        self,
        entry: types.TargetEntry,
        order: model_orders.Order,
        token: int,
        sequence: int,
    ) -> order_sender.OrderAnswer:
        """Sends an order to an engine.

        The order is addressed to one incarnation of the engine; a later one
        refuses it.

        Args:
            entry: The engine.
            order: The order.
            token: Fencing token of the lease.
            sequence: Orders that the engine has accepted so far.
        """
        payload = {
            "operation": order.verb.value,
            "model": order.model,
            "holder": self._holder,
            "fencing_token": token,
            # The engine executes the order only if it has accepted exactly
            # this number of orders, so that a late order has no effect.
            "expected": sequence,
        }
        if order.adapter:
            payload["adapter"] = order.adapter
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Expect-Instance", entry.target_id.encode("latin-1")),
        ]
        request = http_client.encode_request(
            "POST",
            wire.ORDER_PATH,
            f"{entry.host}:{entry.port}",
            headers,
            orjson.dumps(payload),
        )
        response = await http_client.exchange(
            self._pool, (entry.host, entry.port), request, _ORDER_TIMEOUT_MS
        )
        if isinstance(response, http_client.NoResponse):
            result = order_progress.Result.NOT_SENT
            if response.sent:
                result = order_progress.Result.UNKNOWN
            return order_sender.OrderAnswer(result, response.reason)
        status = response.head.status
        result = _RESULT_BY_STATUS.get(status, order_progress.Result.REFUSED)
        detail = (
            f"{status} {response.body[:_MAX_DETAIL_BYTES].decode('latin-1')}"
        )
        return order_sender.OrderAnswer(result, detail)

    async def fetch_report(
        self, entry: types.TargetEntry
    ) -> types.TargetReport | errors.MalformedEntry:
        """Fetches the state of an engine.

        Args:
            entry: The engine.
        """
        request = http_client.encode_request(
            "GET",
            wire.REPORT_PATH,
            f"{entry.host}:{entry.port}",
            [(b"Expect-Instance", entry.target_id.encode("latin-1"))],
            None,
        )
        response = await http_client.exchange(
            self._pool, (entry.host, entry.port), request, _REPORT_TIMEOUT_MS
        )
        if isinstance(response, http_client.NoResponse):
            return errors.MalformedEntry(entry.target_id, response.reason)
        if response.head.status != 200:
            reason = f"status {response.head.status}"
            return errors.MalformedEntry(entry.target_id, reason)
        return entries.decode_report(response.body)

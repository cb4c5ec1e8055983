"""Table driver that speaks the DynamoDB JSON protocol over HTTP."""

import json
from typing import Any

from tanagerloft.tables import dynamo_codec
from tanagerloft.tables import errors
from tanagerloft.tables import table as table_lib
from tanagerloft.util import http

_SERVER_ERROR = 500


class DynamoTable:
    """Client of the platform's table.

    Requests are not signed: the platform is taken to be on a trusted network.
    """

    def __init__(
        self,
        client: http.HttpClient,
        url: str,
        table_name: str,
        timeout_ms: int,
        caller: str = "operator",
    ):
        self._user_agent = f"tanagerloft/{caller}"
        self._client = client
        self._url = url
        self._table_name = table_name
        self._timeout_ms = timeout_ms

    def read(self, key: table_lib.RowKey) -> table_lib.Row | errors.TableError:
        """Returns the row, at revision 0 if it does not exist."""
        request = {
            "TableName": self._table_name,
            "Key": dynamo_codec.encode_key(key),
            "ConsistentRead": True,
        }
        reply = self._read_call("GetItem", request)
        if isinstance(reply, errors.TableError):
            return reply
        if "Item" not in reply:
            return table_lib.absent(key)
        return dynamo_codec.decode_row(reply["Item"])

    def scan(self, kind: str) -> list[table_lib.Row] | errors.TableError:
        """Returns all rows of one kind, ordered by name."""
        request: dict[str, Any] = {
            "TableName": self._table_name,
            "KeyConditionExpression": "row_kind = :kind",
            "ExpressionAttributeValues": {":kind": {"S": kind}},
            "ConsistentRead": True,
        }
        rows: list[table_lib.Row] = []
        while True:
            reply = self._read_call("Query", request)
            if isinstance(reply, errors.TableError):
                return reply
            rows.extend(map(dynamo_codec.decode_row, reply["Items"]))
            if "LastEvaluatedKey" not in reply:
                return rows
            request["ExclusiveStartKey"] = reply["LastEvaluatedKey"]

    def commit(
        self, transaction: table_lib.Transaction
    ) -> table_lib.Committed | errors.TableError:
        """Commits, or returns ``conflict``, ``unavailable`` or ``unknown``."""
        body = dynamo_codec.encode_transaction(self._table_name, transaction)
        response = self._call("TransactWriteItems", body)
        if isinstance(response, http.HttpFailure):
            if response.sent:
                return errors.unknown(response.reason)
            return errors.unavailable(response.reason)
        if response.status >= _SERVER_ERROR:
            return errors.unknown(f"table answered {response.status}")
        reply = response.json() or {}
        error_type = reply.get("__type", "")
        if error_type.endswith("TransactionCanceledException"):
            return errors.conflict(reply.get("message", "condition failed"))
        if error_type or response.status != 200:
            return errors.unavailable(f"table answered {response.status}")
        return table_lib.Committed(transaction.operation_id)

    def _read_call(
        self, operation: str, body: dict[str, Any]
    ) -> dict[str, Any] | errors.TableError:
        response = self._call(operation, body)
        if isinstance(response, http.HttpFailure):
            return errors.unavailable(response.reason)
        reply = response.json()
        if response.status != 200 or not isinstance(reply, dict):
            return errors.unavailable(f"table answered {response.status}")
        return reply

    def _call(
        self, operation: str, body: dict[str, Any]
    ) -> http.HttpResponse | http.HttpFailure:
        headers = (
            ("Content-Type", dynamo_codec.CONTENT_TYPE),
            ("X-Amz-Target", dynamo_codec.TARGET_PREFIX + operation),
            ("User-Agent", self._user_agent),
        )
        payload = json.dumps(body, separators=(",", ":")).encode()
        return self._client.send(
            http.HttpRequest(
                "POST", self._url, headers, payload, self._timeout_ms
            )
        )

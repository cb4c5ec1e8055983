"""Translation between table types and the DynamoDB JSON protocol.

Only the subset that the table interface needs: GetItem, Query on one
partition, and TransactWriteItems with Put and ConditionCheck. Source: Amazon
DynamoDB API Reference, version 2012-08-10.
"""

import json
from typing import Any

from tanagerloft.tables import table as table_lib

TARGET_PREFIX = "DynamoDB_20120810."
CONTENT_TYPE = "application/x-amz-json-1.0"
_ABSENT = "attribute_not_exists(row_name)"
_AT_REVISION = "revision = :revision"


def encode_key(key: table_lib.RowKey) -> dict[str, Any]:
    """Returns the primary key of a row as DynamoDB attributes."""
    return {"row_kind": {"S": key.kind}, "row_name": {"S": key.name}}


def decode_key(item: dict[str, Any]) -> table_lib.RowKey:
    """Reads the primary key of an item."""
    return table_lib.RowKey(item["row_kind"]["S"], item["row_name"]["S"])


def encode_row(row: table_lib.Row) -> dict[str, Any]:
    """Returns a row as a DynamoDB item."""
    return {
        **encode_key(row.key),
        "revision": {"N": str(row.revision)},
        "operation_id": {"S": row.operation_id},
        "body": {"S": json.dumps(row.body, separators=(",", ":"))},
    }


def decode_row(item: dict[str, Any]) -> table_lib.Row:
    """Reads a row from a DynamoDB item."""
    return table_lib.Row(
        decode_key(item),
        int(item["revision"]["N"]),
        item["operation_id"]["S"],
        json.loads(item["body"]["S"]),
    )


def encode_transaction(
    table_name: str, transaction: table_lib.Transaction
) -> dict[str, Any]:
    """Returns the body of a TransactWriteItems request."""
    actions = [
        {"Put": _encode_put(table_name, transaction.operation_id, put)}
        for put in transaction.puts
    ]
    for check in transaction.checks:
        action = {"TableName": table_name, "Key": encode_key(check.key)}
        action.update(_encode_condition(check.expected_revision))
        actions.append({"ConditionCheck": action})
    return {
        "TransactItems": actions,
        "ClientRequestToken": transaction.operation_id,
    }


def decode_transaction(body: dict[str, Any]) -> table_lib.Transaction:
    """Reads a transaction from the body of a TransactWriteItems request."""
    puts = []
    checks = []
    for action in body["TransactItems"]:
        if "Put" in action:
            row = decode_row(action["Put"]["Item"])
            expected = _decode_condition(action["Put"])
            puts.append(table_lib.Put(row.key, expected, row.body))
        else:
            check = action["ConditionCheck"]
            key = decode_key(check["Key"])
            checks.append(table_lib.Check(key, _decode_condition(check)))
    return table_lib.Transaction(
        body["ClientRequestToken"], tuple(puts), tuple(checks)
    )


def _encode_put(
    table_name: str, operation_id: str, put: table_lib.Put
) -> dict[str, Any]:
    row = table_lib.Row(
        put.key, put.expected_revision + 1, operation_id, put.body
    )
    action = {"TableName": table_name, "Item": encode_row(row)}
    action.update(_encode_condition(put.expected_revision))
    return action


def _encode_condition(revision: int) -> dict[str, Any]:
    if revision == 0:
        return {"ConditionExpression": _ABSENT}
    return {
        "ConditionExpression": _AT_REVISION,
        "ExpressionAttributeValues": {":revision": {"N": str(revision)}},
    }


def _decode_condition(action: dict[str, Any]) -> int:
    if action["ConditionExpression"] == _ABSENT:
        return 0
    return int(action["ExpressionAttributeValues"][":revision"]["N"])

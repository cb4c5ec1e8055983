"""Stand-in for the platform: the transactional table and the instance list.

Faults: ``down`` (nothing is answered but errors), ``slow_ms`` (delay of each
answer), ``lost_answers`` (count of writes that take effect but whose answers
are lost), ``lost_writes`` (count of writes that fail without effect, with the
same answer), ``cut`` (list of caller names that get no answer).
"""

from collections.abc import Callable
from collections.abc import Iterable
import threading
import time
from typing import Any

from werkzeug import wrappers

from tanagerloft import registry as registry_lib
from tanagerloft.standins import faults as faults_lib
from tanagerloft.tables import dynamo_codec
from tanagerloft.tables import errors
from tanagerloft.tables import instances
from tanagerloft.tables import memory

_FAULTS = ("down", "slow_ms", "lost_answers", "lost_writes", "cut")
_INSTANCES_PATH = "/instances"


def setup(registry: registry_lib.Registry) -> None:
    """Declares the stand-in."""
    registry.add("stand-in", "platform", PlatformStandin)


class PlatformStandin:
    """WSGI application that stands in for the platform."""

    def __init__(self):
        self.table = memory.MemoryTable()
        self.faults = faults_lib.Faults(_FAULTS)
        self._lock = threading.Lock()
        self._listed: dict[str, dict[str, Any]] = {}
        self._counts = {"reads": 0, "writes": 0}
        self._operations: dict[str, Callable] = {
            "GetItem": self._get_item,
            "Query": self._query,
            "TransactWriteItems": self._transact,
        }

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Answers one request (WSGI)."""
        return faults_lib.answer(
            self.faults, self._respond, environ, start_response
        )

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        if request.path == "/counts":
            return faults_lib.json_response(self._counts)
        if request.path == _INSTANCES_PATH and request.method == "POST":
            return self._set_instance(request)
        time.sleep(self.faults.get("slow_ms") / 1_000)
        cut = self.faults.get("cut") or []
        caller = request.headers.get("User-Agent", "").rpartition("/")[2]
        if self.faults.get("down") or caller in cut:
            return faults_lib.json_response({"message": "down"}, 503)
        if request.path == _INSTANCES_PATH:
            return self._list_instances()
        target = request.headers.get("X-Amz-Target", "")
        operation = target.removeprefix(dynamo_codec.TARGET_PREFIX)
        if operation not in self._operations:
            return _error("UnknownOperationException", "no such operation")
        return self._operations[operation](request.get_json(force=True))

    def _get_item(self, body: dict[str, Any]) -> wrappers.Response:
        self._counts["reads"] += 1
        row = self.table.read(dynamo_codec.decode_key(body["Key"]))
        if row.revision == 0:
            return faults_lib.json_response({})
        return faults_lib.json_response({"Item": dynamo_codec.encode_row(row)})

    def _query(self, body: dict[str, Any]) -> wrappers.Response:
        self._counts["reads"] += 1
        kind = body["ExpressionAttributeValues"][":kind"]["S"]
        found = self.table.scan(kind)
        items = [dynamo_codec.encode_row(row) for row in found]
        return faults_lib.json_response({"Items": items, "Count": len(items)})

    def _transact(self, body: dict[str, Any]) -> wrappers.Response:
        self._counts["writes"] += 1
        if self.faults.take("lost_writes"):
            return faults_lib.json_response({"message": "lost"}, 500)
        transaction = dynamo_codec.decode_transaction(body)
        result = self.table.commit(transaction)
        if self.faults.take("lost_answers"):
            return faults_lib.json_response({"message": "lost"}, 500)
        if isinstance(result, errors.TableError):
            return _error("TransactionCanceledException", result.reason)
        return faults_lib.json_response({})

    def _set_instance(self, request: wrappers.Request) -> wrappers.Response:
        entry = request.get_json(force=True)
        with self._lock:
            self._listed[entry["instance"]] = entry
        return faults_lib.json_response({})

    def _list_instances(self) -> wrappers.Response:
        with self._lock:
            entries = list(self._listed.values())
        groups = [
            {
                "targets": [entry["peer_address"]],
                "labels": {
                    "instance": entry["instance"],
                    "state": entry.get("state", instances.LIVE),
                },
            }
            for entry in entries
        ]
        return faults_lib.json_response(groups)


def _error(name: str, message: str) -> wrappers.Response:
    body = {"__type": f"com.amazonaws.dynamodb#{name}", "message": message}
    return faults_lib.json_response(body, 400)

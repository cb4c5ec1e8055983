"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import binascii
import logging
import re
from typing import Any
from typing import NamedTuple
from urllib import parse

import orjson

from tanagerloft.coordination import errors
from tanagerloft.coordination import store as store_lib
from tanagerloft.net import connection_pool
from tanagerloft.net import http_client
from tanagerloft.net import target_connection
from tanagerloft.platform import wire

logger = logging.getLogger(__name__)

_JSON = [(b"Content-Type", b"application/json")]
# The store responds in 4 ms. A call without a byte for this long is on a dead
# connection or meets a failing store, and is retried on a new connection.
_SILENCE_TIMEOUT_MS = 1_000
# Most rows in one response of the store.
_MAX_PAGE_ROWS = 500
_ERA = re.compile(rb"[0-9]{1,4}")


class _Page(NamedTuple):
    """Rows of one response of the store.

    Attributes:
        rows: The rows.
        has_more: Whether there are more.
        version: Newest version of the store at the time of the response.
        era: Era of the store then.
    """

    rows: tuple[store_lib.Row, ...]
    has_more: bool
    version: int
    era: int


class Store:
    """The platform's store; implements ``coordination.store.Store``.

    Args:
        pool: Connections.
        address: Host and port of the store.
    """

    def __init__(self, pool: connection_pool.Pool, address: tuple[str, int]):
        self._pool = pool
        self._address = address
        self._host = f"{address[0]}:{address[1]}"
        self._era = 0

    async def read(
        self, table: str, key: str
    ) -> store_lib.Row | errors.StoreError:
        """Returns a row."""
        after_key = key + "\0"
        query = {"table": table, "part": "", "from": key, "to": after_key}
        page = await self._get("/tanagerloft/rows-get", query)
        if isinstance(page, errors.StoreError):
            return page
        row = page.rows[0] if page.rows else store_lib.Row(key, None, 0)
        return row._replace(era=page.era)

    async def scan(self, table: str) -> store_lib.Snapshot | errors.StoreError:
        """Returns all rows of a table, as of the first page's version."""
        found: list[store_lib.Row] = []
        version = 0
        era = None
        query: dict[str, Any] = {
            "table": table,
            "part": "",
            "limit": _MAX_PAGE_ROWS,
        }
        while True:
            page = await self._get("/tanagerloft/rows-get", query)
            if isinstance(page, errors.StoreError):
                return page
            if era is not None and page.era != era:
                return errors.StoreError(
                    errors.StoreFailure.HISTORY_LOST, "store restored"
                )
            era = page.era
            found += page.rows
            version = version or page.version
            if not page.has_more or not page.rows:
                return store_lib.Snapshot(tuple(found), version, era)
            query["from"] = page.rows[-1].key + "\0"

    async def changes(
        self, table: str, after_version: int, wait_ms: int
    ) -> store_lib.Snapshot | errors.StoreError:
        """Returns the rows changed since a version; waits for a change.

        Args:
            table: The table.
            after_version: Version since which rows have changed.
            wait_ms: Longest time to wait for a change.
        """
        query = {"table": table, "after": after_version, "wait_ms": wait_ms}
        page = await self._get("/tanagerloft/rows-feed", query, wait_ms)
        if isinstance(page, errors.StoreError):
            return page
        return store_lib.Snapshot(page.rows, page.version, page.era)

    async def write(
        self, table: str, key: str, value: bytes, expected_version: int
    ) -> store_lib.Written | errors.StoreError:
        """Writes a row if its version is as expected."""
        row_key = {"table": table, "part": "", "key": key}
        transaction = {
            "expected": [{**row_key, "ver": expected_version}],
            "puts": [{**row_key, "value": base64.b64encode(value).decode()}],
            "remove": [],
        }
        response = await self._exchange(
            "POST", "/tanagerloft/rows-tx", orjson.dumps(transaction), 0
        )
        if isinstance(response, errors.StoreError):
            return response
        body = _decode_response(response)
        if isinstance(body, errors.StoreError):
            return body
        era = self._era_of(response.head)
        return store_lib.Written(_version_of(body), era)

    async def _get(
        self, path: str, query: dict[str, Any], wait_ms: int = 0
    ) -> _Page | errors.StoreError:
        target = f"{path}?{parse.urlencode(query)}"
        response = await self._exchange("GET", target, None, wait_ms)
        if isinstance(response, errors.StoreError):
            return response
        body = _decode_response(response)
        if isinstance(body, errors.StoreError):
            return body
        return _decode_page(body, self._era_of(response.head))

    async def _exchange(
        self, method: str, target: str, payload: bytes | None, wait_ms: int
    ) -> http_client.Response | errors.StoreError:
        headers = _JSON if payload is not None else []
        request = http_client.encode_request(
            method, target, self._host, headers, payload
        )
        response = await http_client.exchange(
            self._pool, self._address, request, _SILENCE_TIMEOUT_MS, wait_ms
        )
        if isinstance(response, http_client.NoResponse):
            failure = errors.StoreFailure.NOT_DONE
            if response.sent:
                failure = errors.StoreFailure.UNKNOWN
            return errors.StoreError(
                failure, response.reason, response.received_bytes
            )
        return response

    def _era_of(self, head: target_connection.ResponseHead) -> int:
        """Returns the era of a response; the last one if it names none."""
        value = head.get(wire.STORE_ERA)
        if value is None:
            return self._era
        if not _ERA.fullmatch(value.strip()):
            logger.warning(
                "malformed era of the store ignored",
                extra={"value": value.decode("latin-1"), "known": self._era},
            )
            return self._era
        self._era = max(self._era, int(value))
        return int(value)


def _decode_response(
    response: http_client.Response,
) -> dict | errors.StoreError:
    status = response.head.status
    failures = {
        410: errors.StoreFailure.HISTORY_LOST,
        412: errors.StoreFailure.CONFLICT,
    }
    if status != 200:
        failure = failures.get(status, errors.StoreFailure.NOT_DONE)
        return errors.StoreError(failure, f"status {status}")
    try:
        body = orjson.loads(response.body)
    except orjson.JSONDecodeError:
        body = None
    if not isinstance(body, dict):
        return errors.StoreError(errors.StoreFailure.UNKNOWN, "not JSON")
    return body


def _decode_page(body: dict, era: int) -> _Page | errors.StoreError:
    try:
        rows = tuple(_decode_row(row) for row in body["rows"])
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        reason = f"malformed rows: {error!r}"
        return errors.StoreError(errors.StoreFailure.UNKNOWN, reason)
    return _Page(rows, bool(body.get("has_more")), _version_of(body), era)


def _decode_row(row: dict) -> store_lib.Row:
    value = None
    if not row.get("tombstone"):
        value = base64.b64decode(row["value"], validate=True)
    return store_lib.Row(str(row["key"]), value, int(row["ver"]))


def _version_of(body: dict) -> int:
    version = body.get("ver")
    return version if isinstance(version, int) else 0

"""Stand-in of the platform's store: rows under conditions, and their feed."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
import contextlib
import json
import time
from typing import Any
from typing import NamedTuple
from urllib import parse

from standins import http

# Time of one answer of the store.
_ANSWER_S = 0.004
_MAX_ROWS = 500

Row = tuple[int, str | None]


# Table and key of the lease row of the system.
LEASE = ("lease", "orders")


class Copy(NamedTuple):
    """A copy of the store.

    Attributes:
        at_s: When it was made.
        version: Version of the store then.
        rows: Its rows.
    """

    at_s: float
    version: int
    rows: dict[tuple[str, str], Row]


class Store:
    """The store, on one loopback address.

    Attributes:
        port: Port that it listens on.
        fate: Decides what becomes of the answer to a transaction that was
            carried out: ``answer``, or ``lose`` for a reset of its connection.
        on_put: Called for each write of the operator and of a server.
        on_claim: Called with the lease row whenever its holder changes.
        away: Whether it resets all connections.
        era: Rises with each return from an older copy.
    """

    def __init__(self):
        self.port = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.fate: Callable[[dict[str, Any]], str] = lambda _: "answer"
        self.on_put: Callable[[], None] = lambda: None
        self.on_claim: Callable[[Row], None] = lambda _: None
        self._holder = ""
        self.away = False
        self.era = 1

    async def listen(self) -> None:
        """Opens the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row as the operator and the servers do."""
        self.on_put()
        self._put(
            table, key, base64.b64encode(json.dumps(value).encode()).decode()
        )

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._put(table, key, None)

    def copy(self) -> Copy:
        """Returns a copy of the present contents."""
        return Copy(time.monotonic(), self._version, dict(self._rows))

    def restore(self, copy: Copy) -> None:
        """Comes back from an older copy; versions are given out again."""
        self._version, self._rows = copy.version, dict(copy.rows)
        self.era += 1
        self.away = False

    def _put(self, table: str, key: str, value: str | None) -> None:
        self._version += 1
        self._rows[table, key] = (self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError, OSError),
        ):
            while True:
                message = await http.read(reader)
                await asyncio.sleep(_ANSWER_S)
                if not self.away:
                    status, body, fate = await self._respond(message)
                if self.away or fate == "lose":
                    http.reset(writer)
                    return
                body["now_ms"] = int(time.monotonic() * 1_000)
                writer.write(
                    http.json_response(status, body, Store_Era=str(self.era))
                )

    async def _respond(self, message: http.Message) -> tuple[int, dict, str]:
        url = parse.urlsplit(message.first[1])
        query = dict(parse.parse_qsl(url.query))
        if url.path == "/tanagerloft/rows-get":
            return 200, self._get(query), "answer"
        if url.path == "/tanagerloft/rows-feed":
            if int(query["after"]) > self._version:
                return 410, {}, "answer"
            return 200, await self._feed(query), "answer"
        if url.path == "/tanagerloft/rows-tx":
            return self._transact(json.loads(message.body))
        return 404, {}, "answer"

    def _select(self, table: str, after: int) -> list[dict[str, Any]]:
        found = []
        for (name, key), (version, value) in sorted(self._rows.items()):
            if name == table and version > after:
                row = {"table": name, "part": "", "key": key, "ver": version}
                row |= (
                    {"tombstone": True} if value is None else {"value": value}
                )
                found.append(row)
        return found

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        rows = [
            row
            for row in self._select(query["table"], 0)
            if "value" in row
            and row["key"] >= query.get("from", "")
            and ("to" not in query or row["key"] < query["to"])
        ]
        limit = min(_MAX_ROWS, int(query.get("limit", _MAX_ROWS)))
        return {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "ver": self._version,
        }

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        until_s = time.monotonic() + int(query["wait_ms"]) / 1_000
        after = int(query["after"])
        while not (rows := self._select(query["table"], after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()
        rows.sort(key=lambda row: row["ver"])
        return {"rows": rows, "ver": self._version}

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict, str]:
        for row in body["expected"]:
            key = row["table"], row["key"]
            version, value = self._rows.get(key, (0, None))
            if (0 if value is None else version) != row["ver"]:
                current = [
                    item
                    for item in self._select(row["table"], 0)
                    if item["key"] == row["key"]
                ]
                return 412, {"rows": current, "ver": self._version}, "answer"
        for row in body["puts"]:
            self._put(row["table"], row["key"], row["value"])
        for row in body["remove"]:
            self._put(row["table"], row["key"], None)
        self._note_claim(body)
        return 200, {"ver": self._version}, self.fate(body)

    def _note_claim(self, body: dict[str, Any]) -> None:
        for row in body["puts"]:
            if (row["table"], row["key"]) != LEASE:
                continue
            holder = json.loads(base64.b64decode(row["value"]))["holder"]
            if holder != self._holder:
                self._holder = holder
                self.on_claim(self._rows[LEASE])

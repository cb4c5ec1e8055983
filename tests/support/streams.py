"""Engines that stream, and callers that take up broken streams."""

from __future__ import annotations

from collections.abc import Iterable
import random
import re
from typing import NamedTuple

from tanagerloft.util import loops
from tests.support import gateway_fleet
from tests.support import gateway_targets
from tests.support import virtual_loop

_EVENTS = 30
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
_STATUS = re.compile(rb"HTTP/1.1 (\d+) ")
_RETRY_AFTER = re.compile(rb"(?i)retry-after: ([\d.]+)")
_RECONNECT_MS = 50
_TIMEOUT_MS = 10_000


class StreamEngine(gateway_targets.Engine):
    """Engine of one software version, named in each event that it sends."""

    def __init__(self, target_id: str, version: str, models: Iterable[str]):
        super().__init__(target_id, models, models, 1_000)
        self.version = version
        self.run_ms = 100

    def hold(self, models: Iterable[str]) -> None:
        """Replaces the models that the engine holds."""
        self._held = set(models)
        self.on_change(self)

    def entry(self) -> dict:
        """Returns its entry in the platform's list."""
        return {**super().entry(), "version": self.version}

    def extra_headers(self, status: int) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a stream."""
        if status != 200:
            return []
        return [(b"content-type", b"text/event-stream")]

    def events(self, data: bytes) -> list[bytes]:
        """Returns the events after the last one that the caller has."""
        last_id = int(gateway_targets.header(data, b"Last-Event-Id") or 0)
        return [
            b"id: %d\ndata: %b\n\n" % (number, self.version.encode())
            for number in range(last_id + 1, _EVENTS + 1)
        ]


class Attempt(NamedTuple):
    """One attempt of a caller.

    Attributes:
        at_ms: Time of the attempt.
        resumes: Whether it takes up a stream.
        events: Number of events that it brought.
        status: Status of the response, 0 for none.
        versions: Software versions that the events are from.
    """

    at_ms: int
    resumes: bool
    events: int
    status: int
    versions: frozenset[str]


class StreamCaller:
    """Caller of one stream, which takes it up again until its deadline.

    Args:
        fleet: The fleet.
        name: Name of the caller.
        rng: Random source.
        model: Model of the request.
        names_attempt: Whether it names the attempt that began the stream.

    Attributes:
        events: Number and version of each event received.
        attempts: Its attempts.
        complete: Whether the stream is complete.
    """

    def __init__(
        self,
        fleet: gateway_fleet.GatewayFleet,
        name: str,
        rng: random.Random,
        model: str = "m1",
        names_attempt: bool = True,
    ):
        self._fleet = fleet
        self._name = name
        self._rng = rng
        self._model = model
        self._names_attempt = names_attempt
        self._first_attempt = ""
        self.events: list[tuple[int, str]] = []
        self.attempts: list[Attempt] = []
        self.complete = False

    @property
    def versions(self) -> set[str]:
        """Versions of the software that its events are from."""
        return {version for _, version in self.events}

    async def run(self) -> None:
        """Sends attempts until the stream is complete or time is over."""
        until_ms = virtual_loop.now_ms() + _TIMEOUT_MS
        while not self.complete and virtual_loop.now_ms() < until_ms:
            pause_ms = await self._attempt(until_ms - virtual_loop.now_ms())
            await loops.sleep(max(_RECONNECT_MS, pause_ms))

    async def _attempt(self, left_ms: int) -> int:
        """Makes one attempt; returns the delay that the response asks for."""
        attempt_id = f"{self._name}-{len(self.attempts)}"
        headers = {"Model": self._model, "Deadline-Ms": str(left_ms)}
        resumes = bool(self.events)
        if resumes:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            if self._names_attempt:
                headers["Resumes"] = self._first_attempt
        at_ms = virtual_loop.now_ms()
        instance = self._rng.choice(self._fleet.names)
        data, ended = await self._fleet.exchange(
            instance, f"/resume/{self._name}", attempt_id, headers
        )
        found = _EVENT.findall(data)
        if found and not resumes:
            self._first_attempt = attempt_id
        self.events += [(int(n), v.decode()) for n, v in found]
        status = _STATUS.match(data)
        code = int(status[1]) if status else 0
        self.complete = ended and code == 200
        versions = frozenset(version.decode() for _, version in found)
        self.attempts.append(
            Attempt(at_ms, resumes, len(found), code, versions)
        )
        retry = _RETRY_AFTER.search(data)
        return round(float(retry[1]) * 1_000) if retry else 0


def went_on_share(callers: Iterable[StreamCaller], from_ms: int) -> float:
    """Returns the share of resumed streams that went on after a time."""
    resumed = [
        any(a.events for a in attempts)
        for caller in callers
        if (
            attempts := [
                a for a in caller.attempts if a.resumes and a.at_ms >= from_ms
            ]
        )
    ]
    return sum(resumed) / len(resumed) if resumed else 1.0

"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import collections
import logging
import os
import sys
import threading

import orjson

from tanagerloft.util import clock as clock_lib

_MS_PER_S = 1_000
# Lines that wait for a reader that has stopped reading.
_MAX_QUEUED_LINES = 5_000
# Attributes that every record of the logging library has.
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object in one line.

    Args:
        instance: Name of the instance, in each line.
        clock: Clock of the process.
    """

    def __init__(self, instance: str, clock: clock_lib.Clock):
        super().__init__()
        self._instance = instance
        self._clock = clock

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line without its end."""
        line = {
            "at_ms": self._clock.now_ms(),
            "instance": self._instance,
            "level": record.levelname,
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD:
                line[name] = value
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=repr).decode()


class BoundedHandler(logging.Handler):
    """Queues lines for a thread that writes them.

    A reader that stops reading stops only that thread; lines beyond the queue
    or beyond the bound of their kind are counted and dropped. The kind of a
    line is its message without the arguments.

    Args:
        clock: Clock of the process.
        lines_per_s: Lines of one kind in a second.
        fd: Descriptor to write to.
    """

    def __init__(
        self, clock: clock_lib.Clock, lines_per_s: int, fd: int | None = None
    ):
        super().__init__()
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._fd = sys.stdout.fileno() if fd is None else fd
        self._second = 0
        self._counts: dict[str, int] = {}
        self._queue: collections.deque[bytes] = collections.deque()
        self._wake = threading.Event()
        self.dropped = 0
        self._told_dropped = 0
        thread = threading.Thread(target=self._write, name="log", daemon=True)
        thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or drops it."""
        second = self._clock.now_ms() // _MS_PER_S
        if second != self._second:
            self._second = second
            self._counts.clear()
            self._tell_dropped()
        kind = str(record.msg)
        count = self._counts.get(kind, 0) + 1
        self._counts[kind] = count
        if count > self._lines_per_s or len(self._queue) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self._queue.append(self.format(record).encode() + b"\n")
        self._wake.set()

    def _tell_dropped(self) -> None:
        """Says how many lines have been dropped since it last was."""
        if self.dropped == self._told_dropped:
            return
        record = logging.makeLogRecord(
            {
                "levelname": "WARNING",
                "msg": "log lines dropped",
                "lines": self.dropped - self._told_dropped,
            }
        )
        self._told_dropped = self.dropped
        self._queue.append(self.format(record).encode() + b"\n")

    def drain(self, timeout_ms: int) -> None:
        """Waits until the queue is empty, at the end of the process."""
        waited = threading.Event()
        for _ in range(max(1, timeout_ms // 10)):
            if not self._queue:
                return
            waited.wait(0.01)

    def _write(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._queue:
                lines = []
                while self._queue:
                    lines.append(self._queue.popleft())
                _write_all(self._fd, b"".join(lines))


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        try:
            view = view[os.write(fd, view) :]
        except OSError:
            # Nobody reads any more; there is nowhere left to say so.
            return


def set_up(
    instance: str, clock: clock_lib.Clock, level: str, lines_per_s: int
) -> BoundedHandler:
    """Sends all log lines of the process to standard output."""
    handler = BoundedHandler(clock, lines_per_s)
    handler.setFormatter(JsonFormatter(instance, clock))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler

"""Log lines: written bounded and without blocking, and read back."""

import json
import logging
import os
import threading

from click import testing

from tanagerloft.cmd import main
from tanagerloft.util import clock as clock_lib
from tanagerloft.util import log
from tanagerloft.util import log_lines

_WAIT_S = 20.0


def _logger(handler: log.BoundedHandler) -> logging.Logger:
    logger = logging.Logger("test")
    handler.setFormatter(log.JsonFormatter("i-1", clock_lib.ManualClock()))
    logger.addHandler(handler)
    return logger


def _read_lines(fd: int, count: int) -> list[dict]:
    data = b""
    while data.count(b"\n") < count:
        data += os.read(fd, 65_536)
    return [json.loads(line) for line in data.splitlines()]


def test_a_line_carries_its_fields():
    read_fd, write_fd = os.pipe()
    handler = log.BoundedHandler(clock_lib.ManualClock(), 10, write_fd)
    _logger(handler).info("request ended", extra={"request": "r", "sends": 2})
    (line,) = _read_lines(read_fd, 1)
    assert line["event"] == "request ended"
    assert (line["instance"], line["request"], line["sends"]) == ("i-1", "r", 2)


def test_lines_of_one_kind_are_bounded():
    read_fd, write_fd = os.pipe()
    clock = clock_lib.ManualClock()
    handler = log.BoundedHandler(clock, 3, write_fd)
    logger = _logger(handler)
    for number in range(10):
        logger.info("a kind", extra={"number": number})
    logger.info("another kind")
    assert len(_read_lines(read_fd, 4)) == 4
    assert handler.dropped == 7
    clock.advance(1_000)
    logger.info("a kind")
    told, line = _read_lines(read_fd, 2)
    assert (told["event"], told["lines"]) == ("log lines dropped", 7)
    assert line["event"] == "a kind"


def test_a_reader_that_stops_blocks_nobody():
    _read_fd, write_fd = os.pipe()
    clock = clock_lib.ManualClock()
    handler = log.BoundedHandler(clock, 10**9, write_fd)
    logger = _logger(handler)
    done = threading.Event()

    def write_much():
        for _ in range(20_000):
            logger.info("a line", extra={"text": "x" * 100})
        done.set()

    threading.Thread(target=write_much, daemon=True).start()
    assert done.wait(_WAIT_S)
    assert handler.dropped > 0


_LINES = """
 1.0 i-1 {"at_ms":1,"instance":"i-1","level":"INFO","event":"started"}
 2.0 i-1 {"at_ms":2,"event":"attempt failed","request":"r1","target":"t1"}
noise r1
 2.5 i-2 {"at_ms":9,"event":"request ended","request":"r2","outcome":"answered"}
 3.0 i-1 {"at_ms":3,"event":"request ended","request":"r1","outcome":"cut"}
"""


def test_the_path_of_a_request_is_found_by_its_id_alone():
    found = log_lines.path_of("r1", _LINES.splitlines())
    assert [line["event"] for line in found] == [
        "attempt failed",
        "request ended",
    ]


def test_explain_prints_the_path():
    runner = testing.CliRunner()
    result = runner.invoke(main.main, ["explain", "r1"], input=_LINES)
    assert result.exit_code == 0
    assert "target=t1" in result.output
    assert "outcome=cut" in result.output
    result = runner.invoke(main.main, ["explain", "r9"], input=_LINES)
    assert result.exit_code == 1

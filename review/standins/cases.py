"""Runs a case: its record, its temporary folder, its exit code."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import tempfile
import traceback

from standins import record as record_lib

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Case = Callable[[record_lib.Record, pathlib.Path], Awaitable[int]]


def run(path: str, case: Case) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if not, 2 if unknown.

    Args:
        path: The file of the case.
        case: The case; it gets the record and a temporary folder.
    """
    # Ends the processes of the case if it takes too long.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = record_lib.Record(pathlib.Path(path).parent / "record.txt")
    record.line(f"trouble: {TROUBLE}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            code = asyncio.run(case(record, pathlib.Path(folder)))
    except Exception:  # An error of the case itself is no broken rule.
        record.line(f"could not run: {traceback.format_exc()}")
        code = 2
    record.line(f"exit {code}")
    record.close()
    return code

"""The record of a case."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Writes what was sent, answered and run.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line with the time since the start."""
        at_s = time.monotonic() - self._started_s
        self._file.write(f"{at_s:9.4f} {text}\n")

    def at(self, monotonic_s: float) -> float:
        """Returns a reading of the clock as the time since the start."""
        return monotonic_s - self._started_s

    def close(self) -> None:
        """Closes the file."""
        self._file.close()

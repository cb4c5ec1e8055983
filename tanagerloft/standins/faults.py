"""Faults that a stand-in shows on demand while it runs.

``POST /faults`` with a JSON object sets them, ``GET /faults`` shows them. Each
stand-in says which names it knows.
"""

from collections.abc import Callable
from collections.abc import Iterable
import json
import threading
from typing import Any

from werkzeug import wrappers

PATH = "/faults"


class Faults:
    """Faults in force, by name; a value of 0 or false means none."""

    def __init__(self, known: tuple[str, ...]):
        self._lock = threading.Lock()
        self._values: dict[str, Any] = dict.fromkeys(known, 0)

    def get(self, name: str) -> Any:
        """Returns the value of a fault."""
        with self._lock:
            return self._values[name]

    def take(self, name: str) -> bool:
        """Uses up one occurrence of a fault that is a count."""
        with self._lock:
            if self._values[name] <= 0:
                return False
            self._values[name] -= 1
            return True

    def set(self, name: str, value: Any) -> None:
        """Sets a fault.

        Raises:
            KeyError: If the stand-in does not know it.
        """
        with self._lock:
            if name not in self._values:
                raise KeyError(name)
            self._values[name] = value

    def respond(self, request: wrappers.Request) -> wrappers.Response:
        """Answers a request for ``PATH``."""
        if request.method == "POST":
            for name, value in request.get_json(force=True).items():
                self.set(name, value)
        with self._lock:
            return json_response(self._values)


def answer(
    faults: Faults,
    respond: Callable[[wrappers.Request], wrappers.Response],
    environ: dict,
    start_response: Callable,
) -> Iterable[bytes]:
    """Answers one request of a stand-in (WSGI): its faults, or its work."""
    request = wrappers.Request(environ)
    if request.path == PATH:
        response = faults.respond(request)
    else:
        response = respond(request)
    return response(environ, start_response)


def json_response(payload: Any, status: int = 200) -> wrappers.Response:
    """Returns ``payload`` as a JSON response."""
    response = wrappers.Response(status=status, mimetype="application/json")
    response.set_data(json.dumps(payload))
    return response

"""Plain-text pages for the platform and for operators: readiness, metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tanagerloft.fleet import types
from tanagerloft.net import responder as responder_lib

_TEXT = [(b"Content-Type", b"text/plain; charset=utf-8")]


class Page(NamedTuple):
    """Content of a page.

    Attributes:
        status: Status code.
        body: Body.
    """

    status: int
    body: bytes


class PageHandler:
    """Serves pages by path; implements ``responder.Handler``.

    Args:
        pages: Functions that render the pages, by path.
        now_ms: Clock.
    """

    def __init__(
        self,
        pages: dict[bytes, Callable[[], Page]],
        now_ms: Callable[[], int],
    ):
        self._pages = pages
        self._now_ms = now_ms

    def handle(
        self,
        request: responder_lib.Request,
        responder: responder_lib.Responder,
    ) -> None:
        """Responds with the page of the request's path."""
        render = self._pages.get(request.target.partition(b"?")[0])
        page = render() if render is not None else Page(404, b"not found\n")
        responder.respond(page.status, _TEXT, page.body)

    def refuse_unreadable(
        self, responder: responder_lib.Responder, status: int
    ) -> None:
        """Refuses a request that could not be read."""
        responder.respond(status, _TEXT, b"refused\n")

    def limits(self) -> types.CallerLimits:
        """Returns the limits on requests."""
        return types.CallerLimits()

    def now_ms(self) -> int:
        """Returns the reading of the clock."""
        return self._now_ms()

    def closing(self) -> bool:
        """Returns whether connections close after their next response."""
        return False

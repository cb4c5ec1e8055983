"""Errors of the target layer."""

from typing import NamedTuple


class OrderFailed(NamedTuple):
    """An order was not confirmed.

    Attributes:
        refused: True if the target said that it will not obey; False if the
            order may still take effect.
        reason: Text for logs.
    """

    refused: bool
    reason: str


class ReportFailed(NamedTuple):
    """A target gave no load report."""

    reason: str

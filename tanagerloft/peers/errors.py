"""Errors of the layer between instances."""

from typing import NamedTuple


class CallFailed(NamedTuple):
    """A peer gave no answer.

    Attributes:
        reason: Text for logs.
    """

    reason: str

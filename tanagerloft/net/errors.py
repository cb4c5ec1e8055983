"""Errors of listening."""


class ListenError(Exception):
    """An address cannot be bound.

    Raised and not returned, since parts bind while they are built.

    Args:
        address: The address, ``host:port``.
        reason: What the system said.
    """

    def __init__(self, address: str, reason: str):
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address
        self.reason = reason

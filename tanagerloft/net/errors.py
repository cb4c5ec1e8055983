"""Errors of listening sockets."""


class ListenError(Exception):
    """An address cannot be bound.

    Raised, not returned, as some components bind in their constructor.

    Args:
        address: The address, ``host:port``.
        reason: Error text of the operating system.
    """

    def __init__(self, address: str, reason: str):
        super().__init__(f"cannot listen on {address}: {reason}")
        self.address = address
        self.reason = reason

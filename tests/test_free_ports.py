"""Tests of the port allocation for tests."""

import contextlib
import socket

from tests.support import users_platform


def test_ports_in_time_wait_are_reused():
    # Seen in CI: connections of earlier tests in TIME_WAIT blocked nearly all
    # ports of this process, and one instance was given the same port twice.
    with contextlib.ExitStack() as stack:
        for _ in range(120):
            port = users_platform.free_port()
            listener = socket.create_server(("127.0.0.1", port))
            caller = socket.create_connection(("127.0.0.1", port))
            accepted, _ = listener.accept()
            # The side that closes first stays in TIME_WAIT for a minute.
            accepted.close()
            caller.close()
            listener.close()
        ports = [users_platform.free_port() for _ in range(4)]
        for port in ports:
            stack.enter_context(socket.create_server(("127.0.0.1", port)))
        assert len(set(ports)) == 4

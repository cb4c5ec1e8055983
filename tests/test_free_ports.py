"""Ports that tests hand out."""

import contextlib
import socket

from tests.support import users_platform


def test_ports_used_in_the_last_minute_are_handed_out_again():
    # Seen in CI: connections of earlier tests kept nearly all ports of this
    # process, and one instance was given the same port twice.
    with contextlib.ExitStack() as stack:
        for _ in range(120):
            port = users_platform.free_port()
            listener = socket.create_server(("127.0.0.1", port))
            caller = socket.create_connection(("127.0.0.1", port))
            accepted, _ = listener.accept()
            # The side that closes first keeps the port for a minute.
            accepted.close()
            caller.close()
            listener.close()
        ports = [users_platform.free_port() for _ in range(4)]
        for port in ports:
            stack.enter_context(socket.create_server(("127.0.0.1", port)))
        assert len(set(ports)) == 4

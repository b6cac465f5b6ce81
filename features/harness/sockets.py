"""Free addresses on the loopback interface."""

import socket


def free_address() -> str:
    """Return a loopback address with a port that is free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())

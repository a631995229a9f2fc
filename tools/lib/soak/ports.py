"""Loopback ports of one soak."""

import random
import socket
import time


class Ports:
    """Ports for one soak, from a block that it claims by listening on the block's first port.

    The blocks lie below the ports that the system gives to outgoing connections.
    """

    FIRST = 12000
    BLOCKS = 100
    SIZE = 200

    def __init__(self):
        blocks = list(range(self.BLOCKS))
        random.SystemRandom().shuffle(blocks)
        self.claim = socket.socket()
        for block in blocks:
            first = self.FIRST + block * self.SIZE
            if can_bind(self.claim, first):
                self.claim.listen()
                self.rest = iter(range(first + 1, first + self.SIZE))
                return
        raise RuntimeError("no block of ports is free")

    def next(self):
        for port in self.rest:
            with socket.socket() as probe_socket:
                if can_bind(probe_socket, port):
                    return port
        raise RuntimeError("the block of ports is used up")


def can_bind(unbound, port):
    try:
        unbound.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def wait_for_port(port, seconds=10):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", port), 0.5).close()
            return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"nothing listens on port {port}")

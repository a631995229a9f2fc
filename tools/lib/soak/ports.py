"""Loopback ports for one soak."""

import random
import socket
import time


class Ports:
    """Allocates ports from a block that is reserved by listening on its first port.

    The blocks lie below the ephemeral ports, which the system assigns to outgoing connections.
    """

    FIRST_PORT = 12000
    BLOCK_COUNT = 100
    BLOCK_SIZE = 200

    def __init__(self):
        blocks = list(range(self.BLOCK_COUNT))
        random.SystemRandom().shuffle(blocks)
        self.claim_socket = socket.socket()
        for block in blocks:
            first = self.FIRST_PORT + block * self.BLOCK_SIZE
            if can_bind(self.claim_socket, first):
                self.claim_socket.listen()
                self.unused = iter(range(first + 1, first + self.BLOCK_SIZE))
                return
        raise RuntimeError("no block of ports is free")

    def allocate(self):
        for port in self.unused:
            with socket.socket() as probe_socket:
                if can_bind(probe_socket, port):
                    return port
        raise RuntimeError("the block of ports is used up")


def can_bind(unbound_socket, port):
    try:
        unbound_socket.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


def wait_for_port(port, timeout_seconds=10):
    deadline = time.monotonic() + timeout_seconds
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", port), 0.5).close()
            return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"nothing listens on port {port}")

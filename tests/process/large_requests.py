"""Gateway whose callers send many large requests at the same time.

usage: large_requests.py

Guards against a gateway that is killed for its memory before a request is whole: 100 bodies of 4 MB took 453 MB, with
260 MB allowed. In each shape, a hundred callers send at the same time, and wait until all of them are about to end
their requests. The process stays below its memory, requests beyond it are refused with 503 and the time to return, and
a small request is served meanwhile and afterwards.
"""

import pathlib
import re
import select
import socket
import sys
import tempfile
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.cluster import Cluster

CALLERS = 100
MEMORY_MB = 260
MAX_BODY_BYTES = 4_194_304
BODY_BYTES = 4_000_000
PIECE = b"x" * 50_000
TIMEOUT_SECONDS = 20
# Between the parts of a request: wait for the other callers; leave without an answer.
WAIT = "wait"
LEAVE = "leave"


def peak_mb(process):
    status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024


def head(request, framing):
    return (f"POST /writes/x HTTP/1.1\r\nHost: soak.example\r\n{wire.REQUEST_ID}: {request}\r\n"
            f"{wire.KEY}: Token key-0\r\n{framing}\r\n").encode()


def with_length(request):
    """A body of known length; its last byte is sent when all others have arrived."""
    yield head(request, f"Content-Length: {BODY_BYTES}\r\n")
    for _ in range(BODY_BYTES // len(PIECE) - 1):
        yield PIECE
    yield PIECE[1:]
    yield WAIT
    yield PIECE[:1]


def in_chunks(request):
    """Chunks without an end."""
    yield head(request, "Transfer-Encoding: chunked\r\n")
    chunk = f"{len(PIECE):x}\r\n".encode() + PIECE + b"\r\n"
    for number in range(2 * MAX_BODY_BYTES // len(PIECE)):
        if number == BODY_BYTES // len(PIECE):
            yield WAIT
        yield chunk


def in_head(request):
    """A head of many short fields that is never whole."""
    yield head(request, "")[:-2]
    yield b"A:\r\n" * 3_500
    yield WAIT
    yield LEAVE


def is_answered(connection, seconds):
    return bool(select.select([connection], [], [], seconds)[0])


SHAPES = {"length": with_length, "chunks": in_chunks, "head": in_head}


class Caller(threading.Thread):
    """Sends a request part by part; may_end is set when all callers are about to end theirs."""

    def __init__(self, port, parts, may_end=None):
        super().__init__(daemon=True)
        self.port = port
        self.parts = parts
        self.may_end = may_end
        self.is_waiting = False
        self.answer = b""

    def run(self):
        with socket.create_connection(("127.0.0.1", self.port), TIMEOUT_SECONDS) as connection:
            try:
                if self.send(connection):
                    self.receive(connection)
            except OSError as error:
                self.answer = self.answer or repr(error).encode()

    def receive(self, connection):
        while not self.is_complete() and (data := connection.recv(65536)):
            self.answer += data

    def is_complete(self):
        start, end, body = self.answer.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", start)
        return bool(end and length and len(body) >= int(length.group(1)))

    def send(self, connection):
        """Sends the parts until an answer comes. False: the caller leaves without one."""
        for part in self.parts:
            if part is LEAVE:
                return is_answered(connection, 0)
            if part is WAIT:
                self.is_waiting = True
                while not self.may_end.is_set() and not is_answered(connection, 0.05):
                    pass
            elif is_answered(connection, 0):
                return True
            else:
                connection.sendall(part)
        return True

    def status(self):
        found = re.match(rb"HTTP/1.1 (\d+) ", self.answer)
        return int(found.group(1)) if found else self.answer[:80].decode(errors="replace")


def call_small(port, request):
    caller = Caller(port, iter([head(request, "Content-Length: 1\r\n") + b"x"]))
    caller.run()
    return caller.status()


def check_shape(cluster, shape, allowed):
    port = cluster.gateways[0].port
    may_end = threading.Event()
    callers = [Caller(port, SHAPES[shape](f"{shape}-{number}"), may_end) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    while any(caller.is_alive() and not caller.is_waiting for caller in callers):
        time.sleep(0.05)
    small = call_small(port, f"small-{shape}")
    may_end.set()
    for caller in callers:
        caller.join(2 * TIMEOUT_SECONDS)
    statuses = [caller.status() for caller in callers]
    counts = {status: statuses.count(status) for status in set(statuses)}
    peak = peak_mb(cluster.gateways[0].process)
    print(f"{shape}: peak {peak:.0f} MB, {counts}, small request meanwhile: {small}")
    if peak >= MEMORY_MB:
        yield f"{shape}: {peak:.0f} MB"
    if not set(counts) <= allowed:
        yield f"{shape}: {counts}"
    if shape == "length" and not {200, 503} <= set(counts):
        yield f"{shape}: all or none were refused: {counts}"
    if small != 200:
        yield f"{shape}: small request meanwhile: {small}"
    for caller in callers:
        if caller.status() == 503 and b"\r\nRetry-After: " not in caller.answer:
            yield f"{shape}: refused without the time to return"
            return


def main():
    failures = []
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, 1, gateways=1, engines=1, registers=2)
        cluster.limits["max_body_bytes"] = MAX_BODY_BYTES
        cluster.limits["idle_timeout_ms"] = 1000 * TIMEOUT_SECONDS
        cluster.limits["header_timeout_ms"] = 1000 * TIMEOUT_SECONDS
        cluster.timeouts["writes"] = 1000 * TIMEOUT_SECONDS
        cluster.gateways[0].memory_mb = MEMORY_MB
        try:
            cluster.start()
            failures += check_shape(cluster, "length", {200, 503})
            failures += check_shape(cluster, "chunks", {413, 503})
            failures += check_shape(cluster, "head", {"", 503})
            if (status := call_small(cluster.gateways[0].port, "afterwards")) != 200:
                failures.append(f"small request afterwards: {status}")
            failures += scenario.check_running(cluster.gateways[0])
        finally:
            cluster.close()
    return scenario.exit_code(failures, 20)


if __name__ == "__main__":
    sys.exit(main())

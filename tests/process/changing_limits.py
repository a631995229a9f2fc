"""Configurations that change limits one after the other, under callers that make use of them.

usage: changing_limits.py

Guards against requests that get neither an answer nor a refusal beside a change of the configuration. A gateway
takes configurations with other idle limits, header limits, route timeouts and keys, while callers send on new and
kept-alive connections: bodies in pieces just below and above the idle limit, requests on connections that were idle
for up to four fifths of the limit, large answers that are read slowly, and HTTP/1.0 requests for streams. Some
servers are silent for a second, others send answers that end with their connection.

Every request gets a complete answer or a refusal, also when the gateway stopped reading it. One that keeps to the limits in force, old or new,
is not refused because of them. A caller relies on a longer limit when it is in force, and on a shorter one when it is written.
"""

import collections
import http.client
import json
import random
import socket
import sys
import tempfile
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.backend import EVENTS_PER_RUN
from soak.cluster import Cluster
from soak.records import gateway_entries

SEED = 1
# Idle limit, header limit (ms), header bytes and timeout of reads (ms) of each configuration.
CONFIGURATIONS = [(15000, 5000, 16384, 5000), (1000, 5000, 16384, 5000), (15000, 1000, 16384, 2500),
                  (1000, 1000, 4096, 5000), (15000, 5000, 16384, 700), (700, 5000, 16384, 5000),
                  (1500, 2000, 4096, 2500), (700, 5000, 16384, 5000), (15000, 5000, 16384, 5000),
                  (1000, 1000, 16384, 700), (15000, 5000, 4096, 5000), (1000, 5000, 16384, 5000)]
CONFIGURATION_SECONDS = 3
USED_SHARE = 0.8
# A caller that a busy machine wakes later than this share of the limit does not send.
LATEST_SHARE = 0.92
BELOW, ABOVE = 0.85, 1.15
PIECES = 3
LARGE_ANSWER_BYTES = 5_000_000
SLOW_READ_BYTES = 131_072
SLOW_READ_INTERVAL_SECONDS = 0.2
CALLERS = {"closed_loop": 8, "idle": 10, "slow_body": 6, "slower_body": 6, "slow_head": 4, "slow_reader": 4,
           "http10": 3}
ANSWER_TIMEOUT_SECONDS = 20
LIMIT_STATUSES = (408, 413, 431)


class Limits:
    """What callers may rely on: the lesser of what is in force and what is written."""

    def __init__(self, idle, header, header_bytes):
        self.lock = threading.Condition()
        self.in_force = self.written = (idle, header, header_bytes)

    def write(self, values):
        with self.lock:
            self.written = values

    def confirm(self):
        with self.lock:
            self.in_force = self.written
            self.lock.notify_all()

    def usable(self):
        with self.lock:
            return tuple(map(min, self.in_force, self.written))

    def wait_idle(self, started_at, spread, is_over):
        """Waits while a connection idles. Returns whether a request may be sent on it now."""
        limit = self.usable()[0]
        while not is_over():
            remaining = started_at + limit * USED_SHARE * spread - time.monotonic()
            if remaining <= 0:
                return time.monotonic() <= started_at + limit * LATEST_SHARE
            with self.lock:
                if self.lock.wait(min(remaining, 0.5)) and time.monotonic() < started_at + limit * LATEST_SHARE:
                    limit = max(limit, min(self.in_force[0], self.written[0]))
        return False


class Connection:
    def __init__(self, port, receive_bytes=None):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.settimeout(ANSWER_TIMEOUT_SECONDS)
        self.socket.connect(("127.0.0.1", port))

    def send(self, data):
        """Returns whether the connection took the bytes."""
        try:
            self.socket.sendall(data)
            return True
        except OSError:
            return False

    def read(self, method, read_slowly=False):
        """Returns the status, the body and whether the connection is kept."""
        response = http.client.HTTPResponse(self.socket, method=method)
        try:
            response.begin()
            body = b""
            while read_slowly and response.status == 200:
                piece = response.read(SLOW_READ_BYTES)
                if not piece:
                    break
                body += piece
                time.sleep(SLOW_READ_INTERVAL_SECONDS)
            body += response.read()
            if response.length:  # reading piece by piece tells no early end
                raise http.client.IncompleteRead(body[:20], response.length)
            return response.status, body, not response.will_close
        finally:
            response.close()

    def close(self):
        self.socket.close()


class Callers:
    def __init__(self, cluster, limits):
        self.cluster = cluster
        self.port = cluster.gateways[0].port
        self.limits = limits
        self.lock = threading.Lock()
        self.counts = collections.Counter()
        self.failures = []
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(kind, number), daemon=True)
                        for kind, count in CALLERS.items() for number in range(count)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join(ANSWER_TIMEOUT_SECONDS + 5)
        self.failures += ["a caller is still waiting" for thread in self.threads if thread.is_alive()]

    def _run(self, kind, number):
        source = random.Random(f"{SEED}-{kind}-{number}")
        count = 0
        connection = None
        while not self.is_over.is_set():
            count += 1
            name = f"{kind}-{number}-{count}"
            connection = getattr(self, f"_{kind}")(name, connection, source)

    def _head(self, method, path, name, length=0, padding=0, version="1.1"):
        lines = [f"{method} {path} HTTP/{version}", "Host: soak.example", f"{wire.REQUEST_ID}: {name}",
                 f"{wire.KEY}: {wire.KEY_SCHEME}key-0", f"{wire.DEADLINE}: 8000"]
        if method == "POST":
            lines.append(f"Content-Length: {length}")
        if padding:
            lines.append("Padding: " + "x" * padding)
        if path.startswith("/streams"):
            lines.append(f"{wire.TOKENS}: 8000,300")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _finish(self, kind, name, connection, method, was_sent, keeps_limits, read_slowly=False):
        """Reads the answer and judges it. Returns the connection if it can be used again."""
        answered_at = sent_at = time.monotonic()
        try:
            status, body, is_kept = connection.read(method, read_slowly)
            answered_at = time.monotonic()
        except (OSError, http.client.HTTPException) as error:
            status, is_kept = 0, False
            self._fail(f"{name}: no answer, {error!r} after {time.monotonic() - sent_at:.2f} s, sent whole: {was_sent}")
        with self.lock:
            self.counts[f"{kind} {status or 'cut'}"] += 1
        if status == 200 and kind != "http10" and json.loads(body)["request"] != name:
            self._fail(f"{name}: answer of another request")
        if keeps_limits and (not was_sent or status in LIMIT_STATUSES):
            self._fail(f"{name}: kept to the limits and got {status}, sent whole: {was_sent}")
        if is_kept:
            connection.idle_since = answered_at
            return connection
        connection.close()
        return None

    def _fail(self, text):
        with self.lock:
            self.failures.append(f"{time.monotonic():.2f} {text}; {self.limits.in_force}, {self.limits.written}")

    def _closed_loop(self, name, connection, source):
        connection = connection or Connection(self.port)
        method, path = source.choice([("GET", "/reads/x"), ("POST", "/writes/x")])
        was_sent = connection.send(self._head(method, path, name))
        connection = self._finish("closed_loop", name, connection, method, was_sent, True)
        time.sleep(source.uniform(0, 0.15))
        if connection and source.random() < 0.3:
            connection.close()
            return None
        return connection

    def _idle(self, name, connection, source):
        if connection and not self.limits.wait_idle(connection.idle_since, source.choice([1, 1, 0.5]),
                                                    self.is_over.is_set):
            connection.close()
            return None
        connection = connection or Connection(self.port)
        padding = 6000 if self.limits.usable()[2] > 8000 and source.random() < 0.3 else 0
        was_sent = connection.send(self._head("GET", "/reads/x", name, padding=padding))
        return self._finish("idle", name, connection, "GET", was_sent, True)

    def _slow_body(self, name, connection, source):
        return self._send_slowly("slow_body", name, connection, BELOW)

    def _slower_body(self, name, connection, source):
        return self._send_slowly("slower_body", name, connection, ABOVE)

    def _send_slowly(self, kind, name, connection, share):
        """The pauses are a share of the limit when the request begins, at most two seconds."""
        connection = connection or Connection(self.port)
        limit = self.limits.usable()[0]
        body = name.encode() * 3
        step = len(body) // PIECES
        was_sent = connection.send(self._head("POST", "/writes/x", name, len(body)) + body[:step])
        keeps_limits = True
        for piece in range(1, PIECES):
            paused_at = time.monotonic()
            time.sleep(min(limit * share, 2))
            keeps_limits = keeps_limits and time.monotonic() - paused_at < limit * LATEST_SHARE
            end = len(body) if piece == PIECES - 1 else step * (piece + 1)
            was_sent = was_sent and connection.send(body[step * piece:end])
        return self._finish(kind, name, connection, "POST", was_sent, keeps_limits)

    def _slow_head(self, name, connection, source):
        connection = connection or Connection(self.port)
        limit = self.limits.usable()[1]
        head = self._head("GET", "/reads/x", name)
        started_at = time.monotonic()
        was_sent = connection.send(head[:40])
        share = source.choice([BELOW, ABOVE])
        time.sleep(min(limit * share, 2.5))
        keeps_limits = time.monotonic() - started_at < limit * LATEST_SHARE
        was_sent = was_sent and connection.send(head[40:])
        return self._finish("slow_head", name, connection, "GET", was_sent, keeps_limits)

    def _slow_reader(self, name, connection, source):
        connection = connection or Connection(self.port, receive_bytes=SLOW_READ_BYTES)
        was_sent = connection.send(self._head("GET", f"/reads/x?pad={LARGE_ANSWER_BYTES}", name))
        return self._finish("slow_reader", name, connection, "GET", was_sent, True, read_slowly=True)

    def _http10(self, name, connection, source):
        connection = Connection(self.port)
        path = source.choice(["/streams/x", "/reads/x"])
        method = "POST" if path.startswith("/streams") else "GET"
        was_sent = connection.send(self._head(method, path, name, version="1.0"))
        try:
            status, body, _ = connection.read(method)
        except (OSError, http.client.HTTPException) as error:
            status, body = 0, b""
            self._fail(f"{name}: no answer, {error!r}")
        if status == 200 and method == "POST" and body.count(b"\n\n") != EVENTS_PER_RUN:
            self._fail(f"{name}: {body.count(bytes(2 * chr(10), 'ascii'))} events")
        with self.lock:
            self.counts[f"http10 {status or 'cut'}"] += 1
        connection.close()
        time.sleep(source.uniform(0.2, 0.6))
        return None


def wait_in_force(cluster, version):
    log = cluster.folder / "gateway-0.log"
    deadline = time.monotonic() + 5
    while time.monotonic() < deadline:
        if any(entry["version"] == str(version) for entry in gateway_entries(log, "configInForce")):
            return
        time.sleep(0.02)
    raise RuntimeError(f"configuration {version} is not in force in time")


def print_cuts(cluster):
    """Prints what the gateway logged about connections that it cut."""
    cuts = collections.Counter((entry["cause"], entry["phase"])
                               for entry in gateway_entries(cluster.folder / "gateway-0.log", "connectionCut"))
    for (cause, phase), count in sorted(cuts.items()):
        print(f"connectionCut {cause} {phase}: {count}")


def publish(cluster, limits, number):
    idle, header, header_bytes, timeout = CONFIGURATIONS[number]
    cluster.limits = wire.limits(idle, header, header_bytes)
    cluster.timeouts["reads"] = timeout
    cluster.accounts["account-1"] = {"key-1", f"key-1-{number}"}
    limits.write((idle / 1000, header / 1000, header_bytes))
    cluster.publish_config()
    wait_in_force(cluster, cluster.journal.entries_of("config")[-1]["version"])
    limits.confirm()


def play(cluster):
    first = CONFIGURATIONS[0]
    limits = Limits(first[0] / 1000, first[1] / 1000, first[2])
    cluster.start()
    for server in cluster.servers:
        if server.service == "register":
            server.set_faults({"silent": 0.05, "unframed": 0.2})
    callers = Callers(cluster, limits)
    callers.start()
    for number in range(len(CONFIGURATIONS)):
        publish(cluster, limits, number)
        time.sleep(CONFIGURATION_SECONDS)
    callers.stop()
    for outcome, count in sorted(callers.counts.items()):
        print(f"{outcome}: {count}")
    print_cuts(cluster)
    return callers.failures


def main():
    print(f"seed {SEED}")
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, SEED, gateways=1, engines=2, registers=5)
        try:
            failures = play(cluster)
        finally:
            cluster.close()
    code = scenario.exit_code(failures, 30)
    print(f"{len(failures)} failed")
    return code


if __name__ == "__main__":
    sys.exit(main())

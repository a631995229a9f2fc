"""Requests that arrive late in a planned stop of a gateway.

usage: late_in_stop.py

Guards against requests that a stopping gateway passes on although they cannot end before it does. Requests are sent
every half second after SIGTERM: on new connections, on idle kept-alive ones, on ones that were accepted in the last
second before the port is closed, and with a body that is still arriving. Their servers need between 0.1 and 5 s for
an answer. Each request ends with one whole answer, with a refusal although no server has run it, or with a closed
connection although no server has run it, unless its server took longer than the time of its route. Also guards against a
gateway that refuses what it could finish.
"""

import dataclasses
import http.client
import json
import pathlib
import random
import signal
import socket
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "platform" / "standins"), str(ROOT / "tools" / "lib")]
import scenario  # noqa: E402
import wire  # noqa: E402
from soak.backend import EVENTS_PER_RUN, event_text  # noqa: E402
from soak.cluster import Cluster  # noqa: E402
from soak.records import gateway_entries, server_records  # noqa: E402

SEED = 1
DRAIN_TIMEOUT_SECONDS = 8
# Half of it is the objective, so that no read is sent to a second server.
ROUTE_TIMEOUT_MS = 6000
SLOTS = 200
TAKES_SECONDS = (0.1, 1, 2, 3, 5)
SEND_SECONDS = (-0.5, *(step / 2 for step in range(16)), 7.9)
PORT_CLOSED_SECONDS = 3
LATE_CONNECT_SECONDS = (2.1, 2.9)
BODY_SECONDS = 1.5
BODY_PIECES = 4
MAX_RETRY_AFTER_SECONDS = 0.5
# Twenty answers of each kind make the usual time known.
HISTORY_CALLS = 30
# Later requests may be refused.
SURELY_SERVED_SECONDS = 0.5
SURELY_SERVED_WITH_HISTORY_SECONDS = 4
PATHS = ("reads", "writes", "streams")


@dataclasses.dataclass
class Case:
    path: str
    connection: str
    send_at: float
    take: float

    def name(self):
        return f"{self.path}-{self.connection}-{self.send_at}-{self.take}"


@dataclasses.dataclass
class Outcome:
    """What a caller got; a status of 0 stands for a connection that ended without an answer."""

    status: int
    body: bytes
    retry_after: str | None = None
    error: str = ""


def request_bytes(name, target, body=b""):
    method = "GET" if target.startswith("/reads") and not body else "POST"
    head = [f"{method} {target} HTTP/1.1", "Host: soak.example", f"{wire.REQUEST_ID}: {name}",
            f"{wire.KEY}: {wire.KEY_SCHEME}key-0", f"{wire.DEADLINE}: {ROUTE_TIMEOUT_MS}",
            f"{wire.TOKENS}: 100,300"]
    if method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode(), body


def read_answer(connection):
    response = http.client.HTTPResponse(connection)
    try:
        response.begin()
    except (OSError, http.client.HTTPException) as error:
        return Outcome(0, b"", error=repr(error))
    try:
        return Outcome(response.status, response.read(), response.getheader("Retry-After"))
    except (OSError, http.client.HTTPException) as error:
        return Outcome(response.status, b"", error=repr(error))


def connect(port):
    connection = socket.create_connection(("127.0.0.1", port), timeout=15)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def exchange(connection, name, target):
    connection.sendall(b"".join(request_bytes(name, target)))
    return read_answer(connection)


class Stop:
    """When SIGTERM is sent; known once all callers are ready, which takes seconds on a busy machine."""

    def __init__(self):
        self.at = None
        self.is_known = threading.Event()

    def set(self, at):
        self.at = at
        self.is_known.set()

    def wait(self, seconds):
        """Waits until so many seconds after SIGTERM."""
        self.is_known.wait()
        time.sleep(max(0, self.at + seconds - time.monotonic()))


class Caller:
    """Sends the request of one case and keeps its outcome."""

    def __init__(self, port, case, stop):
        self.case = case
        self.port = port
        self.stop = stop
        self.is_ready = threading.Event()
        self.outcome = None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        try:
            self.outcome = self._send()
        except OSError as error:
            self.outcome = Outcome(0, b"", error=repr(error))
        finally:
            self.is_ready.set()

    def _connect(self):
        if self.case.connection in ("idle", "body"):
            connection = connect(self.port)
            # Refused by the gateway itself, so that it says nothing about the time that answers take.
            if self.case.connection == "idle":
                exchange(connection, f"first-{self.case.name()}", "/none/x")
            self.is_ready.set()
            return connection
        self.is_ready.set()
        is_late = self.case.connection == "late"
        self.stop.wait(random.uniform(*LATE_CONNECT_SECONDS) if is_late else self.case.send_at)
        return connect(self.port)

    def _send(self):
        case = self.case
        with self._connect() as connection:
            target = f"/{case.path}/x?take={case.take}"
            if case.connection != "body":
                self.stop.wait(case.send_at)
                return exchange(connection, case.name(), target)
            head, body = request_bytes(case.name(), target, b"x" * 400)
            pieces = [body[start::BODY_PIECES] for start in range(BODY_PIECES)]
            self.stop.wait(case.send_at - BODY_SECONDS)
            connection.sendall(head)
            for number, piece in enumerate(pieces, 1):
                self.stop.wait(case.send_at - BODY_SECONDS * (1 - number / BODY_PIECES))
                try:
                    connection.sendall(piece)
                except OSError:
                    break  # the gateway has answered, or has closed the connection
            return read_answer(connection)


def all_cases():
    for send_at in SEND_SECONDS:
        for take in TAKES_SECONDS:
            for path in PATHS:
                for connection in ("new", "idle", "late", "body"):
                    if connection != "late" or send_at >= PORT_CLOSED_SECONDS:
                        yield Case(path, connection, send_at, take)


def run_counts(folder):
    """Returns how often servers ran each request."""
    counts = {}
    for record in server_records(folder):
        if record["event"] == "run":
            counts[record["request"]] = counts.get(record["request"], 0) + 1
    return counts


def ended_by_own_limit(folder):
    """Returns the requests that lasted for the whole time of their route, as they would without a stop: on a busy machine,
    a stand-in's answer of 5 s takes more than 6 s. What the stop ends has lasted for less: it ends all requests 7.3 s
    after SIGTERM, and none that arrives later than 1.3 s after SIGTERM has the whole time of its route."""
    return {entry["request"] for entry in gateway_entries(folder / "gateway-0.log", "request")
            if entry["cause"] == "deadline" and int(entry["tookMs"]) >= ROUTE_TIMEOUT_MS}


def is_whole(case, outcome):
    if outcome.status != 200 or outcome.error:
        return False
    if case.path == "streams":
        return outcome.body == b"".join(event_text(case.name(), number)
                                        for number in range(1, EVENTS_PER_RUN + 1))
    return json.loads(outcome.body)["request"] == case.name()


def is_refusal(outcome):
    return (outcome.status == 503 and outcome.retry_after is not None
            and float(outcome.retry_after) <= MAX_RETRY_AFTER_SECONDS)


def failure(case, outcome, runs, served_until):
    """Returns what is wrong with this outcome; none: nothing."""
    if outcome is None:
        return "no outcome"
    text = f"{outcome.status} {outcome.error} {outcome.body[:200]!r}, {runs} runs"
    if is_whole(case, outcome):
        return f"run more than once: {text}" if runs > 1 and case.path == "writes" else None
    if runs > 0:
        return f"run without an answer: {text}"
    if outcome.status not in (0, 503) or (outcome.status == 503 and not is_refusal(outcome)):
        return f"neither an answer nor a refusal: {text}"
    if case.send_at < 0 or (case.connection == "idle" and case.path != "streams" and case.take == TAKES_SECONDS[0]
                            and case.send_at <= served_until):
        return f"not served although there is time: {text}"
    return None


def learn(port, takes):
    """Has the gateway see how long answers take."""
    def call(path, number):
        with connect(port) as connection:
            exchange(connection, f"history-{path}-{number}", f"/{path}/x?take={takes[number % len(takes)]}")
    threads = [threading.Thread(target=call, args=(path, number))
               for path in PATHS for number in range(HISTORY_CALLS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(title, takes, cases, served_until):
    """Stops a gateway that has seen answers that take so long. Returns what failed."""
    random.seed(SEED)
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, SEED, gateways=1, engines=3, registers=3,
                          drain_timeout_seconds=DRAIN_TIMEOUT_SECONDS)
        cluster.timeouts = dict.fromkeys(PATHS, ROUTE_TIMEOUT_MS)
        cluster.objectives = dict.fromkeys(PATHS, ROUTE_TIMEOUT_MS // 2)
        try:
            cluster.start()
            for server in cluster.servers:
                server.set_slots(SLOTS)
            port = cluster.gateways[0].port
            learn(port, takes) if takes else None
            stop = Stop()
            callers = [Caller(port, case, stop) for case in cases]
            for caller in callers:
                caller.is_ready.wait(20)
            stop.set(time.monotonic() + BODY_SECONDS + 0.6)
            stop.wait(0)
            process = cluster.gateways[0].process
            signalled_at = time.monotonic()  # later than planned on a busy machine
            process.send_signal(signal.SIGTERM)
            code = process.child.wait(20)
            took = time.monotonic() - signalled_at
            for caller in callers:
                caller.thread.join(20)
            runs = run_counts(cluster.folder)
            late_servers = ended_by_own_limit(cluster.folder)
        finally:
            cluster.close()
    failures = [] if code == 0 and took <= DRAIN_TIMEOUT_SECONDS else [f"exit code {code} after {took:.1f} s"]
    statuses = {}
    for caller in callers:
        wrong = failure(caller.case, caller.outcome, runs.get(caller.case.name(), 0), served_until)
        wrong = None if caller.case.name() in late_servers else wrong
        failures += [f"{caller.case.name()}: {wrong}"] if wrong else []
        status = caller.outcome.status if caller.outcome else None
        statuses[status] = statuses.get(status, 0) + 1
    print(f"{title}: {len(callers)} requests, by status {statuses}, exit code {code} after {took:.1f} s,"
          f" {len(late_servers)} ended by the time of their route, {len(failures)} failed")
    return [f"{title}: {line}" for line in failures]


def main():
    cases = list(all_cases())
    short_cases = [case for case in cases if case.take == TAKES_SECONDS[0]]
    failures = (play("unknown times", (), cases, SURELY_SERVED_SECONDS)
                + play("mixed times", TAKES_SECONDS, cases, SURELY_SERVED_SECONDS)
                + play("short times", TAKES_SECONDS[:1], short_cases, SURELY_SERVED_WITH_HISTORY_SECONDS))
    return scenario.exit_code(failures, 20)


if __name__ == "__main__":
    sys.exit(main())

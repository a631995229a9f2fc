"""Gateway between servers and callers that send or read slowly, or never come to an end.

usage: slow_peers.py

Guards against slow but sound streams and answers that are cut, and against stalled ones that are kept because a byte,
a comment or an empty line arrives now and then. The time limits are those of docs/design.md, section 9.7. Calls to
the same servers that are not slow are served meanwhile.
"""

import concurrent.futures
import http.client
import json
import socket
import sys
import tempfile
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak import dribble
from soak.backend import EVENTS_PER_RUN, event_text
from soak.cluster import Cluster
from soak.records import gateway_entries

SEED = 1
REQUESTS_PER_CASE = 2
IDLE_TIMEOUT_MS = 3000
HEADER_TIMEOUT_MS = 2000
CALL_TIMEOUT_SECONDS = 5
STREAM_TIMEOUT_SECONDS = 20
# At each of three servers: three allowed pauses of 0.7 s and less than a second for the prompt; at the last one, 5 s in which no
# other server can take over.
STALLED_STREAM_SECONDS = 3 * (2.1 + 0.9) + 5
# At each of three servers: 0.65 of the objective of 1.5 s, twice that when the estimate is high.
STALLED_HEAD_SECONDS = 3 * 2
# Time that a busy machine may add.
SCHEDULING_TOLERANCE_SECONDS = 4
HEALTHY_CALL_INTERVAL_SECONDS = 0.1
LARGE_ANSWER_BYTES = 5_000_000
BYTE_INTERVAL_SECONDS = 0.01
REFUSALS = {502, 503, 504}


def request_head(method, target, name, length=0, tokens="8000,30"):
    is_stream = target.startswith("/streams")
    timeout = STREAM_TIMEOUT_SECONDS if is_stream else CALL_TIMEOUT_SECONDS
    lines = [f"{method} {target} HTTP/1.1", "Host: soak.example", f"{wire.REQUEST_ID}: {name}",
             f"{wire.KEY}: {wire.KEY_SCHEME}key-0", f"{wire.DEADLINE}: {timeout * 1000}"]
    if method == "POST":
        lines.append(f"Content-Length: {length}")
    if is_stream:
        lines.append(f"{wire.TOKENS}: {tokens}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def method_of(target):
    return "GET" if target.startswith("/reads") else "POST"


def connect(cluster):
    connection = socket.create_connection(("127.0.0.1", cluster.gateways[0].port))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.settimeout(STREAM_TIMEOUT_SECONDS + SCHEDULING_TOLERANCE_SECONDS)
    return connection


def read_answer(connection, method):
    """Returns the status, the body and whether the body is complete."""
    response = http.client.HTTPResponse(connection, method=method)
    try:
        response.begin()
        return response.status, response.read(), True
    except http.client.IncompleteRead as error:
        return response.status, error.partial, False
    except (OSError, http.client.HTTPException) as error:
        return repr(error), b"", False


def call(cluster, target, name, **options):
    """Returns the status, the body, whether it is complete, and the seconds that it took."""
    started_at = time.monotonic()
    with connect(cluster) as connection:
        method = method_of(target)
        connection.sendall(request_head(method, target, name, **options))
        return *read_answer(connection, method), time.monotonic() - started_at


def events(name, count):
    return b"".join(event_text(name, number) for number in range(1, count + 1))


class HealthyCalls:
    """Calls on all routes, one after the other, until the end."""

    TARGETS = ("/reads/healthy", "/writes/healthy", "/streams/healthy")

    def __init__(self, cluster, phase):
        self.cluster = cluster
        self.phase = phase
        self.failures = []
        self.count = 0
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(target,)) for target in self.TARGETS]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def _run(self, target):
        number = 0
        while number == 0 or not self.is_over.wait(HEALTHY_CALL_INTERVAL_SECONDS):
            number += 1
            name = f"healthy-{self.phase}-{target[1]}-{number}"
            status, body, is_complete, seconds = call(self.cluster, target, name, tokens="8000,300")
            is_whole = body == events(name, EVENTS_PER_RUN) if target[1] == "s" else name.encode() in body
            if status != 200 or not is_complete or not is_whole:
                self.failures.append(f"{name}: {status}, complete: {is_complete}, {len(body)} bytes, {seconds:.1f} s")
            self.count += 1


def check_sound_stream(cluster, shape, name):
    status, body, is_complete, seconds = call(cluster, f"/streams/x?dribble={shape}", name)
    if status != 200 or not is_complete or body != events(name, dribble.SLOW_EVENTS):
        return f"{status}, complete: {is_complete}, {body.count(bytes([10, 10]))} events, {seconds:.1f} s"
    return None


def check_sound_answer(cluster, shape, name, path):
    status, body, is_complete, seconds = call(cluster, f"{path}?dribble={shape}", name)
    if status != 200 or not is_complete or json.loads(body)["request"] != name:
        return f"{status}, complete: {is_complete}, {body!r}, {seconds:.1f} s"
    return None


def check_stalled_stream(cluster, shape, name):
    """The stream may have gone on at other servers, so that its events are some in order from the first on."""
    status, body, is_complete, seconds = call(cluster, f"/streams/x?dribble={shape}", name)
    print(f"{name}: {status} after {seconds:.1f} s, {body.count(bytes([10, 10]))} events")
    if is_complete and status not in REFUSALS:
        return f"{status}, looks complete after {seconds:.1f} s"
    if status == 200 and body != events(name, body.count(b"\n\n")):
        return f"not a beginning of the stream: {body!r}"
    limit = STALLED_HEAD_SECONDS if shape == dribble.ENDLESS_HEAD else STALLED_STREAM_SECONDS
    if status not in REFUSALS | {200} or seconds > limit + SCHEDULING_TOLERANCE_SECONDS:
        return f"{status} after {seconds:.1f} s"
    return None


def check_stalled_answer(cluster, shape, name, path):
    status, _, _, seconds = call(cluster, f"{path}?dribble={shape}", name)
    print(f"{name}: {status} after {seconds:.1f} s")
    if status not in REFUSALS or seconds > CALL_TIMEOUT_SECONDS + SCHEDULING_TOLERANCE_SECONDS:
        return f"{status} after {seconds:.1f} s"
    return None


def send_bytewise(connection, data):
    for byte in data:
        connection.sendall(bytes([byte]))
        time.sleep(BYTE_INTERVAL_SECONDS)


def check_bytewise_request(cluster, name, path):
    """A head below the header limit and a body, a byte at a time."""
    body = b"x" * 100
    with connect(cluster) as connection:
        head = request_head("POST", path, name, len(body), tokens="8000,300")
        connection.sendall(head[:-40])
        send_bytewise(connection, head[-40:] + body)
        status, answer, is_complete = read_answer(connection, "POST")
    if status != 200 or not is_complete or name.encode() not in answer:
        return f"{status}, complete: {is_complete}"
    return None


def check_unfinished_request(name, cluster, data, rest_interval, limit_ms):
    """Sends data, then a byte each rest_interval, until the gateway refuses the request."""
    started_at = time.monotonic()
    with connect(cluster) as connection:
        connection.sendall(data)
        connection.settimeout(rest_interval)
        while time.monotonic() - started_at < STREAM_TIMEOUT_SECONDS:
            try:
                connection.recv(1, socket.MSG_PEEK)
                break
            except TimeoutError:
                if rest_interval < limit_ms / 1000:
                    connection.sendall(b"x")
        seconds = time.monotonic() - started_at
        status, _, _ = read_answer(connection, "POST")
    print(f"{name}: {status} after {seconds:.1f} s")
    if status != 408 or not 0 <= seconds - limit_ms / 1000 + 0.1 < SCHEDULING_TOLERANCE_SECONDS:
        return f"{status} after {seconds:.1f} s"
    return None


def check_bytewise_body(name, cluster, path, limit_seconds):
    """Sends a body below the idle limit, a byte each tenth of a second, until the gateway refuses the request."""
    return check_unfinished_request(name, cluster, request_head("POST", path, name, 100_000, tokens="8000,300"), 0.1,
                                    limit_seconds * 1000)


def check_slow_reader(cluster, name):
    """Reads a large answer in pieces, with pauses below the idle limit."""
    with connect(cluster) as connection:
        connection.sendall(request_head("GET", f"/reads/x?pad={LARGE_ANSWER_BYTES}", name))
        response = http.client.HTTPResponse(connection, method="GET")
        response.begin()
        size = 0
        while piece := response.read(LARGE_ANSWER_BYTES // 8):
            size += len(piece)
            time.sleep(IDLE_TIMEOUT_MS / 1000 / 4)
        response.close()
    return None if size > LARGE_ANSWER_BYTES else f"{response.status}, {size} bytes"


def count_cuts(cluster):
    return len(gateway_entries(cluster.folder / "gateway-0.log", "connectionCut"))


def check_caller_that_does_not_read(cluster, name):
    """The gateway ends the connection when the idle limit has passed without progress."""
    cuts_before = count_cuts(cluster)
    with connect(cluster) as connection:
        connection.sendall(request_head("GET", f"/reads/x?pad={LARGE_ANSWER_BYTES}", name))
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS + 2 * IDLE_TIMEOUT_MS / 1000 + SCHEDULING_TOLERANCE_SECONDS
        while time.monotonic() < deadline:
            if count_cuts(cluster) > cuts_before:
                return None
            time.sleep(0.1)
    return "the connection is kept"


def sound_cases(cluster):
    for shape in dribble.SOUND_STREAMS:
        yield shape, lambda name, shape=shape: check_sound_stream(cluster, shape, name)
    for shape in dribble.SOUND_ANSWERS:
        for path in ("/reads/x", "/writes/x"):
            yield f"{shape}-{path[1]}", lambda name, shape=shape, path=path: check_sound_answer(
                cluster, shape, name, path)
    for path in ("/writes/x", "/streams/x"):
        yield f"bytewiseRequest-{path[1]}", lambda name, path=path: check_bytewise_request(cluster, name, path)
    yield "slowReader", lambda name: check_slow_reader(cluster, name)


def caller_cases(cluster):
    yield "endlessRequestHead", lambda name: check_unfinished_request(
        name, cluster, request_head("POST", "/writes/x", name)[:-4] + b"\r\nLong: ", 0.1, HEADER_TIMEOUT_MS)
    yield "stalledRequestBody", lambda name: check_unfinished_request(
        name, cluster, request_head("POST", "/writes/x", name, 100) + b"x", IDLE_TIMEOUT_MS / 1000 * 2, IDLE_TIMEOUT_MS)
    yield "bytewiseRequestBody", lambda name: check_bytewise_body(name, cluster, "/writes/x", CALL_TIMEOUT_SECONDS)
    yield "bytewiseBodyWithoutRoute", lambda name: check_bytewise_body(
        name, cluster, "/nowhere/x", CALL_TIMEOUT_SECONDS)
    yield "unreadAnswer", lambda name: check_caller_that_does_not_read(cluster, name)


def stalled_cases(cluster):
    for shape in [*dribble.STALLED_STREAMS, dribble.ENDLESS_HEAD]:
        yield shape, lambda name, shape=shape: check_stalled_stream(cluster, shape, name)
    for shape in [*dribble.STALLED_ANSWERS, dribble.ENDLESS_HEAD]:
        for path in ("/reads/x", "/writes/x"):
            yield f"{shape}-{path[1]}", lambda name, shape=shape, path=path: check_stalled_answer(
                cluster, shape, name, path)


def run_phase(cluster, phase, cases):
    """Runs all cases at the same time and yields their failures."""
    repeated_cases = [(case, check) for case, check in cases for _ in range(REQUESTS_PER_CASE)]
    names_and_checks = [(f"{case}-{number}", check) for number, (case, check) in enumerate(repeated_cases)]
    with HealthyCalls(cluster, phase) as healthy:
        with concurrent.futures.ThreadPoolExecutor(max(len(names_and_checks), 1)) as pool:
            results = [(name, pool.submit(check, name)) for name, check in names_and_checks]
        for name, result in results:
            if result.result():
                yield f"{name}: {result.result()}"
    print(f"{phase}: {len(names_and_checks)} requests, {healthy.count} healthy calls")
    yield from healthy.failures


def check_plain_stream(cluster, name):
    status, body, is_complete, seconds = call(cluster, "/streams/x", name, tokens="8000,300")
    if status != 200 or not is_complete or body != events(name, EVENTS_PER_RUN):
        return f"{status}, complete: {is_complete}, {len(body)} bytes, {seconds:.1f} s"
    return None


def run_dribbled_reports(cluster):
    """Runs begin and end although no probe of a load is answered in time."""
    for server in cluster.servers:
        server.set_faults({"dribbledReport": 1})
    cases = [("plainStream", lambda name: check_plain_stream(cluster, name))] * 3
    yield from run_phase(cluster, "dribbledReports", cases)
    for server in cluster.servers:
        server.set_faults({})


def main():
    failures = []
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, SEED, gateways=1, engines=3, registers=6)
        cluster.limits = wire.limits(IDLE_TIMEOUT_MS, HEADER_TIMEOUT_MS)
        try:
            cluster.start()
            failures += run_phase(cluster, "sound", list(sound_cases(cluster)))
            failures += run_phase(cluster, "callers", list(caller_cases(cluster)))
            failures += run_dribbled_reports(cluster)
            failures += run_phase(cluster, "stalled", list(stalled_cases(cluster)))
            failures += scenario.check_running(cluster.gateways[0])
        finally:
            cluster.close()
    return scenario.exit_code(failures)


if __name__ == "__main__":
    sys.exit(main())

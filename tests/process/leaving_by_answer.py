"""Servers that say only in their answers that they leave.

usage: leaving_by_answer.py [FOLDER]

Guards against requests and probes that a gateway sends to such a server after the time limit. The entries of the
servers say ready all the while, as those of servers that renew them without a change do. In the first phase the
store can be read, in the second it cannot; in the third all servers leave, and each request is refused at once.
A header with another value makes no server leave. A server that returns under another id serves again. The logs are
kept in FOLDER.
"""

import collections
import http.client
import itertools
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.cluster import Cluster
from soak.limits import HEARTBEAT_TIMEOUT_SECONDS, MAX_SERVER_LIST_DELAY_SECONDS
from soak.records import server_records

CALLERS = 16
CALL_INTERVAL_SECONDS = 0.4
TIMEOUT_SECONDS = 5
PHASE_SECONDS = MAX_SERVER_LIST_DELAY_SECONDS + 3
# Longer than the phase without the store, so that requests are not refused for want of proved keys.
KEY_REVOCATION_SECONDS = 60
MAX_REFUSAL_SECONDS = 1
MAX_RETURN_SECONDS = 10
# A busy machine may delay a server's log line by this much.
LOG_DELAY_TOLERANCE_SECONDS = 0.3
# So that two are left in the second phase: one alone had all its slots taken at times, and then refuses requests.
REGISTERS = 4
METHODS = {"reads": "GET", "writes": "POST", "streams": "POST"}

Answer = collections.namedtuple("Answer", "request kind status server sent_at ended_at")


class Load:
    """An open load of calls and streams; records each answer."""

    def __init__(self, port):
        self.port = port
        self.answers = []
        self.numbers = itertools.count()
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(index,), daemon=True)
                        for index in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, index):
        self.is_over.wait(index * CALL_INTERVAL_SECONDS / CALLERS)
        while not self.is_over.is_set():
            started_at = time.monotonic()
            for kind in METHODS if index % 4 == 0 else ("reads", "writes"):
                self.answers.append(self.send(kind))
            self.is_over.wait(max(0, started_at + CALL_INTERVAL_SECONDS - time.monotonic()))

    def send(self, kind, key="key-0"):
        request = f"leaving-{next(self.numbers)}"
        headers = {"Host": "soak.example", wire.REQUEST_ID: request,
                   wire.KEY: wire.KEY_SCHEME + key, wire.DEADLINE: str(TIMEOUT_SECONDS * 1000), wire.TOKENS: "8000,300"}
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_SECONDS + 1)
        sent_at = time.monotonic()
        server = None
        try:
            connection.request(METHODS[kind], f"/{kind}/x", headers=headers)
            response = connection.getresponse()
            server = response.getheader(wire.SERVER_ID)
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            status = repr(error)
        finally:
            connection.close()
        return Answer(request, kind, status, server, sent_at, time.monotonic())

    def close(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join(TIMEOUT_SECONDS + 2)


class Heartbeats:
    """Writes the entries of all servers again and again, unchanged except for their number."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.is_over.wait(HEARTBEAT_TIMEOUT_SECONDS / 3):
            for server in self.cluster.servers:
                if server.transition_lock.acquire(blocking=False):
                    server.publish()
                    server.transition_lock.release()

    def close(self):
        self.is_over.set()
        self.thread.join(2)


def late_requests(folder, answers):
    """Returns when each leaving server first had a request that it answered by saying so, and the number of requests
    and probes that it got later than the limit after that."""
    streams = {answer.request for answer in answers if answer.kind == "streams"}
    left = set()
    noticed_at = {}
    late = collections.Counter()
    for record in sorted(server_records(folder), key=lambda record: record["at"]):
        server = record["server"]
        if record["event"] == "leaving" and record["value"] == "1":
            left.add(server)
        # The answer of a call is sent when the call ends, that of a stream when its run begins.
        is_request = record["event"] in ("arrived", "asked")
        if server not in left or not (is_request or record["event"] in ("run", "ended")):
            continue
        if record["event"] == "ended" and record["request"] in streams:
            continue
        limit = noticed_at.setdefault(server, record["at"]) + MAX_SERVER_LIST_DELAY_SECONDS
        if is_request and record["at"] > limit + LOG_DELAY_TOLERANCE_SECONDS:
            late[server, record["event"]] += 1
    return noticed_at, late


def check_garbled(cluster, load):
    """A header with another value makes no server leave, and is logged once."""
    server = cluster.servers[-1]
    server.set_leaving("yes")
    set_at = time.monotonic()
    time.sleep(PHASE_SECONDS)
    server.set_leaving(None)
    later = sum(answer.server == server.name and answer.sent_at > set_at + MAX_SERVER_LIST_DELAY_SECONDS
                for answer in load.answers)
    lines = (cluster.folder / "gateway-0.log").read_text().count('"leavingNoticeUnreadable"')
    print(f"garbled header: {later} requests served later by the server, {lines} log lines")
    if later == 0:
        yield "a server with a garbled header gets no requests"
    if lines != 1:
        yield f"{lines} log lines about one garbled header"


def leave(servers, load):
    for server in servers:
        server.set_leaving("1")
    started_at = time.monotonic()
    time.sleep(PHASE_SECONDS)
    return [answer for answer in load.answers if answer.sent_at > started_at]


def check_served(name, answers):
    statuses = collections.Counter(answer.status for answer in answers)
    print(f"{name}: {dict(statuses)}")
    if set(statuses) != {200}:
        failed = [answer.request for answer in answers if answer.status != 200]
        yield f"{name}: answers {dict(statuses)}, such as {failed[:3]}"


def check_refused(answers, notice_end):
    """Requests sent when the gateway knows that all servers leave are refused as not run, without a delay."""
    after = [answer for answer in answers if answer.sent_at > notice_end]
    statuses = collections.Counter(answer.status for answer in after)
    slowest = max((answer.ended_at - answer.sent_at for answer in after), default=0)
    print(f"all servers leave: {dict(statuses)}, slowest {slowest:.2f} s")
    if set(statuses) != {503} or slowest > MAX_REFUSAL_SECONDS:
        yield f"all servers leave: answers {dict(statuses)}, slowest {slowest:.2f} s"


def check_return(server, load):
    with server.transition_lock:
        server.process.kill()
        server.withdraw()
        server.start()
    deadline = time.monotonic() + MAX_RETURN_SECONDS
    while time.monotonic() < deadline:
        if any(answer.server == server.name and answer.status == 200 for answer in load.answers):
            return
        time.sleep(0.1)
    yield f"the server that returned as {server.name} gets no requests"


def play(cluster, load):
    engines = [server for server in cluster.servers if server.service == "engine"]
    registers = [server for server in cluster.servers if server.service == "register"]
    yield from check_garbled(cluster, load)
    yield from check_served("one of each service leaves", leave([engines[0], registers[0]], load))
    cluster.store.fault = "down"
    time.sleep(1)
    yield from check_served("another leaves without the store", leave([engines[1], registers[1]], load))
    answers = leave([engines[2], *registers[2:]], load)
    yield from check_refused(answers, time.monotonic() - PHASE_SECONDS + MAX_SERVER_LIST_DELAY_SECONDS)
    cluster.store.fault = None
    time.sleep(PHASE_SECONDS)
    yield from check_return(registers[0], load)


def main():
    with scenario.working_folder() as folder:
        cluster = Cluster(folder, 1, gateways=1, engines=3, registers=REGISTERS)
        cluster.gateways[0].max_key_revocation_seconds = KEY_REVOCATION_SECONDS
        try:
            cluster.start()
            heartbeats = Heartbeats(cluster)
            load = Load(cluster.gateways[0].port)
            time.sleep(1)
            failures = list(play(cluster, load))
            load.close()
            heartbeats.close()
            failures += scenario.check_running(cluster.gateways[0])
        finally:
            cluster.close()
        noticed_at, late = late_requests(cluster.folder, load.answers)
    print(f"{len(load.answers)} answers, {len(noticed_at)} servers left, late requests {sum(late.values())}:"
          f" {dict(late)}")
    if len(noticed_at) != len(cluster.servers):
        failures.append(f"only {len(noticed_at)} of {len(cluster.servers)} servers answered that they leave")
    if late:
        failures.append(f"{sum(late.values())} requests or probes later than the limit")
    return scenario.exit_code(failures)


if __name__ == "__main__":
    sys.exit(main())

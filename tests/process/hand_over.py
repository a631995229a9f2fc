"""Callers that go from one gateway to another, whose first gateway comes back.

usage: hand_over.py CASE [FOLDER]

Guards against work that two gateways do for one caller, and against one that meddles with the runs of the other. Streams with
copies and calls are under way at the first gateway. In the case `frozen` it is stopped and woken, in `cut_off` its links to the
servers and the store hold all bytes back for a while, in `restarted` it is killed and started again under the same name while the
servers still see its old connections open. Half of the callers of streams go to the second gateway under new ids meanwhile.

Each gateway reaches the servers by addresses and ports of its own, so that the servers' logs tell who sent what. No call that may
not be repeated runs twice, no two orders for a copy of one run are open at a time, copies are released by the gateway of their run
only, once at most, and no run that was left works for more than 0.4 s from when its gateway can act again.
"""

import base64
import collections
import contextlib
import http.client
import itertools
import json
import signal
import socket
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak import http_standin
from soak.backend import EVENTS_PER_RUN, event_text
from soak.callers import NOT_RUN_STATUSES
from soak.cluster import Cluster
from soak.gateway import is_ready_at
from soak.ports import wait_for_port
from soak.process import Process
from system import BUILD

SEED = 1
STREAMS = 8
WRITES = 6
STREAM_SECONDS = 10
WRITE_SECONDS = 1.5
STREAM_DEADLINE_MS = 24000
WRITE_DEADLINE_MS = 5000
FIRST_EVENTS = 3
WAIT_SECONDS = 15
MAX_OVERLAP_SECONDS = 0.4
# A gateway gives up an order for a copy after this time.
COPY_TIMEOUT_SECONDS = 1.5
# A busy machine may delay a server by this much.
TOLERANCE_SECONDS = 0.3


class SetupError(Exception):
    """The situation that a case plays did not come about."""


def wait_until(condition, what):
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise SetupError(f"not in time: {what}")
        time.sleep(0.02)


class StoreView:
    """The store as one gateway sees it: with other addresses of the servers."""

    def __init__(self, store, addresses):
        class Handler(http_standin.Handler):
            def handle_request(self, body):
                store.serve(self, body)

            def answer_json(self, status, value, headers=None):
                super().answer_json(status, translate(value, addresses), headers)

        self.server = http_standin.Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


def translate(answer, addresses):
    """Replaces the addresses in the servers' entries of an answer of the store."""
    translated = dict(answer)
    for name in ("items", "events"):
        if name in answer:
            translated[name] = [translate_item(item, addresses) for item in answer[name]]
    return translated


def translate_item(item, addresses):
    if "value" not in item or not item["key"].startswith(wire.SERVER_PREFIX):
        return item
    entry = json.loads(base64.b64decode(item["value"]))
    entry["address"] = addresses[entry["address"]]
    return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}


class HandOverCluster(Cluster):
    """A cluster in which each gateway has links to the servers of its own."""

    def _start_proxy(self):
        addresses = [{} for _ in self.gateways]
        routes = []
        for server in self.servers:
            server.extra_ports = [self.ports.allocate() for _ in self.gateways[1:]]
            server.address = f"127.0.0.1:{self.ports.allocate()}"
            links = [server.address] + [f"127.0.0.1:{self.ports.allocate()}" for _ in self.gateways[1:]]
            for index, (link, port) in enumerate(zip(links, [server.port, *server.extra_ports])):
                addresses[index][server.address] = link
                routes.append(f"--route={self.link_route(server, index)}@{link}=127.0.0.1:{port}")
        self.views = [StoreView(self.store, of_gateway) for of_gateway in addresses]
        for gateway, view in zip(self.gateways, self.views):
            gateway.store_port = self.ports.allocate()
            routes.append(f"--route={gateway.store_route}@127.0.0.1:{gateway.store_port}=127.0.0.1:{view.port}")
        self.proxy = Process(self.journal, "proxy",
                             [BUILD / "fakes/fault-proxy", f"--listen=127.0.0.1:{self.control_port}", *routes],
                             self.folder / "proxy.log")
        self.proxy.start()
        wait_for_port(self.control_port)

    @staticmethod
    def link_route(server, gateway):
        return f"{server.route}-{gateway}"

    def set_server_links(self, gateway, faults):
        for server in self.servers:
            self.set_link(self.link_route(server, gateway), faults)

    def gateway_of_port(self, port):
        return next(index for server in self.servers
                    for index, own in enumerate([server.port, *server.extra_ports]) if own == port)

    def records(self, *events):
        """Returns what the servers have logged, in order."""
        records = []
        for path in self.folder.glob("server-*.jsonl"):
            text = path.read_text()
            records += map(json.loads, text[:text.rfind("\n") + 1].splitlines())
        return sorted((one for one in records if one["event"] in events), key=lambda one: one["at"])


class Request:
    """A request to one gateway, on a thread of its own. The index of the gateway is the end of its id."""

    def __init__(self, cluster, gateway, name, kind, seconds):
        self.id = f"{name}-{gateway}"
        self.kind = kind
        self.events = 0
        self.status = None
        self.is_complete = False
        self.failure = None
        headers = {"Host": "soak.example", wire.REQUEST_ID: self.id, wire.KEY: wire.KEY_SCHEME + "key-0",
                   wire.DEADLINE: str(STREAM_DEADLINE_MS if kind == "streams" else WRITE_DEADLINE_MS)}
        if kind == "streams":
            headers[wire.TOKENS] = "8000,300"
        self.connection = http.client.HTTPConnection("127.0.0.1", cluster.gateways[gateway].port,
                                                     timeout=STREAM_DEADLINE_MS / 1000 + 5)
        self.connection.connect()
        self.socket = self.connection.sock
        self.thread = threading.Thread(target=self._run, args=(f"/{kind}/x?take={seconds}", headers), daemon=True)
        self.thread.start()

    def _run(self, path, headers):
        try:
            self.connection.request("POST", path, self.id, headers)
            response = self.connection.getresponse()
            self.status = response.status
            if response.status == 200 and self.kind == "streams":
                self._read_events(response)
            else:
                response.read()
                self.is_complete = response.status == 200
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            self.connection.close()

    def _read_events(self, response):
        buffer = b""
        while data := response.read1(65536):
            buffer += data
            while b"\n\n" in buffer:
                text, buffer = buffer.split(b"\n\n", 1)
                if text + b"\n\n" != event_text(self.id, self.events + 1):
                    self.failure = f"{text!r} after event {self.events}"
                    return
                self.events += 1
        self.is_complete = self.events == EVENTS_PER_RUN

    def leave(self):
        """Ends the caller's connection, unless the gateway has ended it."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def is_over(self):
        return not self.thread.is_alive()


class Play:
    def __init__(self, cluster):
        self.cluster = cluster
        self.requests = []
        self.left = []
        self.stayed = []
        self.moved = []
        self.acts_at = None
        self.cut_at = None
        self.killed_at = None

    def send(self, gateway, kind, count, name):
        seconds = STREAM_SECONDS if kind == "streams" else WRITE_SECONDS
        sent = [Request(self.cluster, gateway, f"{name}{number}", kind, seconds) for number in range(count)]
        self.requests += sent
        return sent

    def begin(self):
        """Has streams with snapshots, and calls that have begun, at the first gateway."""
        for server in self.cluster.servers:
            server.set_faults({"slowCopies": 1})
        streams = self.send(0, "streams", STREAMS, "s")
        self.wait_for_events(streams)
        self._withdraw_holder({stream.id for stream in streams})
        wait_until(lambda: self.cluster.records("copied"), "a copy that was ordered")
        writes = self.send(0, "writes", WRITES, "w")
        self._wait_for_runs(writes)
        self.stayed = streams[STREAMS // 2:]
        self.left = streams[:STREAMS // 2]

    def _withdraw_holder(self, requests):
        """The engine that holds most of the copies says that it leaves, so that other copies are ordered."""
        holders = collections.Counter(run["copyTo"] for run in self.cluster.records("run") if run["request"] in requests)
        address = holders.most_common(1)[0][0]
        holder = next(server for server in self.cluster.servers if server.address == address)
        holder.state = wire.DRAINING
        holder.publish()

    @staticmethod
    def wait_for_events(streams):
        wait_until(lambda: all(stream.events >= FIRST_EVENTS for stream in streams), "first events")

    def _wait_for_runs(self, requests):
        ids = {request.id for request in requests}
        wait_until(lambda: ids <= {run["request"] for run in self.cluster.records("run")}, "runs of calls")

    def hand_over(self):
        """Half of the callers of streams go to the second gateway, others send calls to it. Calls that begin at the first
        one meanwhile are left."""
        calls = self.send(0, "writes", WRITES, "left-w")
        for request in self.left + calls:
            request.leave()
        self.moved = self.send(1, "streams", len(self.left), "s") + self.send(1, "writes", WRITES, "w")
        self.wait_for_events([request for request in self.moved if request.kind == "streams"])

    def finish(self):
        for request in self.requests:
            request.thread.join(STREAM_DEADLINE_MS / 1000 + 5)
        wait_until(lambda: not self._running(), "the end of all runs")

    def _running(self):
        counts = collections.Counter()
        for record in self.cluster.records("run", "ended"):
            counts[record["request"], record["server"]] += 1 if record["event"] == "run" else -1
        return [key for key, count in counts.items() if count > 0]


def play_frozen(play):
    process = play.cluster.gateways[0].process
    process.pause()
    play.hand_over()
    play.acts_at = time.monotonic()
    process.resume()


def play_cut_off(play):
    cluster = play.cluster
    play.cut_at = time.monotonic()
    cluster.set_server_links(0, {"freeze": True})
    cluster.set_link(cluster.gateways[0].store_route, {"freeze": True})
    play.hand_over()
    cluster.set_link(cluster.gateways[0].store_route, {"freeze": False})
    cluster.set_server_links(0, {"freeze": False})
    play.acts_at = time.monotonic()


def play_restarted(play):
    cluster = play.cluster
    gateway = cluster.gateways[0]
    cluster.set_server_links(0, {"silentExisting": True})
    play.killed_at = time.monotonic()
    gateway.restart(signal.SIGKILL)
    wait_until(lambda: is_ready_at(gateway.ready_port), "the restarted gateway")
    play.hand_over()
    play.moved += play.send(0, "streams", 2, "again-s") + play.send(0, "writes", WRITES, "again-w")


def owner_of(request):
    return int(request.rsplit("-", 1)[1])


def check_answers(play):
    for request in play.requests:
        if request.failure:
            yield f"{request.id}: {request.failure}"
        if not request.is_over():
            yield f"{request.id} has no end"
    for request in play.moved:
        if not request.is_complete:
            yield f"{request.id}: {request.status}, {request.events} events, at a gateway that was not disturbed"


def check_single_runs(play):
    runs = collections.Counter(run["request"] for run in play.cluster.records("run"))
    for request in play.requests:
        if request.kind == "writes" and runs[request.id] > 1:
            yield f"{request.id} ran {runs[request.id]} times"
        if request.status in NOT_RUN_STATUSES and runs[request.id] and request.kind == "writes":
            yield f"{request.id} ran and was answered {request.status}"


def check_senders(play):
    for record in play.cluster.records("arrived", "copyOrdered"):
        if play.cluster.gateway_of_port(record["port"]) != owner_of(record["request"]):
            yield f"{record['event']} of {record['request']} came from the other gateway"


def check_orders(play):
    # Orders that were given up during a cut arrive together with the next ones when it ends.
    held_back = 0
    if play.cut_at and play.acts_at - play.cut_at > COPY_TIMEOUT_SECONDS:
        held_back = play.acts_at + TOLERANCE_SECONDS
    open_orders = collections.Counter()
    for record in play.cluster.records("copyOrdered", "copyOrderEnded"):
        open_orders[record["request"]] += 1 if record["event"] == "copyOrdered" else -1
        if open_orders[record["request"]] > 1 and not (play.cut_at and play.cut_at < record["at"] < held_back):
            yield f"two orders for a copy of {record['request']} at a time"


def check_releases(play):
    cluster = play.cluster
    request_of = {}
    copies = collections.Counter()
    begun = {request.id for request in play.left + play.stayed}
    for record in cluster.records("copied", "released"):
        handle = record["handle"]
        if record["event"] == "copied":
            request_of[handle] = record["request"]
            copies[handle] += 1
            continue
        copies[handle] -= 1
        if copies[handle] < 0:
            yield f"{handle} was released without a copy, or twice"
        elif cluster.gateway_of_port(record["port"]) != owner_of(request_of[handle]):
            yield f"{handle} was released by the other gateway"
        elif play.killed_at and record["at"] > play.killed_at and request_of[handle] in begun:
            yield f"{handle} was released by the next process of its gateway"


def check_overlaps(play):
    """The order of attempts does not matter, since requests that were held back arrive at their servers all at once."""
    if play.acts_at is None:
        return
    left = {request.id for request in play.left}
    ends = {(end["request"], end["server"]): end["at"] for end in play.cluster.records("ended")}
    runs = collections.defaultdict(list)
    for run in play.cluster.records("run"):
        if run["path"].startswith("/streams"):
            runs[run["request"]].append((max(run["at"], play.acts_at), ends[run["request"], run["server"]], run["server"]))
    for request, of_request in runs.items():
        for start, end, server in of_request:
            if request in left and end - start > MAX_OVERLAP_SECONDS + TOLERANCE_SECONDS:
                yield f"{request} was left and worked at {server} for {end - start:.2f} s"
        for one, other in itertools.combinations(of_request, 2):
            overlap = min(one[1], other[1]) - max(one[0], other[0])
            if overlap > MAX_OVERLAP_SECONDS + TOLERANCE_SECONDS:
                yield f"{request} worked at {one[2]} and {other[2]} for {overlap:.2f} s"


CASES = {"frozen": play_frozen, "cut_off": play_cut_off, "restarted": play_restarted}
CHECKS = (check_answers, check_single_runs, check_senders, check_orders, check_releases, check_overlaps)


def run_case(name, folder):
    cluster = HandOverCluster(folder, SEED, gateways=2, engines=5, registers=5)
    try:
        cluster.start()
        play = Play(cluster)
        play.begin()
        CASES[name](play)
        play.finish()
        failures = [failure for check in CHECKS for failure in check(play)]
        for event in ("run", "copyOrdered", "copied", "released"):
            print(f"{event}: {len(cluster.records(event))}")
        print(f"stayed: {[(request.status, request.events) for request in play.stayed]}")
        if name != "restarted" and not cluster.records("released"):
            failures.append("no copy was released")
        return failures
    finally:
        cluster.close()


def main():
    name = sys.argv[1]
    print(f"seed {SEED}, case {name}")
    with scenario.working_folder(2) as folder:
        failures = run_case(name, folder)
    return scenario.exit_code(failures)


if __name__ == "__main__":
    sys.exit(main())

"""Requests on kept-alive connections that cross the end of a stopping gateway.

usage: crossing_stop.py

Guards against requests that a stopping gateway reads and discards, or reads and leaves without an answer when it ends.
Hundreds of callers keep idle connections and send one request each, a few milliseconds apart, around the times at which
the gateway closes idle connections and ends: as soon as no request is expected, and at its limit while one is expected.
In each case the gateway runs freely, gets little processor time, or has a queue that lags because a new configuration
comes every few milliseconds. Each request ends with one whole answer, with a
refusal although no server has run it, or with a closed connection although no server has run it: at once, or by the
reset that tells that the request was not read.
"""

import pathlib
import random
import select
import signal
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "platform" / "standins"), str(ROOT / "tools" / "lib")]
import late_in_stop  # noqa: E402
import scenario  # noqa: E402
from soak.cluster import Cluster  # noqa: E402
from soak.limits import DRAIN_TIMEOUT_SECONDS  # noqa: E402
from soak.records import gateway_entries  # noqa: E402

SEED = 1
CALLER_COUNT = 400
TAKE_SECONDS = 0.02
# After SIGTERM: from before the port is closed until after the gateway's end.
EARLY_SECONDS = (2.9, 4.3)
LATE_SECONDS = (3.6, 4.9)
PORT_CLOSED_SECONDS = 3
# A caller that waits for this long without a reset takes its request for lost.
AT_ONCE_SECONDS = 0.2
# The gateway runs for a fifth of the time.
PAUSED_SECONDS = (0.1, 0.3)
RUN_SHARE = 0.25
STORM_KEYS = 12000
STORM_INTERVAL_SECONDS = 0.02
LOST_PHASES = ("closing", "discarded", "response", "body", "head")


class TimedCaller(late_in_stop.Caller):
    """Also keeps how long the request was under way; 0: the connection had been closed before it was sent."""

    took = 0

    def _send(self):
        with self._connect() as connection:
            self.stop.wait(self.case.send_at)
            request = b"".join(late_in_stop.request_bytes(self.case.name(), self._target()))
            is_closed = bool(select.select([connection], [], [], 0)[0])
            connection.sendall(request)
            sent_at = time.monotonic()
            outcome = late_in_stop.read_answer(connection)
            self.took = 0 if is_closed else time.monotonic() - sent_at
            return outcome

    def _target(self):
        return f"/{self.case.path}/x?take={self.case.take}"


class Throttle:
    """Pauses a process in short turns."""

    def __init__(self, process):
        self.process = process
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.is_over.is_set() and self.process.is_running():
            paused = random.uniform(*PAUSED_SECONDS)
            self.process.pause()
            time.sleep(paused)
            self.process.resume()
            self.is_over.wait(paused * RUN_SHARE)

    def end(self):
        self.is_over.set()
        self.thread.join()


class ConfigStorm:
    """Publishes a large configuration again and again, so that the gateway's queue lags."""

    def __init__(self, cluster):
        self.cluster = cluster
        cluster.accounts["large"] = {f"key-of-a-large-account-{number}" for number in range(STORM_KEYS)}
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        while not self.is_over.wait(STORM_INTERVAL_SECONDS):
            self.cluster.publish_config()

    def end(self):
        self.is_over.set()
        self.thread.join()


TROUBLES = {"free": None, "throttled": lambda cluster: Throttle(cluster.gateways[0].process),
            "lagging": ConfigStorm}


def cases(first, last):
    for number in range(CALLER_COUNT):
        path = "writes" if number % 2 else "reads"
        send_at = first + (last - first) * number / CALLER_COUNT
        yield late_in_stop.Case(path, "idle", round(send_at, 4), TAKE_SECONDS)


def expect_request(port, stop):
    """Connects before the port is closed and sends nothing, so that the gateway waits until its limit."""
    stop.wait(PORT_CLOSED_SECONDS - 0.5)
    with late_in_stop.connect(port) as connection:
        connection.recv(1)


def failure(caller, runs):
    """Returns what is wrong with the outcome of this request; none: nothing."""
    outcome = caller.outcome
    if outcome is None:
        return "no outcome"
    wrong = late_in_stop.failure(caller.case, outcome, runs, served_until=0)
    is_reset = "ConnectionReset" in outcome.error or "BrokenPipe" in outcome.error
    if wrong is None and outcome.status == 0 and not is_reset and caller.took > AT_ONCE_SECONDS:
        return f"closed without a reset after {caller.took:.2f} s: {outcome.error}"
    return wrong


def play(trouble, title, seconds, keeps_expecting):
    """Stops a gateway under these requests. Returns what failed."""
    random.seed(SEED)
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, SEED, gateways=1, engines=1, registers=4)
        try:
            cluster.start()
            for server in cluster.servers:
                server.set_slots(late_in_stop.SLOTS)
            port = cluster.gateways[0].port
            process = cluster.gateways[0].process
            stop = late_in_stop.Stop()
            callers = [TimedCaller(port, case, stop) for case in cases(*seconds)]
            for caller in callers:
                caller.is_ready.wait(20)
            if keeps_expecting:
                threading.Thread(target=expect_request, args=(port, stop), daemon=True).start()
            process.send_signal(signal.SIGTERM)
            stop.set(time.monotonic())
            running = TROUBLES[trouble](cluster) if TROUBLES[trouble] else None
            code = process.child.wait(20)
            took = time.monotonic() - stop.at
            running.end() if running else None
            for caller in callers:
                caller.thread.join(20)
            runs = late_in_stop.run_counts(cluster.folder)
            log = cluster.folder / "gateway-0.log"
            cuts = gateway_entries(log, "connectionCut")
            lags = [int(entry["waitMs"]) for entry in gateway_entries(log, "queueLag")]
        finally:
            cluster.close()
    failures = [] if code == 0 and took <= DRAIN_TIMEOUT_SECONDS else [f"exit code {code} after {took:.1f} s"]
    statuses = {}
    for caller in callers:
        wrong = failure(caller, runs.get(caller.case.name(), 0))
        failures += [f"{caller.case.name()}: {wrong}"] if wrong else []
        status = caller.outcome.status if caller.outcome else None
        statuses[status] = statuses.get(status, 0) + 1
    failures += [f"the gateway lost a request: {cut}" for cut in cuts if cut["phase"] in LOST_PHASES]
    late_resets = sum(caller.outcome.status == 0 and caller.took > AT_ONCE_SECONDS for caller in callers if caller.outcome)
    print(f"{title}: {len(callers)} requests, by status {statuses}, {late_resets} unread for {AT_ONCE_SECONDS} s or more, exit"
          f" code {code} after {took:.1f} s, queue lag up to {max(lags, default=0)} ms, {len(failures)} failed")
    return [f"{title}: {line}" for line in failures]


def main():
    failures = []
    for trouble in TROUBLES:
        failures += play(trouble, f"{trouble}, early end", EARLY_SECONDS, False)
        failures += play(trouble, f"{trouble}, end at the limit", LATE_SECONDS, True)
    return scenario.exit_code(failures, 20)


if __name__ == "__main__":
    sys.exit(main())

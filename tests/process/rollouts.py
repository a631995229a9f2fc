"""Three gateways roll out a version of the service behind them while two of them are killed in turn.

usage: rollouts.py good|bad [FOLDER]

good: guards against a version that is not completed in time because a process died, and against callers that notice:
the old servers are killed as soon as the status says completed.
bad: 40 in 100 answers of the new version are failures. Guards against a version that gets more requests than the
limits allow, or any later than 5 s after its 50th bad answer, and against a status that is not written.
"""

import base64
import collections
import http.client
import json
import signal
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.cluster import Cluster
from soak.records import server_records

SERVICE = "register"
SERVERS = 3
RAMP_SECONDS = 12
CALLS_PER_SECOND = 80
MAX_SHARE = 0.1
SLACK_REQUESTS = 50
ROLLBACK_SECONDS = 5
BAD_PORTION = 0.4
COUNTED_BAD_ANSWERS = 50
TIMEOUT_SECONDS = 4
# Of callers: those of a killed gateway see a closed connection.
MAX_FAILED_SHARE = 0.05


class Load:
    """Sends calls at a fixed rate to all gateways until it is stopped."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.is_ending = False
        self.answers = collections.Counter()
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        started_at = time.monotonic()
        number = 0
        threads = []
        while not self.is_ending:
            threads.append(threading.Thread(target=self._call, args=(number,)))
            threads[-1].start()
            number += 1
            time.sleep(max(0, started_at + number / CALLS_PER_SECOND - time.monotonic()))
        for thread in threads:
            thread.join()

    def _call(self, number):
        gateway = self.gateways[number % len(self.gateways)]
        method, path = ("GET", "/reads/x") if number % 2 else ("POST", "/writes/x")
        headers = {"Host": "soak.example", wire.REQUEST_ID: f"call-{number}", wire.KEY: "Token key-0",
                   wire.DEADLINE: str(TIMEOUT_SECONDS * 1000)}
        connection = http.client.HTTPConnection("127.0.0.1", gateway.port, timeout=TIMEOUT_SECONDS + 2)
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            response.read()
            answer = response.status
        except (OSError, http.client.HTTPException):
            answer = "closed"
        finally:
            connection.close()
        self.answers[answer] += 1


def state(cluster):
    item = cluster.store.items.get(wire.ROLLOUT_STATUS_PREFIX + SERVICE)
    return wire.rollout_state(json.loads(base64.b64decode(item["value"]))) if item else (None, None)


def kill_in_turn(cluster):
    for gateway in cluster.gateways[:2]:
        time.sleep(1.5)
        gateway.restart(signal.SIGKILL)


def play(cluster, new_servers, is_bad):
    """Returns the time of the order and the time of the final state."""
    ordered_at = time.monotonic()
    cluster.store.put(wire.ROLLOUT_PREFIX + SERVICE, wire.rollout(SERVICE, "v2", RAMP_SECONDS))
    for server in new_servers:
        del server.start
        server.start()
        if is_bad:
            server.set_faults({"error": BAD_PORTION})
    killer = threading.Thread(target=kill_in_turn, args=(cluster,))
    killer.start()
    ended_at = None
    while time.monotonic() < ordered_at + RAMP_SECONDS:
        if ended_at is None and state(cluster)[0] in ("completed", "rolled_back"):
            ended_at = time.monotonic()
            if state(cluster)[0] == "completed":
                for server in cluster.servers[:SERVERS]:
                    server.process.kill()
                    server.withdraw()
        time.sleep(0.02)
    killer.join()
    return ordered_at, ended_at


def check_exposure(cluster, new_servers, ordered_at):
    names = {server.name for server in new_servers}
    arrived = [one for one in server_records(cluster.folder)
               if one["event"] == "arrived" and one["at"] >= ordered_at]
    new = [one["at"] for one in arrived if one["server"] in names]
    allowed = MAX_SHARE * len(arrived) + SLACK_REQUESTS
    print(f"the new version got {len(new)} of {len(arrived)} requests, allowed {allowed:.0f}, "
          f"the last one {max(new, default=ordered_at) - ordered_at:.1f} s after the order")
    if len(new) > allowed:
        yield f"the bad version got {len(new)} requests, allowed {allowed:.0f}"
    # Fewer requests than these cannot have had as many bad answers.
    if len(new) > COUNTED_BAD_ANSWERS and max(new) > new[COUNTED_BAD_ANSWERS] + ROLLBACK_SECONDS:
        yield "the bad version got requests too late"
    if not new:
        yield "the new version got no request"


def main():
    is_bad = sys.argv[1] == "bad"
    failures = []
    with scenario.working_folder(2) as folder:
        cluster = Cluster(folder, 1, gateways=3, engines=0, registers=2 * SERVERS)
        new_servers = cluster.servers[SERVERS:]
        for server in new_servers:
            server.version = "v2"
            server.start = lambda: None
        for gateway in cluster.gateways:
            gateway.rolls_out = True
        try:
            cluster.start()
            load = Load(cluster.gateways)
            load.thread.start()
            time.sleep(6)
            ordered_at, ended_at = play(cluster, new_servers, is_bad)
            load.is_ending = True
            load.thread.join()
            final = state(cluster)
            if is_bad:
                failures += check_exposure(cluster, new_servers, ordered_at)
        finally:
            cluster.close()
    took = f"{ended_at - ordered_at:.1f} s after the order" if ended_at else "not at all"
    print(f"{final}, {took}; answers {dict(load.answers)}")
    expected = ("rolled_back" if is_bad else "completed", "v2")
    if final != expected:
        failures.append(f"the status says {final}, expected {expected}")
    failed = sum(count for answer, count in load.answers.items() if answer != 200)
    if not is_bad and failed > MAX_FAILED_SHARE * sum(load.answers.values()):
        failures.append(f"{failed} calls failed")
    return scenario.exit_code(failures, 20)


if __name__ == "__main__":
    sys.exit(main())

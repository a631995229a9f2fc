"""Three gateways roll out a version of two services, one of calls and one of streams, beside a disturbance.

usage: rollouts.py CASE [FOLDER]

good: guards against a version that is not completed in time because processes died, and against callers that notice:
two gateways are killed in turn, and the old servers as soon as their service's status says completed.
bad: 40 in 100 answers of the new version are failures, beside the same kills.
decider_killed: the same version; the gateway that wrote the latest status is killed, twice.
slow: 40 in 100 answers of the new version take five times as long.
store_away: the failing version, with a store that refuses all calls for some seconds from the middle of the trial on.
The last four guard against a version that gets more requests than the limits allow, or any later than 5 s after its
50th bad answer, against a status that is not written, or changes after the end, and against streams that are not whole.
In all cases `foxtailringctl rollout --follow` runs beside, whose exit code is to tell how the roll-out ended.
"""

import base64
import collections
import http.client
import itertools
import json
import random
import signal
import subprocess
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.backend import EVENTS_PER_RUN, event_text
from soak.cluster import Cluster
from soak.records import gateway_entries, server_records
from system import BUILD

SERVERS = 3  # of each service and version
RAMP_SECONDS = 12
WARM_UP_SECONDS = 6
CALLS_PER_SECOND = 80
STREAMS_PER_SECOND = 14
MAX_SHARE = 0.1
SLACK_REQUESTS = 50
ROLLBACK_SECONDS = 5
BAD_PORTION = 0.4
COUNTED_BAD_ANSWERS = 50
TIMEOUT_SECONDS = 6
# Of callers: those of a killed gateway see a closed connection.
MAX_FAILED_SHARE = 0.05
STORE_AWAY_FROM_SECONDS = 1.5
STORE_AWAY_SECONDS = 4
# After the store has come back, its gateways are in touch again.
STORE_RETURN_SECONDS = 4
SERVICES = ("register", "engine")
FINAL_STATES = ("completed", "rolled_back")
FOLLOWER_CODES = {"completed": 0, "rolled_back": 1}
FAULTS = {"bad": {"error": BAD_PORTION}, "decider_killed": {"error": BAD_PORTION}, "slow": {"late": BAD_PORTION},
          "store_away": {"error": BAD_PORTION}}


class Load:
    """Sends calls and streams at fixed rates to the gateways in rotation until it is stopped."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.is_ending = False
        self.answers = {"calls": collections.Counter(), "streams": collections.Counter()}
        self.torn = []
        self.random = random.Random(1)
        self.threads = [threading.Thread(target=self._run, args=arguments) for arguments in (
            ("calls", CALLS_PER_SECOND, self._call), ("streams", STREAMS_PER_SECOND, self._stream))]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_ending = True
        for thread in self.threads:
            thread.join()

    def failed_share(self):
        answers = sum(self.answers.values(), collections.Counter())
        return 1 - answers[200] / max(1, sum(answers.values()))

    def _run(self, kind, per_second, send):
        started_at = time.monotonic()
        threads = []
        for number in itertools.count():
            if self.is_ending:
                break
            threads.append(threading.Thread(target=self._send, args=(kind, number, send)))
            threads[-1].start()
            time.sleep(max(0, started_at + (number + 1) / per_second - time.monotonic()))
        for thread in threads:
            thread.join()

    def _send(self, kind, number, send):
        """Sends a request; one that is refused, so that it has not run, once more to another gateway."""
        answer = self._send_to(number, number, send)
        if answer == 503:
            answer = self._send_to(number + 1, f"{number}-again", send)
        self.answers[kind][answer] += 1

    def _send_to(self, choice, number, send):
        gateways = self.cluster.gateways_in_rotation()
        gateway = gateways[choice % len(gateways)]
        connection = http.client.HTTPConnection("127.0.0.1", gateway.port, timeout=TIMEOUT_SECONDS + 2)
        try:
            return send(connection, number)
        except (OSError, http.client.HTTPException):
            return "closed"
        finally:
            connection.close()

    @staticmethod
    def _headers(request):
        return {"Host": "soak.example", wire.REQUEST_ID: request, wire.KEY: "Token key-0",
                wire.DEADLINE: str(TIMEOUT_SECONDS * 1000)}

    def _call(self, connection, number):
        method, path = self.random.choice((("GET", "/reads/x"), ("POST", "/writes/x")))
        connection.request(method, path, headers=self._headers(f"call-{number}"))
        response = connection.getresponse()
        response.read()
        return response.status

    def _stream(self, connection, number):
        request = f"stream-{number}"
        connection.request("POST", "/streams/x", b"prompt", {**self._headers(request), wire.TOKENS: "8000,300"})
        response = connection.getresponse()
        text = response.read()
        whole = b"".join(event_text(request, event) for event in range(1, EVENTS_PER_RUN + 1))
        if response.status == 200 and text != whole:
            self.torn.append(request)
        return response.status


class Observer:
    """Follows the statuses in the store, as the operator does: at completed the old servers of the service end."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.statuses = {service: {} for service in SERVICES}  # (state, time) by revision
        self.is_ending = False
        self.thread = threading.Thread(target=self._run)

    def _run(self):
        while not self.is_ending:
            for service in SERVICES:
                self._look(service)
            time.sleep(0.02)

    def _look(self, service):
        item = self.cluster.store.items.get(wire.ROLLOUT_STATUS_PREFIX + service)
        if not item or item["rev"] in self.statuses[service]:
            return
        state = wire.rollout_state(json.loads(base64.b64decode(item["value"])))
        self.statuses[service][item["rev"]] = (state, time.monotonic())
        if state[0] == "completed":
            for server in self.cluster.servers:
                if server.service == service and server.version == "v1":
                    server.process.kill()
                    server.withdraw()

    def finals(self, service):
        return [(state, at) for (state, at) in self.statuses[service].values() if state[0] in FINAL_STATES]


def start_follower(cluster, service):
    """Starts a command that follows the roll-out until it has ended."""
    return subprocess.Popen(
        [BUILD / "apps/foxtailringctl", "rollout", service, f"--store=127.0.0.1:{cluster.store.port}", "--follow",
         f"--timeout={RAMP_SECONDS}"],
        stdout=open(cluster.folder / f"follow-{service}.txt", "w"), stderr=subprocess.STDOUT)


def check_follower(cluster, follower, service, expected):
    code = follower.wait(RAMP_SECONDS)
    text = (cluster.folder / f"follow-{service}.txt").read_text()
    print(text, end="")
    if code != FOLLOWER_CODES[expected]:
        yield f"{service}: the command that follows ended with {code}, expected {FOLLOWER_CODES[expected]}"


def kill_in_turn(cluster):
    for gateway in cluster.gateways[:2]:
        time.sleep(1.5)
        gateway.restart(signal.SIGKILL)


def kill_decider(cluster):
    """Kills the process that wrote the latest status, twice."""
    for _ in range(2):
        time.sleep(0.8)
        written = [(entry["time"], gateway) for gateway in cluster.gateways
                   for entry in gateway_entries(cluster.folder / f"{gateway.name}.log", "rolloutStatusWritten")]
        if written:
            max(written, key=lambda one: one[0])[1].restart(signal.SIGKILL)


def take_store_away(cluster):
    time.sleep(STORE_AWAY_FROM_SECONDS)
    cluster.store.fault = "down"
    time.sleep(STORE_AWAY_SECONDS)
    cluster.store.fault = None


DISTURBANCES = {"good": kill_in_turn, "bad": kill_in_turn, "decider_killed": kill_decider,
                "slow": lambda cluster: None, "store_away": take_store_away}


def play(cluster, case):
    """Returns the time of the orders."""
    ordered_at = time.monotonic()
    for service in SERVICES:
        cluster.store.put(wire.ROLLOUT_PREFIX + service, wire.rollout(service, "v2", RAMP_SECONDS))
    for server in cluster.servers:
        if server.version == "v2":
            del server.start
            server.start()
            server.set_faults(FAULTS.get(case, {}))
    disturbance = threading.Thread(target=DISTURBANCES[case], args=(cluster,))
    disturbance.start()
    time.sleep(max(0, ordered_at + RAMP_SECONDS - time.monotonic()))
    disturbance.join()
    return ordered_at


def check_exposure(cluster, service, ordered_at, core_stable_at):
    servers = {server.name: server.version for server in cluster.servers if server.service == service}
    records = [one for one in server_records(cluster.folder)
               if one["server"] in servers and one["at"] >= ordered_at]
    arrived = [one for one in records if one["event"] == "arrived"]
    new = [one["at"] for one in arrived if servers[one["server"]] == "v2"]
    bad = [one["at"] for one in records if one["event"] == "bad" and one["at"] >= core_stable_at]
    allowed = MAX_SHARE * len(arrived) + SLACK_REQUESTS
    print(f"{service}: the new version got {len(new)} of {len(arrived)} requests, allowed {allowed:.0f}, the last one "
          f"{max(new, default=ordered_at) - ordered_at:.1f} s after the order; {len(bad)} bad answers count")
    if len(new) > allowed:
        yield f"{service}: the bad version got {len(new)} requests, allowed {allowed:.0f}"
    if len(bad) >= COUNTED_BAD_ANSWERS and max(new) > sorted(bad)[COUNTED_BAD_ANSWERS - 1] + ROLLBACK_SECONDS:
        yield f"{service}: the bad version got requests too late"
    if not new:
        yield f"{service}: the new version got no request"


def check_status(observer, service, expected, ordered_at):
    finals = observer.finals(service)
    took = f"{finals[0][1] - ordered_at:.1f} s after the order" if finals else "not at all"
    print(f"{service}: {[state for state, _ in finals]}, {took}")
    if [state for state, _ in finals] != [expected]:
        yield f"{service}: final statuses {[state for state, _ in finals]}, expected one {expected}"
    elif list(observer.statuses[service].values())[-1][0] != expected:
        yield f"{service}: the status changed after the end"


def check_callers(load):
    print({kind: dict(answers) for kind, answers in load.answers.items()})
    if load.torn:
        yield f"streams that end as complete but are not whole: {load.torn[:5]}"
    if load.failed_share() > MAX_FAILED_SHARE:
        yield f"{load.failed_share():.0%} of the requests failed"


def main():
    case = sys.argv[1]
    failures = []
    with scenario.working_folder(2) as folder:
        cluster = Cluster(folder, 1, gateways=3, engines=2 * SERVERS, registers=2 * SERVERS)
        # The first ones of each service run the old version.
        for server in cluster.servers[SERVERS:2 * SERVERS] + cluster.servers[3 * SERVERS:]:
            server.version = "v2"
            server.start = lambda: None
        for gateway in cluster.gateways:
            gateway.rolls_out = True
            # Else calls are refused while the store is away, since a key may have been withdrawn.
            gateway.max_key_revocation_seconds = 30
        try:
            cluster.start()
            load = Load(cluster)
            load.start()
            observer = Observer(cluster)
            observer.thread.start()
            time.sleep(WARM_UP_SECONDS)
            followers = {service: start_follower(cluster, service) for service in SERVICES}
            ordered_at = play(cluster, case)
            load.stop()
            observer.is_ending = True
            observer.thread.join()
            store_back_at = STORE_AWAY_FROM_SECONDS + STORE_AWAY_SECONDS + STORE_RETURN_SECONDS
            core_stable_at = ordered_at + (store_back_at if case == "store_away" else 0)
            expected = "completed" if case == "good" else "rolled_back"
            for service in SERVICES:
                failures += check_status(observer, service, (expected, "v2"), ordered_at)
                failures += check_follower(cluster, followers[service], service, expected)
                if case != "good":
                    failures += check_exposure(cluster, service, ordered_at, core_stable_at)
            failures += check_callers(load)
        finally:
            cluster.close()
    return scenario.exit_code(failures, 20)


if __name__ == "__main__":
    sys.exit(main())

"""Gateway in front of three servers that turn requests away and ask for a pause.

usage: server_pauses.py [FOLDER]

Guards against a gateway that goes on sending to a server that asked it for a pause. 40 calls a second meet servers
whose answers are 503 with a Retry-After of 2 s: first at one of the three, where every call is served by the others,
then at all of them, where the calls are refused as not run with a time to retry. From half a second after such an
answer until the end of its pause the server gets at most two requests. Afterwards the calls are served again.
The same is played with runs at three engines, where probes and orders for copies count too, and runs in progress
go on while every engine turns new ones away.
"""

import collections
import http.client
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.cluster import Cluster
from soak.records import server_records

PAUSE_SECONDS = 2
NOTICE_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2
CALLS_PER_SECOND = 40
RUNS_PER_SECOND = 10
RUNS_IN_PROGRESS = 5
RUN_SECONDS = 2
PHASE_SECONDS = 5
TIMEOUT_SECONDS = 4
# Spread of the times to retry that a gateway adds to a pause.
RETRY_SPREAD_SECONDS = 0.5
# Time that a busy machine may add.
SCHEDULING_TOLERANCE_SECONDS = 0.3


class Load:
    """Sends calls at a fixed rate and keeps (status, time to retry) of each by phase."""

    def __init__(self, port):
        self.port = port
        self.answers = []
        self.lock = threading.Lock()

    def call(self, path, request):
        headers = {"Host": "soak.example", wire.REQUEST_ID: request, wire.KEY: "Token key-0",
                   wire.DEADLINE: str(TIMEOUT_SECONDS * 1000), wire.TOKENS: "8000,300"}
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=TIMEOUT_SECONDS + 2)
        try:
            connection.request("GET" if path.startswith("/reads") else "POST", path, headers=headers)
            response = connection.getresponse()
            response.read()
            answer = response.status, response.headers.get(wire.RETRY_AFTER)
        except (OSError, http.client.HTTPException) as error:
            answer = repr(error), None
        finally:
            connection.close()
        with self.lock:
            self.answers.append(answer)

    def run(self, phase, seconds, per_second, paths):
        threads = []
        self.answers = []
        starts_at = time.monotonic()
        for number in range(int(seconds * per_second)):
            time.sleep(max(0, starts_at + number / per_second - time.monotonic()))
            path = paths[number % len(paths)]
            threads.append(threading.Thread(target=self.call, args=(path, f"{phase}-{number}")))
            threads[-1].start()
        for thread in threads:
            thread.join()
        return self.answers


def most_in_pause(folder):
    """Returns the number of pauses and the most requests that a server got within one."""
    count = most = 0
    records = server_records(folder)
    arrivals = collections.defaultdict(list)
    for one in records:
        if one["event"] in ("arrived", "asked"):
            arrivals[one["server"]].append(one["at"])
    for one in records:
        if one["event"] == "turnedAway":
            count += 1
            first, end = one["at"] + NOTICE_SECONDS, one["at"] + one["pause"]
            most = max(most, sum(first < at < end for at in arrivals[one["server"]]))
    return count, most


def check_retry_times(answers):
    """Every refusal says when the first of the servers takes requests again, and not much later."""
    longest = PAUSE_SECONDS + RETRY_SPREAD_SECONDS
    for status, retry_after in answers:
        if status == 503 and not 0 < float(retry_after or 0) <= longest:
            yield f"503 with {wire.RETRY_AFTER} {retry_after}"
    times = {retry_after for status, retry_after in answers if status == 503}
    if len(times) < len(answers) / 10:
        yield f"only {len(times)} different times to retry for {len(answers)} callers"


def statuses(answers):
    seen = [status for status, _ in answers]
    return {status: seen.count(status) for status in sorted(set(seen), key=str)}


def play(cluster, load, service, per_second, paths):
    """Plays the pauses of a service's servers and yields what failed."""
    servers = [server for server in cluster.servers if server.service == service]
    servers[0].set_pause(PAUSE_SECONDS)
    one = load.run(f"{service}-one", PHASE_SECONDS, per_second, paths)
    for server in servers:
        server.set_pause(PAUSE_SECONDS)
    every = load.run(f"{service}-every", PHASE_SECONDS, per_second, paths)
    for server in servers:
        server.set_pause(None)
    time.sleep(PAUSE_SECONDS + SCHEDULING_TOLERANCE_SECONDS)
    after = load.run(f"{service}-after", 1, per_second, paths)
    print(f"{service}: one server {statuses(one)}, every server {statuses(every)}, afterwards {statuses(after)}")
    for phase, answers, expected in (("one server", one, 200), ("every server", every, 503),
                                     ("no server", after, 200)):
        if set(statuses(answers)) != {expected}:
            yield f"{service} with {phase} in pause: {statuses(answers)}"
    yield from check_retry_times(every)


def runs_in_progress(folder):
    """Returns how many requests have arrived at servers, and how many of those have not ended."""
    records = server_records(folder)
    arrived = {record["request"] for record in records if record["event"] == "arrived"}
    ended = {record["request"] for record in records if record["event"] == "ended"}
    return len(arrived), len(arrived - ended)


def play_runs_in_progress(cluster, load):
    """Every engine asks for a pause while runs are in progress; they go on."""
    engines = [server for server in cluster.servers if server.service == "engine"]
    running = threading.Thread(target=load.run, args=("progress", RUNS_IN_PROGRESS / RUNS_PER_SECOND, RUNS_PER_SECOND,
                                                      [f"/streams/x?take={RUN_SECONDS}"]))
    running.start()
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while runs_in_progress(cluster.folder)[0] < RUNS_IN_PROGRESS and time.monotonic() < deadline:
        time.sleep(0.05)
    for engine in engines:
        engine.set_pause(PAUSE_SECONDS)
    arrived, in_progress = runs_in_progress(cluster.folder)
    if arrived < RUNS_IN_PROGRESS or in_progress == 0:
        yield f"runs in progress: {arrived} arrived and {in_progress} went on when the engines asked for a pause"
    running.join()
    for engine in engines:
        engine.set_pause(None)
    print(f"runs in progress {statuses(load.answers)}")
    if set(statuses(load.answers)) != {200}:
        yield f"runs in progress: {statuses(load.answers)}"


def main():
    failures = []
    with scenario.working_folder() as folder:
        cluster = Cluster(folder, 1, gateways=1, engines=3, registers=3)
        try:
            cluster.start()
            load = Load(cluster.gateways[0].port)
            failures += play_runs_in_progress(cluster, load)
            failures += play(cluster, load, "register", CALLS_PER_SECOND, ["/writes/x", "/reads/x"])
            failures += play(cluster, load, "engine", RUNS_PER_SECOND, ["/streams/x"])
            pauses, most = most_in_pause(cluster.folder)
        finally:
            cluster.close()
    print(f"{pauses} pauses, most requests in one {most}")
    if pauses == 0:
        failures.append("no server asked for a pause")
    if most > MAX_REQUESTS_IN_PAUSE:
        failures.append(f"a server got {most} requests in its pause, allowed {MAX_REQUESTS_IN_PAUSE}")
    return scenario.exit_code(failures, 20)


if __name__ == "__main__":
    sys.exit(main())

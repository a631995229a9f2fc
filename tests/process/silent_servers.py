"""Streams at servers that fall silent for 0.8 to 1.5 s and go on.

usage: silent_servers.py [FOLDER]

Guards against cutting or refusing a stream because sound servers were silent. Half of eight engines are paused by a signal at
once, several times: alone, beside changes of the configuration, beside the planned stop of a server, and beside that of one
of the two gateways, which gets no new streams from then on. Every stream must end whole. Prints for each round, as JSON lines,
how many attempts were moved to another server and why, how many prompts were read again, and how many events came later than
the route allows; these figures are not checked.
"""

import collections
import http.client
import json
import random
import signal
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.backend import EVENTS_PER_RUN, event_text
from soak.cluster import Cluster
from soak.records import gateway_entries

SEED = 1
ENGINES = 8
GATEWAYS = 2
DRAIN_TIMEOUT_SECONDS = 8
STREAMS_PER_SECOND = 10
STREAM_SECONDS = 1.5
PATIENCE_MS = 12000
ROUND_SECONDS = 3
PAUSE_SECONDS = (0.8, 1.5)
ALLOWED_GAP_SECONDS = 0.7
ROUNDS = ("silence", "silence", "configuration", "server stops", "gateway stops")
CONFIG_CHANGES = 8


class Stream:
    """Sends one stream and keeps what its caller got."""

    def __init__(self, port, request):
        self.port = port
        self.request = request
        self.status = 0
        self.body = b""
        self.error = ""
        self.event_times = []
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        headers = {"Host": "soak.example", wire.REQUEST_ID: self.request, wire.KEY: f"{wire.KEY_SCHEME}key-0",
                   wire.DEADLINE: str(PATIENCE_MS), wire.TOKENS: "8000,300"}
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=PATIENCE_MS / 1000 + 2)
        try:
            connection.request("POST", f"/streams/x?take={STREAM_SECONDS}", headers=headers)
            response = connection.getresponse()
            self.status = response.status
            while line := response.readline():
                self.body += line
                if line.startswith(b"id:"):
                    self.event_times.append(time.monotonic())
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
        finally:
            connection.close()

    def failure(self):
        """Returns what is wrong with the outcome; none: the stream is whole."""
        if self.thread.is_alive():
            return "no end"
        if self.status != 200:
            return f"refused {self.status} {self.error}"
        if self.error or self.body != b"".join(event_text(self.request, number)
                                               for number in range(1, EVENTS_PER_RUN + 1)):
            return f"cut after {len(self.event_times)} events {self.error}"
        return None

    def gaps(self):
        return [later - earlier for earlier, later in zip(self.event_times, self.event_times[1:])]


class Load:
    """Sends streams at a fixed rate to the gateways in turn until it is stopped."""

    def __init__(self, gateways):
        self.gateways = list(gateways)
        self.streams = []
        self.is_stopping = False
        self.prefix = ""
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        starts_at = time.monotonic()
        while not self.is_stopping:
            number = len(self.streams)
            time.sleep(max(0, starts_at + number / STREAMS_PER_SECOND - time.monotonic()))
            gateway = self.gateways[number % len(self.gateways)]
            self.streams.append(Stream(gateway.port, f"{self.prefix}-{number}"))

    def finish(self):
        self.is_stopping = True
        self.thread.join()
        for stream in self.streams:
            stream.thread.join(PATIENCE_MS / 1000 + 5)


def silence(cluster, seconds):
    """Pauses half of the engines that are not stopping for so long."""
    running = [server for server in cluster.servers if server.state == wire.READY]
    paused = cluster.random.sample(running, ENGINES // 2)
    for server in paused:
        server.process.pause()
    time.sleep(seconds)
    for server in paused:
        server.process.resume()


def disturb(cluster, load, kind):
    """Begins what happens beside the silence of a round."""
    if kind == "configuration":
        def change():
            for _ in range(CONFIG_CHANGES):
                cluster.publish_config()
                time.sleep(ROUND_SECONDS / 2 / CONFIG_CHANGES)
        threading.Thread(target=change, daemon=True).start()
    elif kind == "server stops":
        threading.Thread(target=cluster.servers[0].leave, daemon=True).start()
    elif kind == "gateway stops":
        gateway = load.gateways.pop()
        time.sleep(1 / STREAMS_PER_SECOND)  # the request that was on its way to it has arrived
        gateway.process.send_signal(signal.SIGTERM)


def play_round(cluster, load, number, kind):
    ends_at = time.monotonic() + ROUND_SECONDS
    load.prefix = f"{number}-{kind.replace(' ', '-')}"
    time.sleep(0.5)
    disturb(cluster, load, kind)
    silence(cluster, cluster.random.uniform(*PAUSE_SECONDS))
    time.sleep(max(0, ends_at - time.monotonic()))


def figures(cluster, streams, prefix):
    """Returns what the silence of a round has cost its streams."""
    entries = [entry for gateway in cluster.gateways
               for entry in gateway_entries(cluster.folder / f"{gateway.name}.log", "attempt", "attemptResumed",
                                            "attemptDelayed", "retryDenied", "suspectQuarantined")
               if entry.get("request", "").startswith(prefix)]
    moves = [entry for entry in entries if entry["event"] == "attempt" and entry["number"] != "1"]
    gaps = [gap for stream in streams for gap in stream.gaps()]
    return {"round": prefix, "streams": len(streams),
            "moves": collections.Counter(entry["cause"] for entry in moves),
            "promptsReadAgain": sum(entry["fromCopy"] == "false" for entry in moves),
            "resumed": sum(entry["event"] == "attemptResumed" for entry in entries),
            "delayed": collections.Counter(entry["reason"] for entry in entries if entry["event"] == "attemptDelayed"),
            "retriesDenied": sum(entry["event"] == "retryDenied" for entry in entries),
            "lateEvents": sum(gap > ALLOWED_GAP_SECONDS for gap in gaps),
            "longestGapMs": round(max(gaps, default=0) * 1000)}


def main():
    random.seed(SEED)
    with scenario.working_folder() as folder:
        cluster = Cluster(folder, SEED, gateways=GATEWAYS, engines=ENGINES, registers=0,
                          drain_timeout_seconds=DRAIN_TIMEOUT_SECONDS)
        try:
            cluster.start()
            load = Load(cluster.gateways)
            stopped = cluster.gateways[-1]
            load.prefix = "0-start"
            load.thread.start()
            time.sleep(1)
            for number, kind in enumerate(ROUNDS, 1):
                play_round(cluster, load, number, kind)
            load.finish()
            code = stopped.process.child.wait(DRAIN_TIMEOUT_SECONDS + 2)
            by_round = collections.defaultdict(list)
            for stream in load.streams:
                by_round[stream.request.rsplit("-", 1)[0]].append(stream)
            for prefix, streams in by_round.items():
                print(json.dumps(figures(cluster, streams, prefix)))
        finally:
            cluster.clear_faults()
            cluster.close()
    failures = [f"{stream.request}: {stream.failure()}" for stream in load.streams if stream.failure()]
    if code != 0:
        failures.append(f"exit code {code} of the gateway that stopped")
    return scenario.exit_code(failures, 20)


if __name__ == "__main__":
    sys.exit(main())

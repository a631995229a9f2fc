"""A call that crashes each server that begins to run it, beside sound calls.

usage: crashing_calls.py post|get [FOLDER]

Guards against a call without prompt parts that is sent to server after server: three gateways, three servers that are
back under a new id 2 to 3 s after a crash, and a deadly call that comes twice a second with a new id, at the gateways
in turn. As `post` it may not be repeated, as `get` each gateway attempts it twice. Also guards against what such a call
may cost others: sound calls, some of them equal to each other and many of the deadly call's account or target, must
not be refused for the crashes and must be served again. No call that a server began to run is answered with 503. The
logs are kept in FOLDER.
"""

import collections
import http.client
import itertools
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.backend import CRASH_MARKER
from soak.cluster import Cluster
from soak.records import gateway_entries, server_records

SEED = 1
SOUND_CALLS_PER_SECOND = 20
DEADLY_CALLS_PER_SECOND = 2
SOUND_ONLY_SECONDS = 2
MAX_SECONDS_TO_THIRD_CRASH = 6
SECONDS_AFTER_THIRD_CRASH = 14
DOWN_SECONDS = (2, 3)
POLL_INTERVAL_SECONDS = 0.02
TIMEOUT_SECONDS = 4
RETRY_DELAY_SECONDS = 0.1

# From here on after the third crash every gateway is to know of the crashes.
NOTICE_SECONDS = 3
MAX_LATE_ARRIVALS = 3
RECOVERY_SECONDS = 8
MIN_SERVED_SHARE = 0.95
# End of the causes of refusals for a quarantine, such as `promptQuarantined`.
QUARANTINE_CAUSE = "uarantined"
# The last lines of a gateway may be lost when it is killed.
MAX_UNLOGGED_SHARE = 0.02

DEADLY_CALLS = {"post": ("POST", "/writes/x", CRASH_MARKER.encode()),
                "get": ("GET", f"/reads/x?q={CRASH_MARKER}", None)}

# Each crash ends some of these calls, so that they are lost with several servers as the deadly call is.
HOT_TARGET = "/reads/hot?take=0.25"

Answer = collections.namedtuple("Answer", "request status sent_at")


class CrashCluster(Cluster):
    """A cluster without a proxy, since a proxy accepts connections to a server that is down; servers that end are
    started again."""

    def __init__(self, folder):
        super().__init__(folder, SEED, gateways=3, engines=0, registers=3)
        self.read_attempts = 2
        self.supervisors = []

    def _start_proxy(self):
        for server in self.servers:
            server.address = f"127.0.0.1:{server.port}"
        for gateway in self.gateways:
            gateway.store_port = self.store.port

    def start(self):
        super().start()
        self.supervisors = [threading.Thread(target=self._supervise, args=(server,)) for server in self.servers]
        for supervisor in self.supervisors:
            supervisor.start()

    def _supervise(self, server):
        while not self.is_ending:
            if not server.process.is_running():
                server.crash(self.random.uniform(*DOWN_SECONDS))
            time.sleep(POLL_INTERVAL_SECONDS)

    def close(self):
        self.is_ending = True
        for supervisor in self.supervisors:
            supervisor.join()
        super().close()


class Load:
    """Sends calls at a fixed rate, at the gateways in turn, and keeps the answers to each: one, or two after a failure
    if the caller sends the call again."""

    def __init__(self, gateways, name, per_second, calls, retries):
        self.ports = itertools.cycle([gateway.port for gateway in gateways])
        self.name = name
        self.per_second = per_second
        self.calls = calls
        self.retries = retries
        self.answers = []
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        started_at = time.monotonic()
        threads = []
        for number in itertools.count():
            if self.is_over.wait(max(0, started_at + number / self.per_second - time.monotonic())):
                break
            ports = [next(self.ports) for _ in range(1 + self.retries)]
            threads.append(threading.Thread(target=self._send, args=(number, ports, *next(self.calls))))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _send(self, number, ports, key, method, target, body):
        answers = []
        for attempt, port in enumerate(ports):
            time.sleep(RETRY_DELAY_SECONDS if attempt else 0)
            answers.append(send(port, f"{self.name}-{number}-{attempt}", key, method, target, body))
            if answers[-1].status == 200:
                break
        self.answers.append(answers)

    def close(self):
        self.is_over.set()
        self.thread.join()


def send(port, request, key, method, target, body):
    headers = {"Host": "soak.example", wire.REQUEST_ID: request, wire.KEY: wire.KEY_SCHEME + key,
               wire.DEADLINE: str(TIMEOUT_SECONDS * 1000)}
    sent_at = time.monotonic()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_SECONDS + 1)
    try:
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        response.read()
        status = response.status
    except (OSError, http.client.HTTPException) as error:
        status = repr(error)
    finally:
        connection.close()
    return Answer(request, status, sent_at)


def sound_calls():
    """Equal calls of the deadly call's account, calls of all accounts to its targets with bodies or queries of their
    own, and others."""
    for number in itertools.count():
        key = f"key-{number % 4}"
        yield "key-0", "GET", HOT_TARGET, None
        yield key, "POST", "/writes/x", f"sound {number}".encode()
        yield key, "GET", f"/reads/x?q=sound-{number}", None
        yield key, "GET", f"/reads/{number}", None


def wait_for_third_crash(folder):
    deadline = time.monotonic() + MAX_SECONDS_TO_THIRD_CRASH
    while len(crashes(folder)) < 3 and time.monotonic() < deadline:
        time.sleep(POLL_INTERVAL_SECONDS)


def crashes(folder):
    return sorted(record["at"] for record in server_records(folder) if record["event"] == "crashed")


def play(case, cluster):
    """Returns the sound and the deadly load, both of which have ended."""
    sound = Load(cluster.gateways, "sound", SOUND_CALLS_PER_SECOND, sound_calls(), retries=1)
    time.sleep(SOUND_ONLY_SECONDS)
    deadly_calls = itertools.repeat(("key-0", *DEADLY_CALLS[case]))
    deadly = Load(cluster.gateways, "deadly", DEADLY_CALLS_PER_SECOND, deadly_calls, retries=0)
    wait_for_third_crash(cluster.folder)
    time.sleep(SECONDS_AFTER_THIRD_CRASH)
    deadly.close()
    sound.close()
    return sound, deadly


def statuses(answers):
    return dict(collections.Counter(answer.status for answer in answers))


class Evidence:
    """What the callers, the servers' logs and the gateways' logs tell after a play."""

    def __init__(self, cluster, sound, deadly):
        self.sound = sorted(sound.answers, key=lambda answers: answers[0].sent_at)
        self.deadly = [answer for answers in deadly.answers for answer in answers]
        self.records = server_records(cluster.folder)
        self.crashes = crashes(cluster.folder)
        # The last one if the deadly call was refused before the third.
        self.third_crash_at = self.crashes[:3][-1] if self.crashes else None
        self.ends = {entry["request"]: entry.get("cause", "") for gateway in cluster.gateways
                     for entry in gateway_entries(cluster.folder / f"{gateway.name}.log", "request", "refused")}

    def causes(self, name):
        """Returns the causes with which the gateways logged the ends of a load's calls."""
        return collections.Counter(cause for request, cause in self.ends.items() if request.startswith(name))

    def answers(self):
        return self.deadly + [answer for answers in self.sound for answer in answers]

    def runs(self):
        return [record for record in self.records if record["event"] == "run"]

    def lost_sound_runs(self):
        """Returns the runs of sound calls that ended with their servers."""
        ended = {(record["server"], record["request"]) for record in self.records if record["event"] == "ended"}
        return [run for run in self.runs()
                if run["request"].startswith("sound") and (run["server"], run["request"]) not in ended]


def check_late_arrivals(evidence):
    """Soon after the third crash no gateway sends the deadly call to a server."""
    begin = evidence.third_crash_at + NOTICE_SECONDS
    arrivals = [record["at"] for record in evidence.records
                if record["event"] == "arrived" and record["request"].startswith("deadly-")]
    late = sum(at > begin for at in arrivals)
    sent = sum(answer.sent_at > begin for answer in evidence.deadly)
    print(f"deadly call: {len(evidence.deadly)} sent, {sent} of them later than {NOTICE_SECONDS} s after the third"
          f" crash; {len(arrivals)} arrived at servers, {late} late; answers {statuses(evidence.deadly)}")
    if late > MAX_LATE_ARRIVALS:
        yield (f"the deadly call arrived at servers {late} times later than {NOTICE_SECONDS} s after the third crash,"
               f" allowed {MAX_LATE_ARRIVALS}")
    if sent < DEADLY_CALLS_PER_SECOND * (SECONDS_AFTER_THIRD_CRASH - NOTICE_SECONDS) / 2:
        yield f"only {sent} deadly calls were sent late, so the play shows nothing"


def check_quarantines(evidence):
    """No sound call is refused for crashes that it did not cause."""
    sound, deadly = (evidence.causes(name) for name in ("sound", "deadly"))
    refused = sum(count for cause, count in sound.items() if QUARANTINE_CAUSE in cause)
    print(f"causes in the gateways' logs: sound calls {dict(sound)}, deadly ones {dict(deadly)}")
    lost = evidence.lost_sound_runs()
    equal = sum(run["path"] == HOT_TARGET for run in lost)
    print(f"lost with a server: {len(lost)} sound runs, {equal} of them of equal calls")
    if refused:
        yield f"{refused} sound calls were refused for a quarantine"
    unlogged = [answer.request for answer in evidence.answers() if answer.request not in evidence.ends]
    if len(unlogged) > MAX_UNLOGGED_SHARE * len(evidence.answers()):
        yield f"the gateways logged no end of {len(unlogged)} calls, such as {unlogged[:3]}"


def check_served(evidence):
    """Soon after the third crash sound calls are served as before."""
    begin = evidence.third_crash_at + RECOVERY_SECONDS
    late = [answers for answers in evidence.sound if answers[0].sent_at > begin]
    served = sum(answers[-1].status == 200 for answers in late)
    print(f"sound calls: {len(evidence.sound)}, last answers {statuses(answers[-1] for answers in evidence.sound)};"
          f" {served} served of {len(late)} sent later than {RECOVERY_SECONDS} s after the third crash")
    if served < MIN_SERVED_SHARE * len(late):
        yield (f"{served} of {len(late)} sound calls sent later than {RECOVERY_SECONDS} s after the third crash were"
               f" served, needed {MIN_SERVED_SHARE:.0%}")
    if len(late) < SOUND_CALLS_PER_SECOND * (SECONDS_AFTER_THIRD_CRASH - RECOVERY_SECONDS) / 2:
        yield f"only {len(late)} sound calls were sent late, so the play shows nothing"


def check_promises(evidence):
    """A 503 promises that the call did not run, also at the gateway's earlier attempts."""
    run = {record["request"] for record in evidence.runs()}
    refused = [answer.request for answer in evidence.answers() if answer.status == 503]
    broken = [request for request in refused if request in run]
    print(f"answers with 503: {len(refused)}, {len(broken)} of them to calls that a server began to run")
    if broken:
        yield f"{len(broken)} calls that a server began to run were answered with 503, such as {broken[:3]}"


CHECKS = (check_late_arrivals, check_quarantines, check_served, check_promises)


def run_case(case, folder):
    cluster = CrashCluster(folder)
    try:
        cluster.start()
        sound, deadly = play(case, cluster)
        failures = [failure for gateway in cluster.gateways for failure in scenario.check_running(gateway)]
    finally:
        cluster.close()
    evidence = Evidence(cluster, sound, deadly)
    times = [f"{at - evidence.crashes[0]:.1f}" for at in evidence.crashes]
    print(f"{len(times)} crashes, at {', '.join(times)} s after the first")
    if not evidence.crashes:
        return [*failures, "no server crashed"]
    return failures + [failure for check in CHECKS for failure in check(evidence)]


def main():
    case = sys.argv[1]
    print(f"case {case}")
    with scenario.working_folder(2) as folder:
        failures = run_case(case, folder)
    return scenario.exit_code(failures)


if __name__ == "__main__":
    sys.exit(main())

"""Gateway whose key-value store sends answers that never end.

usage: endless_store.py [FOLDER]

Guards against a gateway that runs out of memory, ends, or stops serving because of a faulty store. In each shape the store answers
every call with bytes without an end, or every read with one more page. Callers are served meanwhile with the last
configuration, and a configuration that is written afterwards comes into force. At last the gateway starts while the
store answers so: it is not ready, and serves once the store answers properly.
"""

import contextlib
import http.client
import pathlib
import re
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.cluster import Cluster
from soak.gateway import is_ready_at
from soak.store import Store

SHAPES = ["endlessChunks", "endlessClose", "endlessLength", "endlessExtension", "endlessHead", "endlessTrailer",
          "endlessInterim", "endlessHeaders", "endlessBlankLines", Store.PAGES]
ENDLESS_SECONDS = 3
# Keys stay proved while the store is faulty.
KEY_REVOCATION_SECONDS = 20
MAX_MB = 260
MAX_CALL_SECONDS = 2
CALL_INTERVAL_SECONDS = 0.03
RECOVERY_SECONDS = 10
PATHS = ("/reads/x", "/streams/x")


def peak_mb(process):
    status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024


class Callers:
    """Call one path each, again and again. Each call is (path, status, start, seconds)."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.calls = []
        self.is_over = False
        self.threads = [threading.Thread(target=self._call_on, args=(path,), daemon=True) for path in PATHS]
        for thread in self.threads:
            thread.start()

    def _call_on(self, path):
        number = 0
        while not self.is_over:
            number += 1
            started_at = time.monotonic()
            status = call(self.gateway, path, f"{path[1]}-{number}", "key-0")
            self.calls.append((path, status, started_at, time.monotonic() - started_at))
            time.sleep(CALL_INTERVAL_SECONDS)

    def failures(self, since):
        calls = [one for one in list(self.calls) if one[2] >= since]
        failed = [one for one in calls if one[1] != 200 or one[3] > MAX_CALL_SECONDS]
        return len(calls), [f"{path}: {status} after {seconds:.2f} s" for path, status, _, seconds in failed]

    def end(self):
        self.is_over = True
        for thread in self.threads:
            thread.join()


def call(gateway, path, request, key):
    connection = http.client.HTTPConnection("127.0.0.1", gateway.port, timeout=10)
    headers = {"Host": "soak.example", wire.REQUEST_ID: request, wire.KEY: wire.KEY_SCHEME + key,
               wire.DEADLINE: "9000", wire.TOKENS: "100,30"}
    try:
        connection.request("POST" if path.startswith("/streams") else "GET", path, headers=headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as error:
        return repr(error)
    finally:
        connection.close()


def wait_for(condition, seconds):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(0.05)
    return True


def check_recovery(cluster, shape):
    """A key that is new in the configuration shows that it has come into force."""
    gateway = cluster.gateways[0]
    cluster.accounts[shape] = {f"key-{shape}"}
    cluster.publish_config()
    if not wait_for(lambda: call(gateway, PATHS[0], f"new-{time.monotonic()}", f"key-{shape}") == 200, RECOVERY_SECONDS):
        yield f"{shape}: a configuration written afterwards is not in force after {RECOVERY_SECONDS} s"


def check_shape(cluster, callers, shape):
    store = cluster.store
    gateway = cluster.gateways[0]
    started_at = time.monotonic()
    store.endless_answers.clear()
    store.endless = shape
    if shape == Store.PAGES:
        # The gateway reads everything again.
        store.compact()
    time.sleep(ENDLESS_SECONDS)
    answers = dict(store.endless_answers)
    store.endless = None
    calls, failed = callers.failures(started_at)
    memory_mb = peak_mb(gateway.process)
    print(f"{shape}: peak {memory_mb:.0f} MB, {calls} calls served, {len(failed)} failed, endless answers {answers}")
    if not answers:
        yield f"{shape}: not played"
    if not calls:
        yield f"{shape}: no calls"
    if memory_mb >= MAX_MB:
        yield f"{shape}: {memory_mb:.0f} MB"
    for failure in failed[:3]:
        yield f"{shape}: {failure}"
    yield from scenario.check_running(gateway)
    yield from check_recovery(cluster, shape)


def check_start(cluster):
    store = cluster.store
    gateway = cluster.gateways[0]
    for shape in ("endlessChunks", Store.PAGES):
        gateway.process.kill()
        store.endless = shape
        gateway.process.start()
        time.sleep(ENDLESS_SECONDS)
        if is_ready_at(gateway.ready_port):
            yield f"start, {shape}: ready without a configuration"
        memory_mb = peak_mb(gateway.process)
        yield from scenario.check_running(gateway)
        store.endless = None
        began_at = time.monotonic()
        if not wait_for(lambda: is_ready_at(gateway.ready_port), RECOVERY_SECONDS):
            yield f"start, {shape}: not ready {RECOVERY_SECONDS} s after the store answers"
        print(f"start, {shape}: peak {memory_mb:.0f} MB, ready {time.monotonic() - began_at:.2f} s after the fault")
        if memory_mb >= MAX_MB:
            yield f"start, {shape}: {memory_mb:.0f} MB"


def main():
    failures = []
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(scenario.working_folder(1))
        cluster = Cluster(folder, 1, gateways=1, engines=1, registers=2)
        stack.callback(cluster.close)
        cluster.gateways[0].max_key_revocation_seconds = KEY_REVOCATION_SECONDS
        cluster.start()
        callers = Callers(cluster.gateways[0])
        for shape in SHAPES:
            failures += check_shape(cluster, callers, shape)
        callers.end()
        failures += check_start(cluster)
    return scenario.exit_code(failures)


if __name__ == "__main__":
    sys.exit(main())

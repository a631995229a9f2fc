"""Gateway in front of backend servers whose answers never end.

usage: endless_answers.py

Guards against a gateway that runs out of memory because of a few faulty servers. For each shape, a hundred
concurrent requests meet an answer without an end. The process stays below the memory of the smallest VM,
each request is answered in time, and requests to the healthy servers of another service are served meanwhile and afterwards.
"""

import concurrent.futures
import http.client
import pathlib
import re
import sys
import tempfile
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak import endless
from soak.cluster import Cluster

REQUESTS = 100
SMALLEST_VM_MB = 160
TIMEOUT_SECONDS = 4
HEALTHY_CALL_INTERVAL_SECONDS = 0.03
PATHS = {"register": "/reads/x", "engine": "/streams/x"}
# The answer is complete before the endless part starts, so it may be forwarded.
COMPLETE_ANSWER_SHAPES = ("endlessAfter", "endlessTrailer")
# Time that a busy machine may add.
SCHEDULING_TOLERANCE_SECONDS = 6


def peak_mb(process):
    status = pathlib.Path(f"/proc/{process.child.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024


def call(cluster, path, request):
    connection = http.client.HTTPConnection("127.0.0.1", cluster.gateways[0].port,
                                            timeout=TIMEOUT_SECONDS + SCHEDULING_TOLERANCE_SECONDS)
    headers = {"Host": "soak.example", wire.REQUEST_ID: request, wire.KEY: "Token key-0",
               wire.DEADLINE: str(TIMEOUT_SECONDS * 1000), wire.TOKENS: "8000,300"}
    started_at = time.monotonic()
    try:
        connection.request("POST" if path.startswith("/streams") else "GET", path, headers=headers)
        response = connection.getresponse()
        body = response.read()
        return response.status, body, time.monotonic() - started_at
    except http.client.IncompleteRead:
        return "cut", b"", time.monotonic() - started_at
    except (OSError, http.client.HTTPException) as error:
        return repr(error), b"", time.monotonic() - started_at
    finally:
        connection.close()


def call_healthy(cluster, shape, path, is_over):
    """Calls a service without faults until is_over() and returns the answers that were not served in time."""
    failed = []
    number = 0
    while number == 0 or not is_over():
        number += 1
        status, _, seconds = call(cluster, path, f"healthy-{shape}-{path[1]}-{number}")
        if status != 200 or seconds > TIMEOUT_SECONDS:
            failed.append(f"{status} after {seconds:.1f} s")
        time.sleep(HEALTHY_CALL_INTERVAL_SECONDS)
    return number, failed


def check_shape(cluster, shape, service, path):
    """Sends the requests for one shape to a service and yields its failures."""
    healthy_path = next(other for name, other in PATHS.items() if name != service)
    for server in cluster.servers:
        if server.service == service:
            server.set_faults({shape: 1})
    with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
        calls = [pool.submit(call, cluster, path, f"{shape}-{path[1]}-{number}")
                 for number in range(REQUESTS)]
        healthy_calls, healthy_failures = call_healthy(cluster, shape, healthy_path,
                                                       lambda: all(one.done() for one in calls))
        answers = [one.result() for one in calls]
    for server in cluster.servers:
        server.set_faults({})
    statuses = {status for status, _, _ in answers}
    slowest_seconds = max(seconds for _, _, seconds in answers)
    peak_memory_mb = peak_mb(cluster.gateways[0].process)
    print(f"{path} {shape}: peak {peak_memory_mb:.0f} MB, slowest {slowest_seconds:.2f} s, {sorted(map(str, statuses))},"
          f" {healthy_calls} calls to healthy servers")
    for failure in healthy_failures:
        yield f"{shape}: a healthy server's answer meanwhile: {failure}"
    allowed = {502, 503, 504, "cut"}
    if shape in COMPLETE_ANSWER_SHAPES:
        allowed.add(200)
    if peak_memory_mb >= SMALLEST_VM_MB:
        yield f"{shape}: {peak_memory_mb:.0f} MB"
    if not statuses <= allowed:
        yield f"{shape}: {statuses - allowed}"
    if slowest_seconds > TIMEOUT_SECONDS + SCHEDULING_TOLERANCE_SECONDS / 2:
        yield f"{shape}: an answer after {slowest_seconds:.1f} s"


def main():
    failures = []
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, 1, gateways=1, engines=2, registers=2)
        try:
            cluster.start()
            for shape in endless.SHAPES:
                for service, path in PATHS.items():
                    failures += check_shape(cluster, shape, service, path)
            time.sleep(3)
            status, _, _ = call(cluster, "/reads/x", "sound")
            if status != 200:
                failures.append(f"a sound server's answer afterwards: {status}")
            failures += scenario.check_running(cluster.gateways[0])
        finally:
            cluster.close()
    return scenario.exit_code(failures)


if __name__ == "__main__":
    sys.exit(main())

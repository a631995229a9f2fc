"""Planned stop of a gateway under load.

usage: planned_stop.py

Guards against requests that lose their answer around SIGTERM. Callers in a closed loop, half of them on
keep-alive connections, send reads and writes until the port is closed. Every request that was sent
completely gets an answer. A request that crosses the close of an idle keep-alive connection does not count.
"""

import http.client
import pathlib
import signal
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "platform" / "standins"), str(ROOT / "tools" / "lib")]
import wire  # noqa: E402
from soak.cluster import Cluster  # noqa: E402

CALLER_COUNT = 80
LOAD_SECONDS = 1.5


class Caller:
    def __init__(self, port, number):
        self.port = port
        self.number = number
        self.keeps_connection = number % 2 == 0
        self.answered_count = 0
        self.unanswered = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection = None
        count = 0
        while True:
            count += 1
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=10)
                try:
                    connection.connect()
                except OSError:
                    return  # the gateway has closed its port
            if not self.send(connection, f"stop-{self.number}-{count}"):
                return
            if not self.keeps_connection or connection.sock is None:
                connection.close()
                connection = None

    def send(self, connection, request):
        method, path = ("POST", "/writes/x") if self.number % 4 < 2 else ("GET", "/reads/x")
        headers = {"Host": "soak.example", wire.REQUEST_ID: request, wire.KEY: "Token key-0",
                   wire.DEADLINE: "4000"}
        try:
            connection.request(method, path, headers=headers)
        except OSError as error:
            self.unanswered.append(f"{request} while it was sent: {error!r}")
            return False
        try:
            connection.getresponse().read()
            self.answered_count += 1
            return True
        except (OSError, http.client.HTTPException) as error:
            self.unanswered.append(f"{request}: {error!r}")
            return False


def main():
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(folder, 1, gateways=1, engines=1, registers=4)
        try:
            cluster.start()
            callers = [Caller(cluster.gateways[0].port, number) for number in range(CALLER_COUNT)]
            time.sleep(LOAD_SECONDS)
            process = cluster.gateways[0].process
            process.send_signal(signal.SIGTERM)
            code = process.child.wait(20)
            for caller in callers:
                caller.thread.join(10)
        finally:
            cluster.close()
    cut = [line for caller in callers for line in caller.unanswered]
    print(f"{sum(caller.answered_count for caller in callers)} answered, {len(cut)} cut, exit code {code}")
    for line in cut[:20]:
        print("CUT", line)
    return 1 if cut or code != 0 else 0


if __name__ == "__main__":
    sys.exit(main())

"""A gateway of the soak: its settings and its process."""

import http.client
import subprocess
import threading
import time

from system import BUILD
from .limits import (MAX_KEY_REVOCATION_SECONDS, MAX_SERVER_LIST_DELAY_SECONDS,
                     RESTART_DELAY_SECONDS, ZONES)
from .process import Process


class Gateway:
    def __init__(self, cluster, index):
        self.cluster = cluster
        self.index = index
        self.name = f"gateway-{index}"
        self.route = f"callers-{index}"
        self.store_route = f"store-{index}"
        self.zone = ZONES[index % len(ZONES)]
        self.port = cluster.ports.allocate()
        self.ready_port = cluster.ports.allocate()
        self.caller_port = 0
        self.store_port = 0
        self.restart_lock = threading.Lock()
        self.is_in_rotation = False
        self.should_run = True
        self.process = None
        self.max_key_revocation_seconds = MAX_KEY_REVOCATION_SECONDS
        self.memory_mb = 160
        self.rolls_out = False

    def prepare(self):
        settings = self.cluster.folder / f"{self.name}.yaml"
        regions = ", ".join(f'"{zone}={zone}"' for zone in ZONES)
        settings.write_text(
            f"nodeId: {self.name}\navailabilityZone: {self.zone}\nregions: [{regions}]\n"
            f"listen: 127.0.0.1:{self.port}\nready: 127.0.0.1:{self.ready_port}\n"
            f"metrics: 127.0.0.1:0\nstore: 127.0.0.1:{self.store_port}\n"
            f"keyRevocationMs: {self.max_key_revocation_seconds * 1000}\n"
            f"listNoticeMs: {MAX_SERVER_LIST_DELAY_SECONDS * 1000}\n"
            f"memoryMb: {self.memory_mb}\n"
            f"drainLimitSeconds: {self.cluster.drain_timeout_seconds}\n"
            + ("rollouts:\n  maxShare: 0.1\n  slackRequests: 50\n  rollbackMs: 5000\n" if self.rolls_out else ""))
        self.process = Process(self.cluster.journal, self.name,
                               [BUILD / "apps/foxtailring-gateway", f"--config={settings}"],
                               self.cluster.folder / f"{self.name}.log")

    def restart(self, signal_number):
        """Ends the process with a signal and starts it again, as the platform does."""
        if not self.restart_lock.acquire(blocking=False):
            return
        try:
            self.should_run = False
            self.process.resume()
            self.process.send_signal(signal_number)
            try:
                code = self.process.child.wait(self.cluster.drain_timeout_seconds)
            except subprocess.TimeoutExpired:
                self.cluster.journal.record("grace", process=self.name)
                self.process.kill()
                code = None
            self.cluster.journal.record("exited", process=self.name, signal=signal_number.name, code=code)
            time.sleep(RESTART_DELAY_SECONDS)
            if not self.cluster.is_ending:
                self.process.start()
            self.should_run = True
        finally:
            self.restart_lock.release()


def is_ready_at(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=0.5)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()

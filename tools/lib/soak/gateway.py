"""A gateway of the soak: its settings and its process."""

import http.client
import subprocess
import threading
import time

from system import BUILD
from .limits import (DRAIN_LIMIT_SECONDS, KEY_REVOCATION_SECONDS, LIST_NOTICE_SECONDS,
                     RESTART_SECONDS, ZONES)
from .process import Process


class Gateway:
    def __init__(self, world, index):
        self.world = world
        self.index = index
        self.name = f"gateway-{index}"
        self.route = f"callers-{index}"
        self.store_route = f"store-{index}"
        self.zone = ZONES[index % len(ZONES)]
        self.port = world.ports.next()
        self.ready_port = world.ports.next()
        self.caller_port = 0
        self.store_port = 0
        self.is_changing = threading.Lock()
        self.is_in_rotation = False
        self.wants_running = True
        self.process = None

    def prepare(self):
        settings = self.world.folder / f"{self.name}.yaml"
        regions = ", ".join(f'"{zone}={zone}"' for zone in ZONES)
        settings.write_text(
            f"nodeId: {self.name}\navailabilityZone: {self.zone}\nregions: [{regions}]\n"
            f"listen: 127.0.0.1:{self.port}\nready: 127.0.0.1:{self.ready_port}\n"
            f"metrics: 127.0.0.1:0\nstore: 127.0.0.1:{self.store_port}\n"
            f"keyRevocationMs: {KEY_REVOCATION_SECONDS * 1000}\n"
            f"listNoticeMs: {LIST_NOTICE_SECONDS * 1000}\n"
            f"drainLimitSeconds: {DRAIN_LIMIT_SECONDS}\n")
        self.process = Process(self.world.journal, self.name,
                               [BUILD / "apps/foxtailring-gateway", f"--config={settings}"],
                               self.world.folder / f"{self.name}.log")

    def restart(self, number):
        """Ends the process by a signal and starts it again, as the platform does."""
        if not self.is_changing.acquire(blocking=False):
            return
        try:
            self.wants_running = False
            self.process.resume()
            self.process.send(number)
            try:
                code = self.process.child.wait(DRAIN_LIMIT_SECONDS)
            except subprocess.TimeoutExpired:
                self.world.journal.note("grace", process=self.name)
                self.process.kill()
                code = None
            self.world.journal.note("exited", process=self.name, signal=number.name, code=code)
            time.sleep(RESTART_SECONDS)
            if not self.world.is_ending:
                self.process.start()
            self.wants_running = True
        finally:
            self.is_changing.release()


def probe(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=0.5)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()

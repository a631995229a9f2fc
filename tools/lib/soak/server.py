"""A backend server of the soak: its process and its entry in the store."""

import http.client
import sys
import threading
import time

import wire
from system import ROOT, request
from .limits import HEARTBEAT_TIMEOUT_SECONDS, MAX_SERVER_LIST_DELAY_SECONDS, ZONES
from .ports import wait_for_port
from .process import Process


class Server:
    """A backend server and its entry in the store."""

    def __init__(self, cluster, index, service):
        self.cluster = cluster
        self.index = index
        self.service = service
        self.version = "v1"
        self.zone = ZONES[index % len(ZONES)]
        self.slots = 16 if service == "engine" else 6
        self.has_changed_slots = False
        self.is_retired = False  # stopped for good, until its place is taken by another version
        self.route = f"server-{index}"
        self.port = cluster.ports.allocate()
        self.extra_ports = []
        self.address = ""
        self.state = wire.READY
        self.sequence = 0
        self.starts = 0
        self.name = ""
        self.born_ms = 0
        self.process = None
        self.transition_lock = threading.Lock()

    def start(self):
        """Starts the process under a new id, as a restarted server has."""
        if self.is_retired:
            return
        self.starts += 1
        self.name = f"i-{self.index}-{self.starts}"
        self.born_ms = int(time.time() * 1000)
        self.state = wire.READY
        log = self.cluster.folder / f"server-{self.index}.jsonl"
        self.process = Process(self.cluster.journal, self.name,
                               [sys.executable, ROOT / "tools/lib/soak/backend.py", self.name,
                                self.service, ",".join(map(str, [self.port, *self.extra_ports])), log],
                               self.cluster.folder / f"server-{self.index}.log")
        self.process.start()
        wait_for_port(self.port)
        if self.has_changed_slots:
            self._send_slots()
        self.publish()

    def publish(self):
        if self.is_retired:
            return
        self.sequence += 1
        self.cluster.store.put(wire.SERVER_PREFIX + self.name, wire.server_entry(self))
        self.cluster.journal.record("listed", server=self.name, state=self.state)

    def withdraw(self):
        self.cluster.store.remove(wire.SERVER_PREFIX + self.name)
        self.cluster.journal.record("withdrawn", server=self.name)

    def crash(self, down_seconds):
        """Kills the process without notice; its entry expires after the heartbeat timeout."""
        if not self.transition_lock.acquire(blocking=False):
            return
        try:
            name = self.name
            self.process.kill()
            self.cluster.journal.record("crashed", server=name)
            time.sleep(min(down_seconds, HEARTBEAT_TIMEOUT_SECONDS))
            self.withdraw()
            time.sleep(max(0, down_seconds - HEARTBEAT_TIMEOUT_SECONDS))
            if not self.cluster.is_ending:
                self.start()
        finally:
            self.transition_lock.release()

    def leave(self):
        """Planned stop: announces the drain, serves until every gateway knows, ends and starts again."""
        if not self.transition_lock.acquire(blocking=False):
            return
        try:
            self.state = wire.DRAINING
            self.publish()
            time.sleep(MAX_SERVER_LIST_DELAY_SECONDS + 2)
            self.withdraw()
            self.process.kill()
            if not self.cluster.is_ending:
                self.start()
        finally:
            self.transition_lock.release()

    def stop(self):
        """Ends at once and for good."""
        self.is_retired = True
        self.process.kill()
        self.withdraw()

    def retire(self):
        """Drains and ends for good."""
        self.state = wire.DRAINING
        self.publish()
        time.sleep(MAX_SERVER_LIST_DELAY_SECONDS + 2)
        self.stop()

    def leave_by_answer(self):
        """Planned stop that only the answers announce: the entry says ready until the server is gone."""
        if not self.transition_lock.acquire(blocking=False):
            return
        try:
            if not self.set_leaving("1"):
                return
            ends_at = time.monotonic() + MAX_SERVER_LIST_DELAY_SECONDS + 3
            while time.monotonic() < ends_at and not self.cluster.is_ending:
                time.sleep(HEARTBEAT_TIMEOUT_SECONDS / 3)
                self.publish()
            self.withdraw()
            self.process.kill()
            if not self.cluster.is_ending:
                self.start()
        finally:
            self.transition_lock.release()

    def set_leaving(self, value):
        """Has each answer say that the server leaves, by this value; none: no answer says so. False if the
        server cannot be reached."""
        try:
            request(self.port, "POST", "/standin/leaving", {"value": value}, timeout=2)
        except (OSError, http.client.HTTPException) as error:
            self.cluster.journal.record("leavingNotSet", server=self.name, cause=str(error))
            return False
        self.cluster.journal.record("leavingByAnswer", server=self.name, value=value)
        return True

    def set_rate_limit(self, limit):
        """Has the server name a limit in requests per second; none: it names no limit any more."""
        try:
            request(self.port, "POST", "/standin/limit", {"limit": limit}, timeout=2)
        except (OSError, http.client.HTTPException) as error:
            self.cluster.journal.record("limitNotSet", server=self.name, cause=str(error))

    def set_pause(self, seconds):
        """Has the server turn requests away and ask for a pause; none: it takes requests again."""
        try:
            request(self.port, "POST", "/standin/pause", {"pause": seconds}, timeout=2)
        except (OSError, http.client.HTTPException) as error:
            self.cluster.journal.record("pauseNotSet", server=self.name, cause=str(error))

    def set_slots(self, slots):
        """Sets how many requests the server runs at a time, also in its entry and after a restart."""
        self.slots = slots
        self.has_changed_slots = True
        self._send_slots()
        self.publish()

    def _send_slots(self):
        request(self.port, "POST", "/standin/slots", {"slots": self.slots}, timeout=2)

    def set_faults(self, faults):
        """Sets the faults; a server that is down or paused does not receive them and keeps its own."""
        try:
            request(self.port, "POST", "/standin/faults", faults, timeout=2)
        except (OSError, http.client.HTTPException) as error:
            self.cluster.journal.record("faultNotSet", server=self.name, cause=str(error))

"""The processes of one soak: gateways, backend servers, their proxy and the store."""

import http.client
import itertools
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

import wire
from .store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent
BUILD = ROOT / "build"
ZONES = ["north", "south", "west"]
KEY_REVOCATION_SECONDS = 3
LIST_NOTICE_SECONDS = 2
DRAIN_LIMIT_SECONDS = 5
HEARTBEATS_MISSED_SECONDS = 1.5
RESTART_SECONDS = 0.3
LIMITS = wire.limits(idle_ms=15000)


class Ports:
    """Ports for one soak, from a block that it claims by listening on the block's first port.

    The blocks lie below the ports that the system gives to outgoing connections.
    """

    FIRST = 12000
    BLOCKS = 100
    SIZE = 200

    def __init__(self):
        blocks = list(range(self.BLOCKS))
        random.SystemRandom().shuffle(blocks)
        self.claim = socket.socket()
        for block in blocks:
            first = self.FIRST + block * self.SIZE
            if can_bind(self.claim, first):
                self.claim.listen()
                self.rest = iter(range(first + 1, first + self.SIZE))
                return
        raise RuntimeError("no block of ports is free")

    def next(self):
        for port in self.rest:
            with socket.socket() as probe_socket:
                if can_bind(probe_socket, port):
                    return port
        raise RuntimeError("the block of ports is used up")


def can_bind(unbound, port):
    try:
        unbound.bind(("127.0.0.1", port))
        return True
    except OSError:
        return False


class Journal:
    """What the soak did, for the checks and for whoever traces a failure."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.entries = []
        self.file = open(path, "w", buffering=1)

    def note(self, event, **fields):
        entry = {"at": time.monotonic(), "event": event, **fields}
        with self.lock:
            self.entries.append(entry)
            self.file.write(json.dumps(entry) + "\n")
        return entry["at"]

    def of(self, *events):
        with self.lock:
            return [entry for entry in self.entries if entry["event"] in events]


class Process:
    """A child that is ended by its id only."""

    def __init__(self, journal, name, arguments, log):
        self.journal = journal
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log = log
        self.child = None
        self.is_paused = False
        self.lock = threading.RLock()

    def start(self):
        with self.lock:
            self.child = subprocess.Popen(self.arguments, stdout=open(self.log, "ab"),
                                          stderr=subprocess.STDOUT)
            self.is_paused = False
            self.journal.note("started", process=self.name)

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        with self.lock:
            if self.is_running():
                self.journal.note("signal", process=self.name, signal=number.name)
                self.child.send_signal(number)

    def pause(self):
        with self.lock:
            self.is_paused = True
            self.send(signal.SIGSTOP)

    def resume(self):
        with self.lock:
            if self.is_paused:
                self.is_paused = False
                self.send(signal.SIGCONT)

    def kill(self):
        with self.lock:
            self.send(signal.SIGKILL)
            if self.child is not None:
                self.child.wait()


class Server:
    """A backend server and its entry in the store."""

    def __init__(self, world, index, service):
        self.world = world
        self.index = index
        self.service = service
        self.zone = ZONES[index % len(ZONES)]
        self.slots = 16 if service == "engine" else 6
        self.route = f"server-{index}"
        self.port = world.ports.next()
        self.address = ""
        self.state = wire.READY
        self.sequence = 0
        self.starts = 0
        self.name = ""
        self.born_ms = 0
        self.process = None
        self.is_changing = threading.Lock()

    def start(self):
        """Starts anew under another id, as a server that was restarted does."""
        self.starts += 1
        self.name = f"i-{self.index}-{self.starts}"
        self.born_ms = int(time.time() * 1000)
        self.state = wire.READY
        log = self.world.folder / f"server-{self.index}.jsonl"
        self.process = Process(self.world.journal, self.name,
                               [sys.executable, ROOT / "tools/lib/soak/backend.py", self.name,
                                self.service, self.port, log],
                               self.world.folder / f"server-{self.index}.log")
        self.process.start()
        wait_for_port(self.port)
        self.publish()

    def publish(self):
        self.sequence += 1
        self.world.store.put(wire.SERVER_PREFIX + self.name, wire.server_entry(self))
        self.world.journal.note("listed", server=self.name, state=self.state)

    def withdraw(self):
        self.world.store.remove(wire.SERVER_PREFIX + self.name)
        self.world.journal.note("withdrawn", server=self.name)

    def crash(self, down_seconds):
        """Ends without notice; the entry lapses when heartbeats have been missed."""
        if not self.is_changing.acquire(blocking=False):
            return
        try:
            name = self.name
            self.process.kill()
            self.world.journal.note("crashed", server=name)
            time.sleep(min(down_seconds, HEARTBEATS_MISSED_SECONDS))
            self.withdraw()
            time.sleep(max(0, down_seconds - HEARTBEATS_MISSED_SECONDS))
            if not self.world.is_ending:
                self.start()
        finally:
            self.is_changing.release()

    def leave(self):
        """Leaves as planned: tells it, serves on for the notice, ends, and comes back."""
        if not self.is_changing.acquire(blocking=False):
            return
        try:
            self.state = wire.DRAINING
            self.publish()
            time.sleep(LIST_NOTICE_SECONDS + 2)
            self.withdraw()
            self.process.kill()
            if not self.world.is_ending:
                self.start()
        finally:
            self.is_changing.release()

    def set_faults(self, faults):
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=2)
        try:
            connection.request("POST", "/standin/faults", json.dumps(faults))
            connection.getresponse().read()
        except (OSError, http.client.HTTPException) as fault:
            self.world.journal.note("faultNotSet", server=self.name, cause=str(fault))
        finally:
            connection.close()


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


def wait_for_port(port, seconds=10):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            socket.create_connection(("127.0.0.1", port), 0.5).close()
            return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"nothing listens on port {port}")


class World:
    """Starts everything; close() ends it."""

    def __init__(self, folder, seed, gateways, engines, registers):
        self.folder = pathlib.Path(folder)
        self.random = random.Random(seed)
        self.journal = Journal(self.folder / "journal.jsonl")
        self.is_ending = False
        self.ports = Ports()
        self.store = Store()
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        services = ["engine"] * engines + ["register"] * registers
        self.servers = [Server(self, index, service) for index, service in enumerate(services)]
        self.versions = itertools.count(10, 7)
        self.accounts = {f"account-{index}": {f"key-{index}"} for index in range(4)}
        self.timeouts = {"streams": 25000, "writes": 5000, "reads": 5000}
        self.proxy = None
        self.control_port = self.ports.next()

    def start(self):
        self._start_proxy()
        self.publish_config()
        starters = [threading.Thread(target=server.start) for server in self.servers]
        for starter in starters:
            starter.start()
        for starter in starters:
            starter.join()
        for gateway in self.gateways:
            gateway.prepare()
            gateway.process.start()
        threading.Thread(target=self._balance, daemon=True).start()
        deadline = time.monotonic() + 10
        while not all(gateway.is_in_rotation for gateway in self.gateways):
            if time.monotonic() > deadline:
                raise RuntimeError("a gateway is not ready in time")
            time.sleep(0.1)

    def _start_proxy(self):
        routes = []
        for server in self.servers:
            port = self.ports.next()
            server.address = f"127.0.0.1:{port}"
            routes.append(f"--route={server.route}@{server.address}=127.0.0.1:{server.port}")
        for gateway in self.gateways:
            gateway.caller_port = self.ports.next()
            gateway.store_port = self.ports.next()
            routes += [
                f"--route={gateway.route}@127.0.0.1:{gateway.caller_port}=127.0.0.1:{gateway.port}",
                f"--route={gateway.store_route}@127.0.0.1:{gateway.store_port}"
                f"=127.0.0.1:{self.store.port}"]
        self.proxy = Process(self.journal, "proxy",
                             [BUILD / "fakes/fault-proxy", f"--listen=127.0.0.1:{self.control_port}",
                              *routes], self.folder / "proxy.log")
        self.proxy.start()
        wait_for_port(self.control_port)

    def set_link(self, route, faults):
        connection = http.client.HTTPConnection("127.0.0.1", self.control_port, timeout=5)
        connection.request("POST", f"/fake/routes/{route}", json.dumps(faults),
                           {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        connection.close()
        if response.status != 200:
            raise RuntimeError(f"fault of {route}: {response.status} {text}")

    def take_faults_off(self):
        """Ends what a fault may have left on."""
        for gateway in self.gateways:
            gateway.process.resume()
        routes = [server.route for server in self.servers]
        for gateway in self.gateways:
            routes += [gateway.route, gateway.store_route]
        for route in routes:
            self.set_link(route, {"oneWay": None, "refuse": False, "delayMs": 0})

    def publish_config(self):
        version = next(self.versions)
        routes = [wire.route("streams", "engine", "streaming", self.timeouts["streams"], 1500, 700),
                  wire.route("writes", "register", "non_idempotent", self.timeouts["writes"], 300),
                  wire.route("reads", "register", "idempotent", self.timeouts["reads"], 300)]
        self.store.put(wire.CONFIG_KEY, wire.config(version, routes, self.accounts, LIMITS))
        return self.journal.note("config", version=version,
                                 keys=sorted(key for keys in self.accounts.values() for key in keys))

    def _balance(self):
        """Takes a gateway out after two misses and back in when it is ready."""
        misses = {gateway.name: 2 for gateway in self.gateways}
        while not self.is_ending:
            for gateway in self.gateways:
                is_ready = probe(gateway.ready_port)
                misses[gateway.name] = 0 if is_ready else misses[gateway.name] + 1
                gateway.is_in_rotation = misses[gateway.name] < 2
            time.sleep(1)

    def in_rotation(self):
        return [gateway for gateway in self.gateways if gateway.is_in_rotation] or self.gateways

    def close(self):
        self.is_ending = True
        processes = [gateway.process for gateway in self.gateways]
        processes += [server.process for server in self.servers] + [self.proxy]
        for process in processes:
            if process is not None and process.is_running():
                process.kill()
        self.store.server.shutdown()


def probe(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=0.5)
    try:
        connection.request("GET", "/readyz")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()

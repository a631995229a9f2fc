"""The processes of one soak: gateways, backend servers, their fault proxy and the store."""

import itertools
import pathlib
import random
import threading
import time

import wire
from system import BUILD, request
from .gateway import Gateway, is_ready_at
from .journal import Journal
from .limits import DRAIN_TIMEOUT_SECONDS, IDLE_TIMEOUT_MS
from .ports import Ports, wait_for_port
from .process import Process
from .server import Server
from .store import Store


class Cluster:
    """All processes of a soak. start() waits until every gateway is ready; close() ends them."""

    def __init__(self, folder, seed, gateways, engines, registers,
                 drain_timeout_seconds=DRAIN_TIMEOUT_SECONDS, rolls_out=False):
        self.folder = pathlib.Path(folder)
        self.seed = seed
        self.random = random.Random(seed)
        self.journal = Journal(self.folder / "journal.jsonl")
        self.is_ending = False
        self.drain_timeout_seconds = drain_timeout_seconds
        self.ports = Ports()
        self.store = Store()
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        services = ["engine"] * engines + ["register"] * registers
        self.servers = [Server(self, index, service) for index, service in enumerate(services)]
        # Not started; the places of servers of another version.
        self.spares = [Server(self, len(services) + index, service)
                       for index, service in enumerate(services if rolls_out else [])]
        for gateway in self.gateways:
            gateway.rolls_out = rolls_out
        self.config_versions = itertools.count(10, 7)
        self.config_lock = threading.Lock()
        self.accounts = {f"account-{index}": {f"key-{index}"} for index in range(4)}
        self.timeouts = {"streams": 25000, "writes": 5000, "reads": 5000}
        self.objectives = {"streams": 1500, "writes": 300, "reads": 300}
        self.read_attempts = 3
        self.limits = wire.limits(IDLE_TIMEOUT_MS)
        self.proxy = None
        self.control_port = self.ports.allocate()

    def start(self):
        self._start_proxy()
        self.publish_config()
        start_threads = [threading.Thread(target=server.start) for server in self.servers]
        for start_thread in start_threads:
            start_thread.start()
        for start_thread in start_threads:
            start_thread.join()
        for gateway in self.gateways:
            gateway.prepare()
            gateway.process.start()
        threading.Thread(target=self._update_rotation, daemon=True).start()
        deadline = time.monotonic() + 10
        while not all(gateway.is_in_rotation for gateway in self.gateways):
            if time.monotonic() > deadline:
                raise RuntimeError("a gateway is not ready in time")
            time.sleep(0.1)

    def _start_proxy(self):
        routes = []
        for server in self.servers + self.spares:
            port = self.ports.allocate()
            server.address = f"127.0.0.1:{port}"
            routes.append(f"--route={server.route}@{server.address}=127.0.0.1:{server.port}")
        for gateway in self.gateways:
            gateway.caller_port = self.ports.allocate()
            gateway.store_port = self.ports.allocate()
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
        status, text = request(self.control_port, "POST", f"/fake/routes/{route}", faults)
        if status != 200:
            raise RuntimeError(f"fault of {route}: {status} {text}")

    def clear_faults(self):
        """Removes faults that may still be active."""
        for gateway in self.gateways:
            gateway.process.resume()
        for server in self.servers:
            server.process.resume()
            server.set_faults({})
            server.set_rate_limit(None)
            server.set_pause(None)
        routes = [server.route for server in self.servers]
        for gateway in self.gateways:
            routes += [gateway.route, gateway.store_route]
        for route in routes:
            self.set_link(route, {"oneWay": None, "refuse": False, "delayMs": 0})

    def publish_config(self):
        """Publishes the configuration; the versions of concurrent calls arrive in order."""
        with self.config_lock:
            version = next(self.config_versions)
            routes = [wire.route("streams", "engine", "streaming", self.timeouts["streams"],
                                 self.objectives["streams"], 700),
                      wire.route("writes", "register", "non_idempotent", self.timeouts["writes"],
                                 self.objectives["writes"]),
                      wire.route("reads", "register", "idempotent", self.timeouts["reads"],
                                 self.objectives["reads"], max_attempts=self.read_attempts)]
            self.store.put(wire.CONFIG_KEY, wire.config(version, routes, self.accounts, self.limits))
            return self.journal.record("config", version=version, keys=sorted(
                key for keys in self.accounts.values() for key in keys))

    def _update_rotation(self):
        """Takes a gateway out of rotation after two failed probes, and back in when it is ready."""
        failed_probes = {gateway.name: 2 for gateway in self.gateways}
        while not self.is_ending:
            for gateway in self.gateways:
                is_ready = is_ready_at(gateway.ready_port)
                failed_probes[gateway.name] = 0 if is_ready else failed_probes[gateway.name] + 1
                gateway.is_in_rotation = failed_probes[gateway.name] < 2
            time.sleep(1)

    def gateways_in_rotation(self):
        return [gateway for gateway in self.gateways if gateway.is_in_rotation] or self.gateways

    def close(self):
        self.is_ending = True
        processes = [gateway.process for gateway in self.gateways]
        processes += [server.process for server in self.servers + self.spares] + [self.proxy]
        for process in processes:
            if process is not None and process.is_running():
                process.kill()
        self.store.server.shutdown()

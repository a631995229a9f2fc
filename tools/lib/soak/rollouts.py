"""Roll-outs that the soak orders in series, beside its faults: versions that are good, fail or are slow."""

import base64
import itertools
import json
import random
import threading
import time

import wire

# After the start, until the gateways have counted each other.
START_SECONDS = 4
RAMP_SECONDS = 8
POLL_SECONDS = 0.02
# An order that has not ended so long after its ramp is deleted.
OVERTIME_SECONDS = 1
PAUSE_SECONDS = 0.5
# Of the new version's answers, by kind of version.
FAULTS = {"good": {}, "failing": {"error": 0.5}, "slow": {"late": 0.5}}
FIRST_FAULT_NUMBER = 500_000


class RolloutDriver:
    """Does what the operator and the platform do in a roll-out."""

    def __init__(self, cluster):
        self.cluster = cluster
        # Drawn apart, so that the faults of a seed stay what they are.
        self.random = random.Random(f"roll-outs of {cluster.seed}")
        self.versions = itertools.count(2)
        self.fault_numbers = itertools.count(FIRST_FAULT_NUMBER)
        self.thread = None

    def start(self, seconds):
        self.thread = threading.Thread(target=self._run, args=(time.monotonic() + seconds,), daemon=True)
        self.thread.start()

    def join(self):
        self.thread.join()

    def _run(self, ends_at):
        time.sleep(START_SECONDS)
        while time.monotonic() + RAMP_SECONDS < ends_at:
            self._roll_out(self.random.choice(("engine", "register")), self.random.choice(sorted(FAULTS)))
            time.sleep(PAUSE_SECONDS)

    def _roll_out(self, service, kind):
        cluster = self.cluster
        version = f"v{next(self.versions)}"
        new = [server for server in cluster.spares if server.service == service]
        cluster.store.put(wire.ROLLOUT_PREFIX + service, wire.rollout(service, version, RAMP_SECONDS))
        cluster.journal.record("rolloutOrdered", service=service, version=version, kind=kind,
                               rampSeconds=RAMP_SECONDS)
        faults = []
        for server in new:
            server.version = version
            server.is_retired = False
            server.start()
            server.set_faults(FAULTS[kind])
            cluster.journal.record("versionStarted", version=version, server=server.name)
            if kind != "good":
                faults.append(self._begin_fault("server_fails", server))
        state = self._wait_for_end(service, version)
        cluster.journal.record("rolloutEnded", service=service, version=version, kind=kind, state=state)
        if state == "completed":
            self._replace_servers(service, new)
            for server in new:
                server.set_faults({})
        else:
            self._retire(service, new)
        for fault in faults:
            cluster.journal.record("faultOver", **fault)

    def _wait_for_end(self, service, version):
        deadline = time.monotonic() + RAMP_SECONDS + OVERTIME_SECONDS
        while time.monotonic() < deadline:
            item = self.cluster.store.items.get(wire.ROLLOUT_STATUS_PREFIX + service)
            state, ordered = wire.rollout_state(json.loads(base64.b64decode(item["value"]))) if item else (None, None)
            if ordered == version and state in ("completed", "rolled_back"):
                return state
            time.sleep(POLL_SECONDS)
        return "none"

    def _replace_servers(self, service, new):
        """The old servers stop at once; the new ones take their places."""
        cluster = self.cluster
        old = [server for server in cluster.servers if server.service == service]
        for server, successor in zip(old, new):
            fault = self._begin_fault("server_crashed", server)
            server.stop()
            cluster.journal.record("faultOver", **fault)
            cluster.servers[cluster.servers.index(server)] = successor
            cluster.spares[cluster.spares.index(successor)] = server

    def _retire(self, service, new):
        self.cluster.store.remove(wire.ROLLOUT_PREFIX + service)
        leaving = [threading.Thread(target=server.retire) for server in new]
        for thread in leaving:
            thread.start()
        for thread in leaving:
            thread.join()

    def _begin_fault(self, kind, server):
        """Records a fault that the checks excuse at this server."""
        fields = {"number": next(self.fault_numbers), "kind": kind, "gateway": "", "server": server.name}
        self.cluster.journal.record("fault", seconds=0, **fields)
        return fields

"""Faults that the soak injects from outside, drawn by the seed, in series and overlapping."""

import itertools
import signal
import threading
import time

from . import endless

MEAN_PAUSE_SECONDS = 0.9
QUIET_START_SECONDS = 2
LINK_SILENCE = {"silentExisting": True}


class Faults:
    """Draws faults until it is stopped; stop() takes every lasting one off."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.threads = []
        self.is_stopping = threading.Event()
        self.kinds = [
            self.gateway_killed, self.gateway_terminated, self.gateway_paused, self.gateway_hangup,
            self.gateways_rolled, self.server_crashed, self.zone_crashed, self.server_paused,
            self.server_leaves, self.server_fails, self.link_silent, self.link_reset,
            self.link_slow, self.link_one_way, self.callers_reset, self.callers_slow,
            self.store_fails, self.store_forgets, self.store_cut, self.config_changed,
            self.key_withdrawn, self.gateways_killed]

    def run(self, seconds):
        time.sleep(QUIET_START_SECONDS)
        ends_at = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() >= ends_at:
                break
            kind = self.random.choice(self.kinds)
            thread = threading.Thread(target=self._inject, daemon=True,
                                      args=(number, kind, *self._draw()))
            self.threads.append(thread)
            thread.start()
            time.sleep(self.random.expovariate(1 / MEAN_PAUSE_SECONDS))
        self.is_stopping.set()
        for thread in self.threads:
            thread.join(15)

    def _draw(self):
        """What a fault may need: length, a gateway and a server. Drawn in one thread, by the seed."""
        return (self.random.uniform(0.2, 2.5), self.random.choice(self.world.gateways),
                self.random.choice(self.world.servers), self.random.random())

    def _inject(self, number, kind, length, gateway, server, luck):
        name = kind.__name__
        facts = {"number": number, "kind": name, "gateway": gateway.name, "server": server.name}
        self.world.journal.note("fault", seconds=length, **facts)
        try:
            kind(length, gateway, server, luck)
        except Exception as cause:  # a fault that fails is a fault of the soak, and ends the run
            self.world.journal.note("faultFailed", kind=name, cause=repr(cause))
        self.world.journal.note("faultOver", **facts)

    def gateway_killed(self, _length, gateway, _server, _luck):
        gateway.restart(signal.SIGKILL)

    def gateways_killed(self, _length, _gateway, _server, _luck):
        restarts = [threading.Thread(target=gateway.restart, args=(signal.SIGKILL,))
                    for gateway in self.world.gateways]
        for thread in restarts:
            thread.start()
        for thread in restarts:
            thread.join()

    def gateway_terminated(self, _length, gateway, _server, _luck):
        gateway.restart(signal.SIGTERM)

    def gateways_rolled(self, _length, _gateway, _server, _luck):
        for gateway in self.world.gateways:
            if not self.is_stopping.is_set():
                gateway.restart(signal.SIGTERM)

    def gateway_paused(self, length, gateway, _server, _luck):
        gateway.process.pause()
        time.sleep(length)
        gateway.process.resume()

    def gateway_hangup(self, _length, gateway, _server, _luck):
        gateway.process.send(signal.SIGHUP)

    def server_crashed(self, length, _gateway, server, _luck):
        server.crash(length)

    def zone_crashed(self, length, _gateway, server, _luck):
        crashes = [threading.Thread(target=other.crash, args=(length,))
                   for other in self.world.servers if other.zone == server.zone]
        for thread in crashes:
            thread.start()
        for thread in crashes:
            thread.join()

    def server_paused(self, length, _gateway, server, _luck):
        process = server.process
        process.pause()
        time.sleep(length)
        process.resume()

    def server_leaves(self, _length, _gateway, server, _luck):
        server.leave()

    def server_fails(self, length, _gateway, server, luck):
        names = ["notRun", "error", "truncated", "garbled", "doubled", "answerLost",
                 *endless.SHAPES]
        server.set_faults({names[int(luck * len(names))]: 0.4})
        time.sleep(length)
        server.set_faults({})

    def link_silent(self, _length, _gateway, server, _luck):
        self.world.set_link(server.route, LINK_SILENCE)

    def link_reset(self, _length, _gateway, server, _luck):
        self.world.set_link(server.route, {"cut": True})

    def link_slow(self, length, _gateway, server, _luck):
        self._for_a_while(server.route, {"delayMs": 60}, {"delayMs": 0}, length)

    def link_one_way(self, length, _gateway, server, luck):
        direction = "to-target" if luck < 0.5 else "to-client"
        self._for_a_while(server.route, {"oneWay": direction}, {"oneWay": None}, length)

    def callers_reset(self, _length, gateway, _server, _luck):
        self.world.set_link(gateway.route, {"cut": True})

    def callers_slow(self, length, gateway, _server, _luck):
        self._for_a_while(gateway.route, {"delayMs": 80}, {"delayMs": 0}, length)

    def store_fails(self, length, _gateway, _server, luck):
        self.world.store.fault = ["down", "silent", "slow"][int(luck * 3)]
        time.sleep(length * 2)
        self.world.store.fault = None

    def store_forgets(self, _length, _gateway, _server, _luck):
        self.world.store.forget_history()

    def store_cut(self, length, gateway, _server, luck):
        if luck < 0.4:
            self.world.set_link(gateway.store_route, LINK_SILENCE)
            return
        self._for_a_while(gateway.store_route, {"refuse": True, "cut": True}, {"refuse": False},
                          length * 2)

    def config_changed(self, _length, _gateway, _server, luck):
        self.world.timeouts["reads"] = 3000 + int(luck * 2000)
        self.world.publish_config()

    def key_withdrawn(self, _length, _gateway, _server, luck):
        names = sorted(self.world.accounts)
        name = names[int(luck * len(names))]
        added = f"{name}-{time.monotonic_ns()}"
        withdrawn = self.world.accounts[name]
        # Callers go over to the new key before the old one is taken away.
        self.world.accounts[name] = withdrawn | {added}
        self.world.publish_config()
        time.sleep(1)
        self.world.accounts[name] = {added}
        at = self.world.publish_config()
        for key in sorted(withdrawn):
            self.world.journal.note("keyWithdrawn", key=key, acknowledged=at)

    def _for_a_while(self, route, fault, cure, seconds):
        self.world.set_link(route, fault)
        time.sleep(seconds)
        self.world.set_link(route, cure)

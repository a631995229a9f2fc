"""Faults that the soak injects from outside. They are drawn by the seed and may overlap."""

import itertools
import random
import signal
import threading
import time

from . import endless

MEAN_FAULT_INTERVAL_SECONDS = 0.9
FAULT_FREE_START_SECONDS = 2
# Before the other faults, a server of each service stops for so long, and goes on for a while before they begin.
SHORT_STOP_SECONDS = (1, 2)
SHORT_STOP_EFFECT_SECONDS = 0.5
# Requests per second that limited servers take, and how much longer than other faults they do.
LOWEST_LIMIT = 1.5
LIMIT_SPREAD = 8
LIMIT_STRETCH = 4
# Seconds of the pauses that servers ask for, and how much longer than other faults they turn requests away.
SHORTEST_PAUSE_SECONDS = 0.3
PAUSE_SPREAD_SECONDS = 3
PAUSE_STRETCH = 2
MEAN_PAUSE_INTERVAL_SECONDS = 2
MEAN_RESTORE_INTERVAL_SECONDS = 6
# Age of the backups from which the store is restored.
YOUNGEST_BACKUP_SECONDS = 0.5
BACKUP_AGE_SPREAD_SECONDS = 5
# Numbers of these faults in the journal, above those of the others.
FIRST_PAUSE_NUMBER = 100_000
FIRST_RESTORE_NUMBER = 200_000
FIRST_RESTORE_PAUSE_NUMBER = 300_000
FIRST_SHORT_STOP_NUMBER = 400_000
# How long a gateway that misses a restore stays paused after it, and how often a server writes meanwhile at most.
PAUSE_AFTER_RESTORE_SECONDS = 1
MAX_HEARTBEATS = 50
SILENT_LINK = {"silentExisting": True}


class FaultInjector:
    """Injects random faults until the time of run() is over, then waits for those still active."""

    def __init__(self, cluster, callers):
        self.cluster = cluster
        self.callers = callers
        self.random = cluster.random
        self.threads = []
        self.is_stopping = threading.Event()
        self.kinds = [
            self.gateway_killed, self.gateway_terminated, self.gateway_paused, self.gateway_hangup,
            self.gateways_rolled, self.server_crashed, self.zone_crashed, self.server_paused,
            self.server_leaves, self.server_fails, self.link_silent, self.link_reset,
            self.link_slow, self.link_one_way, self.callers_reset, self.callers_slow,
            self.store_fails, self.store_forgets, self.store_cut, self.config_changed,
            self.key_withdrawn, self.gateways_killed, self.server_limited, self.service_limited,
            self.server_leaves_by_answer]
        # Drawn apart, so that the other faults of a seed stay what they were before these existed.
        self.pause_random = random.Random(cluster.seed)
        self.pause_kinds = [self.server_turns_away, self.service_turns_away]
        self.restore_random = random.Random(f"restores of {cluster.seed}")
        self.restore_pause_numbers = itertools.count(FIRST_RESTORE_PAUSE_NUMBER)

    def run(self, seconds):
        time.sleep(FAULT_FREE_START_SECONDS)
        self._stop_servers_shortly()
        ends_at = time.monotonic() + seconds
        apart = [threading.Thread(target=self._inject_apart, daemon=True, args=arguments) for arguments in (
            (self.pause_random, self.pause_kinds, MEAN_PAUSE_INTERVAL_SECONDS, FIRST_PAUSE_NUMBER,
             self.cluster.gateways[:1]),
            (self.restore_random, [self.store_restored], MEAN_RESTORE_INTERVAL_SECONDS, FIRST_RESTORE_NUMBER,
             self.cluster.gateways))]
        for thread in apart:
            thread.start()
        for number in itertools.count():
            if time.monotonic() >= ends_at:
                break
            kind = self.random.choice(self.kinds)
            thread = threading.Thread(target=self._inject, daemon=True,
                                      args=(number, kind, *self._draw()))
            self.threads.append(thread)
            thread.start()
            time.sleep(self.random.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS))
        self.is_stopping.set()
        for thread in apart + self.threads:
            thread.join(15)

    def _stop_servers_shortly(self):
        """Stops a server of each service, near a gateway. Nothing else happens, so that short_stops_cut_nothing has
        requests to judge."""
        draw = random.Random(f"short stops of {self.cluster.seed}")
        zones = {gateway.zone for gateway in self.cluster.gateways}
        stops = []
        for number, service in enumerate(("engine", "register"), FIRST_SHORT_STOP_NUMBER):
            near = [server for server in self.cluster.servers if server.service == service and server.zone in zones]
            stops.append(threading.Thread(target=self._inject, daemon=True, args=(
                number, self.server_paused, draw.uniform(*SHORT_STOP_SECONDS), self.cluster.gateways[0],
                draw.choice(near), 0)))
        for thread in stops:
            thread.start()
        for thread in stops:
            thread.join()
        time.sleep(SHORT_STOP_EFFECT_SECONDS)

    def _draw(self):
        """Draws the arguments of a fault: duration, gateway, server and a fraction. A single thread draws,
        so that the seed determines the order."""
        return (self.random.uniform(0.2, 2.5), self.random.choice(self.cluster.gateways),
                self.random.choice(self.cluster.servers), self.random.random())

    def _inject_apart(self, draw, kinds, mean_interval, first_number, gateways):
        """Injects faults of these kinds, one at a time and at the gateways in turn, until the others are over."""
        for number in itertools.count(first_number):
            if self.is_stopping.wait(draw.expovariate(1 / mean_interval)):
                return
            self._inject(number, draw.choice(kinds), draw.uniform(0.2, 2.5),
                         gateways[number % len(gateways)],
                         draw.choice(self.cluster.servers), draw.random())

    def _inject(self, number, kind, seconds, gateway, server, fraction):
        name = kind.__name__
        fields = {"number": number, "kind": name, "gateway": gateway.name, "server": server.name}
        self.cluster.journal.record("fault", seconds=seconds, **fields)
        try:
            kind(seconds, gateway, server, fraction)
        except Exception as cause:  # the soak itself has failed; the check of the journal reports it
            self.cluster.journal.record("faultFailed", kind=name, cause=repr(cause))
        self.cluster.journal.record("faultOver", **fields)

    def gateway_killed(self, _seconds, gateway, _server, _fraction):
        gateway.restart(signal.SIGKILL)

    def gateways_killed(self, _seconds, _gateway, _server, _fraction):
        restarts = [threading.Thread(target=gateway.restart, args=(signal.SIGKILL,))
                    for gateway in self.cluster.gateways]
        for thread in restarts:
            thread.start()
        for thread in restarts:
            thread.join()

    def gateway_terminated(self, _seconds, gateway, _server, _fraction):
        self.callers.send_at_stop_marks(gateway)
        gateway.restart(signal.SIGTERM)

    def gateways_rolled(self, _seconds, _gateway, _server, _fraction):
        for gateway in self.cluster.gateways:
            if not self.is_stopping.is_set():
                self.callers.send_at_stop_marks(gateway)
                gateway.restart(signal.SIGTERM)

    def gateway_paused(self, seconds, gateway, _server, _fraction):
        gateway.process.pause()
        time.sleep(seconds)
        gateway.process.resume()

    def gateway_hangup(self, _seconds, gateway, _server, _fraction):
        gateway.process.send_signal(signal.SIGHUP)

    def server_crashed(self, seconds, _gateway, server, _fraction):
        server.crash(seconds)

    def zone_crashed(self, seconds, _gateway, server, _fraction):
        crashes = [threading.Thread(target=other.crash, args=(seconds,))
                   for other in self.cluster.servers if other.zone == server.zone]
        for thread in crashes:
            thread.start()
        for thread in crashes:
            thread.join()

    def server_paused(self, seconds, _gateway, server, _fraction):
        process = server.process
        process.pause()
        time.sleep(seconds)
        process.resume()

    def server_leaves(self, _seconds, _gateway, server, _fraction):
        server.leave()

    def server_leaves_by_answer(self, _seconds, _gateway, server, _fraction):
        server.leave_by_answer()

    def server_fails(self, seconds, _gateway, server, fraction):
        names = ["notRun", "error", "truncated", "garbled", "doubled", "answerLost",
                 *endless.SHAPES]
        server.set_faults({names[int(fraction * len(names))]: 0.4})
        time.sleep(seconds)
        server.set_faults({})

    def server_limited(self, seconds, _gateway, server, fraction):
        server.set_rate_limit(LOWEST_LIMIT + fraction * LIMIT_SPREAD)
        time.sleep(LIMIT_STRETCH * seconds)
        server.set_rate_limit(None)

    def service_limited(self, seconds, _gateway, server, fraction):
        servers = [other for other in self.cluster.servers if other.service == server.service]
        for index, other in enumerate(servers):
            other.set_rate_limit(LOWEST_LIMIT + (fraction + index / 3) % 1 * LIMIT_SPREAD)
        time.sleep(LIMIT_STRETCH * seconds)
        for other in servers:
            other.set_rate_limit(None)

    def server_turns_away(self, seconds, _gateway, server, fraction):
        self._turn_away([server], seconds, fraction)

    def service_turns_away(self, seconds, _gateway, server, fraction):
        self._turn_away([other for other in self.cluster.servers if other.service == server.service],
                        seconds, fraction)

    @staticmethod
    def _turn_away(servers, seconds, fraction):
        for server in servers:
            server.set_pause(SHORTEST_PAUSE_SECONDS + fraction * PAUSE_SPREAD_SECONDS)
        time.sleep(PAUSE_STRETCH * seconds)
        for server in servers:
            server.set_pause(None)

    def link_silent(self, _seconds, _gateway, server, _fraction):
        self.cluster.set_link(server.route, SILENT_LINK)

    def link_reset(self, _seconds, _gateway, server, _fraction):
        self.cluster.set_link(server.route, {"cut": True})

    def link_slow(self, seconds, _gateway, server, _fraction):
        self._set_link_for(server.route, {"delayMs": 60}, {"delayMs": 0}, seconds)

    def link_one_way(self, seconds, _gateway, server, fraction):
        direction = "to-target" if fraction < 0.5 else "to-client"
        self._set_link_for(server.route, {"oneWay": direction}, {"oneWay": None}, seconds)

    def callers_reset(self, _seconds, gateway, _server, _fraction):
        self.cluster.set_link(gateway.route, {"cut": True})

    def callers_slow(self, seconds, gateway, _server, _fraction):
        self._set_link_for(gateway.route, {"delayMs": 80}, {"delayMs": 0}, seconds)

    def store_fails(self, seconds, _gateway, _server, fraction):
        self.cluster.store.fault = ["down", "silent", "slow"][int(fraction * 3)]
        time.sleep(seconds * 2)
        self.cluster.store.fault = None

    def store_restored(self, seconds, gateway, server, fraction):
        """In half of the cases a gateway is paused meanwhile, and the new history passes its position."""
        store = self.cluster.store
        position = store.revision
        pause = None
        if fraction * 2 % 1 < 0.5:
            pause = threading.Thread(target=self._inject, daemon=True, args=(
                next(self.restore_pause_numbers), self.gateway_paused, seconds + PAUSE_AFTER_RESTORE_SECONDS, gateway,
                server, fraction))
            pause.start()
            time.sleep(0.1)
        seconds_old = YOUNGEST_BACKUP_SECONDS + fraction * BACKUP_AGE_SPREAD_SECONDS
        away = ["down", "silent", "reset"][int(fraction * 30) % 3]
        store.restore(time.monotonic() - seconds_old, away_seconds=seconds, away=away)
        self.cluster.journal.record("restored", epoch=store.epoch, seconds_old=seconds_old, away=away)
        if pause:
            self.cluster.publish_config()
            self._pass_position(position)
            pause.join()

    def _pass_position(self, position):
        """Has servers that are not in a transition write their entries until the revision is beyond the position."""
        for server in self.cluster.servers * MAX_HEARTBEATS:
            if self.cluster.store.revision > position:
                return
            if server.transition_lock.acquire(blocking=False):
                try:
                    server.publish()
                finally:
                    server.transition_lock.release()

    def store_forgets(self, _seconds, _gateway, _server, _fraction):
        self.cluster.store.compact()

    def store_cut(self, seconds, gateway, _server, fraction):
        if fraction < 0.4:
            self.cluster.set_link(gateway.store_route, SILENT_LINK)
            return
        self._set_link_for(gateway.store_route, {"refuse": True, "cut": True}, {"refuse": False},
                           seconds * 2)

    def config_changed(self, _seconds, _gateway, _server, fraction):
        self.cluster.timeouts["reads"] = 3000 + int(fraction * 2000)
        self.cluster.publish_config()

    def key_withdrawn(self, _seconds, _gateway, _server, fraction):
        names = sorted(self.cluster.accounts)
        name = names[int(fraction * len(names))]
        added = f"{name}-{time.monotonic_ns()}"
        withdrawn = self.cluster.accounts[name]
        # Callers switch to the new key before the old one is withdrawn.
        self.cluster.accounts[name] = withdrawn | {added}
        self.cluster.publish_config()
        time.sleep(1)
        self.cluster.accounts[name] = {added}
        at = self.cluster.publish_config()
        for key in sorted(withdrawn):
            self.cluster.journal.record("keyWithdrawn", key=key, acknowledged=at)

    def _set_link_for(self, route, fault, reset, seconds):
        self.cluster.set_link(route, fault)
        time.sleep(seconds)
        self.cluster.set_link(route, reset)

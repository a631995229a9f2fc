"""Gateways whose store is restored from a backup that is some seconds old.

usage: restored_store.py CASE [FOLDER]

Guards against gateways that use a position, a lease or an item of the store from before the restore: an acknowledged
configuration that is not in force in time or goes back to an older one, a revoked key that is accepted again, requests to
servers that had left, and gateways that are missing in the fleet's list. Each configuration has a key of its own, its
marker, so that the answers to the markers tell which configuration a gateway has in force. The logs are kept in FOLDER.
"""

import collections
import contextlib
import http.client
import re
import sys
import threading
import time

import scenario  # before the next ones, whose folders it adds
import wire
from soak.cluster import Cluster
from soak.limits import MAX_KEY_REVOCATION_SECONDS, MAX_SERVER_LIST_DELAY_SECONDS, ZONES
from soak.records import server_records

PERMANENT_KEY = "key-0"
PROBE_INTERVAL_SECONDS = 0.05
PROBE_TIMEOUT_SECONDS = 1
PROBED_MARKERS = 3
# A configuration is in force this long after its acknowledgement or the end of the disturbance, and a poll.
CONFIG_APPLY_SECONDS = 2.5
POLL_SHARE_OF_KEY_REVOCATION = 0.36
# The proof of a restored store counts only this long after the restore was noticed (KeyFreshness).
PROOF_DELAY_SECONDS = 2
CHECK_SECONDS = 2
MAX_LISTING_SECONDS = 10
LEASE_SECONDS = 15
MAX_START_SECONDS = 10
SETUP_TIMEOUT_SECONDS = 20
# A busy machine may delay a server's log line by this much.
LOG_DELAY_TOLERANCE_SECONDS = 0.3
CUT_LINK = {"refuse": True, "cut": True}
OPEN_LINK = {"refuse": False}
FLEET_PREFIX = "gateways/"

Answer = collections.namedtuple("Answer", "gateway key status server sent_at ended_at")


class SetupError(Exception):
    """The situation that a case plays did not come about."""


class Play:
    """A cluster and probes that ask every gateway again and again with the permanent key, the latest markers and
    `extra_keys`."""

    def __init__(self, folder, gateways=2, registers=3, key_revocation_seconds=MAX_KEY_REVOCATION_SECONDS,
                 accounts=()):
        self.cluster = Cluster(folder, 1, gateways, 0, registers)
        self.store = self.cluster.store
        self.gateways = self.cluster.gateways
        self.key_revocation_seconds = key_revocation_seconds
        self.poll_seconds = POLL_SHARE_OF_KEY_REVOCATION * key_revocation_seconds
        for gateway in self.gateways:
            gateway.max_key_revocation_seconds = key_revocation_seconds
        self.cluster.accounts.update(accounts)
        # In one zone, so that every gateway uses every server.
        for process in self.gateways + self.cluster.servers:
            process.zone = ZONES[0]
        self.markers = []
        self.extra_keys = []
        self.answers = []
        self.is_over = threading.Event()
        self._add_marker()

    def start(self):
        self.cluster.start()
        for gateway in self.gateways:
            threading.Thread(target=self._probe, args=(gateway,), daemon=True).start()
        for gateway in self.gateways:
            self.wait_in_force(self.markers[0], gateway)

    def close(self):
        self.is_over.set()
        self.cluster.close()

    def _add_marker(self):
        marker = f"marker-{len(self.markers)}"
        self.cluster.accounts["marker"] = {marker}
        self.markers.append(marker)
        return marker

    def publish(self):
        """Publishes a configuration; returns its marker and when it was acknowledged."""
        marker = self._add_marker()
        return marker, self.cluster.publish_config()

    def heartbeats(self, rounds):
        for _ in range(rounds):
            for server in self.cluster.servers:
                server.publish()

    def pass_position(self, position):
        """Has the servers write until the store's revision is beyond the position."""
        if self.store.revision >= position:
            raise SetupError(f"revision {self.store.revision} is not before the position {position}")
        while self.store.revision <= position + 3:
            self.heartbeats(1)

    def set_store_links(self, faults, *gateways):
        for gateway in gateways:
            self.cluster.set_link(gateway.store_route, faults)

    def restore(self, made_at, **options):
        self.store.restore(made_at, **options)
        return time.monotonic()

    def _probe(self, gateway):
        while not self.is_over.is_set():
            for key in [PERMANENT_KEY, *self.markers[-PROBED_MARKERS:], *self.extra_keys]:
                self.answers.append(self._send(gateway, key))
            self.is_over.wait(PROBE_INTERVAL_SECONDS)

    def _send(self, gateway, key):
        headers = {"Host": "soak.example", wire.REQUEST_ID: f"probe-{gateway.name}-{time.monotonic_ns()}",
                   wire.KEY: wire.KEY_SCHEME + key, wire.DEADLINE: str(PROBE_TIMEOUT_SECONDS * 1000)}
        connection = http.client.HTTPConnection("127.0.0.1", gateway.port, timeout=PROBE_TIMEOUT_SECONDS)
        sent_at = time.monotonic()
        server = None
        try:
            connection.request("GET", "/reads/x", headers=headers)
            response = connection.getresponse()
            response.read()
            status, server = response.status, response.getheader(wire.SERVER_ID)
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        finally:
            connection.close()
        return Answer(gateway.name, key, status, server, sent_at, time.monotonic())

    def answers_of(self, gateway, key, since=0):
        return [answer for answer in list(self.answers)
                if answer.gateway == gateway.name and answer.key == key and answer.sent_at >= since]

    def accepted_at(self, gateway, key, since=0):
        return next((answer.sent_at for answer in self.answers_of(gateway, key, since) if answer.status == 200), None)

    def wait_in_force(self, marker, gateway):
        wait_for(lambda: self.accepted_at(gateway, marker), f"{marker} is not in force at {gateway.name}")

    def statuses(self, gateway, key, since):
        return dict(collections.Counter(answer.status for answer in self.answers_of(gateway, key, since)))

    def check_in_force(self, marker, since):
        """`since` maps each gateway to the time from which on it could learn of the configuration."""
        limit = CONFIG_APPLY_SECONDS + self.poll_seconds
        deadline = max(since.values()) + limit + 2 * PROBE_TIMEOUT_SECONDS
        while time.monotonic() < deadline and not all(self.accepted_at(gateway, marker) for gateway in since):
            time.sleep(0.05)
        for gateway, start in since.items():
            accepted_at = self.accepted_at(gateway, marker)
            took = "never" if accepted_at is None else f"{accepted_at - start:.2f} s"
            print(f"{gateway.name}: {marker} in force after {took}, allowed {limit:.2f} s")
            if accepted_at is None or accepted_at > start + limit:
                statuses = self.statuses(gateway, marker, start)
                yield f"{gateway.name}: {marker} in force {took} after it could be, answers {statuses}"

    def check_published(self):
        """Publishes a configuration, which comes into force at every gateway."""
        marker, acknowledged_at = self.publish()
        yield from self.check_in_force(marker, {gateway: acknowledged_at for gateway in self.gateways})

    def check_served(self):
        """Every gateway serves the permanent key again when the proofs of the keys count, and until then says 503."""
        since = time.monotonic()
        time.sleep(PROOF_DELAY_SECONDS + self.poll_seconds + PROBE_TIMEOUT_SECONDS)
        served_since = time.monotonic()
        time.sleep(CHECK_SECONDS)
        for gateway in self.gateways:
            before = collections.Counter(answer.status for answer in self.answers_of(gateway, PERMANENT_KEY, since)
                                         if answer.sent_at < served_since)
            print(f"{gateway.name}: answers to the permanent key until its proof {dict(before)}")
            statuses = self.statuses(gateway, PERMANENT_KEY, served_since)
            if set(statuses) != {200}:
                yield f"{gateway.name}: answers to the permanent key {statuses}"
            if set(before) - {200, 503}:
                yield f"{gateway.name}: answers to the permanent key until its proof {dict(before)}"

    def check_never_back(self):
        """A gateway that had accepted a marker accepts no earlier one, unless it was started again."""
        for gateway in self.gateways:
            starts = [entry["at"] for entry in self.cluster.journal.entries_of("started")
                      if entry["process"] == gateway.name]
            newest, newest_since = -1, 0
            for answer in self.answers:
                if answer.gateway != gateway.name or answer.status != 200 or answer.key not in self.markers:
                    continue
                index = self.markers.index(answer.key)
                if any(newest_since < at <= answer.ended_at for at in starts):
                    newest = -1
                if index < newest and answer.sent_at > newest_since:
                    yield f"{gateway.name}: accepted {answer.key} after {self.markers[newest]}"
                    break
                if index > newest:
                    newest, newest_since = index, answer.ended_at

    def requests_of(self, server_name):
        """Returns when each request arrived at a server."""
        return [record["at"] for record in server_records(self.cluster.folder)
                if record["server"] == server_name and record["event"] == "arrived"]

    def lease_of(self, gateway):
        """Returns the lease of a gateway's key in the fleet's list; None when it has none that is alive."""
        with self.store.lock:
            lease = self.store.items.get(FLEET_PREFIX + gateway.name, {}).get("lease")
            return lease if lease in self.store.leases else None

    def wait_until_listed(self):
        for gateway in self.gateways:
            wait_for(lambda: self.lease_of(gateway), f"{gateway.name} is not listed")


def wait_for(condition, message):
    deadline = time.monotonic() + SETUP_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise SetupError(message)
        time.sleep(0.05)


def lose_a_configuration(play):
    """Publishes a configuration after the time of a backup and waits until it is in force; returns that time and the
    position that the gateways have in the history."""
    backup = time.monotonic()
    play.heartbeats(8)
    marker, _ = play.publish()
    for gateway in play.gateways:
        play.wait_in_force(marker, gateway)
    return backup, play.store.revision


def freeze_during_restore(play, omits_epoch=False):
    """The new history passes the position of a gateway that is frozen."""
    backup, position = lose_a_configuration(play)
    frozen, *others = play.gateways
    frozen.process.pause()
    time.sleep(0.2)
    play.store.omits_epoch = omits_epoch
    play.restore(backup, away_seconds=0.3)
    marker, acknowledged_at = play.publish()
    play.pass_position(position)
    time.sleep(1)
    frozen.process.resume()
    since = {gateway: acknowledged_at for gateway in others}
    yield from play.check_in_force(marker, {**since, frozen: time.monotonic()})
    yield from play.check_served()


def frozen_gateway(play):
    """A gateway is frozen while the store is restored."""
    yield from freeze_during_restore(play)


def silent_to_half(play):
    """The new history passes the position of gateways that get no answer of the store meanwhile."""
    backup, position = lose_a_configuration(play)
    cut_off, others = play.gateways[:2], play.gateways[2:]
    play.set_store_links({"oneWay": "to-client"}, *cut_off)
    play.restore(backup, away_seconds=0.3, away="silent")
    marker, acknowledged_at = play.publish()
    play.pass_position(position)
    time.sleep(1)
    play.set_store_links({"oneWay": None}, *cut_off)
    since = {gateway: acknowledged_at for gateway in others}
    yield from play.check_in_force(marker, {**since, **{gateway: time.monotonic() for gateway in cut_off}})
    yield from play.check_served()


def two_restores_while_away(play):
    """The store is restored twice while a gateway cannot reach it."""
    backup, position = lose_a_configuration(play)
    away, *others = play.gateways
    play.set_store_links(CUT_LINK, away)
    play.restore(backup, away_seconds=0.3, away="reset")
    play.publish()
    time.sleep(0.5)
    play.restore(backup, away_seconds=0.3)
    marker, acknowledged_at = play.publish()
    play.pass_position(position)
    time.sleep(0.5)
    play.set_store_links(OPEN_LINK, away)
    since = {gateway: acknowledged_at for gateway in others}
    yield from play.check_in_force(marker, {**since, away: time.monotonic()})
    yield from play.check_served()


def revoked_key(play):
    """A key was revoked in the lost seconds, and the operator writes that again only after 3 s. Two gateways do not
    learn of it before the restore; one of them reads the restored store and is then cut off again."""
    play.extra_keys = ["key-revoked"]
    following, cut_off, cut_off_twice = play.gateways
    for gateway in play.gateways:
        wait_for(lambda: play.accepted_at(gateway, "key-revoked"), f"{gateway.name} does not accept the key")
    backup = time.monotonic()
    play.set_store_links(CUT_LINK, cut_off, cut_off_twice)
    del play.cluster.accounts["revoked"]
    marker, revoked_at = play.publish()
    time.sleep(0.3)
    play.set_store_links(OPEN_LINK, cut_off, cut_off_twice)
    restored_at = play.restore(backup, away_seconds=0.3, config_delay=3)
    time.sleep(1.5)
    play.set_store_links(CUT_LINK, cut_off_twice)
    yield from play.check_in_force(marker, {gateway: restored_at + 3 for gateway in (following, cut_off)})
    time.sleep(max(0, revoked_at + play.key_revocation_seconds + 2 - time.monotonic()))
    play.set_store_links(OPEN_LINK, cut_off_twice)
    yield from play.check_in_force(marker, {cut_off_twice: time.monotonic()})
    for gateway in play.gateways:
        last = max(answer.sent_at for answer in play.answers_of(gateway, "key-revoked") if answer.status == 200)
        print(f"{gateway.name}: revoked key accepted until {last - revoked_at:.2f} s, "
              f"permanent key meanwhile {play.statuses(gateway, PERMANENT_KEY, revoked_at)}")
        if last > revoked_at + play.key_revocation_seconds:
            yield f"{gateway.name}: revoked key accepted {last - revoked_at:.2f} s after its revocation"
    yield from play.check_served()


def configuration_never_back(play):
    """The operator writes the lost configuration again only 3 s after each of two restores."""
    backup, _ = lose_a_configuration(play)
    lost = play.markers[-1]
    since = time.monotonic()
    for away in ("down", "silent"):
        restored_at = play.restore(backup, away_seconds=0.5, away=away, config_delay=3)
        time.sleep(2.5)
    play.pass_position(play.store.revision + 1)
    marker, acknowledged_at = play.publish()
    for gateway in play.gateways:
        statuses = play.statuses(gateway, lost, since)
        denied = [answer for answer in play.answers_of(gateway, lost, since)
                  if answer.status == 401 and answer.ended_at < acknowledged_at]
        print(f"{gateway.name}: lost configuration's marker {statuses}")
        if denied:
            yield f"{gateway.name}: lost configuration out of force {denied[0].sent_at - restored_at:.2f} s after the restore"
    yield from play.check_in_force(marker, {gateway: acknowledged_at for gateway in play.gateways})
    yield from play.check_served()


def servers_of_the_lost_seconds(play):
    """In the lost seconds one server drained, one was removed and one was added."""
    steady, draining, removed, added = play.cluster.servers
    for server in play.cluster.servers:
        wait_for(lambda: play.requests_of(server.name), f"{server.name} gets no requests")
    added.process.kill()
    added.withdraw()
    time.sleep(MAX_SERVER_LIST_DELAY_SECONDS)
    backup = time.monotonic()
    draining.state = wire.DRAINING
    draining.publish()
    removed.withdraw()
    added.start()
    wait_for(lambda: play.requests_of(added.name), "the added server gets no requests")
    time.sleep(MAX_SERVER_LIST_DELAY_SECONDS)
    left_at = time.monotonic()
    restored_at = play.restore(backup, away_seconds=0.5, servers_delay=None)
    time.sleep(1)
    play.store.rewrite(wire.SERVER_PREFIX + steady.name)
    time.sleep(0.5)
    play.store.rewrite(wire.SERVER_PREFIX + added.name)
    time.sleep(5)
    returned_at = time.monotonic()
    for server in (draining, removed):
        server.state = wire.READY
        server.publish()
    time.sleep(4)
    for server in (draining, removed):
        requests = play.requests_of(server.name)
        early = [at for at in requests if left_at + LOG_DELAY_TOLERANCE_SECONDS < at < returned_at]
        if early:
            yield (f"{server.name} had left and got {len(early)} requests from {early[0] - restored_at:.2f} s "
                   f"to {early[-1] - restored_at:.2f} s after the restore")
        if not any(at > returned_at for at in requests):
            yield f"{server.name} gets no requests although it is back"
    requests = sorted([left_at, *(at for at in play.requests_of(added.name) if at > left_at), time.monotonic()])
    longest = max(later - earlier for earlier, later in zip(requests, requests[1:]))
    print(f"{added.name}: longest time without a request {longest:.2f} s")
    if longest > 1:
        yield f"{added.name}, added in the lost seconds, got no request for {longest:.2f} s"
    yield from play.check_served()


def gateways_are_listed(play):
    """Leases end with a restore; each gateway publishes its keys again and renews their lease."""
    for server in play.cluster.servers:
        server.set_rate_limit(100)
    play.wait_until_listed()
    time.sleep(2)
    with play.store.lock:
        before = {key for key, item in play.store.items.items() if item["lease"]}
    print(f"keys under a lease before the restore: {sorted(before)}")
    if len(before) <= len(play.gateways):
        raise SetupError("no gateway has published a report")
    restored_at = play.restore(time.monotonic(), away_seconds=0.3)
    ends_at = restored_at + MAX_LISTING_SECONDS + LEASE_SECONDS + 1
    seen_at = {}
    missing = {}
    while time.monotonic() < ends_at:
        now = time.monotonic()
        with play.store.lock:
            alive = {key for key, item in play.store.items.items() if item["lease"] in play.store.leases}
        for key in before & alive:
            seen_at.setdefault(key, now - restored_at)
        if now > restored_at + MAX_LISTING_SECONDS:
            for key in before - alive:
                missing.setdefault(key, now - restored_at)
        time.sleep(0.1)
    print(f"keys back after {({key: round(at, 2) for key, at in sorted(seen_at.items())})}")
    for key, at in sorted(missing.items()):
        yield f"{key} is missing or without a lease {at:.2f} s after the restore"
    yield from play.check_served()


def reused_lease(play):
    """The store gives the number of a gateway's lost lease to another gateway."""
    play.wait_until_listed()
    first, second = play.gateways
    number = play.lease_of(first)
    first.process.pause()
    with play.store.lock:
        play.store.restore(time.monotonic())
        play.store.next_lease = number
    wait_for(lambda: play.lease_of(second) == number, f"{second.name} has not got lease {number}")
    second.process.pause()
    paused_at = time.monotonic()
    first.process.resume()
    resumed_at = time.monotonic()
    time.sleep(MAX_LISTING_SECONDS)
    own = play.lease_of(first)
    if own is None or own == number:
        yield f"{first.name} has lease {own}, {second.name} has {number}"
    # One renewal may be on its way before the answer shows the new epoch.
    wait_for(lambda: number not in play.store.leases or time.monotonic() > resumed_at + LEASE_SECONDS + 3, "")
    print(f"lease {number} of {second.name} ended {time.monotonic() - paused_at:.2f} s after that stopped")
    if number in play.store.leases:
        yield f"lease {number} of {second.name} is kept alive by {first.name}"
    second.process.resume()
    for gateway in play.gateways:
        wait_for(lambda: play.lease_of(gateway), f"{gateway.name} is not listed again")
    if play.lease_of(first) == play.lease_of(second):
        yield f"both gateways have lease {play.lease_of(first)}"
    time.sleep(play.poll_seconds)
    yield from play.check_served()


def restore_between_pages(play):
    """The first page of a read has the lost configuration, and the later ones are those of the restored store."""
    backup, position = lose_a_configuration(play)
    play.store.page_size = 3
    published = []

    def restore():
        play.restore(backup)
        published.append(play.publish())
        play.pass_position(position + 20)

    play.store.before_next_page = restore
    with play.store.lock:
        play.heartbeats(1)
        play.store.compact()
    wait_for(lambda: published, "no gateway has read a second page")
    marker, acknowledged_at = published[0]
    yield from play.check_in_force(marker, {gateway: acknowledged_at for gateway in play.gateways})
    yield from play.check_served()


def answers_without_epoch(play):
    """The answers have no epoch for some seconds, in which the store is restored while a gateway is frozen."""
    yield from freeze_during_restore(play, omits_epoch=True)
    yield from play.check_published()
    play.store.omits_epoch = False
    yield from play.check_served()
    yield from play.check_published()
    yield from play.check_served()


def started_during_restore(play):
    """A gateway is started while the store is away."""
    backup, position = lose_a_configuration(play)
    started, *others = play.gateways
    started.process.kill()
    restore = threading.Thread(target=play.restore, args=(backup,), kwargs={"away_seconds": 1, "away": "silent"})
    restore.start()
    time.sleep(0.3)
    started.process.start()
    restore.join()
    restored_at = time.monotonic()
    marker, acknowledged_at = play.publish()
    play.pass_position(position)
    yield from play.check_in_force(marker, {gateway: acknowledged_at for gateway in others})
    wait_for(lambda: play.accepted_at(started, marker) or time.monotonic() > restored_at + MAX_START_SECONDS, "")
    served_at = play.accepted_at(started, marker)
    print(f"{started.name}: serves {served_at - restored_at if served_at else float('inf'):.2f} s after the restore")
    if served_at is None or served_at > restored_at + MAX_START_SECONDS:
        yield f"{started.name}, started during the restore, answers {play.statuses(started, marker, restored_at)}"
    yield from play.check_served()


CASES = {
    "frozen_gateway": (frozen_gateway, {"gateways": 2}),
    "silent_to_half": (silent_to_half, {"gateways": 4}),
    "two_restores_while_away": (two_restores_while_away, {"gateways": 2}),
    "revoked_key": (revoked_key, {"gateways": 3, "key_revocation_seconds": 5,
                                  "accounts": {"revoked": {"key-revoked"}}}),
    "configuration_never_back": (configuration_never_back, {"gateways": 3}),
    "servers_of_the_lost_seconds": (servers_of_the_lost_seconds, {"gateways": 2, "registers": 4,
                                                                  # So that no request is refused for want of a proof.
                                                                  "key_revocation_seconds": 15}),
    "gateways_are_listed": (gateways_are_listed, {"gateways": 3}),
    "reused_lease": (reused_lease, {"gateways": 2}),
    "restore_between_pages": (restore_between_pages, {"gateways": 1}),
    "answers_without_epoch": (answers_without_epoch, {"gateways": 2}),
    "started_during_restore": (started_during_restore, {"gateways": 2}),
}


def versions_in_force(log):
    """Returns the versions in force of each process that wrote to a gateway's log, in order."""
    processes = []
    for line in log.read_text().splitlines():
        if '"event":"started"' in line:
            processes.append([])
        version = re.search(r'"event":"configInForce".*"version":"(\d+)"', line)
        if version and processes:
            processes[-1].append(int(version.group(1)))
    return processes


def check_gateways(play):
    yield from play.check_never_back()
    for gateway in play.gateways:
        if gateway.process.child.poll() is not None:
            yield f"{gateway.name} has ended with {gateway.process.child.returncode}"
        for versions in versions_in_force(play.cluster.folder / f"{gateway.name}.log"):
            if versions != sorted(set(versions)):
                yield f"{gateway.name}: versions in force {versions}"


def main():
    if len(sys.argv) < 2 or sys.argv[1] not in CASES:
        print(f"{__doc__}\nCASE is one of {', '.join(CASES)}")
        return 2
    case, options = CASES[sys.argv[1]]
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(scenario.working_folder(2))
        play = Play(folder, **options)
        stack.callback(play.close)
        play.start()
        failures = []
        try:
            for failure in case(play):
                failures.append(failure)
        except SetupError as error:
            failures.append(f"not played: {error}")
        failures += check_gateways(play)
    code = scenario.exit_code(failures)
    print(f"{sys.argv[1]}: {len(play.answers)} answers, {'failed' if failures else 'passed'}")
    return code


if __name__ == "__main__":
    sys.exit(main())

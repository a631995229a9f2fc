"""Checks of the gateway's guarantees on what callers and backend servers recorded."""

import collections
import datetime
import json
import time

from .callers import NOT_RUN_STATUSES, METHODS
from .limits import (DRAIN_TIMEOUT_SECONDS, SHUTDOWN_RESERVE_SECONDS, MAX_KEY_REVOCATION_SECONDS,
                     MAX_SERVER_LIST_DELAY_SECONDS)
from .records import gateway_entries, server_records

# A busy machine may delay an event's log line by this much.
LOG_DELAY_TOLERANCE_SECONDS = 0.3
CLOCK_READINGS = 5
MAX_OVERLAP_SECONDS = 0.4
# Gateways tell the time left in whole units of this length.
TIME_LEFT_UNIT_SECONDS = 0.001
# The service has recovered when this fraction of the requests is served.
MIN_SERVED_SHARE = 0.9
MAX_RECOVERY_SECONDS = 4
MAX_RETRY_RATIO = 0.8
RETRY_TOLERANCE = 150
# Effects of a fault may last this long after its end.
FAULT_EFFECT_SECONDS = 3.5
MAX_CANCELLATION_SECONDS = 0.5
MAX_LATE_SHARE = 0.25
MAX_DENIED_REQUESTS = 5
# Until then an older configuration, without a key that was added, may be in force at a gateway.
CONFIG_APPLY_SECONDS = 2.5
# A rate limit holds from this time after it was named on, summed over all gateways, in each window.
LIMIT_NOTICE_SECONDS = 3
LIMIT_WINDOW_SECONDS = 4
MAX_LIMIT_RATIO = 1.5
LIMIT_TOLERANCE = 5
# A server that asked for a pause gets this many requests from the same gateway, from PAUSE_NOTICE_SECONDS after its
# answer until the end of the pause.
PAUSE_NOTICE_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# Faults that excuse the requests of a gateway, or those that reach the server late.
GATEWAY_FAULTS_EXCUSING_PAUSE = ("gateway_killed", "gateway_terminated", "gateway_paused")
FLEET_FAULTS_EXCUSING_PAUSE = ("gateways_killed", "gateways_rolled")
SERVER_FAULTS_EXCUSING_PAUSE = ("server_paused", "link_silent", "link_slow", "link_one_way")
# A server that stops for longer may be given up, and so may one that stops again before a request has ended.
MAX_SHORT_STOP_SECONDS = 2
# Faults after which a gateway's requests do not count against a limit for LIMIT_NOTICE_SECONDS.
FAULTS_EXCUSING_LIMIT = ("gateway_killed", "gateway_terminated", "gateway_paused", "gateways_killed",
                         "gateways_rolled", "store_cut")
# What a fault of each kind can affect; a kind in no list affects everything.
GATEWAY_FAULTS = ("gateway_killed", "gateway_terminated", "gateway_paused", "gateway_hangup",
                  "callers_reset", "callers_slow")
SERVER_FAULTS = ("server_crashed", "server_paused", "server_leaves", "server_leaves_by_answer",
                 "server_fails", "link_silent", "link_reset", "link_slow", "link_one_way")
FAULTS_HIDING_CLOSE = ("server_paused", "link_silent", "link_slow", "link_one_way")
# Servers that turn new requests away go on with those that they have.
PAUSE_FAULTS = ("server_turns_away", "service_turns_away")
# A store failure does not affect a request that was already sent to a server.
STORE_FAULTS = ("store_fails", "store_forgets", "store_cut", "store_restored", "config_changed", "key_withdrawn")
# Faults that may delay a configuration, at all gateways and at one.
FLEET_FAULTS_DELAYING_CONFIG = ("store_fails", "store_restored", "gateways_killed", "gateways_rolled")
GATEWAY_FAULTS_DELAYING_CONFIG = ("store_cut", "gateway_killed", "gateway_terminated", "gateway_paused")

Violation = collections.namedtuple("Violation", "rule text")
Fault = collections.namedtuple("Fault", "kind gateway server starts_at ends_at")


class Evidence:
    """Logs of all backend servers, attempts of all callers and the journal of the soak."""

    def __init__(self, cluster, callers):
        self.journal = cluster.journal
        self.attempts = {attempt.request: attempt for attempt in callers.attempts}
        self.callers = callers
        self.faults = list(self._faults())
        self.records = sorted(server_records(cluster.folder), key=lambda record: record["at"])
        self.runs = [record for record in self.records if record["event"] == "run"]
        self.runs_of = collections.defaultdict(list)
        for run in self.runs:
            self.runs_of[run["request"]].append(run)
        logs = list(cluster.folder.glob("gateway-*.log"))
        self.processes = {path.stem: gateway_processes(path) for path in logs}
        # (request, server) of each attempt that was being replaced and went on, since it delivered first.
        self.resumed = {(entry["request"], entry["server"])
                        for path in logs for entry in gateway_entries(path, "attemptResumed")}

    def _faults(self):
        ends = {entry["number"]: entry["at"] for entry in self.journal.entries_of("faultOver")}
        for entry in self.journal.entries_of("fault"):
            yield Fault(entry["kind"], entry["gateway"], entry["server"], entry["at"],
                        ends.get(entry["number"], float("inf")))

    def faults_between(self, start, end):
        """Returns the faults that were active, or had just ended, at some time of the span."""
        return [fault for fault in self.faults
                if fault.starts_at < end and fault.ends_at + FAULT_EFFECT_SECONDS > start]

    def is_unaffected(self, attempt, end, ignored_kinds=()):
        """Whether no fault but the ignored kinds affected the attempt's gateway or servers until end."""
        hosts = {host_of(run["server"]) for run in self.runs_of[attempt.request]}
        return not any(fault.kind not in ignored_kinds and may_affect(fault, attempt.gateway, hosts)
                       for fault in self.faults_between(attempt.sent_at, end))

    def hides_close(self, attempt, server, end):
        """Whether the server could not see the close of its connection, or the gateway could not close it."""
        return any(fault.kind == "gateway_paused" and fault.gateway == attempt.gateway
                   or fault.kind in FAULTS_HIDING_CLOSE
                   and host_of(fault.server) == host_of(server)
                   for fault in self.faults_between(attempt.sent_at, end))


def wall_clock_offset():
    """Returns by how much the wall clock is ahead of the monotonic one. A process that is preempted between the two reads
    them apart, so that the quickest of several readings counts."""
    readings = []
    for _ in range(CLOCK_READINGS):
        before, wall, after = time.monotonic(), time.time(), time.monotonic()
        readings.append((after - before, wall - before))
    return min(readings)[1]


def gateway_processes(log):
    """Returns start and [(time, version in force)] of each process that wrote to a gateway's log. The journal records
    a start later than the process may have a configuration (seed 4), and so may its log (seed 8)."""
    offset = wall_clock_offset()
    entries = []
    for entry in gateway_entries(log, "configInForce", "started"):
        at = datetime.datetime.fromisoformat(entry["time"].replace("Z", "+00:00")).timestamp() - offset
        entries.append((at, entry["event"] != "started", int(entry.get("version", 0))))
    processes = []
    for at, is_in_force, version in sorted(entries):
        if not is_in_force:
            processes.append((at, []))
        elif processes:
            processes[-1][1].append((at, version))
    return processes


def host_of(server):
    """Returns the part of a server's id that stays the same after a restart."""
    return server.rsplit("-", 1)[0]


def may_affect(fault, gateway, hosts):
    """Whether a fault may end or delay a request at this gateway and these servers."""
    if fault.kind in GATEWAY_FAULTS:
        return fault.gateway == gateway
    if fault.kind in SERVER_FAULTS:
        return host_of(fault.server) in hosts
    return fault.kind not in STORE_FAULTS + PAUSE_FAULTS


def wrong_answers(evidence):
    for wrong in evidence.callers.invalid_answers:
        yield Violation("wholeAnswer", json.dumps(wrong))


def served_requests_ran(evidence):
    """Also guards the soak itself: without the servers' logs, no check would find a violation."""
    for attempt in evidence.attempts.values():
        if attempt.outcome == "served" and attempt.request not in evidence.runs_of:
            yield Violation("servedHasRun", f"{attempt.request} was served without a run")


def runs_are_as_sent(evidence):
    for run in evidence.runs:
        attempt = evidence.attempts.get(run["request"])
        if attempt is None:
            yield Violation("knownRequest", json.dumps(run))
            continue
        sent = {"account": attempt.account, "hasKey": False, "method": METHODS[attempt.kind],
                "path": attempt.path, "body": attempt.body}
        differing = {name: run[name] for name, value in sent.items() if run[name] != value}
        if differing:
            yield Violation("runsAsSent", f"{run['request']}: {differing}")


def writes_run_once(evidence):
    for request, runs in evidence.runs_of.items():
        attempt = evidence.attempts.get(request)
        if attempt and attempt.kind == "writes" and len(runs) > 1:
            yield Violation("runsOnce", f"{request} ran at {[run['server'] for run in runs]}")


def refused_never_run(evidence):
    for attempt in evidence.attempts.values():
        runs = evidence.runs_of.get(attempt.request)
        if attempt.status in NOT_RUN_STATUSES and runs and attempt.kind != "reads":
            yield Violation("refusedNeverRuns", f"{attempt.request} answered {attempt.status} ran "
                                                f"at {[run['server'] for run in runs]}")


def in_order_of_sending(evidence, runs, arrivals):
    """Sorts the runs of a request by the time left that the gateway told with each attempt, which only falls: an
    attempt on a slow link may arrive after the one that replaced it (seed 528), and runs start by their prompts
    (seed 2). By their arrivals when the time is unknown or fell by more than has passed since the caller sent."""
    by_arrival = sorted(runs, key=lambda run: arrivals[run["request"], run["server"]])
    times_left = [run.get("deadline", 0) for run in runs]
    attempt = evidence.attempts.get(runs[0]["request"])
    if attempt is None or min(times_left) <= 0:
        return by_arrival
    last_arrival = arrivals[by_arrival[-1]["request"], by_arrival[-1]["server"]]
    if (max(times_left) - min(times_left)) / 1000 > last_arrival - attempt.sent_at + TIME_LEFT_UNIT_SECONDS:
        return by_arrival
    return sorted(by_arrival, key=lambda run: -run["deadline"])


def runs_left(evidence, runs, arrivals):
    """Yields each run of a request that another one replaced, that other one, and the time from which it is left."""
    runs = in_order_of_sending(evidence, runs, arrivals)
    attempt = evidence.attempts.get(runs[0]["request"])
    for earlier, later in zip(runs, runs[1:]):
        yield earlier, later, later["at"]
        arrived_first = arrivals[later["request"], later["server"]] < arrivals[earlier["request"], earlier["server"]]
        if attempt and arrived_first:
            # It may go on as the attempt sent last, but only for as long as the caller waits for its answer.
            yield later, earlier, max(earlier["at"], attempt.ended_at)


def streams_run_at_one_server(evidence):
    """When a stream resumes elsewhere, its previous server stops, unless it cannot be notified; or the new one does,
    when the gateway says that the previous one goes on."""
    ends = {(record["request"], record["server"]): record["at"]
            for record in evidence.records if record["event"] == "ended"}
    arrivals = {(record["request"], record["server"]): record["at"] for record in evidence.runs}
    arrivals.update({(record["request"], record["server"]): record["at"]
                     for record in evidence.records if record["event"] == "arrived"})
    for request, runs in evidence.runs_of.items():
        attempt = evidence.attempts.get(request)
        for left, other, left_at in runs_left(evidence, runs, arrivals):
            if (request, left["server"]) in evidence.resumed:
                left, other = other, left
            end = ends.get((request, left["server"]))
            if end is None or end - left_at <= MAX_OVERLAP_SECONDS + LOG_DELAY_TOLERANCE_SECONDS:
                continue
            if attempt and not evidence.hides_close(attempt, left["server"], end):
                yield Violation("runsAtOneServer", f"{request}: {left['server']} and "
                                                   f"{other['server']} for {end - left_at:.2f} s")


def withdrawn_keys_run_nothing(evidence):
    withdrawn = {entry["key"]: entry["acknowledged"]
                 for entry in evidence.journal.entries_of("keyWithdrawn")}
    for attempt in evidence.attempts.values():
        limit = withdrawn.get(attempt.key, float("inf")) + MAX_KEY_REVOCATION_SECONDS
        if attempt.sent_at > limit and evidence.runs_of.get(attempt.request):
            yield Violation("keyWithdrawn", f"{attempt.request} sent {attempt.sent_at - limit:.2f} s"
                                            " after the limit")


def first_published_at(evidence):
    """Returns when each key was first in a configuration; without those of the first configuration."""
    published = {}
    for index, entry in enumerate(evidence.journal.entries_of("config")):
        for key in entry["keys"]:
            published.setdefault(key, 0 if index == 0 else entry["at"])
    return published


def proper_requests_are_allowed(evidence):
    withdrawn = {entry["key"]: entry["acknowledged"]
                 for entry in evidence.journal.entries_of("keyWithdrawn")}
    added = first_published_at(evidence)
    denied = [attempt for attempt in evidence.attempts.values()
              if attempt.status in (400, 401, 403, 404, 413, 431)
              and not (attempt.status == 401
                       and attempt.sent_at < added.get(attempt.key, 0) + CONFIG_APPLY_SECONDS)
              and attempt.sent_at < withdrawn.get(attempt.key, float("inf")) - 1]
    if len(denied) > MAX_DENIED_REQUESTS:
        yield Violation("allowed", f"{len(denied)} proper requests were denied, such as "
                                   f"{denied[0].request} with {denied[0].status}")


def config_deadline(evidence, gateway, acknowledged_at):
    """Returns when a configuration must be in force at a gateway; later after a fault that delays it."""
    deadline = acknowledged_at + CONFIG_APPLY_SECONDS
    while True:
        ends = [fault.ends_at + FAULT_EFFECT_SECONDS
                for fault in evidence.faults_between(acknowledged_at, deadline)
                if fault.kind in FLEET_FAULTS_DELAYING_CONFIG
                or fault.kind in GATEWAY_FAULTS_DELAYING_CONFIG and fault.gateway == gateway]
        latest = max([deadline, *ends])
        if latest == deadline:
            return deadline
        deadline = latest


def config_is_in_force(evidence):
    """An acknowledged configuration, or a newer one, is in force in time at each gateway, also after a restart."""
    observed_until = max((attempt.ended_at for attempt in evidence.attempts.values()), default=0)
    for gateway, processes in evidence.processes.items():
        for entry in evidence.journal.entries_of("config"):
            deadline = config_deadline(evidence, gateway, entry["at"]) + LOG_DELAY_TOLERANCE_SECONDS
            if deadline > observed_until:
                continue
            versions = [versions for start, versions in processes if start <= deadline][-1:]
            if not any(at <= deadline and version >= entry["version"] for at, version in sum(versions, [])):
                yield Violation("configInForce", f"{gateway}: version {entry['version']} not in force "
                                                 f"{deadline - entry['at']:.2f} s after its acknowledgement")
                break


def config_never_goes_back(evidence):
    """By the log, and by withdrawn keys that are allowed after they were denied; a restart forgets."""
    for gateway, processes in evidence.processes.items():
        for _, versions in processes:
            for (_, before), (_, after) in zip(versions, versions[1:]):
                if after <= before:
                    yield Violation("configBack", f"{gateway}: version {after} in force after {before}")
    withdrawn = {entry["key"]: entry["acknowledged"]
                 for entry in evidence.journal.entries_of("keyWithdrawn")}
    denials = collections.defaultdict(list)
    for attempt in sorted(evidence.attempts.values(), key=lambda attempt: attempt.ended_at):
        if attempt.sent_at <= withdrawn.get(attempt.key, float("inf")):
            continue
        if attempt.status == 401:
            denials[attempt.gateway, attempt.key].append(attempt.ended_at)
        elif evidence.runs_of.get(attempt.request):
            starts = [start for start, _ in evidence.processes.get(attempt.gateway, [])]
            if any(denial < attempt.sent_at and not any(denial < start <= attempt.sent_at for start in starts)
                   for denial in denials[attempt.gateway, attempt.key]):
                yield Violation("configBack", f"{attempt.request} ran with a key that {attempt.gateway} had denied")


def leaving_servers_get_nothing(evidence):
    leaving = {entry["server"]: entry["at"] for entry in evidence.journal.entries_of("listed")
               if entry["state"] == "draining"}
    for record in evidence.records:
        announced_at = leaving.get(record["server"])
        attempt = evidence.attempts.get(record.get("request"))
        if record["event"] != "arrived" or announced_at is None or attempt is None:
            continue
        late = record["at"] - announced_at - MAX_SERVER_LIST_DELAY_SECONDS - LOG_DELAY_TOLERANCE_SECONDS
        if late <= 0 or attempt.sent_at < announced_at + MAX_SERVER_LIST_DELAY_SECONDS:
            continue
        may_delay_list = any(
            fault.kind == "store_fails" or fault.gateway == attempt.gateway
            and fault.kind in ("store_cut", "gateway_paused")
            for fault in evidence.faults_between(announced_at - MAX_SERVER_LIST_DELAY_SECONDS,
                                                 record["at"]))
        # A restore may lose what was announced shortly before it; it makes no gateway forget what it knew.
        is_lost = any(fault.kind == "store_restored"
                      for fault in evidence.faults_between(announced_at - MAX_SERVER_LIST_DELAY_SECONDS,
                                                           announced_at + MAX_SERVER_LIST_DELAY_SECONDS))
        if not may_delay_list and not is_lost:
            yield Violation("leavingServer", f"{record['request']} arrived at {record['server']} "
                                             f"{late:.2f} s late")


def leaving_notices(evidence):
    """Returns when each gateway first passed on an answer by which a server said that it leaves."""
    noticed_at = {}
    for attempt in evidence.attempts.values():
        if attempt.leaving_server:
            key = attempt.gateway, attempt.leaving_server
            noticed_at[key] = min(noticed_at.get(key, float("inf")), attempt.head_at)
    return noticed_at


def servers_leaving_by_answer_get_nothing(evidence):
    """Only a restart makes a gateway forget what it has passed on."""
    noticed_at = leaving_notices(evidence)
    starts = evidence.journal.entries_of("started")
    for record in evidence.records:
        attempt = evidence.attempts.get(record.get("request"))
        if record["event"] != "arrived" or attempt is None:
            continue
        notice = noticed_at.get((attempt.gateway, record["server"]), float("inf"))
        limit = notice + MAX_SERVER_LIST_DELAY_SECONDS
        is_late = attempt.sent_at > limit and record["at"] > limit + LOG_DELAY_TOLERANCE_SECONDS
        if is_late and not any(start["process"] == attempt.gateway
                               and notice < start["at"] <= record["at"] for start in starts):
            yield Violation("leavingByAnswer", f"{record['request']} arrived at {record['server']} "
                                               f"{record['at'] - limit:.2f} s late")


def planned_stops_cut_nothing(evidence):
    """A gateway in a planned stop finishes the requests that it has read."""
    planned_stop_kinds = ("gateway_terminated", "gateways_rolled", "gateway_hangup")
    stops = [entry for entry in evidence.journal.entries_of("signal") if entry["signal"] == "SIGTERM"]
    for attempt in evidence.attempts.values():
        if attempt.outcome != "broken" or not evidence.runs_of.get(attempt.request):
            continue
        overlaps_stop = any(stop["process"] == attempt.gateway
                            and attempt.sent_at - DRAIN_TIMEOUT_SECONDS < stop["at"] < attempt.ended_at
                            for stop in stops)
        is_within_drain = attempt.ended_at - attempt.sent_at < DRAIN_TIMEOUT_SECONDS * 5 / 6
        if overlaps_stop and is_within_drain and evidence.is_unaffected(attempt, attempt.ended_at,
                                                                       planned_stop_kinds):
            yield Violation("plannedStop", f"{attempt.request} at {attempt.gateway} was cut")


def met_only_short_stops(evidence, attempt):
    """Whether nothing could affect the attempt but short stops of its servers, one of each. It may have been sent to any
    server when it ran at none."""
    hosts = {host_of(run["server"]) for run in evidence.runs_of.get(attempt.request, [])}
    hosts = hosts or {host_of(fault.server) for fault in evidence.faults}
    faults = [fault for fault in evidence.faults_between(attempt.sent_at, attempt.ended_at)
              if may_affect(fault, attempt.gateway, hosts)]
    stopped = [host_of(fault.server) for fault in faults if is_short_stop(fault)]
    return stopped and len(stopped) == len(faults) == len(set(stopped))


def is_short_stop(fault):
    return (fault.kind == "server_paused"
            and fault.ends_at - fault.starts_at <= MAX_SHORT_STOP_SECONDS + LOG_DELAY_TOLERANCE_SECONDS)


def short_stops_cut_nothing(evidence):
    """A server that stops for a moment and goes on has not failed: its caller gets the whole answer."""
    for attempt in evidence.attempts.values():
        # A request with a key that was withdrawn is denied (401) whatever its servers do.
        is_cut = attempt.outcome == "broken" or attempt.outcome == "failed" and attempt.status >= 500
        if is_cut and met_only_short_stops(evidence, attempt):
            yield Violation("shortStop", f"{attempt.request} at {attempt.gateway} has status {attempt.status} and "
                                         f"{attempt.events} events though its server only stopped for a moment")


def given_up_work_ends(evidence):
    ends = {}
    for record in evidence.records:
        if record["event"] == "ended":
            ends[record["request"]] = record["at"]
    unaffected = [attempt for attempt in evidence.attempts.values()
                  if attempt.gave_up and evidence.is_unaffected(attempt, attempt.ended_at + 1)]
    late = [attempt for attempt in unaffected
            if ends.get(attempt.request, 0) > attempt.ended_at + MAX_CANCELLATION_SECONDS
            + LOG_DELAY_TOLERANCE_SECONDS]
    if len(late) > max(2, MAX_LATE_SHARE * len(unaffected)):
        yield Violation("givenUp", f"{len(late)} of {len(unaffected)} went on at their servers")


def retries_stay_in_budget(evidence):
    window = 10
    for kinds in (("streams",), ("writes", "reads")):
        sent = [attempt.sent_at for attempt in evidence.attempts.values() if attempt.kind in kinds]
        seen = set()
        retries = []
        for record in evidence.records:
            attempt = evidence.attempts.get(record.get("request"))
            if record["event"] != "arrived" or attempt is None or attempt.kind not in kinds:
                continue
            if record["request"] in seen:
                retries.append(record["at"])
            seen.add(record["request"])
        for start in retries:
            count = sum(start <= at < start + window for at in retries)
            requests = max(sum(start - back <= at < start - back + window for at in sent)
                           for back in (0, window / 2, window))
            if count > MAX_RETRY_RATIO * requests + RETRY_TOLERANCE:
                yield Violation("retryBudget", f"{count} retries beside {requests} requests")
                break


def limit_periods(evidence):
    """Yields server, limit, start and end of each time in which a server named one limit."""
    current = {}
    for record in evidence.records:
        if record["event"] != "limit":
            continue
        limit, start = current.pop(record["server"], (None, 0))
        if limit is not None:
            yield record["server"], limit, start, record["at"]
        current[record["server"]] = (record["limit"], record["at"])


def counts_against_limit(evidence, record):
    """Whether the gateway of a request was neither disturbed nor had been shortly before."""
    attempt = evidence.attempts.get(record.get("request"))
    if attempt is None:
        return record["event"] == "asked" and not any(
            fault.kind in FAULTS_EXCUSING_LIMIT
            for fault in evidence.faults_between(record["at"] - LIMIT_NOTICE_SECONDS, record["at"]))
    return not any(
        fault.kind in FAULTS_EXCUSING_LIMIT
        and (fault.gateway == attempt.gateway or fault.kind in ("gateways_killed", "gateways_rolled"))
        for fault in evidence.faults_between(record["at"] - LIMIT_NOTICE_SECONDS, record["at"]))


def rate_limits_hold(evidence):
    """No server gets more than the rate that it named, counting probes and retries."""
    for server, limit, start, end in limit_periods(evidence):
        allowed = MAX_LIMIT_RATIO * limit * LIMIT_WINDOW_SECONDS + LIMIT_TOLERANCE
        times = [record["at"] for record in evidence.records
                 if record["event"] in ("arrived", "asked") and record["server"] == server
                 and start + LIMIT_NOTICE_SECONDS - LIMIT_WINDOW_SECONDS <= record["at"] <= end
                 and counts_against_limit(evidence, record)]
        most = 0
        for first, time in enumerate(times):
            window_end = max(time + LIMIT_WINDOW_SECONDS, start + LIMIT_NOTICE_SECONDS)
            inside = [other for other in times[first:] if other <= min(window_end, end)
                      and other > window_end - LIMIT_WINDOW_SECONDS - 1e-6]
            if window_end <= end:
                most = max(most, len(inside))
        if most > allowed:
            yield Violation("rateLimit", f"{server} named {limit:.1f} per second and got {most} "
                                         f"requests in {LIMIT_WINDOW_SECONDS} s, allowed {allowed:.0f}")


def excuses_pause(fault, gateway, server):
    return (fault.kind in FLEET_FAULTS_EXCUSING_PAUSE
            or fault.kind in GATEWAY_FAULTS_EXCUSING_PAUSE and fault.gateway == gateway
            or fault.kind in SERVER_FAULTS_EXCUSING_PAUSE and host_of(fault.server) == host_of(server))


def connection_gateways(evidence):
    """Returns the gateway of each connection that carried a caller's request."""
    gateways = {}
    for record in evidence.records:
        attempt = evidence.attempts.get(record.get("request"))
        if attempt and record.get("connection"):
            gateways[record["connection"]] = attempt.gateway
    return gateways


def pauses_hold(evidence):
    """A server that turned a gateway away with a pause gets at most two requests from it within the pause. Probes name
    no gateway; those on connections that carried a caller's request too are counted."""
    gateways = connection_gateways(evidence)
    arrivals = collections.defaultdict(list)
    pauses = []
    for record in evidence.records:
        attempt = evidence.attempts.get(record.get("request"))
        gateway = attempt.gateway if attempt else gateways.get(record.get("connection"))
        if gateway is None:
            continue
        if record["event"] in ("arrived", "asked"):
            arrivals[record["server"], gateway].append(record["at"])
        elif record["event"] == "turnedAway":
            pauses.append((record["server"], gateway, record["at"], record["at"] + record["pause"]))
    for server, gateway, start, end in pauses:
        late = [at for at in arrivals[server, gateway] if start + PAUSE_NOTICE_SECONDS < at < end]
        if len(late) > MAX_REQUESTS_IN_PAUSE and not any(
                excuses_pause(fault, gateway, server) for fault in evidence.faults_between(start, end)):
            yield Violation("pause", f"{server} asked {gateway} for {end - start:.2f} s and got {len(late)} "
                                     f"requests, allowed {MAX_REQUESTS_IN_PAUSE}")
            return


def is_paused(journal, process, time):
    """Whether the latest SIGSTOP or SIGCONT before the time was SIGSTOP."""
    latest = None
    for entry in journal.entries_of("signal"):
        is_kind = entry["signal"] in ("SIGSTOP", "SIGCONT")
        if is_kind and entry["process"] == process and entry["at"] <= time:
            latest = entry["signal"]
    return latest == "SIGSTOP"


def gateways_stay_up(evidence):
    """Only a process that is paused when its drain is due may exceed its drain timeout (seed 58)."""
    for entry in evidence.journal.entries_of("exited"):
        due_at = entry["at"] - SHUTDOWN_RESERVE_SECONDS
        may_overrun = is_paused(evidence.journal, entry["process"], due_at)
        is_clean = entry["code"] == 0 or entry["code"] is None and may_overrun
        if entry["signal"] == "SIGTERM" and not is_clean:
            yield Violation("cleanExit", f"{entry['process']} ended with {entry['code']}")
    for entry in evidence.journal.entries_of("diedByItself", "faultFailed"):
        yield Violation("staysUp", json.dumps(entry))


def service_recovers(evidence):
    recovered_by = evidence.journal.entries_of("faultsOver")[0]["at"] + MAX_RECOVERY_SECONDS
    after = [attempt for attempt in evidence.attempts.values()
             if attempt.sent_at > recovered_by and not attempt.gave_up]
    served = sum(attempt.outcome == "served" for attempt in after)
    if served < MIN_SERVED_SHARE * len(after) or not after:
        yield Violation("recovers", f"{served} of {len(after)} served after the faults")


CHECKS = [wrong_answers, served_requests_ran, runs_are_as_sent, writes_run_once,
          refused_never_run, streams_run_at_one_server, withdrawn_keys_run_nothing,
          proper_requests_are_allowed, config_is_in_force, config_never_goes_back,
          leaving_servers_get_nothing, servers_leaving_by_answer_get_nothing,
          planned_stops_cut_nothing, short_stops_cut_nothing, given_up_work_ends, retries_stay_in_budget,
          rate_limits_hold, pauses_hold, gateways_stay_up, service_recovers]


def violations(evidence):
    return [found for check in CHECKS for found in check(evidence)]

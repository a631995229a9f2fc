"""Checks of what versions got while they were rolled out."""

import bisect
import collections

from .checks import Violation

MAX_SHARE = 0.1
SLACK_REQUESTS = 50
COUNTED_BAD_ANSWERS = 50
ROLLBACK_SECONDS = 5
# Requests of a gateway count when nothing disturbed it, or the store, for so long.
STABLE_SECONDS = 4
STORE_FAULTS = ("store_fails", "store_forgets", "store_restored")
FLEET_FAULTS = (*STORE_FAULTS, "gateways_killed", "gateways_rolled")
GATEWAY_FAULTS = ("gateway_killed", "gateway_terminated", "gateway_paused", "gateway_hangup", "store_cut",
                  "callers_reset", "callers_slow")

Order = collections.namedtuple("Order", "service version kind at ramp servers")


def orders(evidence):
    servers = collections.defaultdict(set)
    for entry in evidence.journal.entries_of("versionStarted"):
        servers[entry["version"]].add(entry["server"])
    for entry in evidence.journal.entries_of("rolloutOrdered"):
        yield Order(entry["service"], entry["version"], entry["kind"], entry["at"], entry["rampSeconds"],
                    servers[entry["version"]])


def is_in_touch(evidence, gateway, at):
    return not any(fault.kind in FLEET_FAULTS or fault.kind in GATEWAY_FAULTS and fault.gateway == gateway
                   for fault in evidence.faults
                   if fault.starts_at < at and fault.ends_at + STABLE_SECONDS > at)


def core_stable_since(evidence, at):
    """Returns the end of the latest disturbance of the store before a time."""
    return max((fault.ends_at for fault in evidence.faults if fault.kind in STORE_FAULTS and fault.starts_at < at),
               default=0)


def requests_in_touch(evidence, order):
    """Yields the time of each request to the version by a gateway in touch."""
    for record in evidence.records:
        attempt = evidence.attempts.get(record.get("request"))
        if record["event"] == "arrived" and record["server"] in order.servers and attempt \
                and is_in_touch(evidence, attempt.gateway, record["at"]):
            yield record["at"]


def requests_to_service(evidence, order):
    """Returns how many requests reached the service from the order to its deadline."""
    kinds = ("streams",) if order.service == "engine" else ("writes", "reads")
    return sum(record["event"] == "arrived" and order.at <= record["at"] <= order.at + order.ramp
               and record["request"] in evidence.attempts and evidence.attempts[record["request"]].kind in kinds
               for record in evidence.records)


def exposure_is_bounded(evidence):
    """A bad version gets no more than its share of all requests, and a few."""
    for order in orders(evidence):
        if order.kind == "good":
            continue
        count = sum(1 for _ in requests_in_touch(evidence, order))
        allowed = MAX_SHARE * requests_to_service(evidence, order) + SLACK_REQUESTS
        if count > allowed:
            yield Violation("exposure", f"{order.version} of {order.service} ({order.kind}) got {count} requests, "
                                        f"allowed {allowed:.0f}")


def bad_versions_are_left(evidence):
    """A bad version gets no request long after its 50th bad answer since the store was last disturbed."""
    for order in orders(evidence):
        bad = sorted(record["at"] for record in evidence.records
                     if record["event"] == "bad" and record["server"] in order.servers)
        for at in requests_in_touch(evidence, order):
            known = (bisect.bisect_right(bad, at - ROLLBACK_SECONDS)
                     - bisect.bisect_left(bad, core_stable_since(evidence, at)))
            if known >= COUNTED_BAD_ANSWERS:
                yield Violation("rollback", f"{order.version} of {order.service} got a request {at - order.at:.2f} s "
                                            f"after its order, when {known} bad answers were over "
                                            f"{ROLLBACK_SECONDS} s old")
                break


ROLLOUT_CHECKS = [exposure_is_bounded, bad_versions_are_left]

"""Zones, times and limits that the parts of the soak share."""

ZONES = ["north", "south", "west"]
KEY_REVOCATION_SECONDS = 3
LIST_NOTICE_SECONDS = 2
DRAIN_LIMIT_SECONDS = 5
# A gateway ends this long before its limit when requests are still open.
DRAIN_RESERVE_SECONDS = 0.5
HEARTBEATS_MISSED_SECONDS = 1.5
RESTART_SECONDS = 0.3
IDLE_MS = 15000

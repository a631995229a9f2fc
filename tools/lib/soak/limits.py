"""Zones, times and limits shared by the modules of the soak."""

ZONES = ["north", "south", "west"]
MAX_KEY_REVOCATION_SECONDS = 3
MAX_SERVER_LIST_DELAY_SECONDS = 2
DRAIN_TIMEOUT_SECONDS = 5
# When requests are still open, a gateway exits this long before its drain timeout.
SHUTDOWN_RESERVE_SECONDS = 0.5
# After SIGTERM, when a gateway with the drain timeout above closes something: its port, idle connections while no request is
# expected, itself then at the latest, idle connections while a request is expected, itself.
STOP_MARKS_SECONDS = (3.0, 3.3, 3.8, 4.0, 4.5)
HEARTBEAT_TIMEOUT_SECONDS = 1.5
RESTART_DELAY_SECONDS = 0.3
IDLE_TIMEOUT_MS = 15000

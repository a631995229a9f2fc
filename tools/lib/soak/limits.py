"""Places, times and limits that the parts of the soak share."""

import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent.parent
BUILD = ROOT / "build"
ZONES = ["north", "south", "west"]
KEY_REVOCATION_SECONDS = 3
LIST_NOTICE_SECONDS = 2
DRAIN_LIMIT_SECONDS = 5
HEARTBEATS_MISSED_SECONDS = 1.5
RESTART_SECONDS = 0.3
IDLE_MS = 15000

"""Timestamped record of what a soak did."""

import json
import threading
import time


class Journal:
    """Events of the soak, in memory for the checks and in a file for tracing a failure."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.entries = []
        self.file = open(path, "w", buffering=1)

    def record(self, event, **fields):
        entry = {"at": time.monotonic(), "event": event, **fields}
        with self.lock:
            self.entries.append(entry)
            self.file.write(json.dumps(entry) + "\n")
        return entry["at"]

    def entries_of(self, *events):
        with self.lock:
            return [entry for entry in self.entries if entry["event"] in events]

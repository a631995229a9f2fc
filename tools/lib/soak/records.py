"""Logs of servers and gateways: a JSON object on each line."""

import json

# How a line of a server's log and one of a gateway's begin.
SERVER_LINE = '{"at": '
GATEWAY_LINE = '{"time":'


def last_object(line, beginning):
    """Returns the object at the end of a line; None when it is truncated. A process that is killed may leave part of a
    line, and the process that is started in its place then appends its first one."""
    return json.loads(line[max(0, line.rfind(beginning)):]) if line.endswith("}") else None


def server_records(folder):
    """Returns the records of all servers in a folder, also while the servers are writing."""
    objects = (last_object(line, SERVER_LINE) for path in sorted(folder.glob("server-*.jsonl"))
               for line in path.read_text(errors="replace").splitlines())
    return [record for record in objects if record is not None]


def gateway_entries(log, *events):
    """Returns the entries of these events in a gateway's log, also while the gateway is writing."""
    lines = (line for line in log.read_text(errors="replace").splitlines()
             if any(f'"event":"{event}"' in line for event in events))
    objects = (last_object(line, GATEWAY_LINE) for line in lines)
    return [entry for entry in objects if entry is not None and entry["event"] in events]

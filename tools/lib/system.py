"""Starts foxtailring's programs and their stand-ins on loopback, for scripts in tools/ and bench/."""

import http.client
import json
import pathlib
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / "build"
START_TIMEOUT_SECONDS = 20


class System:
    """The processes of one script run; close() ends them."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self.vms = []

    def start(self, name, program, *arguments):
        """Starts a program that logs to its own file and returns the process."""
        log = open(self.folder / f"{name}.log", "wb")
        process = subprocess.Popen([str(program), *arguments], stdout=subprocess.PIPE, stderr=log)
        self.processes[name] = process
        return process

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + 10
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def read_port(process, label):
    """Reads standard output until the line `LABEL ... PORT` and returns the port."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        line = process.stdout.readline().decode().split()
        if not line:
            break
        if line[0] == label:
            return int(line[-1])
    raise RuntimeError(f"no {label!r} line from {process.args[0]}")


def request(port, method, path, body=None, headers=None, timeout=10):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    connection.request(method, path, json.dumps(body) if body is not None else None,
                       headers or {"content-type": "application/json"})
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, data


def write_settings(system, name, lines):
    path = system.folder / f"{name}.yaml"
    path.write_text("".join(f"{key}: {value}\n" for key, value in lines.items()))
    return f"--config={path}"


def start_backend(system, name, kind, *options):
    """Starts the stand-in of an engine or of a plain service and returns its port."""
    program = "fake-engine" if kind == "generation" else "fake-service"
    backend = system.start(f"{name}-backend", BUILD / "fakes" / program, *options)
    return read_port(backend, "listening")


def start_sidecar(system, name, service, kind, zone, platform, backend_port):
    """Starts a sidecar and adds it to the system's VM list."""
    settings = write_settings(system, name, {
        "nodeId": name, "region": zone[0], "availabilityZone": zone[1], "service": service,
        "kind": kind, "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
        "backend": f"127.0.0.1:{backend_port}", "platform": f"127.0.0.1:{platform}"})
    sidecar = system.start(name, BUILD / "apps" / "foxtailring-sidecar", settings)
    port = read_port(sidecar, "listening")
    system.vms.append({"id": name, "address": f"127.0.0.1:{port}", "region": zone[0],
                       "availabilityZone": zone[1], "service": service, "role": "sidecar",
                       "state": "live"})
    return sidecar


def start_entry(system, name, zone, platform, **extra):
    """Starts an entry, adds it to the VM list and returns its caller and admin ports."""
    settings = write_settings(system, name, {
        "nodeId": name, "region": zone[0], "availabilityZone": zone[1],
        "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "platform": f"127.0.0.1:{platform}",
        "secret": "demo-secret-of-at-least-32-characters", **extra})
    entry = system.start(name, BUILD / "apps" / "foxtailring-entry", settings)
    port = read_port(entry, "listening")
    admin = read_port(entry, "admin")
    system.vms.append({"id": name, "address": f"127.0.0.1:{admin}", "region": zone[0],
                       "availabilityZone": zone[1], "service": "", "role": "entry",
                       "state": "live"})
    return port, admin


def wait_ready(admins):
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    for admin in admins:
        while request(admin, "GET", "/readyz")[0] != 200:
            if time.monotonic() > deadline:
                raise RuntimeError("an entry is not ready in time")
            time.sleep(0.1)


def control(admin, *arguments):
    command = [str(BUILD / "apps" / "foxtailringctl"), f"--server=127.0.0.1:{admin}",
               "--operator=script", *arguments]
    result = subprocess.run(command, capture_output=True, text=True, timeout=90)
    if result.returncode != 0:
        raise RuntimeError(f"{' '.join(command[2:])}: {result.stderr}")
    return result.stdout

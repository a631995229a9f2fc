"""A server of another service at a reused address is given model requests while the store is down. See claim.txt."""

import pathlib
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins  # noqa: E402

ADDRESS_REUSE_SECONDS = 2.0
STORE_DOWN_SECONDS = 8.0
CLIENTS = 4


def stream_all_the_time(gateway, record, index, results, stop):
    number = 0
    while not stop.is_set():
        number += 1
        request_id = f"stream-{index}-{number:02}"
        record.write(f"client sends {request_id}")
        status, events = 0, []
        try:
            with socket.create_connection(("127.0.0.1", gateway.port), 1) as connection:
                status, events, _ = standins.stream(connection, request_id, "/streams/x", "good", 10)
        except OSError:
            pass
        record.write(f"client gets {status} for {request_id}, {len(events)} events")
        results.append((request_id, status, len(events)))
        stop.wait(0.3)


def play(record, folder, is_trouble):
    store = standins.Store(record)
    born_ms = int(time.time() * 1000) - 60000
    engines = {zone: standins.EngineServer(record, f"i-engine-{zone}", born_ms, events=30, event_seconds=0.05,
                                           events_between_silences=1000) for zone in "ab"}
    register = standins.CallServer(record, "i-register-1")
    store.put("op/config", {
        "version": 3, "limits": standins.limits(), "tenants": [{"name": "tenant-1", "api_keys": ["good"]}],
        "routes": [standins.route("streams", "reader", "streaming", 25000, can_resume=True, gap_target_ms=700,
                                  sticky=True, target_latency_ms=4500, max_attempts=5),
                   standins.route("orders", "register", "non_idempotent")],
        "services": [{"name": "reader", "max_conns": 360, "engine": {"kv_capacity_tokens": 88000, "stride": 7}},
                     {"name": "register", "max_conns": 100}]})
    for zone, engine in engines.items():
        store.put(f"servers/{engine.id}", standins.entry("reader", engine.address, f"zone-{zone}", born_ms, 64))
    store.put(f"servers/{register.id}", standins.entry("register", register.address, "zone-a", born_ms))
    gateway = standins.Gateway(folder, store.port, record)
    gateway.start()
    stop = threading.Event()
    results = []
    late = None
    try:
        if not gateway.wait_ready():
            return 2
        for index in range(CLIENTS):
            threading.Thread(target=stream_all_the_time, args=(gateway, record, index, results, stop),
                             daemon=True).start()
        time.sleep(4)
        if is_trouble:
            record.write("the store is down")
            store.away = "silent"
            down_at = time.monotonic()
            time.sleep(0.2)
            record.write("engine b crashes for good")
            engines["b"].close()
            time.sleep(ADDRESS_REUSE_SECONDS + 0.1)
            late = standins.CallServer(record, "i-register-2", engines["b"].port)
            record.write(f"{late.id}, a server of the service register, starts at {late.address}")
            time.sleep(0.4)
            record.write("engine a crashes for good")
            engines["a"].close()
            time.sleep(max(0, down_at + STORE_DOWN_SECONDS - time.monotonic()))
            store.away = None
            record.write("the store is back")
        else:
            time.sleep(8)
        time.sleep(1)
        stop.set()
        time.sleep(1)
        foreign = [run[1] for server in (register, late) if server for run in server.runs
                   if run[1].startswith("stream-")]
        answered = [one for one, status, events in results if status == 200 and events == 0]
        whole = sum(1 for _, status, events in results if status == 200 and events)
        record.write(f"{whole} streams with events; {len(foreign)} model requests run by a server of the service register: "
                     f"{foreign[:5]}; callers that got its answer: {answered[:5]}")
        if whole < CLIENTS:
            return 2
        return 1 if foreign else 0
    finally:
        stop.set()
        gateway.end()


if __name__ == "__main__":
    sys.exit(standins.run_case(HERE, play))

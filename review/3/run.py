"""Requests that a failing server has run are answered 429 and 408, which promise that they have not. See claim.txt."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins  # noqa: E402

REQUESTS = 400
SERVERS = 7                  # one of them fails: a share of 0.143
FAILING_SHARE = 0.4          # of the requests of the failing server
PROMISES = (408, 421, 429, 503)


class FailingServer(standins.CallServer):
    """Runs each request. Answers a part of them with 429 or 408, which do not say Not-Executed. Its health is good."""

    fails = False
    count = 0

    def answer(self, line, headers, body):
        answer = super().answer(line, headers, body)
        if not self.runs or self.runs[-1][1] != headers.get("request-id"):
            return answer
        self.count += 1
        if not self.fails or self.count % 5 >= 5 * FAILING_SHARE:
            return answer
        status = 429 if self.count % 5 == 0 else 408
        request_id = headers["request-id"]
        self.record.write(f"server {self.id} has run {request_id} and answers {status} without Not-Executed")
        return standins.message(status, {"Request-Id": request_id, "Server-Stamp": f"stamp.{self.id}.{request_id}"},
                                b"failed")


def play(record, folder, is_trouble):
    store = standins.Store(record)
    servers = [FailingServer(record, f"i-register-{index}") for index in range(SERVERS)]
    servers[0].fails = is_trouble
    store.put("op/config", {
        "version": 3, "routes": [standins.route("orders", "register", "non_idempotent", max_attempts=1)],
        "services": [{"name": "register", "max_conns": 100}], "limits": standins.limits(),
        "tenants": [{"name": "tenant-1", "api_keys": ["good"]}]})
    for server in servers:
        store.put(f"servers/{server.id}",
                  standins.entry("register", server.address, "zone-a", int(time.time() * 1000) - 60000))
    gateway = standins.Gateway(folder, store.port, record)
    gateway.start()
    try:
        if not gateway.wait_ready():
            return 2
        answers = {}
        for number in range(REQUESTS):
            request_id = f"order-{number}"
            record.write(f"client sends {request_id}")
            answers[request_id] = standins.send(gateway.port, request_id, "/orders/x", "good")[0]
            record.write(f"client gets {answers[request_id]} for {request_id}")
        time.sleep(0.5)
        ran = {run[1] for server in servers for run in server.runs}
        broken = [request_id for request_id, status in answers.items() if status in PROMISES and request_id in ran]
        served = sum(status == 200 for status in answers.values())
        record.write(f"{served} requests got 200; {len(broken)} got one of {PROMISES} and have run: {broken[:5]}")
        if served < REQUESTS / 2 or (is_trouble and not servers[0].runs):
            return 2
        return 1 if broken else 0
    finally:
        gateway.end()


if __name__ == "__main__":
    sys.exit(standins.run_case(HERE, play))

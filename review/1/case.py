"""An operator takes all keys of the only tenant away. Requests with keys that are in no configuration must not run after that."""
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(CASE), "common"))
from fleet import BOUNDS, request, run  # noqa: E402

ROUTE = {"name": "lookup", "host": "viewer.example", "path-prefix": "/lookup/", "kind": "safe", "timeout-ms": 800,
         "target-latency-ms": 300, "priority": 2, "service": "viewer-app", "max-attempts": 2, "no-auth": False}
SERVICE = {"name": "viewer-app", "health-path": "/health", "max-connections": 100, "protocol": "h1", "tls": False}


def tenants(*keys):
    return [{"name": "tenant-a", "api-keys": list(keys)}]


def play(fleet, trouble):
    fleet.configure(1, [ROUTE], [SERVICE], tenants("key-1", "key-2"))
    for number in (1, 2):
        fleet.start_worker("i-%d" % number, "viewer-app")
    entries = [fleet.start_entry("front-%d" % number) for number in (1, 2)]
    for entry in entries:
        fleet.await_ready(entry)
    time.sleep(1)

    def ask(phase, key, entry):
        request_id = "%s.%s.%s" % (phase, key or "none", entry["name"])
        headers = {"Host": "viewer.example", "Request-Id": request_id, "Deadline-Ms": "1500"}
        if key:
            headers["Credential"] = key
        answer = request(entry["front"], "GET", "/lookup/1", headers)
        status = answer[0] if answer else None
        fleet.record("client", "asked", id=request_id, key=key, entry=entry["name"], status=status)
        return request_id, status

    def ask_all(phase):
        return {(key, entry["name"]): ask(phase, key, entry) for entry in entries
                for key in ("key-1", "key-2", "never-held", None)}

    before = ask_all("before")
    sound = all((status == 200) == (key in ("key-1", "key-2")) for (key, _), (_, status) in before.items())
    if trouble:
        fleet.configure(2, [ROUTE], [SERVICE], tenants("key-2"))
        time.sleep(1.5)
        confirmed = fleet.configure(3, [ROUTE], [SERVICE], tenants())
        fleet.record("operator", "has taken the last key away; the store has confirmed it")
    else:
        confirmed = fleet.configure(2, [ROUTE], [SERVICE], tenants("key-1", "key-2"))
    # Far beyond config-apply-ms and revoke-ms.
    time.sleep(max(0, confirmed + BOUNDS["config-apply-ms"] / 1000 + BOUNDS["revoke-ms"] / 1000 - time.time()))
    after = ask_all("after")
    allowed = () if trouble else ("key-1", "key-2")
    ran = {line["id"]: line for line in fleet.runs() if line["what"] == "run"}
    wrong = [request_id for (key, _), (request_id, _) in after.items() if key not in allowed and request_id in ran]
    for request_id in wrong:
        fleet.record("check", "a worker ran a request whose key is in no configuration in force", id=request_id,
                     tenant=ran[request_id]["tenant"])
    served = all(status == 200 for (key, _), (_, status) in after.items() if key in allowed)
    return sound and served and not wrong


# What was sent, answered and run; with TROUBLE=0 the same is done without the disruption.
RECORD = os.path.join(CASE, "record.txt")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
run(RECORD, TROUBLE, play)

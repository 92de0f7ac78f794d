"""Another writer puts one entry under `servers/`, of a service that nobody names and with a number far out of range.

Then times are calm. An operator adds a route, and clients send requests on the first route and on the added one.
"""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from world import TROUBLE, CannotRun, play, status  # noqa: E402

KEY = "k1"
CONFIG_APPLY_S = 2.0
REQUESTS = 60
LARGEST_SECONDS = 2**63 - 1
RESTART_WAIT_S = 15


def config(version, routes):
    return {
        "version": version,
        "routes": [{
            "name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": "idempotent", "timeout_ms": 800,
            "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 2, "public": False,
            "sticky": False, "resumable": False,
        } for name in routes],
        "services": [{"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
    }


def served(world, path):
    count = 0
    for number in range(REQUESTS):
        _, _, head = world.request(world.boxes[number % len(world.boxes)], path, KEY)
        count += status(head) == 200
        time.sleep(0.02)
    return count


def case(world):
    runners = [world.add_runner(f"i-{at}", "app", zone, slots=6) for at, zone in enumerate(("za", "zb", "zc"))]
    for runner in runners:
        runner.publish()
    world.store.set("op/config", config(3, ["first"]))
    world.start()
    time.sleep(4.0)
    before = served(world, "/first/a")
    if before < REQUESTS * 0.9:
        raise CannotRun(f"{before} of {REQUESTS} requests were served before the trouble")
    if TROUBLE:
        entry = {
            "service": "elsewhere", "address": "127.0.0.1:9", "zone": "za", "version": "v1", "slots": 6, "state": "ready",
            "cold_remaining_ms": LARGEST_SECONDS * 1000, "sequence": 1,
        }
        world.store.set("servers/j-1", entry)
        world.record.note("trouble", entry=entry)
    time.sleep(3.0)
    world.store.set("op/config", config(7, ["first", "added"]))
    world.record.note("planned work", configuration=7, adds="/added/")
    time.sleep(CONFIG_APPLY_S + 1.0)
    first, added = served(world, "/first/a"), served(world, "/added/a")
    world.record.note("counted", sent_on_each=REQUESTS, first=first, added=added)
    world.record.note("boxes say", ready=[box.is_ready() for box in world.boxes])
    broken = []
    if added < first / 4:
        broken.append(f"CONFIG: {added} of {REQUESTS} requests on the added route are served, {first} of {REQUESTS} on the "
                      f"first one, at {len(world.boxes)} boxes")
    # Not judged: whether a box that the operator starts anew takes requests again.
    again = world.boxes[0]
    again.signal(signal.SIGTERM)
    again.process.wait()
    again.start()
    until = time.monotonic() + RESTART_WAIT_S
    while not again.is_ready() and time.monotonic() < until:
        time.sleep(0.1)
    world.record.note("box 0 started anew", ready=again.is_ready(), within_s=RESTART_WAIT_S)
    for box in world.boxes:
        panics = [json.loads(line)["why"] for line in box.log().splitlines() if '"msg":"task panicked"' in line]
        world.record.note("logged by", box=box.at, panics=panics)
    return broken


if __name__ == "__main__":
    play(sys.argv[1], case)

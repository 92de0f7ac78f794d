"""A configuration makes a tenant isolated; another tenant then shares the parts of prompts that it made before.

The runners keep what they have read under the salt that the system sets, as PROTOCOL.md tells, and find it again only
under that salt.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from world import TROUBLE, CannotRun, play, status  # noqa: E402

CONFIG_APPLY_S = 2.0
KEYS = {"acme": "k1", "other": "k2"}
PARTS = "5c1e07a2:800,91bd3f06:410"


def config(version, isolated):
    return {
        "version": version,
        "routes": [{
            "name": "verdict", "host": "h.example", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 4000,
            "target_latency_ms": 500, "priority": 1, "service": "llm", "max_attempts": 1, "public": False,
            "sticky": True, "resumable": False, "gap_aim_ms": 300,
        }],
        "services": [{
            "name": "llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kv_capacity": 41564, "token_kv_bytes": 18432, "link_mbps": 130000.0,
                       "managed": True, "max_inflight": 12, "models": [{"name": "m0"}]},
        }],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "acme", "api_keys": [KEYS["acme"]] if isolated is None else [KEYS["acme"], "k1-new"], "priority": 1,
             "isolated": bool(isolated)},
            {"name": "other", "api_keys": [KEYS["other"]], "priority": 1, "isolated": False},
        ],
    }


def ask(world, tenant, count, name):
    """Sends prompts of a tenant at each box in turn; returns how many are answered."""
    served = 0
    for number in range(count):
        headers = {"Model": "m0", "Token-Usage": "1460,8", "Prefix-Hash": f"{PARTS},{name}{number:04x}:250"}
        box = world.boxes[number % len(world.boxes)]
        _, _, head = world.request(box, "/stream/a", KEYS[tenant], 4000, headers)
        served += status(head) == 200
        time.sleep(0.05)
    return served


def case(world):
    runners = [world.add_runner(f"i-{at}", "llm", zone, model="m0") for at, zone in enumerate(("za", "zb", "zc"))]
    for runner in runners:
        runner.publish()
    world.store.set("op/version/m0", {"model": "m0", "version": 1})
    world.store.set("op/config", config(3, None))
    world.start()
    time.sleep(4.0)
    served = ask(world, "acme", 24, "a")
    world.store.set("op/config", config(7, TROUBLE))
    world.record.note("configuration", version=7, acme_isolated=TROUBLE)
    time.sleep(CONFIG_APPLY_S + 2.0)
    changed = world.record.now()
    served += ask(world, "other", 24, "b")
    served += ask(world, "acme", 12, "c")
    if served < 50:
        raise CannotRun(f"{served} of 60 prompts were served")
    broken = []
    for runner in runners:
        for reached, id, salt, tenant, took in runner.memory_uses:
            foreign = sorted({maker for _, maker in took if maker != tenant})
            if TROUBLE and reached > changed and foreign and "acme" in foreign + [tenant]:
                broken.append((id, tenant, foreign, salt))
                world.record.note("foreign memory", id=id, tenant=tenant, made_by=foreign, salt=salt, runner=runner.id)
    world.record.note("counted", served=served, foreign=len(broken))
    if not broken:
        return []
    id, tenant, foreign, salt = broken[0]
    return [f"WALL: {len(broken)} requests use memory that another tenant made, while acme is isolated; the first: "
            f"{id} of {tenant} uses memory made by {foreign[0]}, under salt {salt}"]


if __name__ == "__main__":
    play(sys.argv[1], case)

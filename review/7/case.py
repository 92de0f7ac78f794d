"""The configuration changes: a tenant comes whose name has a capital letter, and a key is taken away."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

CONFIG_APPLY_S = 2.0
NEW_TENANT = "Acme-Copies" if TROUBLE else "acme-copies"


async def respond(runner, line, headers, body, writer):
    rid = headers.get("request-id", "")
    runner.record("runner %s runs %s %s for tenant %s" % (runner.name, line, rid, headers.get("tenant")))
    writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: 2\r\n\r\nok"
                 % (rid.encode(), rid.encode()))


async def call(record, box, path, rid, key):
    reader, writer = await asyncio.open_connection(*box.callers)
    writer.write(request("GET", path, rid).replace(b"Bearer k1", b"Bearer " + key.encode()))
    answer = await asyncio.wait_for(reader.read(4096), 5)
    writer.close()
    status = int(answer.split(b" ")[1])
    record("client: %s with key %s gets %d: %r" % (rid, key, status, answer.split(b"\r\n\r\n")[-1]))
    return status


async def case(record, boxes):
    store = Store(record)
    await store.start(ip(2), 8744)
    runners = [Runner(record, store, "i-%d" % n, "app", respond) for n in range(3)]
    for n, runner in enumerate(runners):
        await runner.start(ip(10 + n), 8080)
    before = [{"name": "first", "api_keys": ["k1", "k2"], "priority": 1}]
    store.put("op/config", config(7, tenants=before))
    for _ in range(2):
        boxes.append(Box(record, store.addr))
        boxes[-1].start()
    for box in boxes:
        await box.ready()
    await asyncio.sleep(4)
    after = [{"name": "first", "api_keys": ["k1"], "priority": 1},
             {"name": NEW_TENANT, "api_keys": ["k3"], "priority": 1}]
    route = dict(ROUTES[0], name="added", path_prefix="/added/")
    store.put("op/config", config(9, routes=ROUTES + [route], tenants=after))
    record("the store has acknowledged version 9")
    await asyncio.sleep(CONFIG_APPLY_S + 3)
    broken = False
    for n in range(10):
        for box in boxes:
            old = await call(record, box, "/safe/a", "old-%d-%d" % (box.n, n), "k2")
            added = await call(record, box, "/added/a", "added-%d-%d" % (box.n, n), "k1")
            new = await call(record, box, "/safe/a", "new-%d-%d" % (box.n, n), "k3")
            broken |= old == 200 or added == 404 or new == 401
        await asyncio.sleep(0.3)
    return broken


main(os.path.dirname(os.path.abspath(__file__)), case)

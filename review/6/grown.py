"""A request that crashes the runners that run it comes again at all boxes, while the weights are at version 1000."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

VERSION = 1000 if TROUBLE else 1
CONTACT_S = 3.0
MAX_RETRIES = 3
MODEL = "daka510000"
BACK_AFTER_S = 2.0
crashed = []


class Mortal(Runner):
    """A runner that one request crashes: it refuses connections for some seconds, and starts again under its id."""

    writers = None

    async def start(self, addr, port):
        self.at, self.writers = (addr, port), set()
        await super().start(addr, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        await super().serve(reader, writer)

    async def crash(self):
        crashed.append(now())
        self.record("runner %s crashes, the crash number %d" % (self.name, len(crashed)))
        self.server.close()
        self.beats.cancel()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        self.born = int(time.time() * 1000)
        await self.start(*self.at)


async def app(runner, line, headers, body, writer):
    rid = headers.get("request-id", "")
    runner.record("runner %s runs %s" % (runner.name, rid))
    if body == b"fatal":
        await asyncio.sleep(0.05)
        asyncio.create_task(runner.crash())
        return False
    writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: 2\r\n\r\nok"
                 % (rid.encode(), rid.encode()))


async def engine(runner, line, headers, body, writer):
    text = json.dumps({"stage": "both", "models": runner.entry["models"], "busy": False, "sequence": 0, "queued": 0,
                       "active": 0, "kv_used": 0, "kv_total": 41564, "capabilities": 0, "born": runner.born,
                       "clock_ms": time.time() * 1000}).encode()
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(text) + text)


async def call(record, box, rid, body):
    try:
        reader, writer = await asyncio.open_connection(*box.callers)
        writer.write(request("POST", "/safe/a", rid, body))
        answer = await asyncio.wait_for(reader.read(4096), 3)
        writer.close()
        status = answer.split(b" ")[1].decode()
    except (asyncio.TimeoutError, OSError, IndexError) as e:
        status = repr(e)
    record("client: %s at %s gets %s" % (rid, box.name, status))


async def case(record, boxes):
    store = Store(record)
    await store.start(ip(2), 8744)
    for n in range(8):
        await Mortal(record, store, "i-%d" % n, "app", app, zone="z" + "abc"[n % 3]).start(ip(10 + n), 8080)
    models = [{"name": MODEL, "version": VERSION, "adapters": []}]
    await Runner(record, store, "e-0", "llm", engine, stage="both", models=models).start(ip(40), 8080)
    store.put("op/config", config())
    store.put("op/version/" + MODEL, {"model": MODEL, "version": VERSION})
    for zone in ("za", "za", "zb", "zb", "zc", "zc"):
        boxes.append(Box(record, store.addr, zone=zone))
        boxes[-1].start()
    for box in boxes:
        await box.ready()
    await asyncio.sleep(6)
    for n in range(24):
        for box in boxes:
            sound = [call(record, box, "sound-%d-%d-%d" % (n, box.n, k), b"sound") for k in range(2)]
            await asyncio.gather(*sound)
        await call(record, boxes[n % len(boxes)], "fatal-%d" % n, b"fatal")
        await asyncio.sleep(0.8)
    late = [at for at in crashed if at > crashed[2] + CONTACT_S] if len(crashed) > 2 else []
    record("%d runs of the fatal request; %d later than %.1f s after the third crash" % (len(crashed), len(late), CONTACT_S))
    return len(late) > MAX_RETRIES


main(os.path.dirname(os.path.abspath(__file__)), case)

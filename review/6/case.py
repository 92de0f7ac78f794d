"""New weights are named, with a version that rises by more than a few."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

MEMORY_MB = 110
FIRST, NEXT = 1, (20261206 if TROUBLE else 2)
MODEL = "daka510000"
ENGINES = {
    "name": "llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": False,
    "engine": {"slots": 64, "kv_capacity": 41564, "token_kv_bytes": 18432, "link_mbps": 130000.0, "moves": True,
               "backups": True, "managed": True, "stride": 6, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
               "handle_s": 5.0, "models": [{"name": MODEL}]}}
CHAT = {"name": "chat", "host": "h.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 4000,
        "target_latency_ms": 500, "priority": 1, "service": "llm", "max_attempts": 1, "public": False, "sticky": True,
        "resumable": False, "gap_aim_ms": 300}


class Engine(Runner):
    """A runner with a model: it reports, takes orders (done after 0.8 s), and streams one event."""

    version, orders, busy = FIRST, 0, False

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    def write_entry(self):
        self.entry = {"stage": "both", "models": self.models()}
        super().write_entry()

    async def load(self, version):
        self.busy = True
        await asyncio.sleep(0.8)
        self.version, self.busy = version, False
        self.record("runner %s serves version %d" % (self.name, version))
        self.write_entry()


async def answer_json(writer, status, doc):
    text = json.dumps(doc).encode()
    writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text))
                 + text)


async def engine(runner, line, headers, body, writer):
    rid = headers.get("request-id", "").encode()
    if line.startswith("GET /api/report"):
        return await answer_json(writer, 200, {
            "stage": "both", "models": runner.models(), "busy": runner.busy, "sequence": runner.orders, "queued": 0,
            "active": 0, "kv_used": 0, "kv_total": 41564, "capabilities": 0, "born": runner.born,
            "clock_ms": time.time() * 1000})
    if line.startswith("POST /api/order"):
        order = json.loads(body)
        runner.record("runner %s gets order %s" % (runner.name, body.decode()))
        if runner.busy or order.get("expected_rev", runner.orders) != runner.orders:
            return await answer_json(writer, 409, {})
        if order["version"] == runner.version:
            return await answer_json(writer, 200, {})
        runner.orders += 1
        asyncio.create_task(runner.load(order["version"]))
        return await answer_json(writer, 202, {})
    expected = headers.get("expect-version")
    if runner.busy or (expected and int(expected) != runner.version):
        status = b"503 Busy" if runner.busy else b"421 Misdirected"
        writer.write(b"HTTP/1.1 %s\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nVersions: %d\r\nContent-Length: 0\r\n\r\n"
                     % (status, rid, runner.version))
        return
    events = b"id: 1\ndata: a\n\n"
    writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nVersions: %d\r\n"
                 b"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s"
                 % (rid, rid, runner.version, len(events), events))


async def app(runner, line, headers, body, writer):
    rid = headers.get("request-id", "").encode()
    writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: 2\r\n\r\nok"
                 % (rid, rid))


async def call(record, box, rid):
    """Sends an idempotent request of the application; returns its status, or None without an answer 0.5 s after its time."""
    began = time.monotonic()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*box.callers), 1)
        writer.write(request("GET", "/safe/a", rid))
        answer = await asyncio.wait_for(reader.read(4096), 2.0)
        writer.close()
        status = int(answer.split(b" ")[1])
    except (asyncio.TimeoutError, OSError, IndexError) as e:
        status = None
        record("client: %s: no answer: %r" % (rid, e))
    record("client: %s gets %s after %.3f s" % (rid, status, time.monotonic() - began))
    return status


def memory_mb(box):
    try:
        with open("/proc/%d/status" % box.process.pid) as file:
            sizes = [line.split()[1] for line in file if line.startswith("VmRSS")]
        return int(sizes[0]) // 1024 if sizes else 0
    except OSError:
        return 0


async def case(record, boxes):
    store = Store(record)
    await store.start(ip(2), 8744)
    for n in range(3):
        await Runner(record, store, "i-%d" % n, "app", app, zone="z" + "abc"[n]).start(ip(10 + n), 8080)
        await Engine(record, store, "e-%d" % n, "llm", engine, zone="z" + "abc"[n]).start(ip(20 + n), 8080)
    store.put("op/config", config(services=[APP, ENGINES], routes=ROUTES + [CHAT]))
    store.put("op/version/" + MODEL, {"model": MODEL, "version": FIRST})
    for zone in ("za", "zb", "zc"):
        boxes.append(Box(record, store.addr, zone=zone))
        boxes[-1].start()
    for box in boxes:
        await box.ready()
    await asyncio.sleep(4)
    over = {box.name: 0 for box in boxes}
    held_past_time = sent_in_touch = 0
    for n in range(14):
        if n == 4:
            store.put("op/version/" + MODEL, {"model": MODEL, "version": NEXT})
            record("the store has acknowledged version %d of the weights" % NEXT)
        in_touch = not any(over.values())
        calls = [call(record, box, "r-%d-%d-%d" % (box.n, n, k)) for box in boxes for k in range(5)]
        results = await asyncio.gather(*calls)
        if in_touch:
            sent_in_touch += len(results)
            held_past_time += sum(status is None for status in results)
        for box in boxes:
            size = memory_mb(box)
            record("box %s holds %d MB" % (box.name, size))
            if size > MEMORY_MB:
                over[box.name] += 1
                # The platform kills a process over its limit, and starts it again.
                box.stop()
                box.start()
        await asyncio.sleep(0.25)
    record("at boxes that had run without a break: %d requests, %d without an answer 0.5 s after their time"
           % (sent_in_touch, held_past_time))
    record("times over the memory limit: %s" % over)
    return sum(times >= 3 for times in over.values()) >= 2


main(os.path.dirname(os.path.abspath(__file__)), case)

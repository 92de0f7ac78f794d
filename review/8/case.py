"""A runner in trouble sends answers that name two lengths: chunks, and a wrong Content-Length beside them."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins_2 import *

BODY = b"0123456789" * 8
# Shorter and longer than the body that the chunks hold.
WRONG = [30, 30, 120, 30, 120]


async def respond(runner, line, headers, body, writer):
    rid = headers.get("request-id", "")
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n" % (rid.encode(), rid.encode())
    if TROUBLE and rid.startswith("t"):
        head += b"Content-Length: %d\r\n" % WRONG[int(rid[1:]) % len(WRONG)]
    runner.record("runner %s runs %s %s" % (runner.name, line, rid))
    writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY))


async def call(record, box, rid):
    """Sends one request on a connection of its own; returns whether what came back breaks MIXED."""
    reader, writer = await asyncio.open_connection(*box.callers)
    writer.write(request("POST", "/once/a", rid, b"hi"))
    raw = b""
    try:
        while True:
            part = await asyncio.wait_for(reader.read(65536), 2.0)
            if not part:
                break
            raw += part
    except (asyncio.TimeoutError, ConnectionError) as e:
        record("client: %s: %r" % (rid, e))
    writer.close()
    record("client got for %s: %r" % (rid, raw))
    head, _, rest = raw.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        return False
    length = [int(l.split(b":")[1]) for l in head.split(b"\r\n") if l.lower().startswith(b"content-length:")]
    if not length:
        return False
    answer, more = rest[:length[0]], rest[length[0]:]
    if len(answer) == length[0] and answer != BODY:
        record("BROKEN: a success whose body is not the runner's whole body: %r" % answer)
        return True
    if more:
        record("BROKEN: bytes after the answer that are not an answer: %r" % more)
        return True
    if len(answer) < length[0]:
        record("the answer to %s never ends: %d of %d bytes" % (rid, len(answer), length[0]))
    return False


async def case(record, boxes):
    store = Store(record)
    await store.start(ip(2), 8744)
    runners = [Runner(record, store, "i-%d" % n, "app", respond) for n in range(3)]
    for n, runner in enumerate(runners):
        await runner.start(ip(10 + n), 8080)
    store.put("op/config", config())
    box = Box(record, store.addr)
    boxes.append(box)
    box.start()
    await box.ready()
    broken = [await call(record, box, "t%d" % n) for n in range(5)]
    return any(broken)


main(os.path.dirname(os.path.abspath(__file__)), case)

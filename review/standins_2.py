"""Stand-ins for the scripts of this review: the platform's store, runners, a proxy, clients, and boxes as processes.

Only the Python standard library is used. All addresses are loopback addresses of one random /24, so that scripts
don't disturb each other. The stand-ins follow the pages PROTOCOL.md, DEPLOY.md and NEWS-25.md."""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the script; its second part is appended."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "a" if "SECOND_PART" in os.environ else "w")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))
        self.file.flush()


def ip(last):
    return "%s.%d" % (NET, last)


async def read_message(reader):
    """Reads one HTTP/1.1 message: first line, headers (names in lower case) and body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Store:
    """The platform's store: keys, ranges, watches, transactions and leases."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 0
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    async def start(self, addr, port):
        self.addr = "%s:%d" % (addr, port)
        self.server = await asyncio.start_server(self.serve, addr, port)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [l for l, (until, _) in self.leases.items() if until <= time.monotonic()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.write(key, None)

    def write(self, key, value, lease=0):
        """Writes bytes, or removes the key if there are none."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "gone": True}
        else:
            made = self.items[key]["made"] if key in self.items else self.revision
            text = base64.b64encode(value).decode()
            event = {"key": key, "value": text, "revision": self.revision, "made": made, "lease": lease}
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, doc):
        self.write(key, json.dumps(doc).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ")
                status, doc = await self.answer(method, target, json.loads(body) if body else None)
                text = json.dumps(doc).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, doc):
        path, _, query = target.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path == "/api/kv-key":
            item = self.items.get(args["key"])
            return (200, dict(item, at=self.revision)) if item else (404, {})
        if path == "/api/kv-range":
            prefix, after = args["path_prefix"], args.get("after", "")
            items = [i for k, i in sorted(self.items.items()) if k.startswith(prefix) and k > after]
            return 200, {"items": items[:500], "more": len(items) > 500, "at": self.revision}
        if path == "/api/kv-watch":
            prefix, after = args["path_prefix"], int(args["after"])
            until = time.monotonic() + int(args["wait_ms"]) / 1000
            while True:
                events = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/api/kv-txn":
            rows = doc.get("expected_rev", [])
            revision = lambda key: self.items[key]["revision"] if key in self.items else 0
            if any(revision(row["key"]) != row["revision"] for row in rows):
                return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
            puts = doc.get("put", [])
            if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
                return 404, {}
            for p in puts:
                self.write(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
            for key in doc.get("remove", []):
                self.write(key, None)
            return 200, {"revision": self.revision}
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl = doc["ttl_ms"]
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/api/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


class Runner:
    """A runner. `respond(runner, line, headers, body, writer)` writes the answer; it returns False to close."""

    def __init__(self, record, store, name, service, respond, zone="za", **entry):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.respond, self.zone, self.entry = respond, zone, entry
        self.state, self.sequence, self.runs = "ready", 0, []
        self.born = int(time.time() * 1000)

    async def start(self, addr, port, listed=None):
        self.addr = "%s:%d" % (addr, port)
        self.listed = listed or self.addr
        self.server = await asyncio.start_server(self.serve, addr, port)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(1.2)

    def write_entry(self):
        self.sequence += 1
        doc = {"service": self.service, "address": self.listed, "zone": self.zone, "version": "v1", "slots": 6,
               "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}
        doc.update(self.entry)
        self.store.put("servers/" + self.name, doc)

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                expected = headers.get("expect-instance")
                if expected not in (None, self.name):
                    writer.write(b"HTTP/1.1 421 Misdirected\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                 % (headers.get("request-id", "").encode(), self.name.encode()))
                elif await self.respond(self, line, headers, body, writer) is False:
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Box:
    """A sillpin-box process, started with the command and settings of the deploy file."""

    count = 0

    def __init__(self, record, store_addr, zone="za", seeds="", folder=None, **settings):
        Box.count += 1
        self.record, self.n, self.zone = record, Box.count, zone
        self.name, self.ip = "front-%s-%d" % (zone, self.n), ip(100 + self.n)
        self.callers = (self.ip, 8749)
        text = """[box]
id = {name}
zone = {zone}
ip = {ip}

[listen]
callers = {ip}:8749
ready = {ip}:8741
peers = {ip}:8745
gossip-port = 7580

[platform]
addr = {store}
seeds = {seeds}
zones = za/r,zb/r,zc/r
history-s = 20

[limits]
memory-mb = 110
descriptors = 4100
link-mbps = 1000.0

[promises]
grace-s = 8
lease-ms = 3000
retry-share = 0.2
retry-slack = 58
retry-window-s = 10
weights-ms = 10000
reuse-s = 20
""".format(name=self.name, zone=zone, ip=self.ip, store=store_addr, seeds=seeds)
        self.folder = tempfile.mkdtemp(prefix="sillpin-review-")
        self.settings = os.path.join(self.folder, "box.ini")
        with open(self.settings, "w") as file:
            file.write(text)
        self.process = None

    def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "SILLPIN_CONFIG": self.settings}
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, "target/release/sillpin-box")], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)
        self.record("box %s started" % self.name)

    def signal(self, number):
        self.record("box %s gets signal %d" % (self.name, number))
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self, timeout=15):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.ip, 8741)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answer = await reader.read()
                writer.close()
                if b" 200 " in answer:
                    self.record("box %s is ready" % self.name)
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("box %s was not ready in time" % self.name)


class CouldNotRun(Exception):
    """The case could not run."""


def request(method, path, rid, body=b"", deadline=1500, more=""):
    head = ("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer k1\r\n%s"
            % (method, path, rid, deadline, more))
    if body or method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


ROUTES = [
    {"name": "safe", "host": "h.example", "path_prefix": "/safe/", "kind": "idempotent", "timeout_ms": 1500,
     "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 2, "public": False, "sticky": False,
     "resumable": False},
    {"name": "once", "host": "h.example", "path_prefix": "/once/", "kind": "non_idempotent", "timeout_ms": 1500,
     "target_latency_ms": 300, "priority": 2, "service": "app", "max_attempts": 1, "public": False, "sticky": False,
     "resumable": False},
]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
TENANTS = [{"name": "acme", "api_keys": ["k1"], "priority": 1}]
APP = {"name": "app", "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}


def config(version=7, routes=ROUTES, services=(APP,), tenants=TENANTS):
    return {"version": version, "routes": list(routes), "services": list(services), "limits": LIMITS,
            "tenants": list(tenants)}


def main(folder, case):
    """Runs a case: `case(record, boxes)` returns True if the rule was broken. Exits with 1, 0 or 2."""
    record = Record(folder)
    boxes = []

    async def run():
        try:
            return await asyncio.wait_for(case(record, boxes), 110)
        finally:
            # Stand-ins that are cut off by the end of the loop complain.
            sys.stderr = open(os.devnull, "w")

    try:
        broken = asyncio.run(run())
        record("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except (CouldNotRun, asyncio.TimeoutError, OSError) as e:
        record("could not run: %r" % e)
        code = 2
    finally:
        for box in boxes:
            box.stop()
    if os.environ.get("KEEP_LOGS"):
        for box in boxes:
            print("log of", box.name, box.folder)
    else:
        for box in boxes:
            subprocess.call(["rm", "-rf", box.folder])
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)

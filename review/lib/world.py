"""Stand-ins for the platform's store, runners and clients, and the start of real boxes on loopback addresses.

The stand-ins follow PROTOCOL.md and DEPLOY.md. Standard library only. Every runner listens once for each box, and every
box reads the store at an address of its own that names those listeners: a path from one box to the runners can then be
cut without touching the others, and a runner knows which machine a request came from.
"""

import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

LIMIT_S = 110
"""A case that takes longer is ended and counts as one that could not run."""

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in the order in which it was noted."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, /, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {what}  {text}\n")
            self.file.flush()


def free_port(host=HOST, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_gossip_port(hosts):
    """A port that is free for TCP and UDP at all of these addresses."""
    for _ in range(100):
        port = free_port(hosts[0])
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port for TCP and UDP")


def listen(port=0):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(256)
    return listener


def reset(sock):
    """Closes a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    sock.close()


class Message:
    """A request or a response head with its body."""

    def __init__(self, start, headers, body=b""):
        self.start, self.headers, self.body = start, headers, body

    def header(self, name):
        return self.headers.get(name.lower())


def read_head(reader):
    start = reader.readline()
    if not start:
        return None
    headers = {}
    while True:
        line = reader.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start.decode("latin-1").strip(), headers)


def read_chunk(reader):
    """Returns the next chunk, b"" at the end, None if the connection ended before it."""
    line = reader.readline()
    if not line:
        return None
    size = int(line.split(b";")[0], 16)
    data = reader.read(size)
    end = reader.readline()
    if len(data) < size or not end:
        return None
    return data


def read_request(reader):
    req = read_head(reader)
    if req is None:
        return None
    if "chunked" in (req.header("transfer-encoding") or ""):
        parts = []
        while True:
            chunk = read_chunk(reader)
            if chunk is None:
                return None
            if not chunk:
                break
            parts.append(chunk)
        req.body = b"".join(parts)
    else:
        length = int(req.header("content-length") or 0)
        req.body = reader.read(length)
        if len(req.body) < length:
            return None
    return req


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def spawn(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


class Listener:
    """Accepts connections and serves each in a thread; can be closed, with its connections, and opened again."""

    def __init__(self, serve):
        self.serve = serve
        self.port = 0
        self.lock = threading.Lock()
        self.open()

    def open(self):
        self.sock = listen(self.port)
        self.port = self.sock.getsockname()[1]
        self.conns = set()
        spawn(self.accept, self.sock, self.conns)

    def accept(self, sock, conns):
        while True:
            try:
                conn, _ = sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                conns.add(conn)
            spawn(self.run, conn, conns)

    def run(self, conn, conns):
        try:
            self.serve(conn)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                conns.discard(conn)
            try:
                conn.close()
            except OSError:
                pass

    def close(self):
        """Refuses new connections and resets the open ones."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()
        with self.lock:
            conns = list(self.conns)
        for conn in conns:
            reset(conn)

    @property
    def addr(self):
        return f"{HOST}:{self.port}"


class Store:
    """The platform's store."""

    def __init__(self, boxes, has_own_paths):
        self.has_own_paths = has_own_paths
        self.changed = threading.Condition()
        self.revision = 0
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 0
        self.is_down = False
        self.turned_away = set()
        self.runners = {}
        self.on_watch = None
        self.fronts = [Listener(lambda conn, at=at: self.serve(conn, at)) for at in range(boxes)]
        spawn(self.expire)

    def set(self, key, doc):
        with self.changed:
            self.write(key, json.dumps(doc), 0)
            self.changed.notify_all()
            return self.revision

    def write(self, key, value, lease):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            made = self.items[key]["made"] if key in self.items else self.revision
            self.items[key] = {"value": value, "revision": self.revision, "made": made, "lease": lease}
        self.history.append((self.revision, key, value, lease))

    def remove(self, key):
        with self.changed:
            self.write(key, None, 0)
            self.changed.notify_all()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
                for lease in ended:
                    self.end_lease(lease)
                if ended:
                    self.changed.notify_all()

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.write(key, None, 0)

    def set_down(self, is_down):
        with self.changed:
            self.is_down = is_down
            self.changed.notify_all()

    def serve(self, conn, at):
        reader = conn.makefile("rb")
        while True:
            req = read_request(reader)
            if req is None:
                return
            status, doc = self.answer(req, at)
            body = json.dumps(doc).encode()
            conn.sendall(encode(status, {"Content-Type": "application/json"}, body))

    def value(self, key, text, at):
        """The value of an entry as the box `at` reads it: with the addresses at which it reaches the runners."""
        if key.startswith("servers/"):
            for runner in self.runners.values():
                listener = runner.listeners[at if self.has_own_paths else 0]
                text = text.replace(f"@{runner.id}@", listener.addr)
        return base64.b64encode(text.encode()).decode()

    def item(self, key, at):
        item = self.items[key]
        return {
            "key": key, "value": self.value(key, item["value"], at), "revision": item["revision"],
            "made": item["made"], "lease": item["lease"],
        }

    def event(self, event, at):
        revision, key, value, lease = event
        if value is None:
            return {"key": key, "revision": revision, "gone": True}
        return {"key": key, "value": self.value(key, value, at), "revision": revision, "made": revision, "lease": lease}

    def answer(self, req, at):
        method, target, _ = req.start.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        with self.changed:
            if self.is_down or at in self.turned_away:
                return "503 Service Unavailable", {}
            if url.path == "/api/kv-watch":
                return self.watch(query, at)
            doc = json.loads(req.body) if req.body else {}
            return self.call(method, url.path, query, doc, at)

    def call(self, method, path, query, doc, at):
        if path == "/api/kv-key":
            key = query["key"]
            if key not in self.items:
                return "404 Not Found", {"at": self.revision}
            return "200 OK", {**self.item(key, at), "at": self.revision}
        if path == "/api/kv-range":
            prefix, after = query["path_prefix"], query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.item(key, at) for key in keys]
            return "200 OK", {"items": items, "more": False, "at": self.revision}
        if path == "/api/kv-txn":
            return self.txn(doc, at)
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl = max(doc["ttl_ms"], 1000) / 1000
            self.leases[self.next_lease] = (time.monotonic() + ttl, ttl)
            return "200 OK", {"lease": self.next_lease, "ttl_ms": int(ttl * 1000)}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return "404 Not Found", {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return "200 OK", {"ttl_ms": int(ttl * 1000)}
        if method == "DELETE" and path.startswith("/api/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease in self.leases:
                self.end_lease(lease)
                self.changed.notify_all()
            return "200 OK", {}
        return "404 Not Found", {}

    def txn(self, doc, at):
        expected = doc.get("expected_rev", [])
        have = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(have(row["key"]) != row["revision"] for row in expected):
            items = [self.item(row["key"], at) for row in expected if row["key"] in self.items]
            return "412 Precondition Failed", {"items": items}
        puts = doc.get("put", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return "404 Not Found", {}
        for put in puts:
            self.write(put["key"], base64.b64decode(put["value"]).decode(), put.get("lease", 0))
        for key in doc.get("remove", []):
            if key in self.items:
                self.write(key, None, 0)
        self.changed.notify_all()
        return "200 OK", {"revision": self.revision}

    def watch(self, query, at):
        prefix, after = query["path_prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self.is_down or at in self.turned_away:
                return "503 Service Unavailable", {}
            found = [event for event in self.history if event[0] > after and event[1].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                events = [self.event(event, at) for event in found]
                if found and self.on_watch:
                    self.on_watch(at, [event[1] for event in found])
                return "200 OK", {"events": events, "at": self.revision}
            self.changed.wait(left)


class Runner:
    """A runner: answers plain requests and streams, and records what reached it and from which box."""

    def __init__(self, record, store, id, service, zone, software="v1", slots=64, model=None):
        self.record, self.store, self.id = record, store, id
        self.service, self.zone, self.software, self.slots, self.model = service, zone, software, slots, model
        self.state, self.sequence = "ready", 0
        self.leaving = False
        self.work_s = 0.02
        self.events, self.event_gap_s = 1, 0.1
        self.kept = {}
        self.memory_uses = []
        self.lock = threading.Lock()
        self.arrivals = []
        self.listeners = [
            Listener(lambda conn, at=at: self.serve(conn, at))
            for at in range(len(store.fronts) if store.has_own_paths else 1)
        ]
        store.runners[id] = self

    def entry(self):
        self.sequence += 1
        doc = {
            "service": self.service, "address": f"@{self.id}@", "zone": self.zone, "version": self.software,
            "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence,
        }
        if self.model:
            doc["stage"] = "both"
            doc["models"] = [{"name": self.model, "version": 1, "adapters": []}]
        return doc

    def publish(self):
        self.store.set(f"servers/{self.id}", self.entry())

    def serve(self, conn, at):
        reader = conn.makefile("rb")
        while True:
            req = read_request(reader)
            if req is None:
                return
            method, path, _ = req.start.split(" ", 2)
            if path == "/health":
                conn.sendall(encode("200 OK", {"Instance-Id": self.id}))
            elif path == "/api/report":
                conn.sendall(encode("200 OK", {"Content-Type": "application/json"}, self.report()))
            elif path.startswith("/api/kv-"):
                conn.sendall(encode("404 Not Found", {}))
            elif path == "/api/order":
                conn.sendall(encode("400 Bad Request", {}))
            else:
                self.run(conn, req, at, path)

    def report(self):
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.model else []
        return json.dumps({
            "stage": "both", "models": models, "busy": False, "sequence": 0, "queued": 0, "active": 0,
            "kv_used": 0, "kv_total": 41564, "capabilities": 0,
        }).encode()

    def head(self, id):
        head = {"Request-Id": id, "Response-Signature": f"{self.id}.{id}"}
        if self.model:
            head["Versions"] = "1"
        if self.leaving:
            head["Server-Leaving"] = "1"
        return head

    def run(self, conn, req, at, path):
        id = req.header("request-id")
        expected = req.header("expect-instance")
        if expected and expected != self.id:
            conn.sendall(encode("421 Misdirected Request", {"Instance-Id": self.id, "Request-Id": id}))
            return
        reached = self.record.now()
        with self.lock:
            self.arrivals.append((reached, at, id))
        used = self.use_memory(req)
        self.record.note("runner runs", runner=self.id, software=self.software, box=at, id=id, path=path,
                         after=req.header("last-event-id") or "-", tenant=req.header("tenant"), **used)
        if path.startswith("/stream/"):
            self.stream(conn, req, id)
            return
        time.sleep(self.work_s)
        body = f"{self.id} ran {id}".encode()
        conn.sendall(encode("200 OK", self.head(id), body))
        self.record.note("runner answers", runner=self.id, id=id, leaving=self.leaving)

    def use_memory(self, req):
        """Takes what is kept of the prompt under the request's salt, and keeps the rest, as PROTOCOL.md tells."""
        parts = req.header("prefix-hash")
        if not parts or not self.model:
            return {}
        salt, tenant = req.header("cache-salt") or "", req.header("tenant")
        used = []
        with self.lock:
            is_prefix = True
            for part in parts.split(","):
                name = part.split(":")[0]
                maker = self.kept.get((salt, name))
                is_prefix = is_prefix and maker is not None
                if is_prefix:
                    used.append((name, maker))
                else:
                    self.kept[(salt, name)] = tenant
            self.memory_uses.append((self.record.now(), req.header("request-id"), salt, tenant, used))
        return {"salt": salt, "took": used}

    def stream(self, conn, req, id):
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in self.head(id).items()]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(req.header("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.software}\n\n".encode()
            conn.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            time.sleep(self.event_gap_s)
        conn.sendall(b"0\r\n\r\n")


class Box:
    """A real `sillpin-box`, started as `deploy/system.toml` says, with settings as `platform/box.ini` fills them."""

    def __init__(self, world, at, zone, memory_mb=110):
        self.world, self.at, self.zone = world, at, zone
        self.name = f"front-{zone}-{1 + world.zones[:at].count(zone)}"
        self.ip = world.ips[at]
        self.callers, self.ready, self.peers = (free_port(self.ip) for _ in range(3))
        self.memory_mb = memory_mb
        self.process = None

    def settings(self):
        world = self.world
        seeds = ",".join(f"{box.ip}:{box.peers}" for box in world.boxes)
        zones = ",".join(f"{zone}/r1" for zone in sorted(set(world.zones)))
        # `fleet` is the setting for boxes that reach one store at several addresses; 9464 may be in use on this machine.
        return f"""[box]
id = {self.name}
zone = {self.zone}
ip = {self.ip}

[listen]
callers = {self.ip}:{self.callers}
ready = {self.ip}:{self.ready}
peers = {self.ip}:{self.peers}
gossip-port = {world.gossip_port}
metrics-port = 0

[platform]
addr = {world.store.fronts[self.at].addr}
fleet = review
seeds = {seeds}
zones = {zones}
history-s = 20

[limits]
memory-mb = {self.memory_mb}
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
"""

    def start(self):
        path = os.path.join(self.world.folder, f"{self.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        program = os.path.join(ROOT, "target", "release", "sillpin-box")
        if not os.path.exists(program):
            raise CannotRun("target/release/sillpin-box is not built")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["SILLPIN_CONFIG"] = path
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([program], env=env, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        preexec_fn=end_with_parent)
        log.close()
        self.world.record.note("box started", box=self.at, zone=self.zone)

    def is_ready(self):
        try:
            return get_status(self.ip, self.ready, "/api/ready") == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)
        self.world.record.note("signal", box=self.at, signal=signal.Signals(number).name)

    def log(self):
        with open(os.path.join(self.world.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def end_with_parent():
    """Ends a box if the script that started it is killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def give_up(number, _frame):
    raise CannotRun(f"ended by {signal.Signals(number).name}")


def get_status(host, port, path):
    with socket.create_connection((host, port), timeout=1) as conn:
        conn.sendall(f"GET {path} HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".encode())
        head = read_head(conn.makefile("rb"))
        if head is None:
            raise OSError("no answer")
        return int(head.start.split(" ")[1])


class World:
    """A store, runners and boxes, one box for each entry of `zones`.

    With `has_own_paths` each box reaches the runners over listeners of its own. Boxes of one zone tell each other of
    entries, so it is for one box a zone.
    """

    def __init__(self, folder, zones=("za", "zb", "zc"), has_own_paths=True):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="sillpin-review-")
        self.zones = zones
        net = f"127.{random.randrange(16, 240)}.{random.randrange(256)}"
        self.ips = [f"{net}.{at + 11}" for at in range(len(zones))]
        self.gossip_port = free_gossip_port(self.ips)
        self.store = Store(len(zones), has_own_paths)
        self.runners = []
        self.boxes = []
        self.boxes = [Box(self, at, zone) for at, zone in enumerate(zones)]
        self.next_id = 0
        self.lock = threading.Lock()

    def add_runner(self, id, service, zone, **options):
        runner = Runner(self.record, self.store, id, service, zone, **options)
        self.runners.append(runner)
        return runner

    def start(self):
        for box in self.boxes:
            box.start()
        self.wait("boxes ready", lambda: all(box.is_ready() for box in self.boxes), 20)

    def wait(self, what, condition, limit_s):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not within {limit_s} s: {what}")
            if any(box.process.poll() is not None for box in self.boxes):
                raise CannotRun("a box ended")
            time.sleep(0.02)

    def id(self):
        with self.lock:
            self.next_id += 1
            return f"r{self.next_id:06d}"

    def connect(self, box, timeout=1.0):
        conn = socket.create_connection((box.ip, box.callers), timeout=timeout)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn

    def send(self, conn, path, id, key, deadline_ms, headers=None, body=b"hello"):
        lines = [f"POST {path} HTTP/1.1", "Host: h.example", f"Request-Id: {id}", f"Deadline-Ms: {deadline_ms}",
                 f"Authorization: Bearer {key}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def request(self, box, path, key="k1", deadline_ms=1500, headers=None):
        """Sends one request on a new connection; returns its id, when it was sent, and the answer's head with its body."""
        id, sent = self.id(), self.record.now()
        self.record.note("client sends", box=box.at, id=id, path=path)
        try:
            with self.connect(box) as conn:
                conn.settimeout(deadline_ms / 1000 + 1)
                self.send(conn, path, id, key, deadline_ms, headers)
                reader = conn.makefile("rb")
                head = read_head(reader)
                if head is None:
                    raise OSError("closed")
                if "chunked" in (head.header("transfer-encoding") or ""):
                    while True:
                        chunk = read_chunk(reader)
                        if chunk is None:
                            raise OSError("broken off")
                        if not chunk:
                            break
                        head.body += chunk
                else:
                    head.body = reader.read(int(head.header("content-length") or 0))
        except OSError as e:
            self.record.note("client gets no answer", box=box.at, id=id, why=e)
            return id, sent, None
        self.record.note("client gets", box=box.at, id=id, status=head.start.split(" ")[1],
                         signature=head.header("response-signature"), leaving=head.header("server-leaving"),
                         body=head.body[:120] if not head.header("response-signature") else "")
        return id, sent, head

    def end(self):
        for box in self.boxes:
            box.end()
        for listener in self.store.fronts + [each for runner in self.runners for each in runner.listeners]:
            try:
                listener.close()
            except OSError:
                pass
        if os.environ.get("KEEP"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def status(head):
    return int(head.start.split(" ")[1]) if head else 0


def play(folder, case, **options):
    """Plays a case: `case(world)` returns the ways in which the rule was broken. Exits with 0, 1 or 2."""
    world = None
    code = 2
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LIMIT_S)
    try:
        world = World(folder, **options)
        world.record.note("begins", trouble=TROUBLE)
        broken = case(world)
        for line in broken:
            world.record.note("BROKEN", how=line)
        world.record.note("ends", broken=len(broken))
        print("\n".join(broken) if broken else "the rule held")
        code = 1 if broken else 0
    except CannotRun as e:
        print(f"cannot run: {e}")
        if world:
            world.record.note("cannot run", why=e)
    except Exception as e:  # An error of the script is not a verdict.
        print(f"cannot run: {type(e).__name__}: {e}")
        if world:
            world.record.note("cannot run", why=f"{type(e).__name__}: {e}")
        if os.environ.get("KEEP"):
            raise
    finally:
        if world:
            world.end()
    sys.stdout.flush()
    os._exit(code)

"""A machine freezes just when a release registers the first runner of another software version.

Clients of the frozen machine give their streams up after the gap that PROTOCOL.md names and take them up at the other
machines, which are not disturbed.
"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from world import TROUBLE, play, read_chunk, read_head, status  # noqa: E402

KEY = "k1"
STREAMS = 16
EVENTS, EVENT_GAP_S = 60, 0.1
DEADLINE_MS = 12_000
GIVE_UP_S = 2.4  # the longest of two seconds, four times the objective (0.3 s) and eight times the pause (0.3 s)
FREEZE_S = 4.0
WARM_UP_S = 32  # longer than a stream of this route may be resumed


def config():
    return {
        "version": 3,
        "routes": [{
            "name": "reply", "host": "h.example", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 12000,
            "target_latency_ms": 300, "priority": 0, "service": "llm", "max_attempts": 2, "public": False,
            "sticky": True, "resumable": True, "gap_aim_ms": 300,
        }],
        "services": [{"name": "llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "acme", "api_keys": [KEY], "priority": 1}],
    }


class Stream:
    """A client's stream: what it got of it, and what became of the attempt to take it up again."""

    def __init__(self, world, box):
        self.world, self.box, self.id = world, box, world.id()
        self.last, self.software = 0, set()
        self.retaken = None

    def begin(self):
        self.conn = self.world.connect(self.box)
        self.conn.settimeout(GIVE_UP_S)
        self.world.send(self.conn, "/stream/a", self.id, KEY, DEADLINE_MS)
        self.world.record.note("client sends", box=self.box.at, id=self.id, path="/stream/a")
        self.reader = self.conn.makefile("rb")
        head = read_head(self.reader)
        return status(head) == 200

    def read(self, until=None):
        """Reads events until the stream ends, breaks, pauses for too long, or the client leaves; returns how."""
        try:
            while until is None or time.monotonic() < until:
                chunk = read_chunk(self.reader)
                if chunk is None:
                    return "broken off"
                if not chunk:
                    return "complete"
                for event in chunk.decode().split("\n\n"):
                    for line in event.split("\n"):
                        if line.startswith("id: "):
                            self.last = int(line[4:])
                        if line.startswith("data: "):
                            self.software.add(line[6:])
        except TimeoutError:
            return "pause too long"
        except OSError as e:
            return f"broken off ({e})"
        return "left by the client"

    def run(self, others, number, leave_at):
        if not self.begin():
            return
        how = self.read(leave_at)
        self.conn.close()
        self.world.record.note("client's stream ends", box=self.box.at, id=self.id, how=how, last=self.last)
        if how == "complete" or self.last == 0:
            return
        first = self.id
        self.box = others[number % len(others)]
        self.retaken = retaken = self.world.id()
        try:
            conn = self.world.connect(self.box)
            conn.settimeout(GIVE_UP_S)
            self.world.send(conn, "/stream/a", retaken, KEY, DEADLINE_MS - 3_000,
                            {"Last-Event-Id": self.last, "Resumes": first})
            self.world.record.note("client takes up", box=self.box.at, id=retaken, resumes=first, after=self.last)
            self.conn, self.reader = conn, conn.makefile("rb")
            head = read_head(self.reader)
            self.goes_on = False
            if status(head) == 200:
                before = self.last
                self.read()
                self.goes_on = self.last > before
            self.world.record.note("client gets", box=self.box.at, id=retaken, status=status(head), last=self.last,
                                   goes_on=self.goes_on)
            conn.close()
        except OSError as e:
            self.goes_on = False
            self.world.record.note("client gets no answer", box=self.box.at, id=retaken, why=e)


class NewStreams:
    """Clients that begin short streams at the machines that are not disturbed."""

    def __init__(self, world, boxes):
        self.world, self.boxes, self.begun, self.asked, self.ends = world, boxes, 0, 0, False

    def run(self):
        while not self.ends:
            for box in self.boxes:
                threading.Thread(target=self.one, args=(box,), daemon=True).start()
            time.sleep(0.25)

    def one(self, box):
        stream = Stream(self.world, box)
        self.asked += 1
        try:
            if stream.begin():
                stream.read(time.monotonic() + 0.3)
                self.begun += stream.last > 0
            stream.conn.close()
        except OSError:
            pass


def case(world):
    runners = [world.add_runner(f"i-{at}", "llm", zone) for at, zone in enumerate(("za", "zb", "zc", "za"))]
    for runner in runners:
        runner.events, runner.event_gap_s = EVENTS, EVENT_GAP_S
        runner.publish()
    world.store.set("op/config", config())
    world.start()
    frozen, others = world.boxes[0], world.boxes[1:]
    time.sleep(WARM_UP_S)
    streams = [Stream(world, frozen) for _ in range(STREAMS)]
    trouble_at = time.monotonic() + 1.0
    leave_at = None if TROUBLE else trouble_at + GIVE_UP_S
    threads = [
        threading.Thread(target=stream.run, args=(others, number, leave_at), daemon=True)
        for number, stream in enumerate(streams)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0.0, trouble_at - time.monotonic()))
    if TROUBLE:
        frozen.signal(signal.SIGSTOP)
    new = world.add_runner("i-new", "llm", "zb", software="v2")
    new.events, new.event_gap_s = EVENTS, EVENT_GAP_S
    new.publish()
    world.record.note("planned work", release="the first runner of version v2 is registered, the others stay")
    fresh = NewStreams(world, others)
    threading.Thread(target=fresh.run, daemon=True).start()
    time.sleep(FREEZE_S)
    fresh.ends = True
    if TROUBLE:
        frozen.signal(signal.SIGCONT)
    for thread in threads:
        thread.join(20)
    time.sleep(1.0)  # for the last new streams
    taken = [stream for stream in streams if stream.retaken]
    going = [stream for stream in taken if stream.goes_on]
    share_new = fresh.begun / max(fresh.asked, 1)
    share = len(going) / max(len(taken), 1)
    world.record.note("counted", taken_up=len(taken), go_on=len(going), new_asked=fresh.asked, new_begun=fresh.begun)
    mixed = [stream.id for stream in streams if len(stream.software) > 1]
    broken = []
    if len(taken) >= 12 and share < share_new / 2:
        broken.append(f"LOST: {len(going)} of {len(taken)} streams taken up at undisturbed machines go on, "
                      f"{fresh.begun} of {fresh.asked} new streams begin")
    if len(mixed) > 2:
        broken.append(f"ORDER: {len(mixed)} streams hold events of two versions")
    return broken


if __name__ == "__main__":
    play(sys.argv[1], case)

"""Streams of a split route, taken up again after the loss of their host."""
import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins_2 import (LOOPBACK, TROUBLE, Host, Runner, Store, now, play,
                        read_chunk, read_head, request, stamp)  # noqa: E402

SERVICES = {"draft-a": "v1", "draft-b": "v2", "draft-c": "v3", "draft-d": "v4"}
RUNNERS = 3        # of each service; the rule: two of the version serve
STREAMS = 40       # the rule: 12 or more are taken up again
EVENTS = 130
EVENT_S = 0.06
CONFIG = {
    "Version": 7,
    "Routes": [{
        "Name": "draft", "Host": "host.example", "PathPrefix": "/draft/",
        "Type": "streaming", "TimeoutMs": 25000, "SloMs": 4500,
        "Priority": 1, "MaxAttempts": 5, "Anonymous": False,
        "Affinity": True, "Resumable": True, "GapAimMs": 700,
        "Backends": [{"Service": name, "Weight": 10} for name in SERVICES]}],
    "Services": [{
        "Name": name, "HealthPath": "/healthz", "MaxConns": 360,
        "Protocol": "h1", "Tls": False,
        "Engine": {"BatchSize": 64, "KvCapacity": 88000, "Stride": 6}}
        for name in SERVICES],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "t", "ApiKeys": ["key1"], "Priority": 1}]}


async def work(runner, attempt, fields, reader, writer):
    """130 events, from the one after Last-Event-Id on."""
    head = [("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")] + stamp(runner, attempt)
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in head) + "\r\n").encode())
    first = int(fields.get("last-event-id", 0)) + 1
    await asyncio.sleep(0.3)
    for number in range(first, EVENTS + 1):
        event = (f"id: {number}\ndata: piece {number} of {runner.service} "
                 f"{runner.version}\n\n").encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Stream:
    """A client's stream: one attempt, and one more after a broken one."""

    def __init__(self, number, record):
        self.id = f"s{number}"
        self.part = f"{number:x}:8000"
        self.record = record
        self.last = 0
        self.events = []     # of all tries
        self.first_try = 0   # events of the first try
        self.begun = False   # the first try brought an event
        self.whole = False
        self.retried = False
        self.statuses = []

    async def read(self, port, attempt, more):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(LOOPBACK, port), 1)
        try:
            writer.write(request("POST", "/draft/x", [
                ("Attempt-Id", attempt), ("Deadline-Ms", "25000"),
                ("Authorization", "Bearer key1"), ("Model", "m"),
                ("Prefix-Hash", self.part), *more], b"p" * 2000))
            head = await read_head(reader)
            if head is None:
                return
            self.statuses.append(head[0].split(" ")[1])
            if head[1].get("transfer-encoding") != "chunked":
                return
            pending = b""
            while data := await read_chunk(reader):
                pending += data
                while b"\n\n" in pending:
                    event, _, pending = pending.partition(b"\n\n")
                    self.last = int(event.split(b"\n")[0][4:])
                    self.events.append(event.decode())
            self.whole = True
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run(self, port, other_port):
        await self.read(port, self.id, [])
        self.first_try = len(self.events)
        self.begun = self.first_try > 0
        if self.begun and not self.whole:
            self.retried = True
            await asyncio.sleep(0.2)
            await self.read(other_port, self.id + "r", [
                ("Last-Event-Id", str(self.last)), ("Resumes", self.id)])
        versions = sorted({e.split(" ")[-1] for e in self.events})
        self.record.write(
            f"stream {self.id}: statuses {self.statuses}, events of the first "
            f"try {self.first_try}, of both {len(self.events)}, versions "
            f"{versions}, retried {self.retried}, whole {self.whole}")


async def case(temporary, record, hosts):
    store = Store()
    await store.open()
    store.put("op/config", CONFIG)
    for service, version in SERVICES.items():
        for number in range(RUNNERS):
            await Runner(store, record, f"{service}-{number}", service, work,
                         zone="abc"[number], version=version).open()
    for name in ("edge-a-1", "edge-a-2"):
        host = Host(temporary, name, store.port)
        hosts.append(host)
        await host.start()
        if not await host.wait_ready():
            record.write(f"{name} is not ready")
            return 2
    await asyncio.sleep(3)
    streams = [Stream(number, record) for number in range(1, STREAMS + 1)]
    tasks = [asyncio.create_task(s.run(hosts[0].listen, hosts[1].listen))
             for s in streams]
    await asyncio.sleep(4)
    if TROUBLE:
        record.write("kill edge-a-1")
        hosts[0].signal(signal.SIGKILL)
    await asyncio.gather(*tasks)

    begun = [s for s in streams if s.begun]
    retried = [s for s in streams if s.retried]
    went_on = [s for s in retried if len(s.events) > s.first_try]
    share_new = len(begun) / len(streams)
    share = len(went_on) / len(retried) if retried else 1
    record.write(f"new streams: {len(streams)}, begun: {len(begun)}; taken up "
                 f"again: {len(retried)}, went on: {len(went_on)}; share "
                 f"{share:.2f} of those that go on, {share_new:.2f} of those "
                 f"that begin")
    if len(begun) < 12:
        return 2
    return 1 if len(retried) >= 12 and share < share_new / 2 else 0


play(FOLDER, case)

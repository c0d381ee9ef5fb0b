"""Stand-ins for the cases 6 to 10: the store, runners, clients, and hosts.

All of it is one asyncio process; only the hosts (target/agated/agated, as
deploy/system.toml starts it) are processes of their own.  Loopback only.
"""
import asyncio
import base64
import json
import os
import resource
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run: record.txt of the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.begun = now()

    def write(self, text):
        self.file.write(f"{now() - self.begun:9.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the fields of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunk(reader):
    """Returns the next chunk; empty at the last one."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            data = await read_chunk(reader)
            if not data:
                return b"".join(parts)
            parts.append(data)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def message(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items = {}     # key: value, revision, created, lease
        self.events = []    # revision, event
        self.revision = 100
        self.leases = {}    # id: ttl in s, end
        self.lease_count = 70000
        self.changed = asyncio.Event()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0,
                                                 limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    def set(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.note(self.item(key))

    def put(self, key, document):
        self.set(key, base64.b64encode(json.dumps(document).encode()).decode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"Key": key, "Revision": self.revision, "Removed": True})

    def note(self, event):
        self.events.append((self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"Key": key, "Value": value, "Revision": revision,
                "Created": created, "Lease": lease}

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i[3] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [i for i, (_, end) in self.leases.items()
                          if now() > end]:
                self.end_lease(lease)

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                path, _, query = target.partition("?")
                status, answer = await self.answer(method, path, query, body)
                writer.write(message(
                    status, [("Content-Type", "application/json")],
                    json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        from urllib.parse import parse_qsl
        args = dict(parse_qsl(query, keep_blank_values=True))
        call = json.loads(body) if body else {}
        if path == "/v1/kv-key":
            if args["Key"] not in self.items:
                return 404, {}
            return 200, {**self.item(args["Key"]),
                         "StoreRevision": self.revision}
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(args["PathPrefix"])
                          and k > args.get("After", ""))
            return 200, {"Items": [self.item(k) for k in keys[:500]],
                         "Truncated": len(keys) > 500,
                         "StoreRevision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(args)
        if path == "/v1/kv-txn":
            return self.change(call)
        if path == "/v1/kv-lease":
            self.lease_count += 1
            ttl = call["TtlMs"] / 1000
            self.leases[self.lease_count] = (ttl, now() + ttl)
            return 200, {"Lease": self.lease_count, "TtlMs": call["TtlMs"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"TtlMs": int(ttl * 1000)}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, args):
        end = now() + int(args["WaitMs"]) / 1000
        while True:
            events = [e for r, e in self.events if r > int(args["After"])
                      and e["Key"].startswith(args["PathPrefix"])]
            if events or now() >= end:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def change(self, call):
        expected = call.get("ExpectedRev", [])
        if any(self.items.get(e["Key"], (0, 0))[1] != e["Revision"]
               for e in expected):
            return 412, {"Items": [self.item(e["Key"]) if e["Key"] in
                                   self.items else
                                   {"Key": e["Key"], "Revision": 0}
                                   for e in expected]}
        for entry in call.get("SetKeys", []):
            lease = entry.get("Lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            self.set(entry["Key"], entry["Value"], lease)
        for key in call.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}


class Runner:
    """A runner: its entry, its beats, its report, and what it runs.

    `work` is called with (runner, id, fields, reader, writer) for each
    request that it runs, and answers it.
    """

    def __init__(self, store, record, name, service, work, slots=64,
                 zone="a", version="v1"):
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.work = work
        self.slots = slots
        self.zone = zone
        self.version = version
        self.state = "ready"
        self.sequence = 0
        self.running = {}
        self.born = int(time.time() * 1000)
        self.beat = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0,
                                                 limit=1 << 22, backlog=1000)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.create_task(self.beats())

    def entry(self):
        return {"Service": self.service, "Address": f"{LOOPBACK}:{self.port}",
                "Zone": self.zone, "Version": self.version,
                "BatchSize": self.slots, "State": self.state,
                "WarmupLeftMs": 0, "Sequence": self.sequence,
                "born": self.born}

    async def beats(self):
        while True:
            self.sequence += 1
            self.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(1.2)

    def report(self):
        return {"Stage": "both", "Busy": False, "State": self.state,
                "Sequence": self.sequence, "Queued": 0,
                "Active": len(self.running), "KvUsed": 0, "KvTotal": 88000,
                "Handles": 0, "born": self.born,
                "Runs": [[i, 0, 0, 5] for i in self.running]}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.handle(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, head, reader, writer):
        line, fields = head
        path = line.split(" ")[1]
        attempt = fields.get("attempt-id")
        if path == "/v1/report":
            writer.write(message(200, [("Content-Type", "application/json")],
                                 json.dumps(self.report()).encode()))
        elif path == "/healthz":
            writer.write(message(200 if self.state == "ready" else 503,
                                 [("Instance-Id", self.id)]))
        elif path.startswith("/v1/"):
            await read_body(reader, fields)
            writer.write(message(503))
        elif fields.get("expect-instance", self.id) != self.id:
            writer.write(message(421, [("Instance-Id", self.id),
                                       ("Not-Executed", "1"),
                                       ("Attempt-Id", attempt)]))
            return False
        elif len(self.running) >= self.slots:
            writer.write(message(503, [("Not-Executed", "1"),
                                       ("Attempt-Id", attempt)]))
            return False
        else:
            return await self.run(attempt, line, fields, reader, writer)
        await writer.drain()
        return True

    async def run(self, attempt, line, fields, reader, writer):
        self.running[attempt] = now()
        self.record.write(f"run {attempt} at {self.id}: {line}")
        try:
            await read_body(reader, fields)
            return await self.work(self, attempt, fields, reader, writer)
        finally:
            self.running.pop(attempt, None)


def stamp(runner, attempt):
    return [("Attempt-Id", attempt), ("Server-Stamp", f"{runner.id}.{attempt}")]


class Host:
    """An agated process, with the settings of a small deployment."""

    def __init__(self, folder, name, store_port, memory_mb=260, zone="a",
                 descriptors=4100):
        self.folder = Path(folder)
        self.name = name
        self.memory_mb = memory_mb
        self.ports = free_ports(5)
        self.listen, self.ready, self.lookup, self.admin, self.peers = \
            self.ports
        self.settings = self.folder / f"{name}.toml"
        self.settings.write_text(f"""host = "{name}"
zone = "{zone}"

[listen]
address = "{LOOPBACK}:{self.listen}"

[platform]
kind = "platform"
addresses = ["{LOOPBACK}:{store_port}"]
timeout_ms = 400

[gateway]
readiness = "{LOOPBACK}:{self.ready}"
lookup = "{LOOPBACK}:{self.lookup}"
metrics = "{LOOPBACK}:{self.admin}"
peers = "{LOOPBACK}:{self.peers}"
revoke_ms = 5000
apply_ms = 2000
leave_ms = 2000
grace_s = 8
retry_ratio = 0.8
retry_fixed = 150
retry_window_s = 10
memory_mb = {memory_mb}
descriptors_max = {descriptors}
""")
        self.process = None

    async def start(self):
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/agated/agated"), "-f", str(self.settings),
            stdout=log, stderr=log, cwd=ROOT)

    def signal(self, number):
        self.process.send_signal(number)

    def ended(self):
        return self.process.returncode is not None

    def memory_kb(self, field="VmRSS"):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(field + ":"):
                return int(line.split()[1])
        return 0

    async def wait_ready(self, limit=20):
        end = now() + limit
        while now() < end:
            answer = await ask(self.ready, "GET", "/v1/readyz", limit=1)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def free_ports(count):
    import socket
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((LOOPBACK, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Answer:
    def __init__(self):
        self.status = 0      # 0: none
        self.fields = {}
        self.body = b""
        self.complete = False
        self.cause = ""

    def __str__(self):
        return (f"status {self.status} complete {self.complete} "
                f"body {self.body[:60]!r} {self.cause}")


def request(method, path, fields=(), body=b"", host="host.example"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def ask(port, method, path, fields=(), body=b"", limit=10):
    """One request on a connection of its own."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(LOOPBACK, port, limit=1 << 22), 1)
        writer.write(request(method, path, fields, body))
        await asyncio.wait_for(read_answer(reader, answer), limit)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError) as error:
        answer.cause = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        answer.cause = "closed"
        return
    answer.status = int(head[0].split(" ")[1])
    answer.fields = head[1]
    if head[1].get("transfer-encoding", "").lower() == "chunked":
        while True:
            data = await read_chunk(reader)
            if not data:
                break
            answer.body += data
    else:
        answer.body = await reader.readexactly(
            int(head[1].get("content-length", 0)))
    answer.complete = True


def play(folder, case):
    """Runs case(temporary folder, record) and exits with what it returns."""
    folder = Path(folder)
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    temporary = tempfile.mkdtemp(prefix="agatevale-")
    record.write(f"trouble {int(TROUBLE)}")
    now_open, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if now_open < 4096 <= most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (4096, most))
    hosts = []
    try:
        if not (ROOT / "target/agated/agated").exists():
            record.write("target/agated/agated is missing: build it first")
            code = 2
        else:
            code = asyncio.run(guarded(case, temporary, record, hosts))
    except Exception as error:  # the case could not run
        record.write(f"could not run: {error!r}")
        code = 2
    finally:
        for host in hosts:
            try:
                host.process.kill()
            except (ProcessLookupError, AttributeError):
                pass
        if os.environ.get("KEEP"):
            print("kept", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.write(f"exit {code}")
    sys.exit(code)


async def guarded(case, temporary, record, hosts):
    try:
        return await asyncio.wait_for(case(temporary, record, hosts), 115)
    except asyncio.TimeoutError:
        record.write("could not run: took too long")
        return 2
    finally:
        for host in hosts:
            await host.stop()

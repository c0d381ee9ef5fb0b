"""Stand-ins for what is around the gateway: store, runners, operator, clients.

They speak what PROTOCOL.md and the news pages say, on loopback addresses and
free ports.  One script runs them all in one event loop; the gateways are
separate processes, started with the command of deploy/system.toml and settings
rendered from its template.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

ADDRESS = "127.0.0.1"
ZONES = ["ain-sebaa", "sidi-maarouf", "bouskoura"]
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "RevertMs": 250, "PartitionMs": 5000,
    "StrictRevoke": True, "RevokeMs": 5000, "RetryRatio": 0.8,
    "RetryWindowS": 10, "BudgetSlack": 150, "RecoverS": 12, "PassMs": 120,
    "AgainS": 10, "ttl_max_s": 5,
}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt: what was sent, answered and run, with seconds since start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def seconds(self, at=None):
        return (time.monotonic() if at is None else at) - self.start

    def write(self, text, show=False):
        line = f"{self.seconds():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if show:
            print(line, flush=True)

    def close(self, verdict):
        self.write(f"verdict: {verdict}", show=True)
        self.file.close()


# --- HTTP ---

class Gone(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError, OSError) as error:
        raise Gone(str(error)) from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0],
                           16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return body
        return await reader.readexactly(int(headers.get("content-length",
                                                        0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Gone(str(error)) from error


def head_bytes(status, headers):
    words = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed",
             421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {words.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_bytes(status, headers, body):
    return head_bytes(status, headers + [("Content-Length",
                                          str(len(body)))]) + body


class Server:
    """Accepts connections and keeps them, so that they can be reset."""

    opened = []

    def __init__(self):
        self.port = 0
        self.listener = None
        self.writers = set()
        Server.opened.append(self)

    async def open(self, port=0):
        self.listener = await asyncio.start_server(
            self.serve, ADDRESS, port, limit=1 << 20, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]

    def address(self):
        return f"{ADDRESS}:{self.port}"

    def close(self, reset=True):
        self.listener.close()
        for writer in list(self.writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                if not await self.handle(method, target, headers, body,
                                         writer):
                    break
        except (Gone, ConnectionError, OSError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


# --- the platform's store ---

class Store(Server):
    HISTORY_S = 20
    DELAY_S = 0.004

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.era = 1
        self.revision = 500
        self.forgotten = 500  # history up to here is gone
        self.items = {}       # key: {Value, Revision, Created, Lease}
        self.events = []      # (time, event)
        self.leases = {}      # id: [ttl_ms, ends]
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.calls = 0

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """As the operator, a runner or the system writes; returns revision."""
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "Key": key, "Value": value, "Revision": self.revision,
            "Created": old["Created"] if old else self.revision,
            "Lease": lease}
        self.events.append((time.monotonic(), dict(self.items[key])))
        self.notify()
        return self.revision

    def put_text(self, key, text):
        return self.put(key, base64.b64encode(text.encode()).decode())

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append((time.monotonic(), {
                "Key": key, "Revision": self.revision, "Removed": True}))
            self.notify()

    def expire(self):
        now = time.monotonic()
        for lease in [i for i, (_, ends) in self.leases.items()
                      if ends < now]:
            self.end_lease(lease)
        while self.events and self.events[0][0] < now - self.HISTORY_S:
            self.forgotten = self.events[0][1]["Revision"]
            self.events.pop(0)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["Lease"] == lease]:
            self.remove(key)

    def copy(self):
        return {"revision": self.revision,
                "items": {k: dict(v) for k, v in self.items.items()},
                "leases": {k: v[0] for k, v in self.leases.items()},
                "next_lease": self.next_lease}

    async def come_back_from(self, copy):
        """The drill: what was written since the copy is lost."""
        now = time.monotonic()
        self.revision = copy["revision"]
        self.items = {k: dict(v) for k, v in copy["items"].items()}
        self.leases = {k: [ttl, now + ttl / 1000]
                       for k, ttl in copy["leases"].items()}
        self.events = [e for e in self.events
                       if e[1]["Revision"] <= self.revision]
        self.era += 1
        await self.open(self.port)

    def reply(self, writer, status, body):
        writer.write(answer_bytes(
            status, [("Content-Type", "application/json"),
                     ("Store-Era", str(self.era))],
            json.dumps(body).encode()))
        return True

    async def handle(self, method, target, headers, body, writer):
        self.calls += 1
        await asyncio.sleep(self.DELAY_S)
        self.expire()
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query,
                                              keep_blank_values=True).items()}
        if url.path == "/v1/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return self.reply(writer, 404, {})
            return self.reply(writer, 200,
                              {**item, "StoreRevision": self.revision})
        if url.path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query.get("PathPrefix", ""))
                          and k > query.get("After", ""))
            return self.reply(writer, 200, {
                "Items": [self.items[k] for k in keys[:500]],
                "Truncated": len(keys) > 500,
                "StoreRevision": self.revision})
        if url.path == "/v1/kv-watch":
            return await self.watch(query, writer)
        if url.path == "/v1/kv-txn":
            return self.txn(json.loads(body), writer)
        if url.path == "/v1/kv-lease":
            ttl = max(1000, min(600000, int(json.loads(body)["TtlMs"])))
            self.next_lease += 1
            self.leases[self.next_lease] = [ttl,
                                            time.monotonic() + ttl / 1000]
            return self.reply(writer, 200, {"Lease": self.next_lease,
                                            "TtlMs": ttl})
        lease = int(unquote(url.path.rsplit("/", 1)[1]))
        if lease not in self.leases:
            return self.reply(writer, 404, {})
        if url.path.startswith("/v1/kv-keep/"):
            self.leases[lease][1] = (time.monotonic()
                                     + self.leases[lease][0] / 1000)
            return self.reply(writer, 200, {"TtlMs": self.leases[lease][0]})
        self.end_lease(lease)
        return self.reply(writer, 200, {})

    async def watch(self, query, writer):
        prefix, after = query.get("PathPrefix", ""), int(query["After"])
        ends = time.monotonic() + min(30000, int(query["WaitMs"])) / 1000
        while True:
            self.expire()
            if after > self.revision or after < self.forgotten:
                self.record.write(f"store: watch after {after} gets 410, "
                                  f"revision {self.revision}")
                return self.reply(writer, 410, {})
            found = [e for _, e in self.events if e["Revision"] > after
                     and e["Key"].startswith(prefix)]
            wait = ends - time.monotonic()
            if found or wait <= 0:
                return self.reply(writer, 200, {
                    "events": found, "StoreRevision": self.revision})
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(wait, 0.25))
            except asyncio.TimeoutError:
                pass

    def txn(self, call, writer):
        expected = call.get("ExpectedRev", [])
        for row in expected:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                return self.reply(writer, 412, {"Items": [
                    self.items.get(r["Key"], {"Key": r["Key"],
                                              "Revision": 0})
                    for r in expected]})
        for entry in call.get("SetKeys", []):
            if entry.get("Lease", 0) not in (0, *self.leases):
                return self.reply(writer, 404, {})
        for entry in call.get("SetKeys", []):
            self.put(entry["Key"], entry["Value"], entry.get("Lease", 0))
        for key in call.get("Remove", []):
            self.remove(key)
        return self.reply(writer, 200, {"Revision": self.revision})


# --- the operator ---

class Operator:
    """Writes op/config; a write is acknowledged when it returns."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.config = {
            "Version": 7, "Routes": [], "Services": [],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": []}

    def add_service(self, name, engine=False):
        service = {"Name": name, "HealthPath": "/healthz",
                   "MaxConns": 360 if engine else 96, "Protocol": "h1",
                   "Tls": False}
        if engine:
            service["Engine"] = {
                "BatchSize": 64, "KvCapacity": 88000, "KvTokenBytes": 35136,
                "BandwidthMbps": 180000.0, "Moves": True, "Backups": True,
                "Stride": 6, "most": 12, "PinMs": 4000.0, "HoldMs": 2000.0,
                "HandleS": 4.0, "Models": [{"Name": "m"}]}
        self.config["Services"].append(service)

    def add_route(self, prefix, kind, service, timeout_ms, attempts, **more):
        self.config["Routes"].append({
            "Name": "r-" + prefix.strip("/"), "Host": "desk.example",
            "PathPrefix": prefix, "Type": kind, "TimeoutMs": timeout_ms,
            "SloMs": 150, "Priority": 1, "Service": service,
            "MaxAttempts": attempts, "Anonymous": False, **more})

    def write(self, what, again=False):
        if not again:
            self.config["Version"] += 1
        revision = self.store.put_text("op/config", json.dumps(self.config))
        self.record.write(f"operator: {what}: version "
                          f"{self.config['Version']} acknowledged at "
                          f"revision {revision}", show=True)
        return time.monotonic()


# --- runners ---

class Runner(Server):
    """Answers requests with a signed body; registers itself in the store."""

    def __init__(self, store, record, name, service, zone, slots=6,
                 work_s=0.03):
        super().__init__()
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.active = {}
        self.runs = []  # (time, attempt id, tenant, path)
        self.beating = None

    async def start(self):
        await self.open()
        self.register()
        self.beating = asyncio.create_task(self.beat())

    def register(self):
        self.sequence += 1
        self.store.put_text("servers/" + self.id, json.dumps({
            "Service": self.service, "Address": self.address(),
            "Zone": self.zone, "Version": "v1", "BatchSize": self.slots,
            "State": "ready", "WarmupLeftMs": 0, "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Sequence": self.sequence, "born": self.born}))

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.store.listener.is_serving():
                self.register()

    def report(self):
        return {"Stage": "both", "Models": [{"Name": "m", "Version": 1,
                                             "Adapters": []}],
                "Busy": False, "Sequence": 0, "Queued": 0,
                "Active": len(self.active), "KvUsed": 0, "KvTotal": 88000,
                "Handles": 0, "born": self.born, "Runs": [[i, 8000, 0, 5] for i in self.active]}

    async def handle(self, method, target, headers, body, writer):
        if target == "/v1/report":
            writer.write(answer_bytes(
                200, [("Content-Type", "application/json")],
                json.dumps(self.report()).encode()))
            return True
        if target == "/healthz":
            writer.write(answer_bytes(200, [("Instance-Id", self.id)], b""))
            return True
        attempt = headers.get("attempt-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, [("Not-Executed", "1"),
                                            ("Instance-Id", self.id)], b""))
            return True
        if len(self.active) >= self.slots:
            writer.write(answer_bytes(503, [("Not-Executed", "1")], b""))
            return True
        self.active[attempt] = time.monotonic()
        self.runs.append((time.monotonic(), attempt,
                          headers.get("tenant", ""), target))
        self.record.write(f"runner {self.id}: runs {attempt} {target} tenant="
                          f"{headers.get('tenant', '-')}")
        try:
            return await self.run(attempt, target, body, writer)
        finally:
            self.active.pop(attempt, None)

    def signature(self, attempt):
        return [("Attempt-Id", attempt),
                ("Server-Stamp", f"{self.id}.{attempt}.c9f2a4d1")]

    async def run(self, attempt, target, body, writer):
        await asyncio.sleep(self.work_s)
        writer.write(answer_bytes(200, self.signature(attempt),
                                  f"{attempt} by {self.id}\n".encode()))
        await writer.drain()
        return True


# --- the gateways ---

def render(template, fields):
    """The placeholders and sections of DEPLOY.md that the template uses."""

    def value(path, scope):
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def section(match):
        found = value(match[1], fields)
        return match[2] if found is not None and found is not False else ""

    def place(match):
        path, _, form = match[1].partition("|")
        found = value(path, fields)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", place, text)


def free_ports(count):
    """Below the range from which the system draws ports for connections, so
    that none takes one of them before the gateway listens on it."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as each:
            try:
                each.bind((ADDRESS, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Gateway:
    """One process of the deploy file's only role."""

    def __init__(self, root, folder, store, record, name, zone,
                 memory_mb=260):
        deploy = tomllib.loads(open(os.path.join(
            root, "deploy/system.toml")).read())
        role = deploy["roles"]["gateway"]
        self.record, self.root, self.name, self.zone = (record, root, name,
                                                        zone)
        self.http, ready, admin, registry, peers = free_ports(5)
        self.ready = ready
        self.memory_mb = memory_mb
        fields = {
            "NodeName": name, "Role": "gateway", "MachineClass": "edge",
            "Serves": role["serves"], "Ip": ADDRESS, "Zone": zone,
            "Region": "casablanca", "Zones": {z: "casablanca" for z in ZONES},
            "Listen": {"Http": f"{ADDRESS}:{self.http}",
                       "Readiness": f"{ADDRESS}:{ready}",
                       "Admin": f"{ADDRESS}:{admin}",
                       "Registry": f"{ADDRESS}:{registry}"},
            "PortRange": [peers, peers], "Seeds": [], "Bootstrap": True,
            "Limits": {"CpuQuota": 0.25, "Cpus": 1, "MemoryMb": memory_mb,
                       "MaxFds": 4100, "BandwidthMbps": 1000.0, "DiskMb": 0},
            "HeartbeatMs": 1200, "Bounds": BOUNDS,
            "Platform": {"Address": store.address(), "form": "kv",
                         "WritesPerS": 400, "ReadsPerS": 2000,
                         "HistoryS": 20, "ValueBytes": 1048576,
                         "TtlMinMs": 1000}}
        self.settings = os.path.join(folder, name + ".toml")
        with open(os.path.join(root, role["template"])) as template:
            text = render(template.read(), fields)
        with open(self.settings, "w") as out:
            out.write(text)
        words = role["run"].split()
        words[words.index("-f") + 1] = self.settings
        words[0] = os.path.join(root, words[0])
        self.command = words
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None
        self.ended = False  # it ended by itself, or was killed by the platform

    def start(self):
        if not os.access(self.command[0], os.X_OK):
            raise FileNotFoundError(self.command[0])
        self.process = subprocess.Popen(
            self.command, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL, cwd=self.root)
        self.record.write(f"gateway {self.name}: started, process "
                          f"{self.process.pid}")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb_used(self):
        """Without the pages of its program and libraries."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                found = re.search(r"RssAnon:\s+(\d+) kB", status.read())
        except OSError:
            return 0.0
        return int(found[1]) / 1024 if found else 0.0

    def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(ADDRESS,
                                                           self.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in line
        except (OSError, Gone, asyncio.TimeoutError):
            return False


async def wait_ready(gateways, seconds=20):
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        if all([await gateway.is_ready() for gateway in gateways]):
            return True
        await asyncio.sleep(0.1)
    return False


# --- clients ---

class Answer:
    def __init__(self, attempt, sent):
        self.attempt, self.sent = attempt, sent
        self.status = 0  # 0: no answer
        self.headers = {}
        self.body = b""
        self.complete = False
        self.closed = False  # the gateway ended the connection before that
        self.kept = False  # it was sent on a kept connection


class Client:
    """Keeps one connection to a gateway, and sends one request at a time."""

    count = 0

    def __init__(self, gateway, record):
        self.gateway, self.record = gateway, record
        self.connection = None

    def close(self):
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None

    async def ask(self, path, key, deadline_ms, method="GET", body=b"",
                  more=(), quiet=False):
        Client.count += 1
        attempt = f"{os.getpid():08x}{Client.count:08x}"
        answer = Answer(attempt, time.monotonic())
        headers = [("Host", "desk.example"), ("Attempt-Id", attempt),
                   ("Deadline-Ms", str(deadline_ms)),
                   ("Authorization", "Bearer " + key), *more]
        if method == "POST":
            headers.append(("Content-Length", str(len(body))))
        head = "\r\n".join([f"{method} {path} HTTP/1.1"]
                           + [f"{n}: {v}" for n, v in headers])
        answer.kept = self.connection is not None
        if not quiet:
            self.record.write(f"client: sends {attempt} {method} {path} key="
                              f"{key} to {self.gateway.name}")
        try:
            await asyncio.wait_for(
                self.exchange(answer, head.encode() + b"\r\n\r\n" + body),
                deadline_ms / 1000 + 1)
        except (OSError, Gone, ConnectionError, asyncio.TimeoutError,
                ValueError) as error:
            self.close()
            answer.closed = not isinstance(error, asyncio.TimeoutError)
            if not quiet:
                self.record.write(f"client: {attempt} ends without a complete "
                                  f"answer: {type(error).__name__}")
            return answer
        if not quiet:
            self.record.write(f"client: {attempt} gets {answer.status}, "
                              f"{len(answer.body)} bytes")
        return answer

    async def exchange(self, answer, request):
        if self.connection is None:
            self.connection = await asyncio.open_connection(
                ADDRESS, self.gateway.http, limit=1 << 20)
        reader, writer = self.connection
        writer.write(request)
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split()[1])
        answer.body = await read_body(reader, answer.headers)
        answer.complete = True
        if answer.headers.get("connection", "").lower() == "close":
            self.close()


# --- a script ---

async def play_and_close(played, seconds):
    try:
        return await asyncio.wait_for(played, seconds)
    finally:
        for server in Server.opened:
            if server.listener is not None:
                server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        await asyncio.sleep(0.2)


def run_case(folder, play, seconds=110):
    """Calls play(root, temporary folder, record, gateways); exits as it says.

    play returns True if the rule held, False if it was broken, and None if
    the case could not run.  It adds each gateway that it starts to the list.
    """
    record = Record(folder)
    # Connections that are still open when the event loop ends.
    sys.unraisablehook = lambda _: None
    root = os.path.dirname(os.path.dirname(os.path.abspath(folder)))
    temporary = tempfile.mkdtemp(prefix="review-")
    gateways = []
    held = None
    try:
        record.write(f"TROUBLE={1 if trouble() else 0}", show=True)
        held = asyncio.run(play_and_close(
            play(root, temporary, record, gateways), seconds))
    except (OSError, asyncio.TimeoutError) as error:
        record.write(f"could not run: {type(error).__name__} {error}",
                     show=True)
    finally:
        for gateway in gateways:
            gateway.kill()
            gateway.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record.close({True: "held", False: "broken", None: "could not run"}[held])
    sys.exit({True: 0, False: 1, None: 2}[held])

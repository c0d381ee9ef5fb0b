"""A runner in trouble sends bodies without end; gateways run out of memory."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (ZONES, Client, Gateway, Operator, Runner, Store,
                      head_bytes, run_case, trouble, wait_ready)

KEY = "xd9dnn2ctnfzs989anu6"
MEMORY_MB = 260
ENGINES = 9                 # one of them is in trouble
STREAMS_PER_S = 2.34        # for each gateway: 14.03 in all, for six
PLAIN_PER_S = 5.0
SECONDS = 75.0
EVENTS, EVENT_S, FIRST_S = 130, 0.05, 1.1
# Short lines of the section that ends a body in chunks, at 31 MB a second at
# most: the links of this site carry 1,000 Mbit/s.
JUNK = b"X-Junk: 12345\r\n" * 2048
JUNK_S = 0.001


class Engine(Runner):
    """Streams events; in trouble, bytes that are no answer, without end."""

    in_trouble = False

    async def run(self, attempt, target, body, writer):
        if self.in_trouble:
            writer.write(head_bytes(200, self.signature(attempt) + [
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked")]) + b"0\r\n")
            while True:
                writer.write(JUNK)
                await writer.drain()
                await asyncio.sleep(JUNK_S)
        await asyncio.sleep(FIRST_S)
        writer.write(head_bytes(200, self.signature(attempt) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        for event in range(EVENTS):
            text = f"id: {event}\ndata: {attempt} {event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True


class Callers:
    """Requests to one gateway at a steady rate, on kept connections."""

    def __init__(self, gateway, record, results):
        self.gateway, self.record, self.results = gateway, record, results
        self.idle, self.tasks = [], set()

    async def one(self, stream, number):
        client = self.idle.pop() if self.idle else Client(self.gateway,
                                                          self.record)
        if stream:
            answer = await client.ask(
                "/review/2f", KEY, 25000, "POST", b"x" * 8000,
                [("Model", "m"), ("Token-Usage", "8200,800"),
                 ("Prefix-Hash", f"5c1e07a2:200,{number:x}:8000")])
        else:
            answer = await client.ask("/brief/2f", KEY, 1200, "POST",
                                      b"x" * 600)
        self.results.append((self.gateway, stream, answer))
        if client.connection is not None:
            self.idle.append(client)

    async def send(self, stream, per_s, ends):
        while time.monotonic() < ends:
            if self.gateway.running():
                Client.count += 1
                task = asyncio.create_task(self.one(stream, Client.count))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / per_s)


async def platform(gateways, record, kills, ends):
    """Kills a process that exceeds MemoryMb, and starts it again."""
    highest = {gateway.name: 0.0 for gateway in gateways}
    while time.monotonic() < ends:
        for gateway in gateways:
            used = gateway.memory_mb_used()
            highest[gateway.name] = max(highest[gateway.name], used)
            if gateway.running() and used > gateway.memory_mb:
                gateway.kill()
                kills.append(gateway.name)
                record.write(f"platform: {gateway.name} uses {used:.0f} MB of "
                             f"{gateway.memory_mb}: it is killed", show=True)
                asyncio.get_running_loop().call_later(1.0, gateway.start)
        await asyncio.sleep(0.05)
    record.write(f"platform: highest use in MB: {highest}", show=True)


async def play(root, temporary, record, gateways):
    store = Store(record)
    await store.open()
    operator = Operator(store, record)
    operator.add_service("desk")
    operator.add_service("models", engine=True)
    for service in operator.config["Services"][1:]:
        service["Engine"].update(Moves=False, Backups=False)
    operator.add_route("/brief/", "unsafe", "desk", 1200, 1)
    operator.add_route("/review/", "streaming", "models", 25000, 5,
                       Affinity=True, Resumable=True, GapAimMs=700)
    operator.config["Tenants"].append({"Name": "huka270", "ApiKeys": [KEY],
                                       "Priority": 1})
    operator.write("the first configuration")
    runners = [Runner(store, record, f"i-02d9e6b{n}", "desk", zone)
               for n, zone in enumerate(ZONES)]
    engines = [Engine(store, record, f"i-7f3a91c{n}", "models",
                      ZONES[n % len(ZONES)], slots=64)
               for n in range(ENGINES)]
    for runner in runners + engines:
        await runner.start()
    for zone in ZONES:
        gateways.append(Gateway(root, temporary, store, record,
                                f"edge-{zone}-1", zone, MEMORY_MB))
        gateways[-1].start()
    if not await wait_ready(gateways):
        record.write("the gateways are not ready", show=True)
        return None

    results, kills = [], []
    ends = time.monotonic() + SECONDS
    callers = [Callers(gateway, record, results) for gateway in gateways]
    tasks = [asyncio.create_task(platform(gateways, record, kills, ends))]
    tasks += [asyncio.create_task(each.send(stream, per_s, ends))
              for each in callers
              for stream, per_s in ((True, STREAMS_PER_S),
                                    (False, PLAIN_PER_S))]
    await asyncio.sleep(8)
    engines[0].in_trouble = trouble()
    if trouble():
        record.write(f"runner {engines[0].id} answers with bytes without end",
                     show=True)
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)

    sound = {run[1] for runner in runners + engines[1:]
             for run in runner.runs}
    lost = [a for _, _, a in results
            if a.kept and a.closed and a.status == 0 and a.attempt in sound]
    served = [a for _, _, a in results if a.status == 200 and a.complete]
    record.write(f"requests: {len(results)}, served: {len(served)}, processes "
                 f"killed: {len(kills)} {sorted(kills)}", show=True)
    record.write("requests from kept connections that had reached a sound "
                 "runner and whose connection was closed without an answer: "
                 f"{len(lost)} (more than three break the rule)", show=True)
    for answer in lost:
        record.write(f"lost: {answer.attempt}")
    if not served:
        return None
    return len(lost) <= 3


run_case(FOLDER, play)

"""The operator takes the last tenant away; its key goes on working."""
import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standins_2 import (TROUBLE, Host, Runner, Store, ask, message, play,
                        stamp)  # noqa: E402

REVOKE_S = 5        # RevokeMs
CONFIG = {
    "Version": 7,
    "Routes": [{
        "Name": "order", "Host": "host.example", "PathPrefix": "/order/",
        "Type": "unsafe", "TimeoutMs": 2500, "SloMs": 150, "Priority": 1,
        "Service": "desk", "MaxAttempts": 2, "Anonymous": False}],
    "Services": [{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 96,
                  "Protocol": "h1", "Tls": False}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "north", "ApiKeys": ["northkey"], "Priority": 1},
                {"Name": "south", "ApiKeys": ["southkey"], "Priority": 1}]}


async def case(temporary, record, hosts):
    ran = []

    async def work(runner, attempt, fields, reader, writer):
        ran.append(attempt)
        await asyncio.sleep(0.03)
        writer.write(message(200, stamp(runner, attempt), b"x" * 800))
        await writer.drain()
        return True

    store = Store()
    await store.open()
    store.put("op/config", CONFIG)
    for number in range(3):
        await Runner(store, record, f"desk-{number}", "desk", work, 6).open()
    for name in ("edge-a-1", "edge-a-2"):
        host = Host(temporary, name, store.port)
        hosts.append(host)
        await host.start()
        if not await host.wait_ready():
            record.write(f"{name} is not ready")
            return 2
    await asyncio.sleep(1)

    async def send(phase, key, count=5):
        """Returns how many of the requests ran."""
        before = len(ran)
        for number in range(count):
            attempt = f"{phase}-{key}-{number}"
            answer = await ask(hosts[number % 2].listen, "POST", "/order/x", [
                ("Attempt-Id", attempt), ("Deadline-Ms", "2500"),
                ("Authorization", f"Bearer {key}")], b"{}")
            record.write(f"{attempt}: {answer}")
        return len(ran) - before

    if await send("begin", "southkey") != 5:
        return 2
    unknown = await send("begin", "neverkey")
    gone = 0
    if TROUBLE:
        for version, tenants in ((9, CONFIG["Tenants"][1:]), (12, [])):
            store.put("op/config", {**CONFIG, "Version": version,
                                    "Tenants": tenants})
            record.write(f"version {version} is acknowledged, "
                         f"tenants {tenants}")
            await asyncio.sleep(REVOKE_S + 1)
            gone += await send(f"version {version}", "northkey")
            if version == 12:
                gone += await send("version 12", "southkey")
                unknown += await send("version 12", "neverkey")
    else:
        await asyncio.sleep(REVOKE_S + 1)
        await send("same version", "southkey")
        unknown += await send("same version", "neverkey")
    record.write(f"requests that ran over {REVOKE_S} s after their key was "
                 f"taken away: {gone}; with a key that no configuration ever "
                 f"held: {unknown}")
    return 1 if gone or unknown else 0


play(FOLDER, case)

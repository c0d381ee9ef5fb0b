"""A key is taken away soon after the store came back from a copy (a drill)."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import (BOUNDS, ZONES, Client, Gateway, Operator, Runner, Store,
                      run_case, trouble, wait_ready)

KEPT_KEY, TAKEN_KEY = "xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"
STORM_S, STORM_GAP_S = 4.1, 0.17  # as the site's largest config_storm
AWAY_S = 1.0                      # "for a moment"
CALM_S = 3.2                      # over ContactMs
AFTER_S = 16.0                    # of traffic after the key was taken away


async def send(client, key, results, stop):
    while not stop.is_set():
        answer = await client.ask("/status/2f", key, 1200)
        results.append((key, answer))
        await asyncio.sleep(0.25)


async def play(root, temporary, record, gateways):
    store = Store(record)
    await store.open()
    operator = Operator(store, record)
    operator.add_service("desk")
    operator.add_route("/status/", "safe", "desk", 1200, 2)
    tenants = operator.config["Tenants"]
    tenants += [{"Name": "huka270", "ApiKeys": [KEPT_KEY], "Priority": 1},
                {"Name": "moana81", "ApiKeys": [TAKEN_KEY], "Priority": 1}]
    operator.write("the first configuration")
    runners = [Runner(store, record, f"i-7f3a91c{n}", "desk", zone)
               for n, zone in enumerate(ZONES)]
    for runner in runners:
        await runner.start()
    for n, zone in enumerate(ZONES):
        gateways.append(Gateway(root, temporary, store, record,
                                f"edge-{zone}-1", zone))
        gateways[-1].start()
    if not await wait_ready(gateways):
        record.write("the gateways are not ready", show=True)
        return None

    results, stop = [], asyncio.Event()
    tasks = [asyncio.create_task(send(Client(gateway, record), key, results,
                                      stop))
             for gateway in gateways for key in (KEPT_KEY, TAKEN_KEY)]
    await asyncio.sleep(2)
    copy = store.copy()
    record.write(f"store: revision {store.revision}, a copy is made",
                 show=True)
    ends = time.monotonic() + STORM_S
    while time.monotonic() < ends:
        operator.config["Routes"][0]["TimeoutMs"] ^= 1
        operator.write("a change of a time-out")
        await asyncio.sleep(STORM_GAP_S)
    if trouble():
        record.write(f"store: away at revision {store.revision}", show=True)
        store.close()
        await asyncio.sleep(AWAY_S)
        await store.come_back_from(copy)
        record.write(f"store: back from the copy, revision {store.revision}, "
                     f"era {store.era}", show=True)
        operator.write("written again", again=True)
        for runner in runners:
            runner.register()
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(CALM_S)
    tenants[1]["ApiKeys"] = []
    taken = operator.write(f"key {TAKEN_KEY} is taken away")
    await asyncio.sleep(AFTER_S)
    stop.set()
    await asyncio.gather(*tasks)

    late = taken + BOUNDS["RevokeMs"] / 1000
    ran = {run[1] for runner in runners for run in runner.runs}
    broken = [a for key, a in results
              if key == TAKEN_KEY and a.sent > late and a.attempt in ran]
    asked = [a for key, a in results if key == TAKEN_KEY and a.sent > late]
    others = [a for key, a in results if key == KEPT_KEY and a.status == 200]
    record.write(f"requests with the key that was taken away, sent later than "
                 f"RevokeMs after the acknowledgement: {len(asked)}, of which "
                 f"{len(broken)} ran", show=True)
    record.write(f"requests with the other key that were served: "
                 f"{len(others)}", show=True)
    if not asked or not others:
        return None
    return not broken


run_case(FOLDER, play)

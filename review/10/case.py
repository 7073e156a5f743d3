"""Case 10: minions crash now and then, and a lasting job is given up: all its tasks are stopped, and it is shown as `failed`."""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from case import NotRun, run
from standin import Client, World, config, log_line

MINIONS = 8
JOBS = 10
TASKS = 5
CRASH_S = 0.4
DOWN_S = 0.12
CRASHES = 215
SETTLE_S = 6
MAY_MISS = 1
AWAY_S = 0.4


async def main(folder, record, trouble, worlds):
    world = World(folder, record)
    worlds.append(world)
    minions = [world.add_minions("desk", 1, rack=f"r{number % 3}")[0] for number in range(MINIONS)]
    await world.start(config([("recon", "desk", 4)], ["desk"]))
    if not await world.ready():
        raise NotRun("the nodes didn't become ready")
    client = Client(record)

    # Lasting jobs, as the season reconciliations of the site.
    keys = [f"{1 + number:016x}" for number in range(JOBS)]
    for number, key in enumerate(keys):
        job = {"spec": "lasts=1 cpu=1850", "steps": [{
            "count": TASKS, "cpu": 1850, "mem_mb": 1024, "est_runtime_ms": 700, "long_running": True, "may_miss": MAY_MISS}]}
        status, _ = await client.call(world.nodes[number % 3], "POST", f"/recon/{key}", job)
        if status != 200:
            raise NotRun(f"a job was answered with {status}")
    await asyncio.sleep(3)

    # One of the eight minions at a time crashes, on a timetable of its own, and starts anew a moment later.
    order, states = random.Random(), {}
    for crash in range(CRASHES):
        if trouble:
            up = [minion for minion in minions if minion.up]
            victim = order.choice(up)
            log_line(record, "crash", minion=victim.id, runs=sorted(victim.runs))
            victim.crash()
            await asyncio.sleep(DOWN_S)
            await victim.power_on()
        await asyncio.sleep(CRASH_S - DOWN_S)
        if crash % 10 == 9:
            for key in keys:
                _, answer = await client.call(world.nodes[crash % 3], "GET", f"/recon/{key}")
                states[key] = (answer or {}).get("state")
            if "failed" in states.values():
                break
    await asyncio.sleep(SETTLE_S)

    # AVAIL: the system ends no task at work while `may_miss` others of its step are away, ended by such an order. The states of
    # the jobs are only recorded.
    rows = [json.loads(line) for line in open(Path(__file__).resolve().parent / "record.txt")]
    broken = []
    for key in keys:
        _, answer = await client.call(world.nodes[0], "GET", f"/recon/{key}")
        state = (answer or {}).get("state")
        stops = [row for row in rows if row["kind"] == "stop" and row["task"].startswith(key) and row["at_work"]]
        together = [row for row in stops if any(other["task"] != row["task"] and 0 <= row["t"] - other["t"] < AWAY_S
                                                for other in stops if other is not row)]
        failed_ends = sum(1 for row in rows if row["kind"] == "end" and row["task"].startswith(key) and row["how"] == "failed")
        at_work = sum(1 for minion in minions for task in minion.runs if task.startswith(key))
        log_line(record, "job", key=key, state=state, failed_ends=failed_ends, at_work=at_work, stops=len(stops))
        if len(together) >= MAY_MISS:
            broken.append(f"AVAIL: {together[0]['task']} was at work and was stopped at {together[0]['t']} s, while "
                          f"{MAY_MISS} other of its step had just been stopped; the job is `{state}`")
    return broken


run(__file__, main)

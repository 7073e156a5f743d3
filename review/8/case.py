"""Case 8: the only minion left that the policy allows is never named to the policy service, so accepted jobs never start."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from case import NotRun, run
from standin import Client, Policy, World, config, log_line

MINIONS = 38
# Machines that the policy allows for the queue.
ALLOWED = ["m-3", "m-36"]
JOBS = 4
FINISH_S = 14
WINDOW_S = 4


async def main(folder, record, trouble, worlds):
    world = World(folder, record)
    worlds.append(world)
    world.add_minions("studio", MINIONS)
    world.policy = Policy(record, world.minions, ALLOWED)
    await world.start(config([("seals", "studio", 4)], ["studio"], advised=["seals"]))
    if not await world.ready():
        raise NotRun("the nodes didn't become ready")
    client = Client(record)
    if trouble:
        victim = world.minions[3]
        log_line(record, "crash", minion=victim.id, machine=victim.machine)
        victim.crash()
        await asyncio.sleep(6)

    keys = [f"{1 + number:016x}" for number in range(JOBS)]
    for number, key in enumerate(keys):
        job = {"spec": "ms=200 cpu=100 ticketed", "steps": [{"count": 2, "cpu": 100, "mem_mb": 256, "est_runtime_ms": 200}]}
        status, _ = await client.call(world.nodes[number % 3], "POST", f"/seals/{key}", job)
        if status != 200:
            raise NotRun(f"a job was answered with {status}")
    await asyncio.sleep(FINISH_S)

    # The rule: for 3 s, nothing of a job runs while a task's turn has come, there is capacity for it twice over, and under half
    # of the service's capacity is in use. Only the machines that the policy allows count as capacity.
    states, idle_since, longest = {}, {}, {}
    until = time.monotonic() + WINDOW_S
    while time.monotonic() < until:
        free = sum((m.capacity["cpu"] - m.used) // 100 for m in world.minions if m.up and m.machine in ALLOWED)
        for number, key in enumerate(keys):
            _, answer = await client.call(world.nodes[number % 3], "GET", f"/seals/{key}", quiet=key in states)
            states[key] = (answer or {}).get("state")
            runs = any(task.startswith(key) for minion in world.minions for task in minion.runs)
            if states[key] in ("queued", "running") and not runs and free >= 4:
                idle_since.setdefault(key, time.monotonic())
                longest[key] = time.monotonic() - idle_since[key]
            else:
                idle_since.pop(key, None)
        await asyncio.sleep(0.1)
    log_line(record, "end", states=states, free_tasks=free)
    return [f"LOST: job {key} is {states[key]} {FINISH_S} s after the last submission; nothing of it ran for {waited:.1f} s, "
            f"and an idle machine that the policy allows has room for {free} of its tasks"
            for key, waited in longest.items() if waited >= 3]


run(__file__, main)

"""Case 6: a backlog of lasting tasks for one machine keeps the tasks of other jobs from the idle machines of the pool."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from case import NotRun, run
from standin import Client, World, config, log_line

USUAL_JOBS = 24
BURST = 2.6
PROOFS = 6
FINISH_S = 14
WINDOW_S = 4


async def main(folder, record, trouble, worlds):
    world = World(folder, record)
    worlds.append(world)
    plain = world.add_minions("studio", 4)
    special = world.add_minions("studio", 1)
    special[0].labels = ["b", "r2"]
    await world.start(config([("proofs", "studio", 2), ("plates", "studio", 4)], ["studio"]))
    if not await world.ready():
        raise NotRun("the nodes didn't become ready")
    client = Client(record)

    # Plates that last, for the machine of kind `b`. It has room for four of them.
    count = int(USUAL_JOBS * (BURST if trouble else 1))
    for number in range(count):
        job = {"spec": "lasts=1 cpu=8000", "steps": [{
            "count": 1, "cpu": 8000, "mem_mb": 256, "est_runtime_ms": 700, "requires": "b", "long_running": True}]}
        status, _ = await client.call(world.nodes[number % 3], "POST", f"/plates/{1000 + number:016x}", job)
        if status != 200:
            raise NotRun(f"a plate was answered with {status}")
    await asyncio.sleep(2)

    # Proofs, which any of the machines can run.
    proofs = [f"{1 + number:016x}" for number in range(PROOFS)]
    for number, key in enumerate(proofs):
        job = {"spec": "ms=200 cpu=100", "steps": [{"count": 2, "cpu": 100, "mem_mb": 256, "est_runtime_ms": 200}]}
        status, _ = await client.call(world.nodes[number % 3], "POST", f"/proofs/{key}", job)
        if status != 200:
            raise NotRun(f"a proof was answered with {status}")
    await asyncio.sleep(FINISH_S)

    # The rule: for 3 s, nothing of a job runs while a task's turn has come, there is capacity for it twice over, and under half
    # of the service's capacity is in use.
    states, idle_since, longest = {}, {}, {}
    until = time.monotonic() + WINDOW_S
    while time.monotonic() < until:
        used = sum(minion.used for minion in world.minions)
        capacity = sum(minion.capacity["cpu"] for minion in world.minions)
        free = sum((minion.capacity["cpu"] - minion.used) // 100 for minion in plain)
        for number, key in enumerate(proofs):
            _, answer = await client.call(world.nodes[number % 3], "GET", f"/proofs/{key}", quiet=key in states)
            states[key] = (answer or {}).get("state")
            runs = any(task.startswith(key) for minion in world.minions for task in minion.runs)
            waits = states[key] in ("queued", "running") and not runs and free >= 4 and used * 2 < capacity
            if waits:
                idle_since.setdefault(key, time.monotonic())
                longest[key] = time.monotonic() - idle_since[key]
            else:
                idle_since.pop(key, None)
        await asyncio.sleep(0.1)
    log_line(record, "end", plates=count, proofs=states, used_cpu=used, capacity_cpu=capacity,
             runs={minion.labels[0] + minion.id: len(minion.runs) for minion in world.minions})
    return [f"LOST: proof {key} is {states[key]} {FINISH_S} s after the last submission; nothing of it ran for "
            f"{waited:.1f} s, with {used} of {capacity} millicores in use"
            for key, waited in longest.items() if waited >= 3]


run(__file__, main)

"""Case 6: a burst of large scheduled jobs takes more memory than an entry machine has, on every node that owns the fleet."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from case import NotRun, run
from standin import Client, World, config, log_line

MEMORY_MB = 260
RESTART_S = 0.5
USUAL_JOBS = 2
BURST = 2.6
OCCURRENCES = 80_000
PROOF_INTERVAL_S = 0.5
TRAFFIC_S = 24
BURST_AT_S = 6
FINISH_S = 14
WINDOW_S = 4


async def enforce_memory(world, record, ends):
    """The platform: kills a process that exceeds the machine's memory, and restarts one that has ended."""
    peak = {}
    while True:
        for node in world.nodes:
            rss = node.rss_mb()
            if rss > peak.get(node.number, 0) + 20:
                peak[node.number] = rss
                log_line(record, "memory", node=node.number, rss_mb=round(rss))
            if rss > MEMORY_MB:
                log_line(record, "killed", node=node.number, rss_mb=round(rss), limit_mb=MEMORY_MB)
                ends.append((node.number, round(rss)))
                node.send(signal.SIGKILL)
                node.process.wait()
                peak[node.number] = 0
                asyncio.get_running_loop().call_later(RESTART_S, node.start)
        await asyncio.sleep(0.05)


async def main(folder, record, trouble, worlds):
    world = World(folder, record, memory_mb=MEMORY_MB)
    worlds.append(world)
    world.add_minions("studio", 4)
    await world.start(config([("proofs", "studio", 2), ("nightly", "studio", 4)], ["studio"]))
    if not await world.ready():
        raise NotRun("the nodes didn't become ready")
    client, ends = Client(record), []
    guard = asyncio.ensure_future(enforce_memory(world, record, ends))

    # Small proofs all the time; at `BURST_AT_S` the large scheduled jobs come, the first times of which are due in an hour.
    begin, accepted, number, sent_large = time.monotonic(), [], 0, False
    while time.monotonic() < begin + TRAFFIC_S:
        if not sent_large and time.monotonic() > begin + BURST_AT_S:
            sent_large = True
            for large in range(int(USUAL_JOBS * (BURST if trouble else 1))):
                job = {"spec": "ms=2 cpu=100", "repeat_count": OCCURRENCES, "interval_ms": 60_000,
                       "start_at_ms": int(time.time() * 1000) + 3_600_000,
                       "steps": [{"count": 1, "cpu": 100, "mem_mb": 256, "est_runtime_ms": 2}]}
                await client.call(world.nodes[large % 3], "POST", f"/nightly/{1000 + large:016x}", job)
        key = f"{1 + number:016x}"
        job = {"spec": "ms=200 cpu=100", "steps": [{"count": 2, "cpu": 100, "mem_mb": 256, "est_runtime_ms": 200}]}
        status, _ = await client.call(world.nodes[number % 3], "POST", f"/proofs/{key}", job)
        if status == 200:
            accepted.append(key)
        number += 1
        await asyncio.sleep(PROOF_INTERVAL_S)
    await asyncio.sleep(FINISH_S)

    # Jobs are asked for, at each of the nodes until one answers.
    states, idle_since, longest = {}, {}, {}
    until = time.monotonic() + WINDOW_S
    while time.monotonic() < until:
        used = sum(minion.used for minion in world.minions)
        is_free = used * 2 < sum(minion.capacity["cpu"] for minion in world.minions)
        for key in accepted:
            if states.get(key) == "completed":
                continue
            for node in world.nodes:
                status, answer = await client.call(node, "GET", f"/proofs/{key}", quiet=key in states)
                if status in (200, 410):
                    states[key] = (answer or {}).get("state", "gone")
                    break
            else:
                states[key] = None
            runs = any(task.startswith(key) for minion in world.minions for task in minion.runs)
            if states[key] != "completed" and not runs and is_free:
                idle_since.setdefault(key, time.monotonic())
                longest[key] = time.monotonic() - idle_since[key]
            else:
                idle_since.pop(key, None)
        await asyncio.sleep(0.1)
    guard.cancel()
    open_jobs = {key: state for key, state in states.items() if state != "completed"}
    log_line(record, "end", accepted=len(accepted), not_completed=open_jobs, killed=ends)
    broken = []
    per_node = {node.number: sum(1 for number, _ in ends if number == node.number) for node in world.nodes}
    if sum(1 for times in per_node.values() if times >= 3) >= 2:
        broken.append(f"Fault: processes of two machines or more exceeded {MEMORY_MB} MB three times or more: {per_node}")
    broken += [f"LOST: proof {key} is {state} {FINISH_S} s after the end of the traffic, and nothing of it ran for "
               f"{longest[key]:.1f} s" for key, state in open_jobs.items() if longest.get(key, 0) >= 3]
    return broken


run(__file__, main)

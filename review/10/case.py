"""Case 10: a node that is cut off from the store answers a cancellation with 410, and the job runs on."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))
from case import NotRun, run
from standin import Client, World, config, log_line

JOBS = 5
CUT_S = 3.5
CANCEL_AFTER_S = 0.5
CANCEL_MS = 3000
STOP_MS = 400
STEP_MS = 2500
ACK_S = 4


async def main(folder, record, trouble, worlds):
    world = World(folder, record)
    worlds.append(world)
    world.add_minions("studio", 4)
    await world.start(config([("proofs", "studio", 2)], ["studio"]))
    if not await world.ready():
        raise NotRun("the nodes didn't become ready")
    client = Client(record)
    owner = world.owner()
    others = [node for node in world.nodes if node is not owner]
    taker, cut_node = others[0], others[1]
    log_line(record, "roles", owner=owner.number, accepts=taker.number, cut_off=cut_node.number)

    # One machine that is not the owner is partitioned from the store.
    if trouble:
        world.links[cut_node.number - 1].cut()
        log_line(record, "cut", node=cut_node.number)
    cut_at = time.monotonic()
    await asyncio.sleep(0.2)

    # Jobs of four steps one after the other, handed in at a sound node, each cancelled at the other one soon after.
    step = {"count": 2, "cpu": 100, "mem_mb": 256, "est_runtime_ms": STEP_MS}
    steps = [step, {**step, "after": [0]}, {**step, "after": [1]}, {**step, "after": [2]}]
    keys = [f"{1 + number:016x}" for number in range(JOBS)]
    for key in keys:
        status, _ = await client.call(taker, "POST", f"/proofs/{key}", {"spec": f"ms={STEP_MS} cpu=100", "steps": steps})
        if status != 200:
            raise NotRun(f"a job was answered with {status}")
    await asyncio.sleep(CANCEL_AFTER_S)

    async def cancel(key):
        """A client cancels until it has one of the two answers that end a cancellation, for `ack_ms` at most."""
        until, nodes = time.monotonic() + ACK_S, [cut_node, taker]
        while time.monotonic() < until:
            status, _ = await client.call(nodes[0], "DELETE", f"/proofs/{key}")
            if status == 410 or status is not None and 200 <= status < 300:
                return status, time.monotonic()
            nodes.reverse()
            await asyncio.sleep(0.3)
        return None, None

    answered = {key: await cancel(key) for key in keys}
    await asyncio.sleep(max(0, cut_at + CUT_S - time.monotonic()))
    if trouble:
        world.links[cut_node.number - 1].heal()
        log_line(record, "healed", node=cut_node.number)
    await asyncio.sleep(10)

    # The rule: no start later than `cancel_ms` after the answer, and nothing runs on `stop_ms` after that.
    broken, now = [], time.monotonic()
    for key in keys:
        status, at = answered[key]
        if status is None:
            log_line(record, "not_acknowledged", job=key)
            continue
        late = [(round(started - at, 2), task, minion.id) for minion in world.minions
                for started, task, _ in minion.starts if task.startswith(key) and started > at + CANCEL_MS / 1000]
        running = [task for minion in world.minions for task in minion.runs if task.startswith(key)]
        state = (await client.call(taker, "GET", f"/proofs/{key}"))[1]
        log_line(record, "job", key=key, cancel_answer=status, late_starts=late, running=running, state=state)
        if late:
            broken.append(f"UNASKED: job {key} was cancelled ({status}), and {late[0][1]} was started {late[0][0]} s later")
        elif running and now > at + (CANCEL_MS + STOP_MS) / 1000:
            broken.append(f"UNASKED: job {key} was cancelled ({status}), and {running[0]} runs on")
    return broken


run(__file__, main)

"""While the store is down, a minion has more than 500 ends to list; tasks that are done are started again.

Rule TWICE: a start after a run of the task has ended `done`, if that end is taken note of then or later.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin
from standin import now

TASKS = int(os.environ.get("TASKS", "4000"))
DOWN_S = 4.0


async def case(world):
    await world.start(nodes=3, machines=2, spare=0)
    job = standin.job_id()
    steps = [{"count": TASKS, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 400}]
    if not await world.submit_until_accepted(job, steps):
        raise standin.CannotRun("the job wasn't accepted")
    await asyncio.sleep(2)
    if standin.TROUBLE:
        world.store.down = True
        world.record("the store is down (503)")
        await asyncio.sleep(DOWN_S)
        world.store.down = False
        most = max(len(minion.ends) for minion in world.fleet.minions)
        world.record(f"the store is back; most ends that a minion has to list: {most}")
    end = now() + 40
    while now() < end:
        await asyncio.sleep(1)
        state = await world.state(world.nodes[0], job)
        if state == "completed":
            break
    await asyncio.sleep(2)
    again = world.fleet.starts_after_done()
    done = {row[0] for row in world.fleet.history if row[5] == "done"}
    world.record(f"job {job} is shown as {state}; {len(world.fleet.history)} runs, {len(done)} of {TASKS} tasks done")
    world.record(f"{len(again)} starts of tasks that were done; {len(world.fleet.overlaps())} overlapping pairs of runs")
    for first, second in again[:20]:
        world.record(
            f"TWICE {first[0]} run {first[1]} on {first[2]} done at {first[4] - world.begun:.3f}; "
            f"run {second[1]} on {second[2]} began at {second[3] - world.begun:.3f}"
        )
    return not again


standin.main(case, __file__)

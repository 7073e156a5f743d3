"""Starts of a cancelled job wait in the owner's queue of orders and are sent seconds after the cancelling.

Rule UNASKED: a machine in touch starts a task later than `cancel_ms` after the job's cancelling was acknowledged. Starts that
the minion carried out late don't count.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin
from standin import now

SHARE = 0.5
FOR_S = 5.9
CANCEL_S = 3.0
TASKS = 120


class LateOrders:
    """Minions that leave a share of the orders unanswered for a while and carry them out 2 to 12 s later."""

    def __init__(self, world):
        self.world, self.until, self.late, self.prompt_starts = world, 0, 0, []

    def install(self, minion):
        handle = minion.handle

        async def answer(request):
            if now() < self.until and random.random() < SHARE:
                self.late += 1
                asyncio.get_running_loop().call_later(random.uniform(2, 12), self.carry_out, handle, request)
                await asyncio.sleep(30)
                return None
            if request.path.endswith("run-start"):
                result = await handle(request)
                if result and result[0] == 200:
                    self.prompt_starts.append((request.json()["task"], minion.id, now()))
                return result
            return await handle(request)

        minion.server.handler = answer

    def carry_out(self, handle, request):
        self.world.spawn(handle(request))


async def case(world):
    await world.start(nodes=3, machines=3, spare=0)
    orders = LateOrders(world)
    for minion in world.fleet.minions:
        orders.install(minion)
    if standin.TROUBLE:
        orders.until = now() + FOR_S
        world.record(f"from now on half of the orders get no answer, for {FOR_S} s")
    job = standin.job_id()
    steps = [{"count": TASKS, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 4000}]
    if not await world.submit_until_accepted(job, steps):
        raise standin.CannotRun("the job wasn't accepted")
    await asyncio.sleep(0.5)
    acknowledged = None
    for node in world.nodes * 3:
        channel = standin.Channel(node.front)
        status, _, _ = await channel.send("DELETE", world.prefix + job, world.host)
        channel.close()
        world.record(f"DELETE {job} at {node.name}: {status or 'no answer'}")
        if status == 200:
            acknowledged = now()
            break
        await asyncio.sleep(0.3)
    if acknowledged is None:
        raise standin.CannotRun("the cancelling wasn't acknowledged")
    await asyncio.sleep(18)
    after = [(task, minion, at) for task, minion, at in orders.prompt_starts if at > acknowledged + CANCEL_S]
    before = sum(at <= acknowledged for _, _, at in orders.prompt_starts)
    world.record(f"{len(orders.prompt_starts)} starts carried out at once, {before} of them before the cancelling; {orders.late} late orders")
    for task, minion, at in after:
        world.record(f"UNASKED {task} on {minion}: ordered and begun {at - acknowledged:.3f} s after the cancelling was acknowledged")
    return not after


standin.main(case, __file__)

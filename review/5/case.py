"""A node that is stopped ends channels with requests that it has read and not answered.

Rule LOST: around the SIGTERM of the machine that took a request from the client, the process has read the whole request,
and the channel ends without a complete answer later than `loss_slack_ms` after the last byte was sent.
"""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin
from standin import now

ROUNDS = 9
CLIENTS = 10
GRACE_S = 6
LOSS_SLACK_S = 0.2


def large_batch():
    """A batch for the night, much longer than the pool's next seconds."""
    return [{"count": 1000, "cpu": 32_000, "mem_mb": 2048, "est_runtime_ms": 10_000}]


def small_job():
    return [{"count": 1, "cpu": 1000, "mem_mb": 256, "est_runtime_ms": 400}]


async def client(world, node, until, lost, counts):
    """Sends jobs on one open channel, with pauses, until the channel ends; a new channel goes to another node."""
    channel = standin.Channel(node.front)
    while now() < until:
        await asyncio.sleep(random.uniform(0.2, 1.2))
        job = standin.job_id()
        world.fleet.know(job, small_job())
        body = {"spec": "render", "steps": small_job()}
        fresh = channel.writer is None
        if fresh and counts["stopping"]:
            return
        status, _, _ = await channel.send("POST", world.prefix + job, world.host, body)
        took = now() - getattr(channel, "sent_at", now())
        counts[status] = counts.get(status, 0) + 1
        if status == 0 and took > LOSS_SLACK_S:
            at = now() - counts["stopped_at"]
            lost.append(job)
            world.record(f"LOST {job}: {node.name} ended the channel {took * 1000:.0f} ms after the request, {at:.3f} s after SIGTERM")
    channel.close()


async def case(world):
    await world.start(nodes=3, machines=8, spare=2)
    await world.submit_until_accepted(standin.job_id(), large_batch())
    await asyncio.sleep(2)
    lost = []
    for number in range(ROUNDS):
        node = world.nodes[number % 3]
        counts = {"stopping": False, "stopped_at": now()}
        until = now() + 1 + GRACE_S
        clients = [asyncio.ensure_future(client(world, node, until, lost, counts)) for _ in range(CLIENTS)]
        await asyncio.sleep(1)
        if standin.TROUBLE:
            counts["stopping"], counts["stopped_at"] = True, now()
            node.signal(signal.SIGTERM)
            world.record(f"SIGTERM to {node.name}")
        await asyncio.gather(*clients)
        if standin.TROUBLE:
            while node.ended() is None and now() < counts["stopped_at"] + GRACE_S:
                await asyncio.sleep(0.05)
            world.record(f"process {node.name} ended {now() - counts['stopped_at']:.2f} s after SIGTERM")
            node.kill()
            node.start()
            await world.until_ready()
        answers = {status: count for status, count in counts.items() if isinstance(status, int) and status > 1}
        world.record(f"answers of {node.name}: {answers}, channels that ended without one: {counts.get(0, 0)}")
    for job in lost:
        named = any(job in open(node.log_path).read() for node in world.nodes)
        world.record(f"LOST {job}: {'a' if named else 'no'} log line of the node shows that it had read the request")
    return not lost


standin.main(case, __file__)

"""Two waves name the same machines, the second one half a second after the first. See claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))
from standin import main  # noqa: E402

ROUNDS = 12
AFTER_S = (0.3, 0.4, 0.5, 0.6)  # how long after a wave the next one is requested


async def scenario(world):
    world.spare = "parked"
    await world.add_minions("studio", 3)
    await world.add_minions("parked", 9)
    world.configure(3, [{"name": "proof", "service": "studio"}], ["studio", "parked"])
    await world.start_nodes(3)
    await world.wait_ready()
    await world.wait_owner()
    await asyncio.sleep(6)
    machines = [minion.machine for minion in world.minions if minion.service == "parked"][:2]
    broken = []
    for number in range(ROUNDS):
        first, second = 2 * number + 1, 2 * number + 2
        waves = [first, second] if world.trouble else [first]
        world.wave(first, machines, 12, 2)
        if world.trouble:
            await asyncio.sleep(AFTER_S[number % len(AFTER_S)])
            world.wave(second, machines, 12, 2)
        end = world.now() + 15
        while world.now() < end and any(world.wave_state(wave) != "completed" for wave in waves):
            await asyncio.sleep(0.05)
        for wave in waves:
            state = world.wave_state(wave)
            world.note(f"wave {wave} is said to be {state}")
            missing = [machine for machine in machines if (wave, machine) not in world.upkeeps]
            if state == "completed" and missing:
                broken.append(f"MIXED: wave {wave} is said to be `completed`, and {len(missing)} of its {len(machines)} machines "
                              f"haven't begun their upkeep: {','.join(missing)}")
        await asyncio.sleep(1)
    return broken


main(HERE, "two waves that name the same machines", scenario)

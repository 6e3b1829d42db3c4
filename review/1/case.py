"""The connection of a part that has begun to run is reset, for a search of a class that may not be repeated."""
import asyncio
import os

from bed import Bed, run, trouble
from front import match_all, search_request, send

SEARCHES = 3
PATIENCE = 5.55  # the class's give-up time, 0.5 s of grace and 50 ms


async def case(folder):
    bed = Bed(folder, semantics="non_idempotent", index="[index tracks]\nclass = track-lookup\nshards = 0-3\n")
    breaks = []
    try:
        await bed.start()
        for number in range(SEARCHES):
            name = f"search {number}"
            if trouble():
                bed.resets.append(True)
            before = {leaf.name: len(leaf.begun) for leaf in bed.leaves}
            outcome, status, _ = await send(bed, name, search_request("/tracks/_search", match_all()), PATIENCE)
            begun = [part for leaf in bed.leaves for part in leaf.begun[before[leaf.name]:]]
            bed.resets.clear()
            if outcome != "answered":
                breaks.append(f"{name} got no final answer ({outcome})")
            elif status in (429, 503) and begun:
                breaks.append(f"{name} was refused with {status}, though {len(begun)} of its parts had begun to run: "
                              + ", ".join(begun))
            await asyncio.sleep(1)
    finally:
        await bed.stop()
    return breaks


run(case, os.path.dirname(os.path.abspath(__file__)))

"""A mixer is told to end during a multi-search, while a third of the leaf servers hang."""
import asyncio
import json
import os
import signal

from bed import Bed, run, trouble
from front import search_request, send

SEARCHES = 24
PATIENCE = 5.55  # the class's give-up time, 0.5 s of grace and 50 ms
KILL_AFTER = 3.75  # SIGKILL after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s; then 50 ms


async def case(folder):
    bed = Bed(folder, index="[index tracks]\nclass = track-lookup\nshards = 0-3\n")
    breaks = []
    try:
        await bed.start()
        if trouble():
            # All four holders of shard 0 hang; each other shard of the index has a sound holder.
            for leaf in bed.leaves[:4]:
                leaf.hung = True
        line = json.dumps({"query": {"match_all": {}}})
        body = "".join("{}\n" + line + "\n" for _ in range(SEARCHES)).encode()
        request = search_request("/tracks/_msearch", body)
        answer = asyncio.ensure_future(send(bed, "multi-search", request, PATIENCE))
        await asyncio.sleep(0.3)
        if trouble():
            bed.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(bed.process.wait(), KILL_AFTER)
                bed.record.write(f"the mixer ended by itself with {bed.process.returncode}")
            except asyncio.TimeoutError:
                bed.signal(signal.SIGKILL)
        outcome, status, body = await answer
        if outcome != "answered":
            breaks.append(f"the multi-search was taken before SIGTERM and got no final answer ({outcome})")
        elif status == 200:
            responses = json.loads(body)["responses"]
            bed.record.write(f"statuses of its searches: {[response['status'] for response in responses]}")
            if len(responses) != SEARCHES:
                breaks.append(f"{len(responses)} of {SEARCHES} searches were answered")
    finally:
        await bed.stop()
    return breaks


run(case, os.path.dirname(os.path.abspath(__file__)))

"""Bad clients open connections to the search front and say nothing, while the usual clients search."""
import asyncio
import os

from bed import IP, Bed, run, trouble
from front import match_all, search_request, send

SILENT = 150
SEARCHES = 8
PATIENCE = 5.55  # the class's give-up time, 0.5 s of grace and 50 ms


async def silent_client(bed, number):
    """Opens a connection, sends nothing, and reads whatever comes."""
    started = bed.record.now()
    try:
        reader, writer = await asyncio.open_connection(IP, bed.search_port)
        await reader.read()
        bed.record.write(f"silent client {number}: closed by the mixer after {bed.record.now() - started:.3f} s")
        writer.close()
    except OSError:
        bed.record.write(f"silent client {number}: reset after {bed.record.now() - started:.3f} s")


async def search(bed, number):
    """A usual client: a request whose connection is closed unread is sent once more, on a new connection."""
    name = f"search {number}"
    request = search_request("/tracks/_search", match_all())
    outcome, _, _ = await send(bed, name, request, PATIENCE)
    if outcome in ("closed", "refused"):
        outcome, _, _ = await send(bed, f"{name}, sent again", request, PATIENCE)
    return name, outcome


async def case(folder):
    bed = Bed(folder, index="[index tracks]\nclass = track-lookup\nshards = 0-3\n")
    breaks, silent = [], []
    try:
        await bed.start()
        if trouble():
            bed.record.write(f"{SILENT} bad clients connect and say nothing")
            silent = [asyncio.ensure_future(silent_client(bed, number)) for number in range(SILENT)]
            await asyncio.sleep(1)
        searches = []
        for number in range(SEARCHES):
            searches.append(asyncio.ensure_future(search(bed, number)))
            await asyncio.sleep(0.5)
        for name, outcome in await asyncio.gather(*searches):
            # New connections may be shut unread while idle clients fill the descriptors; being silent is no answer.
            if outcome == "silent":
                breaks.append(f"{name} was written whole to an accepted connection and got no final answer in time")
    finally:
        for client in silent:
            client.cancel()
        await bed.stop()
    return breaks


run(case, os.path.dirname(os.path.abspath(__file__)))

"""An index node answers with a well-formed error body; the client's retry is answered; the ledger bills both."""
import asyncio
import json
import os
import time

from bed import Bed, CannotRun, run, trouble
from front import search_request, send

QUERIES = 4
PERIOD = 10
HORIZON = 6  # the longest give-up time of a class
PATIENCE = 5.55
LEDGER = f"""[periods]
every = {PERIOD}s
horizon = {HORIZON}s
skew = 100ms
grace = 60s
[price track-lookup]
whole = 100
"""


async def client_query(bed, number):
    """One query of a client, with at most one retry, marked as such. Returns whether it was answered."""
    body = json.dumps({"query": {"match": {"title": f"track {number}"}}}).encode()
    if trouble():
        for leaf in bed.leaves:
            leaf.error_bodies = leaf is bed.leaves[3]  # one index node, which holds all shards of the index
    for retry in (False, True):
        name = f"query {number}{', retried' if retry else ''}"
        outcome, status, _ = await send(bed, name, search_request("/tracks/_search", body, retry=retry), PATIENCE)
        if outcome == "answered" and status == 200:
            return True
        bed.leaves[3].error_bodies = False  # sound again
        await asyncio.sleep(0.3)  # the client waits before it retries
    return False


async def statement_lines(bed, until):
    """The lines of the first statement that has any, once it is closed."""
    while time.time() < until:
        for period in await bed.ledger_command("periods") or []:
            statement = await bed.ledger_command("statement", period["period"])
            if statement and statement["lines"]:
                return statement["lines"]
        await asyncio.sleep(0.5)
    raise CannotRun("no period with lines was closed in time")


async def case(folder):
    bed = Bed(folder, index="[index tracks]\nclass = track-lookup\nshards = 0-3\n", ledger=LEDGER)
    try:
        await bed.start()
        # All queries and retries fall into one period, away from its ends.
        await asyncio.sleep(PERIOD - time.time() % PERIOD + 0.5)
        answered = 0
        for number in range(QUERIES):
            answered += await client_query(bed, number)
        if time.time() % PERIOD > PERIOD - 0.5 or time.time() % PERIOD < 0.5:
            raise CannotRun("the queries took longer than the period")
        bed.record.write(f"the client's account: {QUERIES} queries, {answered} answered")
        lines = await statement_lines(bed, time.time() + PERIOD + HORIZON + 20)
        for line in lines:
            bed.record.write(f"line of the statement: {json.dumps(line)}")
        uses = sum(line["uses"] for line in lines)
        billed = sum(line["whole"] + line["partial"] for line in lines)
        amount = sum(line["amount"] for line in lines)
        breaks = []
        if uses != QUERIES:
            breaks.append(f"the statement has {uses} uses for {QUERIES} queries of the client")
        if billed != answered:
            breaks.append(f"the statement bills {billed} answers ({amount} micro-units), and the client got {answered}")
        return breaks
    finally:
        await bed.stop()


run(case, os.path.dirname(os.path.abspath(__file__)))

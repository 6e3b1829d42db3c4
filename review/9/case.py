"""A leaf server answers searches with a well-formed error body: what is billed for the searches that fail by it?"""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import bed2
from bed2 import BROKEN, HELD, CannotRun

SEARCHES = 18
INDICES = ("clips-a", "clips-b", "clips-c")  # of the shards 0-3, 4-7 and 8-11
TENANT, CLASS, PRICE = "ceylon-sound", "track-lookup", 100
ERROR = {"error": {"type": "index_shard_not_available", "reason": "the segment cannot be read"}, "status": 500}


def found(shard, text):
    """The answer of a sound leaf server to a search: one document of the shard."""
    return json.dumps({"hits": {"total": {"value": 1, "relation": "eq"},
                                "hits": [{"_id": f"clip-{shard}", "_score": 1.0, "_source": {"shard": shard}}]}})


async def one_search(bed, front, number):
    """A search and, if it failed, its retries by the client, at most two. Returns whether it was answered at last."""
    body = json.dumps({"query": {"match": {"title": f"clip {number}"}}}).encode()
    for attempt in range(3):
        headers = ["Content-Type: application/json", f"X-Tenant-Id: {TENANT}"] + ["X-Retried: 1"] * (attempt > 0)
        status, answer = await bed2.exchange(front, bed2.request("POST", f"/{INDICES[number % 3]}/_search", body, headers), 6)
        bed.record.write(f"client: search {number}, try {attempt + 1}: {status} {answer[:110]!r}")
        if status == 200:
            return attempt + 1, True
        await asyncio.sleep(0.2)
    return 3, False


async def case(bed):
    await bed.start_leaves(12, bed2.ZONES, 0.1)
    for leaf in bed.leaves:
        leaf.answer = found
    usage, front = bed2.free_addresses(bed.ip, 2)
    config = bed.config("n0", bed2.lmla_settings())
    ini = bed2.usage_section(bed, "n0", usage)
    ini += f"\n[opensearch]\nlisten = {front}\n"
    for number, index in enumerate(INDICES):
        ini += f"\n[index {index}]\nclass = {CLASS}\nshards = {4 * number}-{4 * number + 3}\n"
    await bed.start_mixer(config, ini)
    ledger = bed2.Ledger(bed, {"n0": usage}, {CLASS: PRICE})
    ledger.start()
    end = await ledger.wait_for_period()
    if bed2.TROUBLE:
        sick = bed.leaves[3]
        sick.answer = lambda shard, text: json.dumps(ERROR)
        bed.record.write(f"leaf {sick.name} answers each search with an error body from here on")
    tasks = []
    for number in range(SEARCHES):
        tasks.append(asyncio.ensure_future(one_search(bed, front, number)))
        await asyncio.sleep(0.25)
    results = await asyncio.gather(*tasks)
    answered = sum(ok for _, ok in results)
    tries = sum(count for count, _ in results)
    if time.time() > end - 1:
        raise CannotRun("the searches did not end within the period")
    statement = await ledger.statement(end)
    lines = [line for line in statement["lines"] if line["tenant"] == TENANT and line["class"] == CLASS]
    uses, whole = sum(line["uses"] for line in lines), sum(line["whole"] + line["partial"] for line in lines)
    amount = sum(line["amount"] for line in lines)
    bed.record.write(f"the client made {SEARCHES} searches in {tries} tries, {answered} were answered, at {PRICE} each")
    bed.record.write(f"billed are {uses} uses, {whole} of them answered, and {amount}")
    return BROKEN if uses > SEARCHES else HELD


bed2.run_case(__file__, case)

"""Searches whose parts may not run twice: leaf servers reset connections under parts that have run. What is the client told?"""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import bed2
from bed2 import BROKEN, HELD, CannotRun

SEARCHES = 24
RESET = (4, 10, 16, 22)   # the searches under which one connection to a leaf server is reset
TENANT, CLASS = "ceylon-sound", "track-lookup"


def found(shard, text):
    """The answer of a sound leaf server to a search: one document of the shard."""
    return json.dumps({"hits": {"total": {"value": 1, "relation": "eq"},
                                "hits": [{"_id": f"clip-{shard}", "_score": 1.0, "_source": {"shard": shard}}]}})


class Leaf(bed2.Leaf):
    """Runs a part and then resets its connection instead of answering, once for each text in `resets`."""

    resets, ran = set(), []

    async def run(self, writer, part, shard, text):
        await asyncio.sleep(self.work)
        Leaf.ran.append((text, shard))
        self.record.write(f"leaf {self.name}: ran {part} of {text}")
        if text in Leaf.resets:
            Leaf.resets.discard(text)
            self.record.write(f"leaf {self.name}: connection reset under {part}, which has run")
            writer.transport.abort()
            return
        self.send(writer, f"A{part} ok 1 -\n{found(shard, text)}".encode())


def text_of(number):
    return json.dumps({"query": {"match": {"title": {"query": f"clip {number}"}}}, "size": 10}, separators=(",", ":"))


async def one_search(bed, front, number):
    """A search. The client repeats it only if it was refused: "trying again is harmless". Returns its statuses."""
    body = json.dumps({"query": {"match": {"title": f"clip {number}"}}}).encode()
    statuses = []
    for attempt in range(3):
        headers = ["Content-Type: application/json", f"X-Tenant-Id: {TENANT}"] + ["X-Retried: 1"] * (attempt > 0)
        status, answer = await bed2.exchange(front, bed2.request("POST", "/clips/_search", body, headers), 6)
        bed.record.write(f"client: search {number}, try {attempt + 1}: {status} {answer[:120]!r}")
        statuses.append(status)
        if status not in (429, 503):
            break
        await asyncio.sleep(0.3)
    return statuses


async def case(bed):
    bed2.Leaf = Leaf
    await bed.start_leaves(12, bed2.ZONES, 0.1)
    settings = bed2.lmla_settings()
    for one in settings["classes"]:
        if one["name"] == CLASS:
            one["semantics"] = "non_idempotent"
    front = bed2.free_addresses(bed.ip, 1)[0]
    config = bed.config("n0", settings)
    ini = f"[opensearch]\nlisten = {front}\n\n[index clips]\nclass = {CLASS}\nshards = 0-3\n"
    await bed.start_mixer(config, ini)
    results = []
    for number in range(SEARCHES):
        if bed2.TROUBLE and number in RESET:
            Leaf.resets.add(text_of(number))
        results.append(await one_search(bed, front, number))
        await asyncio.sleep(0.1)
    if bed2.TROUBLE and len(Leaf.resets) == len(RESET):
        raise CannotRun("no connection was reset: no search came through, or its text is another one at the leaf servers")
    twice = sorted({part for part in Leaf.ran if Leaf.ran.count(part) > 1})
    for text, shard in twice:
        bed.record.write(f"the part of shard {shard} of {text} ran {Leaf.ran.count((text, shard))} times")
    bed.record.write(f"statuses: {results}; parts that ran more than once: {len(twice)}")
    return BROKEN if twice else HELD


bed2.run_case(__file__, case)

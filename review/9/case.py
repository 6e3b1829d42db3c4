"""New configurations in quick succession while discovery is slow: does a drained leaf server still get work?"""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import bed2
from bed2 import BROKEN, HELD, MS, CannotRun

GRACE = 2.0         # stop_sending_within_ns of the site
TOLD_WITHIN = 6.0   # "at the latest 6 s after discovery had it and could be reached"
SLACK = 0.05        # "each time limit is 50 ms longer"
CALL_TIME = 2.3     # how long a call to the slow discovery takes
CONFIGURATIONS = 6
INTERVAL = 2.0


def settings():
    """The site graz-prices: one data centre, discovery is asked, drains are kept within 2 s."""

    def one_class(name, aim_ms, give_up_ms, semantics, importance):
        return {"name": name, "aim_ns": aim_ms * MS, "give_up_ns": give_up_ms * MS, "dedup_window_ns": give_up_ms * MS,
                "group": "all", "importance": importance, "late_value": 0.1, "semantics": semantics, "stream": False}

    changed = bed2.lmla_settings()
    changed.update({
        "classes": [one_class("history", 2000, 6000, "read_like", 1.0),
                    one_class("screening", 2000, 4000, "read_like", 3.0),
                    one_class("publish", 1500, 5000, "non_idempotent", 2.0)],
        "discovery": "on_request", "localities": ["graz-dc1"], "stages": ["price-fleet"], "kinds": ["small-2c"],
        "orgs": [{"name": name, "allowance_per_s": 4.0, "fraction": part} for name, part in
                 (("alpenbank-linz", 0.49), ("donau-vorsorge", 0.36), ("murtal-invest", 0.15))],
    })
    changed["extra"] = {**changed["extra"], "least_share": [1.0, 0.4, 1.0], "reach": 3}
    changed["guarantees"] = {**changed["guarantees"], "stop_sending_within_ns": int(GRACE * 1000) * MS,
                             "cold_from": 0.3, "fall_multiple": 2.0, "fall_ns": 1000 * MS, "cold_ns": 16000 * MS}
    changed["limits"] = {**changed["limits"], "max_attempts": 3, "peers": False}
    return changed


async def traffic(bed, mixer, stop):
    """About 10 queries a second, each for a few of the partitions."""
    number, tasks = 0, []

    async def one(number):
        shards = bed2.equal_shards([(number + step) % 12 for step in (0, 2, 4, 6, 8, 10)])
        message = bed2.query("history", "alpenbank-linz", bed2.new_id(), 6000, shards, f"q{number}")
        try:
            status, _ = await bed2.exchange(mixer, message, 7)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            status = type(error).__name__
        return status

    while not stop.is_set():
        tasks.append(asyncio.ensure_future(one(number)))
        number += 1
        await asyncio.sleep(0.1)
    return await asyncio.gather(*tasks)


async def case(bed):
    await bed.start_leaves(12, ["graz-dc1"], 0.14)
    services = [bed.discovery]
    for _ in range(CONFIGURATIONS):
        services.append(bed2.Discovery(bed.ip, bed.record, bed.discovery.table))
        await services[-1].start()
    for service in services:
        service.answer_delay = CALL_TIME
    config = bed.config("n0", settings(), peers=[])
    mixer = await bed.start_mixer(config)
    stop = asyncio.Event()
    load = asyncio.ensure_future(traffic(bed, config["listen"], stop))
    await asyncio.sleep(4.0)
    drained = bed.leaves[5]
    before = len(drained.parts)
    if not before:
        raise CannotRun("the leaf server got no part before it drained")

    async def reload(number):
        """The configuration names the next address; the old one ends its connections after 1.5 s."""
        if bed2.TROUBLE:
            config["discovery"] = services[number].address
            bed.write_config(config)
            mixer.signal(signal.SIGHUP)
            bed.record.write(f"SIGHUP {number}: discovery is at {services[number].address}")
            await services[number - 1].stop_listening()
            asyncio.get_running_loop().call_later(1.5, lambda: asyncio.ensure_future(services[number - 1].stop()))

    await reload(1)
    await asyncio.sleep(0.1)
    bed.discovery.table.update(drained.entry("draining"))
    drained_at = time.time()
    bed.record.write(f"discovery has it: {drained.name} drains")
    for number in range(2, CONFIGURATIONS + 1):
        await asyncio.sleep(INTERVAL)
        await reload(number)
    await asyncio.sleep(CALL_TIME)
    stop.set()
    answers = await load
    bound = drained_at + TOLD_WITHIN + GRACE + SLACK
    late = [part for part in drained.parts if part[0] > bound]
    after = [part for part in drained.parts if part[0] > drained_at]
    bed.record.write(f"answers by status: { {status: answers.count(status) for status in sorted(set(map(str, answers)))} }")
    bed.record.write(f"parts to {drained.name}: {before} before it drained, {len(after)} after, {len(late)} after the bound")
    if late:
        bed.record.write(f"last part {late[-1][1]} came {late[-1][0] - drained_at:.3f} s after discovery had the drain")
    bed.record.write(f"exit code of the mixer: {mixer.exited()}")
    return BROKEN if late else HELD


bed2.run_case(__file__, case)

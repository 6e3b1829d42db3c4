#!/usr/bin/env python3
"""Arithmetic of docs/CAPACITY.md. Standard library only.

    python3 docs/capacity/arithmetic.py            prints all tables
    python3 docs/capacity/arithmetic.py --write    puts them into docs/CAPACITY.md
    python3 docs/capacity/arithmetic.py --check    fails if the page differs, or if the program no longer does what a
                                                   premise says

Measured slopes come from the reports beside this file (measured.py). What no report holds is "not known", and so is
every verdict that rests on it. In the page a table stands between `<!-- table NAME -->` and `<!-- end -->`.
"""
import math
import re
import sys
from pathlib import Path

from measured import machines, read_all

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
S = read_all()

# ---- Given by the operators ---------------------------------------------------------------------------------------

MIXERS, LEAVES, QUERIES, PARTS = 4_500, 110_000, 2_100_000, 69
REGIONS, ZONES = 5, 15
TARGET_S, WITHIN = 0.069, 0.99
CONFIG_DAY, IN_FORCE_S = 17_000, 3.0
CONTROL_CORE, CONTROL_MB, CONTROL_BYTES, CONTROL_MACHINES = 0.015, 128.0, 24e3, 26
FAILED_DAY, RESTARTED_DAY = 320, 38_000
DESCRIPTORS = 1_024
DAY_S = 86_400.0

# ---- Not given: parameters of the page ------------------------------------------------------------------------------

COPIES = (3, 15, 269, 538, 1_594)  # of a shard; the last is 110,000 / 69: each query asks for every shard
CHOICES = 2  # holders of each shard that a mixer stays connected to: one to ask, one for a hedged request
ENTRIES_RESTART = 4  # list entries of a restart or replacement at most: draining, removed, up, one more change
RACK = 40  # leaf servers behind one switch
TICK_S = 0.005  # `tick_ns` of the settings, as in deploy/sites
COLD_FROM, FALL_MULTIPLE, FALL_S = 0.25, 2.0, 1.5  # slow start, as in crates/decisions/tests/slow_start.rs

# ---- Of the program; --check looks for each in the source ------------------------------------------------------------

LINK_SHARE, CLIENT_SHARE, OWN, CLOSING = 40, 45, 20, 16
MARGIN_S, FADE, SPARE_BEATS, HEDGE, HEDGE_CAP, PROBE_SHARE = 0.008, 5.0, 2, (0.125, 0.4), 0.15, 0.1
SILENT_S, SIGN_OF_LIFE_S, TRY_S, OPEN_CAP, BUFFERS = 3.0, 2.0, 1.0, 4_096, 8 * 1_024
PREMISES = [
    ("crates/mixer/src", r"LEAF_CONNECTIONS_PERCENT: usize = 40", "40% of the descriptors are for leaf servers"),
    ("crates/mixer/src", r"CLIENTS_PERCENT: usize = 45", "45% are for clients"),
    ("crates/mixer/src", r"RESERVED_DESCRIPTORS: usize = 20", "20 are the mixer's own"),
    ("crates/mixer/src", r"CLIENT_TIMEOUT_MARGIN: Nanos = 8 \* NANOS_PER_MS", "8 ms are taken off a client's time"),
    ("crates/mixer/src", r"HEARTBEAT_TIMEOUT: Duration = Duration::from_secs\(3\)", "silence is noticed after 3 s"),
    ("crates/mixer/src", r"PUSH_ANSWER_TIMEOUT: Duration = Duration::from_secs\(1\)", "a new watch is given 1 s"),
    ("crates/mixer/src", r"Effect::WatchEndpoints \{", "a reload opens the watch anew"),
    ("crates/mixer/src", r'"settings",\s+self\.mixer_settings != next\.mixer_settings', "settings wait for a restart"),
    ("crates/mixer/src", r"DEFAULT_MAX_OPEN_REQUESTS: usize = 4096", "4,096 queries and parts may be open"),
    ("crates/mixer/src", r"FREE_BYTES: usize = 8 \* 1024", "a connection holds 8 KiB without a reservation"),
    ("crates/decisions/src", r"DECAY_TIME_IN_OBJECTIVES: f64 = 5\.0", "estimates fade over five targets"),
    ("crates/decisions/src", r"SAFETY_MARGIN_INTERVALS: Nanos = 2", "two timer intervals are kept free before the target"),
    ("crates/decisions/src", r"MIN_HEDGE_DELAY_FRACTION: f64 = 0\.125;\nconst MAX_HEDGE_DELAY_FRACTION: f64 = 0\.4", "bounds of the hedging delay"),
    ("crates/decisions/src", r"EXTRA_ATTEMPT_LIMIT_PER_PART: f64 = 0\.15", "15% of the parts may get a hedged request"),
    ("crates/decisions/src", r"MIN_SUSPECTED_FRACTION: f64 = 0\.1", "probes go out from a tenth suspected on"),
]

# ---- What follows at once ------------------------------------------------------------------------------------------

QUERY_RATE = QUERIES / MIXERS
PART_RATE = QUERY_RATE * PARTS
LEAF_RATE = QUERIES * PARTS / LEAVES
PAIR_RATE = PART_RATE / LEAVES
ENTRY_RATE = RESTARTED_DAY * ENTRIES_RESTART / DAY_S
CONFIG_RATE = CONFIG_DAY / DAY_S
LINKS = min((DESCRIPTORS - OWN - CLOSING) * LINK_SHARE // (LINK_SHARE + CLIENT_SHARE), DESCRIPTORS * LINK_SHARE // 100)
CLIENTS = min(DESCRIPTORS - OWN - CLOSING - LINKS, DESCRIPTORS * CLIENT_SHARE // 100)
ENTRY = S["S10"].value
FADE_S = FADE * TARGET_S
PROBES = LEAVES - PART_RATE * TARGET_S  # of one round: all leaf servers but those heard within the last target
LATE_SHARE = 1 - WITHIN ** (1 / PARTS)
LOG_RECORD, INGEST_CORE, LOG_CPU = 39.1, 500e3, (1.08, 1.20)  # docs/design/ledger.md, `make bench-ledger`, a83beea
NOT_KNOWN = "not known"


def number(x, digits=3):
    """Three figures, thousands apart; NOT_KNOWN for None."""
    if x is None:
        return NOT_KNOWN
    if x == round(x) or abs(x) >= 100:
        return f"{x:,.0f}"
    places = max(0, digits - 1 - math.floor(math.log10(abs(x))))
    return f"{x:.{places}f}" if places < 7 else f"{x:.1e}"


def times(*factors):
    return None if None in factors else math.prod(factors)


def size(count):
    """Bytes of so many entries."""
    return times(count, ENTRY)


def as_bytes(x):
    if x is None:
        return NOT_KNOWN
    for unit, scale in (("TB", 1e12), ("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if x >= scale:
            return f"{number(x / scale)} {unit}"
    return f"{number(x)} B"


def of(x, unit):
    return NOT_KNOWN if x is None else f"{number(x)} {unit}"


def share_of_core(x):
    return NOT_KNOWN if x is None else f"{number(100 * x)}% of a core"


def reload_share():
    """Share of a core that snapshots take if each change of configuration is a reload."""
    return times(CONFIG_RATE, S["S12"].value, 1e-3)


def verdict(need, budget):
    if need is None:
        return f"**{NOT_KNOWN}**"
    return "**fits**" if need <= budget else "**does not fit**"


def table(head, *rows):
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(str(cell) for cell in row) + " |" for row in lines)


# ---- Tables --------------------------------------------------------------------------------------------------------

def derived():
    return table(
        ["from the target", "", "formula"],
        ["queries a mixer", f"{number(QUERY_RATE)} /s, so {1e3 / QUERY_RATE:.2f} ms of a core each",
         "2,100,000 / 4,500"],
        ["parts a mixer", f"{number(PART_RATE)} /s, so {1e6 / PART_RATE:.1f} us of a core each", "x 69"],
        ["parts a leaf server", f"{number(LEAF_RATE)} /s", "2,100,000 x 69 / 110,000"],
        ["parts a pair of mixer and leaf server", f"{PAIR_RATE:.3f} /s, one every {1 / PAIR_RATE:.2f} s",
         "parts a mixer / 110,000"],
        ["open at once in a mixer, each for the whole 69 ms",
         f"{QUERY_RATE * TARGET_S:.0f} queries, {number(PART_RATE * TARGET_S)} parts", "Little's law: rate x time"],
        ["changed endpoint entries on an ordinary day", f"{ENTRY_RATE:.2f} /s",
         f"38,000 x {ENTRIES_RESTART} / 86,400; {ENTRIES_RESTART} entries a restart is an upper bound of ours"],
        ["configuration", f"{CONFIG_RATE:.3f} changes /s, {number(CONFIG_RATE * MIXERS)} deliveries /s",
         "17,000 / 86,400, x 4,500"],
        ["a mixer's connections", f"{LINKS} to leaf servers, {CLIENTS} from clients",
         "1,024 descriptors shared out by `DescriptorBudget`"],
        ["longest mean time that a part may hold a connection of its own", f"{1e3 * LINKS / PART_RATE:.1f} ms",
         f"Little's law: {LINKS} / {number(PART_RATE)}"],
        ["new connections in full mesh, each part to a random holder",
         f"{number(PART_RATE * (1 - LINKS / LEAVES))} /s a mixer, {number(LEAF_RATE * (1 - LINKS / LEAVES))} /s a leaf "
         "server", f"x (1 - {LINKS} / 110,000)"],
    )


def slopes():
    def cell(figure):
        if figure is None:
            return NOT_KNOWN
        return number(figure.value) + ("" if figure.outcome == "measured" else f" ({figure.outcome})")

    rows = []
    for slope in S.values():
        missed = slope.figure and slope.figure.residual
        fit = "" if missed is None else f"{missed:.1%}"
        rows.append([slope.key, slope.what, slope.unit, cell(slope.before), cell(slope.now), fit, slope.run,
                     slope.used])
    return table(["", "slope", "unit", "before", "now", "fit residual", "run", "used for"], *rows)


def runs():
    rows = [[f"`{name}`", m["began"], m["commit"], f"{m['cores']} cores, {m['memory_bytes'] / 1e9:.0f} GB",
             m["build"], load] for name, (m, load) in machines().items()]
    head = ["report", "began", "commit", "machine", "build", "load average before and after"]
    return table(head, *rows) if rows else "No report yet."


def tail():
    """Share of parts that may be late, for answers that may leave out some of 69."""
    rows = []
    for missing in (0, 1, 2):
        low, high = 0.0, 0.5
        for _ in range(200):
            q = (low + high) / 2
            inside = sum(math.comb(PARTS, k) * q ** k * (1 - q) ** (PARTS - k) for k in range(missing + 1))
            low, high = (q, high) if inside >= WITHIN else (low, q)
        rows.append([f"{PARTS - missing} of {PARTS}", f"{low:.4%}", f"p{100 * (1 - low):.3f}"])
    return table(["parts that have to be in", "of a leaf server's answers late at most", "so 69 ms (less what the "
                  "mixer and the network take) must be its"], *rows)


def hedging():
    rows = []
    for load in (0.01, 0.05, 0.10, HEDGE_CAP):
        alone = min(1.0, LATE_SHARE / load)
        shared = min(1.0, LATE_SHARE / (0.05 + 0.95 * load))
        rows.append([f"{load:.0%}", f"{LEAF_RATE * (1 + load):,.0f} /s", f"{alone:.3%} (p{100 * (1 - alone):.2f})",
                     f"{shared:.3%} (p{100 * (1 - shared):.2f})"])
    return table(["hedged requests: extra load x", "parts a leaf server", "late first attempts allowed, independent",
                  "the same if 5% of the late ones share their cause"], *rows)


def time_left():
    beat = max(2 * TICK_S, TARGET_S / 200)
    low, high = (share * TARGET_S for share in HEDGE)
    left = TARGET_S - MARGIN_S - beat
    return table(
        ["of 69 ms", "ms"],
        ["margin for the network to the client and back", f"{MARGIN_S * 1e3:.0f}"],
        [f"a timer interval: the larger of two batch intervals ({TICK_S * 1e3:.0f} ms each) and 1/200 of the target",
         f"{beat * 1e3:.0f}"],
        ["so a query that needs every part is given up after", f"{left * 1e3:.0f}"],
        ["delay before a hedged request, bounds", f"{low * 1e3:.1f} to {high * 1e3:.1f}"],
        ["so a hedged request has at least, if the latest interval starts it", f"{(left - high - beat) * 1e3:.1f}"],
    )


def connections():
    rows = []
    for copies in COPIES:
        subset = LEAVES * CHOICES / copies
        regional = LEAVES / REGIONS if copies >= REGIONS else None
        zonal = LEAVES / ZONES if copies >= ZONES else None
        shown = lambda x, leaf: "no complete copy" if x is None else f"{number(x)}, {number(leaf)}"
        rows.append([number(copies), number(LEAVES / copies), f"{number(LEAVES)}, {number(MIXERS)}",
                     shown(regional, MIXERS / REGIONS), shown(zonal, MIXERS / ZONES),
                     f"{number(subset)}, {number(MIXERS * CHOICES / copies)}",
                     "fits" if subset <= LINKS else f"{number(subset / LINKS)} times too many"])
    return table(["P", "shards", "full mesh", "own region", "own zone", f"subset, {CHOICES} holders a shard",
                  f"subset against {LINKS}"], *rows)


def tree():
    rows = []
    for scope, leaves, mixers, scopes in (("all", LEAVES, MIXERS, 1), ("own region", LEAVES / REGIONS,
                                          MIXERS / REGIONS, REGIONS), ("own zone", LEAVES / ZONES, MIXERS / ZONES,
                                                                       ZONES)):
        groups, instances = math.ceil(leaves / LINKS), math.ceil(mixers / CLIENTS)
        count = groups * instances * scopes
        rate = QUERIES * PARTS / count
        cores = times(rate, S["S3"].value, 1e-6 / PARTS)
        rows.append([scope, groups, instances, number(count), groups, f"{LINKS}, {math.ceil(mixers / instances)}",
                     instances, number(rate), number(cores)])
    return table(["leaf servers covered", "groups", "instances of each", "aggregators in all", "connections of a mixer",
                  "of an aggregator: leaf servers, mixers", "of a leaf server", "parts an aggregator /s",
                  "its cores at S3 / 69"], *rows)


def lists():
    rows = []
    for what, entries, within in (
            ("ordinary day, each second", ENTRY_RATE, 1.0), (f"a rack of {RACK}", RACK, IN_FORCE_S),
            ("a zone", LEAVES / ZONES, IN_FORCE_S), ("a region", LEAVES / REGIONS, IN_FORCE_S),
            ("snapshot", LEAVES, IN_FORCE_S)):
        total = size(entries)
        budget = CONTROL_BYTES * within
        taken = times(total, 1 / CONTROL_BYTES)
        rows.append([what, number(entries), as_bytes(total), as_bytes(times(total, MIXERS)),
                     of(taken, "s"),
                     "" if total is None else f"{number(total / budget)} x", f"{number(budget / entries)} B",
                     verdict(total, budget)])
    return table(["event", "entries", "a mixer", "all mixers", "at 24 KB/s", "of the budget",
                  "bytes an entry that would fit", ""], *rows)


def freshness():
    rows = []
    for what, count in (("full mesh", LEAVES), ("own region", LEAVES / REGIONS), ("own zone", LEAVES / ZONES),
                        (f"subset of {LINKS}", LINKS)):
        rate = PART_RATE / count
        rows.append([what, number(count), f"{number(rate)} /s", f"{number(1e3 / rate)} ms",
                     f"{math.exp(-1 / rate / FADE_S):.4f}"])
    return table(["mixer sends to", "leaf servers", "parts a pair", "age at the next part",
                  "weight left of the estimate"], *rows)


def cold():
    """What all mixers may send to one leaf server that is warming up, as parts in FALL_S, at its full load."""
    allowance = FALL_MULTIPLE * COLD_FROM * LEAF_RATE * FALL_S
    rows = []
    for what, mixers in (("full mesh", MIXERS), ("own region", MIXERS / REGIONS), ("own zone", MIXERS / ZONES)):
        each = allowance / mixers
        part = each % 1
        chance = math.sqrt(mixers * part * (1 - part))
        apart = [(n + 2 * math.sqrt(n) + 2 - allowance) / chance for n in (allowance, allowance / 0.8)]
        rows.append([what, number(mixers), f"{each:.2f}", f"{chance:.1f}", f"{apart[0]:.1f}", f"{apart[1]:.1f}",
                     f"{number(allowance * mixers / MIXERS)} ({mixers / MIXERS:.0%})"])
    return table(["sent to by", "mixers", f"parts a mixer in {FALL_S:g} s, of N = {number(allowance)}",
                  "standard deviation of the sum", "deviations to N + 2 root(N) + 2, fleet at full load", "at 80% load",
                  "sum that slow start allows"], *rows)


def regions():
    hour = RESTARTED_DAY / 24
    others = 1 - 1 / REGIONS
    stale = hour * others * 2
    total = size(stale)
    log = QUERY_RATE * LOG_RECORD * 3_600
    lost = LEAVES * others
    return table(
        ["after an hour apart", "", ""],
        ["leaf servers of other regions restarted or replaced", number(hour * others), "38,000 / 24 x 4/5"],
        ["entries that differ at the return", f"{number(stale)}, {as_bytes(total)} a mixer",
         f"old gone, new up; {of(times(total, 1 / CONTROL_BYTES), 's')} at 24 KB/s"],
        ["configuration changes made meanwhile", number(CONFIG_DAY / 24), "17,000 / 24"],
        ["usage log held by a mixer whose settlement is unreachable", as_bytes(log),
         "467 x 39.1 B x 3,600; `keep` is 1 GiB"],
        ["if discovery removes the servers that it cannot reach",
         f"{number(lost)} entries, {as_bytes(size(lost))} a mixer",
         f"and as many at the return; {of(times(size(lost), 1 / CONTROL_BYTES), 's')} each at 24 KB/s"],
        ["probes once a tenth is suspected, each mixer", f"{number(PROBES)} every {FADE_S * 1e3:.0f} ms",
         "`probe_idle_replicas`: all without an observation for one target; `evict_idle_connection` walks "
         f"{LINKS} connections for each"],
    )


def discovery():
    each = MIXERS / CONTROL_MACHINES
    return table(
        ["each of 26 machines", "", "formula"],
        ["watches, heartbeats", f"{number(each)}, {number(each / SIGN_OF_LIFE_S)} /s", "4,500 / 26, one in 2 s"],
        ["changed entries delivered, a second",
         f"{number(ENTRY_RATE * each)}, {as_bytes(size(ENTRY_RATE * each))}", "x entries a second, x S10"],
        ["configuration deliveries", f"{number(CONFIG_RATE * each)} /s", ""],
        ["all that 24 KB/s a mixer allows", f"{as_bytes(CONTROL_BYTES * each)}/s", "24 KB x 173"],
        ["snapshots to all its mixers", as_bytes(times(size(LEAVES), each)), "110,000 x S10 x 173"],
    )


def ledger():
    records = QUERIES
    return table(
        ["usage records", "", "budget or aim", ""],
        ["log of a mixer", f"{as_bytes(QUERY_RATE * LOG_RECORD)}/s", "24 KB/s if collection counts as control",
         verdict(QUERY_RATE * LOG_RECORD, CONTROL_BYTES)],
        ["processor time a query, log on to off", f"{LOG_CPU[0]} to {LOG_CPU[1]:.2f}", "1.05",
         verdict(LOG_CPU[0], 1.05)],
        ["to one settlement process", f"{number(records)} /s", f"{number(INGEST_CORE)} /s a core, one writer",
         verdict(records, INGEST_CORE)],
        ["to one of five, by region", f"{number(records / REGIONS)} /s", f"{number(INGEST_CORE)} /s",
         verdict(records / REGIONS, INGEST_CORE) + ", with nothing to spare"],
        ["kept a day, in the log's form", as_bytes(records * LOG_RECORD * DAY_S), "the store is never pruned",
         "**does not fit**"],
    )


# ---- Verdicts and the order of work ----------------------------------------------------------------------------------

def query_rows():
    cores, standing, sockets = (times(QUERY_RATE, S[key].value, 1e-6) for key in ("S1", "S2", "S17"))
    open_parts = QUERY_RATE * TARGET_S * (1 + PARTS)
    connection, query = S["S15"].value, S["S16"].value
    memory = None if None in (connection, query) else (
        (connection + BUFFERS / 1e3) * (LINKS + CLIENTS) + query * QUERY_RATE * TARGET_S) / 1e3
    need = f"{of(cores, 'cores a mixer')} (S1); {of(standing, 'cores')} with standing connections (S2)"
    return [
        ["**Mixer**, queries, reducer and decisions alone", need, "1 core, all included", verdict(cores, 1.0),
         "inverted index of replicas by shard", "`crates/decisions`; see S4 to S6"],
        ["with sockets and parsing", f"{of(sockets, 'cores')} (S17)", "1 core", verdict(sockets, 1.0),
         "event loop, one thread", "`mixer/src/transport`"],
        ["69 ms at p99", f"leaf servers' p{100 * (1 - LATE_SHARE):.3f}", "69 ms less the mixer's share",
         verdict(None, 0), "hedged requests with a cap", "`hedging.rs`"],
        ["open queries and parts", number(open_parts), f"{OPEN_CAP:,} (`open_cap`)", verdict(open_parts, OPEN_CAP),
         "admission control", "`reducer/query_admission.rs`"],
        ["connections to leaf servers", f"{number(LEAVES)} (full mesh)", number(LINKS), verdict(LEAVES, LINKS),
         "deterministic subsetting, or a tree of aggregators",
         "missing; `evict_idle_connection` closes the longest idle"],
        ["estimates of a leaf server", f"{1 / PAIR_RATE:.1f} s old", f"fades in {FADE_S:.3f} s",
         verdict(1 / PAIR_RATE, FADE_S), "subsetting; power of two choices on reported load",
         "missing; reports are read (`reducer/attempt_results.rs`) and not used"],
        ["memory for its work", f"{of(memory, 'MB')} (S15, S16, buffers)", "not given", verdict(None, 0),
         "byte budgets from `memory_mb`", "`reducer/memory_budget.rs`"],
    ]


def control_rows():
    changes, reloads = (share_of_core(x) for x in (times(ENTRY_RATE, S["S7"].value, 1e-6), reload_share()))
    sockets, fewer = (share_of_core(times(S[key].value, 1e-2)) for key in ("S25", "S24"))
    ordinary, zone, memory = size(ENTRY_RATE), size(LEAVES / ZONES), S["S14"].value
    return [
        ["**Mixer**, control: updates", f"{changes} (S7)", "1.5%",
         verdict(times(ENTRY_RATE, S["S7"].value, 1e-6), CONTROL_CORE), "delta encoding, applied by entry",
         "`reducer/replicas.rs`"],
        ["the same over sockets, heartbeats included", f"{sockets} (S25); {fewer} with 30,000 listed (S24)",
         "1.5%",
         verdict(times(S["S25"].value, 1e-2), CONTROL_CORE), "one watch, one thread", "`transport/discovery_watch.rs`"],
        ["snapshot at each reload", f"{reloads} (S12)", "1.5%", verdict(reload_share(), CONTROL_CORE),
         "delta encoding from a version", "missing: `on_config_reloaded` asks an agent for all"],
        ["memory of the endpoint list", f"{of(memory, 'MB')} at most (S14)", "128 MB", verdict(memory, CONTROL_MB),
         "interned names, compact records", "`reducer/replicas.rs`"],
        ["bytes, ordinary day", f"{as_bytes(ordinary)} a second", "24 KB", verdict(ordinary, CONTROL_BYTES),
         "delta encoding", "protocol's watch, `transport/discovery_watch.rs`"],
        ["bytes, a zone at once", f"{as_bytes(zone)} in 3 s", "72 KB", verdict(zone, CONTROL_BYTES * IN_FORCE_S),
         "one record for a failure domain, or compact deltas", "missing"],
    ]


def leaf_rows():
    return [
        ["**Leaf server**: parts",
         f"{number(LEAF_RATE)} /s, to {number(LEAF_RATE * (1 + HEDGE_CAP))} with hedged requests",
         "not given", verdict(None, 0), "load shedding, retry budget",
         "`load_shedding.rs`, `retry_budget.rs`"],
        ["connections", f"{number(MIXERS)} (full mesh)", "not given", verdict(None, 0), "deterministic subsetting",
         "missing"],
        ["slow start", "one part in 4 to 5 mixers, by chance", "N + 2 root(N) + 2",
         "**fits** by arithmetic below full load; tested to 300 mixers", "slow start, randomised rounding",
         "`slow_start.rs` (`has_capacity`, `refresh_jitter`); wrong with subsetting"],
        ["probes, a tenth suspected", f"{number(PROBES)} a mixer at once", f"{LINKS} connections",
         verdict(PROBES, LINKS), "probe budget, outlier ejection", "missing: `probe_idle_replicas` has no bound"],
    ]


def shared_rows():
    delivered, taken, zone = S["S18"].value, S["S7"].value, times(S["S26"].value, 1e-3)
    in_force = None if None in (delivered, taken) else delivered / 1e3 + taken / 1e6
    fan_out = times(ENTRY_RATE * MIXERS / CONTROL_MACHINES, S["S19"].value, 1e-6)
    pushed, asked = (times(S[key].value, 1e-3) for key in ("S22", "S23"))
    return [
        ["**Discovery**: updates of an ordinary day to 173 mixers", f"{share_of_core(fan_out)} a machine (S19)",
         "1 core (26 machines)", verdict(fan_out, 1.0) + " for the stand-in", "push over long-lived streams",
         "the platform's agents; `crates/standins/src/discovery`"],
        ["an update in force, watch alive", f"{of(in_force, 's')} (S18 + S7)", "3 s", verdict(in_force, IN_FORCE_S),
         "push, consistent prefix", "`transport/discovery_watch.rs`, `index` of the update"],
        ["a zone in force, watch alive, without the bound on bytes", f"{of(zone, 's')} (S26)", "3 s",
         verdict(zone, IN_FORCE_S), "the same", "the same"],
        ["an update in force, watch dead", f"{of(pushed, 's')} pushed, {of(asked, 's')} polled (S22, S23); over "
         f"{SILENT_S:g} s at the worst moment", "3 s", "**does not fit**", "heartbeat and lease",
         "`reducer/watch_policy.rs`; heartbeat too rare"],
        ["**Configuration** in force", "discovery and peers; all else at a restart", "all, in 3 s", "**does not fit**",
         "versioned configuration by the same watch", "missing; SIGHUP and files today"],
        ["**Ledger**: settlement", f"{number(QUERIES)} records /s", f"{number(INGEST_CORE)} /s, one process",
         verdict(QUERIES, INGEST_CORE), "partitioning by tenant, pruning", "missing"],
        ["at the mixer", f"{LOG_CPU[0]} to {LOG_CPU[1]:.2f} of the time without", "1.05 (its own aim)",
         verdict(LOG_CPU[0], 1.05), "group commit in a writer thread", "`ledger/src/writer.rs`"],
        ["**Rollout** of mixers", "10 steps of 450", "not given", verdict(None, 0),
         "graceful shutdown, rolling restart",
         "SIGTERM, `reducer/shutdown.rs`"],
        ["bad versions and configurations", "all mixers at once", "a few first", "**does not fit**",
         "canary, automatic rollback", "missing"],
    ]


def verdicts():
    rows = query_rows() + control_rows() + leaf_rows() + shared_rows()
    return table(["role and budget", "need at the target", "budget", "verdict", "mechanism", "where"], *rows)


FAILS = 1 + 1e-9  # over its budget whatever the figure: the work is missing altogether
VERSIONED = "versioned configuration by the watch: no snapshot at a reload, all keys live"


def order():
    cores, changes = times(QUERY_RATE, S["S1"].value, 1e-6), times(ENTRY_RATE, S["S7"].value, 1e-6)
    reloads = times(reload_share(), 1 / CONTROL_CORE)
    memory, zone = S["S14"].value, size(LEAVES / ZONES)
    least, refused = LEAVES / COPIES[0], S["S14"].figure and S["S14"].figure.outcome == "refused"
    listed = as_bytes(times(CONFIG_RATE, size(LEAVES)))
    always, event, after = "always", "on an event", "with subsetting"
    work = [
        (always, cores, "index of replicas by shard, deadline queue", f"{of(cores, 'cores a mixer')} (S1)"),
        (always, times(changes, 1 / CONTROL_CORE), "endpoint updates applied as deltas",
         f"{share_of_core(changes)} for updates (S7), 1.5% allowed"),
        (always, math.inf if refused else times(memory, 1 / CONTROL_MB), "snapshot accepted, compact records",
         f"{'refused; ' if refused else ''}{of(memory, 'MB')} with it (S14), {CONTROL_MB:g} MB for all control"),
        (always, least / LINKS, "deterministic subsetting; P has to be known",
         f"{number(least)} connections for one holder of each shard at P = {COPIES[0]}, {LINKS} allowed"),
        (always, None if reloads is None else max(reloads, FAILS), VERSIONED,
         f"17,000 reloads a day take {of(reloads, 'times')} the 1.5% (S12) and {listed} a second from the agent; other "
         "keys wait for a restart"),
        (always, QUERIES / INGEST_CORE, "ledger partitioned, its store pruned",
         f"{number(QUERIES)} records /s, {number(INGEST_CORE)} a process"),
        (event, PROBES / LINKS, "probe budget; a missing connection not counted as a silent leaf server; regions known",
         f"{number(PROBES)} probes a mixer every {FADE_S * 1e3:.0f} ms once a tenth is suspected"),
        (event, times(zone, 1 / (CONTROL_BYTES * IN_FORCE_S)), "one record for a failure domain, or compact deltas",
         f"{as_bytes(zone)} for a zone in 3 s, 72 KB allowed"),
        (event, (SILENT_S + TRY_S) / IN_FORCE_S, "heartbeat every 0.5 s, lease of 1.5 s",
         f"a dead watch costs up to {SILENT_S:g} s and {TRY_S:g} s for the answer, 3 s allowed"),
        (after, MIXERS / (MIXERS / ZONES), "slow start calculated over the mixers that send to the server",
         "a server that is warming up gets 7% of its allowance from the mixers of one zone"),
        (after, 1 / PAIR_RATE / FADE_S, "load reports used, power of two choices",
         f"{1 / PAIR_RATE:.1f} s between two parts of a pair without it, an estimate fades in {FADE_S:.3f} s"),
    ]
    missing = [item for item in work if item[1] is None or item[1] >= FAILS]
    missing.sort(key=lambda item: ((always, event, after).index(item[0]), -(item[1] or math.inf)))

    def over(factor):
        if factor is None or factor == FAILS:
            return "" if factor is None else "without it, not at all"
        return "refused" if factor == math.inf else f"{number(factor)} x"

    rows = [[i + 1, what, figure, over(factor), when] for i, (when, factor, what, figure) in enumerate(missing)]
    return table(["", "missing", "figure that shows it", "over its budget", "when"], *rows)


TABLES = {f.__name__.replace("_", "-"): f for f in (
    verdicts, slopes, runs, derived, tail, hedging, time_left, connections, tree, lists, discovery, freshness, regions,
    cold, ledger, order)}


def filled(page):
    def put(match):
        return f"<!-- table {match[1]} -->\n{TABLES[match[1]]()}\n<!-- end -->"
    return re.sub(r"<!-- table ([\w-]+) -->\n.*?<!-- end -->", put, page, flags=re.S)


def premises_gone():
    gone = []
    for where, pattern, says in PREMISES:
        path = ROOT / where
        files = path.rglob("*.rs") if path.is_dir() else [path] if path.exists() else []
        if not any(re.search(pattern, file.read_text()) for file in files):
            gone.append(f"{where}: {says}")
    return gone


def main(arguments):
    if arguments == ["--write"]:
        PAGE.write_text(filled(PAGE.read_text()))
    elif arguments == ["--check"]:
        page = PAGE.read_text()
        wrong = [] if filled(page) == page else ["docs/CAPACITY.md differs from its arithmetic: run with --write"]
        wrong += [f"no longer in the source: {premise}" for premise in premises_gone()]
        print("\n".join(wrong) or "docs/CAPACITY.md agrees with its arithmetic and the source")
        return 1 if wrong else 0
    elif arguments:
        print(__doc__, file=sys.stderr)
        return 2
    else:
        for name, made in TABLES.items():
            print(f"## {name}\n\n{made()}\n")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""The measured slopes of docs/CAPACITY.md, read from the reports of the scale runs beside this file.

A report that is missing, or that holds no such point, gives None: the page then says "not known".
"""
import json
from pathlib import Path
from typing import NamedTuple, Optional

HERE = Path(__file__).resolve().parent
REPORTS = {"scale": ("before.json", "scale.json"), "hollow": ("hollow-before.json", "hollow.json")}
LEAVES, FEW_LEAVES = 110_000, 300
MOST_OPEN, FEW_OPEN = 512, 8
MIXERS, FEW_MIXERS = 4_500, 10
DAYS_CHANGES = 1.8  # a second; the page's upper bound for an ordinary day is 1.76


class Figure(NamedTuple):
    """A measured value, how its point ended, and what the fitted line misses as a share of the mean."""

    value: float
    outcome: str = "measured"
    residual: Optional[float] = None


class Slope(NamedTuple):
    """One line of the table of slopes."""

    key: str
    what: str
    unit: str
    before: Optional[Figure]
    now: Optional[Figure]
    run: str
    used: str

    @property
    def figure(self):
        """What the page reckons with: the program as it is, else as it was before the index of replicas."""
        return self.now or self.before

    @property
    def value(self):
        return self.figure and self.figure.value


def series_of(report, name):
    return next((series for series in report["series"] if series["name"] == name), {"points": []})


def residual(report, series, measure):
    for slope in report["slopes"]:
        if slope["series"] == series and slope["measure"] == measure and slope["line"]:
            return slope["line"]["residual"]
    return None


def point(series, x, *measures, scale=1.0):
    """Reads the sum of the measures at size `x`, times `scale`."""
    def read(report):
        for found in series_of(report, series)["points"]:
            values = found["values"]
            if found["x"] == x and all(measure in values for measure in measures):
                total = sum(values[measure] for measure in measures) * scale
                return Figure(total, found["outcome"], residual(report, series, measures[0]))
        return None
    return read


def ratio(series, measure, large, small):
    """Reads a measure at one size against the same at another."""
    def read(report):
        top, bottom = point(series, large, measure)(report), point(series, small, measure)(report)
        if not top or not bottom or not bottom.value:
            return None
        return Figure(top.value / bottom.value, top.outcome if top.outcome != "measured" else bottom.outcome)
    return read


def line(series, measure, scale):
    """Reads the slope of the line fitted to a series."""
    def read(report):
        for slope in report["slopes"]:
            if slope["series"] == series and slope["measure"] == measure and slope["line"]:
                return Figure(slope["line"]["slope"] * scale, residual=slope["line"]["residual"])
        return None
    return read


def hollow(mixers, entries, way, *path, scale=1.0, over=None):
    """Reads a value of the hollow runs at one size; `over` is the path of what it is divided by."""
    def value(found, path):
        for name in path:
            found = found and found.get(name)
        return found

    def read(report):
        for found in report["points"]:
            if (found["mixers"], found["entries"], found["way"]) == (mixers, entries, way):
                top, bottom = value(found, path), value(found, over) if over else 1
                return Figure(top * scale / bottom, found["outcome"]) if top is not None and bottom else None
        return None
    return read


def steady(mixers, entries, way, name):
    """Reads a value of the hollow runs at about as many changes a second as an ordinary day has."""
    def read(report):
        for found in report["points"]:
            if (found["mixers"], found["entries"], found["way"]) == (mixers, entries, way):
                rates = [rate for rate in found["rates"] if rate["changes_per_second"] == DAYS_CHANGES]
                return Figure(rates[0][name], found["outcome"]) if rates else None
        return None
    return read


def missing(_report):
    return None


QUERY, SAME = "query-of-69-parts-by-servers", "query-of-69-parts-by-servers-same-shards"
OPEN = "query-of-69-parts-by-open-queries"
ONE, ZONE, LIST = "change-of-one-entry-by-servers", "change-of-a-zone-by-servers", "whole-list-by-servers"
LINKS, WAITING = "memory-by-connections", "memory-by-open-queries"
# key, what, unit, how it is read, kind of report, what rests on it
LINES = [
    ("S1", "processor time of a query of 69 parts, 110,000 leaf servers, all shards asked", "us",
     point(QUERY, LEAVES, "query_processor_ns", scale=1e-3), "scale", "a query"),
    ("S2", "the same, the shards of 300 servers asked, so that connections stand", "us",
     point(SAME, LEAVES, "query_processor_ns", scale=1e-3), "scale", "a query, tree"),
    ("S3", "the same with only those 300 listed", "us",
     point(SAME, FEW_LEAVES, "query_processor_ns", scale=1e-3), "scale", "a query, tree"),
    ("S4", "a part at 110,000 leaf servers to one at 300, all shards asked", "ratio",
     ratio(QUERY, "part_processor_ns", LEAVES, FEW_LEAVES), "scale", "a query"),
    ("S5", "the same, the same shards asked", "ratio",
     ratio(SAME, "part_processor_ns", LEAVES, FEW_LEAVES), "scale", "a query"),
    ("S6", "a part with 512 queries open to one with 8", "ratio",
     ratio(OPEN, "part_processor_ns", MOST_OPEN, FEW_OPEN), "scale", "a query"),
    ("S7", "processor time of a delta of one entry, 110,000 leaf servers", "us",
     point(ONE, LEAVES, "change_processor_ns", scale=1e-3), "scale", "control"),
    ("S8", "a changed entry at 110,000 leaf servers to one at 300", "ratio",
     ratio(ONE, "changed_entry_processor_ns", LEAVES, FEW_LEAVES), "scale", "control"),
    ("S9", "processor time of a zone's 7,333 entries in one update", "ms",
     point(ZONE, LEAVES, "change_processor_ns", scale=1e-6), "scale", "lists"),
    ("S10", "bytes of an entry as JSON", "B", point(LIST, LEAVES, "list_bytes", scale=1 / LEAVES), "scale", "lists"),
    ("S11", "processor time of the first snapshot, parsed and applied", "ms",
     point(LIST, LEAVES, "parse_processor_ns", "take_processor_ns", scale=1e-6), "scale", "start"),
    ("S12", "the same, of one that changes nothing", "ms",
     point(LIST, LEAVES, "parse_processor_ns", "retake_processor_ns", scale=1e-6), "scale", "reload"),
    ("S13", "resident memory of an endpoint list of 110,000", "MB",
     point(LIST, LEAVES, "resident_bytes", scale=1e-6), "scale", "memory"),
    ("S14", "peak memory while it is read twice, the program included", "MB",
     point(LIST, LEAVES, "peak_resident_bytes", scale=1e-6), "scale", "memory"),
    ("S15", "memory of a connection in the reducer, buffers aside", "KB",
     line(LINKS, "resident_bytes", 1e-3), "scale", "memory"),
    ("S16", "memory of an open query of 69 parts", "KB", line(WAITING, "resident_bytes", 1e-3), "scale", "memory"),
    ("S17", "processor time of a query of 69 parts over sockets, one real mixer", "us", missing, "none", "a query"),
    ("S18", "an update in force at the last of 4,500 mixers, pushed, 300 listed", "ms",
     hollow(MIXERS, FEW_LEAVES, "pushed", "change", "in_force", "worst_ms"), "hollow", "3 s"),
    ("S19", "processor time of the stand-in discovery for one update and mixer", "us",
     hollow(MIXERS, FEW_LEAVES, "pushed", "change", "cost", "discovery_processor_ms", scale=1e3,
            over=("change", "cost", "change_messages")), "hollow", "discovery"),
    ("S20", "discovery back after 2 s: an update made meanwhile in force at the last of 4,500, pushed", "ms",
     hollow(MIXERS, FEW_LEAVES, "pushed", "back", "step", "in_force", "worst_ms"), "hollow", "discovery"),
    ("S21", "the same, polled", "ms",
     hollow(MIXERS, FEW_LEAVES, "asked", "back", "step", "in_force", "worst_ms"), "hollow", "discovery"),
    ("S22", "all watches silent: an update of that moment in force at the last of 4,500, pushed", "ms",
     hollow(MIXERS, FEW_LEAVES, "pushed", "silence", "in_force", "worst_ms"), "hollow", "3 s"),
    ("S23", "the same, polled", "ms",
     hollow(MIXERS, FEW_LEAVES, "asked", "silence", "in_force", "worst_ms"), "hollow", "3 s"),
    ("S24", "a mixer's control at 1.8 updates a second over sockets, 30,000 listed", "% of a core",
     steady(FEW_MIXERS, 30_000, "asked", "processor_percent_of_a_core_per_mixer"), "hollow", "control"),
    ("S25", "the same, 110,000 listed", "% of a core",
     steady(FEW_MIXERS, LEAVES, "asked", "processor_percent_of_a_core_per_mixer"), "hollow", "control"),
    ("S26", "a zone's 7,333 entries in force at the last of 10 mixers, 110,000 listed", "ms",
     hollow(FEW_MIXERS, LEAVES, "asked", "zone", "step", "in_force", "worst_ms"), "hollow", "3 s"),
    ("S27", "discovery back without its history, snapshots for all 4,500, pushed, 300 listed", "ms",
     hollow(MIXERS, FEW_LEAVES, "pushed", "back_without_history", "step", "in_force", "worst_ms"), "hollow",
     "discovery"),
]
RUNS = {"scale": "`make scale`", "hollow": "`cottonhill-lab hollow`", "none": "none yet"}


def read_all(folder=HERE):
    """All slopes by their key."""
    reports = {}
    for kind, names in REPORTS.items():
        paths = [folder / name for name in names]
        reports[kind] = [json.loads(path.read_text()) if path.exists() else None for path in paths]
    slopes = {}
    for key, what, unit, read, kind, used in LINES:
        before, now = [read(report) if report else None for report in reports.get(kind, (None, None))]
        slopes[key] = Slope(key, what, unit, before, now, RUNS[kind], used)
    return slopes


def machines(folder=HERE):
    """The machine and commit of each report that is there, and the load average that it noted, by file name."""
    found = {}
    for name in (name for names in REPORTS.values() for name in names):
        if (folder / name).exists():
            report = json.loads((folder / name).read_text())
            load = " to ".join(f"{value:g}" for value in report.get("load_average", []))
            found[name] = report["machine"], load or "not noted"
    return found

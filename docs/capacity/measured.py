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
    ("S3", "a part at 110,000 leaf servers to one at 300, all shards asked", "ratio",
     ratio(QUERY, "part_processor_ns", LEAVES, FEW_LEAVES), "scale", "a query"),
    ("S4", "the same, the same shards asked", "ratio",
     ratio(SAME, "part_processor_ns", LEAVES, FEW_LEAVES), "scale", "a query"),
    ("S5", "a part with 512 queries open to one with 8", "ratio",
     ratio(OPEN, "part_processor_ns", MOST_OPEN, FEW_OPEN), "scale", "a query"),
    ("S6", "processor time of a change of one entry, 110,000 leaf servers", "us",
     point(ONE, LEAVES, "change_processor_ns", scale=1e-3), "scale", "control"),
    ("S7", "a changed entry at 110,000 leaf servers to one at 300", "ratio",
     ratio(ONE, "changed_entry_processor_ns", LEAVES, FEW_LEAVES), "scale", "control"),
    ("S8", "processor time of a zone's 7,333 entries in one message", "ms",
     point(ZONE, LEAVES, "change_processor_ns", scale=1e-6), "scale", "lists"),
    ("S9", "bytes of an entry as JSON", "B", point(LIST, LEAVES, "list_bytes", scale=1 / LEAVES), "scale", "lists"),
    ("S10", "processor time of the first whole list, read and taken", "ms",
     point(LIST, LEAVES, "parse_processor_ns", "take_processor_ns", scale=1e-6), "scale", "start"),
    ("S11", "the same, of one that changes nothing", "ms",
     point(LIST, LEAVES, "parse_processor_ns", "retake_processor_ns", scale=1e-6), "scale", "reload"),
    ("S12", "resident memory of the list of 110,000", "MB",
     point(LIST, LEAVES, "resident_bytes", scale=1e-6), "scale", "memory"),
    ("S13", "the most held while it is read, the program included", "MB",
     point(LIST, LEAVES, "peak_resident_bytes", scale=1e-6), "scale", "memory"),
    ("S14", "memory of a connection in the reducer, buffers aside", "KB",
     line(LINKS, "resident_bytes", 1e-3), "scale", "memory"),
    ("S15", "memory of an open query of 69 parts", "KB", line(WAITING, "resident_bytes", 1e-3), "scale", "memory"),
    ("S16", "processor time of a query of 69 parts over sockets, one real mixer", "us", missing, "hollow", "a query"),
    ("S17", "a change at discovery until in force at the last mixer, 99th percentile", "ms", missing, "hollow", "3 s"),
    ("S18", "processor time at discovery of one change for one mixer", "us", missing, "hollow", "discovery"),
    ("S19", "discovery comes back: until the last mixer has its list", "ms", missing, "hollow", "discovery"),
]
RUNS = {"scale": "`make scale`", "hollow": "`make scale`, hollow mixers"}


def read_all(folder=HERE):
    """All slopes by their key."""
    reports = {}
    for kind, names in REPORTS.items():
        paths = [folder / name for name in names]
        reports[kind] = [json.loads(path.read_text()) if path.exists() else None for path in paths]
    slopes = {}
    for key, what, unit, read, kind, used in LINES:
        before, now = [read(report) if report else None for report in reports[kind]]
        slopes[key] = Slope(key, what, unit, before, now, RUNS[kind], used)
    return slopes


def machines(folder=HERE):
    """The machine and commit of each report that is there, by file name."""
    found = {}
    for name in (name for names in REPORTS.values() for name in names):
        if (folder / name).exists():
            found[name] = json.loads((folder / name).read_text())["machine"]
    return found

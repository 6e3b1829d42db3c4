"""The measured slopes of docs/CAPACITY.md, read from the reports of the scale runs beside this file.

A report that is missing, or that has no such point, gives None: the page then says "not known".
"""
import json
from pathlib import Path
from typing import Callable, NamedTuple, Optional

HERE = Path(__file__).resolve().parent
LEAVES = 110_000


class Slope(NamedTuple):
    """One line of the table of slopes."""

    key: str
    what: str
    unit: str
    now: Optional[float]
    before: Optional[float]
    residual: Optional[float]
    run: str
    used: str

    @property
    def value(self):
        """The figure that the page reckons with: of the program as it is, else as it was before the mechanism."""
        return self.before if self.now is None else self.now


def load(name):
    path = HERE / name
    return json.loads(path.read_text()) if path.exists() else None


def point(report, size, measures, x):
    """The sum of `measures` where the series that steps `size` has `x`."""
    for series in (report or {}).get("series", []):
        if size not in (series["name"], series["size"]):
            continue
        for found in series["points"]:
            values = found["values"]
            if found["x"] == x and all(measure in values for measure in measures):
                return sum(values[measure] for measure in measures)
    return None


def ratio(report, size, measure, large, small):
    top, bottom = (point(report, size, [measure], x) for x in (large, small))
    return top / bottom if top is not None and bottom else None


def line(report, size, measure):
    """Slope and residual of the line fitted to a series, or None."""
    names = [s["name"] for s in (report or {}).get("series", []) if size in (s["name"], s["size"])]
    for slope in (report or {}).get("slopes", []):
        if slope["series"] in names and slope["measure"] == measure and slope["line"]:
            return slope["line"]
    return None


def read_all():
    """All slopes by their key."""
    before, now = load("before.json"), load("scale.json")
    hollow_before, hollow = load("hollow-before.json"), load("hollow.json")
    slopes = {}

    def add(key, what, unit, run, used, read: Callable, reports=(now, before), residual=None):
        values = [read(report) if report else None for report in reports]
        found = next((r for r in reports if r and read(r) is not None), None)
        missed = residual(found) if residual and found else None
        slopes[key] = Slope(key, what, unit, values[0], values[1], missed, run, used)

    def at(measures, scale, size="leaf servers", x=LEAVES):
        def read(report):
            value = point(report, size, measures, x)
            return None if value is None else value * scale
        return read

    def residual(measure, size="leaf servers"):
        def read(report):
            fitted = line(report, size, measure)
            return fitted and fitted["residual"]
        return read

    def slope(measure, scale, size):
        def read(report):
            fitted = line(report, size, measure)
            return fitted and fitted["slope"] * scale
        return read

    scale = "`make scale`"
    add("S1", "processor time of a query of 69 parts, 110,000 leaf servers", "us", scale, "mixer",
        at(["query_processor_ns"], 1e-3), residual=residual("query_processor_ns"))
    add("S2", "the same for each part", "us", scale, "mixer, tree", at(["part_processor_ns"], 1e-3))
    add("S3", "a part at 110,000 leaf servers to one at 300", "ratio", scale, "mixer",
        lambda r: ratio(r, "leaf servers", "part_processor_ns", LEAVES, 300))
    add("S4", "a part at 512 open queries to one at 8", "ratio", scale, "mixer",
        lambda r: ratio(r, "open queries", "part_processor_ns", 512, 8))
    add("S5", "processor time of one changed entry, 110,000 leaf servers", "us", scale, "control",
        at(["changed_entry_processor_ns"], 1e-3), residual=residual("changed_entry_processor_ns"))
    add("S6", "a changed entry at 110,000 leaf servers to one at 300", "ratio", scale, "control",
        lambda r: ratio(r, "leaf servers", "changed_entry_processor_ns", LEAVES, 300))
    add("S7", "bytes of an entry as JSON", "B", scale, "lists", at(["list_bytes"], 1 / LEAVES),
        residual=residual("list_bytes"))
    add("S8", "processor time of a whole list, read and taken", "ms", scale, "lists, reload",
        at(["parse_processor_ns", "take_processor_ns"], 1e-6), residual=residual("take_processor_ns"))
    add("S9", "resident memory of the list of 110,000", "MB", scale, "control", at(["resident_bytes"], 1e-6),
        residual=residual("resident_bytes"))
    add("S10", "the most held meanwhile, program and reading included", "MB", scale, "control",
        at(["peak_resident_bytes"], 1e-6))
    add("S11", "resident memory of a connection to a leaf server", "KB", scale, "mixer",
        slope("resident_bytes", 1e-3, "connections"), residual=residual("resident_bytes", "connections"))
    add("S12", "resident memory of an open query of 69 parts", "KB", scale, "mixer",
        slope("resident_bytes", 1e-3, "open queries"), residual=residual("resident_bytes", "open queries"))
    hollow_run = "hollow mixers, `make scale`"
    both = (hollow, hollow_before)
    add("S13", "processor time of a query of 69 parts over sockets, one real mixer", "us", hollow_run, "mixer",
        lambda r: None, both)
    add("S14", "a change at discovery until in force at the last mixer, p99", "ms", hollow_run, "3 s",
        lambda r: None, both)
    add("S15", "processor time at discovery of one change to one mixer", "us", hollow_run, "discovery",
        lambda r: None, both)
    add("S16", "all mixers come back: until the last has its list", "ms", hollow_run, "discovery",
        lambda r: None, both)
    return slopes

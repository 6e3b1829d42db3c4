//! One point of a series, measured in a process of its own.

use super::driver::{Counts, Driver, Workload};
use super::fleet::{EndpointStatus, Fleet};
use super::watch::{read_whole, ReadList, Unmeasured};
use crate::fit::median;
use crate::meter::{peak_resident_bytes, resident_bytes, Stopwatch};
use crate::report::{Measure, Outcome, Values};
use cottonhill_mixer::protocol::endpoint_updates;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Of the time of a point, the share that queries before the measured ones may take once so many are open as shall be.
const WARM_SHARE: u32 = 4;
/// A point is measured in so many slices, and the middle one counts: what else runs on the machine for a while, and
/// takes its caches, moves some of them alone.
const SLICES: u32 = 8;

/// What is measured at a point.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Processor time of queries, after `warm` ones that are not measured.
    Queries {
        workload: Workload,
        warm: u64,
        queries: u64,
    },
    /// Processor time and bytes of messages that change `entries` entries each.
    Changes { entries: u64, messages: u64 },
    /// Bytes, processor time and resident memory of the whole list.
    List,
    /// Resident memory of the connections that `queries` queries over `workload.shards` shards open.
    Connections { workload: Workload, queries: u64 },
    /// Resident memory of `workload.open` queries that wait, after `warm` ones that ended.
    OpenQueries { workload: Workload, warm: u64 },
}

/// Everything that the process of a point has to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    pub fleet: Fleet,
    /// Seed of the mixer's decisions.
    pub seed: u64,
    pub work: Work,
    /// Time after which its work is cut, in milliseconds.
    pub time_ms: u64,
}

/// What the process of a point writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub outcome: Outcome,
    /// Why it was cut, refused or failed; empty for one that was measured.
    pub note: String,
    pub values: Values,
}

impl Sample {
    fn measured(values: Values) -> Sample {
        Sample {
            outcome: Outcome::Measured,
            note: String::new(),
            values,
        }
    }

    /// A sample of a point that failed.
    pub fn failed(why: impl ToString) -> Sample {
        Sample {
            outcome: Outcome::Failed,
            note: why.to_string(),
            values: Values::new(),
        }
    }

    /// A sample of a size whose list the watch does not let in.
    fn refused(bytes: usize, why: &str) -> Sample {
        let note = format!("refused: over the bound ({why})");
        Sample {
            outcome: Outcome::Refused,
            note,
            values: Values::from([(Measure::ListBytes, bytes as f64)]),
        }
    }

    fn cut(self, note: String) -> Sample {
        Sample {
            outcome: Outcome::Cut,
            note,
            ..self
        }
    }
}

/// Measures one point in this process.
pub fn measure(spec: &Spec) -> Sample {
    let sample = match &spec.work {
        Work::List => list(spec),
        Work::Queries {
            workload,
            warm,
            queries,
        } => run_queries(spec, workload, *warm, *queries),
        Work::Changes { entries, messages } => changes(spec, *entries, *messages),
        Work::Connections { workload, queries } => connections(spec, workload, *queries),
        Work::OpenQueries { workload, warm } => open_queries(spec, workload, *warm),
    };
    sample.unwrap_or_else(|unmeasured| match unmeasured {
        Unmeasured::Refused { bytes, why } => Sample::refused(bytes, &why),
        Unmeasured::Failed(why) => Sample::failed(why),
    })
}

/// A mixer with its list in force.
fn mixer(spec: &Spec) -> Result<Driver, Unmeasured> {
    let mut driver = Driver::new(spec.fleet, spec.seed)?;
    driver.take(read_whole(spec.fleet, 1)?.listing);
    Ok(driver)
}

fn deadline(spec: &Spec) -> Instant {
    Instant::now() + Duration::from_millis(spec.time_ms)
}

fn shards(spec: &Spec, workload: &Workload) -> u64 {
    workload.shards.min(spec.fleet.shards())
}

/// Runs queries that are not measured: as many as shall be open, and further ones for a share of the time.
fn warm_up(driver: &mut Driver, spec: &Spec, workload: &Workload, queries: u64) {
    let shards = shards(spec, workload);
    driver.run(
        workload,
        shards,
        workload.open,
        deadline(spec) + Duration::from_millis(spec.time_ms),
    );
    let until = Instant::now() + Duration::from_millis(spec.time_ms) / WARM_SHARE;
    driver.run(
        workload,
        shards,
        queries.saturating_sub(workload.open),
        until,
    );
}

fn list(spec: &Spec) -> Result<Sample, Unmeasured> {
    let mut driver = Driver::new(spec.fleet, spec.seed)?;
    let before = resident_bytes();
    let ReadList {
        listing,
        bytes,
        processor_ns,
    } = read_whole(spec.fleet, 1)?;
    let watch = Stopwatch::start();
    driver.take(listing);
    let take_ns = watch.nanos();
    let held = resident_bytes().saturating_sub(before);
    let first_peak = peak_resident_bytes();
    let again = read_whole(spec.fleet, 2)?.listing;
    let watch = Stopwatch::start();
    driver.take(again);
    let values = Values::from([
        (Measure::ListBytes, bytes as f64),
        (Measure::ParseProcessorNs, processor_ns),
        (Measure::TakeProcessorNs, take_ns),
        (Measure::RetakeProcessorNs, watch.nanos()),
        (Measure::ResidentBytes, held as f64),
        (Measure::FirstPeakResidentBytes, first_peak as f64),
        (Measure::PeakResidentBytes, peak_resident_bytes() as f64),
    ]);
    Ok(Sample::measured(values))
}

fn run_queries(
    spec: &Spec,
    workload: &Workload,
    warm: u64,
    queries: u64,
) -> Result<Sample, Unmeasured> {
    let mut driver = mixer(spec)?;
    driver.connect_clients(workload);
    warm_up(&mut driver, spec, workload, warm);
    let (before, until) = (driver.counts(), deadline(spec));
    let mut costs = Vec::new();
    for slice in 0..u64::from(SLICES) {
        let due = queries * (slice + 1) / u64::from(SLICES) - queries * slice / u64::from(SLICES);
        costs.extend(slice_cost(&mut driver, spec, workload, due, until));
    }
    let all = driver.counts().asked - before.asked == queries;
    let ended = since(before, driver.counts()).ended();
    if all {
        driver.drain(deadline(spec));
    }
    let mut values = counted(driver.counts());
    values.insert(Measure::QueriesMeasured, ended as f64);
    if let Some(cost) = median(costs) {
        values.insert(Measure::QueryProcessorNs, cost);
        values.insert(Measure::PartProcessorNs, cost / workload.parts as f64);
    }
    let unanswered = driver.counts().unanswered();
    let sample = Sample::measured(values);
    Ok(match (all, unanswered) {
        (true, 0) => sample,
        (true, _) => Sample::failed(format!("{unanswered} queries were never answered")),
        (false, _) => sample.cut(format!("cut after {ended} queries")),
    })
}

/// Processor time of the reducer a query, over `queries` queries or a slice of the time; none if none ended.
fn slice_cost(
    driver: &mut Driver,
    spec: &Spec,
    workload: &Workload,
    queries: u64,
    until: Instant,
) -> Option<f64> {
    let until = until.min(Instant::now() + Duration::from_millis(spec.time_ms) / SLICES);
    let before = (driver.counts(), driver.reducer_ns());
    driver.run(workload, shards(spec, workload), queries, until);
    let ended = since(before.0, driver.counts()).ended();
    (ended > 0).then(|| (driver.reducer_ns() - before.1) / ended as f64)
}

/// What came to pass after `before`.
fn since(before: Counts, after: Counts) -> Counts {
    Counts {
        asked: after.asked - before.asked,
        answered: after.answered - before.answered,
        refused: after.refused - before.refused,
        twice: after.twice,
        attempts: after.attempts - before.attempts,
        calls: after.calls - before.calls,
        connections: after.connections - before.connections,
        turns: after.turns - before.turns,
    }
}

fn counted(counts: Counts) -> Values {
    Values::from([
        (Measure::QueriesAsked, counts.asked as f64),
        (Measure::QueriesAnswered, counts.answered as f64),
        (Measure::QueriesRefused, counts.refused as f64),
        (Measure::QueriesUnanswered, counts.unanswered() as f64),
        (Measure::RepliesTwice, counts.twice as f64),
        (Measure::Attempts, counts.attempts as f64),
        (Measure::Calls, counts.calls as f64),
        (Measure::Connections, counts.connections as f64),
        (Measure::Turns, counts.turns as f64),
    ])
}

fn changes(spec: &Spec, entries: u64, messages: u64) -> Result<Sample, Unmeasured> {
    let mut driver = mixer(spec)?;
    let until = deadline(spec);
    let (mut costs, mut bytes, mut done) = (Vec::new(), 0, 0);
    while done < messages && Instant::now() < until {
        // Each pair of messages takes the same leaf servers out and brings them back.
        let standing = if done % 2 == 0 {
            EndpointStatus::Draining
        } else {
            EndpointStatus::Up
        };
        let text = spec
            .fleet
            .change(done + 2, done / 2 * entries, entries, standing);
        bytes += text.len();
        let watch = Stopwatch::start();
        driver.take(
            endpoint_updates::parse(text.as_bytes())
                .map_err(|why| why.to_string())?
                .ok_or("an empty change")?,
        );
        costs.push(watch.nanos());
        done += 1;
    }
    // Whole pairs in each slice, and enough that work put off for a few messages shows.
    let slice = costs
        .len()
        .div_ceil(SLICES as usize)
        .next_multiple_of(2)
        .max(2);
    let mean = |costs: &[f64]| costs.iter().sum::<f64>() / costs.len() as f64;
    let cost =
        median(costs.chunks(slice).map(mean).collect()).ok_or("no change was taken in time")?;
    if driver.list_version() != done + 1 {
        return Err(format!(
            "version {} in force after {done} changes",
            driver.list_version()
        )
        .into());
    }
    let values = Values::from([
        (Measure::ChangeMessages, done as f64),
        (Measure::ChangeBytes, bytes as f64 / done as f64),
        (Measure::ChangeProcessorNs, cost),
        (Measure::ChangedEntryProcessorNs, cost / entries as f64),
    ]);
    let sample = Sample::measured(values);
    Ok(if done == messages {
        sample
    } else {
        sample.cut(format!("cut after {done} messages"))
    })
}

fn connections(spec: &Spec, workload: &Workload, queries: u64) -> Result<Sample, Unmeasured> {
    let mut driver = mixer(spec)?;
    driver.connect_clients(workload);
    let before = resident_bytes();
    let all = driver.run(workload, shards(spec, workload), queries, deadline(spec));
    driver.drain(deadline(spec));
    let mut values = counted(driver.counts());
    values.insert(
        Measure::ResidentBytes,
        resident_bytes().saturating_sub(before) as f64,
    );
    let sample = Sample::measured(values);
    let ended = driver.counts().ended();
    Ok(if all {
        sample
    } else {
        sample.cut(format!("cut after {ended} queries"))
    })
}

fn open_queries(spec: &Spec, workload: &Workload, warm: u64) -> Result<Sample, Unmeasured> {
    let mut driver = mixer(spec)?;
    // The connections stand before the queries that are measured, and few queries open them.
    let few = Workload {
        open: workload.open.min(8),
        ..*workload
    };
    driver.connect_clients(&few);
    warm_up(&mut driver, spec, &few, warm);
    driver.drain(deadline(spec));
    driver.connect_clients(workload);
    driver.silence();
    let before = (driver.counts(), resident_bytes());
    driver.open_all(workload, shards(spec, workload));
    let opened = since(before.0, driver.counts());
    let mut values = counted(opened);
    values.insert(
        Measure::ResidentBytes,
        resident_bytes().saturating_sub(before.1) as f64,
    );
    let sample = Sample::measured(values);
    let unanswered = opened.unanswered();
    Ok(if unanswered == workload.open {
        sample
    } else {
        sample.cut(format!("{unanswered} queries stayed open"))
    })
}

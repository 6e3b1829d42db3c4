//! Measures one point of a series, in a process of its own.

use super::driver::{Counts, Driver, Workload};
use super::fleet::{EndpointStatus, Fleet};
use super::watch::{read_snapshot, PointError, ReadSnapshot};
use crate::fit::median;
use crate::meter::{peak_resident_bytes, resident_bytes, ProcessorTimer};
use crate::report::{Measure, Outcome, Values};
use cottonhill_mixer::protocol::endpoint_updates;
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Once the warm-up has opened the intended number of queries, its further queries may take the point's time limit
/// divided by this number.
const WARM_UP_TIME_DIVISOR: u32 = 4;
/// Number of slices of a point. The result is their median, so that other work on the machine, which competes for time
/// and caches for a while, distorts only some of the slices.
const SLICES: u32 = 8;

/// What is measured at a point.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Processor time of queries, after `warm_up` queries that are not measured.
    Queries {
        workload: Workload,
        #[serde(rename = "warm")]
        warm_up: u64,
        queries: u64,
    },
    /// Processor time and bytes of change messages with `entries` entries each.
    Changes { entries: u64, messages: u64 },
    /// Bytes, processor time and resident memory of the snapshot of the endpoint list.
    List,
    /// Resident memory of the connections that `queries` queries over `workload.shards` shards open.
    Connections { workload: Workload, queries: u64 },
    /// Resident memory of `workload.open_queries` open queries, after `warm_up` queries that have ended.
    OpenQueries {
        workload: Workload,
        #[serde(rename = "warm")]
        warm_up: u64,
    },
}

/// The specification of a point, as passed to its process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    pub fleet: Fleet,
    /// Seed of the mixer's decisions.
    pub seed: u64,
    pub work: Work,
    /// Time after which the work of the point is cut, in milliseconds.
    #[serde(rename = "time_ms")]
    pub time_limit_ms: u64,
}

/// The result that the process of a point writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    pub outcome: Outcome,
    /// Why the point was cut, refused or failed; empty for a measured one.
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

    /// The sample of a failed point.
    pub fn failed(reason: impl ToString) -> Sample {
        Sample {
            outcome: Outcome::Failed,
            note: reason.to_string(),
            values: Values::new(),
        }
    }

    /// The sample of a size whose snapshot exceeds the size limit of the watch.
    fn refused(bytes: usize, reason: &str) -> Sample {
        let note = format!("refused: over the bound ({reason})");
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
            warm_up,
            queries,
        } => run_queries(spec, workload, *warm_up, *queries),
        Work::Changes { entries, messages } => changes(spec, *entries, *messages),
        Work::Connections { workload, queries } => connections(spec, workload, *queries),
        Work::OpenQueries { workload, warm_up } => open_queries(spec, workload, *warm_up),
    };
    sample.unwrap_or_else(|error| match error {
        PointError::Refused { bytes, reason } => Sample::refused(bytes, &reason),
        PointError::Failed(reason) => Sample::failed(reason),
    })
}

/// A mixer with its endpoint list in force.
fn mixer(spec: &Spec) -> Result<Driver, PointError> {
    let mut driver = Driver::new(spec.fleet, spec.seed)?;
    driver.apply_update(read_snapshot(spec.fleet, 1)?.update);
    Ok(driver)
}

fn deadline(spec: &Spec) -> Instant {
    Instant::now() + Duration::from_millis(spec.time_limit_ms)
}

fn shards(spec: &Spec, workload: &Workload) -> u64 {
    workload.shards.min(spec.fleet.shards())
}

/// Runs queries that are not measured: first the number that is to be open, then up to `queries` in all while the
/// warm-up time lasts.
fn run_warm_up(driver: &mut Driver, spec: &Spec, workload: &Workload, queries: u64) {
    let shards = shards(spec, workload);
    driver.run(
        workload,
        shards,
        workload.open_queries,
        deadline(spec) + Duration::from_millis(spec.time_limit_ms),
    );
    let until = Instant::now() + Duration::from_millis(spec.time_limit_ms) / WARM_UP_TIME_DIVISOR;
    driver.run(
        workload,
        shards,
        queries.saturating_sub(workload.open_queries),
        until,
    );
}

fn list(spec: &Spec) -> Result<Sample, PointError> {
    let mut driver = Driver::new(spec.fleet, spec.seed)?;
    let before = resident_bytes();
    let ReadSnapshot {
        update,
        bytes,
        processor_ns,
    } = read_snapshot(spec.fleet, 1)?;
    let timer = ProcessorTimer::start();
    driver.apply_update(update);
    let apply_ns = timer.elapsed_ns();
    let added_bytes = resident_bytes().saturating_sub(before);
    let first_peak_bytes = peak_resident_bytes();
    let same_entries = read_snapshot(spec.fleet, 2)?.update;
    let timer = ProcessorTimer::start();
    driver.apply_update(same_entries);
    let values = Values::from([
        (Measure::ListBytes, bytes as f64),
        (Measure::ParseProcessorNs, processor_ns),
        (Measure::ApplyProcessorNs, apply_ns),
        (Measure::ReapplyProcessorNs, timer.elapsed_ns()),
        (Measure::ResidentBytes, added_bytes as f64),
        (Measure::FirstPeakResidentBytes, first_peak_bytes as f64),
        (Measure::PeakResidentBytes, peak_resident_bytes() as f64),
    ]);
    Ok(Sample::measured(values))
}

fn run_queries(
    spec: &Spec,
    workload: &Workload,
    warm_up: u64,
    queries: u64,
) -> Result<Sample, PointError> {
    let mut driver = mixer(spec)?;
    driver.connect_clients(workload);
    run_warm_up(&mut driver, spec, workload, warm_up);
    let (before, until) = (driver.counts(), deadline(spec));
    let mut costs = Vec::new();
    for slice in 0..u64::from(SLICES) {
        let slice_queries =
            queries * (slice + 1) / u64::from(SLICES) - queries * slice / u64::from(SLICES);
        costs.extend(slice_cost(
            &mut driver,
            spec,
            workload,
            slice_queries,
            until,
        ));
    }
    let complete = driver.counts().sent - before.sent == queries;
    let ended = since(before, driver.counts()).ended();
    if complete {
        driver.drain(deadline(spec));
    }
    let mut values = count_values(driver.counts());
    values.insert(Measure::QueriesMeasured, ended as f64);
    if let Some(cost) = median(costs) {
        values.insert(Measure::QueryProcessorNs, cost);
        values.insert(Measure::PartProcessorNs, cost / workload.parts as f64);
    }
    let unanswered = driver.counts().unanswered();
    let sample = Sample::measured(values);
    Ok(match (complete, unanswered) {
        (true, 0) => sample,
        (true, _) => Sample::failed(format!("{unanswered} queries got no reply")),
        (false, _) => sample.cut(format!("cut after {ended} queries")),
    })
}

/// Processor time of the reducer per query, over `queries` queries or one slice of the time limit; `None` if no query
/// ended.
fn slice_cost(
    driver: &mut Driver,
    spec: &Spec,
    workload: &Workload,
    queries: u64,
    until: Instant,
) -> Option<f64> {
    let until = until.min(Instant::now() + Duration::from_millis(spec.time_limit_ms) / SLICES);
    let before = (driver.counts(), driver.reducer_ns());
    driver.run(workload, shards(spec, workload), queries, until);
    let ended = since(before.0, driver.counts()).ended();
    (ended > 0).then(|| (driver.reducer_ns() - before.1) / ended as f64)
}

/// The counts since `before`. Duplicate replies are those since the start.
fn since(before: Counts, after: Counts) -> Counts {
    Counts {
        sent: after.sent - before.sent,
        answered: after.answered - before.answered,
        refused: after.refused - before.refused,
        duplicate_replies: after.duplicate_replies,
        attempts: after.attempts - before.attempts,
        calls: after.calls - before.calls,
        connections: after.connections - before.connections,
        batches: after.batches - before.batches,
    }
}

fn count_values(counts: Counts) -> Values {
    Values::from([
        (Measure::QueriesSent, counts.sent as f64),
        (Measure::QueriesAnswered, counts.answered as f64),
        (Measure::QueriesRefused, counts.refused as f64),
        (Measure::QueriesUnanswered, counts.unanswered() as f64),
        (Measure::DuplicateReplies, counts.duplicate_replies as f64),
        (Measure::Attempts, counts.attempts as f64),
        (Measure::Calls, counts.calls as f64),
        (Measure::Connections, counts.connections as f64),
        (Measure::Batches, counts.batches as f64),
    ])
}

fn changes(spec: &Spec, entries: u64, messages: u64) -> Result<Sample, PointError> {
    let mut driver = mixer(spec)?;
    let until = deadline(spec);
    let (mut costs, mut bytes, mut applied) = (Vec::new(), 0, 0);
    while applied < messages && Instant::now() < until {
        // Each pair of messages drains the same leaf servers and returns them to service.
        let status = if applied % 2 == 0 {
            EndpointStatus::Draining
        } else {
            EndpointStatus::Up
        };
        let text = spec
            .fleet
            .change(applied + 2, applied / 2 * entries, entries, status);
        bytes += text.len();
        let timer = ProcessorTimer::start();
        driver.apply_update(
            endpoint_updates::parse(text.as_bytes())
                .map_err(|error| error.to_string())?
                .ok_or("the change message has no entries")?,
        );
        costs.push(timer.elapsed_ns());
        applied += 1;
    }
    // Each slice consists of complete pairs, and of enough messages to include work deferred over a few of them.
    let slice = costs
        .len()
        .div_ceil(SLICES as usize)
        .next_multiple_of(2)
        .max(2);
    let mean = |costs: &[f64]| costs.iter().sum::<f64>() / costs.len() as f64;
    let cost = median(costs.chunks(slice).map(mean).collect())
        .ok_or("no change message was applied within the time limit")?;
    if driver.list_version() != applied + 1 {
        return Err(format!(
            "version {} of the endpoint list in force after {applied} change messages",
            driver.list_version()
        )
        .into());
    }
    let values = Values::from([
        (Measure::ChangeMessages, applied as f64),
        (Measure::ChangeBytes, bytes as f64 / applied as f64),
        (Measure::ChangeProcessorNs, cost),
        (Measure::ChangedEntryProcessorNs, cost / entries as f64),
    ]);
    let sample = Sample::measured(values);
    Ok(if applied == messages {
        sample
    } else {
        sample.cut(format!("cut after {applied} messages"))
    })
}

fn connections(spec: &Spec, workload: &Workload, queries: u64) -> Result<Sample, PointError> {
    let mut driver = mixer(spec)?;
    driver.connect_clients(workload);
    let before = resident_bytes();
    let complete = driver.run(workload, shards(spec, workload), queries, deadline(spec));
    driver.drain(deadline(spec));
    let mut values = count_values(driver.counts());
    values.insert(
        Measure::ResidentBytes,
        resident_bytes().saturating_sub(before) as f64,
    );
    let sample = Sample::measured(values);
    let ended = driver.counts().ended();
    Ok(if complete {
        sample
    } else {
        sample.cut(format!("cut after {ended} queries"))
    })
}

fn open_queries(spec: &Spec, workload: &Workload, warm_up: u64) -> Result<Sample, PointError> {
    let mut driver = mixer(spec)?;
    // The warm-up opens the connections before the measurement, with few queries at the same time.
    let few_open = Workload {
        open_queries: workload.open_queries.min(8),
        ..*workload
    };
    driver.connect_clients(&few_open);
    run_warm_up(&mut driver, spec, &few_open, warm_up);
    driver.drain(deadline(spec));
    driver.connect_clients(workload);
    driver.stop_answering();
    let before = (driver.counts(), resident_bytes());
    driver.send_on_all_clients(workload, shards(spec, workload));
    let opened = since(before.0, driver.counts());
    let mut values = count_values(opened);
    values.insert(
        Measure::ResidentBytes,
        resident_bytes().saturating_sub(before.1) as f64,
    );
    let sample = Sample::measured(values);
    let unanswered = opened.unanswered();
    Ok(if unanswered == workload.open_queries {
        sample
    } else {
        sample.cut(format!("{unanswered} queries stayed open"))
    })
}

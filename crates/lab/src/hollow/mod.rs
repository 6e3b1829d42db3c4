//! Hollow mixers over sockets: many mixers without clients in one process. Each has the discovery watch, endpoint list
//! and reducer of a mixer, and a connection of its own to the stand-in discovery. Hollow leaf servers are entries of
//! the list without a process.
//!
//! One size is varied at a time. Each size runs in a process of its own, with limits on memory, descriptors and time; a
//! size over a limit is reported as not run.

mod fleet;
mod mixer;
mod progress;
mod report;
mod servers;
pub mod settings;
mod steps;
pub mod tables;
mod thread;

pub use report::{
    Cost, DelayStats, HollowPoint, HollowReport, OutageStep, RateStep, Step, ZoneStep,
};
pub use settings::{DiscoveryMode, HollowSettings, HOLLOW};

use crate::machine::Machine;
use crate::meter::{peak_resident_bytes, resident_bytes};
use crate::report::Outcome;
use crate::scale::child;
use crate::Failure;
use fleet::{block_on, Fleet};
use rustix::process::{getrlimit, Resource};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// The expected memory of a point is limited to the smaller of the machine's total and available memory, divided by
/// this number.
const MEMORY_DIVISOR: u64 = 2;
/// Expected memory of a mixer without its endpoint list, in bytes.
const MIXER_BYTES: u64 = 256 * 1024;
/// Expected memory of an entry in each mixer, in bytes, including a list that is being read.
const ENTRY_BYTES: u64 = 2_500;
/// Descriptors per mixer in this process: both ends of its connection to discovery, and a second pair while a new
/// connection replaces the old one.
const MIXER_DESCRIPTORS: u64 = 4;
/// Descriptors of the process besides those of the mixers.
const OWN_DESCRIPTORS: u64 = 64;

/// Number of discovery outages at one size.
const OUTAGES: u32 = 2;
/// Steps with a time limit besides the steady rates: the start, the watch after it, changes, a zone, two outages,
/// silence, and one in reserve.
const OTHER_STEPS: u32 = 8;

/// The resource limits of this machine and process.
#[derive(Clone, Copy, Debug)]
struct Limits {
    memory_bytes: u64,
    descriptors: u64,
}

impl Limits {
    fn read() -> Limits {
        let memory = ["MemTotal", "MemAvailable"].map(memory_bytes);
        let memory_bytes = memory[0].min(memory[1]) / MEMORY_DIVISOR;
        Limits {
            memory_bytes,
            descriptors: getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX),
        }
    }

    /// Why a point of this size exceeds a limit; `None` if it does not.
    fn exceeded(&self, mixers: u64, entries: u64) -> Option<String> {
        let memory = mixers * (MIXER_BYTES + entries * ENTRY_BYTES);
        if memory > self.memory_bytes {
            let (memory, limit) = (memory >> 20, self.memory_bytes >> 20);
            return Some(format!(
                "{memory} MiB of memory expected, the limit is {limit} MiB"
            ));
        }
        let descriptors = mixers * MIXER_DESCRIPTORS + OWN_DESCRIPTORS;
        let soft = self.descriptors;
        (descriptors > soft)
            .then(|| format!("{descriptors} descriptors expected, the soft limit is {soft}"))
    }
}

/// A value of `/proc/meminfo` in bytes; 0 if it is missing.
fn memory_bytes(name: &str) -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let kib = line.and_then(|line| {
        line.trim()
            .trim_end_matches("kB")
            .trim()
            .parse::<u64>()
            .ok()
    });
    kib.unwrap_or_default() * 1024
}

/// The one-minute load average; 0 if it is unavailable.
fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|load| load.parse().ok())
        .unwrap_or_default()
}

/// The specification of one size, as passed to its process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PointSpec {
    pub mixers: u64,
    pub entries: u64,
    #[serde(rename = "way")]
    pub mode: DiscoveryMode,
    pub settings: HollowSettings,
}

/// Measures every size of the settings in turn, each in a new process of `program`.
///
/// # Errors
/// The settings cannot be written as JSON for such a process.
pub fn run(program: &Path, settings: &HollowSettings) -> Result<HollowReport, Failure> {
    let (started_at, limits, load) = (Instant::now(), Limits::read(), load_average());
    let machine = Machine::read();
    let mut points: Vec<HollowPoint> = Vec::new();
    for (mixers, entries, mode) in sizes(settings) {
        let mut settings = settings.clone();
        if Some(&mode) != settings.modes.first() {
            // The cost of a steady rate does not depend on the discovery mode.
            settings.rates.clear();
        }
        let point = measure_in_process(
            program,
            &PointSpec {
                mixers,
                entries,
                mode,
                settings,
            },
        )?;
        tracing::info!(mixers, entries, %mode, outcome = ?point.outcome, note = point.note, "point finished");
        points.push(point);
    }
    Ok(HollowReport {
        machine,
        load_average: [load, load_average()],
        memory_bound_bytes: limits.memory_bytes,
        descriptors: limits.descriptors,
        wall_seconds: started_at.elapsed().as_secs_f64(),
        points,
    })
}

fn measure_in_process(program: &Path, spec: &PointSpec) -> Result<HollowPoint, Failure> {
    let mut command = Command::new(program);
    command
        .arg("hollow-point")
        .arg(serde_json::to_string(spec).map_err(Failure::running)?);
    let PointSpec {
        mixers,
        entries,
        mode,
        ..
    } = *spec;
    let failed = |reason| {
        HollowPoint::empty(
            mixers,
            entries,
            mode,
            Outcome::Failed,
            format!("failed: {reason}"),
        )
    };
    Ok(child::run_for_json(command, time_limit(&spec.settings)).unwrap_or_else(failed))
}

/// The time limit of a size's process: the sum of the time limits of its steps, with one in reserve.
fn time_limit(settings: &HollowSettings) -> Duration {
    let HollowSettings {
        rate_duration,
        idle_time,
        outage_time,
        step_timeout,
        ..
    } = settings;
    let rates = settings.rates.len() as u32;
    *rate_duration * rates
        + *idle_time
        + *outage_time * OUTAGES
        + *step_timeout * (OTHER_STEPS + rates)
}

/// All sizes for the first discovery mode; for other modes only the numbers of mixers, because the size of the list
/// makes no difference there.
fn sizes(settings: &HollowSettings) -> Vec<(u64, u64, DiscoveryMode)> {
    let mut sizes = Vec::new();
    for (index, mode) in settings.modes.iter().enumerate() {
        sizes.extend(
            settings
                .mixers
                .iter()
                .map(|mixers| (*mixers, settings.base_entries, *mode)),
        );
        if index == 0 {
            sizes.extend(
                settings
                    .entries
                    .iter()
                    .map(|entries| (settings.base_mixers, *entries, *mode)),
            );
        }
    }
    let mut seen = HashSet::new();
    sizes.retain(|size| seen.insert(*size));
    sizes
}

/// Runs all steps at one size in this process, unless the size exceeds a limit of the machine.
///
/// # Errors
/// A thread, runtime or port is not available.
pub fn measure(spec: &PointSpec) -> Result<HollowPoint, Failure> {
    let PointSpec {
        mixers,
        entries,
        mode,
        ref settings,
    } = *spec;
    if let Some(reason) = Limits::read().exceeded(mixers, entries) {
        return Ok(HollowPoint::empty(
            mixers,
            entries,
            mode,
            Outcome::Failed,
            format!("not run: {reason}"),
        ));
    }
    let started_at = Instant::now();
    let fleet = Fleet::start(mixers, settings.threads, mode, servers::list(entries))?;
    block_on(all_steps(fleet, started_at, entries, mode, settings))
}

async fn all_steps(
    mut fleet: Fleet,
    started_at: Instant,
    entries: u64,
    mode: DiscoveryMode,
    settings: &HollowSettings,
) -> HollowPoint {
    let mut point = HollowPoint::empty(
        fleet.mixers,
        entries,
        mode,
        Outcome::Measured,
        String::new(),
    );
    let (start, list_refused) = steps::start(&fleet, started_at, settings.step_timeout).await;
    point.start = Some(start);
    if list_refused {
        let Cost {
            snapshot_messages,
            bytes_per_snapshot_message,
            ..
        } = start.cost;
        point.outcome = Outcome::Refused;
        point.note = format!(
            "refused: no mixer accepts the endpoint list of {bytes_per_snapshot_message:.0} bytes, \
             sent {snapshot_messages} times"
        );
        return point;
    }
    if start.lagging_mixers > 0 {
        return cut(point, "the start");
    }
    point.idle = Some(steps::idle(&fleet, settings.idle_time).await);
    (point.resident_bytes, point.peak_resident_bytes) = (resident_bytes(), peak_resident_bytes());
    point.change = Some(steps::changes(&mut fleet, entries, settings).await);
    for rate in &settings.rates {
        point
            .rates
            .push(steps::rate(&mut fleet, entries, *rate, settings).await);
    }
    point.zone = Some(steps::zone(&mut fleet, entries, settings).await);
    point.outage = Some(steps::outage(&mut fleet, entries, true, settings).await);
    point.outage_without_history = Some(steps::outage(&mut fleet, entries, false, settings).await);
    point.silence = Some(steps::silence(&mut fleet, entries, settings.step_timeout).await);
    match lagging(&point) {
        Some(step) => cut(point, step),
        None => point,
    }
}

/// The first step that ended with mixers lagging.
fn lagging(point: &HollowPoint) -> Option<&'static str> {
    let rates = point.rates.iter().map(|rate| ("a steady rate", rate.step));
    let steps = point
        .change
        .map(|step| ("single changes", step))
        .into_iter()
        .chain(rates);
    let steps = steps.chain(point.zone.map(|zone| ("the change of a zone", zone.step)));
    let steps = steps.chain(
        point
            .outage
            .map(|outage| ("the return of discovery", outage.step)),
    );
    let without_history = point
        .outage_without_history
        .map(|outage| ("the return of discovery without history", outage.step));
    let steps = steps.chain(without_history);
    let mut steps = steps.chain(point.silence.map(|step| ("the silence of discovery", step)));
    steps
        .find(|(_, step)| step.lagging_mixers > 0)
        .map(|(name, _)| name)
}

fn cut(point: HollowPoint, step: &str) -> HollowPoint {
    HollowPoint {
        outcome: Outcome::Cut,
        note: format!("cut: mixers lag after {step}"),
        ..point
    }
}

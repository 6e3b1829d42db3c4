//! The steps at one size. The cost of a step is the difference of two readings of the counters of discovery and mixers.

use super::fleet::{wait_until, Fleet};
use super::report::{Cost, DelayStats, OutageStep, RateStep, Step, ZoneStep};
use super::servers::{entry, restarted};
use super::settings::HollowSettings;
use cottonhill_standins::discovery::{Traffic, Version};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval at which the versions of the mixers are checked. It does not affect the delays, which each mixer measures
/// itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Window for the peak numbers of connections and calls after an outage.
const PEAK_WINDOW: Duration = Duration::from_millis(100);
/// The list counts as refused once discovery has sent this number of snapshots per mixer and no mixer has one in force.
const REFUSED_AFTER_SNAPSHOTS: u64 = 3;

/// The counters at one moment.
struct Reading {
    at: Instant,
    discovery: Duration,
    mixers: Duration,
    traffic: Traffic,
}

impl Reading {
    fn read(fleet: &Fleet) -> Reading {
        Reading {
            at: Instant::now(),
            discovery: fleet.discovery_processor_time(),
            mixers: fleet.mixers_processor_time(),
            traffic: fleet.discovery.traffic(),
        }
    }

    /// The cost since this reading.
    fn cost(&self, fleet: &Fleet) -> Cost {
        let now = Reading::read(fleet);
        let traffic = now.traffic.since(&self.traffic);
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let mean = |sum: u64, count: u64| sum as f64 / count.max(1) as f64;
        Cost {
            wall_ms: ms(now.at - self.at),
            discovery_processor_ms: ms(now.discovery.saturating_sub(self.discovery)),
            processor_us_per_mixer: ms(now.mixers.saturating_sub(self.mixers)) * 1e3
                / fleet.mixers as f64,
            connections: traffic.connections,
            list_calls: traffic.list_requests,
            watch_calls: traffic.watch_requests,
            snapshot_messages: traffic.snapshot_messages,
            bytes_per_snapshot_message: mean(traffic.snapshot_bytes, traffic.snapshot_messages),
            change_messages: traffic.delta_messages,
            bytes_per_change_message: mean(traffic.delta_bytes, traffic.delta_messages),
            heartbeats: traffic.heartbeats,
            socket_bytes_per_mixer: mean(traffic.bytes_sent, fleet.mixers),
        }
    }
}

/// Ends a step once all mixers have `version` in force, or at the time limit.
async fn wait_for_version(
    fleet: &Fleet,
    before: &Reading,
    version: Version,
    timeout: Duration,
) -> Step {
    wait_until(timeout, CHECK_INTERVAL, || {
        fleet.progress.lagging(version) == 0
    })
    .await;
    step_result(fleet, before, version)
}

fn step_result(fleet: &Fleet, before: &Reading, version: Version) -> Step {
    Step {
        in_force: DelayStats::from_histogram_us(&fleet.progress.take_delays()),
        lagging_mixers: fleet.progress.lagging(version) as u64,
        cost: before.cost(fleet),
    }
}

/// Publishes a change of a single entry; all such changes have the same length in bytes.
fn change_one(fleet: &mut Fleet, entries: u64) -> Version {
    let change = fleet.next_change();
    fleet.change(vec![entry(change * 7 % entries, change, "up")])
}

/// From the start of the mixers until the last one has the list in force; also returns whether all mixers refuse it.
pub(super) async fn start(fleet: &Fleet, started_at: Instant, timeout: Duration) -> (Step, bool) {
    let version = fleet.discovery.version();
    let before = Reading {
        at: started_at,
        discovery: Duration::ZERO,
        mixers: Duration::ZERO,
        traffic: Traffic::default(),
    };
    let all = fleet.mixers as usize;
    let refused = || {
        let sent = fleet.discovery.traffic().snapshot_messages;
        fleet.progress.lagging(version) == all && sent >= REFUSED_AFTER_SNAPSHOTS * fleet.mixers
    };
    wait_until(timeout, CHECK_INTERVAL, || {
        fleet.progress.lagging(version) == 0 || refused()
    })
    .await;
    let refused = refused();
    let all_watch = || fleet.discovery.traffic().watch_requests >= fleet.mixers;
    if !refused {
        // The watch that each mixer opens after its snapshot is part of the start.
        wait_until(timeout, CHECK_INTERVAL, all_watch).await;
    }
    (step_result(fleet, &before, version), refused)
}

/// The cost of a fleet without changes.
pub(super) async fn idle(fleet: &Fleet, duration: Duration) -> Cost {
    let before = Reading::read(fleet);
    sleep(duration).await;
    before.cost(fleet)
}

/// Changes of one entry, each after the previous one is in force at all mixers.
pub(super) async fn changes(fleet: &mut Fleet, entries: u64, settings: &HollowSettings) -> Step {
    let before = Reading::read(fleet);
    let mut version = fleet.discovery.version();
    for _ in 0..settings.changes {
        version = change_one(fleet, entries);
        if !wait_until(settings.step_timeout, CHECK_INTERVAL, || {
            fleet.progress.lagging(version) == 0
        })
        .await
        {
            break;
        }
    }
    step_result(fleet, &before, version)
}

/// Changes of one entry at a steady rate.
pub(super) async fn rate(
    fleet: &mut Fleet,
    entries: u64,
    per_second: f64,
    settings: &HollowSettings,
) -> RateStep {
    let (before, first) = (Reading::read(fleet), fleet.discovery.version());
    let discovery = fleet.discovery.clone();
    let progress = fleet.progress.clone();
    let next = || {
        let change = fleet.next_change();
        progress.record_published(discovery.version() + 1, Instant::now());
        vec![entry(change * 7 % entries, change, "up")]
    };
    discovery
        .update_periodically(per_second, settings.rate_duration, next)
        .await;
    let version = discovery.version();
    let step = wait_for_version(fleet, &before, version, settings.step_timeout).await;
    let seconds = step.cost.wall_ms / 1e3;
    RateStep {
        changes_per_second: per_second,
        changes: version - first,
        socket_bytes_per_second_per_mixer: step.cost.socket_bytes_per_mixer / seconds,
        processor_percent_of_a_core_per_mixer: step.cost.processor_us_per_mixer / 1e4 / seconds,
        discovery_processor_percent_of_a_core: step.cost.discovery_processor_ms / 10.0 / seconds,
        step,
    }
}

/// A restart of the servers of a zone, in a single change.
pub(super) async fn zone(fleet: &mut Fleet, entries: u64, settings: &HollowSettings) -> ZoneStep {
    let changed = restarted(entries.min(settings.zone_entries), fleet.next_change());
    let (before, changed_entries) = (Reading::read(fleet), changed.len() as u64);
    let version = fleet.change(changed);
    ZoneStep {
        changed_entries,
        step: wait_for_version(fleet, &before, version, settings.step_timeout).await,
    }
}

/// An outage of discovery, during which one entry changes; afterwards with or without its change history.
pub(super) async fn outage(
    fleet: &mut Fleet,
    entries: u64,
    history: bool,
    settings: &HollowSettings,
) -> OutageStep {
    let before = Reading::read(fleet);
    fleet.discovery.set_offline(true);
    sleep(settings.outage_time).await;
    let version = change_one(fleet, entries);
    if !history {
        fleet.discovery.clear_history();
    }
    let outage_ms = before.at.elapsed().as_secs_f64() * 1e3;
    fleet.progress.record_published(version, Instant::now());
    let mut last = fleet.discovery.traffic();
    fleet.discovery.set_offline(false);
    let (mut connections, mut calls) = (0, 0);
    let deadline = Instant::now() + settings.step_timeout;
    // Ends one window after the version is in force at all mixers, so that the last calls are counted.
    let mut in_force = false;
    while !in_force && Instant::now() < deadline {
        in_force = fleet.progress.lagging(version) == 0;
        sleep(PEAK_WINDOW).await;
        let now = fleet.discovery.traffic();
        let window = now.since(&last);
        (connections, calls) = (
            window.connections.max(connections),
            window.requests().max(calls),
        );
        last = now;
    }
    OutageStep {
        outage_ms,
        peak_connections_per_100_ms: connections,
        peak_calls_per_100_ms: calls,
        step: step_result(fleet, &before, version),
    }
}

/// Discovery stops sending on all open watches, and one entry changes at the same time.
pub(super) async fn silence(fleet: &mut Fleet, entries: u64, timeout: Duration) -> Step {
    let before = Reading::read(fleet);
    fleet.discovery.silence_watches();
    let version = change_one(fleet, entries);
    wait_for_version(fleet, &before, version, timeout).await
}

//! The steps at one size, each measured between two readings of what discovery and the mixers have done.

use super::fleet::{wait, Fleet};
use super::report::{Cost, RateStep, ReturnStep, Spread, Step, ZoneStep};
use super::servers::{entry, restarted};
use super::settings::HollowSettings;
use cottonhill_standins::discovery::{Traffic, Version};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Between two looks at whether the last mixer holds a version; does not bear on delays, which each mixer measures.
const LOOK: Duration = Duration::from_millis(2);
/// The window in which connections and calls after a return are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// Whole lists that each mixer is sent without one of them taking it, after which the list counts as refused.
const REFUSED_AFTER: u64 = 3;

/// What had been spent when a step began.
struct Reading {
    at: Instant,
    discovery: Duration,
    mixers: Duration,
    traffic: Traffic,
}

impl Reading {
    fn of(fleet: &Fleet) -> Reading {
        Reading {
            at: Instant::now(),
            discovery: fleet.discovery_time(),
            mixers: fleet.mixers_time(),
            traffic: fleet.discovery.traffic(),
        }
    }

    /// What was spent since.
    fn cost(&self, fleet: &Fleet) -> Cost {
        let now = Reading::of(fleet);
        let traffic = now.traffic.since(&self.traffic);
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let each = |sum: u64, count: u64| sum as f64 / count.max(1) as f64;
        Cost {
            wall_ms: ms(now.at - self.at),
            discovery_processor_ms: ms(now.discovery.saturating_sub(self.discovery)),
            processor_us_per_mixer: ms(now.mixers.saturating_sub(self.mixers)) * 1e3
                / fleet.mixers as f64,
            connections: traffic.connections,
            list_calls: traffic.list_requests,
            watch_calls: traffic.watch_requests,
            whole_messages: traffic.snapshot_messages,
            bytes_per_whole_message: each(traffic.snapshot_bytes, traffic.snapshot_messages),
            change_messages: traffic.delta_messages,
            bytes_per_change_message: each(traffic.delta_bytes, traffic.delta_messages),
            heartbeats: traffic.heartbeats,
            socket_bytes_per_mixer: each(traffic.bytes_sent, fleet.mixers),
        }
    }
}

/// Ends a step once all mixers hold `version`, or with the mixers that do not by the time limit.
async fn finish(fleet: &Fleet, before: &Reading, version: Version, most: Duration) -> Step {
    wait(most, LOOK, || fleet.progress.lagging(version) == 0).await;
    settled(fleet, before, version)
}

fn settled(fleet: &Fleet, before: &Reading, version: Version) -> Step {
    Step {
        in_force: Spread::of_us(&fleet.progress.take_delays()),
        lagging_mixers: fleet.progress.lagging(version) as u64,
        cost: before.cost(fleet),
    }
}

/// One more change of a single entry, all of the same length.
fn change_one(fleet: &mut Fleet, entries: u64) -> Version {
    let change = fleet.next_change();
    fleet.change(vec![entry(change * 7 % entries, change, "up")])
}

/// From the start of the mixers until the last one holds the list; whether they all refuse it.
pub(super) async fn start(fleet: &Fleet, began: Instant, most: Duration) -> (Step, bool) {
    let version = fleet.discovery.version();
    let before = Reading {
        at: began,
        discovery: Duration::ZERO,
        mixers: Duration::ZERO,
        traffic: Traffic::default(),
    };
    let all = fleet.mixers as usize;
    let refused = || {
        let sent = fleet.discovery.traffic().snapshot_messages;
        fleet.progress.lagging(version) == all && sent >= REFUSED_AFTER * fleet.mixers
    };
    wait(most, LOOK, || {
        fleet.progress.lagging(version) == 0 || refused()
    })
    .await;
    let refused = refused();
    let watched = || fleet.discovery.traffic().watch_requests >= fleet.mixers;
    if !refused {
        // The watch that follows the whole list belongs to the start.
        wait(most, LOOK, watched).await;
    }
    (settled(fleet, &before, version), refused)
}

/// What a fleet costs that nothing is told.
pub(super) async fn rest(fleet: &Fleet, lasting: Duration) -> Cost {
    let before = Reading::of(fleet);
    sleep(lasting).await;
    before.cost(fleet)
}

/// Changes of one entry, one after another.
pub(super) async fn changes(fleet: &mut Fleet, entries: u64, settings: &HollowSettings) -> Step {
    let before = Reading::of(fleet);
    let mut version = fleet.discovery.version();
    for _ in 0..settings.changes {
        version = change_one(fleet, entries);
        if !wait(settings.step_time, LOOK, || {
            fleet.progress.lagging(version) == 0
        })
        .await
        {
            break;
        }
    }
    settled(fleet, &before, version)
}

/// Changes of one entry at a steady rate.
pub(super) async fn rate(
    fleet: &mut Fleet,
    entries: u64,
    per_second: f64,
    settings: &HollowSettings,
) -> RateStep {
    let (before, first) = (Reading::of(fleet), fleet.discovery.version());
    let discovery = fleet.discovery.clone();
    let progress = fleet.progress.clone();
    let next = || {
        let change = fleet.next_change();
        progress.announce(discovery.version() + 1, Instant::now());
        vec![entry(change * 7 % entries, change, "up")]
    };
    discovery
        .update_periodically(per_second, settings.rate_time, next)
        .await;
    let version = discovery.version();
    let step = finish(fleet, &before, version, settings.step_time).await;
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

/// As many servers as a zone has start again, all in one change.
pub(super) async fn zone(fleet: &mut Fleet, entries: u64, settings: &HollowSettings) -> ZoneStep {
    let lines = restarted(entries.min(settings.zone_entries), fleet.next_change());
    let (before, changed_entries) = (Reading::of(fleet), lines.len() as u64);
    let version = fleet.change(lines);
    ZoneStep {
        changed_entries,
        step: finish(fleet, &before, version, settings.step_time).await,
    }
}

/// Discovery is gone, changes one entry and returns, with or without the changes that led to its list.
pub(super) async fn back(
    fleet: &mut Fleet,
    entries: u64,
    history: bool,
    settings: &HollowSettings,
) -> ReturnStep {
    let before = Reading::of(fleet);
    fleet.discovery.set_offline(true);
    sleep(settings.absent_time).await;
    let version = change_one(fleet, entries);
    if !history {
        fleet.discovery.clear_history();
    }
    let absent_ms = before.at.elapsed().as_secs_f64() * 1e3;
    fleet.progress.announce(version, Instant::now());
    let mut last = fleet.discovery.traffic();
    fleet.discovery.set_offline(false);
    let (mut connections, mut calls) = (0, 0);
    let until = Instant::now() + settings.step_time;
    // One window more than it takes, so that the last calls are counted.
    let mut current = false;
    while !current && Instant::now() < until {
        current = fleet.progress.lagging(version) == 0;
        sleep(WINDOW).await;
        let now = fleet.discovery.traffic();
        let window = now.since(&last);
        (connections, calls) = (
            window.connections.max(connections),
            window.requests().max(calls),
        );
        last = now;
    }
    ReturnStep {
        absent_ms,
        peak_connections_per_100_ms: connections,
        peak_calls_per_100_ms: calls,
        step: settled(fleet, &before, version),
    }
}

/// All watches fall silent, and one entry changes at that moment.
pub(super) async fn silence(fleet: &mut Fleet, entries: u64, most: Duration) -> Step {
    let before = Reading::of(fleet);
    fleet.discovery.silence_watches();
    let version = change_one(fleet, entries);
    finish(fleet, &before, version, most).await
}

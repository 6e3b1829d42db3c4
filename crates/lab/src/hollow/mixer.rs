//! A hollow mixer: the discovery watch, endpoint list and reducer of a mixer, without clients and without connections
//! to leaf servers.

use super::progress::Progress;
use super::servers::{zones, CELLS};
use super::settings::DiscoveryMode;
use crate::Failure;
use cottonhill_mixer::config::Config;
use cottonhill_mixer::protocol::endpoint_updates::EndpointUpdate;
use cottonhill_mixer::reducer::{Effect, Input, Reducer};
use cottonhill_mixer::transport::{watch_endpoints, Clock, MAX_QUEUED_UPDATES};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

const NANOS_PER_MS: u64 = 1_000_000;
/// Time after the announcement of a leaf server's removal within which the mixer stops sending to it, in nanoseconds.
const STOP_SENDING_WITHIN_NS: u64 = 250 * NANOS_PER_MS;
/// In polled mode: the longest time between two requests for the endpoint list, in nanoseconds.
const POLL_WITHIN_NS: u64 = 10_000 * NANOS_PER_MS;

/// The configuration shared by all mixers of a fleet: the three classes of the project's own site, 69 parts per query.
///
/// # Errors
/// The mixer refuses it.
pub(super) fn configuration(
    discovery: SocketAddr,
    mixers: u64,
    mode: DiscoveryMode,
) -> Result<Config, Failure> {
    let class = |name: &str, target_ms: u64, deadline_ms: u64| {
        json!({"name": name, "aim_ns": target_ms * NANOS_PER_MS, "give_up_ns": deadline_ms * NANOS_PER_MS,
            "semantics": "read_like", "importance": 1.0, "late_value": 0.3})
    };
    let text = json!({
        "name": "hollow", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
        "settings": {
            "classes": [class("lookup", 69, 900), class("ranking", 250, 1200), class("report", 500, 1500)],
            "orgs": [{"name": "alpha"}],
            "localities": zones(), "my_zone": 0, "replicas_of_me": mixers, "tick_ns": 5 * NANOS_PER_MS,
            "extra": {"places": CELLS, "reach": 1, "ranges": CELLS, "bundle_max": 8, "class_need": [1.0, 1.0, 1.0],
                "least_share": [1.0, 0.6, 0.6], "partial_earns": [0.9, 0.9, 0.9], "second_step": [0, 0, 0]},
            "discovery": match mode { DiscoveryMode::Polled => "on_request", DiscoveryMode::Pushed => "pushed" },
            "guarantees": {"stop_sending_within_ns": STOP_SENDING_WITHIN_NS, "ask_within_ns": POLL_WITHIN_NS},
        }
    });
    Config::parse(&text.to_string()).map_err(Failure::running)
}

/// A running mixer: its state and the task that watches discovery for it.
struct HollowMixer {
    reducer: Reducer,
    clock: Clock,
    updates: mpsc::Sender<Input>,
    watch: AbortHandle,
}

impl HollowMixer {
    fn apply(&mut self, input: Input) {
        for effect in self.reducer.apply(self.clock.now(), input) {
            // Without clients, the only other effects are connections to leaf servers, which do not exist.
            // The hollow mixers' configuration is never reloaded.
            if let Effect::WatchEndpoints {
                address,
                from_version,
                ..
            } = effect
            {
                self.watch.abort();
                self.watch = spawn_watch(&self.updates, &self.reducer, address, from_version);
            }
        }
    }
}

fn spawn_watch(
    updates: &mpsc::Sender<Input>,
    reducer: &Reducer,
    address: SocketAddr,
    from_version: Option<u64>,
) -> AbortHandle {
    let watch = watch_endpoints(
        updates.clone(),
        reducer.watch_policy(),
        address,
        from_version,
    );
    tokio::task::spawn_local(watch).abort_handle()
}

/// Runs a mixer forever, which starts without an endpoint list. Must run inside a `LocalSet`.
pub(super) async fn run_mixer(number: usize, config: Arc<Config>, progress: Arc<Progress>) {
    let started = std::time::Instant::now();
    let clock = Clock::start();
    let Config {
        mixer_settings,
        settings,
        seed,
        max_descriptors,
        addresses,
        ..
    } = (*config).clone();
    let seed = seed.wrapping_add(number as u64);
    let reducer = Reducer::new(
        clock.now(),
        mixer_settings,
        settings,
        seed,
        &EndpointUpdate::default(),
        max_descriptors,
    );
    let (updates, mut received) = mpsc::channel(MAX_QUEUED_UPDATES);
    let watch = spawn_watch(&updates, &reducer, addresses.discovery, None);
    let mut mixer = HollowMixer {
        reducer,
        clock,
        updates,
        watch,
    };
    let mut version_in_force = 0;
    loop {
        let due = mixer.reducer.next_due().map(|at| clock.instant(at));
        tokio::select! {
            biased;
            Some(input) = received.recv() => mixer.apply(input),
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
        }
        mixer.apply(Input::ProcessBatch);
        let version = mixer.reducer.endpoint_list_version();
        if version != version_in_force {
            version_in_force = version;
            progress.record_in_force(number, version, started);
        }
    }
}

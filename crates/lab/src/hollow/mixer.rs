//! One hollow mixer: the watch, lists and reducer of a real one, with neither clients nor connections to leaf servers.

use super::progress::Progress;
use super::servers::{zones, CELLS};
use super::settings::Way;
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

const MS: u64 = 1_000_000;
/// Nothing goes to a leaf server later than this after its leaving was announced, in nanoseconds.
const DRAIN_GRACE: u64 = 250 * MS;
/// Where the list is asked for: the longest without asking, in nanoseconds.
const ASK_WITHIN: u64 = 10_000 * MS;

/// The configuration that all mixers of a fleet share: three classes of the project's own site, 69 parts a query.
///
/// # Errors
/// The mixer refuses it.
pub(super) fn configuration(
    discovery: SocketAddr,
    mixers: u64,
    way: Way,
) -> Result<Config, Failure> {
    let class = |name: &str, target_ms: u64, deadline_ms: u64| {
        json!({"name": name, "aim_ns": target_ms * MS, "give_up_ns": deadline_ms * MS, "semantics": "read_like",
            "importance": 1.0, "late_value": 0.3})
    };
    let text = json!({
        "name": "hollow", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
        "settings": {
            "classes": [class("lookup", 69, 900), class("ranking", 250, 1200), class("report", 500, 1500)],
            "orgs": [{"name": "alpha"}],
            "localities": zones(), "my_zone": 0, "replicas_of_me": mixers, "tick_ns": 5 * MS,
            "extra": {"places": CELLS, "reach": 1, "ranges": CELLS, "bundle_max": 8, "class_need": [1.0, 1.0, 1.0],
                "least_share": [1.0, 0.6, 0.6], "partial_earns": [0.9, 0.9, 0.9], "second_step": [0, 0, 0]},
            "discovery": match way { Way::Asked => "on_request", Way::Pushed => "pushed" },
            "guarantees": {"stop_sending_within_ns": DRAIN_GRACE, "ask_within_ns": ASK_WITHIN},
        }
    });
    Config::parse(&text.to_string()).map_err(Failure::running)
}

/// A running mixer's state with the task that follows the list for it.
struct Hollow {
    state: Reducer,
    clock: Clock,
    lists: mpsc::Sender<Input>,
    watch: AbortHandle,
}

impl Hollow {
    fn put(&mut self, input: Input) {
        for effect in self.state.apply(self.clock.now(), input) {
            // Without clients nothing else is asked for but connections to leaf servers, which are not there.
            if let Effect::WatchEndpoints {
                address,
                from_version,
            } = effect
            {
                self.watch.abort();
                self.watch = follow(&self.lists, &self.state, address, from_version);
            }
        }
    }
}

fn follow(
    lists: &mpsc::Sender<Input>,
    state: &Reducer,
    address: SocketAddr,
    from_version: Option<u64>,
) -> AbortHandle {
    let following = watch_endpoints(lists.clone(), state.watch_policy(), address, from_version);
    tokio::task::spawn_local(following).abort_handle()
}

/// Runs one mixer for ever, without a list at its start. Must run inside a `LocalSet`.
pub(super) async fn run(number: usize, config: Arc<Config>, progress: Arc<Progress>) {
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
    let state = Reducer::new(
        clock.now(),
        mixer_settings,
        settings,
        seed,
        &EndpointUpdate::default(),
        max_descriptors,
    );
    let (lists, mut listed) = mpsc::channel(MAX_QUEUED_UPDATES);
    let watch = follow(&lists, &state, addresses.discovery, None);
    let mut mixer = Hollow {
        state,
        clock,
        lists,
        watch,
    };
    let mut held = 0;
    loop {
        let due = mixer.state.next_due().map(|at| clock.instant(at));
        tokio::select! {
            biased;
            Some(input) = listed.recv() => mixer.put(input),
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {}
        }
        mixer.put(Input::ProcessBatch);
        let version = mixer.state.endpoint_list_version();
        if version != held {
            held = version;
            progress.in_force(number, version, started);
        }
    }
}

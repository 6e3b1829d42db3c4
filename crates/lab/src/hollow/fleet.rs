//! The stand-in discovery and a fleet of hollow mixers, on threads of this process.

use super::mixer::{configuration, run_mixer};
use super::progress::Progress;
use super::settings::DiscoveryMode;
use super::thread::RuntimeThread;
use crate::Failure;
use cottonhill_standins::discovery::{Discovery, Version};
use serde_json::Value;
use std::future::Future;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval between the starts of two mixers of a thread, so that they do not overflow the accept queue of discovery.
const START_INTERVAL: Duration = Duration::from_millis(1);

/// Discovery on a thread of its own, and the mixers on other threads. Dropping it stops them all.
pub(super) struct Fleet {
    // Fields are dropped in order of declaration: the mixers stop before the discovery that they are connected to.
    threads: Vec<RuntimeThread>,
    pub discovery: Arc<Discovery>,
    discovery_thread: RuntimeThread,
    pub progress: Arc<Progress>,
    pub mixers: u64,
    /// Number of changes of a single entry since the start.
    changes: u64,
}

impl Fleet {
    /// Starts discovery with this list, then the mixers without a list.
    ///
    /// # Errors
    /// No port or thread is available, or the mixer refuses its configuration.
    pub fn start(
        mixers: u64,
        threads: usize,
        mode: DiscoveryMode,
        list: Vec<Value>,
    ) -> Result<Fleet, Failure> {
        let started = RuntimeThread::start(|| Discovery::start(Ipv4Addr::LOCALHOST.into()))?;
        let (discovery_thread, discovery) = started;
        let discovery = Arc::new(discovery.map_err(Failure::running)?);
        discovery.update(list);
        let config = Arc::new(configuration(discovery.address, mixers, mode)?);
        let progress = Arc::new(Progress::new(mixers as usize));
        let start_thread = |first: usize| {
            let (config, progress) = (config.clone(), progress.clone());
            let started = RuntimeThread::start(move || async move {
                tokio::task::spawn_local(async move {
                    for number in (first..mixers as usize).step_by(threads) {
                        tokio::task::spawn_local(run_mixer(
                            number,
                            config.clone(),
                            progress.clone(),
                        ));
                        sleep(START_INTERVAL).await;
                    }
                });
            })?;
            Ok(started.0)
        };
        let threads = (0..threads)
            .map(start_thread)
            .collect::<Result<_, Failure>>()?;
        Ok(Fleet {
            threads,
            discovery,
            discovery_thread,
            progress,
            mixers,
            changes: 0,
        })
    }

    /// Publishes changed entries as one change. Its delay is measured from this call on.
    pub fn change(&self, entries: Vec<Value>) -> Version {
        let version = self.discovery.version() + entries.len() as Version;
        self.progress.record_published(version, Instant::now());
        self.discovery.update(entries);
        version
    }

    /// Counts a change of a single entry and returns its number.
    pub fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// Processor time of discovery since its start.
    pub fn discovery_processor_time(&self) -> Duration {
        self.discovery_thread.processor_time()
    }

    /// Processor time of all mixers since their start.
    pub fn mixers_processor_time(&self) -> Duration {
        self.threads.iter().map(RuntimeThread::processor_time).sum()
    }
}

/// Checks a condition at intervals until it holds or the time-out expires; returns whether it holds.
pub(super) async fn wait_until(
    timeout: Duration,
    interval: Duration,
    mut condition: impl FnMut() -> bool,
) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(interval).await;
    }
    true
}

/// Runs a future to completion on a runtime of this thread; the steps of a measurement run here.
///
/// # Errors
/// The runtime cannot be created.
pub(super) fn block_on<F: Future>(future: F) -> Result<F::Output, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    Ok(runtime.map_err(Failure::running)?.block_on(future))
}

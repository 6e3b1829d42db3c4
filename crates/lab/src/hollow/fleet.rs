//! Discovery and a fleet of hollow mixers on threads of this process.

use super::mixer::{configuration, run};
use super::progress::Progress;
use super::settings::Way;
use super::thread::RuntimeThread;
use crate::Failure;
use cottonhill_standins::discovery::{Discovery, Version};
use serde_json::Value;
use std::future::Future;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Between the starts of two mixers of a thread, so that they do not overflow the queue of discovery's listener.
const START_APART: Duration = Duration::from_millis(1);

/// Discovery on a thread of its own, and the mixers on some others. All ends when it is dropped.
pub(super) struct Fleet {
    // Dropped in this order: the mixers end before what they are connected to.
    threads: Vec<RuntimeThread>,
    pub discovery: Arc<Discovery>,
    discovery_thread: RuntimeThread,
    pub progress: Arc<Progress>,
    pub mixers: u64,
    /// Changes of a single entry so far.
    changes: u64,
}

impl Fleet {
    /// Starts discovery with this list and then the mixers, which hold nothing yet.
    ///
    /// # Errors
    /// There is no port or thread, or the mixer refuses its configuration.
    pub fn start(
        mixers: u64,
        threads: usize,
        way: Way,
        list: Vec<Value>,
    ) -> Result<Fleet, Failure> {
        let started = RuntimeThread::start(|| Discovery::start(Ipv4Addr::LOCALHOST.into()))?;
        let (discovery_thread, discovery) = started;
        let discovery = Arc::new(discovery.map_err(Failure::running)?);
        discovery.update(list);
        let config = Arc::new(configuration(discovery.address, mixers, way)?);
        let progress = Arc::new(Progress::new(mixers as usize));
        let start_thread = |first: usize| {
            let (config, progress) = (config.clone(), progress.clone());
            let started = RuntimeThread::start(move || async move {
                tokio::task::spawn_local(async move {
                    for number in (first..mixers as usize).step_by(threads) {
                        tokio::task::spawn_local(run(number, config.clone(), progress.clone()));
                        sleep(START_APART).await;
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

    /// Tells of changed entries as one change, from when on its delay is measured.
    pub fn change(&self, lines: Vec<Value>) -> Version {
        let version = self.discovery.version() + lines.len() as Version;
        self.progress.announce(version, Instant::now());
        self.discovery.update(lines);
        version
    }

    /// A number for one more change of a single entry.
    pub fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// Processor time of discovery so far.
    pub fn discovery_time(&self) -> Duration {
        self.discovery_thread.processor_time()
    }

    /// Processor time of all mixers so far.
    pub fn mixers_time(&self) -> Duration {
        self.threads.iter().map(RuntimeThread::processor_time).sum()
    }
}

/// Waits until a condition holds, for so long at the most; whether it does.
pub(super) async fn wait(most: Duration, apart: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + most;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        sleep(apart).await;
    }
    true
}

/// Runs the measuring side on a runtime of this thread.
///
/// # Errors
/// There is no runtime.
pub(super) fn block_on<F: Future>(future: F) -> Result<F::Output, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    Ok(runtime.map_err(Failure::running)?.block_on(future))
}

//! Threads with a runtime of their own, whose processor time is read apart.

use crate::Failure;
use std::fs;
use std::future::Future;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// A thread that runs until it is dropped.
pub(super) struct RuntimeThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    schedule: PathBuf,
}

impl RuntimeThread {
    /// Starts a thread, runs `start` on it to its end and hands its result over; what that has spawned goes on.
    ///
    /// # Errors
    /// The thread or its runtime can't be started.
    pub fn start<T, F>(
        start: impl FnOnce() -> F + Send + 'static,
    ) -> Result<(RuntimeThread, T), Failure>
    where
        T: Send + 'static,
        F: Future<Output = T>,
    {
        let (stop, stopped) = oneshot::channel();
        let (started, result) = mpsc::channel();
        let thread = std::thread::Builder::new().spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            else {
                return;
            };
            LocalSet::new().block_on(&runtime, async move {
                let result = start().await;
                if started.send((schedule(), result)).is_ok() {
                    let _ = stopped.await;
                }
            });
        });
        let thread = thread.map_err(Failure::running)?;
        let (schedule, result) = result
            .recv()
            .map_err(|_| Failure::running("a thread did not start"))?;
        Ok((
            RuntimeThread {
                stop: Some(stop),
                thread: Some(thread),
                schedule,
            },
            result,
        ))
    }

    /// Processor time of this thread; zero where the kernel does not tell it.
    pub fn processor_time(&self) -> Duration {
        let text = fs::read_to_string(&self.schedule).unwrap_or_default();
        let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
        Duration::from_nanos(nanos.unwrap_or_default())
    }
}

/// Where the kernel tells the processor time of the thread that calls this.
fn schedule() -> PathBuf {
    let own = fs::read_link("/proc/thread-self").unwrap_or_default();
    PathBuf::from("/proc").join(own).join("schedstat")
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

//! Threads with a runtime each, whose processor time can be read separately.

use crate::Failure;
use std::fs;
use std::future::Future;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// A thread that runs until this handle is dropped.
pub(super) struct RuntimeThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    schedstat: PathBuf,
}

impl RuntimeThread {
    /// Starts a thread, runs `start` on it to completion and returns its result. Tasks that `start` has spawned keep
    /// running.
    ///
    /// # Errors
    /// The thread or its runtime cannot be started.
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
                if started.send((schedstat_path(), result)).is_ok() {
                    let _ = stopped.await;
                }
            });
        });
        let thread = thread.map_err(Failure::running)?;
        let (schedstat, result) = result
            .recv()
            .map_err(|_| Failure::running("a thread ended before its start task completed"))?;
        Ok((
            RuntimeThread {
                stop: Some(stop),
                thread: Some(thread),
                schedstat,
            },
            result,
        ))
    }

    /// Processor time of this thread; zero if the kernel does not report it.
    pub fn processor_time(&self) -> Duration {
        let text = fs::read_to_string(&self.schedstat).unwrap_or_default();
        let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
        Duration::from_nanos(nanos.unwrap_or_default())
    }
}

/// Path of the kernel's scheduling statistics for the calling thread, which contain its processor time.
fn schedstat_path() -> PathBuf {
    let thread = fs::read_link("/proc/thread-self").unwrap_or_default();
    PathBuf::from("/proc").join(thread).join("schedstat")
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

//! The writer of a mixer's usage log: a dedicated thread behind a bounded queue, so that a slow disk cannot delay
//! answers without bound.

use crate::log::{
    append_frame, list_segments, truncate_invalid_tail, Position, Segment, MAGIC, VERSION,
};
use crate::settings::UsageLogSettings;
use crate::wire::{entry::What, Class, Entry, Header, Mark, Outcome, Record};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TryRecvError};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The names that the numeric ids in records refer to, for one run of a mixer.
#[derive(Clone, Debug, Default)]
pub struct NameTables {
    pub mixer: String,
    pub classes: Vec<String>,
    /// For each class, the longest time that a client waits over all its attempts, in nanoseconds.
    pub give_up_ns: Vec<u64>,
    pub tenants: Vec<String>,
}

/// Counters of usage records and replies.
#[derive(Debug, Default)]
pub struct WriterCounters {
    /// Records that were written to the log.
    pub written: AtomicU64,
    /// Records that were never written: the queue was full, or writing failed.
    pub lost: AtomicU64,
    /// Replies that were sent before their record was written.
    pub unrecorded_replies: AtomicU64,
}

/// Appends bytes to segment files; tests substitute failing storage.
pub trait SegmentStorage: Send + 'static {
    /// # Errors
    /// Not all of `bytes` could be written; the caller truncates what was.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
}

/// Writes to the file system.
pub struct FileStorage;

impl SegmentStorage for FileStorage {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
}

/// Entries of one write.
const MAX_BATCH_ENTRIES: usize = 1024;
/// Interval of retrying after a failed write. Records in between are dropped at once, so that no answer waits for them.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long [`Writer::close`] waits for the writer thread.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The mixer's handle of the writer thread.
pub struct Writer {
    queue: Option<SyncSender<Entry>>,
    written: watch::Receiver<u64>,
    counts: Arc<WriterCounters>,
    max_write_delay: Duration,
    thread: Option<JoinHandle<()>>,
}

/// Opens the log for a new run and starts its writer. An incomplete frame at the end of the previous run is truncated.
/// `now` is in Unix nanoseconds.
///
/// # Errors
/// The folder cannot be used, or another mixer is using it.
pub fn start(settings: &UsageLogSettings, names: NameTables, now: u64) -> io::Result<Writer> {
    let writer = start_with_storage(FileStorage, settings, names, now)?;
    if let Some(listen) = settings.listen {
        crate::collect::listen(listen, settings.directory.clone())?;
    }
    Ok(writer)
}

/// As [`start`], with any storage and without a listener for collection.
///
/// # Errors
/// As [`start`].
pub fn start_with_storage(
    storage: impl SegmentStorage,
    settings: &UsageLogSettings,
    names: NameTables,
    now: u64,
) -> io::Result<Writer> {
    let directory = &settings.directory;
    let with_path =
        |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", directory.display()));
    fs::create_dir_all(directory).map_err(with_path)?;
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(directory.join("lock"))
        .map_err(with_path)?;
    if lock.try_lock().is_err() {
        return Err(io::Error::other(format!(
            "{}: another mixer is writing this log",
            directory.display()
        )));
    }
    let existing = list_segments(directory).map_err(with_path)?;
    if let Some(last) = existing.last() {
        let removed = truncate_invalid_tail(last).map_err(with_path)?;
        if removed > 0 {
            tracing::warn!(
                segment = last.name(),
                bytes = removed,
                "removed invalid bytes from the end of the usage log"
            );
        }
    }
    // Larger than that of any earlier run, also if the clock was set back.
    let last_incarnation = existing.last().map_or(0, |segment| segment.incarnation);
    let incarnation = (now / 1_000_000).max(last_incarnation + 1);
    let classes = names
        .classes
        .iter()
        .zip(names.give_up_ns.iter().chain(std::iter::repeat(&0)));
    let header = Header {
        version: VERSION,
        mixer: names.mixer,
        incarnation,
        first_sequence: 1,
        classes: classes
            .map(|(name, ns)| Class {
                name: name.clone(),
                give_up_ms: ns / 1_000_000,
            })
            .collect(),
        tenants: names.tenants,
    };
    let (queue, entries) = sync_channel(settings.queue_capacity);
    let (written_sender, written) = watch::channel(0);
    let counts = Arc::<WriterCounters>::default();
    let writer_thread = WriterThread {
        storage,
        _lock: lock,
        directory: directory.clone(),
        segment_bytes: settings.segment_bytes,
        max_bytes: settings.max_bytes,
        header,
        open_segment: None,
        written_sender,
        counts: counts.clone(),
        failed_at: None,
    };
    let thread = thread::Builder::new()
        .name("usage log".into())
        .spawn(move || writer_thread.run(&entries))?;
    tracing::info!(directory = %directory.display(), incarnation, "usage log opened");
    Ok(Writer {
        queue: Some(queue),
        written,
        counts,
        max_write_delay: settings.max_write_delay,
        thread: Some(thread),
    })
}

impl Writer {
    /// Queues an entry without blocking; false if the queue is full.
    pub fn try_enqueue(&mut self, what: What) -> bool {
        let entry = Entry { what: Some(what) };
        self.queue
            .as_ref()
            .is_some_and(|queue| queue.try_send(entry).is_ok())
    }

    pub fn counts(&self) -> &WriterCounters {
        &self.counts
    }

    /// The sequence up to which all records are written or dropped.
    pub fn written_sequence(&self) -> watch::Receiver<u64> {
        self.written.clone()
    }

    pub fn max_write_delay(&self) -> Duration {
        self.max_write_delay
    }

    pub fn count_lost_record(&self) {
        let lost = self.counts.lost.fetch_add(1, Ordering::Relaxed) + 1;
        if lost.is_power_of_two() {
            tracing::error!(lost, "usage records lost: the queue of the log is full");
        }
    }

    pub fn count_unrecorded_reply(&self) {
        let unrecorded_replies = self
            .counts
            .unrecorded_replies
            .fetch_add(1, Ordering::Relaxed)
            + 1;
        if unrecorded_replies.is_power_of_two() {
            tracing::warn!(
                unrecorded_replies,
                "replies sent before their usage record was written: the log is slow"
            );
        }
    }

    /// Stops the writer once all queued entries are written, or after two seconds.
    pub fn close(&mut self) {
        self.queue = None;
        let Some(thread) = self.thread.take() else {
            return;
        };
        let until = Instant::now() + CLOSE_TIMEOUT;
        while !thread.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        if thread.is_finished() {
            let _ = thread.join();
        } else {
            tracing::error!("usage log not closed in time: the last records may be lost");
        }
        let (written, lost, unrecorded_replies) = (
            &self.counts.written,
            &self.counts.lost,
            &self.counts.unrecorded_replies,
        );
        let [written, lost, unrecorded_replies] =
            [written, lost, unrecorded_replies].map(|count| count.load(Ordering::Relaxed));
        tracing::info!(written, lost, unrecorded_replies, "usage log closed");
    }
}

struct WriterThread<D> {
    storage: D,
    /// Locked while the log is open.
    _lock: File,
    directory: PathBuf,
    segment_bytes: u64,
    max_bytes: u64,
    header: Header,
    /// The current segment and its length.
    open_segment: Option<(File, u64)>,
    written_sender: watch::Sender<u64>,
    counts: Arc<WriterCounters>,
    failed_at: Option<Instant>,
}

impl<D: SegmentStorage> WriterThread<D> {
    fn run(mut self, entries: &Receiver<Entry>) {
        let mut bytes = Vec::new();
        let mut last = 0;
        loop {
            let mut batch = Vec::new();
            match entries.recv_timeout(Duration::from_secs(1)) {
                Ok(entry) => batch.push(entry),
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return,
            }
            while batch.len() < MAX_BATCH_ENTRIES {
                match entries.try_recv() {
                    Ok(entry) => batch.push(entry),
                    Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
                }
            }
            bytes.clear();
            let mut records = 0;
            let first = last + 1;
            for entry in &batch {
                append_frame(&mut bytes, entry);
                if let Some(What::Record(record)) = &entry.what {
                    last = record.sequence;
                    records += 1;
                }
            }
            let count = match self.append(first, &bytes) {
                Ok(()) => &self.counts.written,
                Err(e) => {
                    if self.failed_at.replace(Instant::now()).is_none() {
                        tracing::error!(
                            directory = %self.directory.display(),
                            error = %e,
                            "cannot write the usage log; records are dropped until writing succeeds"
                        );
                    }
                    &self.counts.lost
                }
            };
            count.fetch_add(records, Ordering::Relaxed);
            self.written_sender.send_replace(last);
        }
    }

    /// Appends complete frames, to a new segment if the current one is full.
    fn append(&mut self, first: u64, bytes: &[u8]) -> io::Result<()> {
        if self
            .failed_at
            .is_some_and(|at| at.elapsed() < RETRY_INTERVAL)
        {
            return Err(io::Error::other("a write failed less than 100 ms ago"));
        }
        if self
            .open_segment
            .as_ref()
            .is_some_and(|(_, length)| *length >= self.segment_bytes)
        {
            self.open_segment = None;
        }
        let (mut file, length) = match self.open_segment.take() {
            Some(open) => open,
            None => self.create_segment(first)?,
        };
        match self.storage.append(&mut file, bytes) {
            Ok(()) => {
                if self.failed_at.take().is_some() {
                    tracing::info!("usage log writable again");
                }
                self.open_segment = Some((file, length + bytes.len() as u64));
                Ok(())
            }
            Err(e) => {
                // An incomplete frame inside a segment would be read as damage: the file is truncated to the last
                // complete frame, or, if that fails, writing continues in a new segment.
                if file.set_len(length).is_ok() {
                    self.open_segment = Some((file, length));
                }
                Err(e)
            }
        }
    }

    fn create_segment(&mut self, first: u64) -> io::Result<(File, u64)> {
        let mut log_bytes = 0;
        for segment in list_segments(&self.directory)? {
            log_bytes += fs::metadata(&segment.path).map_or(0, |file| file.len());
        }
        if log_bytes + self.segment_bytes > self.max_bytes {
            return Err(io::Error::other(
                "another segment would exceed the size limit of the log until settled segments are removed",
            ));
        }
        self.header.first_sequence = first;
        let mut bytes = MAGIC.to_vec();
        append_frame(&mut bytes, &self.header);
        let segment = Segment::new(&self.directory, self.header.incarnation, first);
        let mut file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&segment.path)?;
        file.set_len(0)?;
        if let Err(e) = self.storage.append(&mut file, &bytes) {
            let _ = fs::remove_file(&segment.path);
            return Err(e);
        }
        Ok((file, bytes.len() as u64))
    }
}

/// Removes the segments whose records the settlement has stored, which it acknowledges up to and including
/// `acknowledged`; never removes the last segment. Returns the number of removed segments.
///
/// # Errors
/// The folder cannot be read, or a segment cannot be removed.
pub fn remove_acknowledged_segments(directory: &Path, acknowledged: Position) -> io::Result<usize> {
    let all = list_segments(directory)?;
    let mut removed = 0;
    for pair in all.windows(2) {
        let [segment, next] = pair else { continue };
        let same_run = next.incarnation == segment.incarnation;
        let segment_end = Position {
            incarnation: segment.incarnation,
            sequence: next.first_sequence.saturating_sub(1),
        };
        if if same_run {
            acknowledged >= segment_end
        } else {
            acknowledged.incarnation > segment.incarnation
        } {
            fs::remove_file(&segment.path)?;
            removed += 1;
        }
    }
    Ok(removed)
}

/// A record with the fields that every record has; the others are zero.
pub fn new_record(sequence: u64, arrived_ms: u64, outcome: Outcome, share: u32) -> Record {
    Record {
        sequence,
        arrived_ms,
        outcome: outcome.into(),
        share,
        ..Record::default()
    }
}

/// A watermark: all records of queries that arrived before `complete_ms` (Unix milliseconds) have at most this
/// sequence. `end` is set on the last entry of a run that shuts down in order.
pub fn watermark_entry(sequence: u64, complete_ms: u64, end: bool) -> What {
    What::Mark(Mark {
        sequence,
        complete_ms,
        end,
    })
}

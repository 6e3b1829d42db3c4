//! The writer of a mixer's usage log: a thread of its own behind a bounded queue, so that no disk can hold up an
//! answer.

use crate::log::{cut_torn_tail, put_frame, segments, Position, Segment, MAGIC, VERSION};
use crate::settings::UsageLog;
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

/// What the numbers in records stand for, for one run of a mixer.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub mixer: String,
    pub classes: Vec<String>,
    /// For each class, the longest that a client waits over all its tries, in nanoseconds.
    pub give_up: Vec<u64>,
    pub tenants: Vec<String>,
}

/// What became of records, for the log and the counters.
#[derive(Debug, Default)]
pub struct Counts {
    pub written: AtomicU64,
    /// Never written: the queue was full, or the disk took nothing.
    pub lost: AtomicU64,
    /// Replies that left before their record was written.
    pub late: AtomicU64,
}

/// How bytes reach a segment; a test has it fail.
pub trait Disk: Send + 'static {
    /// # Errors
    /// Not all of `bytes` could be written; what was is cut off again.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
}

/// The real one.
pub struct Plain;

impl Disk for Plain {
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)
    }
}

/// Most records of one write.
const MOST_BATCH: usize = 1024;
/// Between two tries to write after one has failed: in between, records are lost at once and nothing waits.
const TRY_AGAIN: Duration = Duration::from_millis(100);
/// How long the end waits for the writer.
const CLOSE: Duration = Duration::from_secs(2);

/// The end of the queue that the mixer holds.
pub struct Writer {
    queue: Option<SyncSender<Entry>>,
    written: watch::Receiver<u64>,
    counts: Arc<Counts>,
    stall: Duration,
    thread: Option<JoinHandle<()>>,
}

/// Opens the log for one more run and starts its writer. What the run before has left half written is cut off.
///
/// # Errors
/// The folder can't be used, or another mixer is using it.
pub fn start(settings: &UsageLog, names: Names, now: u64) -> io::Result<Writer> {
    let writer = start_on(Plain, settings, names, now)?;
    if let Some(listen) = settings.listen {
        crate::collect::listen(listen, settings.directory.clone())?;
    }
    Ok(writer)
}

/// As [`start`], on any disk and without a listener.
///
/// # Errors
/// As [`start`].
pub fn start_on(
    disk: impl Disk,
    settings: &UsageLog,
    names: Names,
    now: u64,
) -> io::Result<Writer> {
    let directory = &settings.directory;
    let at = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", directory.display()));
    fs::create_dir_all(directory).map_err(at)?;
    let lock = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(directory.join("lock"))
        .map_err(at)?;
    if lock.try_lock().is_err() {
        return Err(io::Error::other(format!(
            "{}: another mixer writes this log",
            directory.display()
        )));
    }
    let before = segments(directory).map_err(at)?;
    if let Some(last) = before.last() {
        let torn = cut_torn_tail(last).map_err(at)?;
        if torn > 0 {
            tracing::warn!(
                segment = last.name(),
                bytes = torn,
                "half a record at the end of the log was cut off"
            );
        }
    }
    // Later than any run before, also where the clock has stepped back.
    let last = before.last().map_or(0, |segment| segment.incarnation);
    let incarnation = (now / 1_000_000).max(last + 1);
    let classes = names
        .classes
        .iter()
        .zip(names.give_up.iter().chain(std::iter::repeat(&0)));
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
    let (queue, entries) = sync_channel(settings.queue);
    let (tell, written) = watch::channel(0);
    let counts = Arc::<Counts>::default();
    let job = Job {
        disk,
        _lock: lock,
        directory: directory.clone(),
        segment_bytes: settings.segment_bytes,
        keep_bytes: settings.keep_bytes,
        header,
        open: None,
        tell,
        counts: counts.clone(),
        failed: None,
    };
    let thread = thread::Builder::new()
        .name("usage log".into())
        .spawn(move || job.run(&entries))?;
    tracing::info!(directory = %directory.display(), incarnation, "usage log opened");
    Ok(Writer {
        queue: Some(queue),
        written,
        counts,
        stall: settings.stall,
        thread: Some(thread),
    })
}

impl Writer {
    /// Hands an entry on without waiting; false if there is no room.
    pub fn offer(&mut self, what: What) -> bool {
        let entry = Entry { what: Some(what) };
        self.queue
            .as_ref()
            .is_some_and(|queue| queue.try_send(entry).is_ok())
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// The sequence up to which nothing is left to wait for.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.written.clone()
    }

    pub fn stall_bound(&self) -> Duration {
        self.stall
    }

    pub fn note_lost(&self) {
        let lost = self.counts.lost.fetch_add(1, Ordering::Relaxed) + 1;
        if lost.is_power_of_two() {
            tracing::error!(lost, "usage records lost: the log takes none");
        }
    }

    pub fn note_late(&self) {
        let late = self.counts.late.fetch_add(1, Ordering::Relaxed) + 1;
        if late.is_power_of_two() {
            tracing::warn!(
                late,
                "answers that left before their usage record: the log has stalled"
            );
        }
    }

    /// Ends the writer once all that waits is written, or after a bounded time.
    pub fn finish(&mut self) {
        self.queue = None;
        let Some(thread) = self.thread.take() else {
            return;
        };
        let until = Instant::now() + CLOSE;
        while !thread.is_finished() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        if thread.is_finished() {
            let _ = thread.join();
        } else {
            tracing::error!("the usage log did not take its last records in time");
        }
        let (written, lost, late) = (&self.counts.written, &self.counts.lost, &self.counts.late);
        let [written, lost, late] =
            [written, lost, late].map(|count| count.load(Ordering::Relaxed));
        tracing::info!(written, lost, late, "usage log closed");
    }
}

struct Job<D> {
    disk: D,
    /// Held for as long as the log is written.
    _lock: File,
    directory: PathBuf,
    segment_bytes: u64,
    keep_bytes: u64,
    header: Header,
    open: Option<(File, u64)>,
    tell: watch::Sender<u64>,
    counts: Arc<Counts>,
    failed: Option<Instant>,
}

impl<D: Disk> Job<D> {
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
            while batch.len() < MOST_BATCH {
                match entries.try_recv() {
                    Ok(entry) => batch.push(entry),
                    Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
                }
            }
            bytes.clear();
            let mut records = 0;
            let first = last + 1;
            for entry in &batch {
                put_frame(&mut bytes, entry);
                if let Some(What::Record(record)) = &entry.what {
                    last = record.sequence;
                    records += 1;
                }
            }
            let count = match self.append(first, &bytes) {
                Ok(()) => &self.counts.written,
                Err(e) => {
                    if self.failed.replace(Instant::now()).is_none() {
                        tracing::error!(error = %e, "the usage log can't be written: records are lost until it can");
                    }
                    &self.counts.lost
                }
            };
            count.fetch_add(records, Ordering::Relaxed);
            self.tell.send_replace(last);
        }
    }

    /// Writes whole frames, in a new segment where the last one is full.
    fn append(&mut self, first: u64, bytes: &[u8]) -> io::Result<()> {
        if self.failed.is_some_and(|at| at.elapsed() < TRY_AGAIN) {
            return Err(io::Error::other("it could not be a moment ago"));
        }
        if self
            .open
            .as_ref()
            .is_some_and(|(_, length)| *length >= self.segment_bytes)
        {
            self.open = None;
        }
        let (mut file, length) = match self.open.take() {
            Some(open) => open,
            None => self.begin(first)?,
        };
        match self.disk.append(&mut file, bytes) {
            Ok(()) => {
                if self.failed.take().is_some() {
                    tracing::info!("the usage log can be written again");
                }
                self.open = Some((file, length + bytes.len() as u64));
                Ok(())
            }
            Err(e) => {
                // Half a frame in the middle would read as damage: back to the last whole one, or leave the
                // segment as it is and go on in another.
                if file.set_len(length).is_ok() {
                    self.open = Some((file, length));
                }
                Err(e)
            }
        }
    }

    fn begin(&mut self, first: u64) -> io::Result<(File, u64)> {
        let mut log_bytes = 0;
        for segment in segments(&self.directory)? {
            log_bytes += fs::metadata(&segment.path).map_or(0, |file| file.len());
        }
        if log_bytes + self.segment_bytes > self.keep_bytes {
            return Err(io::Error::other(
                "it holds as much as it may; nothing of it has been settled",
            ));
        }
        self.header.first_sequence = first;
        let mut bytes = MAGIC.to_vec();
        put_frame(&mut bytes, &self.header);
        let segment = Segment::new(&self.directory, self.header.incarnation, first);
        let mut file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&segment.path)?;
        file.set_len(0)?;
        if let Err(e) = self.disk.append(&mut file, &bytes) {
            let _ = fs::remove_file(&segment.path);
            return Err(e);
        }
        Ok((file, bytes.len() as u64))
    }
}

/// Forgets the segments that are settled for good: all but the last, as far as they hold nothing after `upto`.
/// Returns how many went.
///
/// # Errors
/// The folder can't be read, or a segment can't be removed.
pub fn forget(directory: &Path, upto: Position) -> io::Result<usize> {
    let all = segments(directory)?;
    let mut gone = 0;
    for pair in all.windows(2) {
        let [segment, next] = pair else { continue };
        let same = next.incarnation == segment.incarnation;
        let settled = Position {
            incarnation: segment.incarnation,
            sequence: next.first_sequence.saturating_sub(1),
        };
        if if same {
            upto >= settled
        } else {
            upto.incarnation > segment.incarnation
        } {
            fs::remove_file(&segment.path)?;
            gone += 1;
        }
    }
    Ok(gone)
}

/// A record as it goes into the log.
pub fn record(sequence: u64, arrived_ms: u64, outcome: Outcome, share: u32) -> Record {
    Record {
        sequence,
        arrived_ms,
        outcome: outcome.into(),
        share,
        ..Record::default()
    }
}

/// A mark as it goes into the log.
pub fn mark(sequence: u64, complete_ms: u64, end: bool) -> What {
    What::Mark(Mark {
        sequence,
        complete_ms,
        end,
    })
}

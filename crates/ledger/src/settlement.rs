//! The settlement service: collects each member's log, closes periods and exports documents.

use crate::export;
use crate::log::Position;
use crate::period::Period;
use crate::settings::LedgerSettings;
use crate::settle::{close_decision, CloseDecision, JoinLimits, MemberProgress};
use crate::store::{CloseParameters, Error, Statement, Store};
use crate::wire::usage_log_client::UsageLogClient;
use crate::wire::{AcknowledgeRequest, Batch, FollowRequest};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tonic::transport::Endpoint;

/// Batches of all members that may be queued for the store.
const MAX_QUEUED_BATCHES: usize = 8;
/// Interval of checking whether a period may close, and of polling the outbox.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between acknowledgements to a mixer, which lets it remove settled segments.
const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_secs(1);
/// Size limit of a member's message.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Upper bound of the exponential backoff of collection: 32 times the retry delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A command to a running settlement.
pub enum Control {
    /// Apply these settings, except for the calendar and the store, which change only at a start.
    Reload(Box<LedgerSettings>),
    /// Stop after the current step.
    Terminate,
}

/// A batch from a member, and the channel that reports the stored position.
struct ReceivedBatch {
    member: String,
    batch: Batch,
    stored: oneshot::Sender<Position>,
}

/// The store and the current settings.
pub struct Settlement {
    pub store: Store,
    pub settings: LedgerSettings,
    /// The period and missing members that were last logged as awaited, so that each wait is logged once.
    reported_wait: Option<(Period, Vec<String>)>,
}

/// The current time in Unix milliseconds.
pub fn unix_ms_now() -> i64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as i64
}

impl Settlement {
    pub fn new(store: Store, settings: LedgerSettings) -> Settlement {
        Settlement {
            store,
            settings,
            reported_wait: None,
        }
    }

    pub fn bounds(&self) -> JoinLimits {
        JoinLimits {
            horizon_ms: self.settings.horizon_ms,
            skew_ms: self.settings.skew_ms,
        }
    }

    /// Stores a batch; returns the member's position afterwards.
    pub fn ingest(&mut self, member: &str, batch: &Batch) -> Result<Position, Error> {
        let ingested = self
            .store
            .ingest(member, batch, &self.settings.calendar, self.bounds())?;
        for damage in &batch.damage {
            let (segment, from, to) = (&damage.segment, damage.from, damage.to);
            tracing::error!(member, segment, from, to, "usage log has damaged bytes");
        }
        if ingested.late > 0 {
            tracing::warn!(
                member,
                late = ingested.late,
                "records that may change closed periods arrived; those periods are settled again"
            );
        }
        self.store.position(member)
    }

    /// Closes the next period if it may close at `now`.
    pub fn close_next(&mut self, now: i64) -> Result<Option<Statement>, Error> {
        let Some(period) = self.store.next_period(&self.settings.calendar)? else {
            return Ok(None);
        };
        let bounds = self.bounds();
        if now < bounds.arrival_range(period).1 {
            return Ok(None);
        }
        let watermarks: HashMap<String, i64> = self
            .store
            .member_statuses()?
            .into_iter()
            .map(|status| (status.member, status.watermark_ms))
            .collect();
        let participated = |member: &&crate::settings::MemberSettings| {
            member.from_ms < period.end && member.until_ms > period.start
        };
        let members = self
            .settings
            .members
            .iter()
            .filter(|(_, member)| participated(member));
        let members: Vec<MemberProgress> = members
            .map(|(name, _)| MemberProgress {
                member: name.clone(),
                watermark_ms: watermarks.get(name).copied(),
            })
            .collect();
        let missing = match close_decision(period, bounds, self.settings.grace_ms, now, &members) {
            CloseDecision::Complete => Vec::new(),
            CloseDecision::Incomplete(missing) => missing,
            CloseDecision::Wait(missing) => {
                let waits = Some((period, missing));
                if self.reported_wait != waits {
                    if let Some((period, missing)) = &waits {
                        tracing::info!(
                            period = period.name(),
                            missing = missing.join(" "),
                            "closing of the period waits for records of members"
                        );
                    }
                    self.reported_wait = waits;
                }
                return Ok(None);
            }
        };
        let parameters = CloseParameters {
            bounds,
            prices: &self.settings.prices,
            allowances: &self.settings.allowances,
            members: members.into_iter().map(|member| member.member).collect(),
            missing: &missing,
            now,
        };
        let statement = self.store.close(period, &parameters)?;
        let (lines, total) = (statement.lines.len(), statement.total);
        let missing = missing.join(" ");
        tracing::info!(
            period = statement.period,
            lines,
            total,
            missing,
            "period closed"
        );
        Ok(Some(statement))
    }
}

/// Collects from one member, with retries, until the task is aborted.
async fn collect_member(
    member: String,
    address: SocketAddr,
    path: PathBuf,
    timings: Arc<Mutex<CollectionTimings>>,
    received: mpsc::Sender<ReceivedBatch>,
) {
    let mut failures: u32 = 0;
    loop {
        let started = Instant::now();
        let result = collect_stream(&member, address, &path, &timings, &received).await;
        let current = *timings
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        failures = if started.elapsed() > current.silence_timeout {
            0
        } else {
            failures + 1
        };
        let delay =
            current.retry_delay * 2u32.pow(failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS));
        if failures <= 1 {
            tracing::info!(member, %address, error = result.err(), "collection from member ended; retrying without further messages until it succeeds");
        }
        tokio::time::sleep(delay).await;
    }
}

/// Settings of the collection that a reload may change.
#[derive(Clone, Copy)]
struct CollectionTimings {
    retry_delay: Duration,
    silence_timeout: Duration,
}

/// Collects from one member over one connection.
async fn collect_stream(
    member: &str,
    address: SocketAddr,
    path: &Path,
    timings: &Arc<Mutex<CollectionTimings>>,
    received: &mpsc::Sender<ReceivedBatch>,
) -> Result<(), String> {
    let silence_timeout = timings
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .silence_timeout;
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(|e| e.to_string())?;
    let channel = endpoint
        .connect_timeout(silence_timeout)
        .connect()
        .await
        .map_err(|e| e.to_string())?;
    let mut client = UsageLogClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    // The position comes from the store, which is correct also after a crash of this process.
    let path = path.to_path_buf();
    let name = member.to_string();
    let after = tokio::task::spawn_blocking(move || {
        Store::open(&path).and_then(|store| store.position(&name))
    })
    .await;
    let after = after
        .map_err(|e| e.to_string())?
        .map_err(|e| e.to_string())?;
    let request = FollowRequest {
        incarnation: after.incarnation,
        sequence: after.sequence,
    };
    let mut batches = timeout(silence_timeout, client.follow(request))
        .await
        .map_err(|_| "no answer within the silence timeout".to_string())?
        .map_err(|e| e.to_string())?
        .into_inner();
    let mut acknowledged = Instant::now();
    loop {
        let next = timeout(silence_timeout, batches.message())
            .await
            .map_err(|_| "no message within the silence timeout".to_string())?;
        let Some(batch) = next.map_err(|e| e.to_string())? else {
            return Err("the member closed the stream".into());
        };
        if batch.header.is_none() && batch.entries.is_empty() && batch.damage.is_empty() {
            continue;
        }
        if let Some(header) = batch
            .header
            .as_ref()
            .filter(|header| header.mixer != member)
        {
            return Err(format!(
                "the mixer at this address is {}, expected {member}",
                header.mixer
            ));
        }
        let (stored, position) = oneshot::channel();
        let sent = received
            .send(ReceivedBatch {
                member: member.into(),
                batch,
                stored,
            })
            .await;
        sent.map_err(|_| "the settlement is stopping".to_string())?;
        let position = position
            .await
            .map_err(|_| "the batch was not stored".to_string())?;
        if acknowledged.elapsed() >= ACKNOWLEDGE_INTERVAL {
            let Position {
                incarnation,
                sequence,
            } = position;
            let acknowledgement = client.acknowledge(AcknowledgeRequest {
                incarnation,
                sequence,
            });
            timeout(silence_timeout, acknowledgement)
                .await
                .map_err(|_| "no acknowledgement within the silence timeout".to_string())?
                .map_err(|e| e.to_string())?;
            acknowledged = Instant::now();
        }
    }
}

/// Sends the documents of the outbox, each until it is acknowledged, until `stop` is set.
fn run_exporter(
    path: &Path,
    settings: &Arc<Mutex<LedgerSettings>>,
    stop: &std::sync::atomic::AtomicBool,
) -> Result<(), Error> {
    let store = Store::open(path)?;
    let mut next: HashMap<String, Instant> = HashMap::new();
    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
        let target = settings
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .export
            .clone();
        if target.folder.is_some() || target.url.is_some() {
            for document in store.outbox(target.folder.is_some(), target.url.is_some())? {
                if stop.load(std::sync::atomic::Ordering::Relaxed) {
                    return Ok(());
                }
                if next
                    .get(&document.id)
                    .is_some_and(|at| *at > Instant::now())
                {
                    continue;
                }
                let (in_folder, posted, error) = export::send(&target, &document);
                store.record_delivery(
                    &document.id,
                    in_folder,
                    posted,
                    error.as_deref(),
                    unix_ms_now(),
                )?;
                match error {
                    None => {
                        next.remove(&document.id);
                    }
                    Some(error) => {
                        let attempts = document.attempts + 1;
                        tracing::warn!(
                            document = document.id,
                            attempts,
                            error,
                            "document not acknowledged"
                        );
                        next.insert(
                            document.id,
                            Instant::now() + export::retry_delay(target.retry_delay, attempts),
                        );
                    }
                }
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Runs the settlement until [`Control::Terminate`], or until all senders of `controls` are dropped.
///
/// # Errors
/// The store cannot be opened, read or written.
pub async fn serve(
    path: PathBuf,
    settings: LedgerSettings,
    mut controls: mpsc::Receiver<Control>,
) -> Result<(), Error> {
    let mut settlement = Settlement::new(Store::open(&path)?, settings.clone());
    let shared = Arc::new(Mutex::new(settings));
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let exporter = {
        let (path, shared, stop) = (path.clone(), shared.clone(), stop.clone());
        std::thread::spawn(move || {
            if let Err(e) = run_exporter(&path, &shared, &stop) {
                tracing::error!(error = %e, "export of documents failed");
            }
        })
    };
    let timings = Arc::new(Mutex::new(CollectionTimings {
        retry_delay: settlement.settings.retry_delay,
        silence_timeout: settlement.settings.silence_timeout,
    }));
    let (send, mut received) = mpsc::channel(MAX_QUEUED_BATCHES);
    let mut collectors: BTreeMap<String, (SocketAddr, AbortHandle)> = BTreeMap::new();
    loop {
        let members = &settlement.settings.members;
        collectors.retain(|name, (address, task)| {
            let unchanged = members
                .get(name)
                .is_some_and(|member| member.address == *address);
            if !unchanged {
                task.abort();
            }
            unchanged
        });
        for (name, member) in members {
            collectors.entry(name.clone()).or_insert_with(|| {
                let task = collect_member(
                    name.clone(),
                    member.address,
                    path.clone(),
                    timings.clone(),
                    send.clone(),
                );
                (member.address, tokio::spawn(task).abort_handle())
            });
        }
        tokio::select! {
            biased;
            control = controls.recv() => match control {
                Some(Control::Reload(next)) => {
                    *shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = (*next).clone();
                    *timings.lock().unwrap_or_else(std::sync::PoisonError::into_inner) =
                        CollectionTimings { retry_delay: next.retry_delay, silence_timeout: next.silence_timeout };
                    // The calendar and the store change only at a start.
                    let calendar = settlement.settings.calendar.clone();
                    settlement.settings = LedgerSettings { calendar, ..*next };
                }
                Some(Control::Terminate) | None => break,
            },
            Some(ReceivedBatch { member, batch, stored }) = received.recv() => {
                let position = tokio::task::block_in_place(|| settlement.ingest(&member, &batch))?;
                let _ = stored.send(position);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        tokio::task::block_in_place(|| settlement.close_next(unix_ms_now()))?;
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    collectors.values().for_each(|(_, task)| task.abort());
    let _ = tokio::task::spawn_blocking(move || exporter.join()).await;
    Ok(())
}

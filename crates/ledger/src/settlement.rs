//! The settlement service: follows each member's log, closes periods, and sends documents on.

use crate::export;
use crate::log::Position;
use crate::period::Period;
use crate::settings::Ledger;
use crate::settle::{closing, Bounds, Closing, Known};
use crate::store::{Error, Statement, Store, Terms};
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

/// Batches that may wait for the store, from all members together.
const MOST_WAITING: usize = 8;
/// Between two looks at whether a period may close, and at the outbox.
const LOOK: Duration = Duration::from_millis(100);
/// Between two words to a mixer on what it may forget.
const ACKNOWLEDGE: Duration = Duration::from_secs(1);
/// The most that a member's message may take.
const MOST_MESSAGE: usize = 16 << 20;
/// How often a wait is doubled at the most.
const MOST_DOUBLED: u32 = 5;

/// A command to a running settlement.
pub enum Control {
    /// Put these settings in force, but for the calendar and the store, which stay as they were at the start.
    Reload(Box<Ledger>),
    /// End once what is under way is done.
    Terminate,
}

/// A batch from a member, and where to say up to what it is in the store.
struct Arrived {
    member: String,
    batch: Batch,
    stored: oneshot::Sender<Position>,
}

/// The store with the settings in force.
pub struct Settlement {
    pub store: Store,
    pub settings: Ledger,
    /// What a waiting period was last said to wait for.
    waits: Option<(Period, Vec<String>)>,
}

/// Unix milliseconds.
pub fn now() -> i64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    now.as_millis() as i64
}

impl Settlement {
    pub fn new(store: Store, settings: Ledger) -> Settlement {
        Settlement {
            store,
            settings,
            waits: None,
        }
    }

    pub fn bounds(&self) -> Bounds {
        Bounds {
            horizon: self.settings.horizon,
            skew: self.settings.skew,
        }
    }

    /// Takes a batch into the store.
    pub fn take(&mut self, member: &str, batch: &Batch) -> Result<Position, Error> {
        let took = self
            .store
            .ingest(member, batch, &self.settings.calendar, self.bounds())?;
        for damage in &batch.damage {
            let (segment, from, to) = (&damage.segment, damage.from, damage.to);
            tracing::error!(member, segment, from, to, "damaged bytes in a usage log");
        }
        if took.late > 0 {
            tracing::warn!(
                member,
                late = took.late,
                "late records: they will adjust the next statement"
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
        if now < bounds.seen(period).1 {
            return Ok(None);
        }
        let complete: HashMap<String, i64> = self
            .store
            .standings()?
            .into_iter()
            .map(|standing| (standing.member, standing.complete))
            .collect();
        let took_part = |member: &&crate::settings::Member| {
            member.from < period.end && member.until > period.start
        };
        let members = self
            .settings
            .members
            .iter()
            .filter(|(_, member)| took_part(member));
        let members: Vec<Known> = members
            .map(|(name, _)| Known {
                member: name.clone(),
                complete: complete.get(name).copied(),
            })
            .collect();
        let missing = match closing(period, bounds, self.settings.grace, now, &members) {
            Closing::Whole => Vec::new(),
            Closing::Without(missing) => missing,
            Closing::Waits(missing) => {
                let waits = Some((period, missing));
                if self.waits != waits {
                    if let Some((period, missing)) = &waits {
                        tracing::info!(
                            period = period.name(),
                            missing = missing.join(" "),
                            "a period waits for members"
                        );
                    }
                    self.waits = waits;
                }
                return Ok(None);
            }
        };
        let terms = Terms {
            bounds,
            prices: &self.settings.prices,
            allowances: &self.settings.allowances,
            members: members.into_iter().map(|known| known.member).collect(),
            missing: &missing,
            now,
        };
        let statement = self.store.close(period, &terms)?;
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

/// Follows one member until it is aborted.
async fn follow(
    member: String,
    address: SocketAddr,
    path: PathBuf,
    waits: Arc<Mutex<Waits>>,
    arrived: mpsc::Sender<Arrived>,
) {
    let mut failures: u32 = 0;
    loop {
        let began = Instant::now();
        let end = watch(&member, address, &path, &waits, &arrived).await;
        let waits = *waits
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        failures = if began.elapsed() > waits.silent {
            0
        } else {
            failures + 1
        };
        let wait = waits.again * 2u32.pow(failures.saturating_sub(1).min(MOST_DOUBLED));
        if failures <= 1 {
            tracing::info!(member, %address, error = end.err(), "collection ended; it will be asked again");
        }
        tokio::time::sleep(wait).await;
    }
}

#[derive(Clone, Copy)]
struct Waits {
    again: Duration,
    silent: Duration,
}

async fn watch(
    member: &str,
    address: SocketAddr,
    path: &Path,
    waits: &Arc<Mutex<Waits>>,
    arrived: &mpsc::Sender<Arrived>,
) -> Result<(), String> {
    let silent = waits
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
        .silent;
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(|e| e.to_string())?;
    let channel = endpoint
        .connect_timeout(silent)
        .connect()
        .await
        .map_err(|e| e.to_string())?;
    let mut client = UsageLogClient::new(channel).max_decoding_message_size(MOST_MESSAGE);
    // The store alone knows how far it got, whatever became of this process before.
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
    let mut batches = client
        .follow(request)
        .await
        .map_err(|e| e.to_string())?
        .into_inner();
    let mut acknowledged = Instant::now();
    loop {
        let next = timeout(silent, batches.message())
            .await
            .map_err(|_| "silent for too long".to_string())?;
        let Some(batch) = next.map_err(|e| e.to_string())? else {
            return Err("the stream ended".into());
        };
        if batch.header.is_none() && batch.entries.is_empty() && batch.damage.is_empty() {
            continue;
        }
        if let Some(header) = batch
            .header
            .as_ref()
            .filter(|header| header.mixer != member)
        {
            return Err(format!("the mixer there is {}, not {member}", header.mixer));
        }
        let (stored, position) = oneshot::channel();
        let sent = arrived
            .send(Arrived {
                member: member.into(),
                batch,
                stored,
            })
            .await;
        sent.map_err(|_| "the settlement ends".to_string())?;
        let position = position
            .await
            .map_err(|_| "the store did not take it".to_string())?;
        if acknowledged.elapsed() >= ACKNOWLEDGE {
            let Position {
                incarnation,
                sequence,
            } = position;
            let said = client
                .acknowledge(AcknowledgeRequest {
                    incarnation,
                    sequence,
                })
                .await;
            said.map_err(|e| e.to_string())?;
            acknowledged = Instant::now();
        }
    }
}

/// Sends what stands in the outbox, each document until it is acknowledged.
fn export(
    path: &Path,
    settings: &Arc<Mutex<Ledger>>,
    over: &std::sync::atomic::AtomicBool,
) -> Result<(), Error> {
    let store = Store::open(path)?;
    let mut next: HashMap<String, Instant> = HashMap::new();
    while !over.load(std::sync::atomic::Ordering::Relaxed) {
        let to = settings
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
            .export
            .clone();
        if to.folder.is_some() || to.url.is_some() {
            for document in store.outbox(to.folder.is_some(), to.url.is_some())? {
                if over.load(std::sync::atomic::Ordering::Relaxed) {
                    return Ok(());
                }
                if next
                    .get(&document.id)
                    .is_some_and(|at| *at > Instant::now())
                {
                    continue;
                }
                let (in_folder, posted, error) = export::send(&to, &document);
                store.sent(&document.id, in_folder, posted, error.as_deref(), now())?;
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
                            Instant::now() + export::wait(to.again, attempts),
                        );
                    }
                }
            }
        }
        std::thread::sleep(LOOK);
    }
    Ok(())
}

/// Runs the settlement until [`Control::Terminate`], or until nobody can send a command any more.
///
/// # Errors
/// The store can't be used.
pub async fn serve(
    path: PathBuf,
    settings: Ledger,
    mut controls: mpsc::Receiver<Control>,
) -> Result<(), Error> {
    let mut settlement = Settlement::new(Store::open(&path)?, settings.clone());
    let shared = Arc::new(Mutex::new(settings));
    let over = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let exporter = {
        let (path, shared, over) = (path.clone(), shared.clone(), over.clone());
        std::thread::spawn(move || {
            if let Err(e) = export(&path, &shared, &over) {
                tracing::error!(error = %e, "export ended");
            }
        })
    };
    let waits = Arc::new(Mutex::new(Waits {
        again: settlement.settings.again,
        silent: settlement.settings.silent,
    }));
    let (send, mut arrived) = mpsc::channel(MOST_WAITING);
    let mut followed: BTreeMap<String, (SocketAddr, AbortHandle)> = BTreeMap::new();
    loop {
        let members = &settlement.settings.members;
        followed.retain(|name, (address, task)| {
            let stays = members
                .get(name)
                .is_some_and(|member| member.address == *address);
            if !stays {
                task.abort();
            }
            stays
        });
        for (name, member) in members {
            followed.entry(name.clone()).or_insert_with(|| {
                let task = follow(
                    name.clone(),
                    member.address,
                    path.clone(),
                    waits.clone(),
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
                    *waits.lock().unwrap_or_else(std::sync::PoisonError::into_inner) =
                        Waits { again: next.again, silent: next.silent };
                    // The calendar and the store stay what they were at the start.
                    let calendar = settlement.settings.calendar.clone();
                    settlement.settings = Ledger { calendar, ..*next };
                }
                Some(Control::Terminate) | None => break,
            },
            Some(Arrived { member, batch, stored }) = arrived.recv() => {
                let position = tokio::task::block_in_place(|| settlement.take(&member, &batch))?;
                let _ = stored.send(position);
            }
            () = tokio::time::sleep(LOOK) => {}
        }
        tokio::task::block_in_place(|| settlement.close_next(now()))?;
    }
    over.store(true, std::sync::atomic::Ordering::Relaxed);
    followed.values().for_each(|(_, task)| task.abort());
    let _ = tokio::task::spawn_blocking(move || exporter.join()).await;
    Ok(())
}

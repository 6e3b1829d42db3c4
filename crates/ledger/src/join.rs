//! Deduplication of client retries: joins the attempts of one client query into one use.
//!
//! Pure: attempts are pushed in the order of their arrival, and complete uses are emitted. These rules apply:
//! - An attempt with a key that the client sent joins the use of that key, whether or not it is marked as a retry and
//!   whatever the outcomes of the earlier attempts. The first attempt with the key starts the use.
//! - An attempt without such a key that is not marked as a retry starts a use.
//! - A retry without such a key joins a use of the same tenant, class and request content whose first attempt is within
//!   the class's give-up time: the one whose last attempt has been unanswered for longest. Only the last attempt of a
//!   use counts, so that each attempt is repeated by at most one retry. An attempt whose answer may not have been
//!   delivered, because its mixer crashed right afterwards, counts as unanswered but is considered last.
//!
//! A retry without a matching use starts one: its first attempt reached no mixer, or the record was lost in a crash.
//! The clocks of mixers may differ, so a retry may seem to arrive up to the clock skew before the attempt that it
//! repeats.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The outcome of a client attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    Complete,
    /// With this coverage: the answered fraction of the weight, in millionths.
    Partial(u32),
    Rejected,
    Failed,
    ClientDisconnected,
}

impl Outcome {
    /// Whether the client got an answer, complete or partial.
    pub fn answered(self) -> bool {
        matches!(self, Outcome::Complete | Outcome::Partial(_))
    }

    /// The name in reports, CSV files and statements.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Complete => "whole",
            Outcome::Partial(_) => "partial",
            Outcome::Rejected => "refused",
            Outcome::Failed => "failed",
            Outcome::ClientDisconnected => "left",
        }
    }

    /// The coverage of a partial answer in millionths; 0 for any other outcome.
    pub fn coverage_millionths(self) -> u32 {
        match self {
            Outcome::Partial(coverage) => coverage,
            _ => 0,
        }
    }

    /// The outcome of a use with these two attempts: the better one.
    fn combine(self, other: Outcome) -> Outcome {
        match (self, other) {
            (Outcome::Complete, _) | (_, Outcome::Complete) => Outcome::Complete,
            (Outcome::Partial(a), Outcome::Partial(b)) => Outcome::Partial(a.max(b)),
            (Outcome::Partial(_), _) => self,
            // Neither was answered: the later attempt decides.
            (_, later) => later,
        }
    }
}

/// The usage record of one client attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientAttempt {
    /// Arrival in Unix milliseconds, by its mixer's clock.
    pub arrived_ms: i64,
    /// The id of the member in the store.
    pub member: u32,
    /// The run of the member.
    pub incarnation: u64,
    pub sequence: u64,
    pub tenant: u32,
    pub class: u32,
    pub outcome: Outcome,
    pub parts: u32,
    /// Attempts at parts, over all parts.
    pub part_attempts: u32,
    /// Attempts at parts in another zone.
    pub cross_zone_attempts: u32,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
    /// Hash of the client's idempotency key, or of the request content without one.
    pub key: u64,
    /// Whether the client sent the key.
    pub key_from_client: bool,
    /// The class's give-up time in milliseconds.
    pub retry_window_ms: i64,
    /// Whether the mixer crashed before a watermark confirmed this record: the answer may not have been delivered.
    pub delivery_uncertain: bool,
}

/// Identifies a record: arrival in Unix milliseconds, member, incarnation and sequence. Sorts by arrival.
pub type RecordId = (i64, u32, u64, u64);

impl ClientAttempt {
    pub fn id(&self) -> RecordId {
        (
            self.arrived_ms,
            self.member,
            self.incarnation,
            self.sequence,
        )
    }

    fn accepts_retry(&self) -> bool {
        !self.outcome.answered() || self.delivery_uncertain
    }
}

/// One client query: its attempts, in the order in which they were joined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Use {
    pub attempts: Vec<ClientAttempt>,
    /// The best outcome of the attempts.
    pub outcome: Outcome,
    /// Retries that matched more than one open use, or only answered ones: another assignment would give other counts.
    pub ambiguous: Vec<RecordId>,
}

impl Use {
    fn new(first: ClientAttempt, ambiguous: bool) -> Use {
        let ambiguous = if ambiguous {
            vec![first.id()]
        } else {
            Vec::new()
        };
        Use {
            attempts: vec![first],
            outcome: first.outcome,
            ambiguous,
        }
    }

    /// The first attempt whose record is known.
    pub fn first(&self) -> &ClientAttempt {
        &self.attempts[0]
    }

    fn last(&self) -> &ClientAttempt {
        &self.attempts[self.attempts.len() - 1]
    }

    fn join(&mut self, retry: ClientAttempt, ambiguous: bool) {
        self.outcome = self.outcome.combine(retry.outcome);
        if ambiguous {
            self.ambiguous.push(retry.id());
        }
        self.attempts.push(retry);
    }
}

/// Tenant, class, key, and whether the client sent the key.
type DeduplicationKey = (u32, u32, u64, bool);

/// Joins attempts that are pushed in the order of [`ClientAttempt::id`]. Retains only uses that a later attempt may
/// join.
#[derive(Debug)]
pub struct Joiner {
    skew_ms: i64,
    /// Milliseconds after its first attempt that a use with a client's key accepts retries.
    horizon_ms: i64,
    open_uses: HashMap<DeduplicationKey, Vec<Use>>,
    /// Keys of open uses, by the time after which the use accepts no retry and by its first attempt.
    expiry: BTreeMap<(i64, RecordId), DeduplicationKey>,
    /// Retries, and all attempts with a client's key, that are retained until every attempt that they may repeat has
    /// been pushed.
    pending: VecDeque<ClientAttempt>,
    /// Retries that the previous period has found to be ambiguous.
    ambiguous_retries: BTreeSet<RecordId>,
}

impl Joiner {
    /// Creates a joiner for mixers whose clocks differ by at most `skew_ms`. A use with a client's key accepts retries
    /// for `horizon_ms` after its first attempt.
    pub fn new(skew_ms: i64, horizon_ms: i64) -> Joiner {
        let (open_uses, expiry, pending, ambiguous_retries) = Default::default();
        Joiner {
            skew_ms,
            horizon_ms,
            open_uses,
            expiry,
            pending,
            ambiguous_retries,
        }
    }

    /// Creates a joiner like [`Joiner::new`], with the retries that are already known to be ambiguous.
    pub fn with_ambiguous_retries(
        skew_ms: i64,
        horizon_ms: i64,
        ambiguous_retries: BTreeSet<RecordId>,
    ) -> Joiner {
        Joiner {
            ambiguous_retries,
            ..Joiner::new(skew_ms, horizon_ms)
        }
    }

    fn deduplication_key(attempt: &ClientAttempt) -> DeduplicationKey {
        (
            attempt.tenant,
            attempt.class,
            attempt.key,
            attempt.key_from_client,
        )
    }

    /// Milliseconds after the first attempt within which `attempt` may join its use.
    fn retry_window_ms(&self, attempt: &ClientAttempt) -> i64 {
        if attempt.key_from_client {
            self.horizon_ms
        } else {
            attempt.retry_window_ms.min(self.horizon_ms)
        }
    }

    /// Adds the next attempt. Uses that accept no further attempt are passed to `emit`.
    pub fn push(&mut self, attempt: ClientAttempt, emit: &mut impl FnMut(Use)) {
        self.advance(attempt.arrived_ms, emit);
        if attempt.client_retry || attempt.key_from_client {
            self.pending.push_back(attempt);
        } else {
            self.start_use(attempt, false);
        }
    }

    /// Emits the remaining uses; no attempt may follow.
    pub fn finish(&mut self, emit: &mut impl FnMut(Use)) {
        self.advance(i64::MAX, emit);
    }

    fn start_use(&mut self, first: ClientAttempt, ambiguous: bool) {
        let key = Joiner::deduplication_key(&first);
        let expires = first
            .arrived_ms
            .saturating_add(self.retry_window_ms(&first))
            .saturating_add(2 * self.skew_ms);
        self.expiry.insert((expires, first.id()), key);
        self.open_uses
            .entry(key)
            .or_default()
            .push(Use::new(first, ambiguous));
    }

    /// Joins the pending attempts and emits the uses that are final once all attempts that arrived before `now` have
    /// been pushed.
    fn advance(&mut self, now: i64, emit: &mut impl FnMut(Use)) {
        while let Some(retry) = self.pending.front().copied() {
            if retry.arrived_ms.saturating_add(self.skew_ms) >= now {
                break;
            }
            self.pending.pop_front();
            self.emit_expired(retry.arrived_ms, emit);
            self.join_retry(retry);
        }
        let joined_until = self.pending.front().map_or(now, |retry| retry.arrived_ms);
        self.emit_expired(joined_until, emit);
    }

    /// Emits the uses that no attempt at or after `now` can join.
    fn emit_expired(&mut self, now: i64, emit: &mut impl FnMut(Use)) {
        while let Some((&(expires, id), key)) = self.expiry.first_key_value() {
            if expires >= now {
                break;
            }
            let key = *key;
            self.expiry.remove(&(expires, id));
            let Some(uses) = self.open_uses.get_mut(&key) else {
                continue;
            };
            if let Some(index) = uses.iter().position(|open| open.first().id() == id) {
                emit(uses.remove(index));
            }
            if uses.is_empty() {
                self.open_uses.remove(&key);
            }
        }
    }

    fn join_retry(&mut self, retry: ClientAttempt) {
        let (skew, window) = (self.skew_ms, self.retry_window_ms(&retry));
        let key = Joiner::deduplication_key(&retry);
        let uses = self.open_uses.entry(key).or_default();
        let within = |candidate: &Use| {
            let first = candidate.first().arrived_ms;
            first >= retry.arrived_ms.saturating_sub(window + skew)
                && candidate.last().arrived_ms <= retry.arrived_ms.saturating_add(skew)
        };
        if retry.key_from_client {
            // All attempts with the client's key belong to its use, whatever their outcomes.
            if let Some(found) = uses.iter_mut().find(|candidate| within(candidate)) {
                return found.join(retry, false);
            }
            return self.start_use(retry, false);
        }
        let open: Vec<usize> = (0..uses.len())
            .filter(|i| within(&uses[*i]) && uses[*i].last().accepts_retry())
            .collect();
        // Unanswered attempts rank before answered ones of uncertain delivery. Attempts that arrived before the retry
        // rank before those that seem later because of clock skew.
        let rank = |i: &usize| {
            let last = uses[*i].last();
            (
                last.outcome.answered(),
                last.arrived_ms > retry.arrived_ms,
                last.id(),
            )
        };
        let known_ambiguous = self.ambiguous_retries.contains(&retry.id());
        match open.iter().copied().min_by_key(rank) {
            Some(best) => uses[best].join(retry, known_ambiguous || open.len() > 1),
            None => {
                let answered = uses.iter().any(within);
                self.start_use(retry, known_ambiguous || answered);
            }
        }
    }
}

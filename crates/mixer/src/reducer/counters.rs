//! Counters of what has happened since the start. `/-/stats` and the log line at the exit have them as JSON; a field
//! whose key there differs states it.

use cottonhill_decisions::Outcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// What `/-/stats` shows: the counters, and how fresh the endpoint list is.
#[derive(Serialize)]
pub struct Stats<'a> {
    /// The counters.
    #[serde(flatten)]
    pub counters: &'a Counters,
    /// The version of the current endpoint list.
    #[serde(rename = "list")]
    pub endpoint_list_version: u64,
    /// Milliseconds since the last update or heartbeat of discovery was received; before that, since the start.
    #[serde(rename = "heard_ms_ago")]
    pub ms_since_discovery_message: u64,
}

/// All counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    /// Requests of clients.
    #[serde(rename = "taken")]
    pub requests: RequestCounters,
    /// What was sent to leaf servers and other mixers.
    pub sent: SentCounters,
    /// How attempts ended.
    #[serde(rename = "ended")]
    pub attempt_outcomes: OutcomeCounters,
    /// How accepted queries ended.
    #[serde(rename = "answered")]
    pub replies: ReplyCounters,
    /// Connections of clients and to leaf servers.
    pub connections: ConnectionCounters,
    /// Endpoint updates applied, snapshots and deltas.
    #[serde(rename = "lists")]
    pub endpoint_updates: u64,
    /// What was wrong with endpoint updates.
    #[serde(rename = "bad_lists")]
    pub update_faults: UpdateFaultCounters,
    /// The watch on discovery.
    pub watches: WatchCounters,
    /// Usage records passed to the transport; 0 if no usage is recorded.
    #[serde(rename = "recorded")]
    pub usage_records: u64,
    /// The usage records by `TENANT CLASS`, as the settings name them.
    #[serde(rename = "recorded_of", skip_serializing_if = "BTreeMap::is_empty")]
    pub usage_records_by_class: BTreeMap<String, u64>,
    /// Times that the configuration was read again.
    pub reloads: ReloadCounters,
    /// What must never happen; each is logged with its cause.
    pub faults: FaultCounters,
}

/// Requests of clients.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounters {
    /// Queries accepted.
    pub queries: u64,
    /// Parts of the queries accepted.
    pub parts: u64,
    /// Of the queries accepted, those that their clients marked as retries.
    #[serde(rename = "repeats")]
    pub client_retries: u64,
    /// Requests that can't be served: malformed, for an unknown path, class, tenant or shard, or with the id of an open
    /// query.
    #[serde(rename = "rejected")]
    pub invalid: u64,
    /// Queries rejected since open queries and unanswered parts together had reached their limit.
    #[serde(rename = "over_cap")]
    pub over_limit: u64,
    /// Queries rejected since no time remained: of their clients' timeouts, or before the exit.
    #[serde(rename = "too_late")]
    pub deadline_exceeded: u64,
}

/// What was sent to leaf servers and other mixers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SentCounters {
    /// Calls handed to sockets; one carries one or more attempts.
    pub calls: u64,
    /// Attempts that the coordinator decided on, those included that were not sent after all.
    pub attempts: u64,
    /// Of the attempts, those beside the first at a part: retries and hedged requests.
    #[serde(rename = "further_attempts")]
    pub extra_attempts: u64,
    /// Cancellations of attempts.
    #[serde(rename = "give_ups")]
    pub cancellations: u64,
    /// Probes of leaf servers.
    pub probes: u64,
    /// Datagrams to other mixers.
    pub datagrams: u64,
}

/// How attempts ended, by [`Outcome`].
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutcomeCounters {
    /// [`Outcome::Ok`].
    pub ok: u64,
    /// [`Outcome::Error`].
    pub error: u64,
    /// [`Outcome::Rejected`].
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// [`Outcome::TimedOut`].
    pub timed_out: u64,
    /// [`Outcome::ConnectFailed`].
    #[serde(rename = "unreachable")]
    pub connect_failed: u64,
    /// [`Outcome::ConnectionReset`].
    #[serde(rename = "broken")]
    pub connection_reset: u64,
    /// [`Outcome::Cancelled`].
    pub cancelled: u64,
    /// [`Outcome::NotSent`].
    pub not_sent: u64,
}

impl OutcomeCounters {
    /// Counts an attempt that ended so.
    pub(super) fn count(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Ok => &mut self.ok,
            Outcome::Error => &mut self.error,
            Outcome::Rejected => &mut self.rejected,
            Outcome::TimedOut => &mut self.timed_out,
            Outcome::ConnectFailed => &mut self.connect_failed,
            Outcome::ConnectionReset => &mut self.connection_reset,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
        };
        *counter += 1;
    }
}

/// How accepted queries ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplyCounters {
    /// Answered from parts whose weight reaches the class's completeness threshold.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Answered as partial, from parts whose weight reaches the class's minimum coverage.
    pub partial: u64,
    /// Rejected by the coordinator.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Not replied to, since the client had disconnected.
    #[serde(rename = "client_gone")]
    pub client_disconnected: u64,
}

/// Connections of clients and to leaf servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConnectionCounters {
    /// Connections of clients accepted.
    pub clients: u64,
    /// Connects to leaf servers started.
    pub opened: u64,
    /// Connects to leaf servers that failed or timed out.
    #[serde(rename = "failed")]
    pub connect_failed: u64,
    /// Established connections to leaf servers that ended without being closed by the reducer: reset, closed by the
    /// server, or failed.
    #[serde(rename = "broken")]
    pub lost: u64,
    /// Times that a connection fell silent: an attempt was left unanswered and nothing was received since.
    #[serde(rename = "silent")]
    pub unresponsive: u64,
    /// Connections closed since a malformed answer was received, or one to an attempt that was never sent.
    #[serde(rename = "spoilt")]
    pub malformed: u64,
    /// Connections closed since they were idle for too long.
    #[serde(rename = "idle")]
    pub idle_timeouts: u64,
    /// Connections closed since their socket had not taken a call by the time until which it could start.
    #[serde(rename = "stuck")]
    pub write_stalled: u64,
    /// Idle connections closed to make room for one to another leaf server.
    pub evicted: u64,
}

/// The watch on discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WatchCounters {
    /// Watches and snapshots requested.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Watches that ended, and requests for a snapshot that failed.
    pub ended: u64,
    /// Of those ended, the ones that timed out: no connection, update or heartbeat in time.
    #[serde(rename = "silent")]
    pub timed_out: u64,
    /// Attempts withdrawn before they were handed to a socket, since an update announced that their replica is draining
    /// or gone, or has another address.
    #[serde(rename = "withdrawn")]
    pub withdrawn_attempts: u64,
    /// Starts that went on from the cached endpoint list, as discovery sent none in time.
    #[serde(rename = "unheard")]
    pub startup_timeouts: u64,
}

/// What was wrong with endpoint updates; each is logged with where it was found. A rejected update leaves the endpoint
/// list as it is, and a snapshot is requested.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct UpdateFaultCounters {
    /// Updates rejected since they are larger than any that is accepted.
    #[serde(rename = "over_bound")]
    pub too_large: u64,
    /// Updates rejected since they can't be parsed, or change an endpoint without naming it.
    #[serde(rename = "unreadable")]
    pub malformed: u64,
    /// Deltas rejected since their version is lower than the current one.
    #[serde(rename = "went_back")]
    pub version_regressed: u64,
    /// Snapshots applied although their version is lower than the current one: discovery has started anew.
    #[serde(rename = "whole_went_back")]
    pub snapshot_version_regressed: u64,
    /// Entries that can't be used; the endpoint that they name gets no new attempts.
    #[serde(rename = "unusable")]
    pub invalid_entries: u64,
    /// Entries for a name that occurred earlier in the same update; the last one is used.
    #[serde(rename = "repeated")]
    pub duplicate_entries: u64,
    /// Entries that remove a server that was not listed.
    #[serde(rename = "unknown")]
    pub unlisted_removals: u64,
}

/// Times that the configuration was read again.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReloadCounters {
    /// Applied.
    #[serde(rename = "taken")]
    pub applied: u64,
    /// Not applied, since the configuration is invalid.
    #[serde(rename = "bad")]
    pub invalid: u64,
}

/// What must never happen.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultCounters {
    /// Queries that failed since they were still open at their deadline.
    #[serde(rename = "last_moment")]
    pub deadline_reached: u64,
    /// Answers that claimed more than their parts bear out; they were replaced by failures.
    #[serde(rename = "dishonest")]
    pub overstated_answers: u64,
    /// Actions on what does not exist or is not allowed.
    #[serde(rename = "stray")]
    pub invalid_actions: u64,
}

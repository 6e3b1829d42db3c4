//! Event counters since the start of the process. `/-/stats` and the log line at exit show them as JSON;
//! `serde(rename)` states a JSON key that differs from the field's name.

use super::resource_usage::ResourceUsage;
use cottonhill_decisions::Outcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// The body of `/-/stats`: the counters and the age of the endpoint list.
#[derive(Serialize)]
pub struct Stats<'a> {
    /// The counters.
    #[serde(flatten)]
    pub counters: &'a Counters,
    /// What holds memory and descriptors.
    #[serde(rename = "held")]
    pub resources: ResourceUsage,
    /// The version of the current endpoint list.
    #[serde(rename = "list")]
    pub endpoint_list_version: u64,
    /// Milliseconds since an update or heartbeat was last received from discovery; before the first one, since the
    /// start.
    #[serde(rename = "heard_ms_ago")]
    pub ms_since_discovery_message: u64,
}

/// All counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counters {
    /// Requests from clients.
    #[serde(rename = "taken")]
    pub requests: RequestCounters,
    /// Messages to leaf servers and other mixers.
    pub sent: SentCounters,
    /// Ended attempts by outcome.
    #[serde(rename = "ended")]
    pub attempt_outcomes: OutcomeCounters,
    /// Replies to accepted queries by outcome.
    #[serde(rename = "answered")]
    pub replies: ReplyCounters,
    /// Connections to clients and leaf servers.
    pub connections: ConnectionCounters,
    /// Applied endpoint updates, snapshots and deltas.
    #[serde(rename = "lists")]
    pub endpoint_updates: u64,
    /// Faults in endpoint updates.
    #[serde(rename = "bad_lists")]
    pub update_faults: UpdateFaultCounters,
    /// The watch on discovery.
    pub watches: WatchCounters,
    /// Usage records passed to the transport; 0 if usage recording is off.
    #[serde(rename = "recorded")]
    pub usage_records: u64,
    /// Usage records by `TENANT CLASS`, with the names from the settings.
    #[serde(rename = "recorded_of", skip_serializing_if = "BTreeMap::is_empty")]
    pub usage_records_by_class: BTreeMap<String, u64>,
    /// Configuration reloads.
    pub reloads: ReloadCounters,
    /// Data that was refused or dropped for lack of memory.
    pub memory: MemoryCounters,
    /// Violated invariants; each is logged with its cause, except for datagrams that are not allowed.
    pub faults: FaultCounters,
}

/// Requests from clients.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounters {
    /// Accepted queries.
    pub queries: u64,
    /// Parts of accepted queries.
    pub parts: u64,
    /// Accepted queries that their clients marked as retries.
    #[serde(rename = "repeats")]
    pub client_retries: u64,
    /// Invalid requests: malformed, for an unknown path, class, tenant or shard, or with the id of an open query.
    #[serde(rename = "rejected")]
    pub invalid: u64,
    /// Queries rejected because the total of open queries and unanswered parts had reached its limit.
    #[serde(rename = "over_cap")]
    pub over_limit: u64,
    /// Queries rejected because the client's timeout or the shutdown deadline left no time for an answer.
    #[serde(rename = "too_late")]
    pub deadline_exceeded: u64,
}

/// Messages to leaf servers and other mixers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SentCounters {
    /// Calls passed to sockets; each carries one or more attempts.
    pub calls: u64,
    /// Attempts that the coordinator started, including those that were not sent.
    pub attempts: u64,
    /// Attempts after the first one at a part: retries and hedged requests.
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

/// Ended attempts by [`Outcome`].
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
    /// Counts an attempt with this outcome.
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

/// Replies to accepted queries by outcome.
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
    /// Not replied to, because the client had disconnected.
    #[serde(rename = "client_gone")]
    pub client_disconnected: u64,
}

/// Connections to clients and leaf servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConnectionCounters {
    /// Accepted client connections.
    pub clients: u64,
    /// Connects started to leaf servers.
    pub opened: u64,
    /// Failed or timed-out connects to leaf servers.
    #[serde(rename = "failed")]
    pub connect_failed: u64,
    /// Established connections to leaf servers that were not closed by the reducer: reset, closed by the server, or
    /// failed.
    #[serde(rename = "broken")]
    pub lost: u64,
    /// Times that a connection became unresponsive: an attempt was cancelled unanswered after the response timeout, and
    /// nothing had been received since it was sent.
    #[serde(rename = "silent")]
    pub unresponsive: u64,
    /// Connections closed because of a malformed answer, or an answer to an attempt that was never sent.
    #[serde(rename = "spoilt")]
    pub malformed: u64,
    /// Connections closed at their idle timeout.
    #[serde(rename = "idle")]
    pub idle_timeouts: u64,
    /// Connections closed because their socket had not accepted a complete call within the time in which the call was
    /// allowed to start.
    #[serde(rename = "stuck")]
    pub write_stalled: u64,
    /// Idle connections closed to free a descriptor for a connection to another leaf server.
    pub evicted: u64,
}

/// The watch on discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WatchCounters {
    /// Requests for watches and snapshots.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Ended watches, and failed requests for a snapshot.
    pub ended: u64,
    /// Ended watches that timed out: no connection was established, or no update or heartbeat was received, in time.
    #[serde(rename = "silent")]
    pub timed_out: u64,
    /// Attempts withdrawn before they were passed to a socket, because an update announced their replica as draining or
    /// removed, or with another address.
    #[serde(rename = "withdrawn")]
    pub withdrawn_attempts: u64,
    /// Starts with the cached endpoint list, because discovery sent no update in time.
    #[serde(rename = "unheard")]
    pub startup_timeouts: u64,
}

/// Faults in endpoint updates. They are logged with their place in the update; of the entries with faults, only a
/// limited number for each update is logged. A rejected update does not change the endpoint list; a snapshot is
/// requested instead.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct UpdateFaultCounters {
    /// Updates rejected because they exceed the size limit.
    #[serde(rename = "over_bound")]
    pub too_large: u64,
    /// Updates rejected because they can't be parsed, and deltas rejected because an entry has no valid endpoint name.
    #[serde(rename = "unreadable")]
    pub malformed: u64,
    /// Deltas rejected because their version is lower than that of the current list.
    #[serde(rename = "went_back")]
    pub version_regressed: u64,
    /// Snapshots applied with a version lower than that of the current list: discovery has restarted its numbering.
    #[serde(rename = "whole_went_back")]
    pub snapshot_version_regressed: u64,
    /// Invalid entries; the endpoints that they name receive no new attempts.
    #[serde(rename = "unusable")]
    pub invalid_entries: u64,
    /// Entries for a name that occurs earlier in the same update; the last entry applies.
    #[serde(rename = "repeated")]
    pub duplicate_entries: u64,
    /// Entries that announce an unlisted server as removed or, in a delta, as draining.
    #[serde(rename = "unknown")]
    pub unlisted_removals: u64,
}

/// Configuration reloads.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReloadCounters {
    /// Applied.
    #[serde(rename = "taken")]
    pub applied: u64,
    /// Not applied, because the configuration is invalid.
    #[serde(rename = "bad")]
    pub invalid: u64,
}

/// Data that was refused or dropped for lack of memory.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MemoryCounters {
    /// Requests rejected while they were received, because the memory for requests was used by others.
    pub rejected_requests: u64,
    /// Queries rejected because the memory for open queries was used by others.
    pub rejected_queries: u64,
    /// Values of leaf servers dropped because the memory for values was used by others; their queries failed.
    pub dropped_values: u64,
    /// Queries failed because the memory for responses was used by others.
    pub failed_responses: u64,
    /// Connections closed because their clients did not read a response while the memory for responses was short.
    pub aborted_responses: u64,
    /// Endpoints ignored because the memory for endpoints was used.
    pub ignored_endpoints: u64,
}

/// Violated invariants.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultCounters {
    /// Queries that failed because they were still open at their deadline.
    #[serde(rename = "last_moment")]
    pub deadline_reached: u64,
    /// Answers that claimed a higher coverage than that of their parts; they were replaced by failures.
    #[serde(rename = "dishonest")]
    pub overstated_answers: u64,
    /// Actions of the coordinator on unknown ids, or actions that are not allowed.
    #[serde(rename = "stray")]
    pub invalid_actions: u64,
}

//! The settings of a [`crate::Coordinator`]. `None` means that the operator has not configured the value.

use crate::ids::Nanos;

/// Whether a part may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution has no further effect: the part may be retried and hedged without restriction.
    #[default]
    Idempotent,
    /// Leaf servers deduplicate the part by a key for [`Class::idempotency_window`], which starts with its first
    /// attempt that may have executed.
    IdempotencyKey,
    /// Repeated execution repeats the effect: only an attempt that is known not to have executed may be retried.
    NonIdempotent,
}

/// The settings of one class of queries.
///
/// The priority weight that an answer earns depends on when it is sent and on its coverage, which is the weight of the
/// answered parts as a fraction of the phase's weight:
///
/// - A complete answer within the latency objective earns `priority_weight`.
/// - A complete answer after the latency objective earns `priority_weight * late_weight_fraction`.
/// - A partial answer within the latency objective earns
///   `priority_weight * partial_answer_value * coverage / completeness_threshold`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Time within which a complete answer earns the full priority weight, ns.
    pub latency_objective: Nanos,
    /// Multiple of the query's expected work that is added to the latency objective; nothing is added if `None`.
    pub objective_per_expected_work: Option<f64>,
    /// Maximum time that a client waits including its retries, ns.
    pub deadline: Nanos,
    /// Whether parts of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// Duration for which leaf servers deduplicate a part by its idempotency key, ns.
    pub idempotency_window: Nanos,
    /// Value of a complete answer within the latency objective, relative to other classes; 1 if `None`.
    pub priority_weight: Option<f64>,
    /// Fraction of the priority weight earned by a complete answer after the latency objective.
    pub late_weight_fraction: f64,
    /// Minimum coverage of the first phase for an answer to count as complete, as a fraction of the phase's weight.
    pub completeness_threshold: f64,
    /// Minimum coverage for any answer, as a fraction of the phase's weight.
    pub minimum_coverage: f64,
    /// Fraction of the priority weight earned by a partial answer, before it is multiplied by the ratio of the answer's
    /// coverage to `completeness_threshold`.
    pub partial_answer_value: f64,
    /// Number of parts in the second phase; 0 if the class has a single phase. The coordinator only distinguishes zero
    /// from non-zero.
    pub second_phase_parts: u32,
}

/// Limit on retries and hedged requests: in any period of length `window`, at most `minimum` plus `ratio` times the
/// number of queries and parts received in that period.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of extra attempts allowed in a window regardless of traffic.
    pub minimum: f64,
    /// Number of additional extra attempts per query or part received.
    pub ratio: f64,
    /// Length of the window, ns.
    pub window: Nanos,
}

/// How the coordinator receives endpoint updates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The discovery service pushes updates.
    #[default]
    Push,
    /// The coordinator polls for updates.
    Poll,
}

/// All settings of a coordinator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes; [`crate::Event::QueryReceived`] refers to them by index.
    pub classes: Vec<Class>,
    /// Number of cells. A cell is a group of replicas that hold the same shards. Shard `s` is held by
    /// `replication_factor` consecutive cells: `s` to `s + replication_factor - 1`, modulo `cells`.
    pub cells: u32,
    /// Number of cells that hold each shard.
    pub replication_factor: u32,
    /// The coordinator's own zone.
    pub zone: u16,
    /// Cost of sending all parts to other zones, as a fraction of the total priority weight.
    pub cross_zone_cost: f64,
    /// Maximum number of parts in one call; parts share a call if they are sent to the same replica in the same batch.
    pub max_parts_per_call: Option<u32>,
    /// Number of coordinators in the fleet, including this one.
    pub fleet_size: u32,
    /// Expected interval between two batches of events, ns. It determines the minimum interval between timer events;
    /// the coordinator does not enforce it.
    pub batch_interval: Nanos,
    /// Maximum number of attempts of one part.
    pub max_attempts: Option<u32>,
    /// Whether attempts may be cancelled.
    pub cancellation_enabled: bool,
    /// Whether clients mark their retries, so that a query without the mark is a first request.
    pub client_retries_marked: bool,
    /// Whether a part may have several attempts in flight.
    pub hedging_enabled: bool,
    /// Whether replicas may be probed.
    pub probing_enabled: bool,
    /// `Retry-After` sent with every rejection of a query, ns; 0 to send none.
    pub retry_after: Nanos,
    /// Capacity of a replica that has just started, as a fraction of its full capacity, which it reaches after
    /// `slow_start_duration`.
    pub slow_start_initial_capacity: Option<f64>,
    /// Time that a replica needs to warm up after its start, ns.
    pub slow_start_duration: Nanos,
    /// Multiple of its current capacity above which a replica that is warming up fails if the load lasts for
    /// `overload_window`.
    pub overload_multiple: Option<f64>,
    /// Duration of the overload after which a replica that is warming up fails, ns; see `overload_multiple`.
    pub overload_window: Nanos,
    /// Limit on retries and hedged requests; unlimited if `None`.
    pub retry_budget: Option<RetryBudget>,
    /// Rate limit of the entire fleet over all tenants, in queries per second; 0 if not configured.
    pub fleet_rate_limit: f64,
    /// Time without use after which a connection is closed, ns.
    pub connection_idle_timeout: Nanos,
    /// How the coordinator receives endpoint updates.
    pub discovery_mode: DiscoveryMode,
    /// With [`DiscoveryMode::Poll`], the allowed age of the endpoint list, ns: after this time without a poll, all
    /// changes count as announced to the coordinator. The delay before a failed poll is repeated scales with it.
    pub max_list_staleness: Nanos,
}

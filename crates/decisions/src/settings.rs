//! The settings of a [`crate::Coordinator`]. `None` means that the operator has not stated the value.

use crate::ids::Nanos;

/// Whether a part may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it again has no further effect: it may be retried and hedged freely.
    #[default]
    Idempotent,
    /// Leaf servers deduplicate it by a key, for [`Class::idempotency_window`] from its first attempt that may have
    /// executed.
    IdempotencyKey,
    /// Executing it again has a second effect: only an attempt that is known not to have executed may be retried.
    NonIdempotent,
}

/// The settings of one class of queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full priority weight, ns.
    pub latency_objective: Nanos,
    /// The latency objective grows by this multiple of the query's own expected work.
    pub objective_per_expected_work: Option<f64>,
    /// The longest that a client waits, its retries included, ns.
    pub deadline: Nanos,
    /// Whether its parts may be executed more than once.
    pub idempotency: Idempotency,
    /// How long leaf servers deduplicate a part by its idempotency key, ns.
    pub idempotency_window: Nanos,
    /// What a complete answer in time is worth, against other classes; 1 where not stated.
    pub priority_weight: Option<f64>,
    /// Fraction of the priority weight that an answer after the latency objective earns.
    pub late_weight_fraction: f64,
    /// Fraction of the first phase's weight that a complete answer needs.
    pub completeness_threshold: f64,
    /// Least fraction of the weight that any answer needs.
    pub minimum_coverage: f64,
    /// What a partial answer earns, times its coverage over `completeness_threshold`.
    pub partial_answer_value: f64,
    /// Most parts of the second phase; 0 where there is none.
    pub second_phase_parts: u32,
}

/// Limits retries and hedged requests: in any `window`, at most `minimum` plus `ratio` times the queries and parts
/// received in it.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Extra attempts that are allowed whatever the traffic.
    pub minimum: f64,
    /// Extra attempts for each query or part received.
    pub ratio: f64,
    /// Length of the window, ns.
    pub window: Nanos,
}

/// How endpoint updates arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes them.
    #[default]
    Push,
    /// The coordinator polls for them.
    Poll,
}

/// All settings of a coordinator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes, by the index that [`crate::Event::QueryReceived`] uses.
    pub classes: Vec<Class>,
    /// Number of cells. Shard `s` is held by the replicas of the cells `s` to `s + replication_factor - 1`, modulo
    /// this.
    pub cells: u32,
    /// How many cells hold each shard.
    pub replication_factor: u32,
    /// The coordinator's own zone.
    pub zone: u16,
    /// Cost of sending all parts to other zones, as a fraction of all priority weight.
    pub cross_zone_cost: f64,
    /// Most parts that share a call when sent to one replica in one batch.
    pub max_parts_per_call: Option<u32>,
    /// How many coordinators there are, this one included.
    pub fleet_size: u32,
    /// Least time between two batches of events, ns.
    pub batch_interval: Nanos,
    /// Most attempts of one part.
    pub max_attempts: Option<u32>,
    /// Attempts may be cancelled.
    pub cancellation_enabled: bool,
    /// Clients mark their retries; a query without the mark is a client's first request.
    pub client_retries_marked: bool,
    /// A part may have several attempts in flight.
    pub hedging_enabled: bool,
    /// Replicas may be probed.
    pub probing_enabled: bool,
    /// The longest `Retry-After` of a rejected query, ns; 0 where none is to be given.
    pub max_retry_after: Nanos,
    /// The least fraction of its capacity that a replica has when it starts; it has all after `slow_start_duration`.
    pub slow_start_initial_capacity: Option<f64>,
    /// How long a started replica warms up, ns.
    pub slow_start_duration: Nanos,
    /// A replica that is warming up fails when it gets more than this multiple of its present capacity for
    /// `overload_window`.
    pub overload_multiple: Option<f64>,
    /// See `overload_multiple`, ns.
    pub overload_window: Nanos,
    /// Limits retries and hedged requests.
    pub retry_budget: Option<RetryBudget>,
    /// Queries a second that the whole fleet admits, over all tenants; 0 where not stated.
    pub fleet_rate_limit: f64,
    /// Unused connections are closed after this time, ns.
    pub connection_idle_timeout: Nanos,
    /// How endpoint updates arrive.
    pub discovery_mode: DiscoveryMode,
    /// With [`DiscoveryMode::Poll`]: a coordinator that has not polled for this time is held to know the endpoint
    /// list as it was that long ago, ns.
    pub max_list_staleness: Nanos,
}

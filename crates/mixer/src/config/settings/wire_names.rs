//! Wire names of the settings, each with the field that it sets: a field of `cottonhill_decisions::Settings`, its
//! `Class` or `RetryBudget`, or of [`super::MixerSettings`]. No other module contains wire names of settings.

/// Number of the zone that this mixer is in: `Settings::zone`, `MixerSettings::zone`.
pub const ZONE: &str = "my_zone";
/// Zone names, by zone number: `MixerSettings::zones`.
pub const ZONES: &str = "localities";
/// Cost of sending all parts to other zones, as a fraction of the total priority weight: `Settings::cross_zone_cost`.
pub const CROSS_ZONE_COST: &str = "tariffs.cross_zone";
/// Number of mixers: `Settings::fleet_size`.
pub const FLEET_SIZE: &str = "replicas_of_me";
/// Interval between two batches of events, in nanoseconds: `Settings::batch_interval`.
pub const BATCH_INTERVAL: &str = "tick_ns";
/// Whether endpoint updates are pushed or polled: `Settings::discovery_mode`.
pub const DISCOVERY_MODE: &str = "discovery";
/// Value of [`DISCOVERY_MODE`] for `DiscoveryMode::Poll`; any other value is `DiscoveryMode::Push`.
pub const DISCOVERY_MODE_POLL: &str = "on_request";

/// Number of cells: `Settings::cells`.
pub const CELLS: &str = "extra.places";
/// Number of cells that hold each shard: `Settings::replication_factor`.
pub const REPLICATION_FACTOR: &str = "extra.reach";
/// Number of shards: `MixerSettings::shards`.
pub const SHARDS: &str = "extra.ranges";
/// `Settings::max_parts_per_call`, `MixerSettings::max_parts_per_call`.
pub const MAX_PARTS_PER_CALL: &str = "extra.bundle_max";
/// By class: `Class::completeness_threshold`, `MixerSettings::completeness_thresholds`.
pub const COMPLETENESS_THRESHOLDS: &str = "extra.class_need";
/// By class: `Class::minimum_coverage`, `MixerSettings::minimum_coverages`.
pub const MINIMUM_COVERAGES: &str = "extra.least_share";
/// By class: `Class::partial_answer_value`.
pub const PARTIAL_ANSWER_VALUES: &str = "extra.partial_earns";
/// By class: `Class::second_phase_parts`.
pub const SECOND_PHASE_PARTS: &str = "extra.second_step";

/// Maximum number of attempts per part: `Settings::max_attempts`, `MixerSettings::max_attempts`.
pub const MAX_ATTEMPTS: &str = "limits.max_attempts";
/// `Settings::cancellation_enabled`.
pub const CANCELLATION_ENABLED: &str = "limits.cancelling";
/// `Settings::hedging_enabled`.
pub const HEDGING_ENABLED: &str = "limits.may_duplicate";
/// `Settings::probing_enabled`, `MixerSettings::probing_enabled`.
pub const PROBING_ENABLED: &str = "limits.may_probe";
/// `Settings::retry_after`, `MixerSettings::retry_after`, in nanoseconds. If it is 0 or missing, a query that
/// the coordinator rejects gets no `Retry-After`, and a query that is rejected before it reaches the coordinator gets a
/// `Retry-After` of 0. The setting `limits.retry_after` is ignored.
pub const MAX_RETRY_AFTER: &str = "limits.max_retry_after_ns";
/// `Settings::connection_idle_timeout`, `MixerSettings::connection_idle_timeout`, in nanoseconds.
pub const CONNECTION_IDLE_TIMEOUT: &str = "limits.conn_idle_ns";
/// `MixerSettings::connect_timeout`, in nanoseconds.
pub const CONNECT_TIMEOUT: &str = "limits.connect_timeout_ns";
/// `MixerSettings::max_streams_per_connection`.
pub const MAX_STREAMS_PER_CONNECTION: &str = "limits.streams_per_conn";
/// `MixerSettings::max_open_requests`.
pub const MAX_OPEN_REQUESTS: &str = "limits.open_cap";
/// `MixerSettings::peer_messages_enabled`.
pub const PEER_MESSAGES_ENABLED: &str = "limits.peers";
/// Whether clients mark their retries: `Settings::client_retries_marked`.
pub const CLIENT_RETRIES_MARKED: &str = "callers.marks_retry";

/// `Settings::slow_start_initial_capacity`.
pub const SLOW_START_INITIAL_CAPACITY: &str = "guarantees.cold_from";
/// `Settings::slow_start_duration`, in nanoseconds.
pub const SLOW_START_DURATION: &str = "guarantees.cold_ns";
/// `Settings::overload_multiple`.
pub const OVERLOAD_MULTIPLE: &str = "guarantees.fall_multiple";
/// `Settings::overload_window`, in nanoseconds.
pub const OVERLOAD_WINDOW: &str = "guarantees.fall_ns";
/// `RetryBudget::minimum`.
pub const RETRY_BUDGET_MINIMUM: &str = "guarantees.extra_floor";
/// `RetryBudget::ratio`.
pub const RETRY_BUDGET_RATIO: &str = "guarantees.budget_share";
/// `RetryBudget::window`, in nanoseconds.
pub const RETRY_BUDGET_WINDOW: &str = "guarantees.budget_span_ns";
/// `Settings::max_list_staleness`, in nanoseconds.
pub const MAX_LIST_STALENESS: &str = "guarantees.ask_within_ns";
/// `MixerSettings::drain_grace`, in nanoseconds.
pub const DRAIN_GRACE: &str = "guarantees.stop_sending_within_ns";

/// Names of the values in a load report: `MixerSettings::load_report_fields`.
pub const LOAD_REPORT_FIELDS: &str = "reporting.fields";
/// List of tenants.
pub const TENANTS: &str = "orgs";
/// List of classes.
pub const CLASSES: &str = "classes";
/// Suffix of the setting with the number of items in a list of objects.
pub const COUNT: &str = "count";

/// Wire names of the fields of one tenant, an item of [`TENANTS`].
pub mod tenant {
    /// Rate limit of the tenant in queries per second; `Settings::fleet_rate_limit` is the sum over all tenants.
    pub const RATE_LIMIT: &str = "allowance_per_s";
}

/// Wire names of the fields of one class, an item of [`CLASSES`].
pub mod class {
    /// `Class::latency_objective`, in nanoseconds.
    pub const LATENCY_OBJECTIVE: &str = "aim_ns";
    /// `Class::objective_per_expected_work`.
    pub const OBJECTIVE_PER_EXPECTED_WORK: &str = "aim_stretch";
    /// `Class::deadline`, `MixerSettings::deadlines`, in nanoseconds.
    pub const DEADLINE: &str = "give_up_ns";
    /// `Class::idempotency_window`, in nanoseconds.
    pub const IDEMPOTENCY_WINDOW: &str = "dedup_window_ns";
    /// `Class::priority_weight`.
    pub const PRIORITY_WEIGHT: &str = "importance";
    /// `Class::late_weight_fraction`.
    pub const LATE_WEIGHT_FRACTION: &str = "late_value";
    /// `Class::idempotency`.
    pub const IDEMPOTENCY: &str = "semantics";
    /// Description of the values of [`IDEMPOTENCY`] for error messages.
    pub const IDEMPOTENCY_VALUES: &str = "read_like, idempotency_key or non_idempotent";
    /// `Idempotency::Idempotent`.
    pub const IDEMPOTENT: &str = "read_like";
    /// `Idempotency::IdempotencyKey`.
    pub const IDEMPOTENCY_KEY: &str = "idempotency_key";
    /// `Idempotency::NonIdempotent`.
    pub const NON_IDEMPOTENT: &str = "non_idempotent";
}

/// Name of a class or tenant.
pub const NAME: &str = "name";

/// Returns the wire name of field `field` of item `index` in the list of objects `list`.
pub fn item_field(list: &str, index: usize, field: &str) -> String {
    format!("{list}.{index}.{field}")
}

/// Returns the wire name of the number of items in the list of objects `list`.
pub fn item_count(list: &str) -> String {
    format!("{list}.{COUNT}")
}

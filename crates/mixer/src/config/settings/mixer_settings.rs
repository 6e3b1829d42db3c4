//! Settings of the mixer's sockets, protocols and reducer.

use super::super::SettingsError;
use super::key_values::KeyValues;
use super::wire_names::{self as wire, item_field};
use cottonhill_decisions::Nanos;

/// Default of [`MixerSettings::max_open_requests`].
const DEFAULT_MAX_OPEN_REQUESTS: usize = 4096;
/// Default of [`MixerSettings::max_attempts`].
const DEFAULT_MAX_ATTEMPTS: usize = u8::MAX as usize;
/// Default of [`MixerSettings::connect_timeout`].
const DEFAULT_CONNECT_TIMEOUT_NS: Nanos = 250_000_000;
/// Default of [`MixerSettings::connection_idle_timeout`].
const DEFAULT_CONNECTION_IDLE_TIMEOUT_NS: Nanos = 30_000_000_000;
/// Default of [`MixerSettings::drain_grace`].
const DEFAULT_DRAIN_GRACE_NS: Nanos = 250_000_000;

/// Settings of the mixer's sockets, protocols and reducer; those of the coordinator are in
/// `cottonhill_decisions::Settings`. Lists by class, tenant or zone are indexed by its number.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MixerSettings {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants; empty if tenants are not distinguished.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of this mixer's zone.
    pub zone: u16,
    /// By class: the longest time that a client waits for a reply, ns.
    pub deadlines: Vec<Nanos>,
    /// By class: minimum coverage, as a fraction of the weight, of a complete answer.
    pub completeness_thresholds: Vec<f64>,
    /// By class: minimum coverage, as a fraction of the weight, of any answer.
    pub minimum_coverages: Vec<f64>,
    /// Number of shards.
    pub shards: u32,
    /// Maximum number of parts in one call to a leaf server; at least 1.
    pub max_parts_per_call: usize,
    /// Maximum number of calls in flight on one connection to a leaf server; at least 1.
    pub max_streams_per_connection: usize,
    /// Maximum number of attempts per part.
    pub max_attempts: usize,
    /// Maximum total of open queries and unanswered parts; new queries are rejected once it is reached.
    pub max_open_requests: usize,
    /// Timeout for establishing a connection to a leaf server, ns.
    pub connect_timeout: Nanos,
    /// Idle connections to leaf servers are closed after this duration, ns.
    pub connection_idle_timeout: Nanos,
    /// `Retry-After` of a query that is rejected before the coordinator decides on it, ns. If it is 0, such a query
    /// gets a `Retry-After` of 0, and a query that the coordinator rejects gets none.
    pub retry_after: Nanos,
    /// Maximum delay between the announcement that a replica is draining or removed and the start of the last attempt
    /// there, ns. The mixer starts no new attempt once it has received the announcement; the grace period limits the
    /// interval between requests to an agent, and how long a call may wait until its socket accepts it.
    pub drain_grace: Nanos,
    /// Whether datagrams are exchanged with the other mixers.
    pub peer_messages_enabled: bool,
    /// Whether replicas may be probed.
    pub probing_enabled: bool,
    /// Names of the values in a load report; empty if leaf servers do not report load.
    pub load_report_fields: Vec<String>,
}

/// Parses the mixer's settings from `key=value` lines.
///
/// # Errors
/// The first setting found to be missing, malformed or out of range.
pub fn parse_mixer(text: &str) -> Result<MixerSettings, SettingsError> {
    let values = KeyValues::parse(text)?;
    let classes = values.item_names(wire::CLASSES)?;
    reject_second_phases(&values, classes.len())?;
    Ok(MixerSettings {
        deadlines: deadlines(&values, classes.len())?,
        completeness_thresholds: fractions(&values, wire::COMPLETENESS_THRESHOLDS, classes.len())?,
        minimum_coverages: fractions(&values, wire::MINIMUM_COVERAGES, classes.len())?,
        tenants: values.item_names(wire::TENANTS)?,
        zones: values.list(wire::ZONES),
        zone: values.or_default(wire::ZONE)?,
        shards: values.positive_u32(wire::SHARDS)?,
        max_parts_per_call: optional_at_least_one(&values, wire::MAX_PARTS_PER_CALL)?,
        max_streams_per_connection: optional_at_least_one(
            &values,
            wire::MAX_STREAMS_PER_CONNECTION,
        )?,
        max_attempts: values
            .optional(wire::MAX_ATTEMPTS)?
            .unwrap_or(DEFAULT_MAX_ATTEMPTS),
        max_open_requests: values
            .optional(wire::MAX_OPEN_REQUESTS)?
            .unwrap_or(DEFAULT_MAX_OPEN_REQUESTS),
        connect_timeout: values
            .optional(wire::CONNECT_TIMEOUT)?
            .unwrap_or(DEFAULT_CONNECT_TIMEOUT_NS),
        connection_idle_timeout: values
            .optional(wire::CONNECTION_IDLE_TIMEOUT)?
            .unwrap_or(DEFAULT_CONNECTION_IDLE_TIMEOUT_NS),
        retry_after: values.or_default(wire::MAX_RETRY_AFTER)?,
        drain_grace: values
            .optional(wire::DRAIN_GRACE)?
            .unwrap_or(DEFAULT_DRAIN_GRACE_NS),
        peer_messages_enabled: values.or_default(wire::PEER_MESSAGES_ENABLED)?,
        probing_enabled: values.or_default(wire::PROBING_ENABLED)?,
        load_report_fields: values.list(wire::LOAD_REPORT_FIELDS),
        classes,
    })
}

/// Rejects settings with a second query phase: the query protocol can't express it, so clients would get answers
/// without its results.
fn reject_second_phases(values: &KeyValues, class_count: usize) -> Result<(), SettingsError> {
    for index in 0..class_count {
        let parts = values.item::<u32>(wire::SECOND_PHASE_PARTS, index)?;
        if parts > 0 {
            return Err(SettingsError::SecondPhaseUnsupported {
                key: wire::SECOND_PHASE_PARTS,
                value: parts,
            });
        }
    }
    Ok(())
}

fn deadlines(values: &KeyValues, class_count: usize) -> Result<Vec<Nanos>, SettingsError> {
    (0..class_count)
        .map(|index| values.positive(&item_field(wire::CLASSES, index, wire::class::DEADLINE)))
        .collect()
}

fn fractions(values: &KeyValues, key: &str, class_count: usize) -> Result<Vec<f64>, SettingsError> {
    (0..class_count)
        .map(|index| values.fraction_item(key, index))
        .collect()
}

/// Parses a number; 1 if it is missing or 0.
fn optional_at_least_one(values: &KeyValues, key: &str) -> Result<usize, SettingsError> {
    Ok(values.optional(key)?.unwrap_or(1).max(1))
}

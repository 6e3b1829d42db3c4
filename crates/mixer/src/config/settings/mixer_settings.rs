//! The settings of the mixer around the decisions.

use super::super::SettingsError;
use super::key_values::KeyValues;
use super::wire_names::{self as wire, item_field};
use cottonhill_decisions::Nanos;

/// [`MixerSettings::max_open_requests`] where the settings do not state it.
const DEFAULT_MAX_OPEN_REQUESTS: usize = 4096;
/// [`MixerSettings::max_attempts`] where the settings do not state it.
const DEFAULT_MAX_ATTEMPTS: usize = u8::MAX as usize;
/// [`MixerSettings::connect_timeout`] where the settings do not state it.
const DEFAULT_CONNECT_TIMEOUT_NS: Nanos = 250_000_000;
/// [`MixerSettings::connection_idle_timeout`] where the settings do not state it.
const DEFAULT_CONNECTION_IDLE_TIMEOUT_NS: Nanos = 30_000_000_000;
/// [`MixerSettings::drain_grace`] where the settings do not state it.
const DEFAULT_DRAIN_GRACE_NS: Nanos = 250_000_000;

/// The settings of the mixer around the decisions, whose own are in `cottonhill_decisions::Settings`. Lists by class,
/// tenant or zone are in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MixerSettings {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants; empty where tenants are not distinguished.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of this mixer's zone.
    pub zone: u16,
    /// By class: the longest that a client waits, ns.
    pub deadlines: Vec<Nanos>,
    /// By class: fraction of the weight that a complete answer needs.
    pub completeness_thresholds: Vec<f64>,
    /// By class: least fraction of the weight that any answer needs.
    pub minimum_coverages: Vec<f64>,
    /// Number of shards.
    pub shards: u32,
    /// Most parts in one call to a leaf server; at least 1.
    pub max_parts_per_call: usize,
    /// Most calls in flight on one connection to a leaf server; at least 1.
    pub max_streams_per_connection: usize,
    /// Most attempts of one part.
    pub max_attempts: usize,
    /// The most open queries and unanswered parts together; at this number a new query is rejected.
    pub max_open_requests: usize,
    /// Time for a connection to a leaf server to be established, ns.
    pub connect_timeout: Nanos,
    /// Unused connections to leaf servers are closed after this time, ns.
    pub connection_idle_timeout: Nanos,
    /// `Retry-After` of a query that is rejected before the coordinator decides on it, ns. It is sent even if it is 0;
    /// a query that the coordinator rejects gets none then.
    pub max_retry_after: Nanos,
    /// How long after a replica was announced as draining or removed an attempt may still start there, ns. The
    /// mixer makes no new attempt once it has received the announcement; the grace bounds the interval between requests
    /// to an agent, and how long a call may wait in its socket.
    pub drain_grace: Nanos,
    /// Datagrams are exchanged with the other mixers.
    pub peer_messages_enabled: bool,
    /// Replicas may be probed.
    pub probing_enabled: bool,
    /// Names of the values in a load report; empty where leaf servers report none.
    pub load_report_fields: Vec<String>,
}

/// Parses the mixer's settings from lines of `key=value`.
///
/// # Errors
/// The first setting that is missing, malformed or out of range.
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
        max_parts_per_call: at_least_one(&values, wire::MAX_PARTS_PER_CALL)?,
        max_streams_per_connection: at_least_one(&values, wire::MAX_STREAMS_PER_CONNECTION)?,
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
        max_retry_after: values.or_default(wire::MAX_RETRY_AFTER)?,
        drain_grace: values
            .optional(wire::DRAIN_GRACE)?
            .unwrap_or(DEFAULT_DRAIN_GRACE_NS),
        peer_messages_enabled: values.or_default(wire::PEER_MESSAGES_ENABLED)?,
        probing_enabled: values.or_default(wire::PROBING_ENABLED)?,
        load_report_fields: values.list(wire::LOAD_REPORT_FIELDS),
        classes,
    })
}

/// The query protocol can't express a second phase: clients would get answers without it.
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

/// A number that counts as 1 if it is missing or 0.
fn at_least_one(values: &KeyValues, key: &str) -> Result<usize, SettingsError> {
    Ok(values.optional(key)?.unwrap_or(1).max(1))
}

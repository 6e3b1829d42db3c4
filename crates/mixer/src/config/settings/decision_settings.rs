//! Parsing of the coordinator's settings.

use super::super::SettingsError;
use super::key_values::KeyValues;
use super::wire_names::{self as wire, item_field};
use cottonhill_decisions::{Class, DiscoveryMode, Idempotency, RetryBudget, Settings};

/// Parses the coordinator's settings from `key=value` lines.
///
/// # Errors
/// The first setting found to be missing, malformed or out of range.
pub fn parse_decisions(text: &str) -> Result<Settings, SettingsError> {
    let values = KeyValues::parse(text)?;
    let class_count = values.positive(&wire::item_count(wire::CLASSES))? as usize;
    let classes = (0..class_count)
        .map(|index| class(&values, index))
        .collect::<Result<Vec<Class>, _>>()?;
    Ok(Settings {
        classes,
        zone: values.or_default(wire::ZONE)?,
        cross_zone_cost: values
            .non_negative(wire::CROSS_ZONE_COST)?
            .unwrap_or_default(),
        cells: values.positive_u32(wire::CELLS)?,
        replication_factor: values.positive_u32(wire::REPLICATION_FACTOR)?,
        max_parts_per_call: values.optional(wire::MAX_PARTS_PER_CALL)?,
        fleet_size: values.positive_u32(wire::FLEET_SIZE)?,
        batch_interval: values.positive(wire::BATCH_INTERVAL)?,
        max_attempts: values.optional(wire::MAX_ATTEMPTS)?,
        cancellation_enabled: values.or_default(wire::CANCELLATION_ENABLED)?,
        client_retries_marked: values.or_default(wire::CLIENT_RETRIES_MARKED)?,
        hedging_enabled: values.or_default(wire::HEDGING_ENABLED)?,
        probing_enabled: values.or_default(wire::PROBING_ENABLED)?,
        retry_after: values.or_default(wire::MAX_RETRY_AFTER)?,
        slow_start_initial_capacity: values.non_negative(wire::SLOW_START_INITIAL_CAPACITY)?,
        slow_start_duration: values.or_default(wire::SLOW_START_DURATION)?,
        overload_multiple: values.non_negative(wire::OVERLOAD_MULTIPLE)?,
        overload_window: values.or_default(wire::OVERLOAD_WINDOW)?,
        retry_budget: retry_budget(&values)?,
        fleet_rate_limit: fleet_rate_limit(&values)?,
        connection_idle_timeout: values.or_default(wire::CONNECTION_IDLE_TIMEOUT)?,
        discovery_mode: discovery_mode(&values),
        max_list_staleness: values.or_default(wire::MAX_LIST_STALENESS)?,
    })
}

fn class(values: &KeyValues, index: usize) -> Result<Class, SettingsError> {
    let key = |field: &str| item_field(wire::CLASSES, index, field);
    // Parsed before the other fields so that, if several are invalid, the error names one of these.
    let idempotency = idempotency(values, &key(wire::class::IDEMPOTENCY))?;
    let late_weight_fraction = values.non_negative(&key(wire::class::LATE_WEIGHT_FRACTION))?;
    Ok(Class {
        latency_objective: values.positive(&key(wire::class::LATENCY_OBJECTIVE))?,
        objective_per_expected_work: values
            .non_negative(&key(wire::class::OBJECTIVE_PER_EXPECTED_WORK))?,
        deadline: values.positive(&key(wire::class::DEADLINE))?,
        idempotency,
        idempotency_window: values.or_default(&key(wire::class::IDEMPOTENCY_WINDOW))?,
        priority_weight: values.non_negative(&key(wire::class::PRIORITY_WEIGHT))?,
        late_weight_fraction: late_weight_fraction.unwrap_or_default(),
        completeness_threshold: values.fraction_item(wire::COMPLETENESS_THRESHOLDS, index)?,
        minimum_coverage: values.fraction_item(wire::MINIMUM_COVERAGES, index)?,
        partial_answer_value: values.fraction_item(wire::PARTIAL_ANSWER_VALUES, index)?,
        second_phase_parts: values.item(wire::SECOND_PHASE_PARTS, index)?,
    })
}

fn idempotency(values: &KeyValues, key: &str) -> Result<Idempotency, SettingsError> {
    match values.required::<String>(key)?.as_str() {
        wire::class::IDEMPOTENT => Ok(Idempotency::Idempotent),
        wire::class::IDEMPOTENCY_KEY => Ok(Idempotency::IdempotencyKey),
        wire::class::NON_IDEMPOTENT => Ok(Idempotency::NonIdempotent),
        other => Err(SettingsError::InvalidValue {
            key: key.to_string(),
            value: other.to_string(),
            expected: wire::class::IDEMPOTENCY_VALUES,
        }),
    }
}

fn discovery_mode(values: &KeyValues) -> DiscoveryMode {
    match values.text(wire::DISCOVERY_MODE) {
        Some(wire::DISCOVERY_MODE_POLL) => DiscoveryMode::Poll,
        _ => DiscoveryMode::Push,
    }
}

/// The sum of the tenants' rate limits. A tenant without a rate limit counts as 0.
fn fleet_rate_limit(values: &KeyValues) -> Result<f64, SettingsError> {
    let mut sum = 0.0;
    for index in 0..values.count(wire::TENANTS)? {
        let key = item_field(wire::TENANTS, index, wire::tenant::RATE_LIMIT);
        sum += values.non_negative(&key)?.unwrap_or_default();
    }
    Ok(sum)
}

/// The retry budget; `None` unless its window and at least one of its minimum and ratio are set.
fn retry_budget(values: &KeyValues) -> Result<Option<RetryBudget>, SettingsError> {
    let minimum = values.non_negative(wire::RETRY_BUDGET_MINIMUM)?;
    let ratio = values.non_negative(wire::RETRY_BUDGET_RATIO)?;
    let window = values.optional(wire::RETRY_BUDGET_WINDOW)?;
    if minimum.is_none() && ratio.is_none() {
        return Ok(None);
    }
    Ok(window.map(|window| RetryBudget {
        minimum: minimum.unwrap_or_default(),
        ratio: ratio.unwrap_or_default(),
        window,
    }))
}

//! The settings, `path=value` a line, as the module's [`Settings`] and as the [`MixerSettings`] that the sockets need.
//! Keys that are not known are skipped; a key that is missing where it is needed, or out of range, is named
//! in the error. The simulator's wire carries this text; a real mixer's JSON is flattened to it first.

use cottonhill_decisions::{Class, DiscoveryMode, Idempotency, RetryBudget, Settings};
use std::collections::BTreeMap;
use std::str::FromStr;

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn read(text: &'a str) -> Result<Self, String> {
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let split =
            |line| str::split_once(line, '=').ok_or(format!("settings line without '=': {line}"));
        lines.map(split).collect::<Result<_, _>>().map(Pairs)
    }

    /// The items of a list of plain values.
    fn list(&self, key: &str) -> Vec<String> {
        let items = self.0.get(key).into_iter().flat_map(|text| text.split(','));
        items
            .filter(|item| !item.is_empty())
            .map(str::to_string)
            .collect()
    }

    /// The names of a list of objects.
    fn names(&self, list: &str) -> Result<Vec<String>, String> {
        let count = self
            .get::<usize>(&format!("{list}.count"))?
            .unwrap_or_default();
        (0..count)
            .map(|i| self.need(&format!("{list}.{i}.name")))
            .collect()
    }

    fn get<T: FromStr>(&self, key: &str) -> Result<Option<T>, String> {
        let parse = |text: &&str| {
            text.parse()
                .map_err(|_| format!("setting {key}: bad value '{text}'"))
        };
        self.0.get(key).map(parse).transpose()
    }

    fn need<T: FromStr>(&self, key: &str) -> Result<T, String> {
        self.get(key)?.ok_or(format!("setting {key} is missing"))
    }

    /// A number that is finite and not below zero.
    fn number(&self, key: &str) -> Result<Option<f64>, String> {
        let value = self.get::<f64>(key)?;
        match value {
            Some(number) if !number.is_finite() || number < 0.0 => {
                Err(format!("setting {key}: {number} is out of range"))
            }
            _ => Ok(value),
        }
    }

    /// A whole number above zero.
    fn positive(&self, key: &str) -> Result<u64, String> {
        match self.need(key)? {
            0 => Err(format!("setting {key}: 0 is out of range")),
            number => Ok(number),
        }
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        Ok(self.get(key)?.unwrap_or_default())
    }

    fn time(&self, key: &str) -> Result<u64, String> {
        Ok(self.get(key)?.unwrap_or_default())
    }

    /// Item `i` of a list with one number, from 0 to 1, for each class.
    fn share(&self, key: &str, i: usize) -> Result<f64, String> {
        let number: f64 = self.item(key, i)?;
        let fits = (0.0..=1.0).contains(&number);
        fits.then_some(number)
            .ok_or(format!("setting {key}: {number} is out of range"))
    }

    fn item<T: FromStr>(&self, key: &str, i: usize) -> Result<T, String> {
        let list = self.0.get(key).ok_or(format!("setting {key} is missing"))?;
        let item = list
            .split(',')
            .nth(i)
            .ok_or(format!("setting {key} has no item {i}"))?;
        item.parse()
            .map_err(|_| format!("setting {key}: bad value '{item}'"))
    }
}

pub fn parse_decisions(text: &str) -> Result<Settings, String> {
    let pairs = Pairs::read(text)?;
    let classes: Vec<Class> = (0..pairs.positive("classes.count")? as usize)
        .map(|i| class(&pairs, i))
        .collect::<Result<_, _>>()?;
    Ok(Settings {
        classes,
        zone: pairs.get("my_zone")?.unwrap_or_default(),
        cross_zone_cost: pairs.number("tariffs.cross_zone")?.unwrap_or_default(),
        cells: number32(&pairs, "extra.places")?,
        replication_factor: number32(&pairs, "extra.reach")?,
        max_parts_per_call: pairs.get("extra.bundle_max")?,
        fleet_size: number32(&pairs, "replicas_of_me")?,
        batch_interval: pairs.positive("tick_ns")?,
        max_attempts: pairs.get("limits.max_attempts")?,
        cancellation_enabled: pairs.flag("limits.cancelling")?,
        client_retries_marked: pairs.flag("callers.marks_retry")?,
        hedging_enabled: pairs.flag("limits.may_duplicate")?,
        probing_enabled: pairs.flag("limits.may_probe")?,
        // Whatever `limits.retry_after` says: who is given up on is told at once, and when to come back.
        max_retry_after: pairs.time("limits.max_retry_after_ns")?,
        slow_start_initial_capacity: pairs.number("guarantees.cold_from")?,
        slow_start_duration: pairs.time("guarantees.cold_ns")?,
        overload_multiple: pairs.number("guarantees.fall_multiple")?,
        overload_window: pairs.time("guarantees.fall_ns")?,
        retry_budget: budget(&pairs)?,
        fleet_rate_limit: allowance(&pairs)?,
        connection_idle_timeout: pairs.time("limits.conn_idle_ns")?,
        discovery_mode: discovery_mode(&pairs),
        max_list_staleness: pairs.time("guarantees.ask_within_ns")?,
    })
}

fn number32(pairs: &Pairs, key: &str) -> Result<u32, String> {
    u32::try_from(pairs.positive(key)?).map_err(|_| format!("setting {key} is out of range"))
}

fn class(pairs: &Pairs, i: usize) -> Result<Class, String> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let effect = match pairs.need::<String>(&key("semantics"))?.as_str() {
        "read_like" => Idempotency::Idempotent,
        "idempotency_key" => Idempotency::IdempotencyKey,
        "non_idempotent" => Idempotency::NonIdempotent,
        other => return Err(format!("setting {}: bad value '{other}'", key("semantics"))),
    };
    let late_worth = pairs.number(&key("late_value"))?.unwrap_or_default();
    Ok(Class {
        latency_objective: pairs.positive(&key("aim_ns"))?,
        objective_per_expected_work: pairs.number(&key("aim_stretch"))?,
        deadline: pairs.positive(&key("give_up_ns"))?,
        idempotency: effect,
        idempotency_window: pairs.time(&key("dedup_window_ns"))?,
        priority_weight: pairs.number(&key("importance"))?,
        late_weight_fraction: late_worth,
        completeness_threshold: pairs.share("extra.class_need", i)?,
        minimum_coverage: pairs.share("extra.least_share", i)?,
        partial_answer_value: pairs.share("extra.partial_earns", i)?,
        second_phase_parts: pairs.item("extra.second_step", i)?,
    })
}

fn discovery_mode(pairs: &Pairs) -> DiscoveryMode {
    match pairs.0.get("discovery") {
        Some(&"on_request") => DiscoveryMode::Poll,
        _ => DiscoveryMode::Push,
    }
}

/// A tenant that states none adds nothing.
fn allowance(pairs: &Pairs) -> Result<f64, String> {
    let count = pairs.get::<usize>("orgs.count")?.unwrap_or_default();
    let of = |i| pairs.number(&format!("orgs.{i}.allowance_per_s"));
    (0..count)
        .map(of)
        .try_fold(0.0, |sum, one| Ok(sum + one?.unwrap_or_default()))
}

fn budget(pairs: &Pairs) -> Result<Option<RetryBudget>, String> {
    let floor = pairs.number("guarantees.extra_floor")?;
    let share = pairs.number("guarantees.budget_share")?;
    let span = pairs.get("guarantees.budget_span_ns")?;
    Ok(match (floor, share, span) {
        (None, None, _) | (_, _, None) => None,
        (floor, share, Some(span)) => Some(RetryBudget {
            minimum: floor.unwrap_or_default(),
            ratio: share.unwrap_or_default(),
            window: span,
        }),
    })
}

/// What the sockets have to know beside the decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MixerSettings {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// Where this mixer is, by number.
    pub zone: u16,
    /// For each class: the longest that a client waits, the share a whole answer needs, the least share.
    pub deadlines: Vec<u64>,
    pub completeness_thresholds: Vec<f64>,
    pub minimum_coverages: Vec<f64>,
    pub shards: u32,
    pub max_parts_per_call: usize,
    pub max_streams_per_connection: usize,
    pub max_attempts: usize,
    /// Queries and parts that may be open.
    pub max_open_requests: usize,
    pub connect_timeout: u64,
    pub connection_idle_timeout: u64,
    pub max_retry_after: u64,
    /// Nothing new goes to a replica later than this after it was told draining or gone.
    pub drain_grace: u64,
    pub peer_messages_enabled: bool,
    pub probing_enabled: bool,
    /// Names of the values in a load report; none where nothing is reported.
    pub load_report_fields: Vec<String>,
}

pub fn parse_mixer(text: &str) -> Result<MixerSettings, String> {
    let pairs = Pairs::read(text)?;
    let classes = pairs.names("classes")?;
    let each = |key: &str| {
        (0..classes.len())
            .map(|i| pairs.share(key, i))
            .collect::<Result<_, _>>()
    };
    for i in 0..classes.len() {
        // The protocol has no words for a second step; half of one would break answers.
        if pairs.item::<u32>("extra.second_step", i)? > 0 {
            return Err("setting extra.second_step: a second step can't be served".into());
        }
    }
    let deadlines = (0..classes.len()).map(|i| pairs.positive(&format!("classes.{i}.give_up_ns")));
    Ok(MixerSettings {
        deadlines: deadlines.collect::<Result<_, _>>()?,
        completeness_thresholds: each("extra.class_need")?,
        minimum_coverages: each("extra.least_share")?,
        tenants: pairs.names("orgs")?,
        zones: pairs.list("localities"),
        zone: pairs.get("my_zone")?.unwrap_or_default(),
        shards: number32(&pairs, "extra.ranges")?,
        max_parts_per_call: pairs.get("extra.bundle_max")?.unwrap_or(1).max(1),
        max_streams_per_connection: pairs.get("limits.streams_per_conn")?.unwrap_or(1).max(1),
        max_attempts: pairs
            .get("limits.max_attempts")?
            .unwrap_or(usize::from(u8::MAX)),
        max_open_requests: pairs.get("limits.open_cap")?.unwrap_or(OPEN_CAP),
        connect_timeout: pairs
            .get("limits.connect_timeout_ns")?
            .unwrap_or(CONNECT_TIMEOUT),
        connection_idle_timeout: pairs.get("limits.conn_idle_ns")?.unwrap_or(IDLE_TIME),
        max_retry_after: pairs.time("limits.max_retry_after_ns")?,
        drain_grace: pairs
            .get("guarantees.stop_sending_within_ns")?
            .unwrap_or(DRAIN_GRACE),
        peer_messages_enabled: pairs.flag("limits.peers")?,
        probing_enabled: pairs.flag("limits.may_probe")?,
        load_report_fields: pairs.list("reporting.fields"),
        classes,
    })
}

/// Where the settings are silent: bounds that keep memory and waits in hand.
const OPEN_CAP: usize = 4096;
const CONNECT_TIMEOUT: u64 = 250_000_000;
const IDLE_TIME: u64 = 30_000_000_000;
const DRAIN_GRACE: u64 = 250_000_000;

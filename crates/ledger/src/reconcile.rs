//! Reconciliation of the ledger with the records that clients keep of their own uses.

use crate::join::{Joiner, Use};
use crate::period::{format_timestamp, Calendar};
use crate::settle::JoinLimits;
use crate::store::{Error, Store};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// One use as a client recorded it: a row of its CSV file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientUse {
    /// When the first attempt was sent, in Unix milliseconds.
    pub at_ms: i64,
    pub tenant: String,
    pub class: String,
    /// `whole`, `partial`, or any other text for a use without an answer.
    pub outcome: String,
    /// The number of attempts.
    pub tries: u32,
    /// The deduplication key of its attempts, in hexadecimal.
    pub key: String,
}

/// A use that only one side has, or whose outcome differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    #[serde(rename = "what")]
    pub kind: &'static str,
    pub tenant: String,
    pub class: String,
    /// Arrival of the use, or the time at which the client sent it.
    #[serde(rename = "at")]
    pub timestamp: String,
    pub key: String,
    pub ledger: String,
    pub client: String,
}

/// Numbers of uses of one tenant and class in one period, on both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UseTotals {
    pub ledger: u64,
    pub client: u64,
    pub ledger_answered: u64,
    pub client_answered: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Reconciliation {
    /// By period, tenant and class.
    pub totals: BTreeMap<(String, String, String), UseTotals>,
    pub differences: Vec<Difference>,
}

impl Reconciliation {
    /// The number of totals that differ.
    pub fn differing_totals(&self) -> usize {
        let differ = |pair: &&UseTotals| {
            pair.ledger != pair.client || pair.ledger_answered != pair.client_answered
        };
        self.totals.values().filter(differ).count()
    }
}

/// Whether an outcome in a client's file is an answer.
fn answered(outcome: &str) -> bool {
    outcome == "whole" || outcome == "partial"
}

/// Joins all records that arrived in `from..until` (Unix milliseconds) and compares the uses with those of
/// the clients.
///
/// # Errors
/// The store cannot be read.
pub fn compare_with_clients(
    store: &Store,
    calendar: &Calendar,
    bounds: JoinLimits,
    (from, until): (i64, i64),
    clients: &[ClientUse],
) -> Result<Reconciliation, Error> {
    let names = store.names()?;
    let name = |id: u32| names.get(&id).cloned().unwrap_or_default();
    let mut reconciliation = Reconciliation::default();
    let mut ledger_uses: BTreeMap<(String, String, String), VecDeque<Use>> = BTreeMap::new();
    let mut joiner = Joiner::new(bounds.skew_ms, bounds.horizon_ms);
    let mut add_use = |used: Use| {
        let first = used.first();
        let (tenant, class) = (name(first.tenant), name(first.class));
        let period = calendar.period_at(first.arrived_ms).name();
        let totals = reconciliation
            .totals
            .entry((period, tenant.clone(), class.clone()))
            .or_default();
        totals.ledger += 1;
        totals.ledger_answered += u64::from(used.outcome.answered());
        ledger_uses
            .entry((tenant, class, format!("{:016x}", first.key)))
            .or_default()
            .push_back(used);
    };
    for attempt in store.client_attempts(from, until)? {
        joiner.push(attempt, &mut add_use);
    }
    joiner.finish(&mut add_use);
    ledger_uses
        .values_mut()
        .for_each(|uses| uses.make_contiguous().sort_by_key(|used| used.first().id()));
    let mut clients: Vec<&ClientUse> = clients
        .iter()
        .filter(|client| (from..until).contains(&client.at_ms))
        .collect();
    clients.sort_by_key(|client| client.at_ms);
    for client in clients {
        let period = calendar.period_at(client.at_ms).name();
        let (tenant, class) = (client.tenant.clone(), client.class.clone());
        let totals = reconciliation
            .totals
            .entry((period, tenant.clone(), class.clone()))
            .or_default();
        totals.client += 1;
        totals.client_answered += u64::from(answered(&client.outcome));
        let key = (tenant, class, client.key.clone());
        let ledger = ledger_uses.get_mut(&key).and_then(VecDeque::pop_front);
        let kind = match &ledger {
            None => "only the client has it",
            Some(used) if used.outcome.answered() != answered(&client.outcome) => "ended otherwise",
            Some(used) if answered(&client.outcome) && used.outcome.name() != client.outcome => {
                "ended otherwise"
            }
            Some(_) => continue,
        };
        reconciliation.differences.push(Difference {
            kind,
            tenant: key.0,
            class: key.1,
            timestamp: format_timestamp(client.at_ms),
            key: key.2,
            ledger: ledger
                .map(|used| used.outcome.name().to_string())
                .unwrap_or_default(),
            client: client.outcome.clone(),
        });
    }
    for ((tenant, class, key), uses) in ledger_uses {
        for used in uses {
            let (timestamp, ledger) = (
                format_timestamp(used.first().arrived_ms),
                used.outcome.name().to_string(),
            );
            let (tenant, class, key) = (tenant.clone(), class.clone(), key.clone());
            let kind = "only the ledger has it";
            reconciliation.differences.push(Difference {
                kind,
                tenant,
                class,
                timestamp,
                key,
                ledger,
                client: String::new(),
            });
        }
    }
    Ok(reconciliation)
}

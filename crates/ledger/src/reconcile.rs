//! Sets the ledger beside what others counted: the clients' own records of their uses, and the mixers' counters.

use crate::join::{Joiner, Use};
use crate::period::{stamp, Calendar};
use crate::settle::Bounds;
use crate::store::{Error, Store};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// One use as a client recorded it: a row of its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClientUse {
    /// When the first try was sent, in Unix milliseconds.
    pub at_ms: i64,
    pub tenant: String,
    pub class: String,
    /// `whole`, `partial`, or anything else for what was not answered.
    pub outcome: String,
    pub tries: u32,
    /// The key that joins its tries, in hexadecimal.
    pub key: String,
}

/// What stands on one side only, or differently on both.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    pub what: &'static str,
    pub tenant: String,
    pub class: String,
    pub at: String,
    pub key: String,
    pub ledger: String,
    pub client: String,
}

/// Uses of one tenant and class in one period, on both sides.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Pair {
    pub ledger: u64,
    pub client: u64,
    pub ledger_answered: u64,
    pub client_answered: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Reconciled {
    /// By period, tenant and class.
    pub totals: BTreeMap<(String, String, String), Pair>,
    pub differences: Vec<Difference>,
}

impl Reconciled {
    /// Totals that differ.
    pub fn unequal(&self) -> usize {
        let differ = |pair: &&Pair| {
            pair.ledger != pair.client || pair.ledger_answered != pair.client_answered
        };
        self.totals.values().filter(differ).count()
    }
}

/// Whether a client that recorded this outcome was answered.
fn answered(outcome: &str) -> bool {
    outcome == "whole" || outcome == "partial"
}

/// Joins all records that arrived in `from..until` and sets the uses beside the clients' ones, one by one.
///
/// # Errors
/// The store can't be read.
pub fn with_clients(
    store: &Store,
    calendar: &Calendar,
    bounds: Bounds,
    (from, until): (i64, i64),
    clients: &[ClientUse],
) -> Result<Reconciled, Error> {
    let names = store.names()?;
    let name = |id: u32| names.get(&id).cloned().unwrap_or_default();
    let mut reconciled = Reconciled::default();
    let mut ours: BTreeMap<(String, String, String), VecDeque<Use>> = BTreeMap::new();
    let mut joiner = Joiner::new(bounds.skew, bounds.horizon);
    let mut put = |it: Use| {
        let first = it.first();
        let (tenant, class) = (name(first.tenant), name(first.class));
        let period = calendar.at(first.at).name();
        let pair = reconciled
            .totals
            .entry((period, tenant.clone(), class.clone()))
            .or_default();
        pair.ledger += 1;
        pair.ledger_answered += u64::from(it.outcome.answered());
        ours.entry((tenant, class, format!("{:016x}", first.key)))
            .or_default()
            .push_back(it);
    };
    for one in store.tries(from, until)? {
        joiner.take(one, &mut put);
    }
    joiner.finish(&mut put);
    ours.values_mut()
        .for_each(|uses| uses.make_contiguous().sort_by_key(|it| it.first().id()));
    let mut clients: Vec<&ClientUse> = clients
        .iter()
        .filter(|it| (from..until).contains(&it.at_ms))
        .collect();
    clients.sort_by_key(|it| it.at_ms);
    for client in clients {
        let period = calendar.at(client.at_ms).name();
        let (tenant, class) = (client.tenant.clone(), client.class.clone());
        let pair = reconciled
            .totals
            .entry((period, tenant.clone(), class.clone()))
            .or_default();
        pair.client += 1;
        pair.client_answered += u64::from(answered(&client.outcome));
        let key = (tenant, class, client.key.clone());
        let ledger = ours.get_mut(&key).and_then(VecDeque::pop_front);
        let what = match &ledger {
            None => "only the client has it",
            Some(it) if it.outcome.answered() != answered(&client.outcome) => "ended otherwise",
            Some(it) if answered(&client.outcome) && it.outcome.name() != client.outcome => {
                "ended otherwise"
            }
            Some(_) => continue,
        };
        reconciled.differences.push(Difference {
            what,
            tenant: key.0,
            class: key.1,
            at: stamp(client.at_ms),
            key: key.2,
            ledger: ledger
                .map(|it| it.outcome.name().to_string())
                .unwrap_or_default(),
            client: client.outcome.clone(),
        });
    }
    for ((tenant, class, key), uses) in ours {
        for it in uses {
            let (at, ledger) = (stamp(it.first().at), it.outcome.name().to_string());
            let (tenant, class, key) = (tenant.clone(), class.clone(), key.clone());
            let what = "only the ledger has it";
            reconciled.differences.push(Difference {
                what,
                tenant,
                class,
                at,
                key,
                ledger,
                client: String::new(),
            });
        }
    }
    Ok(reconciled)
}

//! From an index's name to class, shards and weights, by the settings.

use crate::tenant::{networks, Networks, Table};
use crate::tls::Files;
use cottonhill_ini::{Key, Kind, Schema, Section, Settings, SettingsErrors};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub const FRONT: Section = Section {
    name: "opensearch",
    named: false,
    keys: &[
        key("listen", Kind::Address, None, "Where the front listens; a listener of its own. Off without it."),
        key(
            "connections",
            Kind::Integer(1, 100_000),
            Some("64"),
            "Most connections at once; more wait unaccepted.",
        ),
        key("body", Kind::Bytes, Some("64KiB"), "The longest body that is read."),
        key(
            "answer",
            Kind::Bytes,
            Some("8MiB"),
            "Most that the shards' answers to one search may hold together.",
        ),
        key("idle", Kind::Duration, Some("60s"), "A connection that asks nothing for so long is closed."),
        key("cluster", Kind::Text, Some("cottonhill"), "The cluster name that clients are told."),
        key(
            "tenant-by",
            Kind::Choice(&["header", "network", "header-or-network", "certificate"]),
            Some("header"),
            "What tells the tenant: a header, the network, the header where there is one, or a certificate.",
        ),
        key("certificate", Kind::Text, None, "PEM file of the certificate chain; plain HTTP without it."),
        key("key", Kind::Text, None, "PEM file of its key, which nobody else may read."),
        key(
            "client-ca",
            Kind::Text,
            None,
            "PEM file of who vouches for clients; their certificates are optional.",
        ),
        key(
            "proxies",
            Kind::Text,
            None,
            "Networks of trusted proxies: only their X-Forwarded-For is believed.",
        ),
        key("tenant-header", Kind::Text, Some("X-Tenant-Id"), "The header that names the tenant."),
        key("tenant", Kind::Text, None, "The tenant of a search that names none."),
    ],
};

pub const INDEX: Section = Section {
    name: "index",
    named: true,
    keys: &[
        key(
            "class",
            Kind::Text,
            None,
            "The class of its searches, by the platform's name.",
        ),
        key(
            "shards",
            Kind::Text,
            None,
            "Its shards: numbers and ranges, as in 0-7,12.",
        ),
        key(
            "weights",
            Kind::Text,
            None,
            "Their weights in that order, adding up to 1; equal ones if unset.",
        ),
    ],
};

pub const NETWORK: Section = Section {
    name: "network",
    named: true,
    keys: &[
        key(
            "prefixes",
            Kind::Text,
            None,
            "Networks, as in 10.1.0.0/16, 2001:db8::/32; the longest prefix wins.",
        ),
        key("tenant", Kind::Text, None, "The tenant whose they are."),
    ],
};

const fn key(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    doc: &'static str,
) -> Key {
    Key {
        name,
        kind,
        default,
        reloadable: false,
        doc,
    }
}

/// One index.
#[derive(Clone, Debug, PartialEq)]
pub struct Index {
    pub class: String,
    /// Shards and their weights.
    pub shards: Vec<(u32, f64)>,
}

/// What tells the tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantBy {
    Header,
    Network,
    /// The header where there is one, else the network.
    Either,
    /// The common name of the client's certificate.
    Certificate,
}

/// The settings of the front.
#[derive(Clone, Debug, PartialEq)]
pub struct Front {
    pub listen: SocketAddr,
    pub connections: usize,
    pub most_body: usize,
    pub most_answer: usize,
    pub idle: Duration,
    pub cluster: String,
    /// In lower case.
    pub tenant_header: String,
    pub tenant: Option<String>,
    pub by: TenantBy,
    pub tls: Option<Files>,
    pub proxies: Networks,
    pub networks: Table,
    pub indices: BTreeMap<String, Index>,
}

/// How far weights may be off a sum of 1.
const ROUNDING: f64 = 0.01;

/// Numbers and ranges, each once.
fn shards(text: &str) -> Result<Vec<u32>, String> {
    let mut all = Vec::new();
    for piece in text.split(',').map(str::trim) {
        let (from, to) = piece.split_once('-').unwrap_or((piece, piece));
        let number = |text: &str| {
            text.trim()
                .parse::<u32>()
                .map_err(|_| format!("'{piece}' is no number or range"))
        };
        let (from, to) = (number(from)?, number(to)?);
        if from > to || to - from > 100_000 {
            return Err(format!("'{piece}' is no range"));
        }
        all.extend(from..=to);
    }
    let mut sorted = all.clone();
    sorted.sort_unstable();
    match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(format!("shard {} is named twice", pair[0])),
        None => Ok(all),
    }
}

fn index_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !name.starts_with(['_', '-']) && name.bytes().all(plain)
}

/// The tenants' networks, whatever order they stand in.
fn table(settings: &Settings, schema: &Schema, by: TenantBy) -> Result<Table, SettingsErrors> {
    let mut rules = Vec::new();
    for name in settings.section_names(NETWORK.name) {
        let network = settings.section(schema, NETWORK.name, name);
        let wrong = |key: &str, why: &str| settings.value_error(NETWORK.name, name, key, why);
        if matches!(by, TenantBy::Header | TenantBy::Certificate) {
            return Err(wrong(
                "tenant",
                "is never used, as [opensearch] tenant-by does not go by networks",
            ));
        }
        let tenant = network
            .text("tenant")
            .ok_or_else(|| wrong("tenant", "is missing"))?;
        let prefixes = network
            .text("prefixes")
            .ok_or_else(|| wrong("prefixes", "is missing"))?;
        let prefixes = networks(prefixes).map_err(|why| wrong("prefixes", &why))?;
        rules.extend(prefixes.into_iter().map(|net| (net, name, tenant)));
    }
    rules.sort_by_key(|(net, ..)| net.prefix_len());
    let mut table = Table::default();
    for (net, name, tenant) in rules {
        table
            .insert(net, tenant)
            .map_err(|why| settings.value_error(NETWORK.name, name, "prefixes", &why))?;
    }
    if table.is_empty() && matches!(by, TenantBy::Network | TenantBy::Either) {
        return Err(settings.value_error(
            FRONT.name,
            "",
            "tenant-by",
            "goes by networks, and there is no [network NAME]",
        ));
    }
    Ok(table)
}

impl Front {
    /// Reads the settings of the front; `None` where it is off.
    ///
    /// # Errors
    /// Values that contradict each other.
    pub fn read(settings: &Settings, schema: &Schema) -> Result<Option<Front>, SettingsErrors> {
        let values = settings.section(schema, FRONT.name, "");
        let Some(listen) = values.address("listen") else {
            return Ok(None);
        };
        let mut indices = BTreeMap::new();
        for name in settings.section_names(INDEX.name) {
            let index = settings.section(schema, INDEX.name, name);
            let wrong = |key: &str, why: &str| settings.value_error(INDEX.name, name, key, why);
            if !index_name(name) {
                return Err(wrong(
                    "class",
                    "an index's name has small letters, digits, '-', '_' and '.'",
                ));
            }
            let class = index
                .text("class")
                .ok_or_else(|| wrong("class", "is missing"))?
                .to_string();
            let numbers = index
                .text("shards")
                .ok_or_else(|| wrong("shards", "is missing"))?;
            let numbers = shards(numbers).map_err(|why| wrong("shards", &why))?;
            let weights: Vec<f64> = match index.text("weights") {
                None => vec![1.0 / numbers.len() as f64; numbers.len()],
                Some(text) => {
                    let weights: Result<Vec<f64>, _> = text
                        .split(',')
                        .map(|weight| weight.trim().parse())
                        .collect();
                    weights.map_err(|_| wrong("weights", "have to be numbers"))?
                }
            };
            if weights.len() != numbers.len() {
                let why = format!(
                    "are {}, and there are {} shards",
                    weights.len(),
                    numbers.len()
                );
                return Err(wrong("weights", &why));
            }
            let sum: f64 = weights.iter().sum();
            if weights.iter().any(|weight| !(0.0..=1.0).contains(weight))
                || (sum - 1.0).abs() > ROUNDING
            {
                return Err(wrong("weights", "have to be shares that add up to 1"));
            }
            indices.insert(
                name.to_string(),
                Index {
                    class,
                    shards: numbers.into_iter().zip(weights).collect(),
                },
            );
        }
        if indices.is_empty() {
            return Err(settings.value_error(
                FRONT.name,
                "",
                "listen",
                "there is no [index NAME] to search",
            ));
        }
        let by = match values.text("tenant-by") {
            Some("network") => TenantBy::Network,
            Some("header-or-network") => TenantBy::Either,
            Some("certificate") => TenantBy::Certificate,
            _ => TenantBy::Header,
        };
        let path = |key: &str| values.text(key).map(PathBuf::from);
        let wrong = |key: &str, why: &str| settings.value_error(FRONT.name, "", key, why);
        let tls = match (path("certificate"), path("key"), path("client-ca")) {
            (Some(certificate), Some(key), clients) => Some(Files {
                certificate,
                key,
                clients,
            }),
            (None, None, None) => None,
            (Some(_), None, _) => return Err(wrong("certificate", "needs 'key'")),
            (None, Some(_), _) => return Err(wrong("key", "needs 'certificate'")),
            (None, None, Some(_)) => {
                return Err(wrong("client-ca", "needs 'certificate' and 'key'"))
            }
        };
        if by == TenantBy::Certificate && tls.as_ref().is_none_or(|tls| tls.clients.is_none()) {
            return Err(wrong(
                "tenant-by",
                "goes by certificates, and there is no 'client-ca'",
            ));
        }
        let mut proxies = Networks::default();
        let named = networks(values.text("proxies").unwrap_or_default());
        let named = named.map_err(|why| settings.value_error(FRONT.name, "", "proxies", &why))?;
        named.into_iter().for_each(|net| proxies.insert(net));
        Ok(Some(Front {
            by,
            tls,
            proxies,
            networks: table(settings, schema, by)?,
            listen,
            connections: values.integer("connections").unwrap_or(64) as usize,
            most_body: values.bytes("body").unwrap_or(64 << 10) as usize,
            most_answer: values.bytes("answer").unwrap_or(8 << 20) as usize,
            idle: values.duration("idle").unwrap_or(Duration::from_secs(60)),
            cluster: values.text("cluster").unwrap_or("cottonhill").to_string(),
            tenant_header: values
                .text("tenant-header")
                .unwrap_or("X-Tenant-Id")
                .to_ascii_lowercase(),
            tenant: values.text("tenant").map(str::to_string),
            indices,
        }))
    }
}

//! Settings of the search front: its listener, its indices with their classes, shards and weights, and the networks of
//! tenants.

use crate::tenant::{parse_networks, NetworkSet, TenantTable};
use crate::tls::TlsFiles;
use cottonhill_ini::{Key, Kind, Schema, Section, Settings, SettingsErrors};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

pub const FRONT: Section = Section {
    name: "opensearch",
    named: false,
    keys: &[
        key("listen", Kind::Address, None, "Address of the search front's own listener; the search front is off if unset."),
        key(
            "connections",
            Kind::Integer(1, 100_000),
            Some("64"),
            "Maximum number of connections and of requests at once. Connections without a request are closed for new ones; requests beyond it are refused.",
        ),
        key("body", Kind::Bytes, Some("64KiB"), "Maximum size of a request body."),
        key(
            "answer",
            Kind::Bytes,
            Some("8MiB"),
            "Maximum total size of the shards' answers to one search.",
        ),
        key("idle", Kind::Duration, Some("60s"), "A connection without a further request for this time after a response is closed."),
        key("cluster", Kind::Text, Some("cottonhill"), "The cluster name in responses."),
        key(
            "tenant-by",
            Kind::Choice(&["header", "network", "header-or-network", "certificate"]),
            Some("header"),
            "Source of the tenant: the header, the network, the header or else the network, or the client certificate.",
        ),
        key("certificate", Kind::Text, None, "PEM file of the certificate chain; plain HTTP if unset."),
        key("key", Kind::Text, None, "PEM file of the private key of the certificate, which must not be accessible to other users."),
        key(
            "client-ca",
            Kind::Text,
            None,
            "PEM file of the certificate authorities for client certificates, which are optional.",
        ),
        key(
            "proxies",
            Kind::Text,
            None,
            "Networks of trusted proxies; X-Forwarded-For of any other peer is ignored.",
        ),
        key("tenant-header", Kind::Text, Some("X-Tenant-Id"), "The header that names the tenant."),
        key("tenant", Kind::Text, None, "The tenant of a search for which tenant-by finds none."),
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
            "The class of the searches on this index, by its name in the configuration.",
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
            "The weights of the shards in the same order, with a sum of 1; equal if unset.",
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
        key("tenant", Kind::Text, None, "The tenant of these networks."),
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

/// One index: the shards to which a search on it is sent, and the class of its searches.
#[derive(Clone, Debug, PartialEq)]
pub struct Index {
    pub class: String,
    /// Each shard with its weight; the weights add up to 1.
    pub shards: Vec<(u32, f64)>,
}

/// The source of the tenant of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantSource {
    Header,
    Network,
    /// The header, or the network if the header is missing.
    HeaderOrNetwork,
    /// The common name of the client's certificate.
    Certificate,
}

/// The settings of the search front.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontSettings {
    pub listen: SocketAddr,
    /// Maximum number of requests at the same time. Beyond as many connections, those without a request are closed for
    /// new ones.
    pub max_connections: usize,
    pub max_body_bytes: usize,
    /// Limit on the total size of the answers of all shards to one search.
    pub max_answer_bytes: usize,
    /// A connection without a further request for this time after a response is closed.
    pub idle_timeout: Duration,
    pub cluster: String,
    /// Name of the header that names the tenant, in lower case.
    pub tenant_header: String,
    /// The tenant of a search for which `tenant_source` finds none.
    pub default_tenant: Option<String>,
    pub tenant_source: TenantSource,
    pub tls: Option<TlsFiles>,
    pub trusted_proxies: NetworkSet,
    pub tenant_networks: TenantTable,
    pub indices: BTreeMap<String, Index>,
}

/// The largest allowed difference between the sum of an index's weights and 1.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// Parses shard numbers and ranges; each shard may occur once.
fn parse_shards(text: &str) -> Result<Vec<u32>, String> {
    let mut all = Vec::new();
    for item in text.split(',').map(str::trim) {
        let (from, to) = item.split_once('-').unwrap_or((item, item));
        let number = |text: &str| {
            text.trim()
                .parse::<u32>()
                .map_err(|_| format!("'{item}' is not a number or range"))
        };
        let (from, to) = (number(from)?, number(to)?);
        if from > to || to - from > 100_000 {
            return Err(format!("'{item}' is not a valid range"));
        }
        all.extend(from..=to);
    }
    let mut sorted = all.clone();
    sorted.sort_unstable();
    match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(format!("shard {} occurs twice", pair[0])),
        None => Ok(all),
    }
}

fn is_valid_index_name(name: &str) -> bool {
    let is_valid = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    !name.starts_with(['_', '-']) && name.bytes().all(is_valid)
}

/// Reads the networks of the tenants. They are added in ascending order of prefix length, regardless of their order in
/// the file.
fn tenant_table(
    settings: &Settings,
    schema: &Schema,
    source: TenantSource,
) -> Result<TenantTable, SettingsErrors> {
    let mut rules = Vec::new();
    for name in settings.section_names(NETWORK.name) {
        let network = settings.section(schema, NETWORK.name, name);
        let error = |key: &str, reason: &str| settings.value_error(NETWORK.name, name, key, reason);
        if matches!(source, TenantSource::Header | TenantSource::Certificate) {
            return Err(error(
                "tenant",
                "is not used, since [opensearch] tenant-by does not include networks",
            ));
        }
        let tenant = network
            .text("tenant")
            .ok_or_else(|| error("tenant", "is missing"))?;
        let prefixes = network
            .text("prefixes")
            .ok_or_else(|| error("prefixes", "is missing"))?;
        let prefixes = parse_networks(prefixes).map_err(|reason| error("prefixes", &reason))?;
        rules.extend(prefixes.into_iter().map(|net| (net, name, tenant)));
    }
    rules.sort_by_key(|(net, ..)| net.prefix_len());
    let mut table = TenantTable::default();
    for (net, name, tenant) in rules {
        table
            .insert(net, tenant)
            .map_err(|reason| settings.value_error(NETWORK.name, name, "prefixes", &reason))?;
    }
    if table.is_empty()
        && matches!(
            source,
            TenantSource::Network | TenantSource::HeaderOrNetwork
        )
    {
        return Err(settings.value_error(
            FRONT.name,
            "",
            "tenant-by",
            "uses networks, and there is no [network NAME]",
        ));
    }
    Ok(table)
}

impl FrontSettings {
    /// Reads the settings of the search front; returns `None` if it is off.
    ///
    /// # Errors
    /// A value is missing, invalid or contradicts another value.
    pub fn read(
        settings: &Settings,
        schema: &Schema,
    ) -> Result<Option<FrontSettings>, SettingsErrors> {
        let values = settings.section(schema, FRONT.name, "");
        let Some(listen) = values.address("listen") else {
            return Ok(None);
        };
        let mut indices = BTreeMap::new();
        for name in settings.section_names(INDEX.name) {
            let index = settings.section(schema, INDEX.name, name);
            let error =
                |key: &str, reason: &str| settings.value_error(INDEX.name, name, key, reason);
            if !is_valid_index_name(name) {
                return Err(error(
                    "class",
                    "the section has an invalid index name: only lower-case letters, digits, '-', '_' and '.' are allowed, and the first character must not be '_' or '-'",
                ));
            }
            let class = index
                .text("class")
                .ok_or_else(|| error("class", "is missing"))?
                .to_string();
            let numbers = index
                .text("shards")
                .ok_or_else(|| error("shards", "is missing"))?;
            let numbers = parse_shards(numbers).map_err(|reason| error("shards", &reason))?;
            let weights: Vec<f64> = match index.text("weights") {
                None => vec![1.0 / numbers.len() as f64; numbers.len()],
                Some(text) => {
                    let weights: Result<Vec<f64>, _> = text
                        .split(',')
                        .map(|weight| weight.trim().parse())
                        .collect();
                    weights.map_err(|_| error("weights", "have to be numbers"))?
                }
            };
            if weights.len() != numbers.len() {
                let reason = format!("has {} values for {} shards", weights.len(), numbers.len());
                return Err(error("weights", &reason));
            }
            let sum: f64 = weights.iter().sum();
            if weights.iter().any(|weight| !(0.0..=1.0).contains(weight))
                || (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE
            {
                return Err(error(
                    "weights",
                    "have to be numbers from 0 to 1 that add up to 1",
                ));
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
        let tenant_source = match values.text("tenant-by") {
            Some("network") => TenantSource::Network,
            Some("header-or-network") => TenantSource::HeaderOrNetwork,
            Some("certificate") => TenantSource::Certificate,
            _ => TenantSource::Header,
        };
        let path = |key: &str| values.text(key).map(PathBuf::from);
        let error = |key: &str, reason: &str| settings.value_error(FRONT.name, "", key, reason);
        let tls = match (path("certificate"), path("key"), path("client-ca")) {
            (Some(certificate), Some(key), client_ca) => Some(TlsFiles {
                certificate,
                key,
                client_ca,
            }),
            (None, None, None) => None,
            (Some(_), None, _) => return Err(error("certificate", "needs 'key'")),
            (None, Some(_), _) => return Err(error("key", "needs 'certificate'")),
            (None, None, Some(_)) => {
                return Err(error("client-ca", "needs 'certificate' and 'key'"))
            }
        };
        if tenant_source == TenantSource::Certificate
            && tls.as_ref().is_none_or(|tls| tls.client_ca.is_none())
        {
            return Err(error(
                "tenant-by",
                "uses certificates, and there is no 'client-ca'",
            ));
        }
        let mut proxies = NetworkSet::default();
        let proxy_networks = parse_networks(values.text("proxies").unwrap_or_default());
        let proxy_networks = proxy_networks
            .map_err(|reason| settings.value_error(FRONT.name, "", "proxies", &reason))?;
        proxy_networks
            .into_iter()
            .for_each(|net| proxies.insert(net));
        Ok(Some(FrontSettings {
            tenant_source,
            tls,
            trusted_proxies: proxies,
            tenant_networks: tenant_table(settings, schema, tenant_source)?,
            listen,
            max_connections: values.integer("connections").unwrap_or(64) as usize,
            max_body_bytes: values.bytes("body").unwrap_or(64 << 10) as usize,
            max_answer_bytes: values.bytes("answer").unwrap_or(8 << 20) as usize,
            idle_timeout: values.duration("idle").unwrap_or(Duration::from_secs(60)),
            cluster: values.text("cluster").unwrap_or("cottonhill").to_string(),
            tenant_header: values
                .text("tenant-header")
                .unwrap_or("X-Tenant-Id")
                .to_ascii_lowercase(),
            default_tenant: values.text("tenant").map(str::to_string),
            indices,
        }))
    }
}

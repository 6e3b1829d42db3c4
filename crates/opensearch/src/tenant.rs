//! Whose a search is: by a header, or by the network that it comes from. Pure.
//!
//! Networks are matched by their longest prefix. Where the client connects through proxies, the address that counts is
//! the last one in `X-Forwarded-For` that no trusted proxy has; what any other client says there is not believed.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::{PrefixMap, PrefixSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// A set of addresses, as networks of both families.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Networks {
    four: PrefixSet<Ipv4Net>,
    six: PrefixSet<Ipv6Net>,
}

impl Networks {
    pub fn insert(&mut self, net: IpNet) {
        match net {
            IpNet::V4(net) => drop(self.four.insert(net.trunc())),
            IpNet::V6(net) => drop(self.six.insert(net.trunc())),
        }
    }

    pub fn contains(&self, address: IpAddr) -> bool {
        match plain(address) {
            IpAddr::V4(address) => self.four.get_lpm(&host4(address)).is_some(),
            IpAddr::V6(address) => self.six.get_lpm(&host6(address)).is_some(),
        }
    }
}

/// Tenants by network, the longest prefix first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    four: PrefixMap<Ipv4Net, String>,
    six: PrefixMap<Ipv6Net, String>,
}

fn host4(address: Ipv4Addr) -> Ipv4Net {
    Ipv4Net::from(address)
}

fn host6(address: Ipv6Addr) -> Ipv6Net {
    Ipv6Net::from(address)
}

/// An IPv4 address that came as an IPv6 one is the IPv4 one.
fn plain(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(six) => six.to_ipv4_mapped().map_or(address, IpAddr::V4),
        IpAddr::V4(_) => address,
    }
}

impl Table {
    /// Adds a network.
    ///
    /// # Errors
    /// It is another tenant's already, or the tenant's by a network around it: then the rule is never reached or
    /// changes nothing. Networks are to be added from the widest to the narrowest.
    pub fn insert(&mut self, net: IpNet, tenant: &str) -> Result<(), String> {
        let (same, around) = match net {
            IpNet::V4(net) => {
                let net = net.trunc();
                (self.four.get(&net).cloned(), self.four.get_lpm(&net).map(|(_, tenant)| tenant.clone()))
            }
            IpNet::V6(net) => {
                let net = net.trunc();
                (self.six.get(&net).cloned(), self.six.get_lpm(&net).map(|(_, tenant)| tenant.clone()))
            }
        };
        if let Some(other) = same {
            return Err(format!("{net} is given to '{other}' already"));
        }
        if around.as_deref() == Some(tenant) {
            return Err(format!("{net} lies in a network of '{tenant}' already: the rule changes nothing"));
        }
        match net {
            IpNet::V4(net) => drop(self.four.insert(net.trunc(), tenant.into())),
            IpNet::V6(net) => drop(self.six.insert(net.trunc(), tenant.into())),
        }
        Ok(())
    }

    pub fn find(&self, address: IpAddr) -> Option<&str> {
        let found = match plain(address) {
            IpAddr::V4(address) => self.four.get_lpm(&host4(address)).map(|(_, tenant)| tenant),
            IpAddr::V6(address) => self.six.get_lpm(&host6(address)).map(|(_, tenant)| tenant),
        };
        found.map(String::as_str)
    }

    pub fn is_empty(&self) -> bool {
        self.four.iter().next().is_none() && self.six.iter().next().is_none()
    }
}

/// Networks as they stand in the settings: prefixes and single addresses, separated by commas.
///
/// # Errors
/// One that is none, or that has bits set past its prefix.
pub fn networks(text: &str) -> Result<Vec<IpNet>, String> {
    let net = |text: &str| {
        let net = match text.parse::<IpAddr>() {
            Ok(address) => IpNet::from(address),
            Err(_) => {
                text.parse::<IpNet>().map_err(|_| format!("'{text}' is no network, as in 10.1.0.0/16"))?
            }
        };
        let trunc = net.trunc();
        (net == trunc)
            .then_some(net)
            .ok_or_else(|| format!("'{text}' has bits past its prefix; is it {trunc}?"))
    };
    text.split(',').map(str::trim).filter(|text| !text.is_empty()).map(net).collect()
}

/// The client's own address: that of the connection, or where that is a trusted proxy's, the last one forwarded that is
/// none. What can't be read ends the search at the proxy that said it.
pub fn client(peer: IpAddr, forwarded: &[&str], proxies: &Networks) -> IpAddr {
    let mut client = peer;
    let said = forwarded.iter().flat_map(|line| line.split(',')).map(str::trim).collect::<Vec<_>>();
    for address in said.into_iter().rev() {
        if !proxies.contains(client) {
            break;
        }
        let Ok(address) = address.parse::<IpAddr>() else { break };
        client = address;
    }
    plain(client)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn table(rules: &[(&str, &str)]) -> Result<Table, String> {
        let mut table = Table::default();
        for (net, tenant) in rules {
            table.insert(net.parse().unwrap(), tenant)?;
        }
        Ok(table)
    }

    #[test]
    fn the_longest_prefix_wins_and_rules_that_do_nothing_are_refused() {
        let found =
            table(&[("10.0.0.0/8", "a"), ("10.1.0.0/16", "b"), ("10.1.2.0/24", "a"), ("2001:db8::/32", "c")]);
        let found = found.unwrap();
        let cases = [
            ("10.9.9.9", Some("a")),
            ("10.1.9.9", Some("b")),
            ("10.1.2.3", Some("a")),
            ("::ffff:10.1.9.9", Some("b")),
            ("11.0.0.1", None),
            ("2001:db8::1", Some("c")),
            ("2001:db9::1", None),
        ];
        for (address, tenant) in cases {
            assert_eq!(found.find(address.parse().unwrap()), tenant, "{address}");
        }
        assert!(table(&[("10.0.0.0/8", "a"), ("10.0.0.0/8", "b")]).unwrap_err().contains("already"));
        assert!(table(&[("10.0.0.0/8", "a"), ("10.1.0.0/16", "a")]).unwrap_err().contains("changes nothing"));
        assert!(
            networks("10.1.0.1/16").unwrap_err().contains("10.1.0.0/16") && networks("10.1.0.0/33").is_err()
        );
        assert_eq!(networks("10.1.0.0/16, ::1").unwrap().len(), 2);
    }

    #[test]
    fn forwarded_addresses_are_believed_from_trusted_proxies_only() {
        let mut proxies = Networks::default();
        networks("10.0.0.0/24, ::1").unwrap().into_iter().for_each(|net| proxies.insert(net));
        let cases: [(&str, &[&str], &str); 8] = [
            ("192.0.2.1", &["10.9.9.9"], "192.0.2.1"),
            ("10.0.0.1", &["192.0.2.7"], "192.0.2.7"),
            ("10.0.0.1", &["198.51.100.1, 192.0.2.7"], "192.0.2.7"),
            ("10.0.0.1", &["198.51.100.1", "192.0.2.7, 10.0.0.2"], "192.0.2.7"),
            ("10.0.0.1", &["10.0.0.3"], "10.0.0.3"),
            ("10.0.0.1", &["198.51.100.1, unknown"], "10.0.0.1"),
            ("10.0.0.1", &[], "10.0.0.1"),
            ("::ffff:10.0.0.1", &["::ffff:192.0.2.7"], "192.0.2.7"),
        ];
        for (peer, forwarded, right) in cases {
            let got = client(peer.parse().unwrap(), forwarded, &proxies);
            assert_eq!(got, right.parse::<IpAddr>().unwrap(), "{peer} {forwarded:?}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn the_table_agrees_with_a_look_at_every_rule(
            rules in prop::collection::vec((0u32..64, 0u8..=6, 0u8..3), 0..20), address in 0u32..64,
        ) {
            let spread = |n: u32| Ipv4Addr::from(n << 26);
            let mut nets: Vec<(Ipv4Net, u8)> = rules.iter().map(|(at, length, tenant)| {
                (Ipv4Net::new(spread(*at), *length).unwrap().trunc(), *tenant)
            }).collect();
            nets.sort_by_key(|(net, _)| net.prefix_len());
            let mut table = Table::default();
            let mut taken: Vec<(Ipv4Net, u8)> = Vec::new();
            for (net, tenant) in nets {
                if table.insert(net.into(), &tenant.to_string()).is_ok() {
                    taken.push((net, tenant));
                }
            }
            let around = taken.iter().filter(|(net, _)| net.contains(&spread(address)));
            let right = around.max_by_key(|(net, _)| net.prefix_len()).map(|(_, tenant)| tenant.to_string());
            prop_assert_eq!(table.find(IpAddr::V4(spread(address))).map(str::to_string), right);
        }
    }
}

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
                (
                    self.four.get(&net).cloned(),
                    self.four.get_lpm(&net).map(|(_, tenant)| tenant.clone()),
                )
            }
            IpNet::V6(net) => {
                let net = net.trunc();
                (
                    self.six.get(&net).cloned(),
                    self.six.get_lpm(&net).map(|(_, tenant)| tenant.clone()),
                )
            }
        };
        if let Some(other) = same {
            return Err(format!("{net} is given to '{other}' already"));
        }
        if around.as_deref() == Some(tenant) {
            return Err(format!(
                "{net} lies in a network of '{tenant}' already: the rule changes nothing"
            ));
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
            Err(_) => text
                .parse::<IpNet>()
                .map_err(|_| format!("'{text}' is no network, as in 10.1.0.0/16"))?,
        };
        let trunc = net.trunc();
        (net == trunc)
            .then_some(net)
            .ok_or_else(|| format!("'{text}' has bits past its prefix; is it {trunc}?"))
    };
    text.split(',')
        .map(str::trim)
        .filter(|text| !text.is_empty())
        .map(net)
        .collect()
}

/// The client's own address: that of the connection, or where that is a trusted proxy's, the last one forwarded that is
/// none. What can't be read ends the search at the proxy that said it.
pub fn client(peer: IpAddr, forwarded: &[&str], proxies: &Networks) -> IpAddr {
    let mut client = peer;
    let said = forwarded
        .iter()
        .flat_map(|line| line.split(','))
        .map(str::trim)
        .collect::<Vec<_>>();
    for address in said.into_iter().rev() {
        if !proxies.contains(client) {
            break;
        }
        let Ok(address) = address.parse::<IpAddr>() else {
            break;
        };
        client = address;
    }
    plain(client)
}

//! The tenant of a search by the network of its client. Pure functions.
//!
//! The longest matching prefix decides. If a client connects through trusted proxies, its address is the last one in
//! `X-Forwarded-For` that does not belong to a trusted proxy. The header is ignored on connections of any other peer,
//! which could forge it.

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::{PrefixMap, PrefixSet};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// A set of IPv4 and IPv6 networks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NetworkSet {
    ipv4: PrefixSet<Ipv4Net>,
    ipv6: PrefixSet<Ipv6Net>,
}

impl NetworkSet {
    pub fn insert(&mut self, net: IpNet) {
        match net {
            IpNet::V4(net) => drop(self.ipv4.insert(net.trunc())),
            IpNet::V6(net) => drop(self.ipv6.insert(net.trunc())),
        }
    }

    pub fn contains(&self, address: IpAddr) -> bool {
        match unmap_ipv4(address) {
            IpAddr::V4(address) => self.ipv4.get_lpm(&host_network_v4(address)).is_some(),
            IpAddr::V6(address) => self.ipv6.get_lpm(&host_network_v6(address)).is_some(),
        }
    }
}

/// The tenants of networks; the longest matching prefix decides.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    ipv4: PrefixMap<Ipv4Net, String>,
    ipv6: PrefixMap<Ipv6Net, String>,
}

fn host_network_v4(address: Ipv4Addr) -> Ipv4Net {
    Ipv4Net::from(address)
}

fn host_network_v6(address: Ipv6Addr) -> Ipv6Net {
    Ipv6Net::from(address)
}

/// Converts an IPv4-mapped IPv6 address to the IPv4 address.
fn unmap_ipv4(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(ipv6) => ipv6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        IpAddr::V4(_) => address,
    }
}

impl TenantTable {
    /// Adds the network of a tenant. Networks have to be added from the shortest prefix to the longest.
    ///
    /// # Errors
    /// The network is in the table already, or the longest enclosing network belongs to the same tenant, so that the
    /// rule has no effect.
    pub fn insert(&mut self, net: IpNet, tenant: &str) -> Result<(), String> {
        let (existing, enclosing) = match net {
            IpNet::V4(net) => {
                let net = net.trunc();
                (
                    self.ipv4.get(&net).cloned(),
                    self.ipv4.get_lpm(&net).map(|(_, tenant)| tenant.clone()),
                )
            }
            IpNet::V6(net) => {
                let net = net.trunc();
                (
                    self.ipv6.get(&net).cloned(),
                    self.ipv6.get_lpm(&net).map(|(_, tenant)| tenant.clone()),
                )
            }
        };
        if let Some(other) = existing {
            return Err(format!("{net} is assigned to '{other}' already"));
        }
        if enclosing.as_deref() == Some(tenant) {
            return Err(format!(
                "{net} is inside a network of '{tenant}' already: the rule changes nothing"
            ));
        }
        match net {
            IpNet::V4(net) => drop(self.ipv4.insert(net.trunc(), tenant.into())),
            IpNet::V6(net) => drop(self.ipv6.insert(net.trunc(), tenant.into())),
        }
        Ok(())
    }

    pub fn tenant_of(&self, address: IpAddr) -> Option<&str> {
        let tenant = match unmap_ipv4(address) {
            IpAddr::V4(address) => self
                .ipv4
                .get_lpm(&host_network_v4(address))
                .map(|(_, tenant)| tenant),
            IpAddr::V6(address) => self
                .ipv6
                .get_lpm(&host_network_v6(address))
                .map(|(_, tenant)| tenant),
        };
        tenant.map(String::as_str)
    }

    pub fn is_empty(&self) -> bool {
        self.ipv4.iter().next().is_none() && self.ipv6.iter().next().is_none()
    }
}

/// Parses networks from the settings: prefixes and single addresses, separated by commas.
///
/// # Errors
/// An item that is not a network, or that has bits set past its prefix.
pub fn parse_networks(text: &str) -> Result<Vec<IpNet>, String> {
    let parse = |text: &str| {
        let net = match text.parse::<IpAddr>() {
            Ok(address) => IpNet::from(address),
            Err(_) => text
                .parse::<IpNet>()
                .map_err(|_| format!("'{text}' is not a network, as in 10.1.0.0/16"))?,
        };
        let truncated = net.trunc();
        (net == truncated)
            .then_some(net)
            .ok_or_else(|| format!("'{text}' has bits set past its prefix; expected {truncated}"))
    };
    text.split(',')
        .map(str::trim)
        .filter(|text| !text.is_empty())
        .map(parse)
        .collect()
}

/// The address of the client: the peer address of the connection, unless the peer is a trusted proxy. In that case the
/// forwarded addresses are examined from the last to the first, up to the first one that is not a trusted proxy; that
/// is the client. An address that cannot be parsed ends the search: the result is then the proxy that forwarded it.
pub fn client_address(peer: IpAddr, forwarded: &[&str], proxies: &NetworkSet) -> IpAddr {
    let mut client = peer;
    let forwarded_addresses = forwarded
        .iter()
        .flat_map(|line| line.split(','))
        .map(str::trim)
        .collect::<Vec<_>>();
    for address in forwarded_addresses.into_iter().rev() {
        if !proxies.contains(client) {
            break;
        }
        let Ok(address) = address.parse::<IpAddr>() else {
            break;
        };
        client = address;
    }
    unmap_ipv4(client)
}

//! The tenant of a search by its client's network, also behind proxies.

use cottonhill_opensearch::tenant::{client, networks, Networks, Table};
use ipnet::Ipv4Net;
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr};

fn table(rules: &[(&str, &str)]) -> Result<Table, String> {
    let mut table = Table::default();
    for (net, tenant) in rules {
        table.insert(net.parse().unwrap(), tenant)?;
    }
    Ok(table)
}

#[test]
fn the_longest_prefix_wins_and_rules_that_do_nothing_are_refused() {
    let found = table(&[
        ("10.0.0.0/8", "a"),
        ("10.1.0.0/16", "b"),
        ("10.1.2.0/24", "a"),
        ("2001:db8::/32", "c"),
    ]);
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
    assert!(table(&[("10.0.0.0/8", "a"), ("10.0.0.0/8", "b")])
        .unwrap_err()
        .contains("already"));
    assert!(table(&[("10.0.0.0/8", "a"), ("10.1.0.0/16", "a")])
        .unwrap_err()
        .contains("changes nothing"));
    assert!(
        networks("10.1.0.1/16").unwrap_err().contains("10.1.0.0/16")
            && networks("10.1.0.0/33").is_err()
    );
    assert_eq!(networks("10.1.0.0/16, ::1").unwrap().len(), 2);
}

#[test]
fn forwarded_addresses_are_believed_from_trusted_proxies_only() {
    let mut proxies = Networks::default();
    networks("10.0.0.0/24, ::1")
        .unwrap()
        .into_iter()
        .for_each(|net| proxies.insert(net));
    let cases: [(&str, &[&str], &str); 8] = [
        ("192.0.2.1", &["10.9.9.9"], "192.0.2.1"),
        ("10.0.0.1", &["192.0.2.7"], "192.0.2.7"),
        ("10.0.0.1", &["198.51.100.1, 192.0.2.7"], "192.0.2.7"),
        (
            "10.0.0.1",
            &["198.51.100.1", "192.0.2.7, 10.0.0.2"],
            "192.0.2.7",
        ),
        ("10.0.0.1", &["10.0.0.3"], "10.0.0.3"),
        ("10.0.0.1", &["198.51.100.1, unknown"], "10.0.0.1"),
        ("10.0.0.1", &[], "10.0.0.1"),
        ("::ffff:10.0.0.1", &["::ffff:192.0.2.7"], "192.0.2.7"),
    ];
    for (peer, forwarded, right) in cases {
        let got = client(peer.parse().unwrap(), forwarded, &proxies);
        assert_eq!(
            got,
            right.parse::<IpAddr>().unwrap(),
            "{peer} {forwarded:?}"
        );
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

//! The tenant of a search by its client's network, with and without proxies.

use cottonhill_opensearch::tenant::{client_address, parse_networks, NetworkSet, TenantTable};
use ipnet::Ipv4Net;
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr};

fn tenant_table(rules: &[(&str, &str)]) -> Result<TenantTable, String> {
    let mut table = TenantTable::default();
    for (net, tenant) in rules {
        table.insert(net.parse().unwrap(), tenant)?;
    }
    Ok(table)
}

#[test]
fn the_longest_prefix_decides_and_rules_without_effect_are_rejected() {
    let table_result = tenant_table(&[
        ("10.0.0.0/8", "a"),
        ("10.1.0.0/16", "b"),
        ("10.1.2.0/24", "a"),
        ("2001:db8::/32", "c"),
    ]);
    let tenants = table_result.unwrap();
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
        assert_eq!(
            tenants.tenant_of(address.parse().unwrap()),
            tenant,
            "{address}"
        );
    }
    assert!(tenant_table(&[("10.0.0.0/8", "a"), ("10.0.0.0/8", "b")])
        .unwrap_err()
        .contains("already"));
    assert!(tenant_table(&[("10.0.0.0/8", "a"), ("10.1.0.0/16", "a")])
        .unwrap_err()
        .contains("changes nothing"));
    assert!(
        parse_networks("10.1.0.1/16")
            .unwrap_err()
            .contains("10.1.0.0/16")
            && parse_networks("10.1.0.0/33").is_err()
    );
    assert_eq!(parse_networks("10.1.0.0/16, ::1").unwrap().len(), 2);
}

#[test]
fn forwarded_addresses_are_used_from_trusted_proxies_only() {
    let mut proxies = NetworkSet::default();
    parse_networks("10.0.0.0/24, ::1")
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
    for (peer, forwarded, expected) in cases {
        let actual = client_address(peer.parse().unwrap(), forwarded, &proxies);
        assert_eq!(
            actual,
            expected.parse::<IpAddr>().unwrap(),
            "{peer} {forwarded:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_table_agrees_with_a_linear_search_of_all_rules(
        rules in prop::collection::vec((0u32..64, 0u8..=6, 0u8..3), 0..20), address in 0u32..64,
    ) {
        let spread = |n: u32| Ipv4Addr::from(n << 26);
        let mut nets: Vec<(Ipv4Net, u8)> = rules.iter().map(|(number, length, tenant)| {
            (Ipv4Net::new(spread(*number), *length).unwrap().trunc(), *tenant)
        }).collect();
        nets.sort_by_key(|(net, _)| net.prefix_len());
        let mut table = TenantTable::default();
        let mut accepted: Vec<(Ipv4Net, u8)> = Vec::new();
        for (net, tenant) in nets {
            if table.insert(net.into(), &tenant.to_string()).is_ok() {
                accepted.push((net, tenant));
            }
        }
        let enclosing = accepted.iter().filter(|(net, _)| net.contains(&spread(address)));
        let expected = enclosing.max_by_key(|(net, _)| net.prefix_len()).map(|(_, tenant)| tenant.to_string());
        prop_assert_eq!(table.tenant_of(IpAddr::V4(spread(address))).map(str::to_string), expected);
    }
}

//! Bodies under gzip: the bound on what one unpacks to, and damaged ones.

use cottonhill_opensearch::packed::{pack, unpack};

#[test]
fn what_unpacks_without_end_is_cut_at_the_bound() {
    let long = vec![b' '; 10_000_000];
    let packed = pack(&long).unwrap();
    assert!(
        packed.len() < 100_000
            && unpack(&packed, 65_536)
                .unwrap_err()
                .contains("more than 65536")
    );
    // Many members in a row are one body; so is a bomb of them.
    let many = pack(&[b' '; 1000]).unwrap().repeat(1000);
    assert!(unpack(&many, 65_536).is_err());
    assert_eq!(unpack(&pack(b"{}").unwrap(), 2).unwrap(), b"{}");
    let cut = &packed[..packed.len() / 2];
    for bad in [&b"{}"[..], b"", cut, &packed[..12]] {
        assert!(unpack(bad, 20_000_000).is_err());
    }
}

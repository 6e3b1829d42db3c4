//! Gzip bodies: the limit on the decompressed size, and corrupt bodies.

use cottonhill_opensearch::gzip::{compress, decompress};

#[test]
fn bodies_over_the_decompressed_limit_and_corrupt_bodies_are_rejected() {
    let long = vec![b' '; 10_000_000];
    let compressed = compress(&long).unwrap();
    assert!(
        compressed.len() < 100_000
            && decompress(&compressed, 65_536)
                .unwrap_err()
                .contains("more than 65536")
    );
    // A body may have several gzip members; the limit is on all of them together.
    let members = compress(&[b' '; 1000]).unwrap().repeat(1000);
    assert!(decompress(&members, 65_536).is_err());
    assert_eq!(decompress(&compress(b"{}").unwrap(), 2).unwrap(), b"{}");
    let truncated = &compressed[..compressed.len() / 2];
    for corrupt in [&b"{}"[..], b"", truncated, &compressed[..12]] {
        assert!(decompress(corrupt, 20_000_000).is_err());
    }
}

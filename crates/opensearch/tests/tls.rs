//! TLS of the front: reload of certificates, and client certificates.

use cottonhill_opensearch::tls::{common_name, Tls, TlsFiles};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, DnType, IsCa, KeyPair};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio_rustls::{client, server, TlsConnector};

struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    fn new() -> Authority {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Authority(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }

    /// A certificate and its key, in PEM.
    fn issue(&self, host: &str, name: &str) -> (String, String) {
        let mut params = CertificateParams::new(vec![host.to_string()]).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        let key = KeyPair::generate().unwrap();
        (
            params.signed_by(&key, &self.0).unwrap().pem(),
            key.serialize_pem(),
        )
    }

    fn client(&self, identity: Option<(String, String)>) -> ClientConfig {
        let mut roots = RootCertStore::empty();
        roots
            .add(CertificateDer::from_pem_slice(self.0.pem().as_bytes()).unwrap())
            .unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap();
        let builder = builder.with_root_certificates(roots);
        match identity {
            None => builder.with_no_client_auth(),
            Some((certificate, key)) => {
                let chain = vec![CertificateDer::from_pem_slice(certificate.as_bytes()).unwrap()];
                let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).unwrap();
                builder.with_client_auth_cert(chain, key).unwrap()
            }
        }
    }
}

fn write_with_mode(path: &Path, text: &str, mode: u32) {
    fs::write(path, text).unwrap();
    fs::set_permissions(path, fs::Permissions::from_mode(mode)).unwrap();
}

type Pair = (
    client::TlsStream<DuplexStream>,
    server::TlsStream<DuplexStream>,
);

async fn handshake(tls: &Tls, client: ClientConfig, host: &'static str) -> std::io::Result<Pair> {
    let (client_stream, server_stream) = tokio::io::duplex(65_536);
    let acceptor = tls.acceptor();
    let server = tokio::spawn(async move { acceptor.accept(server_stream).await });
    let connector = TlsConnector::from(Arc::new(client));
    let client = connector
        .connect(ServerName::try_from(host).unwrap(), client_stream)
        .await;
    let server = server.await.unwrap();
    Ok((client?, server?))
}

#[tokio::test]
async fn a_reload_affects_new_connections_only_and_invalid_files_change_nothing() {
    let (folder, authority) = (tempfile::tempdir().unwrap(), Authority::new());
    let path = |name: &str| folder.path().join(name);
    let files = TlsFiles {
        certificate: path("cert"),
        key: path("key"),
        client_ca: Some(path("ca")),
    };
    let (certificate, key) = authority.issue("one.example", "one");
    write_with_mode(&files.certificate, &certificate, 0o644);
    write_with_mode(&path("ca"), &authority.0.pem(), 0o644);
    write_with_mode(&files.key, &key, 0o640);
    assert!(Tls::load(files.clone())
        .err()
        .unwrap()
        .contains("must not be accessible to other users"));
    write_with_mode(&files.key, &key, 0o600);
    let tls = Tls::load(files.clone()).unwrap();
    let (mut client, mut server) = handshake(&tls, authority.client(None), "one.example")
        .await
        .unwrap();
    assert!(
        server.get_ref().1.peer_certificates().is_none(),
        "a client's certificate is optional"
    );
    // The new certificate is written first, then its key: in between, the pair does not match.
    let (next, next_key) = authority.issue("two.example", "two");
    write_with_mode(&files.certificate, &next, 0o644);
    assert!(tls.reload().is_err());
    assert!(
        handshake(&tls, authority.client(None), "one.example")
            .await
            .is_ok(),
        "the previous certificate stays in effect"
    );
    write_with_mode(&files.key, &next_key, 0o600);
    tls.reload().unwrap();
    assert!(handshake(&tls, authority.client(None), "two.example")
        .await
        .is_ok());
    assert!(handshake(&tls, authority.client(None), "one.example")
        .await
        .is_err());
    client.write_all(b"still here").await.unwrap();
    client.flush().await.unwrap();
    let mut received = [0; 10];
    server.read_exact(&mut received).await.unwrap();
    assert_eq!(
        &received, b"still here",
        "a connection from before the reload stays open"
    );
}

#[tokio::test]
async fn a_client_certificate_names_its_client_and_one_of_another_authority_is_refused() {
    let (folder, authority, other_authority) = (
        tempfile::tempdir().unwrap(),
        Authority::new(),
        Authority::new(),
    );
    let path = |name: &str| folder.path().join(name);
    let files = TlsFiles {
        certificate: path("cert"),
        key: path("key"),
        client_ca: Some(path("ca")),
    };
    let (certificate, key) = authority.issue("one.example", "one");
    write_with_mode(&files.certificate, &certificate, 0o644);
    write_with_mode(&files.key, &key, 0o600);
    write_with_mode(&path("ca"), &authority.0.pem(), 0o644);
    let tls = Tls::load(files).unwrap();
    let alpha = authority.client(Some(authority.issue("client.example", "alpha")));
    let (_client, server) = handshake(&tls, alpha, "one.example").await.unwrap();
    let certificates = server.get_ref().1.peer_certificates().unwrap();
    assert_eq!(common_name(&certificates[0]).as_deref(), Some("alpha"));
    let refused = authority.client(Some(other_authority.issue("client.example", "alpha")));
    assert!(handshake(&tls, refused, "one.example").await.is_err());
}

//! Requests over TLS that are being received when the mixer shuts down, on loopback sockets.

use cottonhill_mixer::protocol::query_json::QuerySchema;
use cottonhill_mixer::reducer::Reducer;
use cottonhill_mixer::settings;
use cottonhill_mixer::transport::{self, Addresses, Clock, Control, FrontendStarter, Integrations};
use cottonhill_opensearch::front;
use cottonhill_opensearch::index::{FrontSettings, TenantSource};
use cottonhill_opensearch::tls::{Tls, TlsFiles};
use rcgen::{generate_simple_self_signed, CertifiedKey};
use rustls::pki_types::ServerName;
use rustls::{ClientConfig, RootCertStore};
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration};
use tokio_rustls::client::TlsStream;
use tokio_rustls::TlsConnector;

const HOST: &str = "search.example";
const DESCRIPTORS: usize = 1024;
const MAX_CONNECTIONS: usize = 512;
/// A mixer with one class. It has no leaf server: the requests name an index that does not exist.
const SETTINGS: &str = "classes.count=1\nclasses.0.name=search\nclasses.0.aim_ns=1000000000\n\
classes.0.give_up_ns=3000000000\nclasses.0.semantics=read_like\nextra.places=1\nextra.reach=1\nextra.ranges=1\n\
extra.class_need=1.0\nextra.least_share=1.0\nextra.partial_earns=0.9\nextra.second_step=0\nreplicas_of_me=1\n\
tick_ns=5000000\nlimits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\nlimits.streams_per_conn=4\n\
limits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\nlimits.open_cap=60\n\
limits.max_retry_after_ns=500000000\nguarantees.stop_sending_within_ns=250000000\n";

fn front_settings(listen: SocketAddr) -> FrontSettings {
    FrontSettings {
        listen,
        max_connections: MAX_CONNECTIONS,
        max_body_bytes: 65_536,
        max_answer_bytes: 65_536,
        idle_timeout: Duration::from_secs(60),
        cluster: "cottonhill".into(),
        tenant_header: "x-tenant-id".into(),
        default_tenant: None,
        tenant_source: TenantSource::Header,
        tls: None,
        trusted_proxies: Default::default(),
        tenant_networks: Default::default(),
        indices: BTreeMap::new(),
    }
}

/// The certificate of the front, and the configuration of a client that trusts it.
fn tls_of(directory: &Path) -> (Tls, ClientConfig) {
    let CertifiedKey { cert, signing_key } =
        generate_simple_self_signed(vec![HOST.to_string()]).unwrap();
    let files = TlsFiles {
        certificate: directory.join("certificate"),
        key: directory.join("key"),
        client_ca: None,
    };
    fs::write(&files.certificate, cert.pem()).unwrap();
    fs::write(&files.key, signing_key.serialize_pem()).unwrap();
    fs::set_permissions(&files.key, fs::Permissions::from_mode(0o600)).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(cert.der().clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    (Tls::load(files).unwrap(), client)
}

/// Starts a mixer with the search front. Returns the front's address.
async fn start_mixer(tls: Tls) -> (SocketAddr, mpsc::Sender<Control>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let search_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let search = search_listener.local_addr().unwrap();
    let clock = Clock::start();
    let reducer = Reducer::new(
        clock.now(),
        settings::parse_mixer(SETTINGS).unwrap(),
        settings::parse_decisions(SETTINGS).unwrap(),
        7,
        &Default::default(),
        DESCRIPTORS,
    );
    let tls = Some(Rc::new(tls));
    let start_front: FrontendStarter = Box::new(move |queries, guard| {
        front::start(front_settings(search), tls, search_listener, queries, guard);
    });
    let integrations = Integrations {
        frontends: vec![start_front],
        ..Integrations::default()
    };
    let addresses = Addresses {
        // Nothing listens there.
        discovery: "127.0.0.1:1".parse().unwrap(),
        peer_listen: None,
        peers: Vec::new(),
        peers_all: None,
    };
    let (control, controls) = mpsc::channel(1);
    let schema = QuerySchema::default();
    spawn_local(transport::serve(
        reducer,
        clock,
        schema,
        listener,
        addresses,
        controls,
        integrations,
    ));
    (search, control)
}

async fn connect(address: SocketAddr, client: &ClientConfig) -> TlsStream<TcpStream> {
    let connector = TlsConnector::from(Arc::new(client.clone()));
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let host = ServerName::try_from(HOST).unwrap();
    connector.connect(host, stream).await.unwrap()
}

/// Guards against a shutdown that drops the requests that are being written over TLS (review case 6), cut at every byte: a
/// request that becomes whole is served, and one that does not gets an error.
#[test]
fn a_request_over_tls_that_is_being_written_at_the_shutdown_is_answered_whichever_byte_it_is_cut_at(
) {
    let body = r#"{"query":{"match_all":{}}}"#;
    let text = format!(
        "POST /none/_search HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let directory = tempfile::tempdir().unwrap();
    let (tls, client) = tls_of(directory.path());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (address, control) = start_mixer(tls).await;
        let mut begun = Vec::new();
        // The clock goes on while a response to one that stays incomplete is awaited.
        for becomes_whole in [true, false] {
            for cut in 1..text.len() {
                begun.push((connect(address, &client).await, cut, becomes_whole));
            }
        }
        for (stream, cut, _) in &mut begun {
            stream.write_all(&text.as_bytes()[..*cut]).await.unwrap();
            stream.flush().await.unwrap();
        }
        control.send(Control::Terminate).await.unwrap();
        sleep(Duration::from_millis(1_200)).await;
        for (stream, cut, becomes_whole) in &mut begun {
            if *becomes_whole {
                stream.write_all(&text.as_bytes()[*cut..]).await.unwrap();
                stream.flush().await.unwrap();
            }
            let mut response = String::new();
            let read = stream.read_to_string(&mut response).await;
            let status = response.split(' ').nth(1).unwrap_or_default();
            let expected = if *becomes_whole { "404" } else { "408" };
            assert_eq!(status, expected, "cut at {cut}: {response:?}, {read:?}");
            assert!(response.ends_with('}'), "cut at {cut}: {response:?}");
        }
    });
}

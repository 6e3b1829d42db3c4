//! New configurations while discovery is slow, fails or is moved, on loopback sockets: a change counts as announced 6 s after
//! discovery has it and can be reached, whatever becomes of the watches and requests meanwhile.

mod harness;
mod loopback;

use cottonhill_mixer::transport::{Addresses, Control};
use harness::SETTINGS;
use loopback::{http_chunk, http_get, read_head, send_text, MixerOptions, RunningMixer, TestClock};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, timeout_at, Duration, Instant};

const DESCRIPTORS: usize = 1024;
/// A change counts as announced this long after discovery has it and can be reached.
const STALENESS_BOUND: Duration = Duration::from_millis(6_000);
/// Every time limit is extended by this duration.
const SLACK: Duration = Duration::from_millis(50);
/// An address that is no longer configured closes its connections after this time.
const CLOSED_AFTER: Duration = Duration::from_millis(1_500);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A limit on the test's clock for a test that hangs.
const TIME_LIMIT: Duration = Duration::from_secs(3_000);
const FIRST_VERSION: usize = 41;
const MS: fn(u64) -> Duration = Duration::from_millis;

/// The endpoint list that all addresses of discovery serve, and how.
struct Service {
    leaf: SocketAddr,
    /// How long each request waits for its first answer.
    request_time: Cell<Duration>,
    /// Whether requests are answered with 503.
    rejects: Cell<bool>,
    /// The version, which is also the number of changes: the leaf server drains from the second version on.
    version: watch::Sender<usize>,
    /// The versions from which requests have asked for changes; 0 for a snapshot.
    requested_from: RefCell<Vec<usize>>,
}

impl Service {
    fn status(&self) -> &'static str {
        if *self.version.borrow() == FIRST_VERSION {
            "up"
        } else {
            "draining"
        }
    }

    /// The list, or the change of its only entry.
    fn update(&self, from_version: Option<usize>) -> String {
        let (version, status) = (*self.version.borrow(), self.status());
        let entry = format!(
            "{{\"name\":\"s-1\",\"address\":\"{}\",\"group\":0,\"status\":\"{status}\"}}",
            self.leaf
        );
        let entry = if from_version == Some(version) {
            String::new()
        } else {
            entry
        };
        let snapshot = from_version.is_none_or(|from_version| from_version < FIRST_VERSION);
        format!("{{\"index\":{version},\"snapshot\":{snapshot},\"endpoints\":[{entry}]}}\n")
    }

    fn change(&self) {
        self.version.send_modify(|version| *version += 1);
    }
}

/// One address of discovery.
struct DiscoveryAddress {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    /// Changed to close the open connections.
    closings: watch::Sender<usize>,
}

impl DiscoveryAddress {
    fn start(listener: TcpListener, service: &Rc<Service>) -> DiscoveryAddress {
        let address = listener.local_addr().unwrap();
        let closings = watch::channel(0).0;
        let (service, closing) = (service.clone(), closings.clone());
        let accepting = spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let mut closings = closing.subscribe();
                let service = service.clone();
                spawn_local(async move {
                    tokio::select! {
                        () = serve_request(stream, &service) => {}
                        _ = closings.changed() => {}
                    }
                });
            }
        });
        DiscoveryAddress {
            address,
            accepting,
            closings,
        }
    }

    /// Accepts no more connections, and closes the open ones after a while.
    fn retire(self) {
        self.accepting.abort();
        spawn_local(async move {
            sleep(CLOSED_AFTER).await;
            self.close_connections();
        });
    }

    fn close_connections(&self) {
        self.closings.send_modify(|closings| *closings += 1);
    }
}

async fn serve_request(mut stream: TcpStream, service: &Service) {
    let head = read_head(&mut stream).await;
    let from_version = head.split("from=").nth(1).map(|rest| {
        rest.split([' ', '&'])
            .next()
            .unwrap()
            .parse::<usize>()
            .unwrap()
    });
    service
        .requested_from
        .borrow_mut()
        .push(from_version.unwrap_or(0));
    sleep(service.request_time.get()).await;
    if service.rejects.get() {
        let rejection =
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
        let _ = stream.write_all(rejection.as_bytes()).await;
        return;
    }
    let mut versions = service.version.subscribe();
    if !head.contains("watch=1") {
        let body = service.update(None);
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        send_text(&mut stream, &response).await;
        return;
    }
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut message = head.to_string() + &http_chunk(&service.update(from_version));
    loop {
        let version = *versions.borrow_and_update();
        if stream.write_all(message.as_bytes()).await.is_err() {
            return;
        }
        message = match timeout(HEARTBEAT_INTERVAL, versions.changed()).await {
            Ok(changed) => {
                changed.unwrap();
                http_chunk(&service.update(Some(version)))
            }
            Err(_) => http_chunk("\n"),
        };
    }
}

struct Fixture {
    mixer: SocketAddr,
    control: mpsc::Sender<Control>,
    service: Rc<Service>,
    current: RefCell<Option<DiscoveryAddress>>,
}

impl Fixture {
    async fn reload(&self, address: SocketAddr) {
        let addresses = Addresses {
            discovery: address,
            peer_listen: None,
            peers: Vec::new(),
            peers_all: None,
        };
        self.control
            .send(Control::Reload(Some(addresses)))
            .await
            .unwrap();
        // The control channel has one place: it is empty again once the mixer has the reload.
        drop(self.control.reserve().await);
    }

    /// Moves discovery to another address; the former one is retired.
    async fn move_discovery(&self) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let next = DiscoveryAddress::start(listener, &self.service);
        self.reload(next.address).await;
        if let Some(former) = self.current.borrow_mut().replace(next) {
            former.retire();
        }
    }

    async fn list_version(&self) -> usize {
        let stats = http_get(self.mixer, "/-/stats").await.json();
        stats["list"].as_u64().unwrap() as usize
    }

    /// Waits until the mixer has this version. Returns false if it does not by `deadline`.
    async fn has_version_by(&self, version: usize, deadline: Instant) -> bool {
        let arrival = async {
            while self.list_version().await < version {
                sleep(MS(5)).await;
            }
        };
        timeout_at(deadline, arrival).await.is_ok()
    }
}

fn polled() -> String {
    SETTINGS.to_string() + "discovery=on_request\nguarantees.ask_within_ns=10000000000\n"
}

/// Runs `test` with a mixer that has the first version of the list, on a clock that advances when nothing can run.
fn run_against_mixer<F: Future<Output = ()>>(
    settings_text: &str,
    request_time: Duration,
    test: impl FnOnce(Rc<Fixture>) -> F,
) {
    let options = MixerOptions::new(settings_text, DESCRIPTORS, TestClock::Paused);
    loopback::run_mixer(options, |mixer| async move {
        let RunningMixer {
            address: mixer,
            control,
            discovery,
            leaf,
            serving: _,
        } = mixer;
        let service = Rc::new(Service {
            leaf: leaf.local_addr().unwrap(),
            request_time: Cell::new(request_time),
            rejects: Cell::new(false),
            version: watch::channel(FIRST_VERSION).0,
            requested_from: RefCell::default(),
        });
        let current = DiscoveryAddress::start(discovery, &service);
        let fixture = Rc::new(Fixture {
            mixer,
            control,
            service,
            current: RefCell::new(Some(current)),
        });
        let ready_by = Instant::now() + Duration::from_secs(20);
        assert!(fixture.has_version_by(FIRST_VERSION, ready_by).await);
        timeout(TIME_LIMIT, test(fixture))
            .await
            .expect("the test ends within its time limit");
    });
}

/// Guards against reloads that each end the request in progress (review case 9): while new configurations came, none was
/// answered, and a draining server got work for 12 s. The change comes at any time between two reloads.
#[test]
fn a_change_is_announced_within_its_bound_however_many_reloads_cross_slow_requests() {
    for (settings_text, interval_ms, request_ms) in [
        (polled(), 2_000, 2_300),
        (polled(), 1_000, 2_300),
        (polled(), 1_400, 2_800),
        (polled(), 500, 1_900),
        (polled(), 200, 1_600),
        (polled(), 2_900, 2_900),
        (SETTINGS.to_string(), 500, 700),
        (SETTINGS.to_string(), 100, 300),
    ] {
        for changed_after_ms in (0..interval_ms + 100).step_by(interval_ms as usize / 4) {
            let context = format!(
                "reloads every {interval_ms} ms, requests of {request_ms} ms, change after {changed_after_ms} ms"
            );
            run_against_mixer(&settings_text, MS(request_ms), |fixture| async move {
                let reloading = fixture.clone();
                let reloads = spawn_local(async move {
                    for _ in 0..12_000 / interval_ms {
                        reloading.move_discovery().await;
                        sleep(MS(interval_ms)).await;
                    }
                });
                sleep(MS(changed_after_ms)).await;
                fixture.service.change();
                let bound = Instant::now() + STALENESS_BOUND + SLACK;
                assert!(
                    fixture.has_version_by(FIRST_VERSION + 1, bound).await,
                    "not announced in time: {context}"
                );
                reloads.await.unwrap();
                // The last watch goes on.
                sleep(MS(4_000)).await;
                fixture.service.change();
                let soon = Instant::now() + MS(20);
                assert!(
                    fixture.has_version_by(FIRST_VERSION + 2, soon).await,
                    "no open watch: {context}"
                );
            });
        }
    }
}

/// Guards against a reload that ends a watch in favor of one that is refused, rejected or not answered: the former address
/// announces changes as long as it can be reached, and the new one once it can.
#[test]
fn a_change_is_announced_at_once_by_the_former_address_until_the_new_one_answers() {
    for settings_text in [polled(), SETTINGS.to_string()] {
        for failure in ["refused", "rejected", "silent"] {
            run_against_mixer(&settings_text, MS(0), |fixture| async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = listener.local_addr().unwrap();
                // A silent one is never accepted.
                let listener = (failure != "refused").then_some(listener);
                let next = if failure == "rejected" {
                    fixture.service.rejects.set(true);
                    DiscoveryAddress::start(listener.unwrap(), &fixture.service);
                    None
                } else {
                    listener
                };
                fixture.reload(address).await;
                for step in 1..=3 {
                    sleep(MS(3_100)).await;
                    fixture.service.change();
                    let soon = Instant::now() + MS(20);
                    assert!(
                        fixture.has_version_by(FIRST_VERSION + step, soon).await,
                        "{failure}, change {step}"
                    );
                }
                // The former address goes, and the new one serves.
                fixture.current.take().unwrap().retire();
                sleep(CLOSED_AFTER + MS(10)).await;
                fixture.service.rejects.set(false);
                let listener = match (failure, next) {
                    ("rejected", _) => None,
                    (_, Some(listener)) => Some(listener),
                    (_, None) => Some(TcpListener::bind(address).await.unwrap()),
                };
                if let Some(listener) = listener {
                    DiscoveryAddress::start(listener, &fixture.service);
                }
                fixture.service.change();
                let bound = Instant::now() + STALENESS_BOUND + SLACK;
                assert!(
                    fixture.has_version_by(FIRST_VERSION + 4, bound).await,
                    "{failure}, at the new address"
                );
            });
        }
    }
}

/// Guards against a delay before the next request that leaves too little time for a slow one: discovery takes as long as
/// before, and has a change right after a watch was closed or a request was rejected.
#[test]
fn a_change_is_announced_within_its_bound_after_a_watch_of_a_slow_discovery_has_ended() {
    for request_ms in [0, 1_000, 1_600, 2_300, 2_900] {
        for rejected_requests in [0, 1, 3] {
            // The more mixers there are, the longer are the delays between requests.
            let settings_text = polled().replace("replicas_of_me=1", "replicas_of_me=300");
            run_against_mixer(&settings_text, MS(request_ms), |fixture| async move {
                fixture.service.rejects.set(rejected_requests > 0);
                let requests = fixture.service.requested_from.borrow().len();
                fixture
                    .current
                    .borrow()
                    .as_ref()
                    .unwrap()
                    .close_connections();
                while fixture.service.requested_from.borrow().len() < requests + rejected_requests {
                    sleep(MS(1)).await;
                }
                if rejected_requests > 0 {
                    // The last one is still rejected.
                    sleep(MS(request_ms)).await;
                }
                fixture.service.rejects.set(false);
                fixture.service.change();
                let bound = Instant::now() + STALENESS_BOUND + SLACK;
                assert!(
                    fixture.has_version_by(FIRST_VERSION + 1, bound).await,
                    "requests of {request_ms} ms, {rejected_requests} rejected"
                );
            });
        }
    }
}

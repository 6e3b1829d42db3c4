//! Discovery server: the endpoint list of leaf servers, served as a complete list or as a watch. Lists of up to 110,000
//! entries are rendered once per version and shared by all readers.

mod table;
mod traffic;

pub use table::{EndpointTable, Message, Version};
pub use traffic::Traffic;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{interval_at, timeout, Instant, MissedTickBehavior};
use tokio_util::io::InspectWriter;
use traffic::Counters;

/// A watch without changes receives an empty line at this interval.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Delay between attempts to listen at an address that is still in use.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Default)]
struct State {
    table: EndpointTable,
    /// Connections with lower numbers stay open but receive nothing more.
    first_served_connection: u64,
    /// Whether all answers and messages are withheld.
    unresponsive: bool,
}

/// A discovery server that runs until it is dropped.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Notified of each change of the state.
    changed: watch::Sender<()>,
    /// Notified when all connections are to be reset.
    resets: watch::Sender<()>,
    /// Whether the server listens.
    online: watch::Sender<bool>,
    counters: Arc<Counters>,
    task: AbortHandle,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// Starts the server on a free port of `ip` with an empty list.
    ///
    /// # Errors
    /// No port is available.
    pub async fn start(ip: IpAddr) -> io::Result<Discovery> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (state, counters) = (Arc::<Mutex<State>>::default(), Arc::<Counters>::default());
        let (changed, _) = watch::channel(());
        let (resets, reset_events) = watch::channel(());
        let (online, online_changes) = watch::channel(true);
        let service = Service {
            state: state.clone(),
            changed: changed.clone(),
            counters: counters.clone(),
        };
        let task = tokio::spawn(service.serve(listener, address, reset_events, online_changes))
            .abort_handle();
        Ok(Discovery {
            address,
            state,
            changed,
            resets,
            online,
            counters,
            task,
        })
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn change_state(&self, change: impl FnOnce(&mut State)) {
        self.with_state(change);
        self.changed.send_replace(());
    }

    /// Applies changed entries and sends them to the watches in one message.
    pub fn update(&self, entries: Vec<Value>) {
        self.change_state(|state| state.table.update(entries));
    }

    /// Applies the entries returned by `next`, `per_second` times a second for `duration`. Delayed updates are caught
    /// up. Makes no updates if the rate is not above zero.
    pub async fn update_periodically(
        &self,
        per_second: f64,
        duration: Duration,
        mut next: impl FnMut() -> Vec<Value>,
    ) {
        let Ok(interval) = Duration::try_from_secs_f64(1.0 / per_second) else {
            return;
        };
        if interval.is_zero() {
            return;
        }
        let started = Instant::now();
        let mut ticks = interval_at(started, interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while ticks.tick().await < started + duration {
            self.update(next());
        }
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.resets.send_replace(());
    }

    /// Stops sending on all open watches. Their connections stay open; new connections are served.
    pub fn silence_watches(&self) {
        let accepted = self.accepted_connections();
        self.change_state(|state| state.first_served_connection = accepted);
    }

    /// Sets whether the server withholds all answers and messages. Updates made meanwhile are not sent; pending
    /// requests are answered once the server responds again.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.change_state(|state| state.unresponsive = unresponsive);
    }

    /// Sets whether the server is offline. While it is, it does not listen and its connections are reset; afterwards it
    /// listens at the same address with the same list.
    pub fn set_offline(&self, offline: bool) {
        self.online.send_replace(!offline);
    }

    /// Discards the retained changes, as a restart does, and keeps the list. A watcher with an older version then
    /// receives a snapshot.
    pub fn clear_history(&self) {
        self.change_state(|state| state.table.clear_history());
    }

    /// Sets whether lists are indented JSON of several lines.
    pub fn set_indented(&self, indented: bool) {
        self.change_state(|state| state.table.set_indented(indented));
    }

    /// Connections accepted since the start.
    pub fn accepted_connections(&self) -> u64 {
        self.counters.totals().connections
    }

    /// Traffic served since the start.
    pub fn traffic(&self) -> Traffic {
        self.counters.totals()
    }

    /// Current version of the list.
    pub fn version(&self) -> Version {
        self.with_state(|state| state.table.version())
    }

    /// The complete list in the format of a mixer's configuration.
    pub fn endpoint_list(&self) -> Value {
        let snapshot = self.with_state(|state| state.table.snapshot());
        serde_json::from_slice(&snapshot.text).unwrap_or_default()
    }
}

/// State shared by the tasks that serve connections.
#[derive(Clone)]
struct Service {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<()>,
    counters: Arc<Counters>,
}

/// Waits until the requested state is online, or offline if `online` is false.
async fn wait_for_online_state(online_changes: &mut watch::Receiver<bool>, online: bool) {
    if online_changes
        .wait_for(|current| *current == online)
        .await
        .is_err()
    {
        // The sender has been dropped: the value can't change any more.
        std::future::pending::<()>().await;
    }
}

/// Listens at the address that the server used before, retrying while it is in use.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(LISTEN_RETRY_DELAY).await,
        }
    }
}

impl Service {
    /// Accepts connections until the listener fails, and follows resets and changes of the online state.
    async fn serve(
        self,
        mut listener: TcpListener,
        address: SocketAddr,
        mut reset_events: watch::Receiver<()>,
        mut online_changes: watch::Receiver<bool>,
    ) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = wait_for_online_state(&mut online_changes, false) => {
                    drop(listener);
                    connections.shutdown().await;
                    wait_for_online_state(&mut online_changes, true).await;
                    listener = rebind(address).await;
                }
                _ = reset_events.changed() => connections.abort_all(),
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => drop(connections.spawn(self.clone().connection(stream))),
                    Err(_) => return,
                },
            }
            while connections.try_join_next().is_some() {}
        }
    }

    /// Answers the requests of one connection until it is closed.
    fn connection(self, stream: TcpStream) -> impl std::future::Future<Output = ()> + Send {
        let number = self.counters.add_connection();
        let counters = self.counters.clone();
        async move {
            let answer = service_fn(move |request: Request<Incoming>| {
                let service = self.clone();
                async move { Ok::<_, Infallible>(Response::new(service.body(&request, number).await)) }
            });
            let counted_stream =
                InspectWriter::new(stream, move |bytes| counters.add_bytes_sent(bytes.len()));
            let io = TokioIo::new(counted_stream);
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(io, answer)
                .await;
        }
    }

    /// Waits until the server may send on this connection, then reads the state.
    async fn read_when_responsive<T>(&self, number: u64, read: impl Fn(&mut State) -> T) -> T {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
                if !state.unresponsive && number >= state.first_served_connection {
                    return read(&mut state);
                }
            }
            let _ = changed.changed().await;
        }
    }

    /// Body of the answer to a request on connection `number`: the complete list, or a watch that never ends.
    async fn body(
        &self,
        request: &Request<Incoming>,
        number: u64,
    ) -> UnsyncBoxBody<Bytes, Infallible> {
        let query = request.uri().query().unwrap_or_default();
        let from = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("from=")?.parse::<Version>().ok());
        let watch = query.contains("watch=1");
        self.counters.add_request(watch);
        if !watch {
            let snapshot = self
                .read_when_responsive(number, |state| state.table.snapshot())
                .await;
            self.counters.add_message(&snapshot);
            return Full::new(snapshot.text).boxed_unsync();
        }
        let messages = stream::unfold(
            (self.clone(), from, true),
            move |(service, known, first)| async move {
                // The first message is sent at once, even if it has no entries.
                let first = service.read_when_responsive(number, |state| {
                    first.then(|| state.table.message_since(known))
                });
                let message = match first.await {
                    Some(message) => Some(message),
                    None => service.next_change(number, known).await,
                };
                let (text, known) = service.count_message(message, known);
                Some((
                    Ok::<_, Infallible>(Frame::data(text)),
                    (service, known, false),
                ))
            },
        );
        BodyExt::boxed_unsync(StreamBody::new(Box::pin(messages)))
    }

    /// Counts an outgoing message, or a heartbeat if there is none. Returns its text and the version that the reader
    /// has afterwards.
    fn count_message(
        &self,
        message: Option<Message>,
        known: Option<Version>,
    ) -> (Bytes, Option<Version>) {
        match message {
            Some(message) => {
                self.counters.add_message(&message);
                (message.text, Some(message.version))
            }
            None => {
                self.counters.add_heartbeat();
                (Bytes::from_static(b"\n"), known)
            }
        }
    }

    /// Waits for the next change. Returns `None` when a heartbeat is due before one.
    async fn next_change(&self, number: u64, known: Option<Version>) -> Option<Message> {
        let mut changed = self.changed.subscribe();
        let change = async {
            loop {
                let read_change = |state: &mut State| {
                    (Some(state.table.version()) != known).then(|| state.table.message_since(known))
                };
                if let Some(message) = self.read_when_responsive(number, read_change).await {
                    return message;
                }
                let _ = changed.changed().await;
            }
        };
        let message = timeout(HEARTBEAT_INTERVAL, change).await.ok();
        if message.is_none() {
            self.read_when_responsive(number, |_| ()).await;
        }
        message
    }
}

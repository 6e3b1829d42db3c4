//! Discovery: the list of leaf servers, whole or as a watch. Lists of up to 110,000 entries are rendered once for each
//! version, whoever asks for them.

mod table;
mod traffic;

pub use table::{Message, Table, Version};
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

/// An empty line comes after so long without a change.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Between two tries to listen again at an address that is still taken.
const LISTEN_AGAIN: Duration = Duration::from_millis(10);

#[derive(Default)]
struct List {
    table: Table,
    /// Connections with numbers below this have fallen silent for good.
    silent_below: u64,
    /// Nothing is said to anyone for now.
    down: bool,
}

/// Runs until it is dropped.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    /// Told of each change of the list or of how discovery fares.
    changed: watch::Sender<()>,
    /// Told when all connections are to be reset.
    reset: watch::Sender<()>,
    /// Whether it listens.
    present: watch::Sender<bool>,
    counters: Arc<Counters>,
    task: AbortHandle,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// # Errors
    /// There is no port.
    pub async fn start(ip: IpAddr) -> io::Result<Discovery> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let (list, counters) = (Arc::<Mutex<List>>::default(), Arc::<Counters>::default());
        let (changed, _) = watch::channel(());
        let (reset, resets) = watch::channel(());
        let (present, presence) = watch::channel(true);
        let serving = Serving {
            list: list.clone(),
            changed: changed.clone(),
            counters: counters.clone(),
        };
        let task = tokio::spawn(serving.serve(listener, address, resets, presence)).abort_handle();
        Ok(Discovery {
            address,
            list,
            changed,
            reset,
            present,
            counters,
            task,
        })
    }

    fn with_list<T>(&self, read: impl FnOnce(&mut List) -> T) -> T {
        read(&mut self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn change(&self, change: impl FnOnce(&mut List)) {
        self.with_list(change);
        self.changed.send_replace(());
    }

    /// Tells of lines that have changed, all at once.
    pub fn tell(&self, lines: Vec<Value>) {
        self.change(|list| list.table.change(lines));
    }

    /// Tells of what `next` returns, `per_second` times a second for as long as `lasting`; a change that is late is
    /// made up for. Nothing is told at a rate that is not above zero.
    pub async fn tell_steadily(
        &self,
        per_second: f64,
        lasting: Duration,
        mut next: impl FnMut() -> Vec<Value>,
    ) {
        let Ok(apart) = Duration::try_from_secs_f64(1.0 / per_second) else {
            return;
        };
        if apart.is_zero() {
            return;
        }
        let began = Instant::now();
        let mut ticks = interval_at(began, apart);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while ticks.tick().await < began + lasting {
            self.tell(next());
        }
    }

    /// All connections are reset.
    pub fn reset(&self) {
        self.reset.send_replace(());
    }

    /// All open watches fall silent: their connections stay open, and nothing ever comes on them again.
    pub fn fall_silent(&self) {
        let accepted = self.accepted();
        self.change(|list| list.silent_below = accepted);
    }

    /// While down it says nothing, and what it is told counts for nobody; on its return whoever waits is answered.
    pub fn set_down(&self, down: bool) {
        self.change(|list| list.down = down);
    }

    /// While absent it does not listen, and its connections are reset; it returns at the same address with its list.
    pub fn set_absent(&self, absent: bool) {
        self.present.send_replace(!absent);
    }

    /// Forgets its changes, as a restart does, and keeps the list: whoever holds an older version is given it whole.
    pub fn forget_changes(&self) {
        self.change(|list| list.table.forget_changes());
    }

    /// Whether lists come on many lines each.
    pub fn set_indented(&self, indented: bool) {
        self.change(|list| list.table.set_indented(indented));
    }

    /// Connections that it has accepted.
    pub fn accepted(&self) -> u64 {
        self.counters.read().connections
    }

    /// What it has served since its start.
    pub fn traffic(&self) -> Traffic {
        self.counters.read()
    }

    /// The present version of the list.
    pub fn version(&self) -> Version {
        self.with_list(|list| list.table.version())
    }

    /// The list as a mixer is given it at its start.
    pub fn known(&self) -> Value {
        let whole = self.with_list(|list| list.table.whole());
        serde_json::from_slice(&whole.text).unwrap_or_default()
    }
}

#[derive(Clone)]
struct Serving {
    list: Arc<Mutex<List>>,
    changed: watch::Sender<()>,
    counters: Arc<Counters>,
}

/// Waits until discovery is to be there, or absent.
async fn until_present(presence: &mut watch::Receiver<bool>, present: bool) {
    if presence.wait_for(|now| *now == present).await.is_err() {
        // Nobody can change it any more.
        std::future::pending::<()>().await;
    }
}

/// Listens at an address that was its own before.
async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(LISTEN_AGAIN).await,
        }
    }
}

impl Serving {
    async fn serve(
        self,
        mut listener: TcpListener,
        address: SocketAddr,
        mut resets: watch::Receiver<()>,
        mut presence: watch::Receiver<bool>,
    ) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = until_present(&mut presence, false) => {
                    drop(listener);
                    connections.shutdown().await;
                    until_present(&mut presence, true).await;
                    listener = listen_again(address).await;
                }
                _ = resets.changed() => connections.abort_all(),
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => drop(connections.spawn(self.clone().connection(stream))),
                    Err(_) => return,
                },
            }
            while connections.try_join_next().is_some() {}
        }
    }

    /// Answers the requests of one connection until it ends.
    fn connection(self, stream: TcpStream) -> impl std::future::Future<Output = ()> + Send {
        let number = self.counters.connection();
        let counters = self.counters.clone();
        async move {
            let answer = service_fn(move |request: Request<Incoming>| {
                let serving = self.clone();
                async move { Ok::<_, Infallible>(Response::new(serving.body(&request, number).await)) }
            });
            let counted = InspectWriter::new(stream, move |bytes| counters.sent(bytes.len()));
            let io = TokioIo::new(counted);
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(io, answer)
                .await;
        }
    }

    /// Waits until this connection may say something, and lets it read the list.
    async fn say<T>(&self, number: u64, what: impl Fn(&mut List) -> T) -> T {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
                if !list.down && number >= list.silent_below {
                    return what(&mut list);
                }
            }
            let _ = changed.changed().await;
        }
    }

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
        self.counters.call(watch);
        if !watch {
            let whole = self.say(number, |list| list.table.whole()).await;
            self.counters.message(&whole);
            return Full::new(whole.text).boxed_unsync();
        }
        let objects = stream::unfold(
            (self.clone(), from, true),
            move |(serving, held, first)| async move {
                // The first object comes in any case; it may hold nothing new.
                let first = serving.say(number, |list| first.then(|| list.table.since(held)));
                let message = match first.await {
                    Some(message) => Some(message),
                    None => serving.news(number, held).await,
                };
                let (text, held) = serving.counted(message, held);
                Some((
                    Ok::<_, Infallible>(Frame::data(text)),
                    (serving, held, false),
                ))
            },
        );
        BodyExt::boxed_unsync(StreamBody::new(Box::pin(objects)))
    }

    /// Counts what goes out, a heartbeat where there is no news, and returns what the reader holds then.
    fn counted(&self, message: Option<Message>, held: Option<Version>) -> (Bytes, Option<Version>) {
        match message {
            Some(message) => {
                self.counters.message(&message);
                (message.text, Some(message.version))
            }
            None => {
                self.counters.heartbeat();
                (Bytes::from_static(b"\n"), held)
            }
        }
    }

    /// The next change; none where there is none for so long that a heartbeat is due.
    async fn news(&self, number: u64, held: Option<Version>) -> Option<Message> {
        let mut changed = self.changed.subscribe();
        let news = async {
            loop {
                let news = |list: &mut List| {
                    (Some(list.table.version()) != held).then(|| list.table.since(held))
                };
                if let Some(message) = self.say(number, news).await {
                    return message;
                }
                let _ = changed.changed().await;
            }
        };
        let message = timeout(HEARTBEAT, news).await.ok();
        if message.is_none() {
            self.say(number, |_| ()).await;
        }
        message
    }
}

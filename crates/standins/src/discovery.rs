//! Discovery: the list of leaf servers, whole or as a watch.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

/// An empty line comes after so long without a change.
const ALIVE: Duration = Duration::from_secs(2);

#[derive(Default)]
struct List {
    /// Each change, in its order; its place counts from 1.
    changes: Vec<Value>,
    /// Connections with numbers below this have fallen silent for good.
    silent_below: u64,
    /// Nothing is said to anyone for now.
    down: bool,
    indented: bool,
}

impl List {
    fn snapshot(&self) -> Value {
        let mut last: Vec<&Value> = Vec::new();
        for change in &self.changes {
            last.retain(|line| line["name"] != change["name"]);
            if change["status"] != "removed" {
                last.push(change);
            }
        }
        json!({"index": self.changes.len(), "snapshot": true, "endpoints": last})
    }

    /// What one who holds this version has yet to hear, all of it where that version is none of ours, and the version
    /// that it holds then.
    fn news(&self, held: Option<usize>) -> (Bytes, Option<usize>) {
        let index = self.changes.len();
        let list = match held.and_then(|held| self.changes.get(held..)) {
            Some(changes) => json!({"index": index, "snapshot": false, "endpoints": changes}),
            None => self.snapshot(),
        };
        (self.write(&list), Some(index))
    }

    fn write(&self, list: &Value) -> Bytes {
        let text = if self.indented { format!("{list:#}\n") } else { format!("{list}\n") };
        Bytes::from(text)
    }
}

/// Runs until it is dropped.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    /// Told of each change of the list or of how discovery fares.
    changed: watch::Sender<()>,
    /// Told when all connections are to be reset.
    reset: watch::Sender<()>,
    accepted: Arc<AtomicU64>,
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
        let (list, accepted) = (Arc::<Mutex<List>>::default(), Arc::<AtomicU64>::default());
        let (changed, _) = watch::channel(());
        let (reset, resets) = watch::channel(());
        let serving = Serving { list: list.clone(), changed: changed.clone(), accepted: accepted.clone() };
        let task = tokio::spawn(serving.serve(listener, resets)).abort_handle();
        Ok(Discovery { address, list, changed, reset, accepted, task })
    }

    fn change(&self, change: impl FnOnce(&mut List)) {
        change(&mut self.list.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.send_replace(());
    }

    /// Tells of lines that have changed, all at once.
    pub fn tell(&self, lines: Vec<Value>) {
        self.change(|list| list.changes.extend(lines));
    }

    /// All connections are reset.
    pub fn reset(&self) {
        self.reset.send_replace(());
    }

    /// All open watches fall silent: their connections stay open, and nothing ever comes on them again.
    pub fn fall_silent(&self) {
        let accepted = self.accepted.load(Ordering::SeqCst);
        self.change(|list| list.silent_below = accepted);
    }

    /// While down it says nothing, and what it is told counts for nobody; on its return whoever waits is answered.
    pub fn set_down(&self, down: bool) {
        self.change(|list| list.down = down);
    }

    /// Whether lists come on many lines each.
    pub fn set_indented(&self, indented: bool) {
        self.change(|list| list.indented = indented);
    }

    /// Connections that it has accepted.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    /// The list as a mixer is given it at its start.
    pub fn known(&self) -> Value {
        self.list.lock().unwrap_or_else(PoisonError::into_inner).snapshot()
    }
}

#[derive(Clone)]
struct Serving {
    list: Arc<Mutex<List>>,
    changed: watch::Sender<()>,
    accepted: Arc<AtomicU64>,
}

impl Serving {
    async fn serve(self, listener: TcpListener, mut resets: watch::Receiver<()>) {
        let mut connections = JoinSet::new();
        loop {
            let stream = tokio::select! {
                _ = resets.changed() => {
                    connections.abort_all();
                    continue;
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => return,
                },
            };
            let number = self.accepted.fetch_add(1, Ordering::SeqCst);
            let serving = self.clone();
            connections.spawn(async move {
                let answer = service_fn(move |request: Request<Incoming>| {
                    let serving = serving.clone();
                    async move { Ok::<_, Infallible>(Response::new(serving.body(&request, number).await)) }
                });
                let io = TokioIo::new(stream);
                let _ = hyper::server::conn::http1::Builder::new().serve_connection(io, answer).await;
            });
            while connections.try_join_next().is_some() {}
        }
    }

    /// Waits until this connection may say something, and lets it read the list.
    async fn say<T>(&self, number: u64, what: impl Fn(&List) -> T) -> T {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
                if !list.down && number >= list.silent_below {
                    return what(&list);
                }
            }
            let _ = changed.changed().await;
        }
    }

    async fn body(&self, request: &Request<Incoming>, number: u64) -> UnsyncBoxBody<Bytes, Infallible> {
        let query = request.uri().query().unwrap_or_default();
        let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")?.parse::<usize>().ok());
        if !query.contains("watch=1") {
            let whole = self.say(number, |list| list.write(&list.snapshot())).await;
            return Full::new(whole).boxed_unsync();
        }
        let objects = stream::unfold((self.clone(), from, true), move |(serving, held, first)| async move {
            // The first object comes in any case; it may hold nothing new.
            let first = serving.say(number, |list| first.then(|| list.news(held)));
            let (object, held) = match first.await {
                Some(told) => told,
                None => serving.news(number, held).await,
            };
            Some((Ok::<_, Infallible>(Frame::data(object)), (serving, held, false)))
        });
        BodyExt::boxed_unsync(StreamBody::new(Box::pin(objects)))
    }

    /// The next change, or a sign of life where there is none for long.
    async fn news(&self, number: u64, held: Option<usize>) -> (Bytes, Option<usize>) {
        let mut changed = self.changed.subscribe();
        let news = async {
            loop {
                let told = self.say(number, |list| Some(list.news(held)).filter(|told| told.1 != held)).await;
                if let Some(told) = told {
                    return told;
                }
                let _ = changed.changed().await;
            }
        };
        match timeout(ALIVE, news).await {
            Ok(told) => told,
            Err(_) => (self.say(number, |_| Bytes::from_static(b"\n")).await, held),
        }
    }
}

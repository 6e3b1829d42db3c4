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

    fn since(&self, index: usize) -> Value {
        json!({"index": self.changes.len(), "snapshot": false, "endpoints": self.changes[index..]})
    }
}

/// Runs until it is dropped.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    changed: watch::Sender<usize>,
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
        let list = Arc::<Mutex<List>>::default();
        let (changed, watch) = watch::channel(0);
        let task = tokio::spawn(serve(listener, list.clone(), watch)).abort_handle();
        Ok(Discovery { address, list, changed, task })
    }

    /// Tells of lines that have changed, all at once.
    pub fn tell(&self, lines: Vec<Value>) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.changes.extend(lines);
        self.changed.send_replace(list.changes.len());
    }

    /// The list as a mixer is given it at its start.
    pub fn known(&self) -> Value {
        self.list.lock().unwrap_or_else(PoisonError::into_inner).snapshot()
    }
}

async fn serve(listener: TcpListener, list: Arc<Mutex<List>>, changed: watch::Receiver<usize>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        let (list, changed) = (list.clone(), changed.clone());
        connections.spawn(async move {
            let answer = service_fn(move |request: Request<Incoming>| {
                let body = body(&request, list.clone(), changed.clone());
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            let serve =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
            let _ = serve.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

fn body(
    request: &Request<Incoming>, list: Arc<Mutex<List>>, changed: watch::Receiver<usize>,
) -> UnsyncBoxBody<Bytes, Infallible> {
    let query = request.uri().query().unwrap_or_default();
    let lock = |list: &Arc<Mutex<List>>| list.lock().unwrap_or_else(PoisonError::into_inner).snapshot();
    if !query.contains("watch=1") {
        return Full::new(Bytes::from(lock(&list).to_string())).boxed_unsync();
    }
    let from = query.split('&').find_map(|pair| pair.strip_prefix("from=")?.parse::<usize>().ok());
    let lines = stream::unfold((from, list, changed), |(from, list, mut changed)| async move {
        let (line, next) = loop {
            {
                let list = list.lock().unwrap_or_else(PoisonError::into_inner);
                let now = list.changes.len();
                match from {
                    Some(from) if from == now => {}
                    Some(from) if from < now => break (list.since(from).to_string(), now),
                    _ => break (list.snapshot().to_string(), now),
                }
                changed.mark_unchanged();
            }
            match timeout(ALIVE, changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => break (String::new(), from.unwrap_or_default()),
            }
        };
        let frame = Frame::data(Bytes::from(line + "\n"));
        Some((Ok::<_, Infallible>(frame), (Some(next), list, changed)))
    });
    BodyExt::boxed_unsync(StreamBody::new(Box::pin(lines)))
}

//! A receiver of documents that fails in every way that leaves the sender in doubt.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{AbortHandle, JoinSet};

/// What the receiver has: each document once, by its id, and how often it was offered.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    pub documents: BTreeMap<String, (Bytes, u32)>,
    /// Offers of an id with other bytes than the first time.
    pub changed: u32,
}

/// Keeps documents until it is dropped; what it keeps outlives it, as a disk would.
pub struct Receiver {
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Receiver {
    /// Serves on `address`. If `hostile`, the first offers of each document are stored and then not acknowledged:
    /// the connection is dropped, the answer is a 500, or none comes at all.
    ///
    /// # Errors
    /// The address is taken.
    pub async fn start(
        address: SocketAddr,
        kept: Arc<Mutex<Kept>>,
        hostile: bool,
    ) -> io::Result<Receiver> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(64)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve(listener, kept, hostile)).abort_handle();
        Ok(Receiver { address, task })
    }
}

async fn serve(listener: TcpListener, kept: Arc<Mutex<Kept>>, hostile: bool) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let kept = kept.clone();
        connections.spawn(async move {
            let answer = service_fn(move |request| receive(request, kept.clone(), hostile));
            let serve = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer);
            let _ = serve.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn receive(
    request: Request<Incoming>,
    kept: Arc<Mutex<Kept>>,
    hostile: bool,
) -> Result<Response<Empty<Bytes>>, io::Error> {
    let id = request
        .headers()
        .get("idempotency-key")
        .and_then(|id| id.to_str().ok())
        .map(str::to_string);
    let status = |status: StatusCode| {
        let mut response = Response::new(Empty::new());
        *response.status_mut() = status;
        Ok(response)
    };
    let Some(id) = id else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let offers = {
        let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
        let (first, offers) = kept
            .documents
            .entry(id.clone())
            .or_insert_with(|| (body.clone(), 0));
        *offers += 1;
        let (same, offers) = (*first == body, *offers);
        kept.changed += u32::from(!same);
        offers
    };
    // Which way it fails first is the document's own, so that every way is met.
    let way = (id.bytes().map(u32::from).sum::<u32>() + offers) % 3;
    match (hostile && offers <= 2, way) {
        (true, 0) => Err(io::Error::other("dropped after storing")),
        (true, 1) => status(StatusCode::INTERNAL_SERVER_ERROR),
        (true, _) => {
            tokio::time::sleep(Duration::from_secs(30)).await;
            status(StatusCode::OK)
        }
        (false, _) => status(StatusCode::OK),
    }
}

//! Receiver of exported documents. It can inject failures that leave the sender without a clear result.

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

/// Received documents by id, each with its first content and the number of times it was sent.
#[derive(Clone, Debug, Default)]
pub struct ReceivedDocuments {
    pub documents: BTreeMap<String, (Bytes, u32)>,
    /// Number of times that an id was sent with a content other than the first.
    pub mismatches: u32,
}

/// A receiver that runs until it is dropped. The received documents are shared with the caller and outlive it, as files
/// on a disk would.
pub struct ExportReceiver {
    pub address: SocketAddr,
    task: AbortHandle,
}

impl Drop for ExportReceiver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ExportReceiver {
    /// Serves on `address`. With `inject_failures`, the first two deliveries of each document are stored but not
    /// acknowledged: the connection is dropped, the answer is a 500, or no answer is sent within 30 s.
    ///
    /// # Errors
    /// The address is in use.
    pub async fn start(
        address: SocketAddr,
        received: Arc<Mutex<ReceivedDocuments>>,
        inject_failures: bool,
    ) -> io::Result<ExportReceiver> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(64)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(serve(listener, received, inject_failures)).abort_handle();
        Ok(ExportReceiver { address, task })
    }
}

async fn serve(
    listener: TcpListener,
    received: Arc<Mutex<ReceivedDocuments>>,
    inject_failures: bool,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let received = received.clone();
        connections.spawn(async move {
            let answer =
                service_fn(move |request| receive(request, received.clone(), inject_failures));
            let serve = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), answer);
            let _ = serve.await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn receive(
    request: Request<Incoming>,
    received: Arc<Mutex<ReceivedDocuments>>,
    inject_failures: bool,
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
    let deliveries = {
        let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
        let (first, deliveries) = received
            .documents
            .entry(id.clone())
            .or_insert_with(|| (body.clone(), 0));
        *deliveries += 1;
        let (same, deliveries) = (*first == body, *deliveries);
        received.mismatches += u32::from(!same);
        deliveries
    };
    // The kind of the first failure depends on the document's id, so that all kinds occur.
    let failure = (id.bytes().map(u32::from).sum::<u32>() + deliveries) % 3;
    match (inject_failures && deliveries <= 2, failure) {
        (true, 0) => Err(io::Error::other(
            "injected failure: connection dropped after storing",
        )),
        (true, 1) => status(StatusCode::INTERNAL_SERVER_ERROR),
        (true, _) => {
            tokio::time::sleep(Duration::from_secs(30)).await;
            status(StatusCode::OK)
        }
        (false, _) => status(StatusCode::OK),
    }
}

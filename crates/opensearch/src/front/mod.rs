//! The HTTP/1.1 listener. Each search becomes one query to the reducer and one response.

mod multi;
mod parameters;
mod request;
mod route;
mod search;

use crate::index::FrontSettings;
use crate::tls::{self, Tls};
use cottonhill_mixer::transport::QueryClient;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// The delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A connection is closed if its TLS handshake takes longer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The size of a connection's read buffer, which is also the maximum size of a request head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The state that all connections of the front share.
struct Context {
    front: FrontSettings,
    queries: QueryClient,
    /// A random id of this process, the prefix of its request ids: leaf servers must never see the same request id from
    /// two mixers or from two runs of one.
    instance_id: String,
    last_request_number: Cell<u64>,
}

/// Serves on `listener` until the mixer stops. Has to be called within the mixer's `LocalSet`.
pub fn start(
    front: FrontSettings,
    tls: Option<Rc<Tls>>,
    listener: TcpListener,
    queries: QueryClient,
) {
    let instance_id = format!("os{:016x}", rand::random::<u64>());
    let permits = Arc::new(Semaphore::new(front.max_connections));
    let context = Rc::new(Context {
        front,
        queries,
        instance_id,
        last_request_number: Cell::new(0),
    });
    tokio::task::spawn_local(async move {
        loop {
            if permits.available_permits() == 0 {
                tracing::info!(
                    connections = context.front.max_connections,
                    "connection limit reached, further connections wait in the backlog"
                );
            }
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            let (stream, peer) = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(e) => {
                        tracing::warn!(error = %e, "failed to accept a connection");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                },
                () = context.queries.listener_closed() => return,
            };
            let (context, tls) = (context.clone(), tls.clone());
            tokio::task::spawn_local(async move {
                let _ = stream.set_nodelay(true);
                let peer = Peer {
                    address: peer.ip(),
                    certificate_name: None,
                };
                match tls {
                    None => serve_connection(&context, stream, peer).await,
                    Some(tls) => serve_tls_connection(&context, &tls, stream, peer).await,
                }
                drop(permit);
            });
        }
    });
}

/// The peer of a connection.
#[derive(Clone)]
struct Peer {
    address: IpAddr,
    /// The common name of its certificate.
    certificate_name: Option<String>,
}

async fn serve_tls_connection(context: &Rc<Context>, tls: &Tls, stream: TcpStream, peer: Peer) {
    match timeout(HANDSHAKE_TIMEOUT, tls.acceptor().accept(stream)).await {
        Ok(Ok(stream)) => {
            let certificates = stream.get_ref().1.peer_certificates();
            let certificate_name = certificates
                .and_then(|all| all.first())
                .and_then(tls::common_name);
            serve_connection(
                context,
                stream,
                Peer {
                    certificate_name,
                    ..peer
                },
            )
            .await;
        }
        Ok(Err(e)) => tracing::debug!(address = %peer.address, error = %e, "TLS handshake failed"),
        Err(_) => tracing::debug!(address = %peer.address, "TLS handshake timed out"),
    }
}

async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    context: &Rc<Context>,
    stream: S,
    peer: Peer,
) {
    let service = service_fn(|request| {
        let (context, peer) = (context.clone(), peer.clone());
        async move { Ok::<_, Infallible>(request::handle(&context, peer, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(context.front.idle_timeout)
        .max_buf_size(MAX_BUFFER_BYTES);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = context.queries.listener_closed() => {
            // Requests in flight are answered before the connection closes.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        tracing::debug!(address = %peer.address, error = %e, "search connection failed");
    }
}

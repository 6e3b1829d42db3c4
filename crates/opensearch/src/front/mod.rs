//! The listener: HTTP/1.1 in, one query to the reducer for each search, one answer out.

mod multi;
mod parameters;
mod request;
mod route;
mod search;

use crate::index::Front;
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

/// After a failed accept (no descriptors left) before the next.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// A TLS handshake is over within this, or its connection is closed.
const HANDSHAKE: Duration = Duration::from_secs(2);
/// Bytes of a connection's buffer, and so of the largest head.
const MOST_BUFFER: usize = 64 * 1024;

struct Context {
    front: Front,
    queries: QueryClient,
    /// Begins the names of this run's queries: leaf servers must never see one of another mixer or run again.
    run: String,
    last: Cell<u64>,
}

/// Serves on `listener` until the mixer stops; in the mixer's own `LocalSet`.
pub fn start(front: Front, tls: Option<Rc<Tls>>, listener: TcpListener, queries: QueryClient) {
    let run = format!("os{:016x}", rand::random::<u64>());
    let room = Arc::new(Semaphore::new(front.connections));
    let context = Rc::new(Context {
        front,
        queries,
        run,
        last: Cell::new(0),
    });
    tokio::task::spawn_local(async move {
        loop {
            let Ok(place) = room.clone().acquire_owned().await else {
                return;
            };
            let (stream, peer) = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(accepted) => accepted,
                    Err(e) => {
                        tracing::warn!(error = %e, "accept");
                        tokio::time::sleep(ACCEPT_AGAIN).await;
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
                    name: None,
                };
                match tls {
                    None => attend(&context, stream, peer).await,
                    Some(tls) => attend_tls(&context, &tls, stream, peer).await,
                }
                drop(place);
            });
        }
    });
}

/// Who is at the other end of a connection.
#[derive(Clone)]
struct Peer {
    address: IpAddr,
    /// The common name in its certificate.
    name: Option<String>,
}

async fn attend_tls(context: &Rc<Context>, tls: &Tls, stream: TcpStream, peer: Peer) {
    match timeout(HANDSHAKE, tls.acceptor().accept(stream)).await {
        Ok(Ok(stream)) => {
            let certificates = stream.get_ref().1.peer_certificates();
            let name = certificates
                .and_then(|all| all.first())
                .and_then(tls::common_name);
            attend(context, stream, Peer { name, ..peer }).await;
        }
        Ok(Err(e)) => tracing::debug!(address = %peer.address, error = %e, "TLS handshake"),
        Err(_) => tracing::debug!(address = %peer.address, "TLS handshake took too long"),
    }
}

async fn attend<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    context: &Rc<Context>,
    stream: S,
    peer: Peer,
) {
    let answer = service_fn(|request| {
        let (context, peer) = (context.clone(), peer.clone());
        async move { Ok::<_, Infallible>(request::handle(&context, peer, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(context.front.idle)
        .max_buf_size(MOST_BUFFER);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), answer));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = context.queries.listener_closed() => {
            // Open requests are answered; then the connection ends.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(error = %e, "search connection");
    }
}

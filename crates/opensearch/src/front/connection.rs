//! The task of one connection: its TLS handshake, its requests and its end.

use super::refusal::Refusal;
use super::request;
use super::request_memory::RequestMemory;
use super::response_body::ResponseBody;
use super::tracked_connection::TrackedConnection;
use super::tracked_stream::TrackedStream;
use super::Context;
use crate::tls::{self, Tls};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::io::{copy, sink, AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration};
use tokio_rustls::server::TlsStream;

/// Maximum time for which a lingering close reads and discards input.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The size of a connection's read buffer, which is also the maximum size of a request head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The peer of a connection.
#[derive(Clone)]
pub(super) struct Peer {
    pub(super) address: IpAddr,
    /// The common name of its certificate.
    pub(super) certificate_name: Option<String>,
}

/// Serves a connection until either side closes it.
pub(super) async fn serve(
    context: Rc<Context>,
    tls: Option<Rc<Tls>>,
    stream: TcpStream,
    address: IpAddr,
    tracked: Rc<TrackedConnection>,
) {
    let _ = stream.set_nodelay(true);
    let Some(tls) = tls else {
        let peer = Peer {
            address,
            certificate_name: None,
        };
        return serve_requests(&context, stream, peer, tracked).await;
    };
    if let Some(stream) = accept_tls(&context, &tls, stream, address, &tracked).await {
        let certificates = stream.get_ref().1.peer_certificates();
        let certificate_name = certificates
            .and_then(|all| all.first())
            .and_then(tls::common_name);
        let peer = Peer {
            address,
            certificate_name,
        };
        serve_requests(&context, stream, peer, tracked).await;
    }
}

/// The TLS handshake, which is part of the time for the first request; `None` if it fails.
async fn accept_tls(
    context: &Context,
    tls: &Tls,
    stream: TcpStream,
    address: IpAddr,
    tracked: &TrackedConnection,
) -> Option<TlsStream<TcpStream>> {
    let handshake = tls.acceptor().accept(stream);
    let result = tokio::select! {
        biased;
        result = handshake => result,
        () = tracked.overdue() => {
            tracing::debug!(%address, "TLS handshake timed out");
            return None;
        }
        () = tracked.close_requested() => return None,
        // No request has arrived, and the mixer exits only once this connection has ended.
        () = context.queries.listener_closed() => return None,
    };
    result
        .inspect_err(|error| tracing::debug!(%address, %error, "TLS handshake failed"))
        .ok()
}

/// How the requests of a connection have ended.
#[derive(Debug)]
enum ConnectionEnd {
    /// After the last response, because the client has closed the connection or sent no HTTP, or between requests.
    Finished,
    /// A part of a request has arrived, and the connection has to be closed.
    IncompleteRequest(Refusal),
    /// The client does not read its response, or another connection needs the place and no request has begun.
    Aborted,
}

async fn serve_requests<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    context: &Rc<Context>,
    stream: S,
    peer: Peer,
    tracked: Rc<TrackedConnection>,
) {
    let address = peer.address;
    let service = service_fn(|request| {
        let (context, peer, tracked) = (context.clone(), peer.clone(), tracked.clone());
        Box::pin(async move {
            let memory = Rc::new(RequestMemory::new(context.queries.frontend_memory()));
            let response = request::handle(&context, peer, request, &tracked, &memory).await;
            Ok::<_, Infallible>(response.map(|bytes| ResponseBody::new(bytes, tracked, memory)))
        })
    });
    let stream = TokioIo::new(TrackedStream::new(stream, tracked.clone()));
    // The connection's deadline takes the place of hyper's timeout for heads, which includes the time between requests.
    let mut connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(stream, service);
    let end = serve_until_end(context, &mut connection, address, &tracked).await;
    tracing::debug!(%address, ?end, "search connection ended");
    let mut stream = connection.into_parts().io.into_inner();
    match end {
        ConnectionEnd::Finished => linger(&mut stream, &tracked).await,
        ConnectionEnd::IncompleteRequest(refusal) => {
            refusal.write_to(&mut stream).await;
            linger(&mut stream, &tracked).await;
        }
        ConnectionEnd::Aborted => {}
    }
}

/// Serves the requests of a connection, as `connection` does, until it has to be closed.
async fn serve_until_end(
    context: &Context,
    connection: &mut (impl Future<Output = hyper::Result<()>> + Unpin),
    address: IpAddr,
    tracked: &TrackedConnection,
) -> ConnectionEnd {
    let mut listener_closed = std::pin::pin!(context.queries.listener_closed());
    let mut refusing_incomplete = std::pin::pin!(context.queries.refusing_incomplete());
    let mut overdue = std::pin::pin!(tracked.overdue());
    let (mut is_draining, mut is_exiting) = (false, false);
    loop {
        // The connection is polled first: a request that has arrived completely is served, and its response closes the
        // connection if that is to be closed.
        let refusal = tokio::select! {
            biased;
            result = &mut *connection => {
                if let Err(error) = result {
                    tracing::debug!(%address, %error, "search connection failed");
                }
                return ConnectionEnd::Finished;
            }
            () = overdue.as_mut() => {
                if tracked.is_responding() {
                    return ConnectionEnd::Aborted;
                }
                if !tracked.is_receiving() {
                    return ConnectionEnd::Finished;
                }
                if tracked.is_closing() {
                    Refusal::ConnectionClosing
                } else {
                    Refusal::TimedOut
                }
            }
            () = tracked.close_requested() => {
                if !tracked.is_receiving() && !tracked.has_admitted_request() {
                    return ConnectionEnd::Aborted;
                }
                Refusal::ConnectionClosing
            }
            // A connection without a request is overdue from now on.
            () = listener_closed.as_mut(), if !is_draining => {
                is_draining = true;
                tracked.start_draining();
                continue;
            }
            () = refusing_incomplete.as_mut(), if !is_exiting => {
                is_exiting = true;
                Refusal::ConnectionClosing
            }
        };
        if tracked.is_receiving() && !tracked.refuse_body(refusal) {
            return ConnectionEnd::IncompleteRequest(refusal);
        }
    }
}

/// A lingering close: closing a socket with unread input would reset the connection, and the reset can destroy the
/// response before the client reads it.
async fn linger<S: AsyncRead + AsyncWrite + Unpin>(stream: &mut S, tracked: &TrackedConnection) {
    let discard_input = async {
        stream.shutdown().await?;
        copy(stream, &mut sink()).await
    };
    tokio::select! {
        biased;
        _ = timeout(LINGER_TIMEOUT, discard_input) => {}
        () = tracked.close_requested() => {}
    }
}

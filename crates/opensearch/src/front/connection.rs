//! The task of one connection: its TLS handshake, its requests and its end.

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
use std::net::IpAddr;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_rustls::server::TlsStream;

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

async fn serve_requests<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    context: &Rc<Context>,
    stream: S,
    peer: Peer,
    tracked: Rc<TrackedConnection>,
) {
    let address = peer.address;
    let service = service_fn(|request| {
        let (context, peer, tracked) = (context.clone(), peer.clone(), tracked.clone());
        async move {
            let memory = Rc::new(RequestMemory::new(context.queries.frontend_memory()));
            let response = request::handle(&context, peer, request, &tracked, &memory).await;
            Ok::<_, Infallible>(response.map(|bytes| ResponseBody::new(bytes, tracked, memory)))
        }
    });
    let stream = TokioIo::new(TrackedStream::new(stream, tracked.clone()));
    // The connection's deadline takes the place of hyper's timeout for heads, which includes the time between requests.
    let mut connection = std::pin::pin!(hyper::server::conn::http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(stream, service));
    let mut listener_closed = std::pin::pin!(context.queries.listener_closed());
    let mut overdue = std::pin::pin!(tracked.overdue());
    let mut is_draining = false;
    loop {
        // The connection is polled first: a request that has arrived completely is served. A graceful shutdown closes
        // the connection after the response to it.
        tokio::select! {
            biased;
            result = connection.as_mut() => {
                if let Err(error) = result {
                    tracing::debug!(%address, %error, "search connection failed");
                }
                return;
            }
            () = overdue.as_mut() => {
                tracing::debug!(%address, "search connection closed: request or idle time over, or response not read");
                return;
            }
            () = tracked.close_requested() => {
                if !tracked.has_admitted_request() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
            () = listener_closed.as_mut(), if !is_draining => {
                connection.as_mut().graceful_shutdown();
                is_draining = true;
                // The mixer exits only once this connection has ended.
                if tracked.is_receiving() {
                    return;
                }
            }
        }
    }
}

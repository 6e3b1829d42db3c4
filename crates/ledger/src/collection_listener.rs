//! The listener for collection. Only connections that follow the log keep their place; all others have to follow it soon
//! and can be closed for a new one, so that no client can keep the settlement out or use up the file descriptors.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, Sleep};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::Connected;

/// Maximum number of connections. Each settlement has one.
const MAX_CONNECTIONS: usize = 16;
/// A connection is closed unless it follows the log within this time.
const FOLLOW_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay after a failed accept, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether a connection follows the log at the moment.
#[derive(Clone, Debug, Default)]
pub struct FollowState(Arc<AtomicBool>);

impl FollowState {
    /// Marks the connection as following until the guard is dropped.
    pub fn follow(&self) -> FollowGuard {
        self.0.store(true, Ordering::Relaxed);
        FollowGuard(self.clone())
    }

    fn is_following(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Marks a connection as following the log while it exists.
pub struct FollowGuard(FollowState);

impl Drop for FollowGuard {
    fn drop(&mut self) {
        self.0 .0.store(false, Ordering::Relaxed);
    }
}

/// The listener's side of a connection.
struct OpenConnection {
    /// Dropped to close the connection; closed when the connection has ended.
    close: oneshot::Sender<()>,
    follow_state: FollowState,
}

/// A connection of a collector.
pub struct CollectorConnection {
    stream: TcpStream,
    /// Completes when the listener closes the connection for another one; `None` once it has.
    close_request: Option<oneshot::Receiver<()>>,
    follow_due: Pin<Box<Sleep>>,
    follow_state: FollowState,
}

/// Accepts connections until the receiver of the returned stream is dropped.
pub fn accept(listener: TcpListener) -> ReceiverStream<io::Result<CollectorConnection>> {
    let (sender, connections) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut open = Vec::new();
        while !sender.is_closed() {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(connection) = admit(&mut open, stream) {
                        let _ = sender.send(Ok(connection)).await;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection for collection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    ReceiverStream::new(connections)
}

/// Adds a connection. At the limit, the oldest connection that does not follow the log is closed for it; `None` if all
/// do.
fn admit(open: &mut Vec<OpenConnection>, stream: TcpStream) -> Option<CollectorConnection> {
    open.retain(|connection| !connection.close.is_closed());
    if open.len() >= MAX_CONNECTIONS {
        let unused = open
            .iter()
            .position(|connection| !connection.follow_state.is_following());
        let Some(unused) = unused else {
            tracing::warn!(
                connections = open.len(),
                "connection for collection refused: all connections follow the log"
            );
            return None;
        };
        open.remove(unused);
    }
    let _ = stream.set_nodelay(true);
    let (close, close_request) = oneshot::channel();
    let follow_state = FollowState::default();
    open.push(OpenConnection {
        close,
        follow_state: follow_state.clone(),
    });
    Some(CollectorConnection {
        stream,
        close_request: Some(close_request),
        follow_due: Box::pin(sleep(FOLLOW_TIMEOUT)),
        follow_state,
    })
}

impl CollectorConnection {
    /// Whether the connection has to be closed, since it does not follow the log.
    fn poll_must_close(&mut self, context: &mut Context<'_>) -> bool {
        if let Some(close_request) = &mut self.close_request {
            if Pin::new(close_request).poll(context).is_ready() {
                self.close_request = None;
            }
        }
        let close_requested = self.close_request.is_none();
        let is_overdue = self.follow_due.as_mut().poll(context).is_ready();
        (close_requested || is_overdue) && !self.follow_state.is_following()
    }
}

impl Connected for CollectorConnection {
    type ConnectInfo = FollowState;

    fn connect_info(&self) -> FollowState {
        self.follow_state.clone()
    }
}

impl AsyncRead for CollectorConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_must_close(context) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CollectorConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

//! Collection over gRPC: each mixer offers its log, and the settlement follows it.

use crate::log::{Follower, Position};
use crate::wire::usage_log_server::{UsageLog, UsageLogServer};
use crate::wire::{AcknowledgeReply, AcknowledgeRequest, Batch, FollowRequest};
use crate::writer;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status};

/// Most entries of one message.
const MOST_ENTRIES: usize = 4096;
/// Messages that may wait for a slow collector; then its log is read no further.
const MOST_WAITING: usize = 4;
/// Between two looks at a log that has nothing new.
const LOOK: Duration = Duration::from_millis(20);
/// An empty message after so long without news shows that the mixer lives.
const ALIVE: u32 = 50;

struct Service {
    directory: PathBuf,
}

#[tonic::async_trait]
impl UsageLog for Service {
    type FollowStream = ReceiverStream<Result<Batch, Status>>;

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let FollowRequest {
            incarnation,
            sequence,
        } = request.into_inner();
        let mut follower = Follower::new(
            &self.directory,
            Position {
                incarnation,
                sequence,
            },
        );
        let (send, receive) = mpsc::channel(MOST_WAITING);
        tokio::spawn(async move {
            let mut idle = 0;
            loop {
                let read = tokio::task::spawn_blocking(move || {
                    let next = follower.next(MOST_ENTRIES);
                    (follower, next)
                });
                let Ok((back, next)) = read.await else { return };
                follower = back;
                let message = match next {
                    Ok(Some(batch)) => Ok(batch),
                    Ok(None) if idle < ALIVE => {
                        idle += 1;
                        tokio::time::sleep(LOOK).await;
                        if send.is_closed() {
                            return;
                        }
                        continue;
                    }
                    Ok(None) => Ok(Batch::default()),
                    Err(e) => Err(Status::unavailable(format!("the log can't be read: {e}"))),
                };
                idle = 0;
                let over = message.is_err();
                if send.send(message).await.is_err() || over {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(receive)))
    }

    async fn acknowledge(
        &self,
        request: Request<AcknowledgeRequest>,
    ) -> Result<Response<AcknowledgeReply>, Status> {
        let AcknowledgeRequest {
            incarnation,
            sequence,
        } = request.into_inner();
        let directory = self.directory.clone();
        let upto = Position {
            incarnation,
            sequence,
        };
        let done = tokio::task::spawn_blocking(move || writer::forget(&directory, upto)).await;
        match done {
            Ok(Ok(gone)) => {
                tracing::debug!(gone, incarnation, sequence, "settled segments forgotten");
                Ok(Response::new(AcknowledgeReply {}))
            }
            Ok(Err(e)) => Err(Status::unavailable(format!(
                "segments can't be removed: {e}"
            ))),
            Err(e) => Err(Status::internal(e.to_string())),
        }
    }
}

/// Offers a log for collection, on a thread of its own that ends with the process.
///
/// # Errors
/// The address can't be listened on.
pub fn listen(address: SocketAddr, directory: PathBuf) -> io::Result<()> {
    let listener = std::net::TcpListener::bind(address)
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))?;
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("usage collection".into())
        .spawn(move || {
            let served: Result<(), String> = runtime.block_on(async move {
                let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
                let service = UsageLogServer::new(Service { directory });
                let server = tonic::transport::Server::builder().add_service(service);
                server
                    .serve_with_incoming(TcpListenerStream::new(listener))
                    .await
                    .map_err(|e| e.to_string())
            });
            if let Err(e) = served {
                tracing::error!(error = e, "usage collection ended");
            }
        })?;
    Ok(())
}

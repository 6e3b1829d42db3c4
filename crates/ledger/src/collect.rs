//! Collection over gRPC: each mixer serves its usage log, and the settlement follows it.

use crate::collection_listener::{self, FollowState};
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
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

/// Entries of one message.
const MAX_BATCH_ENTRIES: usize = 4096;
/// Messages buffered for a slow collector; the log is not read further while the buffer is full.
const MAX_QUEUED_MESSAGES: usize = 4;
/// Interval of polling a log without new entries.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// An empty message is sent after this number of polls without new entries, so that the collector sees that the mixer
/// is alive.
const KEEPALIVE_POLLS: u32 = 50;
/// Interval of HTTP/2 pings, and the time within which each has to be answered, or the connection is closed.
const PING_INTERVAL: Duration = Duration::from_secs(10);
const PING_TIMEOUT: Duration = Duration::from_secs(10);

struct UsageLogService {
    directory: PathBuf,
}

#[tonic::async_trait]
impl UsageLog for UsageLogService {
    type FollowStream = ReceiverStream<Result<Batch, Status>>;

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let follow_state = request.extensions().get::<FollowState>();
        let follow_guard = follow_state.map(FollowState::follow);
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
        let (send, receive) = mpsc::channel(MAX_QUEUED_MESSAGES);
        tokio::spawn(async move {
            let _follow_guard = follow_guard;
            let mut idle = 0;
            loop {
                let read = tokio::task::spawn_blocking(move || {
                    let next = follower.next_batch(MAX_BATCH_ENTRIES);
                    (follower, next)
                });
                let Ok((returned, next)) = read.await else {
                    return;
                };
                follower = returned;
                let message = match next {
                    Ok(Some(batch)) => Ok(batch),
                    Ok(None) if idle < KEEPALIVE_POLLS => {
                        idle += 1;
                        tokio::time::sleep(POLL_INTERVAL).await;
                        if send.is_closed() {
                            return;
                        }
                        continue;
                    }
                    Ok(None) => Ok(Batch::default()),
                    Err(e) => Err(Status::unavailable(format!(
                        "cannot read the usage log: {e}"
                    ))),
                };
                idle = 0;
                let failed = message.is_err();
                if send.send(message).await.is_err() || failed {
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
        let acknowledged = Position {
            incarnation,
            sequence,
        };
        let removal = tokio::task::spawn_blocking(move || {
            writer::remove_acknowledged_segments(&directory, acknowledged)
        })
        .await;
        match removal {
            Ok(Ok(removed)) => {
                tracing::debug!(
                    removed,
                    incarnation,
                    sequence,
                    "acknowledged segments removed"
                );
                Ok(Response::new(AcknowledgeReply {}))
            }
            Ok(Err(e)) => Err(Status::unavailable(format!(
                "cannot remove settled segments: {e}"
            ))),
            Err(e) => Err(Status::internal(e.to_string())),
        }
    }
}

/// Serves a log for collection on a dedicated thread, until the process ends.
///
/// # Errors
/// The address cannot be bound.
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
            let result: Result<(), String> = runtime.block_on(async move {
                let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
                let service = UsageLogServer::new(UsageLogService { directory });
                let server = tonic::transport::Server::builder()
                    .http2_keepalive_interval(Some(PING_INTERVAL))
                    .http2_keepalive_timeout(Some(PING_TIMEOUT))
                    .add_service(service);
                server
                    .serve_with_incoming(collection_listener::accept(listener))
                    .await
                    .map_err(|e| e.to_string())
            });
            if let Err(e) = result {
                tracing::error!(%address, error = e, "usage collection server failed");
            }
        })?;
    Ok(())
}

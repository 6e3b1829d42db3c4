//! Connections to leaf servers. Each has its own task.

use super::frame_reader::{FrameReader, ReceivedFrame};
use super::message_timeout::{next_message, MessageReader};
use super::shared::{Shared, MAX_QUEUED_COMMANDS};
use crate::log_targets;
use crate::protocol::leaf_frames::{encode_frame, LeafRequest};
use crate::reducer::{ConnectionId, Input};
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant};

/// A frame must be complete within this duration after its first byte. A leaf server sends each answer as one packet:
/// the remainder of a truncated answer never arrives, and all calls in flight on the connection would wait for it.
const FRAME_TIMEOUT: Duration = Duration::from_millis(100);

/// The driver's handle of a connection. Dropping it closes the connection.
pub struct LeafConnectionHandle {
    frames: mpsc::Sender<LeafRequest>,
    task: AbortHandle,
}

impl LeafConnectionHandle {
    /// Queues a frame. The queue has capacity because the reducer issues one frame at a time; if it is full
    /// nevertheless, the connection is closed, since a frame must not be lost silently.
    pub fn write(&self, frame: LeafRequest) {
        if self.frames.try_send(frame).is_err() && !self.is_finished() {
            tracing::error!(target: log_targets::LEAF_CONNECTIONS, "frame queue of a leaf connection is full, connection closed");
            self.task.abort();
        }
    }

    /// Whether the connection has ended.
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }
}

impl Drop for LeafConnectionHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a task that connects to a leaf server and reports the connection's events to the reducer.
pub fn connect(
    shared: Shared,
    connection: ConnectionId,
    address: SocketAddr,
) -> LeafConnectionHandle {
    let (frames, frame_queue) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let task = tokio::task::spawn_local(async move {
        if let Err(e) = run_connection(&shared, connection, address, frame_queue).await {
            tracing::debug!(target: log_targets::LEAF_CONNECTIONS, connection, %address, "leaf connection failed: {e}");
        }
        shared
            .send_input(Input::ConnectionClosed { connection })
            .await;
    });
    LeafConnectionHandle {
        frames,
        task: task.abort_handle(),
    }
}

/// Connects, then writes and reads frames until either side closes the connection.
///
/// # Errors
/// The errors of connecting to the server and of the socket.
async fn run_connection(
    shared: &Shared,
    connection: ConnectionId,
    address: SocketAddr,
    frame_queue: mpsc::Receiver<LeafRequest>,
) -> io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut reader = FrameReader::new(stream, &shared.frame_memory);
    shared
        .send_input(Input::ConnectionOpened { connection })
        .await;
    exchange_frames(shared, connection, &mut reader, frame_queue).await
}

async fn exchange_frames(
    shared: &Shared,
    connection: ConnectionId,
    reader: &mut FrameReader,
    mut frame_queue: mpsc::Receiver<LeafRequest>,
) -> io::Result<()> {
    let mut started_at = None;
    loop {
        tokio::select! {
            biased;
            frame = frame_queue.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                write_frame(reader.stream_mut(), frame).await?;
                shared.send_input(Input::FrameWritten { connection }).await;
            }
            received = receive_frame(reader, &mut started_at) => match received? {
                Received::Frame(ReceivedFrame { frame, memory }) => {
                    let input = Input::FrameReceived { connection, frame };
                    shared.send_input_with_memory(input, memory).await;
                }
                Received::Nothing => {}
                Received::End => return Ok(()),
            }
        }
    }
}

async fn write_frame(stream: &mut TcpStream, frame: LeafRequest) -> io::Result<()> {
    for piece in encode_frame(frame)? {
        stream.write_all(&piece).await?;
    }
    Ok(())
}

/// The result of a read.
enum Received {
    Frame(ReceivedFrame),
    /// A spurious wakeup: no byte of a frame has arrived.
    Nothing,
    /// The leaf server closed the connection.
    End,
}

/// Reads the next frame. Cancel safe.
async fn receive_frame(
    reader: &mut FrameReader,
    started_at: &mut Option<Instant>,
) -> io::Result<Received> {
    match next_message(reader, started_at, FRAME_TIMEOUT).await {
        Ok(received) => Ok(received?.map_or(Received::End, Received::Frame)),
        Err(_) if !reader.has_buffered_bytes() => {
            *started_at = None;
            Ok(Received::Nothing)
        }
        Err(_) => Ok(Received::Frame(reader.abandon_frame())),
    }
}

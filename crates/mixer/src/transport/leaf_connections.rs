//! Connections to leaf servers, one task each.

use super::{Shared, MOST_COMMANDS};
use crate::log_targets;
use crate::protocol::leaf_frames::{LeafCodec, LeafRequest};
use crate::reducer::{ConnectionId, Input};
use futures_util::SinkExt;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::Duration;

/// A frame has to be whole within this time from its first byte. Answers are a packet each: the rest of one that was
/// cut short never arrives, and all that is in flight on the connection would wait for it.
const FRAME_TIMEOUT: Duration = Duration::from_millis(100);

/// The driver's handle of a connection; dropping it closes the connection.
pub struct Handle {
    frames: mpsc::Sender<LeafRequest>,
    task: AbortHandle,
}

impl Handle {
    /// Writes a frame. The reducer hands over one at a time, so there is always room in the queue; were there none, the
    /// connection would be closed, since a frame must not be lost unnoticed.
    pub fn write(&self, frame: LeafRequest) {
        if self.frames.try_send(frame).is_err() && !self.is_over() {
            tracing::error!(target: log_targets::LEAF_CONNECTIONS, "a connection to a leaf server has too many frames waiting");
            self.task.abort();
        }
    }

    /// Whether the connection has ended.
    pub fn is_over(&self) -> bool {
        self.task.is_finished()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to a leaf server in a task of its own, which reports the connection's events to the reducer.
pub fn open(shared: Shared, connection: ConnectionId, address: SocketAddr) -> Handle {
    let (frames, receiver) = mpsc::channel(MOST_COMMANDS);
    let task = tokio::task::spawn_local(async move {
        if let Err(e) = exchange_frames(&shared, connection, address, receiver).await {
            tracing::debug!(target: log_targets::LEAF_CONNECTIONS, link = connection, %address, "leaf connection: {e}");
        }
        let _ = shared
            .inputs
            .send(Input::ConnectionClosed { connection })
            .await;
    });
    Handle {
        frames,
        task: task.abort_handle(),
    }
}

/// Connects, then writes and reads frames until either side ends the connection.
///
/// # Errors
/// What the connect or the socket reports.
async fn exchange_frames(
    shared: &Shared,
    connection: ConnectionId,
    address: SocketAddr,
    mut frames: mpsc::Receiver<LeafRequest>,
) -> io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut framed = shared
        .pool
        .frame::<LeafRequest, _, _>(stream, LeafCodec::default());
    let mut begun = None;
    let _ = shared
        .inputs
        .send(Input::ConnectionOpened { connection })
        .await;
    let ended = loop {
        tokio::select! {
            biased;
            frame = frames.recv() => {
                let Some(frame) = frame else { break Ok(()) };
                if let Err(e) = framed.send(frame).await {
                    break Err(e);
                }
                let _ = shared.inputs.send(Input::FrameWritten { connection }).await;
            }
            received = super::message(&mut framed, &mut begun, FRAME_TIMEOUT) => {
                let frame = match received {
                    Ok(Some(Ok(frame))) => frame,
                    Ok(Some(Err(e))) => break Err(e),
                    Ok(None) => break Ok(()),
                    // A spurious readiness: no frame has begun.
                    Err(_) if framed.read_buffer().is_empty() => {
                        begun = None;
                        continue;
                    }
                    Err(_) => {
                        let received = framed.read_buffer().clone();
                        framed.codec_mut().abandon_frame(&received)
                    }
                };
                let _ = shared.inputs.send(Input::FrameReceived { connection, frame }).await;
            }
        }
    };
    shared.pool.recover(framed);
    ended
}

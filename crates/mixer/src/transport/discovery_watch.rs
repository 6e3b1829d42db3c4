//! The watch on discovery: one long response, requested again whenever it ends or falls silent.

use super::buffer_pool::BufferPool;
use crate::log_targets;
use crate::protocol::endpoint_updates::{self, EndpointUpdate, UpdateError};
use crate::protocol::http::{WatchCodec, WatchRejected, WatchRequest};
use crate::reducer::watch_policy::WatchEnd;
use crate::reducer::{Input, UpdateFault, WatchEvent, WatchPolicy};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

type WatchConnection = Framed<TcpStream, WatchCodec>;

/// Watches the endpoint list as a serving mixer does, with a buffer pool of its own, and sends what happens as inputs
/// for the reducer. It starts after version `from_version`, or with a snapshot if that is `None`, and never returns.
pub async fn watch_endpoints(
    updates: mpsc::Sender<Input>,
    policy: WatchPolicy,
    address: SocketAddr,
    from_version: Option<u64>,
) {
    let buffers = BufferPool::default();
    DiscoveryWatch::new(buffers, updates, policy, address, from_version)
        .run()
        .await;
}

/// The watch on one discovery address, over all its connections.
pub(super) struct DiscoveryWatch {
    buffers: BufferPool,
    updates: mpsc::Sender<Input>,
    policy: WatchPolicy,
    address: SocketAddr,
    /// The version of the last update; `None` if a snapshot has to come first.
    version: Option<u64>,
    /// The present connection has delivered an update or a heartbeat.
    received_any: bool,
    /// The last update was rejected, and the log says so.
    rejection_logged: bool,
    /// The last connection ended without delivering anything, and the log says so.
    failure_logged: bool,
}

impl DiscoveryWatch {
    /// A watch that starts after version `from_version`, or with a snapshot if that is `None`.
    pub(super) fn new(
        buffers: BufferPool,
        updates: mpsc::Sender<Input>,
        policy: WatchPolicy,
        address: SocketAddr,
        from_version: Option<u64>,
    ) -> DiscoveryWatch {
        DiscoveryWatch {
            buffers,
            updates,
            policy,
            address,
            version: from_version,
            received_any: false,
            rejection_logged: false,
            failure_logged: false,
        }
    }

    /// Keeps the watch up; never returns.
    pub(super) async fn run(mut self) {
        loop {
            self.received_any = false;
            let started_at = Instant::now();
            if let Err(error) = self.watch_once().await {
                let delay = self.connection_ended(started_at, error).await;
                sleep(delay).await;
            }
        }
    }

    /// Reports and logs the end of a connection. Returns the delay before the next one.
    async fn connection_ended(&mut self, started_at: Instant, error: io::Error) -> Duration {
        self.failure_logged &= !self.received_any;
        let timed_out = error.kind() == ErrorKind::TimedOut;
        self.send_event(WatchEvent::Ended { timed_out }).await;
        let delay = self.policy.next_delay(WatchEnd {
            duration: started_at.elapsed(),
            received: self.received_any,
            timed_out,
            retry_after: retry_after(&error),
        });
        self.log_end(delay, &error);
        self.failure_logged = true;
        delay
    }

    /// Logs the first of several failures at a higher level than the ones that follow.
    fn log_end(&self, delay: Duration, error: &io::Error) {
        let DiscoveryWatch {
            address,
            version: index,
            ..
        } = self;
        let wait_ms = delay.as_millis();
        if self.failure_logged {
            tracing::debug!(target: log_targets::DISCOVERY_WATCH, %address, index, wait_ms, "endpoint watch failed again: {error}");
        } else {
            tracing::info!(target: log_targets::DISCOVERY_WATCH, %address, index, wait_ms, "endpoint watch ended: {error}");
        }
    }

    /// Connects and reads until the connection ends, or until the snapshot that had to come first is here.
    async fn watch_once(&mut self) -> io::Result<()> {
        let connecting = TcpStream::connect(self.address);
        let stream = timeout(self.policy.connect_timeout(), connecting)
            .await
            .map_err(|_| ErrorKind::TimedOut)??;
        let codec = WatchCodec::new(self.policy.max_update_bytes());
        let mut connection = self.buffers.frame::<WatchRequest, _, _>(stream, codec);
        let result = self.request_and_read(&mut connection).await;
        self.buffers.close(connection);
        result
    }

    async fn request_and_read(&mut self, connection: &mut WatchConnection) -> io::Result<()> {
        let from_version = self.version;
        let host = self.address.to_string();
        connection.send(WatchRequest { host, from_version }).await?;
        tracing::debug!(target: log_targets::DISCOVERY_WATCH, address = %self.address, from = from_version, "endpoint list requested");
        self.send_event(WatchEvent::Requested).await;
        loop {
            let message = self.next_message(connection).await?;
            let update = self.parse_update(message).await?;
            self.received_any = true;
            let Some(update) = update else {
                self.send_event(WatchEvent::Heartbeat).await;
                continue;
            };
            self.accept_update(update).await?;
            if from_version.is_none() {
                return Ok(());
            }
        }
    }

    /// The next message, or `TimedOut` if discovery is silent for too long.
    async fn next_message(
        &self,
        connection: &mut WatchConnection,
    ) -> io::Result<io::Result<Bytes>> {
        let silence_limit = if self.received_any {
            self.policy.heartbeat_timeout()
        } else {
            self.policy.answer_timeout()
        };
        timeout(silence_limit, connection.next())
            .await
            .map_err(|_| ErrorKind::TimedOut)?
            .ok_or(ErrorKind::UnexpectedEof.into())
    }

    /// The update in a message; `None` for a heartbeat.
    async fn parse_update(
        &mut self,
        message: io::Result<Bytes>,
    ) -> io::Result<Option<EndpointUpdate>> {
        let parsed = match message {
            Ok(object) => endpoint_updates::parse(&object),
            Err(error) => Err(update_error(error)?),
        };
        match parsed {
            Ok(update) => Ok(update),
            Err(error) => {
                let fault = if error.is_too_large() {
                    UpdateFault::TooLarge
                } else {
                    UpdateFault::Malformed
                };
                Err(self.reject_update(fault, error.to_string()).await)
            }
        }
    }

    async fn accept_update(&mut self, update: EndpointUpdate) -> io::Result<()> {
        self.check_version(&update).await?;
        self.version = Some(update.version);
        self.rejection_logged = false;
        self.send_input(Input::EndpointsUpdated(update)).await;
        Ok(())
    }

    /// Rejects a delta whose version is below the current one. A snapshot is valid whatever its version: discovery may
    /// have started anew.
    async fn check_version(&mut self, update: &EndpointUpdate) -> io::Result<()> {
        let index = update.version;
        let Some(in_force) = self.version.filter(|current| index < *current) else {
            return Ok(());
        };
        if update.snapshot {
            let address = self.address;
            tracing::info!(target: log_targets::DISCOVERY_WATCH, %address, index, in_force, "snapshot with a lower version accepted");
            self.send_event(WatchEvent::VersionRegressed).await;
            return Ok(());
        }
        let reason = format!(
            "changes up to version {index}, {in_force} is in force: {in_force} or later is valid"
        );
        Err(self
            .reject_update(UpdateFault::VersionRegressed, reason)
            .await)
    }

    /// Reports and logs a rejected update. The next request is for a snapshot: after the current version the same
    /// update would come again, and what it was to change is not known.
    async fn reject_update(&mut self, fault: UpdateFault, reason: String) -> io::Error {
        let (address, in_force) = (self.address, self.version);
        if !self.rejection_logged {
            tracing::warn!(target: log_targets::DISCOVERY_WATCH, %address, in_force, ?fault, "endpoint update rejected, current list kept: {reason}");
        }
        self.rejection_logged = true;
        self.version = None;
        self.send_event(WatchEvent::UpdateRejected(fault)).await;
        io::Error::new(ErrorKind::InvalidData, reason)
    }

    async fn send_event(&self, event: WatchEvent) {
        self.send_input(Input::Watch(event)).await;
    }

    async fn send_input(&self, input: Input) {
        // Fails only when the driver has ended, which ends this task, too.
        let _ = self.updates.send(input).await;
    }
}

/// Why the codec rejected an update.
///
/// # Errors
/// The same error, if it is not about an update.
fn update_error(error: io::Error) -> io::Result<UpdateError> {
    let source = error.get_ref();
    match source.and_then(|source| source.downcast_ref::<UpdateError>()) {
        Some(rejected) => Ok(rejected.clone()),
        None => Err(error),
    }
}

/// The least wait before the next request, if discovery stated one when it rejected this one.
fn retry_after(error: &io::Error) -> Option<Duration> {
    let rejected = error.get_ref()?.downcast_ref::<WatchRejected>()?;
    rejected.retry_after
}

//! The watch on discovery: one streamed response, requested again after it ends or delivers nothing for too long.

use crate::log_targets;
use crate::protocol::endpoint_updates::{self, EndpointUpdate, UpdateError};
use crate::protocol::http::{WatchCodec, WatchRejected, WatchRequest};
use crate::reducer::watch_policy::WatchEnd;
use crate::reducer::{Input, UpdateFault, WatchEvent, WatchId, WatchPolicy};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

type WatchConnection = Framed<TcpStream, WatchCodec>;

/// Watches the endpoint list as the driver does, but without a reducer: sends the updates and events as [`Input`]s to
/// `updates`. It requests the changes after version `from_version`, or a snapshot if that is `None`. Never returns.
pub async fn watch_endpoints(
    updates: mpsc::Sender<Input>,
    policy: WatchPolicy,
    address: SocketAddr,
    from_version: Option<u64>,
) {
    let answer_time = AnswerTime::default();
    let id = WatchId::FIRST;
    DiscoveryWatch::new(id, updates, policy, address, from_version, answer_time)
        .run()
        .await;
}

/// How long discovery took, when it last answered, from the connect to its first message; `None` before that. Shared by
/// successive watches.
pub(super) type AnswerTime = Rc<Cell<Option<Duration>>>;

/// The watch on one discovery address, across successive connections.
pub(super) struct DiscoveryWatch {
    id: WatchId,
    updates: mpsc::Sender<Input>,
    policy: WatchPolicy,
    address: SocketAddr,
    /// Version of the last update; `None` if the next request is for a snapshot.
    version: Option<u64>,
    /// When the current connection was started.
    started_at: Instant,
    /// Whether the current connection has delivered an update or a heartbeat.
    message_received: bool,
    answer_time: AnswerTime,
    /// Whether the last update was rejected and this has been logged.
    rejection_logged: bool,
    /// Whether the last connection ended without delivering anything and this has been logged.
    failure_logged: bool,
}

impl DiscoveryWatch {
    /// Creates a watch that requests the changes after version `from_version`, or a snapshot if that is `None`.
    pub(super) fn new(
        id: WatchId,
        updates: mpsc::Sender<Input>,
        policy: WatchPolicy,
        address: SocketAddr,
        from_version: Option<u64>,
        answer_time: AnswerTime,
    ) -> DiscoveryWatch {
        DiscoveryWatch {
            id,
            updates,
            policy,
            address,
            version: from_version,
            started_at: Instant::now(),
            message_received: false,
            answer_time,
            rejection_logged: false,
            failure_logged: false,
        }
    }

    /// Runs the watch and reconnects after each failure. Never returns.
    pub(super) async fn run(mut self) {
        loop {
            self.message_received = false;
            self.started_at = Instant::now();
            if let Err(error) = self.watch_once().await {
                let delay = self.connection_ended(error).await;
                sleep(delay).await;
            }
        }
    }

    /// Reports and logs the end of a connection. Returns the delay before the next connection.
    async fn connection_ended(&mut self, error: io::Error) -> Duration {
        self.failure_logged &= !self.message_received;
        let timed_out = error.kind() == ErrorKind::TimedOut;
        self.send_event(WatchEvent::Ended { timed_out }).await;
        let delay = self.policy.next_delay(WatchEnd {
            duration: self.started_at.elapsed(),
            received_any: self.message_received,
            timed_out,
            answer_time: self.answer_time.get(),
            retry_after: retry_after(&error),
        });
        self.log_end(delay, &error);
        self.failure_logged = true;
        delay
    }

    /// Logs the end of a connection; repeated failures are logged at a lower level than the first.
    fn log_end(&self, delay: Duration, error: &io::Error) {
        let DiscoveryWatch {
            address, version, ..
        } = self;
        let delay_ms = delay.as_millis();
        if self.failure_logged {
            tracing::debug!(target: log_targets::DISCOVERY_WATCH, %address, version, delay_ms, "endpoint watch failed again: {error}");
        } else {
            tracing::info!(target: log_targets::DISCOVERY_WATCH, %address, version, delay_ms, "endpoint watch ended: {error}");
        }
    }

    /// Connects and reads until the connection ends; if a snapshot was requested, until it has arrived.
    async fn watch_once(&mut self) -> io::Result<()> {
        let connecting = TcpStream::connect(self.address);
        let stream = timeout(self.policy.connect_timeout(), connecting)
            .await
            .map_err(|_| ErrorKind::TimedOut)??;
        let codec = WatchCodec::new(self.policy.max_update_bytes())
            .with_max_entries(self.policy.max_entries());
        let mut connection = Framed::new(stream, codec);
        self.request_and_read(&mut connection).await
    }

    async fn request_and_read(&mut self, connection: &mut WatchConnection) -> io::Result<()> {
        let from_version = self.version;
        let host = self.address.to_string();
        connection.send(WatchRequest { host, from_version }).await?;
        tracing::debug!(target: log_targets::DISCOVERY_WATCH, address = %self.address, from_version, "endpoint list requested");
        self.send_event(WatchEvent::Requested).await;
        loop {
            let message = self.next_message(connection).await?;
            let update = self.parse_update(message).await?;
            self.on_message();
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

    /// Notes that an update or a heartbeat has been received.
    fn on_message(&mut self) {
        if !self.message_received {
            self.answer_time.set(Some(self.started_at.elapsed()));
        }
        self.message_received = true;
    }

    /// Reads the next message; returns `TimedOut` if discovery sends nothing for too long.
    async fn next_message(
        &self,
        connection: &mut WatchConnection,
    ) -> io::Result<io::Result<Bytes>> {
        let timeout_duration = if self.message_received {
            self.policy.heartbeat_timeout()
        } else {
            self.policy.answer_timeout()
        };
        timeout(timeout_duration, connection.next())
            .await
            .map_err(|_| ErrorKind::TimedOut)?
            .ok_or(ErrorKind::UnexpectedEof.into())
    }

    /// Parses the update in a message; `None` for a heartbeat.
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
        let watch = self.id;
        self.send_input(Input::EndpointsUpdated { watch, update })
            .await;
        Ok(())
    }

    /// Rejects a delta whose version is lower than the current one. A snapshot is valid with any version, since
    /// discovery may have been restarted.
    async fn check_version(&mut self, update: &EndpointUpdate) -> io::Result<()> {
        let version = update.version;
        let Some(current_version) = self.version.filter(|current| version < *current) else {
            return Ok(());
        };
        if update.snapshot {
            let address = self.address;
            tracing::info!(target: log_targets::DISCOVERY_WATCH, %address, version, current_version, "snapshot with a lower version accepted");
            self.send_event(WatchEvent::VersionRegressed).await;
            return Ok(());
        }
        let reason = format!(
            "delta to version {version} is older than the current version {current_version}"
        );
        Err(self
            .reject_update(UpdateFault::VersionRegressed, reason)
            .await)
    }

    /// Reports and logs a rejected update. The next request is for a snapshot: a request for the changes after the
    /// current version would return the same update again, and the changes in the rejected update are unknown.
    async fn reject_update(&mut self, fault: UpdateFault, reason: String) -> io::Error {
        let (address, current_version) = (self.address, self.version);
        if !self.rejection_logged {
            tracing::warn!(target: log_targets::DISCOVERY_WATCH, %address, current_version, ?fault, "endpoint update rejected, current list kept: {reason}");
        }
        self.rejection_logged = true;
        self.version = None;
        self.send_event(WatchEvent::UpdateRejected(fault)).await;
        io::Error::new(ErrorKind::InvalidData, reason)
    }

    async fn send_event(&self, event: WatchEvent) {
        let watch = self.id;
        self.send_input(Input::Watch { watch, event }).await;
    }

    async fn send_input(&self, input: Input) {
        // Fails only if the driver has ended, which also ends this task.
        let _ = self.updates.send(input).await;
    }
}

/// Extracts the reason why the codec rejected an update.
///
/// # Errors
/// The unchanged error if it does not concern an update.
fn update_error(error: io::Error) -> io::Result<UpdateError> {
    let source = error.get_ref();
    match source.and_then(|source| source.downcast_ref::<UpdateError>()) {
        Some(rejected) => Ok(rejected.clone()),
        None => Err(error),
    }
}

/// Returns the minimum delay before the next request, if discovery sent one when it rejected this request.
fn retry_after(error: &io::Error) -> Option<Duration> {
    let rejected = error.get_ref()?.downcast_ref::<WatchRejected>()?;
    rejected.retry_after
}

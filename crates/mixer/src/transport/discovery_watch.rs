//! The watch on discovery: one long answer, asked for again whenever it ends or falls silent.

use super::buffer_pool::Pool;
use crate::log_targets;
use crate::protocol::endpoint_updates::{self, EndpointUpdate, UpdateError};
use crate::protocol::http::{WatchCodec, WatchRejected, WatchRequest};
use crate::reducer::watch_policy::WatchEnd;
use crate::reducer::{Input, WatchPolicy};
use crate::reducer::{UpdateFault, WatchEvent};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

/// One mixer's watch on one discovery, over all its connections.
struct Follower {
    pool: Pool,
    /// Where what discovery tells goes.
    lists: mpsc::Sender<Input>,
    watching: WatchPolicy,
    address: SocketAddr,
    /// How far the list was followed; none where the whole list has to come first.
    index: Option<u64>,
    /// This watch has brought a sign of life.
    had: bool,
    /// The last message that was no sign of life was refused.
    refused: bool,
}

/// Follows the list from version `index` on, or from the whole list, for ever.
pub(super) async fn follow(
    pool: Pool,
    lists: mpsc::Sender<Input>,
    watching: WatchPolicy,
    address: SocketAddr,
    index: Option<u64>,
) {
    let mut follower = Follower {
        pool,
        lists,
        watching,
        address,
        index,
        had: false,
        refused: false,
    };
    let mut failing = false;
    loop {
        follower.had = false;
        let began = Instant::now();
        let Err(why) = follower.watch().await else {
            continue;
        };
        failing &= !follower.had;
        let silent = why.kind() == ErrorKind::TimedOut;
        follower
            .report(Input::Watch(WatchEvent::Ended { silent }))
            .await;
        let retry_after = why
            .get_ref()
            .and_then(|e| e.downcast_ref::<WatchRejected>())
            .and_then(|e| e.retry_after);
        let ended = WatchEnd {
            duration: began.elapsed(),
            received: follower.had,
            silent,
            retry_after,
        };
        let wait = follower.watching.next_delay(ended);
        let (index, wait_ms) = (follower.index, wait.as_millis());
        if !failing {
            tracing::info!(target: log_targets::DISCOVERY_WATCH, %address, index, wait_ms, "watch on discovery ended: {why}");
        } else {
            // The first one was logged; the log is not for the tries that follow.
            tracing::debug!(target: log_targets::DISCOVERY_WATCH, %address, index, wait_ms, "discovery asked again without success: {why}");
        }
        failing = true;
        sleep(wait).await;
    }
}

impl Follower {
    async fn report(&self, input: Input) {
        let _ = self.lists.send(input).await;
    }

    /// Asks and reads until the watch ends, or the whole list that had to come first is in.
    async fn watch(&mut self) -> io::Result<()> {
        let connect = timeout(
            self.watching.connect_timeout(),
            TcpStream::connect(self.address),
        );
        let stream = connect.await.map_err(|_| ErrorKind::TimedOut)??;
        let codec = WatchCodec::new(self.watching.max_update_bytes());
        let mut connection = self.pool.frame::<WatchRequest, _, _>(stream, codec);
        let watched = self.read(&mut connection).await;
        self.pool.recover(connection);
        watched
    }

    /// A message can't be taken. From the same version on it would come again, and what it was to announce is not
    /// known: the list in force stays, and the whole list is asked for next.
    async fn refuse(&mut self, fault: UpdateFault, why: String) -> io::Error {
        let (address, in_force) = (self.address, self.index);
        if !std::mem::replace(&mut self.refused, true) {
            tracing::warn!(target: log_targets::DISCOVERY_WATCH, %address, in_force, ?fault, "list refused, the one in force stays: {why}");
        }
        self.index = None;
        self.report(Input::Watch(WatchEvent::UpdateRejected(fault)))
            .await;
        io::Error::new(ErrorKind::InvalidData, why)
    }

    /// The list in a message; none where it is a sign of life alone.
    async fn listing(&mut self, message: io::Result<Bytes>) -> io::Result<Option<EndpointUpdate>> {
        let read = match message {
            Ok(object) => endpoint_updates::parse(&object),
            Err(error) => match error
                .get_ref()
                .and_then(|source| source.downcast_ref::<UpdateError>())
            {
                Some(refused) => Err(refused.clone()),
                None => return Err(error),
            },
        };
        match read {
            Ok(listing) => Ok(listing),
            Err(why) if why.is_too_large() => {
                Err(self.refuse(UpdateFault::TooLarge, why.to_string()).await)
            }
            Err(why) => Err(self.refuse(UpdateFault::Malformed, why.to_string()).await),
        }
    }

    /// Refuses changes whose version is below the one in force. A whole list is right whatever its version: discovery
    /// may have begun anew.
    async fn check_version(&mut self, listing: &EndpointUpdate) -> io::Result<()> {
        let (index, address) = (listing.version, self.address);
        let Some(in_force) = self.index.filter(|in_force| index < *in_force) else {
            return Ok(());
        };
        if listing.snapshot {
            tracing::info!(target: log_targets::DISCOVERY_WATCH, %address, index, in_force, "a whole list of an earlier version is taken");
            self.report(Input::Watch(WatchEvent::VersionRegressed))
                .await;
            return Ok(());
        }
        let why = format!(
            "changes up to version {index}, {in_force} is in force: {in_force} or later is valid"
        );
        Err(self.refuse(UpdateFault::VersionRegressed, why).await)
    }

    async fn read(&mut self, connection: &mut Framed<TcpStream, WatchCodec>) -> io::Result<()> {
        let (host, from_version) = (self.address.to_string(), self.index);
        connection.send(WatchRequest { host, from_version }).await?;
        tracing::debug!(target: log_targets::DISCOVERY_WATCH, address = %self.address, from = from_version, "discovery asked");
        self.report(Input::Watch(WatchEvent::Requested)).await;
        loop {
            let most = if self.had {
                self.watching.silence_timeout()
            } else {
                self.watching.answer_timeout()
            };
            let message = timeout(most, connection.next())
                .await
                .map_err(|_| ErrorKind::TimedOut)?;
            let Some(message) = message else {
                return Err(ErrorKind::UnexpectedEof.into());
            };
            let listing = self.listing(message).await?;
            self.had = true;
            let Some(listing) = listing else {
                self.report(Input::Watch(WatchEvent::Heartbeat)).await;
                continue;
            };
            self.check_version(&listing).await?;
            self.index = Some(listing.version);
            self.refused = false;
            self.report(Input::EndpointsUpdated(listing)).await;
            if from_version.is_none() {
                return Ok(());
            }
        }
    }
}

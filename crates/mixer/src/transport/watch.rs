//! The watch on discovery: one long answer, asked for again whenever it ends or falls silent.

use super::pool::Pool;
use crate::protocol::discovery::{self, Listing};
use crate::protocol::http::{TurnedAway, WatchCodec, WatchRequest};
use crate::routing::messages::WatchNews;
use crate::routing::watching::Ended;
use crate::routing::{Input, Watching};
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Framed;

/// One mixer's way with one discovery.
struct Follower {
    pool: Pool,
    /// Where what discovery tells goes.
    lists: mpsc::Sender<Input>,
    watching: Watching,
    address: SocketAddr,
    /// How far the list was followed; none where the whole list has to come first.
    index: Option<u64>,
    /// This watch has brought a sign of life.
    had: bool,
}

/// Follows the list from version `index` on, or from the whole list, for ever.
pub(super) async fn follow(
    pool: Pool, lists: mpsc::Sender<Input>, watching: Watching, address: SocketAddr, index: Option<u64>,
) {
    let mut follower = Follower { pool, lists, watching, address, index, had: false };
    let mut failing = false;
    loop {
        follower.had = false;
        let began = Instant::now();
        let Err(why) = follower.watch().await else { continue };
        failing &= !follower.had;
        let silent = why.kind() == ErrorKind::TimedOut;
        follower.tell(Input::Watch(WatchNews::Ended { silent })).await;
        let retry_after =
            why.get_ref().and_then(|e| e.downcast_ref::<TurnedAway>()).and_then(|e| e.retry_after);
        let ended = Ended { lasted: began.elapsed(), had: follower.had, silent, retry_after };
        let wait = follower.watching.after(ended);
        let (index, wait_ms) = (follower.index, wait.as_millis());
        if !failing {
            tracing::info!(%address, index, wait_ms, "watch on discovery ended: {why}");
        } else {
            // The first one said it; the log is not for the tries that follow.
            tracing::debug!(%address, index, wait_ms, "discovery asked in vain again: {why}");
        }
        failing = true;
        sleep(wait).await;
    }
}

impl Follower {
    async fn tell(&self, input: Input) {
        let _ = self.lists.send(input).await;
    }

    /// Asks and reads until the watch ends, or the whole list that had to come first is in.
    async fn watch(&mut self) -> io::Result<()> {
        let connect = timeout(self.watching.connect(), TcpStream::connect(self.address));
        let stream = connect.await.map_err(|_| ErrorKind::TimedOut)??;
        let mut connection = self.pool.frame::<WatchRequest, _, _>(stream, WatchCodec::default());
        let watched = self.read(&mut connection).await;
        self.pool.recover(connection);
        watched
    }

    /// What came is of no use. From the same version on it would come again, and what it was to tell is not known:
    /// the whole list comes first.
    fn astray(&mut self, why: String) -> io::Error {
        self.index = None;
        io::Error::new(ErrorKind::InvalidData, why)
    }

    async fn read(&mut self, connection: &mut Framed<TcpStream, WatchCodec>) -> io::Result<()> {
        let (host, from) = (self.address.to_string(), self.index);
        connection.send(WatchRequest { host, from }).await?;
        tracing::debug!(address = %self.address, from, "discovery asked");
        self.tell(Input::Watch(WatchNews::Asked)).await;
        loop {
            let most = if self.had { self.watching.silent() } else { self.watching.answer() };
            let object = timeout(most, connection.next()).await.map_err(|_| ErrorKind::TimedOut)?;
            let Some(object) = object else { return Err(ErrorKind::UnexpectedEof.into()) };
            let listing = discovery::read(&object?).map_err(|why| self.astray(why))?;
            self.had = true;
            let Some(listing) = listing else {
                self.tell(Input::Watch(WatchNews::Alive)).await;
                continue;
            };
            let Listing { index, snapshot, .. } = listing;
            if from.is_some_and(|from| index < from) && !snapshot {
                let why =
                    format!("changes up to version {index}, asked for from {}", from.unwrap_or_default());
                return Err(self.astray(why));
            }
            self.tell(Input::Listed(listing)).await;
            self.index = Some(index);
            if from.is_none() {
                return Ok(());
            }
        }
    }
}

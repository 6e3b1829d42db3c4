//! The watch on discovery: one long answer, asked for again whenever it ends or falls silent.

use super::Shared;
use crate::protocol::discovery;
use crate::protocol::http::{TurnedAway, WatchCodec, WatchRequest};
use crate::routing::Input;
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration};

/// A line comes every 2 s, empty if nothing has changed; well past that the watch is held to be dead.
const SILENT: Duration = Duration::from_millis(4500);
const CONNECT: Duration = Duration::from_secs(1);

/// How far the list was followed, and whether this watch has brought a line yet, be it an empty one.
struct Followed {
    index: u64,
    had: bool,
}

/// Follows the list from version `index` on, for ever.
pub async fn follow(shared: Shared, address: SocketAddr, index: u64) {
    let mut followed = Followed { index, had: false };
    let mut backoff = shared.backoff.clone();
    loop {
        followed.had = false;
        let end = watch(&shared, address, &mut followed).await;
        let mut told = None;
        if let Err(e) = end {
            tracing::info!(%address, index = followed.index, "watch on discovery ended: {e}");
            told = e.get_ref().and_then(|e| e.downcast_ref::<TurnedAway>()).and_then(|e| e.come_back);
        }
        sleep(backoff.after(followed.had, told)).await;
    }
}

async fn watch(shared: &Shared, address: SocketAddr, followed: &mut Followed) -> io::Result<()> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(|_| ErrorKind::TimedOut)??;
    let mut connection = shared.pool.frame::<WatchRequest, _, _>(stream, WatchCodec::default());
    let watched = read(shared, address, followed, &mut connection).await;
    shared.pool.recover(connection);
    watched
}

async fn read(
    shared: &Shared, address: SocketAddr, followed: &mut Followed,
    connection: &mut tokio_util::codec::Framed<TcpStream, WatchCodec>,
) -> io::Result<()> {
    connection.send(WatchRequest { host: address.to_string(), from: followed.index }).await?;
    loop {
        let line = timeout(SILENT, connection.next()).await.map_err(|_| ErrorKind::TimedOut)?;
        let Some(line) = line else { return Err(ErrorKind::UnexpectedEof.into()) };
        let listing = discovery::line(&line?).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        followed.had = true;
        if let Some(listing) = listing {
            let next = listing.index;
            let _ = shared.inputs.send(Input::Listed(listing)).await;
            followed.index = next;
        }
    }
}

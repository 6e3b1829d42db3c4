//! The watch on discovery: one long answer, asked for again whenever it ends or falls silent.

use super::Shared;
use crate::protocol::discovery;
use crate::protocol::http::{TurnedAway, WatchCodec, WatchRequest};
use crate::routing::watching::Ended;
use crate::routing::{Input, Watching};
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// How far the list was followed, and whether this watch has brought a sign of life yet.
struct Followed {
    index: u64,
    had: bool,
}

/// Follows the list from version `index` on, for ever.
pub async fn follow(shared: Shared, address: SocketAddr, index: u64) {
    let mut followed = Followed { index, had: false };
    let mut watching = shared.watching.clone();
    loop {
        followed.had = false;
        let began = Instant::now();
        let Err(why) = watch(&shared, &watching, address, &mut followed).await;
        let told = why.get_ref().and_then(|e| e.downcast_ref::<TurnedAway>()).and_then(|e| e.come_back);
        let silent = why.kind() == ErrorKind::TimedOut;
        let wait = watching.after(Ended { lasted: began.elapsed(), had: followed.had, silent, told });
        let wait_ms = wait.as_millis();
        tracing::info!(%address, index = followed.index, wait_ms, "watch on discovery ended: {why}");
        sleep(wait).await;
    }
}

/// Ends only as a watch does, which is never well.
async fn watch(
    shared: &Shared, watching: &Watching, address: SocketAddr, followed: &mut Followed,
) -> io::Result<std::convert::Infallible> {
    let connect = timeout(watching.connect(), TcpStream::connect(address));
    let stream = connect.await.map_err(|_| ErrorKind::TimedOut)??;
    let mut connection = shared.pool.frame::<WatchRequest, _, _>(stream, WatchCodec::default());
    let watched = read(shared, watching, address, followed, &mut connection).await;
    shared.pool.recover(connection);
    watched
}

async fn read(
    shared: &Shared, watching: &Watching, address: SocketAddr, followed: &mut Followed,
    connection: &mut tokio_util::codec::Framed<TcpStream, WatchCodec>,
) -> io::Result<std::convert::Infallible> {
    connection.send(WatchRequest { host: address.to_string(), from: followed.index }).await?;
    tracing::debug!(%address, index = followed.index, "watch on discovery asked for");
    loop {
        let most = if followed.had { watching.silent() } else { watching.answer() };
        let object = timeout(most, connection.next()).await.map_err(|_| ErrorKind::TimedOut)?;
        let Some(object) = object else { return Err(ErrorKind::UnexpectedEof.into()) };
        let listing = discovery::read(&object?).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        followed.had = true;
        if let Some(listing) = listing {
            let next = listing.index;
            let _ = shared.inputs.send(Input::Listed(listing)).await;
            followed.index = next;
        }
    }
}

//! The watch on discovery: one long answer, asked for again whenever it ends or falls silent.

use super::Shared;
use crate::protocol::discovery;
use crate::protocol::http::{WatchCodec, WatchRequest};
use crate::routing::Input;
use futures_util::{SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration, Instant};

/// A line comes every 2 s, empty if nothing has changed; well past that the watch is held to be dead.
const SILENT: Duration = Duration::from_millis(4500);
const CONNECT: Duration = Duration::from_secs(1);
/// Between two tries: at first, and at the most. Each failure doubles it; a watch that lasted longer than the
/// most does not count as one, or the list would be late after every silence.
const AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// Follows the list from version `index` on, for ever.
pub async fn follow(shared: Shared, address: SocketAddr, mut index: u64) {
    let mut wait = AGAIN.0;
    loop {
        let began = Instant::now();
        let end = watch(&shared, address, &mut index).await;
        if let Err(e) = end {
            tracing::info!(%address, index, "watch on discovery ended: {e}");
        }
        wait = if began.elapsed() > AGAIN.1 { AGAIN.0 } else { (wait * 2).min(AGAIN.1) };
        sleep(wait).await;
    }
}

async fn watch(shared: &Shared, address: SocketAddr, index: &mut u64) -> io::Result<()> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(|_| ErrorKind::TimedOut)??;
    let mut connection = shared.pool.frame::<WatchRequest, _, _>(stream, WatchCodec::default());
    let watched = read(shared, address, index, &mut connection).await;
    shared.pool.recover(connection);
    watched
}

async fn read(
    shared: &Shared, address: SocketAddr, index: &mut u64,
    connection: &mut tokio_util::codec::Framed<TcpStream, WatchCodec>,
) -> io::Result<()> {
    connection.send(WatchRequest { host: address.to_string(), from: *index }).await?;
    loop {
        let line = timeout(SILENT, connection.next()).await.map_err(|_| ErrorKind::TimedOut)?;
        let Some(line) = line else { return Err(ErrorKind::UnexpectedEof.into()) };
        let listing = discovery::line(&line?).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        if let Some(listing) = listing {
            let next = listing.index;
            let _ = shared.inputs.send(Input::Listed(listing)).await;
            *index = next;
        }
    }
}

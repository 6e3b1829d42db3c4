//! The listener and the clients' connections.

use super::pool::BUFFER;
use super::{Shared, MOST_COMMANDS};
use crate::protocol::http::{Rejection, Request, Response, ServerCodec};
use crate::protocol::query::{self, Reply};
use crate::routing::{ClientId, Input};
use futures_util::{SinkExt, StreamExt};
use std::future::poll_fn;
use std::io;
use std::ops::ControlFlow;
use std::pin::Pin;
use std::task::{ready, Poll};
use tokio::io::{copy, sink, AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};
use tokio_util::codec::Framed;

pub enum Command {
    Reply(Box<Reply>, bool),
    /// At once where others need its `room`.
    Close {
        room: bool,
    },
}

/// A request that has begun is whole within this, or its client is told that it took too long; the first
/// one on a connection begins with the connection, so one that says nothing is closed.
const WHOLE_REQUEST: Duration = Duration::from_secs(2);
/// A client reads its answer within this, or its connection is given up.
const SLOW_READER: Duration = Duration::from_secs(5);
/// How long bytes are still read and thrown away on a connection that we end.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes read at once where they are not decoded.
const AHEAD_AT_ONCE: usize = 4 * 1024;
/// After a failed accept (no descriptors left) before the next.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// How long after the last connection that came the listener is looked at once more before it ends.
const LAST_ACCEPT: Duration = Duration::from_millis(10);

/// Accepts, with no more than `most` open, until it is stopped: what has come by then is accepted, too, as far as there
/// is room. The end of a listener resets what it still holds.
pub async fn listen(shared: Shared, listener: TcpListener, most: usize) {
    let mut stopped = shared.stopped.subscribe();
    loop {
        let accepted = async {
            while shared.clients.borrow().len() >= most {
                shared.client_ended.notified().await;
            }
            listener.accept().await
        };
        // Nothing is lost where this is dropped: what was accepted is admitted below.
        tokio::select! {
            biased;
            _ = stopped.wait_for(|stopped| *stopped) => break,
            accepted = accepted => match accepted {
                Ok((stream, _)) => admit(&shared, stream).await,
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    sleep(ACCEPT_AGAIN).await;
                }
            },
        }
    }
    while shared.clients.borrow().len() < most {
        let Ok(Ok((stream, _))) = timeout(LAST_ACCEPT, listener.accept()).await else { break };
        admit(&shared, stream).await;
    }
    drop(listener);
    let _ = shared.inputs.send(Input::StoppedListening).await;
}

/// The reducer knows of a client before its task runs.
async fn admit(shared: &Shared, stream: TcpStream) {
    let client = shared.client();
    let (commands, receiver) = mpsc::channel(MOST_COMMANDS);
    shared.clients.borrow_mut().insert(client, commands);
    let _ = shared.inputs.send(Input::ClientOpened { client }).await;
    tokio::task::spawn_local(attend(shared.clone(), client, stream, receiver));
}

type Connection = Framed<TcpStream, ServerCodec>;
type Incoming = Result<Request, Rejection>;

/// Who ends a connection.
enum Ended {
    /// The client has left, or said nothing for too long.
    ByClient,
    ByUs,
    /// By us, at once: others need its place.
    ForRoom,
}

async fn attend(shared: Shared, client: ClientId, stream: TcpStream, mut commands: mpsc::Receiver<Command>) {
    // A reply must not wait for more to fill a packet.
    let _ = stream.set_nodelay(true);
    let mut connection = shared.pool.frame::<Response, _, _>(stream, ServerCodec::default());
    match converse(&shared, client, &mut connection, &mut commands).await {
        Ok(Ended::ByClient) => {}
        Ok(Ended::ByUs) => linger(&mut connection, &mut commands, LINGER).await,
        Ok(Ended::ForRoom) => linger(&mut connection, &mut commands, Duration::ZERO).await,
        Err(e) => tracing::debug!(client, "client connection: {e}"),
    }
    shared.pool.recover(connection);
    shared.clients.borrow_mut().remove(&client);
    shared.client_ended.notify_one();
    let _ = shared.inputs.send(Input::ClientClosed { client }).await;
}

/// One request at a time until either side has had enough.
async fn converse(
    shared: &Shared, client: ClientId, connection: &mut Connection, commands: &mut mpsc::Receiver<Command>,
) -> io::Result<Ended> {
    let mut early: Option<Incoming> = None;
    let mut begun = Some(Instant::now());
    loop {
        let incoming = match early.take() {
            Some(incoming) => incoming,
            None => match next_request(connection, commands, begun.take()).await? {
                ControlFlow::Continue(incoming) => incoming,
                ControlFlow::Break(ended) => return Ok(ended),
            },
        };
        let arrived = shared.clock.now();
        let keep = incoming.as_ref().is_ok_and(|request| request.keep_alive);
        let asked = incoming.and_then(|request| query::read(&request, &shared.names));
        // Who sends what can't be used does so again as soon as it is told: not on this connection.
        let mut keep = keep && asked.is_ok();
        if shared.inputs.send(Input::Asked { client, arrived, asked }).await.is_err() {
            return Ok(Ended::ByUs);
        }
        let (response, close) = loop {
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Reply(reply, close)) => {
                        let close = close || !keep;
                        break (query::render(&reply, close), close);
                    }
                    // Crossed by this request, which is taken now; its reply will close.
                    Some(Command::Close { .. }) => {}
                    None => return Ok(Ended::ByUs),
                },
                // Reading on shows at once when the client leaves; a request sent early waits its turn.
                ahead = read_on(connection, early.is_some()) => match ahead? {
                    Ahead::Request(next) => early = Some(next),
                    Ahead::Kept => {}
                    // Where the next request would begin is not known any more.
                    Ahead::Lost => keep = false,
                    Ahead::End => return Ok(Ended::ByClient),
                },
            }
        };
        respond(connection, response).await?;
        if close {
            return Ok(Ended::ByUs);
        }
    }
}

/// What came behind the request that is being served.
enum Ahead {
    Request(Incoming),
    /// Bytes behind a request that waits its turn.
    Kept,
    /// More than is kept for a client: thrown away.
    Lost,
    End,
}

/// Reads on, behind a request that waits its turn as well: nothing else shows when the client leaves. What comes behind
/// that one is kept as far as the connection's buffer holds it. May be dropped at any await.
async fn read_on(connection: &mut Connection, waits: bool) -> io::Result<Ahead> {
    if !waits {
        return connection.next().await.transpose().map(|next| next.map_or(Ahead::End, Ahead::Request));
    }
    poll_fn(|cx| {
        // No part of the many tasks that may wait here. The read yields now and then, however much comes.
        let mut bytes = [0; AHEAD_AT_ONCE];
        let mut bytes = ReadBuf::new(&mut bytes);
        ready!(Pin::new(connection.get_mut()).poll_read(cx, &mut bytes))?;
        let kept = connection.read_buffer_mut();
        Poll::Ready(Ok(if bytes.filled().is_empty() {
            Ahead::End
        } else if kept.len() + bytes.filled().len() > BUFFER {
            Ahead::Lost
        } else {
            kept.extend_from_slice(bytes.filled());
            Ahead::Kept
        }))
    })
    .await
}

/// Says that no more is answered here, and throws away what still comes: to close over unread bytes would reset the
/// connection, and the reset can overtake the reply before it. A client whose request crosses that sees the end
/// and repeats it elsewhere, unharmed.
async fn linger(connection: &mut Connection, commands: &mut mpsc::Receiver<Command>, most: Duration) {
    if connection.get_mut().shutdown().await.is_err() {
        return;
    }
    let mut thrown_away = sink();
    let rest = copy(connection.get_mut(), &mut thrown_away);
    tokio::select! {
        biased;
        _ = timeout(most, rest) => {}
        // Its place is needed.
        _ = commands.recv() => {}
    }
}

async fn respond(connection: &mut Connection, response: Response) -> io::Result<()> {
    match timeout(SLOW_READER, connection.send(response)).await {
        Ok(sent) => sent,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Part of a request has been read.
fn in_request(connection: &Connection) -> bool {
    connection.codec().in_request() || !connection.read_buffer().is_empty()
}

/// What a read brought: a request, or the client's end.
fn come(next: Option<io::Result<Incoming>>) -> io::Result<ControlFlow<Ended, Incoming>> {
    Ok(next.transpose()?.map_or(ControlFlow::Break(Ended::ByClient), ControlFlow::Continue))
}

/// The next request, or how the connection ends without one: the client has closed, says nothing on a new connection
/// (which `opened` then), or the connection is to end between requests.
async fn next_request(
    connection: &mut Connection, commands: &mut mpsc::Receiver<Command>, opened: Option<Instant>,
) -> io::Result<ControlFlow<Ended, Incoming>> {
    let mut begun = opened.or_else(|| in_request(connection).then(Instant::now));
    loop {
        tokio::select! {
            biased;
            next = super::message(connection, &mut begun, WHOLE_REQUEST) => match next {
                Ok(next) => return come(next),
                Err(_) if in_request(connection) => {
                    connection.codec_mut().give_up();
                    let why = "the request took too long";
                    return Ok(ControlFlow::Continue(Err(Rejection { status: 408, why })));
                }
                Err(_) if opened.is_some() => return Ok(ControlFlow::Break(Ended::ByUs)),
                // Readiness was out of date: nothing has begun.
                Err(_) => begun = None,
            },
            command = commands.recv() => match command {
                // A request that is here whole is taken; half of one has no right to a place that others
                // need.
                Some(Command::Close { room }) => {
                    let whole = timeout(Duration::ZERO, connection.next()).await;
                    let ended = if room { Ended::ForRoom } else { Ended::ByUs };
                    return match whole {
                        Ok(next) => come(next),
                        Err(_) => Ok(ControlFlow::Break(ended)),
                    };
                }
                // No request is waiting, so no reply is due.
                Some(Command::Reply(..)) => {}
                None => return Ok(ControlFlow::Break(Ended::ByUs)),
            },
        }
    }
}

//! The listener and the clients' connections.

use super::{Shared, MOST_COMMANDS};
use crate::protocol::http::{Rejection, Request, Response, ServerCodec};
use crate::protocol::query::{self, Reply};
use crate::routing::{ClientId, Input};
use futures_util::{SinkExt, StreamExt};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Duration, Instant};
use tokio_util::codec::Framed;

pub enum Command {
    Reply(Box<Reply>, bool),
    Close,
}

/// A request that has begun is whole within this, or its client is told that it took too long; the first
/// one on a connection begins with the connection, so one that says nothing is closed.
const WHOLE_REQUEST: Duration = Duration::from_secs(2);
/// A client reads its answer within this, or its connection is given up.
const SLOW_READER: Duration = Duration::from_secs(5);
/// How long bytes of a rejected request are still read and thrown away.
const LINGER: Duration = Duration::from_secs(1);
/// After a failed accept (no descriptors left) before the next.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Connections above the most at which no more is accepted: so many are being closed to make room. Were
/// there no end to it, a flood would take the descriptors that connections to leaf servers need.
const MOST_CLOSING: usize = 16;

/// Accepts until it is aborted.
pub async fn listen(shared: Shared, listener: TcpListener, most: usize) {
    loop {
        while shared.clients.borrow().len() >= most + MOST_CLOSING {
            shared.client_ended.notified().await;
        }
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        };
        let client = shared.client();
        let (commands, receiver) = mpsc::channel(MOST_COMMANDS);
        shared.clients.borrow_mut().insert(client, commands);
        tokio::task::spawn_local(attend(shared.clone(), client, stream, receiver));
    }
}

type Connection = Framed<TcpStream, ServerCodec>;
type Incoming = Result<Request, Rejection>;

async fn attend(shared: Shared, client: ClientId, stream: TcpStream, mut commands: mpsc::Receiver<Command>) {
    // A reply must not wait for more to fill a packet.
    let _ = stream.set_nodelay(true);
    let mut connection = shared.pool.frame::<Response, _, _>(stream, ServerCodec::default());
    let _ = shared.inputs.send(Input::ClientOpened { client }).await;
    match converse(&shared, client, &mut connection, &mut commands).await {
        Ok(()) if connection.codec().is_dead() => linger(&mut connection, &mut commands).await,
        Ok(()) => {}
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
) -> io::Result<()> {
    let mut early: Option<Incoming> = None;
    let mut begun = Some(Instant::now());
    loop {
        let incoming = match early.take() {
            Some(incoming) => Some(incoming),
            None => next_request(connection, commands, begun.take()).await?,
        };
        let Some(incoming) = incoming else { return Ok(()) };
        let arrived = shared.clock.now();
        let keep = incoming.as_ref().is_ok_and(|request| request.keep_alive);
        let asked = incoming.and_then(|request| query::read(&request, &shared.names));
        // Who sends what can't be used does so again as soon as it is told: not on this connection.
        let keep = keep && asked.is_ok();
        if shared.inputs.send(Input::Asked { client, arrived, asked }).await.is_err() {
            return Ok(());
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
                    Some(Command::Close) => {}
                    None => return Ok(()),
                },
                // Reading on shows at once when the client leaves; a request sent early waits its turn.
                next = connection.next(), if early.is_none() => match next {
                    Some(next) => early = Some(next?),
                    None => return Ok(()),
                },
            }
        };
        respond(connection, response).await?;
        if close {
            return Ok(());
        }
    }
}

/// A client whose request was cut short may still be sending it. Closing on unread bytes would reset the
/// connection, and the reset can overtake the answer that says what was wrong.
async fn linger(connection: &mut Connection, commands: &mut mpsc::Receiver<Command>) {
    let _ = connection.get_mut().shutdown().await;
    let rest = async { while let Some(Ok(_)) = connection.next().await {} };
    tokio::select! {
        _ = timeout(LINGER, rest) => {}
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

/// The next request; none when the client has closed, says nothing on a new connection (which `opened`
/// then), or the connection is to end between requests.
async fn next_request(
    connection: &mut Connection, commands: &mut mpsc::Receiver<Command>, opened: Option<Instant>,
) -> io::Result<Option<Incoming>> {
    let mut begun = opened.or_else(|| in_request(connection).then(Instant::now));
    loop {
        tokio::select! {
            biased;
            next = super::message(connection, &mut begun, WHOLE_REQUEST) => match next {
                Ok(next) => return next.transpose(),
                Err(_) if in_request(connection) => {
                    connection.codec_mut().give_up();
                    return Ok(Some(Err(Rejection { status: 408, why: "the request took too long" })));
                }
                Err(_) if opened.is_some() => return Ok(None),
                // Readiness was out of date: nothing has begun.
                Err(_) => begun = None,
            },
            command = commands.recv() => match command {
                // A request that is here whole is taken; half of one has no right to a place that others
                // need.
                Some(Command::Close) => {
                    let whole = timeout(Duration::ZERO, connection.next()).await;
                    return whole.map_or(Ok(None), Option::transpose);
                }
                // No request is waiting, so no reply is due.
                Some(Command::Reply(..)) => {}
                None => return Ok(None),
            },
        }
    }
}

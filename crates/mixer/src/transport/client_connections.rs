//! The listener, and the connections of native clients: one task each, one request at a time.

use super::buffer_pool::BUFFER;
use super::{Shared, MOST_COMMANDS};
use crate::log_targets;
use crate::protocol::http::{Request, RequestError, Response, ServerCodec};
use crate::protocol::query_json::{self, Reply};
use crate::reducer::{ClientId, Input};
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

/// What the driver asks of a client's connection.
pub enum Command {
    /// Send the reply to the open request; with `true`, end the connection after it.
    Reply(Box<Reply>, bool),
    /// End the connection unless a whole request has arrived on it.
    Close {
        /// Without lingering, as another connection needs its place.
        immediate: bool,
    },
}

/// A request has to be whole within this time from its first byte, or it is answered with 408. The first one on a
/// connection begins with the connection, so that a client which sends nothing is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A response has to be written within this time, or the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long incoming bytes are still read and discarded on a connection that we end.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes read at once where they are not decoded.
const READ_AHEAD_BYTES: usize = 4 * 1024;
/// The wait after a failed accept (no descriptors left) before the next.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// When stopping, the listener ends once no connection has arrived for this time.
const LAST_ACCEPT: Duration = Duration::from_millis(10);

/// Accepts connections, with at most `most` open, until the mixer stops. Those that have arrived by then are accepted,
/// too, as far as there is room: closing a listener resets the connections in its backlog.
pub async fn listen(shared: Shared, listener: TcpListener, most: usize) {
    let mut stopped = shared.stopped.subscribe();
    loop {
        let accepted = async {
            while shared.clients.borrow().len() >= most {
                shared.client_ended.notified().await;
            }
            listener.accept().await
        };
        // Cancellation loses nothing: a connection is taken from the backlog only when this completes.
        tokio::select! {
            biased;
            _ = stopped.wait_for(|stopped| *stopped) => break,
            accepted = accepted => match accepted {
                Ok((stream, _)) => admit(&shared, stream).await,
                Err(e) => {
                    tracing::warn!(target: log_targets::CLIENT_CONNECTIONS, "accept: {e}");
                    sleep(ACCEPT_RETRY).await;
                }
            },
        }
    }
    while shared.clients.borrow().len() < most {
        let Ok(Ok((stream, _))) = timeout(LAST_ACCEPT, listener.accept()).await else {
            break;
        };
        admit(&shared, stream).await;
    }
    drop(listener);
    let _ = shared.inputs.send(Input::ListenerClosed).await;
}

/// Registers a client and starts its task. The reducer knows of the client before the task runs.
async fn admit(shared: &Shared, stream: TcpStream) {
    let client = shared.client();
    let (commands, receiver) = mpsc::channel(MOST_COMMANDS);
    shared.clients.borrow_mut().insert(client, commands);
    let _ = shared.inputs.send(Input::ClientOpened { client }).await;
    tokio::task::spawn_local(serve_client(shared.clone(), client, stream, receiver));
}

type Connection = Framed<TcpStream, ServerCodec>;
type Incoming = Result<Request, RequestError>;

/// How serving a connection ended.
enum Ended {
    /// The client has closed it.
    ByClient,
    /// We end it, and linger so that the last reply is not reset.
    ByUs,
    /// We end it without lingering, as another connection needs its place.
    ForRoom,
}

/// The task of one connection: serves it, ends it and reports its end to the reducer.
async fn serve_client(
    shared: Shared,
    client: ClientId,
    stream: TcpStream,
    mut commands: mpsc::Receiver<Command>,
) {
    // A reply must not wait for more to fill a packet.
    let _ = stream.set_nodelay(true);
    let mut connection = shared
        .pool
        .frame::<Response, _, _>(stream, ServerCodec::default());
    match serve_requests(&shared, client, &mut connection, &mut commands).await {
        Ok(Ended::ByClient) => {}
        Ok(Ended::ByUs) => linger(&mut connection, &mut commands, LINGER).await,
        Ok(Ended::ForRoom) => linger(&mut connection, &mut commands, Duration::ZERO).await,
        Err(e) => {
            tracing::debug!(target: log_targets::CLIENT_CONNECTIONS, client, "client connection: {e}")
        }
    }
    shared.pool.recover(connection);
    shared.clients.borrow_mut().remove(&client);
    shared.client_ended.notify_one();
    let _ = shared.inputs.send(Input::ClientClosed { client }).await;
}

/// Serves one request after another until either side ends the connection.
async fn serve_requests(
    shared: &Shared,
    client: ClientId,
    connection: &mut Connection,
    commands: &mut mpsc::Receiver<Command>,
) -> io::Result<Ended> {
    let mut pipelined: Option<Incoming> = None;
    let mut begun = Some(Instant::now());
    loop {
        let incoming = match pipelined.take() {
            Some(incoming) => incoming,
            None => match next_request(connection, commands, begun.take()).await? {
                ControlFlow::Continue(incoming) => incoming,
                ControlFlow::Break(ended) => return Ok(ended),
            },
        };
        let received_at = shared.clock.now();
        let keep = incoming.as_ref().is_ok_and(|request| request.keep_alive);
        let request =
            incoming.and_then(|request| query_json::parse(&request, &shared.query_schema));
        // After a rejection the connection ends: the client would only send such a request again.
        let mut keep = keep && request.is_ok();
        if shared
            .inputs
            .send(Input::RequestReceived {
                client,
                received_at,
                request,
            })
            .await
            .is_err()
        {
            return Ok(Ended::ByUs);
        }
        let (response, close) = loop {
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Reply(reply, close)) => {
                        let close = close || !keep;
                        break (query_json::render(&reply, close), close);
                    }
                    // It crossed this request, which is served; its reply will end the connection.
                    Some(Command::Close { .. }) => {}
                    None => return Ok(Ended::ByUs),
                },
                // Reading on detects at once when the client closes; a pipelined request waits its turn.
                ahead = read_ahead(connection, pipelined.is_some()) => match ahead? {
                    ReadAhead::Request(next) => pipelined = Some(next),
                    ReadAhead::Buffered => {}
                    // Where the next request begins is not known any more.
                    ReadAhead::Overflow => keep = false,
                    ReadAhead::End => return Ok(Ended::ByClient),
                },
            }
        };
        respond(connection, response).await?;
        if close {
            return Ok(Ended::ByUs);
        }
    }
}

/// What arrived behind the request that is being served.
enum ReadAhead {
    /// The next request.
    Request(Incoming),
    /// Bytes behind a request that waits its turn.
    Buffered,
    /// More bytes than the connection's buffer takes: they are discarded.
    Overflow,
    /// The client has closed the connection.
    End,
}

/// Reads on while a request is served, even behind a pipelined one (`waits`): nothing else detects that the client
/// closes. Bytes behind a pipelined request are buffered up to the size of the connection's buffer. Cancel safe.
async fn read_ahead(connection: &mut Connection, waits: bool) -> io::Result<ReadAhead> {
    if !waits {
        let next = connection.next().await.transpose()?;
        return Ok(next.map_or(ReadAhead::End, ReadAhead::Request));
    }
    poll_fn(|cx| {
        // On the stack, so that it does not enlarge the many tasks that wait here. The read yields to other tasks now
        // and then, however much arrives.
        let mut bytes = [0; READ_AHEAD_BYTES];
        let mut bytes = ReadBuf::new(&mut bytes);
        ready!(Pin::new(connection.get_mut()).poll_read(cx, &mut bytes))?;
        let buffer = connection.read_buffer_mut();
        Poll::Ready(Ok(if bytes.filled().is_empty() {
            ReadAhead::End
        } else if buffer.len() + bytes.filled().len() > BUFFER {
            ReadAhead::Overflow
        } else {
            buffer.extend_from_slice(bytes.filled());
            ReadAhead::Buffered
        }))
    })
    .await
}

/// Shuts the write side down and discards what still arrives, for `most` at the longest: closing over unread bytes
/// would reset the connection, and the reset can overtake the last reply. A client whose next request crosses the
/// shutdown sees the end of the connection and can repeat that request elsewhere, as it was not read.
async fn linger(
    connection: &mut Connection,
    commands: &mut mpsc::Receiver<Command>,
    most: Duration,
) {
    if connection.get_mut().shutdown().await.is_err() {
        return;
    }
    let mut discarded = sink();
    let rest = copy(connection.get_mut(), &mut discarded);
    tokio::select! {
        biased;
        _ = timeout(most, rest) => {}
        // A further command: another connection needs its place.
        _ = commands.recv() => {}
    }
}

/// Writes a response.
///
/// # Errors
/// `TimedOut` if the client does not read it in time, or what the socket reports.
async fn respond(connection: &mut Connection, response: Response) -> io::Result<()> {
    match timeout(WRITE_TIMEOUT, connection.send(response)).await {
        Ok(sent) => sent,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Whether part of a request has been read.
fn in_request(connection: &Connection) -> bool {
    connection.codec().in_request() || !connection.read_buffer().is_empty()
}

/// The result of a read: a request, or the end of the connection by the client.
fn request_or_end(next: Option<io::Result<Incoming>>) -> io::Result<ControlFlow<Ended, Incoming>> {
    Ok(next
        .transpose()?
        .map_or(ControlFlow::Break(Ended::ByClient), ControlFlow::Continue))
}

/// The next request, or how the connection ends without one: the client closes it, sends nothing on a new connection
/// (opened at `opened`), or the driver closes it between requests.
async fn next_request(
    connection: &mut Connection,
    commands: &mut mpsc::Receiver<Command>,
    opened: Option<Instant>,
) -> io::Result<ControlFlow<Ended, Incoming>> {
    let mut begun = opened.or_else(|| in_request(connection).then(Instant::now));
    loop {
        tokio::select! {
            biased;
            next = super::message(connection, &mut begun, REQUEST_TIMEOUT) => match next {
                Ok(next) => return request_or_end(next),
                Err(_) if in_request(connection) => {
                    connection.codec_mut().abandon_request();

                    return Ok(ControlFlow::Continue(Err(RequestError::timed_out())));
                }
                Err(_) if opened.is_some() => return Ok(ControlFlow::Break(Ended::ByUs)),
                // A spurious readiness: no request has begun.
                Err(_) => begun = None,
            },
            command = commands.recv() => match command {
                // A request that has arrived whole is served; half of one does not keep a place that another connection
                // needs.
                Some(Command::Close { immediate }) => {
                    let whole = timeout(Duration::ZERO, connection.next()).await;
                    let ended = if immediate { Ended::ForRoom } else { Ended::ByUs };
                    return match whole {
                        Ok(next) => request_or_end(next),
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

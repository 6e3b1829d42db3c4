//! Connections of native clients: one task each, one request at a time.

use super::message_timeout::next_message;
use super::read_ahead::{read_ahead, HttpConnection, IncomingRequest, ReadAhead};
use super::shared::Shared;
use crate::log_targets;
use crate::protocol::http::{RequestError, Response, ServerCodec};
use crate::protocol::query_json::{self, Reply};
use crate::reducer::{ClientId, Input};
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::ops::ControlFlow;
use tokio::io::{copy, sink, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// A request has to be complete within this time of its first byte, or it is answered with 408. The first one on a
/// connection starts with the connection, so that a client which sends nothing is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A response has to be written within this time, or the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a lingering close reads and discards input.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// A command of the driver to a client's task.
pub enum ClientCommand {
    /// Send the reply to the open request.
    Reply {
        /// The reply.
        reply: Box<Reply>,
        /// Close the connection after it.
        close: bool,
    },
    /// Close the connection unless a complete request has arrived on it.
    Close {
        /// Without lingering, since others need the descriptor.
        immediate: bool,
    },
}

/// Why a connection is no longer served.
enum ConnectionEnd {
    /// The client closed it.
    ClientClosed,
    /// The mixer closes it, lingering so that the last reply is not lost to a reset.
    CloseLingering,
    /// The mixer closes it without lingering, since others need the descriptor.
    CloseImmediately,
}

/// The task of one connection: serves it, closes it and reports its end to the reducer.
pub async fn serve_client(
    shared: Shared,
    client: ClientId,
    stream: TcpStream,
    commands: mpsc::Receiver<ClientCommand>,
) {
    // A reply must not wait for more to fill a packet.
    let _ = stream.set_nodelay(true);
    let mut connection = ClientConnection {
        shared: &shared,
        client,
        http: shared
            .buffers
            .frame::<Response, _, _>(stream, ServerCodec::default()),
        commands,
        pipelined: None,
        opened_at: Some(Instant::now()),
    };
    match connection.serve().await {
        Ok(ConnectionEnd::ClientClosed) => {}
        Ok(ConnectionEnd::CloseLingering) => connection.linger(LINGER_TIME).await,
        Ok(ConnectionEnd::CloseImmediately) => connection.linger(Duration::ZERO).await,
        Err(e) => {
            tracing::debug!(target: log_targets::CLIENT_CONNECTIONS, client, "client connection failed: {e}")
        }
    }
    shared.buffers.close(connection.http);
    shared.unregister_client(client);
    shared.send_input(Input::ClientClosed { client }).await;
}

struct ClientConnection<'a> {
    shared: &'a Shared,
    client: ClientId,
    http: HttpConnection,
    commands: mpsc::Receiver<ClientCommand>,
    /// A request that arrived while the one before was served.
    pipelined: Option<IncomingRequest>,
    /// When the connection was opened, until its first request is awaited.
    opened_at: Option<Instant>,
}

impl ClientConnection<'_> {
    /// Serves one request after another until either side ends the connection.
    async fn serve(&mut self) -> io::Result<ConnectionEnd> {
        loop {
            let request = match self.next_request().await? {
                ControlFlow::Continue(request) => request,
                ControlFlow::Break(end) => return Ok(end),
            };
            let Some(keep_alive) = self.submit_request(request).await else {
                return Ok(ConnectionEnd::CloseLingering);
            };
            let response = match self.await_reply(keep_alive).await? {
                ControlFlow::Continue(response) => response,
                ControlFlow::Break(end) => return Ok(end),
            };
            let close = response.close;
            self.send_response(response).await?;
            if close {
                return Ok(ConnectionEnd::CloseLingering);
            }
        }
    }

    /// The next request, or how the connection ends without one.
    async fn next_request(&mut self) -> io::Result<ControlFlow<ConnectionEnd, IncomingRequest>> {
        match self.pipelined.take() {
            Some(request) => Ok(ControlFlow::Continue(request)),
            None => self.receive_request().await,
        }
    }

    /// Waits for a request. The connection ends without one if the client closes it, sends nothing on a new connection,
    /// or the driver closes it between requests.
    async fn receive_request(&mut self) -> io::Result<ControlFlow<ConnectionEnd, IncomingRequest>> {
        let opened_at = self.opened_at.take();
        let mut started_at = opened_at.or_else(|| in_request(&self.http).then(Instant::now));
        loop {
            tokio::select! {
                biased;
                received = next_message(&mut self.http, &mut started_at, REQUEST_TIMEOUT) => match received {
                    Ok(received) => return request_or_end(received),
                    Err(_) if in_request(&self.http) => {
                        self.http.codec_mut().abandon_request();
                        return Ok(ControlFlow::Continue(Err(RequestError::timed_out())));
                    }
                    Err(_) if opened_at.is_some() => {
                        return Ok(ControlFlow::Break(ConnectionEnd::CloseLingering));
                    }
                    // A spurious readiness: no request has started.
                    Err(_) => started_at = None,
                },
                command = self.commands.recv() => match command {
                    Some(ClientCommand::Close { immediate }) => return self.close_idle(immediate).await,
                    // No request is open, so no reply is due.
                    Some(ClientCommand::Reply { .. }) => {}
                    None => return Ok(ControlFlow::Break(ConnectionEnd::CloseLingering)),
                },
            }
        }
    }

    /// Ends the connection between requests. A request that has arrived completely is served; an incomplete one does not
    /// keep a descriptor that others need.
    async fn close_idle(
        &mut self,
        immediate: bool,
    ) -> io::Result<ControlFlow<ConnectionEnd, IncomingRequest>> {
        if let Ok(received) = timeout(Duration::ZERO, self.http.next()).await {
            return request_or_end(received);
        }
        Ok(ControlFlow::Break(if immediate {
            ConnectionEnd::CloseImmediately
        } else {
            ConnectionEnd::CloseLingering
        }))
    }

    /// Passes a request to the reducer. Returns whether the connection may stay open after it; `None` if the driver has
    /// ended.
    async fn submit_request(&mut self, request: IncomingRequest) -> Option<bool> {
        let received_at = self.shared.clock.now();
        let keep_alive = request.as_ref().is_ok_and(|request| request.keep_alive);
        let request =
            request.and_then(|request| query_json::parse(&request, &self.shared.query_schema));
        // After a rejection the connection is closed: the client would only send such a request again.
        let keep_alive = keep_alive && request.is_ok();
        let input = Input::RequestReceived {
            client: self.client,
            received_at,
            request,
        };
        self.shared.send_input(input).await.then_some(keep_alive)
    }

    /// Waits for the reply to the open request and renders it, or returns how the connection ends before.
    async fn await_reply(
        &mut self,
        mut keep_alive: bool,
    ) -> io::Result<ControlFlow<ConnectionEnd, Response>> {
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(ClientCommand::Reply { reply, close }) => {
                        let close = close || !keep_alive;
                        return Ok(ControlFlow::Continue(query_json::render(&reply, close)));
                    }
                    // Sent before the reducer knew of the open request, whose reply will close the connection.
                    Some(ClientCommand::Close { .. }) => {}
                    None => return Ok(ControlFlow::Break(ConnectionEnd::CloseLingering)),
                },
                // Reading on detects at once when the client closes.
                received = read_ahead(&mut self.http, self.pipelined.is_some()) => match received? {
                    ReadAhead::Request(request) => self.pipelined = Some(request),
                    ReadAhead::Buffered => {}
                    // Where the next request begins is no longer known.
                    ReadAhead::Overflow => keep_alive = false,
                    ReadAhead::Closed => return Ok(ControlFlow::Break(ConnectionEnd::ClientClosed)),
                },
            }
        }
    }

    /// Writes a response.
    ///
    /// # Errors
    /// `TimedOut` if the client does not read it in time, or what the socket reports.
    async fn send_response(&mut self, response: Response) -> io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.http.send(response)).await {
            Ok(sent) => sent,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// A lingering close: shuts the write side down and discards input for up to `max_time`. Closing over unread bytes
    /// would reset the connection, and the reset can overtake the last reply. A client whose next request crosses the
    /// shutdown sees the connection's end and can retry elsewhere, as the request was not read.
    async fn linger(&mut self, max_time: Duration) {
        if self.http.get_mut().shutdown().await.is_err() {
            return;
        }
        let mut discarded = sink();
        let remaining_input = copy(self.http.get_mut(), &mut discarded);
        tokio::select! {
            biased;
            _ = timeout(max_time, remaining_input) => {}
            // A further command: others need the descriptor.
            _ = self.commands.recv() => {}
        }
    }
}

/// Whether part of a request has been read.
fn in_request(http: &HttpConnection) -> bool {
    http.codec().in_request() || !http.read_buffer().is_empty()
}

/// The result of a read: a request, or the connection's end by the client.
fn request_or_end(
    received: Option<io::Result<IncomingRequest>>,
) -> io::Result<ControlFlow<ConnectionEnd, IncomingRequest>> {
    Ok(match received.transpose()? {
        Some(request) => ControlFlow::Continue(request),
        None => ControlFlow::Break(ConnectionEnd::ClientClosed),
    })
}

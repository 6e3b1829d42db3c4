//! Connections of native clients. Each has its own task, which serves one request at a time.

use super::message_timeout::next_message;
use super::request_reader::{ReadAhead, ReceivedRequest, RequestReader};
use super::response_writer::write_response;
use super::shared::Shared;
use crate::log_targets;
use crate::protocol::http::{RequestError, Response};
use crate::protocol::query_json::{self, Reply};
use crate::reducer::{ClientId, Input};
use std::io;
use std::ops::ControlFlow;
use tokio::io::{copy, sink, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{timeout, Duration, Instant};

/// A request must be complete within this duration after its first byte, or it is answered with 408. For the first
/// request of a connection the duration starts when the connection is opened, so that the connection of a client that
/// sends nothing is closed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum duration for which a lingering close reads and discards input.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// A command from the driver to a client's task.
pub enum ClientCommand {
    /// Send a reply to the open request.
    Reply {
        /// The reply.
        reply: Box<Reply>,
        /// Whether to close the connection after the reply.
        close: bool,
    },
    /// Close the connection unless a complete request has arrived. A request of which a part has arrived is answered.
    Close {
        /// Whether to close without lingering and without waiting for the rest of a request, since other connections
        /// need the descriptor or the mixer exits.
        immediate: bool,
    },
    /// Close the connection if the client has not read its response, since other responses need the memory.
    AbortResponse,
}

/// The reason why a connection ends. The mixer closes it with a lingering close, so that a reset does not destroy the
/// last reply, unless other connections need the descriptor.
#[derive(Debug)]
enum ConnectionEnd {
    /// The client closed the connection.
    ClientClosed,
    /// The last response was sent: the client requested that, its request was invalid, or the mixer shuts down.
    LastResponse,
    /// The client has not sent the first byte of its first request in time.
    IdleTooLong,
    /// The mixer shuts down, or the driver has ended.
    Requested,
    /// Other connections need the descriptor.
    ClosedForOthers,
    /// As `ClosedForOthers`, or the mixer exits, after a part of a request had arrived, which was refused.
    IncompleteRequestRefused,
}

/// The task of one connection: serves its requests, closes it and reports its end to the reducer.
pub async fn serve_client(
    shared: Shared,
    client: ClientId,
    stream: TcpStream,
    commands: mpsc::Receiver<ClientCommand>,
) {
    // Without TCP_NODELAY, a reply could be delayed until a packet is full.
    let _ = stream.set_nodelay(true);
    let hints = shared.clone();
    let reader = RequestReader::new(
        stream,
        &shared.request_memory,
        &shared.request_turns,
        move || hints.queue_hint(Input::RequestBegun { client }),
    );
    let mut connection = ClientConnection {
        shared: &shared,
        client,
        reader,
        commands,
        pipelined: None,
        close_requested: None,
        is_closing_for_others: false,
        opened_at: Some(Instant::now()),
    };
    let end = connection.serve().await;
    tracing::debug!(target: log_targets::CLIENT_CONNECTIONS, client, ?end, "client connection ended");
    match end {
        Ok(ConnectionEnd::ClientClosed) | Err(_) => {}
        Ok(ConnectionEnd::LastResponse | ConnectionEnd::IdleTooLong | ConnectionEnd::Requested) => {
            connection.linger(LINGER_TIMEOUT).await;
        }
        Ok(ConnectionEnd::ClosedForOthers | ConnectionEnd::IncompleteRequestRefused) => {
            connection.linger(Duration::ZERO).await;
        }
    }
    drop(connection);
    shared.unregister_client(client);
    shared.send_input(Input::ClientClosed { client }).await;
}

struct ClientConnection<'a> {
    shared: &'a Shared,
    client: ClientId,
    reader: RequestReader,
    commands: mpsc::Receiver<ClientCommand>,
    /// A request that arrived while the previous one was being served.
    pipelined: Option<ReceivedRequest>,
    /// Set if closing was requested while a response was written: whether immediately.
    close_requested: Option<bool>,
    /// Whether other connections need the descriptor, so that no further request is waited for.
    is_closing_for_others: bool,
    /// When the connection was opened; `None` once the wait for the first request has started.
    opened_at: Option<Instant>,
}

impl ClientConnection<'_> {
    /// Serves one request after another until either side closes the connection.
    async fn serve(&mut self) -> io::Result<ConnectionEnd> {
        loop {
            let request = match self.next_request().await? {
                ControlFlow::Continue(request) => request,
                ControlFlow::Break(end) => return Ok(end),
            };
            if *self.shared.refusing_requests.borrow() {
                drop(request);
                self.refuse_request().await?;
                return Ok(ConnectionEnd::LastResponse);
            }
            let Some(keep_alive) = self.submit_request(request).await else {
                return Ok(ConnectionEnd::Requested);
            };
            let response = match self.await_reply(keep_alive).await? {
                ControlFlow::Continue(response) => response,
                ControlFlow::Break(end) => return Ok(end),
            };
            let close = response.close;
            self.send_response(response).await?;
            if close {
                return Ok(ConnectionEnd::LastResponse);
            }
            if self.is_closing_for_others && self.has_next_request() {
                self.refuse_incomplete_request().await?;
                return Ok(ConnectionEnd::IncompleteRequestRefused);
            }
        }
    }

    /// Returns the next request, or the reason why the connection ends without one.
    async fn next_request(&mut self) -> io::Result<ControlFlow<ConnectionEnd, ReceivedRequest>> {
        if let Some(request) = self.pipelined.take() {
            return Ok(ControlFlow::Continue(request));
        }
        if let Some(immediate) = self.close_requested.take() {
            if let Some(closed) = self.close_between_requests(immediate).await? {
                return Ok(closed);
            }
        }
        self.receive_request().await
    }

    /// Waits for a request. The connection ends without one if the client closes it, if the client sends nothing on a
    /// new connection, or if the driver closes it between requests.
    async fn receive_request(&mut self) -> io::Result<ControlFlow<ConnectionEnd, ReceivedRequest>> {
        let opened_at = self.opened_at.take();
        let mut started_at =
            opened_at.or_else(|| self.reader.has_partial_request().then(Instant::now));
        loop {
            tokio::select! {
                biased;
                received = next_message(&mut self.reader, &mut started_at, REQUEST_TIMEOUT) => match received {
                    Ok(received) => return request_or_end(received),
                    Err(_) if self.reader.has_partial_request() => {
                        let request = self.reader.abandon_request(RequestError::timed_out());
                        return Ok(ControlFlow::Continue(request));
                    }
                    Err(_) if opened_at.is_some() => {
                        return Ok(ControlFlow::Break(ConnectionEnd::IdleTooLong));
                    }
                    // A spurious wakeup: no byte of a request has arrived.
                    Err(_) => started_at = None,
                },
                command = self.commands.recv() => match command {
                    Some(ClientCommand::Close { immediate }) => {
                        if let Some(closed) = self.close_between_requests(immediate).await? {
                            return Ok(closed);
                        }
                        started_at.get_or_insert_with(Instant::now);
                    }
                    // No request is open, so no reply is due or being written.
                    Some(ClientCommand::Reply { .. } | ClientCommand::AbortResponse) => {}
                    None => return Ok(ControlFlow::Break(ConnectionEnd::Requested)),
                },
            }
        }
    }

    /// Closes the connection between requests. A complete request that has arrived is served. One that has arrived in
    /// part is refused if `immediate`; else the rest is still to be received, and the result is `None`.
    async fn close_between_requests(
        &mut self,
        immediate: bool,
    ) -> io::Result<Option<ControlFlow<ConnectionEnd, ReceivedRequest>>> {
        self.is_closing_for_others |= immediate;
        if let Ok(received) = self.reader.read_arrived_request().await {
            return request_or_end(received).map(Some);
        }
        let end = match (immediate, self.reader.has_partial_request()) {
            (false, true) => return Ok(None),
            (false, false) => ConnectionEnd::Requested,
            (true, false) => ConnectionEnd::ClosedForOthers,
            (true, true) => {
                self.refuse_incomplete_request().await?;
                ConnectionEnd::IncompleteRequestRefused
            }
        };
        Ok(Some(ControlFlow::Break(end)))
    }

    /// Refuses the request of which a part has arrived.
    async fn refuse_incomplete_request(&mut self) -> io::Result<()> {
        let reason = RequestError::closed_before_complete();
        drop(self.reader.abandon_request(reason));
        self.refuse_request().await
    }

    /// Refuses a request that the reducer does not have. Not by way of the reducer, which may have returned the exit.
    async fn refuse_request(&mut self) -> io::Result<()> {
        let error = RequestError::closed_before_complete();
        let response = query_json::render(&Reply::InvalidRequest(error), true);
        self.send_response(response).await
    }

    /// Whether a request has arrived behind the open one, completely or in part.
    fn has_next_request(&self) -> bool {
        self.pipelined.is_some() || self.reader.has_partial_request()
    }

    /// Passes a request to the reducer. Returns whether the connection may stay open after the reply; `None` if the
    /// driver has ended.
    async fn submit_request(&mut self, received: ReceivedRequest) -> Option<bool> {
        let received_at = self.shared.clock.now();
        let ReceivedRequest { request, memory } = received;
        let keep_alive = request.as_ref().is_ok_and(|request| request.keep_alive);
        let request =
            request.and_then(|request| query_json::parse(&request, &self.shared.query_schema));
        // The connection is closed after an invalid request, as the client would probably send another one.
        let keep_alive = keep_alive && request.is_ok();
        let input = Input::RequestReceived {
            client: self.client,
            received_at,
            request,
        };
        let sent = self.shared.send_input_with_memory(input, memory).await;
        sent.then_some(keep_alive)
    }

    /// Waits for the reply to the open request and renders it, or returns the reason why the connection ends before it.
    async fn await_reply(
        &mut self,
        mut keep_alive: bool,
    ) -> io::Result<ControlFlow<ConnectionEnd, Response>> {
        loop {
            tokio::select! {
                biased;
                command = self.commands.recv() => match command {
                    Some(ClientCommand::Reply { reply, close }) => {
                        // The reducer closes the connection after the last request that has arrived.
                        let close = !keep_alive || close && !self.has_next_request();
                        return Ok(ControlFlow::Continue(query_json::render(&reply, close)));
                    }
                    // Sent before the reducer processed the open request; the reply to it will close the connection.
                    Some(ClientCommand::Close { immediate }) => {
                        self.is_closing_for_others |= immediate;
                    }
                    Some(ClientCommand::AbortResponse) => {}
                    None => return Ok(ControlFlow::Break(ConnectionEnd::Requested)),
                },
                // Reading ahead detects immediately that the client closes the connection.
                received = self.reader.read_ahead(self.pipelined.is_some()) => match received? {
                    ReadAhead::Request(request) => self.pipelined = Some(request),
                    ReadAhead::Buffered => {}
                    // After discarded bytes, the start of the next request is unknown.
                    ReadAhead::Overflow => keep_alive = false,
                    ReadAhead::Closed => return Ok(ControlFlow::Break(ConnectionEnd::ClientClosed)),
                },
            }
        }
    }

    /// Writes a response. A request to close the connection meanwhile is kept for later.
    ///
    /// # Errors
    /// Those of [`write_response`].
    async fn send_response(&mut self, response: Response) -> io::Result<()> {
        let is_large = response.body.len() > query_json::LARGE_RESPONSE_BYTES;
        let stream = self.reader.stream_mut();
        let result = write_response(self.shared, stream, &mut self.commands, response).await;
        if is_large {
            let client = self.client;
            let written = Input::ResponseWritten { client };
            self.shared.send_input(written).await;
        }
        self.close_requested = result?;
        self.is_closing_for_others |= self.close_requested == Some(true);
        Ok(())
    }

    /// A lingering close: shuts down the write side and discards input for up to `max_duration`. Closing a socket with
    /// unread input would reset the connection, and the reset can destroy the last reply before the client reads it. A
    /// client that sends a request while the connection is being shut down sees its end and can retry elsewhere, since
    /// the request was not processed.
    async fn linger(&mut self, max_duration: Duration) {
        if self.reader.stream_mut().shutdown().await.is_err() {
            return;
        }
        let mut discarded = sink();
        let remaining_input = copy(self.reader.stream_mut(), &mut discarded);
        tokio::select! {
            biased;
            _ = timeout(max_duration, remaining_input) => {}
            // A further command means that other connections need the descriptor.
            _ = self.commands.recv() => {}
        }
    }
}

/// Converts the result of a read to a request, or to the end of the connection by the client.
fn request_or_end(
    received: io::Result<Option<ReceivedRequest>>,
) -> io::Result<ControlFlow<ConnectionEnd, ReceivedRequest>> {
    Ok(match received? {
        Some(request) => ControlFlow::Continue(request),
        None => ControlFlow::Break(ConnectionEnd::ClientClosed),
    })
}

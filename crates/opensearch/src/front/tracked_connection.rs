//! The handle of one open connection, through which its tasks report its activity to the [`ConnectionTable`].

use super::connections::{Admission, ConnectionId, ConnectionTable};
use super::refusal::Refusal;
use super::request_memory::RequestMemory;
use std::cell::{Cell, RefCell, RefMut};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, Duration, Instant};

/// Interval of selecting connections for closing while no further one can be accepted.
const CLOSE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The open connections, shared by the listener and the connections' tasks.
pub(super) struct OpenConnections {
    table: RefCell<ConnectionTable>,
    /// Notifies the task of a connection that is to be closed for another one.
    close_requests: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// Notified when a connection has ended. Only the listener waits for it.
    ended: Notify,
    /// The number of connections that were closed for others and of refused requests, for the log.
    closed_for_others: Cell<u64>,
    refused: Cell<u64>,
}

impl OpenConnections {
    pub(super) fn new(table: ConnectionTable) -> OpenConnections {
        OpenConnections {
            table: RefCell::new(table),
            close_requests: RefCell::default(),
            ended: Notify::new(),
            closed_for_others: Cell::default(),
            refused: Cell::default(),
        }
    }

    /// Adds a connection, and requests the closing of those that exceed the connection limit.
    pub(super) fn open(self: &Rc<OpenConnections>) -> Rc<TrackedConnection> {
        let now = Instant::now();
        let id = self.table.borrow_mut().open(now);
        let close_request = Rc::new(Notify::new());
        self.close_requests
            .borrow_mut()
            .insert(id, close_request.clone());
        let selected = self.table.borrow_mut().select_for_closing(now, Some(id));
        self.request_closing(&selected);
        Rc::new(TrackedConnection {
            id,
            connections: self.clone(),
            close_request,
            unwritten: RefCell::default(),
            is_reading_body: Cell::default(),
            body_refusal: Cell::default(),
            body_refused: Notify::new(),
        })
    }

    fn request_closing(&self, selected: &[ConnectionId]) {
        for id in selected {
            if let Some(close_request) = self.close_requests.borrow().get(id) {
                close_request.notify_one();
            }
            if count_for_log(&self.closed_for_others) {
                let table = self.table.borrow();
                tracing::info!(
                    closed = self.closed_for_others.get(),
                    connections = table.len(),
                    open_requests = table.open_requests(),
                    "connection limit exceeded: connection closed for another one"
                );
            }
        }
    }

    /// Logs a refused request, and requests the closing of connections whose clients do not read their responses.
    fn on_refused(&self) {
        if count_for_log(&self.refused) {
            tracing::info!(
                refused = self.refused.get(),
                "connection limit exceeded: request refused"
            );
        }
        let unread = self.table.borrow_mut().select_unread(Instant::now());
        self.request_closing(&unread);
    }

    /// Waits until another connection may be accepted, and requests the closing of others until then.
    pub(super) async fn wait_for_capacity(&self) {
        while self.table.borrow().is_full() {
            let selected = self
                .table
                .borrow_mut()
                .select_for_closing(Instant::now(), None);
            self.request_closing(&selected);
            // Without an end, a connection may become eligible for closing with time.
            let _ = timeout(CLOSE_RETRY_INTERVAL, self.ended.notified()).await;
        }
    }

    /// Waits until no connection is open.
    pub(super) async fn wait_until_empty(&self) {
        while !self.table.borrow().is_empty() {
            self.ended.notified().await;
        }
    }
}

/// Counts an event. Returns whether to log it: the first one, the second, the fourth, and so on.
fn count_for_log(count: &Cell<u64>) -> bool {
    count.set(count.get() + 1);
    count.get().is_power_of_two()
}

/// An open connection. Dropping the last reference reports its end.
pub(super) struct TrackedConnection {
    id: ConnectionId,
    connections: Rc<OpenConnections>,
    close_request: Rc<Notify>,
    /// The memory of the responses that are not written completely.
    unwritten: RefCell<Vec<Rc<RequestMemory>>>,
    /// Whether the head of a request has arrived, and its body is being read.
    is_reading_body: Cell<bool>,
    /// Why that request is refused.
    body_refusal: Cell<Option<Refusal>>,
    body_refused: Notify,
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        self.connections.table.borrow_mut().remove(self.id);
        self.connections
            .close_requests
            .borrow_mut()
            .remove(&self.id);
        self.connections.ended.notify_one();
    }
}

impl TrackedConnection {
    fn table(&self) -> RefMut<'_, ConnectionTable> {
        self.connections.table.borrow_mut()
    }

    /// Notes that bytes have arrived.
    pub(super) fn on_bytes_received(&self) {
        self.table().on_bytes_received(self.id, Instant::now());
    }

    /// Notes that a request is complete, and decides whether it is served.
    pub(super) fn on_request_received(&self) -> Admission {
        let admission = self.table().on_request_received(self.id);
        if admission == Admission::Refused {
            self.connections.on_refused();
        }
        admission
    }

    /// Notes that a response is about to be written, and holds its memory until it is.
    pub(super) fn on_response_ready(&self, memory: Rc<RequestMemory>) {
        self.unwritten.borrow_mut().push(memory);
        self.table().on_response_ready(self.id, Instant::now());
    }

    /// Notes that everything to be written has been passed to the socket.
    pub(super) fn on_flushed(&self) {
        self.unwritten.borrow_mut().clear();
        self.table().on_flushed(self.id, Instant::now());
    }

    /// When the connection has to be closed unless its activity changes.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.table().deadline(self.id)
    }

    /// Whether a part of a request has arrived.
    pub(super) fn is_receiving(&self) -> bool {
        self.table().is_receiving(self.id)
    }

    /// Whether a response is being written.
    pub(super) fn is_responding(&self) -> bool {
        self.table().is_responding(self.id)
    }

    /// Whether the connection was selected for closing.
    pub(super) fn is_closing(&self) -> bool {
        self.table().is_closing(self.id)
    }

    /// Whether the response to the open request is the last one.
    pub(super) fn closes_after_response(&self) -> bool {
        self.table().closes_after_response(self.id)
    }

    /// From now on, closes each connection, not only this one, as soon as no request is open on it.
    pub(super) fn start_draining(&self) {
        self.table().start_draining();
    }

    /// Notes that the body of a request is being read, or no longer.
    pub(super) fn set_reading_body(&self, is_reading_body: bool) {
        self.is_reading_body.set(is_reading_body);
    }

    /// Refuses the request whose body is being read. Returns false if there is none, because its head has not arrived
    /// completely.
    pub(super) fn refuse_body(&self, refusal: Refusal) -> bool {
        if self.is_reading_body.get() {
            self.body_refusal.set(Some(refusal));
            self.body_refused.notify_one();
        }
        self.is_reading_body.get()
    }

    /// Waits until the request whose body is being read is refused.
    pub(super) async fn body_refused(&self) -> Refusal {
        loop {
            if let Some(refusal) = self.body_refusal.take() {
                return refusal;
            }
            self.body_refused.notified().await;
        }
    }

    /// Whether an admitted request is open, so that the connection may be closed for another one only after the response.
    pub(super) fn has_admitted_request(&self) -> bool {
        self.table().has_admitted_request(self.id, Instant::now())
    }

    /// Waits until the connection's deadline, which may change meanwhile: it is read again whenever the task is polled.
    pub(super) async fn overdue(&self) {
        let mut timer = Box::pin(sleep_until(Instant::now()));
        poll_fn(|context| {
            let Some(deadline) = self.deadline() else {
                return Poll::Pending;
            };
            if timer.deadline() != deadline {
                timer.as_mut().reset(deadline);
            }
            timer.as_mut().poll(context)
        })
        .await;
    }

    /// Waits until the connection is to be closed for another one. Completes once.
    pub(super) async fn close_requested(&self) {
        self.close_request.notified().await;
    }
}

//! The table of the front's connections: deadlines, admission, and the choice of connections to close for new ones.

use cottonhill_opensearch::front::connections::{Admission, ConnectionId, ConnectionTable};
use std::time::Duration;
use tokio::time::Instant;

const MAX_CONNECTIONS: usize = 4;
/// Connections beyond the limit that are accepted so that their requests can be refused.
const REFUSAL_CONNECTIONS: usize = 16;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const MS: fn(u64) -> Duration = Duration::from_millis;

struct Front {
    table: ConnectionTable,
    now: Instant,
}

impl Front {
    fn new() -> Front {
        Front {
            table: ConnectionTable::new(MAX_CONNECTIONS, IDLE_TIMEOUT),
            now: Instant::now(),
        }
    }

    /// Accepts a connection. Returns its id and the connections that are closed for it.
    fn accept(&mut self) -> (ConnectionId, Vec<ConnectionId>) {
        let id = self.table.open(self.now);
        (id, self.table.select_for_closing(self.now, Some(id)))
    }

    fn receive_request(&mut self, id: ConnectionId) -> Admission {
        self.table.on_bytes_received(id, self.now);
        self.table.on_request_received(id)
    }

    fn respond(&mut self, id: ConnectionId) {
        self.table.on_response_ready(id, self.now);
        self.table.on_flushed(id, self.now);
    }

    fn ms_left(&self, id: ConnectionId) -> Option<u128> {
        let deadline = self.table.deadline(id)?;
        Some(deadline.duration_since(self.now).as_millis())
    }
}

#[test]
fn each_activity_of_a_connection_has_its_deadline() {
    let mut front = Front::new();
    let (id, _) = front.accept();
    front.now += MS(500);
    front.table.on_bytes_received(id, front.now);
    assert_eq!(front.ms_left(id), Some(1_500), "counts from the accept");
    assert_eq!(front.receive_request(id), Admission::Admitted);
    assert_eq!(front.ms_left(id), None, "the query's deadline applies");
    front.table.on_response_ready(id, front.now);
    assert_eq!(front.ms_left(id), Some(5_000));
    front.table.on_flushed(id, front.now);
    assert_eq!(front.ms_left(id), Some(60_000));
    front.now += MS(10_000);
    front.table.on_flushed(id, front.now);
    assert_eq!(front.ms_left(id), Some(50_000), "nothing was written");
    front.table.on_bytes_received(id, front.now);
    front.now += MS(100);
    front.table.on_bytes_received(id, front.now);
    assert_eq!(front.ms_left(id), Some(1_900), "counts from the first byte");
}

#[test]
fn bytes_that_arrive_before_the_response_start_the_next_request() {
    let mut front = Front::new();
    let (id, _) = front.accept();
    front.receive_request(id);
    front.table.on_bytes_received(id, front.now);
    front.respond(id);
    assert_eq!(front.ms_left(id), Some(2_000));
    front.receive_request(id);
    front.respond(id);
    assert_eq!(front.ms_left(id), Some(60_000));
}

#[test]
fn connections_without_a_request_are_closed_before_idle_ones_and_those_before_new_ones() {
    let mut front = Front::new();
    let (idle, _) = front.accept();
    front.receive_request(idle);
    front.respond(idle);
    let (idle_for_less, _) = front.accept();
    front.now += MS(1);
    front.receive_request(idle_for_less);
    front.respond(idle_for_less);
    let (unused, _) = front.accept();
    front.now += MS(300);
    let (new, _) = front.accept();
    assert_eq!(front.accept().1, [unused]);
    assert_eq!(front.accept().1, [idle]);
    assert_eq!(front.accept().1, [idle_for_less]);
    // All that are left may send their first request yet.
    for _ in front.table.len()..MAX_CONNECTIONS + REFUSAL_CONNECTIONS + 3 {
        assert!(front.accept().1.is_empty());
    }
    assert_eq!(front.accept().1, [new]);
}

/// Guards against a request that is cut for another client while there are connections between requests to close.
#[test]
fn connections_with_a_part_of_a_request_are_closed_after_all_others_but_new_ones() {
    let mut front = Front::new();
    let (receiving, _) = front.accept();
    front.receive_request(receiving);
    front.respond(receiving);
    let (idle, _) = front.accept();
    front.receive_request(idle);
    front.respond(idle);
    let (incomplete, _) = front.accept();
    front.table.on_bytes_received(incomplete, front.now);
    front.now += MS(300);
    front.table.on_bytes_received(receiving, front.now);
    front.now += MS(300);
    front.accept();
    assert_eq!(front.accept().1, [idle]);
    assert_eq!(front.accept().1, [incomplete]);
    assert!(front.table.is_receiving(incomplete), "it is refused first");
    assert_eq!(front.accept().1, [receiving]);
    assert!(front.accept().1.is_empty(), "all others are new");
}

/// Guards against a client that keeps its connection because a part of its next request has always arrived.
#[test]
fn a_request_behind_the_one_that_crossed_the_close_for_another_client_is_refused_at_once() {
    let mut front = Front::new();
    let (id, _) = front.accept();
    front.table.on_bytes_received(id, front.now);
    front.now += MS(300);
    for _ in 1..MAX_CONNECTIONS {
        front.accept();
    }
    assert_eq!(front.accept().1, [id]);
    assert!(front.table.is_closing(id));
    front.receive_request(id);
    front.table.on_bytes_received(id, front.now);
    front.respond(id);
    assert!(front.table.is_receiving(id));
    assert_eq!(front.ms_left(id), Some(0));
}

/// Guards against a shutdown that ends connections in the middle of a request, or waits for those without one.
#[test]
fn draining_closes_connections_without_a_request_and_receives_begun_requests() {
    let mut front = Front::new();
    let (silent, _) = front.accept();
    let (idle, _) = front.accept();
    front.receive_request(idle);
    front.respond(idle);
    let (receiving, _) = front.accept();
    front.table.on_bytes_received(receiving, front.now);
    let (serving, _) = front.accept();
    front.receive_request(serving);
    assert!(!front.table.closes_after_response(serving));
    front.now += MS(500);
    front.table.start_draining();
    for id in [silent, idle] {
        let deadline = front.table.deadline(id);
        assert!(deadline.is_some_and(|deadline| deadline <= front.now));
    }
    assert_eq!(front.ms_left(receiving), Some(1_500));
    assert!(front.table.closes_after_response(serving));
    front.table.on_bytes_received(serving, front.now);
    assert!(
        !front.table.closes_after_response(serving),
        "the next request has begun"
    );
    front.respond(serving);
    assert!(front.table.is_receiving(serving));
    assert_eq!(front.receive_request(serving), Admission::Admitted);
    assert!(front.table.closes_after_response(serving));
    // A new connection may have its first request in the socket already.
    let (new, _) = front.accept();
    assert_eq!(front.ms_left(new), Some(10));
}

#[test]
fn connections_with_an_open_request_are_never_closed_for_others() {
    let mut front = Front::new();
    let served: Vec<ConnectionId> = (0..MAX_CONNECTIONS).map(|_| front.accept().0).collect();
    for id in &served {
        assert_eq!(front.receive_request(*id), Admission::Admitted);
    }
    front.table.on_response_ready(served[0], front.now);
    front.now += MS(1_000);
    for _ in 0..100 {
        let (newest, closed) = front.accept();
        assert!(closed.iter().all(|id| !served.contains(id)));
        assert_eq!(front.receive_request(newest), Admission::Refused);
        front.respond(newest);
        for id in closed {
            front.table.remove(id);
        }
        assert!(!front.table.is_full(), "others can still connect");
        front.now += MS(300);
    }
    front.table.on_flushed(served[0], front.now);
    let (newest, _) = front.accept();
    assert_eq!(front.receive_request(newest), Admission::Admitted);
}

#[test]
fn a_request_that_arrives_after_its_connection_was_selected_for_closing_is_served() {
    let mut front = Front::new();
    let ids: Vec<ConnectionId> = (0..MAX_CONNECTIONS).map(|_| front.accept().0).collect();
    front.now += MS(300);
    assert_eq!(front.accept().1, [ids[0]]);
    assert!(!front.table.has_admitted_request(ids[0], front.now));
    assert_eq!(front.receive_request(ids[0]), Admission::Admitted);
    assert!(
        front.table.has_admitted_request(ids[0], front.now),
        "closed only after its response"
    );
    front.respond(ids[0]);
    assert!(!front.table.has_admitted_request(ids[0], front.now));
}

#[test]
fn connections_are_closed_also_while_none_can_be_accepted() {
    let mut front = Front::new();
    while !front.table.is_full() {
        let (id, closed) = front.accept();
        assert!(closed.is_empty() || id as usize > MAX_CONNECTIONS + REFUSAL_CONNECTIONS);
    }
    assert!(
        front.table.select_for_closing(front.now, None).is_empty(),
        "one was selected"
    );
    front.now += MS(300);
    let closed = front.table.select_for_closing(front.now, None);
    assert_eq!(closed.len(), REFUSAL_CONNECTIONS);
}

#[test]
fn a_client_that_does_not_read_its_refusal_is_closed_for_others() {
    let mut front = Front::new();
    let served: Vec<ConnectionId> = (0..MAX_CONNECTIONS).map(|_| front.accept().0).collect();
    for id in &served {
        front.receive_request(*id);
    }
    let (not_reading, closed) = front.accept();
    assert!(closed.is_empty());
    assert_eq!(front.receive_request(not_reading), Admission::Refused);
    front.table.on_response_ready(not_reading, front.now);
    assert_eq!(front.accept().1, [not_reading]);
}

#[test]
fn clients_that_do_not_read_admitted_responses_are_closed_once_requests_are_refused() {
    let mut front = Front::new();
    let served: Vec<ConnectionId> = (0..MAX_CONNECTIONS).map(|_| front.accept().0).collect();
    for id in &served {
        front.receive_request(*id);
    }
    front.table.on_response_ready(served[0], front.now);
    front.now += MS(249);
    assert!(front.table.select_unread(front.now).is_empty());
    assert!(front.table.has_admitted_request(served[0], front.now));
    front.now += MS(1);
    assert_eq!(front.table.select_unread(front.now), [served[0]]);
    assert!(!front.table.has_admitted_request(served[0], front.now));
    assert!(
        front.table.select_unread(front.now).is_empty(),
        "selected once"
    );
    assert!(
        front.table.has_admitted_request(served[1], front.now),
        "still being served"
    );
}

#[test]
fn a_client_that_sends_requests_ahead_holds_one_place() {
    let mut front = Front::new();
    let served: Vec<ConnectionId> = (0..MAX_CONNECTIONS).map(|_| front.accept().0).collect();
    for id in &served {
        front.receive_request(*id);
    }
    // The response to the first request is not written completely when the second one is read.
    front.table.on_response_ready(served[0], front.now);
    assert_eq!(front.receive_request(served[0]), Admission::Admitted);
    assert_eq!(front.table.open_requests(), MAX_CONNECTIONS);
}

//! Requests of clients, and the replies to them.

use super::{Harness, DEFAULT_TIMEOUT_MS, MS};
use bytes::Bytes;
use cottonhill_mixer::protocol::query_json::{ClientRequest, PartRequest, QueryRequest, Reply};
use cottonhill_mixer::reducer::{ClientId, Input};

/// Parts with these weights, on shards 0, 1, ...
fn parts_of_weights(weights: &[f64]) -> Vec<PartRequest> {
    weights
        .iter()
        .zip(0..)
        .map(|(weight, shard)| PartRequest {
            shard,
            weight: *weight,
            work: None,
        })
        .collect()
}

fn single_part(shard: u32) -> Vec<PartRequest> {
    vec![PartRequest {
        shard,
        weight: 1.0,
        work: None,
    }]
}

/// A query of class 1 with a timeout of 5 s and one part, on shard 0.
pub fn query_request(request_id: &str) -> QueryRequest {
    QueryRequest {
        request_id: request_id.to_string(),
        class: 1,
        tenant: 0,
        timeout: DEFAULT_TIMEOUT_MS * MS,
        client_retry: false,
        idempotency_key: None,
        parts: single_part(0),
        text: Bytes::from_static(b"c41e77d0"),
    }
}

impl Harness {
    pub fn connect_client(&mut self) -> ClientId {
        self.last_client += 1;
        let client = self.last_client;
        self.apply(Input::ClientOpened { client });
        client
    }

    /// Sends a query from a frontend.
    pub fn send_frontend_query(&mut self, class: u16, weights: &[f64]) -> ClientId {
        self.last_client += 1;
        let client = self.last_client;
        self.apply(Input::FrontendClientOpened { client });
        self.send_query_from(client, class, weights, DEFAULT_TIMEOUT_MS);
        client
    }

    pub fn disconnect_client(&mut self, client: ClientId) {
        self.disconnected_clients.insert(client);
        self.apply(Input::ClientClosed { client });
    }

    /// Disconnects one of the clients that have connected so far, unless it is disconnected already.
    pub fn disconnect_random_client(&mut self, random_value: u64) {
        if self.last_client > 0 {
            let client = 1 + random_value % self.last_client;
            if !self.disconnected_clients.contains(&client) {
                self.disconnect_client(client);
            }
        }
    }

    /// Sends a query from a new client, with parts of these weights on shards 0, 1, ...
    pub fn send_query(&mut self, class: u16, weights: &[f64]) -> ClientId {
        let client = self.connect_client();
        self.send_query_from(client, class, weights, DEFAULT_TIMEOUT_MS);
        client
    }

    pub fn send_query_from(
        &mut self,
        client: ClientId,
        class: u16,
        weights: &[f64],
        timeout_ms: u64,
    ) {
        let query = QueryRequest {
            class,
            timeout: timeout_ms * MS,
            parts: parts_of_weights(weights),
            ..query_request(&format!("q{client}"))
        };
        self.send_request(client, query);
    }

    pub fn send_single_shard_query(&mut self, client: ClientId, shard: u32) {
        let query = self.single_shard_query(client, shard);
        self.apply(query);
    }

    pub fn send_request(&mut self, client: ClientId, query: QueryRequest) {
        let request = self.request_received(client, query);
        self.apply(request);
    }

    /// The input of a query with parts of these weights; the caller applies it.
    pub fn query_input(&mut self, client: ClientId, class: u16, weights: &[f64]) -> Input {
        let query = QueryRequest {
            class,
            parts: parts_of_weights(weights),
            ..query_request(&format!("q{client}"))
        };
        self.request_received(client, query)
    }

    /// The inputs of a client that connects and sends a query to one shard; the caller applies them.
    pub fn new_client_inputs(&mut self, client: ClientId, shard: u32) -> [Input; 2] {
        [
            Input::ClientOpened { client },
            self.single_shard_query(client, shard),
        ]
    }

    fn single_shard_query(&mut self, client: ClientId, shard: u32) -> Input {
        let query = QueryRequest {
            parts: single_part(shard),
            ..query_request(&format!("q{client}"))
        };
        self.request_received(client, query)
    }

    fn request_received(&mut self, client: ClientId, query: QueryRequest) -> Input {
        self.replies.entry(client).or_default();
        Input::RequestReceived {
            client,
            received_at: self.now,
            request: Ok(ClientRequest::Query(query)),
        }
    }

    /// Sends a readiness request, as a load balancer does.
    pub fn is_ready(&mut self) -> bool {
        let client = self.connect_client();
        self.apply(Input::RequestReceived {
            client,
            received_at: self.now,
            request: Ok(ClientRequest::Ready),
        });
        self.last_reply(client) == Some(&Reply::Ready(true))
    }

    pub fn last_reply(&self, client: ClientId) -> Option<&Reply> {
        self.replies
            .get(&client)
            .and_then(|replies| replies.last())
            .map(|sent| &sent.reply)
    }

    /// Whether the client's last reply is a complete answer.
    pub fn is_answered_completely(&self, client: ClientId) -> bool {
        matches!(
            self.last_reply(client),
            Some(Reply::Answer { complete: true, .. })
        )
    }

    /// Whether the client's last reply is a rejection with a Retry-After of 1 ns to 500 ms.
    pub fn is_rejected_with_retry_after(&self, client: ClientId) -> bool {
        matches!(
            self.last_reply(client),
            Some(Reply::Rejected { retry_after: Some(delay) }) if (1..=500 * MS).contains(delay)
        )
    }
}

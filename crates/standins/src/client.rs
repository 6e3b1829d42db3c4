//! Client connection to a mixer: sends queries with a timeout and reports the outcome of each attempt.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A query as a client sends it, in one or more attempts.
#[derive(Clone, Debug)]
pub struct Query {
    pub class: String,
    pub tenant: String,
    /// Shards and their weights.
    pub parts: Vec<(u32, f64)>,
    pub text: String,
    /// Idempotency key.
    pub key: Option<String>,
}

/// Parts of equal weight over `count` consecutive shards from `first` on, wrapping around at `shards`.
pub fn consecutive_parts(first: u32, count: u32, shards: u32) -> Vec<(u32, f64)> {
    (0..count)
        .map(|i| ((first + i) % shards, 1.0 / f64::from(count)))
        .collect()
}

/// One attempt of a query.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    pub id: &'a str,
    pub retry: bool,
    /// Timeout that is sent to the mixer.
    pub timeout: Duration,
    /// Additional time that the client waits for a late answer.
    pub extra_wait: Duration,
}

/// Outcome of an attempt for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// Whether the answer is complete, and the shards with their values.
    Answer(bool, Vec<(u32, String)>),
    /// Refused, with the delay after which to retry.
    Refused(Option<Duration>),
    /// Any other answer, with its HTTP status.
    Failed(u16),
    /// No answer: the connection broke or could not be opened.
    ConnectionLost,
    /// No answer within the timeout and the additional wait.
    TimedOut,
}

struct OpenConnection {
    send: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

/// Status, body, and the delay after which to retry.
pub type RawResponse = (u16, Bytes, Option<Duration>);

/// A connection to one mixer, opened on demand.
pub struct Connection {
    pub mixer: SocketAddr,
    open: Option<OpenConnection>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}

impl Connection {
    pub fn new(mixer: SocketAddr) -> Connection {
        Connection { mixer, open: None }
    }

    /// Switches to another mixer.
    pub fn switch_to(&mut self, mixer: SocketAddr) {
        if self.mixer != mixer {
            self.close();
            self.mixer = mixer;
        }
    }

    /// Whether the connection is open, as far as the client knows.
    pub fn is_open(&self) -> bool {
        self.open
            .as_ref()
            .is_some_and(|open| !open.send.is_closed())
    }

    fn close(&mut self) {
        if let Some(open) = self.open.take() {
            open.task.abort();
        }
    }

    /// Makes one attempt. A connection that the mixer has closed meanwhile is reopened first.
    pub async fn send_query(&mut self, query: &Query, attempt: &Attempt<'_>) -> AttemptOutcome {
        match timeout(
            attempt.timeout + attempt.extra_wait,
            self.exchange(query, attempt),
        )
        .await
        {
            Ok(Some((200, body, _))) => parse_answer(&body).unwrap_or(AttemptOutcome::Failed(200)),
            Ok(Some((429 | 503, _, retry_after))) => AttemptOutcome::Refused(retry_after),
            Ok(Some((status, ..))) => AttemptOutcome::Failed(status),
            Ok(None) => {
                self.close();
                AttemptOutcome::ConnectionLost
            }
            Err(_) => {
                self.close();
                AttemptOutcome::TimedOut
            }
        }
    }

    async fn exchange(&mut self, query: &Query, attempt: &Attempt<'_>) -> Option<RawResponse> {
        let part = |(shard, weight): &(u32, f64)| json!({"shard": shard, "weight": weight});
        let shards: Vec<Value> = query.parts.iter().map(part).collect();
        let body = json!({"shards": shards, "q": query.text}).to_string();
        let mut request = Request::post(format!("/{}", query.class))
            .header("Host", "mixer")
            .header("X-Request-ID", attempt.id)
            .header("X-Tenant-Id", &query.tenant)
            .header("X-Timeout", format!("{}m", attempt.timeout.as_millis()));
        if let Some(key) = &query.key {
            request = request.header("Idempotency-Key", key);
        }
        if attempt.retry {
            request = request.header("X-Retried", "1");
        }
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        self.send_request(request).await
    }

    /// Sends any request and returns its response.
    pub async fn send_request(&mut self, request: Request<Full<Bytes>>) -> Option<RawResponse> {
        if self.open.as_ref().is_none_or(|open| open.send.is_closed()) {
            self.close();
            let stream = TcpStream::connect(self.mixer).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (send, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            self.open = Some(OpenConnection { send, task });
        }
        let send = &mut self.open.as_mut()?.send;
        send.ready().await.ok()?;
        let answer = send.send_request(request).await.ok()?;
        let retry_after = answer
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some((
            status,
            body,
            retry_after.map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 60.0))),
        ))
    }
}

fn parse_answer(body: &[u8]) -> Option<AttemptOutcome> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let hit = |hit: &Value| {
        Some((
            hit["shard"].as_u64()? as u32,
            hit["doc"].as_str()?.to_string(),
        ))
    };
    let hits = body["hits"]
        .as_array()?
        .iter()
        .map(hit)
        .collect::<Option<_>>()?;
    Some(AttemptOutcome::Answer(body["complete"].as_bool()?, hits))
}

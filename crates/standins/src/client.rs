//! A client of the mixers: asks, gives up in time, comes back when it is refused, and writes down what it got.

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

/// What a client wants to know.
#[derive(Clone, Debug)]
pub struct Question {
    pub class: String,
    pub tenant: String,
    /// Shards and their weights.
    pub parts: Vec<(u32, f64)>,
    pub text: String,
    /// The client's own name for this use.
    pub key: Option<String>,
}

/// Parts over `width` shards in a row from `first`, of equal weight, wrapping at `shards`.
pub fn spread(first: u32, width: u32, shards: u32) -> Vec<(u32, f64)> {
    (0..width)
        .map(|i| ((first + i) % shards, 1.0 / f64::from(width)))
        .collect()
}

/// One try of a question.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    pub id: &'a str,
    pub retry: bool,
    /// How long it tells the mixer that it waits.
    pub wait: Duration,
    /// How much longer it does, should the answer be late.
    pub grace: Duration,
}

/// How a try ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    /// Complete or not, with the shards and their values.
    Answer(bool, Vec<(u32, String)>),
    /// With the time after which to come back.
    Refused(Option<Duration>),
    /// Any other answer, by its status.
    Failed(u16),
    /// No answer: the connection broke or never came up.
    Lost,
    /// No answer within the wait.
    TimedOut,
}

struct Open {
    send: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

/// A status, a body, and when to come back.
pub type Received = (u16, Bytes, Option<Duration>);

/// One connection to one mixer, opened as it is needed.
pub struct Connection {
    pub mixer: SocketAddr,
    open: Option<Open>,
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

    /// Turns to another mixer.
    pub fn turn_to(&mut self, mixer: SocketAddr) {
        if self.mixer != mixer {
            self.close();
            self.mixer = mixer;
        }
    }

    fn close(&mut self) {
        if let Some(open) = self.open.take() {
            open.task.abort();
        }
    }

    /// Asks once. A connection that the mixer has closed before it took anything is opened anew.
    pub async fn ask(&mut self, question: &Question, attempt: &Attempt<'_>) -> Got {
        match timeout(
            attempt.wait + attempt.grace,
            self.exchange(question, attempt),
        )
        .await
        {
            Ok(Some((200, body, _))) => answer(&body).unwrap_or(Got::Failed(200)),
            Ok(Some((429 | 503, _, after))) => Got::Refused(after),
            Ok(Some((status, ..))) => Got::Failed(status),
            Ok(None) => {
                self.close();
                Got::Lost
            }
            Err(_) => {
                self.close();
                Got::TimedOut
            }
        }
    }

    async fn exchange(&mut self, question: &Question, attempt: &Attempt<'_>) -> Option<Received> {
        let part = |(shard, weight): &(u32, f64)| json!({"shard": shard, "weight": weight});
        let shards: Vec<Value> = question.parts.iter().map(part).collect();
        let body = json!({"shards": shards, "q": question.text}).to_string();
        let mut request = Request::post(format!("/{}", question.class))
            .header("Host", "mixer")
            .header("X-Request-ID", attempt.id)
            .header("X-Tenant-Id", &question.tenant)
            .header("X-Timeout", format!("{}m", attempt.wait.as_millis()));
        if let Some(key) = &question.key {
            request = request.header("Idempotency-Key", key);
        }
        if attempt.retry {
            request = request.header("X-Retried", "1");
        }
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        self.send(request).await
    }

    /// Sends a request of any kind: the status, the body, and when to come back.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<Received> {
        if self.open.as_ref().is_none_or(|open| open.send.is_closed()) {
            self.close();
            let stream = TcpStream::connect(self.mixer).await.ok()?;
            let _ = stream.set_nodelay(true);
            let (send, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            self.open = Some(Open { send, task });
        }
        let send = &mut self.open.as_mut()?.send;
        send.ready().await.ok()?;
        let answer = send.send_request(request).await.ok()?;
        let after = answer
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some((
            status,
            body,
            after.map(|after| Duration::from_secs_f64(after.clamp(0.0, 60.0))),
        ))
    }
}

fn answer(body: &[u8]) -> Option<Got> {
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
    Some(Got::Answer(body["complete"].as_bool()?, hits))
}

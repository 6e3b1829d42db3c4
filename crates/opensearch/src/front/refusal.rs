//! The refusal of a request that has not arrived completely, because its connection has to be closed.

use crate::response::{self, RestResponse};
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// The delay after which a client may retry a request that was refused because of its connection.
pub(super) const RETRY_DELAY: Duration = Duration::from_secs(1);
/// A response that is not written by hyper must be written within this time.
const WRITE_TIMEOUT: Duration = Duration::from_millis(250);

/// Why a request is refused that has not arrived completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// It took too long to arrive.
    TimedOut,
    /// Its connection is closed, for another one or because the mixer exits. The request has had no effect.
    ConnectionClosing,
}

impl Refusal {
    /// The response to the request.
    pub(super) fn response(self) -> RestResponse {
        match self {
            Refusal::TimedOut => {
                response::error(408, "timeout_exception", "the request took too long")
            }
            Refusal::ConnectionClosing => response::rejected(Some(RETRY_DELAY)),
        }
    }

    fn reason_phrase(self) -> &'static str {
        match self {
            Refusal::TimedOut => "Request Timeout",
            Refusal::ConnectionClosing => "Too Many Requests",
        }
    }

    /// Writes the response to a request whose head has not arrived completely, so that hyper can't respond.
    pub(super) async fn write_to<S: AsyncWrite + Unpin>(self, stream: &mut S) {
        let response = self.response();
        let body = serde_json::to_vec(&response.body).unwrap_or_default();
        let head = format!(
            "HTTP/1.1 {} {}\r\ncontent-type: application/json; charset=UTF-8\r\ncontent-length: {}\r\n\
             connection: close\r\n\r\n",
            response.status,
            self.reason_phrase(),
            body.len()
        );
        let bytes = [head.into_bytes(), body].concat();
        let write = async {
            stream.write_all(&bytes).await?;
            stream.flush().await
        };
        // If the client does not read, the connection is closed without the response.
        let _ = timeout(WRITE_TIMEOUT, write).await;
    }
}

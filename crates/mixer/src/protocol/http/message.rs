//! Requests, responses, and the errors of rejected requests.

use bytes::Bytes;
use cottonhill_decisions::Nanos;

/// Memory of a header field besides its text: two strings, and what the allocator adds to each.
const HEADER_BYTES: usize = 2 * (std::mem::size_of::<String>() + 16);

/// The reason why a request is rejected, with the status of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The HTTP status.
    pub status: u16,
    /// The reason in the response's body; for status 405, the allowed method instead.
    pub reason: &'static str,
}

impl RequestError {
    /// 400: the request is malformed.
    pub const fn bad_request(reason: &'static str) -> RequestError {
        RequestError {
            status: 400,
            reason,
        }
    }

    /// 404: there is no resource at this path.
    pub const fn not_found(reason: &'static str) -> RequestError {
        RequestError {
            status: 404,
            reason,
        }
    }

    /// 405: the resource supports only the method `allowed`.
    pub const fn method_not_allowed(allowed: &'static str) -> RequestError {
        RequestError {
            status: 405,
            reason: allowed,
        }
    }

    /// 408: the request was not complete within the time limit.
    pub const fn timed_out() -> RequestError {
        RequestError {
            status: 408,
            reason: "the request took too long",
        }
    }

    /// 413: the body is larger than [`super::MAX_BODY_BYTES`].
    pub const fn body_too_large() -> RequestError {
        RequestError {
            status: 413,
            reason: "body too large",
        }
    }

    /// 503: the memory for requests that are being received is used by others. The request has had no effect.
    pub const fn out_of_memory() -> RequestError {
        RequestError {
            status: 503,
            reason: "too many large requests at once, try again",
        }
    }

    /// 503: the connection has to be closed before the request is complete. The request has had no effect.
    pub const fn closed_before_complete() -> RequestError {
        RequestError {
            status: 503,
            reason: "the connection is closed before the request was complete, try again",
        }
    }

    /// 431: the head is larger than [`super::MAX_HEAD_BYTES`] or has too many header fields.
    pub const fn head_too_large() -> RequestError {
        RequestError {
            status: 431,
            reason: "head too large",
        }
    }
}

/// A complete request, including its body.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The request target, including the query string.
    pub path: String,
    /// The header fields in their order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether the client allows another request on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// Number of bytes that the request holds in memory.
    pub fn held_bytes(&self) -> usize {
        let header_bytes: usize = self
            .headers
            .iter()
            .map(|(name, value)| HEADER_BYTES + name.len() + value.len())
            .sum();
        self.method.len() + self.path.len() + header_bytes + self.body.len()
    }

    /// Returns the value of the first header field with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header_name, _)| header_name == name)
            .map(|(_, value)| value.as_str())
    }
}

/// A complete response with a JSON body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// `Retry-After` in nanoseconds; it is rounded up to milliseconds in the encoded response.
    pub retry_after: Option<Nanos>,
    /// `Allow`: the allowed method.
    pub allow: Option<&'static str>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether to close the connection after the response.
    pub close: bool,
}

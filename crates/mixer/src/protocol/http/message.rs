//! Requests, responses, and why a request is rejected.

use bytes::Bytes;
use cottonhill_decisions::Nanos;

/// Why a request is rejected, and the status of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// The HTTP status.
    pub status: u16,
    /// The reason in the response's body; with 405, the method that is allowed.
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

    /// 404: no resource has this path.
    pub const fn not_found(reason: &'static str) -> RequestError {
        RequestError {
            status: 404,
            reason,
        }
    }

    /// 405: the resource allows only the method `allowed`.
    pub const fn method_not_allowed(allowed: &'static str) -> RequestError {
        RequestError {
            status: 405,
            reason: allowed,
        }
    }

    /// 408: the request was not complete in time.
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

    /// 431: the head is larger than [`super::MAX_HEAD_BYTES`] or has too many fields.
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
    /// The request target as sent, with its query string.
    pub path: String,
    /// The header fields in order, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// The client allows another request on this connection.
    pub keep_alive: bool,
}

impl Request {
    /// The value of the first header field of this name, which has to be in lower case.
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
    /// `Retry-After`, in nanoseconds; rounded up to milliseconds when it is written.
    pub retry_after: Option<Nanos>,
    /// `Allow`: the method that is allowed.
    pub allow: Option<&'static str>,
    /// The body.
    pub body: Vec<u8>,
    /// Closes the connection after it.
    pub close: bool,
}

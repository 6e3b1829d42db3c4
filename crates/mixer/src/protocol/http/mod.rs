//! HTTP/1.1 as far as the mixer needs it: a server codec for whole requests, and a client codec for one watch.

mod body;
mod framing;
mod message;
mod request_head;
mod server_codec;
mod watch_codec;

pub use message::{Request, RequestError, Response};
pub use server_codec::ServerCodec;
pub use watch_codec::{WatchCodec, WatchRejected, WatchRequest};

/// Bytes of the largest request body that is accepted.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of the largest head that is accepted; it has to fit in one buffer of the pool.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Header fields that a head may have.
const MAX_HEADERS: usize = 64;

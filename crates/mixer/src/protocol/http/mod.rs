//! The subset of HTTP/1.1 that the mixer needs: a server codec for complete requests, and a client codec for one watch.

mod body;
mod framing;
mod message;
mod request_head;
mod server_codec;
mod watch_codec;

pub use message::{Request, RequestError, Response};
pub use server_codec::{render_head, ServerCodec};
pub use watch_codec::{WatchCodec, WatchRejected, WatchRequest};

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a message head in bytes; a head must fit in one buffer of the pool.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of header fields in a head.
const MAX_HEADERS: usize = 64;

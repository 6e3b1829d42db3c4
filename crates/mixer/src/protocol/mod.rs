//! Messages and their codecs; no sockets and no state beyond the message being read. Everything that comes
//! from outside is checked here: what passes is safe to act on.

pub mod endpoint_updates;
pub mod http;
pub mod leaf_frames;
pub mod query_json;

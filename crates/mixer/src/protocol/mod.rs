//! Messages and their codecs, without sockets and with no state beyond the message that is being read. All outside
//! input is validated here: what passes is safe to act on.

pub mod endpoint_updates;
pub mod http;
pub mod leaf_frames;
pub mod query_json;

//! Messages and their codecs, without sockets. Parsing and rendering of messages is stateless; only the stream codecs
//! (`LeafCodec`, `ServerCodec`, `WatchCodec`) have decoder state, each for one connection: the part of a message that
//! has been read, or that all further input is discarded after a malformed message. All external input except load
//! reports is validated here, so other modules may rely on parsed messages; the reducer parses the load reports.

pub mod endpoint_updates;
pub mod http;
pub mod leaf_frames;
pub mod query_json;

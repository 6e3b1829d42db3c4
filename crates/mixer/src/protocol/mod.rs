//! Messages and their codecs, without sockets. Messages are parsed and rendered without state; only the codecs
//! of streams (`LeafCodec`, `ServerCodec`, `WatchCodec`) keep decoder state, each for one connection: how much of a
//! message has been read, or whether all further input is discarded after a malformed message. All outside input is
//! validated here: what passes is safe to act on.

pub mod endpoint_updates;
pub mod http;
pub mod leaf_frames;
pub mod query_json;

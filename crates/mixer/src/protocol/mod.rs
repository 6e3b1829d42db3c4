//! Messages and their codecs; no sockets and no state beyond the message being read. Everything that comes
//! from outside is checked here: what passes is safe to act on.

pub mod discovery;
pub mod http;
pub mod leaf;
pub mod query;

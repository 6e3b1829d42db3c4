//! Stand-ins for what a mixer works with, on loopback: leaf servers, discovery, clients, a receiver of documents;
//! and whole installations of real mixers among them, for demonstrations and proofs. Written from the protocol's
//! description; never linked into the mixer.

pub mod client;
pub mod discovery;
pub mod installation;
pub mod leaf;
pub mod process;
pub mod receiver;
pub mod search;

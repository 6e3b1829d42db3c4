//! Test bed for mixers on loopback: stand-in leaf servers, discovery, clients and a receiver of exported documents, and
//! local clusters of real mixer processes for demonstrations and end-to-end tests. It is written from the protocol's
//! description and never linked into the mixer.

pub mod client;
pub mod cluster;
pub mod discovery;
pub mod leaf;
pub mod process;
pub mod receiver;
pub mod search;

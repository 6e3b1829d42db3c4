//! Test bed for mixers on loopback: stand-in leaf servers, discovery, clients and a receiver of exported documents, and
//! local clusters of real mixer processes for demonstrations and end-to-end tests. The library is written from the
//! protocol's description and shares no code with the mixer; of the test programs, `cottonhill-prove-ledger` uses its
//! key functions.

pub mod client;
pub mod cluster;
pub mod discovery;
pub mod leaf;
pub mod process;
pub mod receiver;
pub mod search;

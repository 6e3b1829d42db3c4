//! The reducer: all state of the mixer and every change to it. Inputs go in one by one, effects come out; no
//! socket and no clock is touched here. The decisions come from [`crate::Coordinator`], once a turn.

mod backoff;
pub mod counters;
pub mod link;
pub mod messages;
pub mod replica_table;
pub mod replicas;
mod state;
pub mod usage;
pub mod watching;

pub use messages::{ClientId, Effect, Input, LinkId};
pub use state::State;
pub use watching::Watching;

//! The reducer: all state of the mixer and every change to it. Inputs go in one by one, effects come out; no
//! socket and no clock is touched here. The decisions come from [`crate::Coordinator`], once a turn.

mod backoff;
pub mod counters;
mod descriptor_budget;
pub mod effect;
pub mod input;
pub mod leaf_connection;
mod lifecycle;
mod probes;
pub mod replica_table;
pub mod replicas;
mod state;
mod timers;
pub mod usage;
pub mod watch_policy;

pub use effect::Effect;
pub use input::{ClientId, ConnectionId, Input, UpdateFault, WatchEvent};
pub use state::Reducer;
pub use watch_policy::WatchPolicy;

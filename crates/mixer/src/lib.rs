//! The mixer apart from its decision logic, which is the crate `cottonhill_decisions`: configuration, protocols, the
//! reducer that owns all state, and the transport.

#![warn(missing_docs)]

pub mod config;
mod log_targets;
pub mod protocol;
pub mod reducer;
pub mod transport;

pub use config::settings;
pub use cottonhill_decisions::Coordinator;

//! The mixer around the decisions: its configuration and settings, the protocols that it speaks, the reducer that
//! holds all its state, and the sockets.

pub mod config;
mod log_targets;
pub mod protocol;
pub mod reducer;
pub mod settings;
pub mod transport;

pub use cottonhill_decisions::Coordinator;

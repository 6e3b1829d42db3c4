#![doc = include_str!("../README.md")]

pub mod choice;
pub mod interface;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod settings;
pub mod transport;

pub use choice::Coordinator;

//! Measurements of the mixer against the size it is planned for.
//!
//! [`scale`] steps one size at a time and fits a slope to what each size costs; [`hollow`] runs mixers without clients
//! over sockets; [`report`] is what every run writes.
//! Figures come from one machine and are called so: ratios within one run carry the argument.

pub mod failure;
pub mod fit;
pub mod hollow;
pub mod logs;
pub mod machine;
pub mod markdown;
pub mod meter;
pub mod output;
pub mod plot;
pub mod report;
pub mod scale;
pub mod settings;
pub mod units;

pub use failure::Failure;

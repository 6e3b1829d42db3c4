//! Measurements of the mixer at the fleet size that it is planned for.
//!
//! [`scale`] varies one size at a time and fits a line to the cost by size; [`hollow`] runs mixers without clients
//! over sockets; [`report`] defines the report of the scale runs.
//! All figures come from a single machine, so conclusions rest on ratios within one run, not on absolute times.

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

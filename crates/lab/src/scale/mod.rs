//! `cottonhill-lab scale`: series that step one size at a time.

pub mod settings;

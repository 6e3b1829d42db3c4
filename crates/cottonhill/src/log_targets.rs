//! The targets of the crate's log lines. Settings files name them (`[log]` targets), so they stay as they are when
//! modules are renamed or split.

/// Start, reload and shutdown of a mixer.
pub const PROGRAM: &str = "cottonhill::program";
/// Start and reload of the settlement.
pub const COMMANDS: &str = "cottonhill::commands";
/// Listeners of other protocols.
pub const FRONTS: &str = "cottonhill::fronts";

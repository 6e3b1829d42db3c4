//! The targets of the crate's log lines. Settings files name them (`[log]` targets), so they do not follow the names of
//! modules.

/// Start, reload and shutdown of a mixer.
pub const PROGRAM: &str = "cottonhill::program";
/// Start and reload of the settlement.
pub const COMMANDS: &str = "cottonhill::commands";
/// Listeners of the frontends, which serve other protocols than the mixer's own.
pub const FRONTENDS: &str = "cottonhill::fronts";

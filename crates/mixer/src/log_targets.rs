//! The targets of the crate's log lines. Settings files name them (key `targets` of section `log`), so they do not
//! change when modules are renamed or split.

/// Attempts of parts at leaf servers.
pub const ATTEMPTS: &str = "cottonhill_mixer::routing::state::attempts";
/// Clients and their queries, as the reducer sees them.
pub const CLIENTS: &str = "cottonhill_mixer::routing::state::clients";
/// Connections to leaf servers and the endpoint list, as the reducer sees them.
pub const CONNECTIONS: &str = "cottonhill_mixer::routing::state::links";
/// Batches, timers, replies and shutdown.
pub const BATCHES: &str = "cottonhill_mixer::routing::state::turns";
/// The table of replicas.
pub const REPLICAS: &str = "cottonhill_mixer::routing::replicas";
/// Parsing of endpoint updates.
pub const ENDPOINT_UPDATES: &str = "cottonhill_mixer::protocol::discovery";
/// The watch on discovery.
pub const DISCOVERY_WATCH: &str = "cottonhill_mixer::transport::watch";
/// Sockets to leaf servers.
pub const LEAF_CONNECTIONS: &str = "cottonhill_mixer::transport::leaf";
/// Sockets to clients.
pub const CLIENT_CONNECTIONS: &str = "cottonhill_mixer::transport::clients";
/// Datagrams to other mixers.
pub const PEERS: &str = "cottonhill_mixer::transport::peers";
/// The driver: start-up, effects and exit.
pub const TRANSPORT: &str = "cottonhill_mixer::transport";

//! Every decision about queries and parts: admission, load shedding, replica choice, retries and hedging, and when a
//! query is answered or rejected. Events go in, actions come out; the crate does no I/O and reads no clock.

mod actions;
mod coordinator;
mod due_queue;
mod events;
mod ids;
mod judged_parts;
mod open_parts;
mod open_queries;
mod query;
pub mod replica_table;
mod settings;
mod statistics;
mod timing;

pub use actions::Action;
pub use coordinator::Coordinator;
pub use events::{Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport, Outcome};
pub use ids::{Nanos, ReplicaId, RequestId};
pub use settings::{Class, DiscoveryMode, Idempotency, RetryBudget, Settings};

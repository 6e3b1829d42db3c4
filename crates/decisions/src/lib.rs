//! The decision logic for queries and their parts: admission, load shedding, replica choice, retries, hedging, and the
//! time at which a query is answered or rejected. The input is events and the output is actions; the crate does no I/O
//! and reads no clock.
//!
//! [`Coordinator`] applies each batch of events to the modules below. Each module owns the state of one concern.

#![warn(missing_docs)]

mod actions;
mod admission;
mod attempts;
mod batch;
mod client_timeouts;
mod completion;
mod connection_loss;
mod coordinator;
mod endpoint_polling;
mod events;
mod health_check;
mod hedging;
mod ids;
mod latency_estimates;
mod load_shedding;
mod outlier_detection;
mod query_arrival;
mod replica_choice;
mod replica_set;
mod retry;
mod retry_budget;
mod settings;
mod slow_start;
mod tables;
mod timer;
mod timing;
mod weight_cutoff;

pub use actions::Action;
pub use coordinator::Coordinator;
pub use events::{Endpoint, EndpointStatus, EndpointUpdateKind, Event, LoadReport, Outcome};
pub use ids::{Nanos, ReplicaId, RequestId};
pub use settings::{Class, DiscoveryMode, Idempotency, RetryBudget, Settings};
pub use tables::replica_table;

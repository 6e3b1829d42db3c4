//! Data structures that the decision modules read and update: replicas, open queries and statistics. They contain no
//! decision logic.

mod cell_index;
pub(crate) mod due_queue;
pub(crate) mod in_flight;
pub(crate) mod parts_in_flight;
pub(crate) mod query_table;
pub(crate) mod recent_outcomes;
mod replica;
pub mod replica_table;
mod slot;
pub(crate) mod statistics;

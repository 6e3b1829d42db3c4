//! Every decision about queries and parts: admission, selection, replica choice, further attempts, when to answer
//! or refuse. Events go in, actions come out; there is no I/O and no clock in here.

mod coordinator;
mod due_queue;
pub mod interface;
mod judged_parts;
mod open_parts;
mod open_queries;
mod query;
pub mod replica_table;
mod statistics;
mod timing;

pub use coordinator::Coordinator;

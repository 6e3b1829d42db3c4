//! Every decision about queries and parts: admission, selection, replica choice, further attempts, when to answer
//! or refuse. Events go in, actions come out; there is no I/O and no clock in here.

pub mod choice;
pub mod due_queue;
pub mod interface;
pub mod judged_parts;
pub mod open_parts;
mod query;
pub mod replica_table;

pub use choice::Coordinator;

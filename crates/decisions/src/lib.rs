//! Every decision about queries and parts: admission, selection, replica choice, further attempts, when to answer
//! or refuse. Events go in, actions come out; there is no I/O and no clock in here.

pub mod choice;
pub mod interface;

pub use choice::Coordinator;

//! The simulator's wire: binary frames, little-endian, without padding between fields.
//!
//! A frame is a header, records of one size, and a tail that holds what has no fixed size; records point into it by
//! offset and length. `batch` reads frames, `events` decodes their records, `reply` encodes actions, and
//! `vocabulary` is the one place that knows the wire's names and codes as well as ours.

mod batch;
mod events;
mod fields;
mod reply;
mod vocabulary;

pub use batch::Batch;
pub use events::{decode_batch, EndpointLists, Input};
pub use reply::Reply;

/// The number of an instance of the decision module, as the simulator gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u16);

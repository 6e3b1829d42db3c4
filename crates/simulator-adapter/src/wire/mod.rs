//! The simulator's wire format: binary frames (a batch, or the reply to one), little-endian, without padding between
//! fields.
//!
//! A frame has a header, records of a fixed size, and a tail with the data of variable size, to which records refer by
//! offset and length. `batch` reads batches, `events` decodes their records, `reply` encodes actions, and `layout` maps
//! the codes and field positions of the wire to the terms of the decision module.

mod batch;
mod events;
mod fields;
mod layout;
mod reply;

pub use batch::Batch;
pub use events::{decode_batch, EndpointLists, Input};
pub use reply::Reply;

/// The simulator's number of an instance of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u16);

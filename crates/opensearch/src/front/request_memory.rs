//! The memory that a request of the front takes: its body, and the shards' answers until the response is written.

use cottonhill_mixer::transport::{MemoryPool, MemoryReservation};
use hyper::body::SizeHint;
use std::cell::RefCell;

/// The memory of one request, which is released when it is dropped.
pub(super) struct RequestMemory {
    pool: MemoryPool,
    reserved: RefCell<MemoryReservation>,
}

impl RequestMemory {
    /// A request without memory so far.
    pub(super) fn new(pool: &MemoryPool) -> RequestMemory {
        RequestMemory {
            pool: pool.clone(),
            reserved: RefCell::new(pool.reservation()),
        }
    }

    /// Reserves this many bytes more. Returns false if there are too few.
    pub(super) fn reserve(&self, bytes: usize) -> bool {
        let mut reserved = self.reserved.borrow_mut();
        let total = reserved.bytes().saturating_add(bytes);
        reserved.try_resize(total)
    }

    /// Reserves this many bytes until the returned reservation is dropped; `None` if there are too few.
    pub(super) fn reserve_separately(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reserved = self.pool.reservation();
        reserved.try_resize(bytes).then_some(reserved)
    }

    /// Reserves memory for a body, of `max_bytes` if its size is not known.
    pub(super) fn reserve_body(&self, size: &SizeHint, max_bytes: usize) -> bool {
        let size = size.upper().unwrap_or(max_bytes as u64);
        self.reserve((size as usize).min(max_bytes))
    }
}

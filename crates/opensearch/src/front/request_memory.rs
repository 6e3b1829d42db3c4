//! The memory that the requests of the front hold: their bodies, and the shards' answers until the response is written.

use hyper::body::SizeHint;
use std::cell::RefCell;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The unit of reservations, in bytes.
const UNIT_BYTES: usize = 1024;

/// The memory for all requests. Clones refer to the same memory.
#[derive(Clone)]
pub(super) struct FrontMemory(Arc<Semaphore>);

impl FrontMemory {
    /// Memory of `bytes` bytes.
    pub(super) fn new(bytes: usize) -> FrontMemory {
        let units = (bytes / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        FrontMemory(Arc::new(Semaphore::new(units)))
    }

    /// A request that holds no memory yet.
    pub(super) fn request(&self) -> RequestMemory {
        RequestMemory {
            memory: self.clone(),
            reserved: RefCell::default(),
        }
    }
}

/// The memory that one request holds until it is dropped.
pub(super) struct RequestMemory {
    memory: FrontMemory,
    reserved: RefCell<Vec<OwnedSemaphorePermit>>,
}

impl RequestMemory {
    /// Reserves this many bytes more. Returns false if there are too few.
    pub(super) fn reserve(&self, bytes: usize) -> bool {
        let reserved = self.reserve_separately(bytes);
        let is_reserved = reserved.is_some();
        self.reserved.borrow_mut().extend(reserved);
        is_reserved
    }

    /// Reserves this many bytes until the returned reservation is dropped; `None` if there are too few.
    pub(super) fn reserve_separately(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(UNIT_BYTES)).ok()?;
        self.memory.0.clone().try_acquire_many_owned(units).ok()
    }

    /// Reserves memory for a body, of `max_bytes` if its size is not known.
    pub(super) fn reserve_body(&self, size: &SizeHint, max_bytes: usize) -> bool {
        let size = size.upper().unwrap_or(max_bytes as u64);
        self.reserve((size as usize).min(max_bytes))
    }
}

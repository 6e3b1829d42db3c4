//! A limit on the bytes that tasks, of the transport and of the frontends, hold of one kind of data, with reservations that are released when
//! they are dropped.

use crate::reducer::resource_usage::Gauge;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// A number of bytes that several tasks share. Clones refer to the same pool.
#[derive(Clone, Debug)]
pub struct MemoryPool(Rc<PoolState>);

#[derive(Debug)]
struct PoolState {
    limit: usize,
    used: Cell<usize>,
    evictions: Cell<u64>,
    /// Notified when a reservation shrinks.
    released: Notify,
    last_holder: Cell<u64>,
    /// The holders that may be evicted, in the order in which they registered.
    evictable: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

/// No memory is available, and no holder can be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryExhausted;

impl MemoryPool {
    /// Creates a pool of `limit` bytes.
    pub(super) fn new(limit: usize) -> MemoryPool {
        MemoryPool(Rc::new(PoolState {
            limit,
            used: Cell::new(0),
            evictions: Cell::new(0),
            released: Notify::new(),
            last_holder: Cell::new(0),
            evictable: RefCell::default(),
        }))
    }

    /// The reserved bytes and the limit.
    pub(super) fn usage(&self) -> Gauge {
        Gauge {
            held: self.0.used.get(),
            limit: self.0.limit,
        }
    }

    /// Number of holders that were evicted for others.
    pub(super) fn evictions(&self) -> u64 {
        self.0.evictions.get()
    }

    /// A reservation of 0 bytes.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            pool: self.clone(),
            bytes: 0,
        }
    }

    /// Requests the holder that registered first, and was not evicted before, to release its memory. Returns false if
    /// there is none.
    fn evict_oldest(&self) -> bool {
        let Some((_, evicted)) = self.0.evictable.borrow_mut().pop_first() else {
            return false;
        };
        self.0.evictions.set(self.0.evictions.get() + 1);
        evicted.notify_one();
        true
    }
}

/// A number of bytes that one task holds of a pool.
#[derive(Debug)]
pub struct MemoryReservation {
    pool: MemoryPool,
    bytes: usize,
}

impl MemoryReservation {
    /// Number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes. Returns false, without a change, if the pool has too few.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let pool = &self.pool.0;
        let used = (pool.used.get() - self.bytes).saturating_add(bytes);
        if bytes > self.bytes && used > pool.limit {
            return false;
        }
        pool.used.set(used);
        if bytes < self.bytes {
            pool.released.notify_waiters();
        }
        self.bytes = bytes;
        true
    }

    /// Changes the number of bytes; while the pool has too few, evicts the holders that registered first. Cancel safe.
    ///
    /// # Errors
    /// The pool has too few bytes, and there is no holder left to evict.
    pub(super) async fn resize_with_eviction(
        &mut self,
        bytes: usize,
    ) -> Result<(), MemoryExhausted> {
        let pool = self.pool.clone();
        if bytes > pool.0.limit {
            return Err(MemoryExhausted);
        }
        loop {
            let released = pool.0.released.notified();
            if self.try_resize(bytes) {
                return Ok(());
            }
            if !pool.evict_oldest() {
                return Err(MemoryExhausted);
            }
            released.await;
        }
    }

    /// Registers the holder of this reservation as evictable until the returned handle is dropped.
    pub(super) fn evictable(&self) -> EvictableHolder {
        let pool = &self.pool.0;
        let id = pool.last_holder.get() + 1;
        pool.last_holder.set(id);
        let evicted = Rc::new(Notify::new());
        pool.evictable.borrow_mut().insert(id, evicted.clone());
        EvictableHolder {
            pool: self.pool.clone(),
            id,
            evicted,
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.try_resize(0);
    }
}

/// The registration of a holder that releases its memory when others need it.
#[derive(Debug)]
pub(super) struct EvictableHolder {
    pool: MemoryPool,
    id: u64,
    evicted: Rc<Notify>,
}

impl EvictableHolder {
    /// Waits until the holder has to release its memory.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for EvictableHolder {
    fn drop(&mut self) {
        self.pool.0.evictable.borrow_mut().remove(&self.id);
    }
}

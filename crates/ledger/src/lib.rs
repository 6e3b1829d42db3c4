//! Usage accounting by tenant: the usage log of each mixer, its collection, deduplication of client retries, billing
//! periods, statements, corrections and export.
//!
//! A *usage record* describes one client attempt that a mixer has finished. A *use* is a client query as it is
//! billed: it is counted once, regardless of the number of attempts that the client made. A *member* is a mixer whose
//! log the settlement collects, a *run* is one execution of a mixer, identified by its incarnation.
//!
//! [`join`], [`rate`], [`settle`] and [`period`] are pure: no I/O and no clock. [`log`], [`writer`] and [`collect`] run
//! in the mixer; [`store`], [`settlement`] and [`export`] run in the settlement.

pub mod collect;
mod collection_listener;
pub mod export;
pub mod join;
pub mod log;
pub mod period;
pub mod rate;
pub mod reconcile;
pub mod settings;
pub mod settle;
pub mod settlement;
pub mod store;
pub mod writer;

/// Messages of the usage log and of its collection, generated from `proto/usage.proto`.
pub mod wire {
    #![allow(missing_docs)]
    tonic::include_proto!("cottonhill.usage.v1");
}

//! An OpenSearch-style front on the mixer's core.
//!
//! [`dsl`], [`merge`], [`index`], [`tenant`] and [`response`] are pure: they parse a request's body into a typed
//! search, merge the answers of the shards into one, and write the response in the format of the OpenSearch API.
//! [`front`] is the listener, which supports TLS ([`tls`]) and compressed bodies ([`gzip`]). Its searches are processed
//! by the same reducer and coordinator as native queries.

pub mod dsl;
pub mod front;
pub mod gzip;
pub mod index;
pub mod merge;
pub mod response;
pub mod tenant;
pub mod tls;

//! Why the adapter ends without success: input that can't be used, or a pipe that is broken.

use std::io;

/// An error that ends the program. Its text is printed on standard error as one line.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input ended within a batch's header.
    #[error("batch header cut short after {received} bytes")]
    HeaderCutShort {
        /// Bytes of the header that came.
        received: usize,
    },
    /// The header of a batch can't be read.
    #[error("cannot read a batch: {0}")]
    ReadHeader(io::Error),
    /// The records that the header announces take more bytes than it announces.
    #[error("batch {batch}: {count} records do not fit in {length} bytes")]
    RecordsDoNotFit {
        /// Number of the batch.
        batch: u32,
        /// Records announced.
        count: usize,
        /// Bytes announced for records and tail.
        length: usize,
    },
    /// Records or tail of a batch can't be read.
    #[error("batch {batch}: {source}")]
    ReadBody {
        /// Number of the batch.
        batch: u32,
        /// Why.
        source: io::Error,
    },
    /// The input ended within a batch's records or tail.
    #[error("batch {batch} cut short: {received} of {length} bytes")]
    BodyCutShort {
        /// Number of the batch.
        batch: u32,
        /// Bytes that came.
        received: usize,
        /// Bytes announced.
        length: usize,
    },
    /// An event record can't be decoded.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// Number of the batch.
        batch: u32,
        /// Index of the record in the batch.
        record: usize,
        /// What is wrong with it.
        source: RecordError,
    },
    /// The settings of an instance can't be used; says which one.
    #[error("{0}")]
    Settings(String),
    /// A reply can't be written.
    #[error("{0}")]
    Write(io::Error),
}

/// Why an event record can't be decoded.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// No outcome of an attempt has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// No status of an endpoint has this code.
    #[error("unknown standing {0} of a replica")]
    UnknownEndpointStatus(u8),
    /// No kind of endpoint update has this code.
    #[error("unknown scope {0} of a list")]
    UnknownUpdateKind(u8),
    /// An update names an endpoint list that did not come before it.
    #[error("list {0} was never sent")]
    UnknownEndpointList(u32),
    /// A record points past the end of the batch's tail.
    #[error("{length} bytes at {offset} lie past the tail of {tail_length}")]
    PastTail {
        /// Bytes pointed at.
        length: usize,
        /// Where they start in the tail.
        offset: u32,
        /// Bytes in the tail.
        tail_length: usize,
    },
    /// The settings of an instance are no text.
    #[error("settings are not UTF-8")]
    SettingsNotUtf8,
}

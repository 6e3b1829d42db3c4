//! Errors that end the adapter: invalid input, or a failure of standard input or output.

use std::io;

/// An error that ends the program. Its text is printed on standard error as one line.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input ended within a batch's header.
    #[error("batch header truncated: got {received} of 20 bytes")]
    TruncatedHeader {
        /// Received bytes of the header.
        received: usize,
    },
    /// The header of a batch can't be read.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(io::Error),
    /// The number of records in the header needs more bytes than the length in the header.
    #[error("batch {batch}: {count} records do not fit in {length} bytes")]
    RecordsDoNotFit {
        /// Number of the batch.
        batch: u32,
        /// Number of records according to the header.
        count: usize,
        /// Bytes of records and tail according to the header.
        length: usize,
    },
    /// Records or tail of a batch can't be read.
    #[error("batch {batch}: cannot read records and tail: {source}")]
    ReadBody {
        /// Number of the batch.
        batch: u32,
        /// Why they can't be read.
        source: io::Error,
    },
    /// The input ended within a batch's records or tail.
    #[error("batch {batch} truncated: got {received} of {length} bytes")]
    TruncatedBody {
        /// Number of the batch.
        batch: u32,
        /// Received bytes of records and tail.
        received: usize,
        /// Bytes of records and tail according to the header.
        length: usize,
    },
    /// An event record can't be decoded.
    #[error("batch {batch}, record {record}: {source}")]
    Record {
        /// Number of the batch.
        batch: u32,
        /// Index of the record in the batch.
        record: usize,
        /// Why it can't be decoded.
        source: RecordError,
    },
    /// The settings of an instance are invalid; the text names the setting.
    #[error("invalid settings of an instance: {0}")]
    Settings(String),
    /// A reply can't be written.
    #[error("cannot write a reply: {0}")]
    Write(io::Error),
}

/// Why an event record can't be decoded.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// No outcome of an attempt or a probe has this code.
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u16),
    /// No status of an endpoint has this code.
    #[error("unknown endpoint status code {0}")]
    UnknownEndpointStatus(u8),
    /// No kind of endpoint update has this code.
    #[error("unknown code {0} for the kind of an endpoint update")]
    UnknownUpdateKind(u8),
    /// An update refers to an endpoint list that was not received before it.
    #[error("endpoint list {0} was not received before its use")]
    UnknownEndpointList(u32),
    /// A record refers to bytes past the end of the batch's tail, the data of variable size after the records.
    #[error("{length} bytes at offset {offset} lie past the tail of the batch ({tail_length} bytes of variable-size data)")]
    PastTail {
        /// Number of bytes.
        length: usize,
        /// Offset of the first byte in the tail.
        offset: u32,
        /// Length of the tail.
        tail_length: usize,
    },
    /// The settings of an instance are not UTF-8 text.
    #[error("settings are not UTF-8")]
    SettingsNotUtf8,
}

//! Frames between mixer and leaf server: the length of the rest (4 bytes, big-endian), a letter for the kind, and the
//! body.

mod codec;

pub use codec::LeafCodec;

use bytes::Bytes;
use std::rc::Rc;

/// One part of a call. Its id identifies the part at the leaf server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    /// The part's id.
    pub id: Rc<str>,
    /// The shard to search.
    pub shard: u32,
    /// How long the mixer waits for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The text of the query.
    pub text: Bytes,
}

/// A frame to a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafRequest {
    /// Executes parts.
    Call(Vec<CallPart>),
    /// Cancels the part of this id.
    Cancel(Rc<str>),
    /// Asks whether the leaf server is serving.
    Probe,
    /// Asks whether the leaf server is serving, and for its load.
    ProbeLoad,
}

/// How a part ended at the leaf server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// Executed; the answer has its value.
    Ok,
    /// Failed.
    Error,
    /// Rejected because of overload.
    Busy,
}

/// A frame from a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafResponse {
    /// The end of one part.
    Answer {
        /// The part's id in the call.
        id: String,
        /// How it ended.
        status: PartStatus,
        /// The load report, not yet parsed; `-` if there is none.
        report: String,
        /// The part's result; only with [`PartStatus::Ok`].
        value: Bytes,
    },
    /// The answer to a probe.
    ProbeAnswer {
        /// The leaf server is serving.
        ok: bool,
        /// The load report, not yet parsed, or the text of the answer to a plain probe.
        report: String,
    },
    /// The leaf server could not use the last frame, for this reason; it closes the connection.
    ProtocolError(String),
    /// A malformed frame, with the id of its part if that can be read. Where the next frame begins is not known, so the
    /// connection can't be used any more.
    Malformed(Option<String>),
}

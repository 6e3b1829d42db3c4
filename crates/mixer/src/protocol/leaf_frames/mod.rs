//! Frames between mixer and leaf server. A frame consists of the length of the remainder (4 bytes, big-endian), one
//! byte for the kind, and the body.

mod codec;

pub use codec::{encode_frame, LeafCodec};

use bytes::Bytes;
use std::rc::Rc;

/// One part of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallPart {
    /// The part's wire id: its id in frames to and from leaf servers.
    pub id: Rc<str>,
    /// The shard to search.
    pub shard: u32,
    /// Timeout of the mixer for the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The text of the query.
    pub text: Bytes,
}

/// A frame to a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafRequest {
    /// Executes parts.
    Call(Vec<CallPart>),
    /// Cancels the part with this wire id.
    Cancel(Rc<str>),
    /// Checks whether the leaf server is serving.
    Probe,
    /// Checks whether the leaf server is serving, and requests its load.
    ProbeLoad,
}

/// The outcome of a part at the leaf server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// The part was executed; the answer contains its value.
    Ok,
    /// The part failed.
    Error,
    /// The leaf server rejected the part because of overload.
    Busy,
}

/// A frame from a leaf server.
#[derive(Clone, Debug, PartialEq)]
pub enum LeafResponse {
    /// The answer to one part.
    Answer {
        /// The part's wire id.
        id: String,
        /// Outcome of the part.
        status: PartStatus,
        /// The unparsed load report; `-` if there is none.
        report: String,
        /// Result of the part; only with [`PartStatus::Ok`].
        value: Bytes,
    },
    /// The answer to the part with this wire id, whose value was dropped for lack of memory.
    AnswerWithoutValue(String),
    /// The answer to a probe.
    ProbeAnswer {
        /// Whether the leaf server is serving.
        ok: bool,
        /// The unparsed load report, or the text of the answer to a probe without load.
        report: String,
    },
    /// The leaf server rejected the last frame for this reason; it closes the connection.
    ProtocolError(String),
    /// A malformed frame, with the wire id of its part if that can be parsed. The connection is no longer usable, since
    /// the start of the next frame is unknown.
    Malformed(Option<String>),
}

//! What goes into the reducer and what it asks for.

use super::counters::Counters;
use super::usage::{Mark, Usage};
use crate::protocol::discovery::EndpointUpdate;
use crate::protocol::http::Rejection;
use crate::protocol::leaf::{FromLeaf, ToLeaf};
use crate::protocol::query::{Asked, Reply};
use cottonhill_decisions::Nanos;
use std::net::SocketAddr;

/// A client's connection and a connection to a leaf server, each by a number that is never used again.
pub type ClientId = u64;
pub type LinkId = u64;

/// What happens to the watch on discovery, beside the lists that it brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchNews {
    /// A watch or the whole list was asked for.
    Asked,
    /// A sign of life came.
    Alive,
    /// The watch ended; `silent` where nothing came on it in time.
    Ended { silent: bool },
    /// A message was refused; the list in force stays and is asked for whole.
    Refused(ListFault),
    /// A whole list came whose version is below the one before it; it is taken.
    WentBack,
}

/// Why a message of discovery was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// Longer than any list that is accepted.
    OverBound,
    /// No list, or with changes of nobody.
    Unreadable,
    /// Changes up to a version below the one in force.
    WentBack,
}

#[derive(Debug)]
pub enum Input {
    ClientOpened {
        client: ClientId,
    },
    /// The last byte of a request came in at `arrived`.
    Asked {
        client: ClientId,
        arrived: Nanos,
        asked: Result<Asked, Rejection>,
    },
    ClientClosed {
        client: ClientId,
    },
    LinkOpened {
        link: LinkId,
    },
    /// The socket has taken the last byte of the frame it was given.
    LinkWrote {
        link: LinkId,
    },
    LinkHeard {
        link: LinkId,
        frame: FromLeaf,
    },
    /// Refused, broken or ended.
    LinkClosed {
        link: LinkId,
    },
    Listed(EndpointUpdate),
    /// The watch on discovery was asked for, showed a sign of life, or ended.
    Watch(WatchNews),
    Datagram {
        from: u32,
        bytes: Vec<u8>,
    },
    /// The configuration was read again and names discovery's address; none if it does not do.
    Reloaded {
        discovery: Option<SocketAddr>,
    },
    /// A planned end.
    Terminate,
    /// No more clients' connections are accepted, and those that had come were.
    StoppedListening,
    /// What was ready has been put in; now decide.
    Turn,
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    Reply {
        client: ClientId,
        reply: Reply,
        close: bool,
    },
    /// Close a client's connection unless a request has come in on it; at once where others need its `room`.
    CloseClient {
        client: ClientId,
        room: bool,
    },
    Connect {
        link: LinkId,
        address: SocketAddr,
    },
    Write {
        link: LinkId,
        frame: ToLeaf,
    },
    CloseLink {
        link: LinkId,
    },
    Datagram {
        to: Option<u32>,
        bytes: Vec<u8>,
    },
    /// Watch the list of leaf servers there, and no longer where it was watched: from this version on, or with the
    /// whole list first.
    Watch {
        address: SocketAddr,
        from: Option<u64>,
    },
    /// Accept what has come, then no more.
    StopListening,
    /// One query has ended; comes before its reply, which waits for the record.
    Record(Usage),
    /// The log of use is complete up to here.
    Mark(Mark),
    Exit(Box<Counters>),
}

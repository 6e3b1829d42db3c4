//! The body of a response, which reports when it has been taken for writing.

use super::request_memory::RequestMemory;
use super::tracked_connection::TrackedConnection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A response's body. hyper drops it once all of it is in the write buffer, or when the connection ends.
pub(super) struct ResponseBody {
    bytes: Full<Bytes>,
    connection: Rc<TrackedConnection>,
    memory: Rc<RequestMemory>,
}

impl ResponseBody {
    pub(super) fn new(
        bytes: Full<Bytes>,
        connection: Rc<TrackedConnection>,
        memory: Rc<RequestMemory>,
    ) -> ResponseBody {
        ResponseBody {
            bytes,
            connection,
            memory,
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        self.connection.on_response_ready(self.memory.clone());
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.bytes).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes.size_hint()
    }
}

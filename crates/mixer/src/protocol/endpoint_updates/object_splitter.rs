//! Splitting a stream of bytes into JSON objects.

use bytes::{Buf, Bytes, BytesMut};

/// Depth of an object in a list in an object: that of an update's entries.
const ENTRY_DEPTH: usize = 3;

/// Splits a stream into objects incrementally and scans each byte once. Line breaks and the boundaries of the received
/// pieces have no meaning. Objects are not validated here, but in [`super::parse`].
#[derive(Default)]
pub struct JsonObjectSplitter {
    buffer: BytesMut,
    /// Number of scanned bytes at the start of the buffer; they belong to the next object.
    scanned: usize,
    /// Number of open braces and brackets.
    depth: usize,
    in_string: bool,
    /// Number of entries of the next object so far.
    entries: usize,
    /// Whether the last byte was a backslash in a string that escapes the next byte.
    escaped: bool,
}

impl JsonObjectSplitter {
    /// Returns the buffer to which input is appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Number of scanned entries of the next object. It bounds the memory that its parsed form takes.
    pub fn entry_count(&self) -> usize {
        self.entries
    }

    /// Removes and returns the next complete object. Of input that does not start an object, the first byte is
    /// returned, so that [`super::parse`] reports an error.
    pub fn next_object(&mut self) -> Option<Bytes> {
        if self.scanned == 0 {
            self.skip_whitespace();
        }
        while let Some(byte) = self.buffer.get(self.scanned) {
            let byte = *byte;
            self.scanned += 1;
            self.scan(byte);
            if self.depth == 0 {
                return Some(self.split_object());
            }
        }
        None
    }

    fn skip_whitespace(&mut self) {
        let whitespace = self
            .buffer
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count();
        self.buffer.advance(whitespace);
    }

    fn scan(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => {
                self.depth += 1;
                self.entries += usize::from(byte == b'{' && self.depth == ENTRY_DEPTH);
            }
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Removes the scanned bytes from the buffer.
    fn split_object(&mut self) -> Bytes {
        let object = self.buffer.split_to(self.scanned).freeze();
        self.scanned = 0;
        self.in_string = false;
        self.entries = 0;
        if self.buffer.len() <= object.len() {
            // The remaining bytes are moved to a separate buffer, so that a large object's memory is freed with it.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        object
    }
}

//! Splitting a stream of bytes into JSON objects.

use bytes::{Buf, Bytes, BytesMut};

/// Finds the ends of objects in a stream that arrives in pieces, looking at each byte once. Line breaks and the borders
/// of pieces have no meaning. Objects are not validated: [`super::parse`] does that.
#[derive(Default)]
pub struct JsonObjectSplitter {
    buffer: BytesMut,
    /// Bytes of the buffer that have been scanned, all of them part of the next object.
    scanned: usize,
    /// Open braces and brackets.
    depth: usize,
    in_string: bool,
    /// The last byte was a backslash in a string.
    escaped: bool,
}

impl JsonObjectSplitter {
    /// The buffer to which input is appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// The next complete object. Input that starts no object comes out at its first byte, for [`super::parse`] to
    /// report.
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
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }

    /// Takes the scanned bytes from the buffer.
    fn split_object(&mut self) -> Bytes {
        let object = self.buffer.split_to(self.scanned).freeze();
        self.scanned = 0;
        self.in_string = false;
        if self.buffer.len() <= object.len() {
            // Moved to a buffer of its own, so that a large object's memory is freed with the object.
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
        object
    }
}

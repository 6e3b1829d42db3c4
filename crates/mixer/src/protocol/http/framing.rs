//! How a message's body is delimited, by its header fields.

use super::body::BodyReader;

/// Header fields that state no usable framing of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FramingError {
    /// `Content-Length` is not a plain number.
    InvalidLength,
    /// `Transfer-Encoding` is anything but `chunked`.
    UnknownTransferEncoding,
    /// Two fields contradict each other.
    ConflictingLengths,
}

impl FramingError {
    /// The reason, for the response or the log.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            FramingError::InvalidLength => "bad length",
            FramingError::UnknownTransferEncoding => "unknown transfer encoding",
            FramingError::ConflictingLengths => "two lengths",
        }
    }
}

/// The reader for the body that these header fields announce; `None` if they state neither a length nor chunks.
pub(super) fn body_reader(
    headers: &[httparse::Header],
) -> Result<Option<BodyReader>, FramingError> {
    let mut reader = None;
    for header in headers {
        let Some(stated) = stated_framing(header)? else {
            continue;
        };
        if reader.as_ref().is_some_and(|earlier| *earlier != stated) {
            return Err(FramingError::ConflictingLengths);
        }
        reader = Some(stated);
    }
    Ok(reader)
}

/// The framing that one header field states, if it is about framing.
fn stated_framing(header: &httparse::Header) -> Result<Option<BodyReader>, FramingError> {
    let value = header.value.trim_ascii();
    if header.name.eq_ignore_ascii_case("content-length") {
        return parse_length(value).map(|length| Some(BodyReader::Length(length)));
    }
    if header.name.eq_ignore_ascii_case("transfer-encoding") {
        return if value.eq_ignore_ascii_case(b"chunked") {
            Ok(Some(BodyReader::ChunkSize))
        } else {
            Err(FramingError::UnknownTransferEncoding)
        };
    }
    Ok(None)
}

fn parse_length(value: &[u8]) -> Result<usize, FramingError> {
    // Digits only: signs and lists in this field are used for request smuggling.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    let digits = std::str::from_utf8(value).map_err(|_| FramingError::InvalidLength)?;
    // A length that overflows is too large, not malformed.
    Ok(digits.parse().unwrap_or(usize::MAX))
}

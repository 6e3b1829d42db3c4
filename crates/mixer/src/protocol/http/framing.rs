//! Body framing of a message, as its header fields define it.

use super::body::BodyReader;

/// The reason why header fields do not define a valid framing of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FramingError {
    /// `Content-Length` does not consist of digits only.
    InvalidLength,
    /// `Transfer-Encoding` is anything but `chunked`.
    UnknownTransferEncoding,
    /// Two fields contradict each other.
    ConflictingLengths,
}

impl FramingError {
    /// Returns the reason for the response or the log.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            FramingError::InvalidLength => "bad length",
            FramingError::UnknownTransferEncoding => "unknown transfer encoding",
            FramingError::ConflictingLengths => "two lengths",
        }
    }
}

/// Returns a reader for the body; `None` if the header fields define neither a length nor chunked encoding.
pub(super) fn body_reader(
    headers: &[httparse::Header],
) -> Result<Option<BodyReader>, FramingError> {
    let mut reader = None;
    for header in headers {
        let Some(framing) = header_framing(header)? else {
            continue;
        };
        if reader.as_ref().is_some_and(|earlier| *earlier != framing) {
            return Err(FramingError::ConflictingLengths);
        }
        reader = Some(framing);
    }
    Ok(reader)
}

/// Returns the framing that one header field defines; `None` if the field does not concern framing.
fn header_framing(header: &httparse::Header) -> Result<Option<BodyReader>, FramingError> {
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
    // Only digits are accepted, because signs and lists in this field are used for request smuggling.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::InvalidLength);
    }
    let digits = std::str::from_utf8(value).map_err(|_| FramingError::InvalidLength)?;
    // A number that overflows is reported as too large, not as malformed.
    Ok(digits.parse().unwrap_or(usize::MAX))
}

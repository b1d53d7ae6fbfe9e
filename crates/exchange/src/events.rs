//! Where server-sent events end.
//!
//! A stream may be cut anywhere, and only whole events may be counted as delivered: a replica that
//! goes on is told how many to skip. An event ends in an empty line, and lines end in a line feed
//! or in a carriage return with one; engines use either.

/// Bytes up to the end of the last whole event.
pub fn whole(bytes: &[u8]) -> Option<usize> {
    (0..=bytes.len()).rev().find(|n| is_end(&bytes[..*n]))
}

/// Events that end in these bytes, which begin with one.
pub fn count(bytes: &[u8]) -> u64 {
    (0..=bytes.len()).filter(|n| is_end(&bytes[..*n])).count() as u64
}

/// The bytes without the line ends after the last event.
pub fn trimmed(bytes: &[u8]) -> &[u8] {
    let is_text = |b: &u8| *b != b'\r' && *b != b'\n';
    let end = bytes.iter().rposition(is_text).map_or(0, |i| i + 1);
    &bytes[..end]
}

fn is_end(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

//! Finds the ends of server-sent events.
//!
//! A stream may be cut at any byte, but only complete events count as delivered: a replica that
//! continues the stream gets the number of events to skip. An event ends with an empty line, and
//! lines end with LF or CRLF; engines use either.

/// Length of the prefix that ends with the last complete event; `None` if there is none.
pub fn whole(bytes: &[u8]) -> Option<usize> {
    (0..=bytes.len()).rev().find(|n| ends_event(&bytes[..*n]))
}

/// Number of events that end within `bytes`, which must start at the beginning of an event.
pub fn count(bytes: &[u8]) -> u64 {
    (0..=bytes.len())
        .filter(|n| ends_event(&bytes[..*n]))
        .count() as u64
}

/// `bytes` without the line breaks at its end.
pub fn trimmed(bytes: &[u8]) -> &[u8] {
    let is_content = |b: &u8| *b != b'\r' && *b != b'\n';
    let end = bytes.iter().rposition(is_content).map_or(0, |i| i + 1);
    &bytes[..end]
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

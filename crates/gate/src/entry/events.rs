//! Boundaries and ids of the events of a stream.

/// Length in bytes of the longest delimiter of events.
pub(super) const MAX_DELIMITER: usize = 4;

/// End of the last complete event.
pub(super) fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|i| i + 4);
    lf.max(crlf)
}

/// Id of the last event that has one.
pub(super) fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let id = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}

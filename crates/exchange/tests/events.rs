//! Ends of server-sent events.

use exchange::events::{count, trimmed, whole};

struct Case {
    bytes: &'static str,
    whole: Option<usize>,
    count: u64,
    trimmed: &'static str,
}

/// Guards against events that are miscounted when an engine's connection breaks anywhere: words
/// after the resumption would be repeated or missing.
#[test]
fn events_end_in_an_empty_line_of_either_kind() {
    #[rustfmt::skip]
    let cases = [
        Case { bytes: "", whole: None, count: 0, trimmed: "" },
        Case { bytes: "data: a", whole: None, count: 0, trimmed: "data: a" },
        Case { bytes: "data: a\n", whole: None, count: 0, trimmed: "data: a" },
        Case { bytes: "data: a\n\n", whole: Some(9), count: 1, trimmed: "data: a" },
        Case { bytes: "data: a\n\ndata", whole: Some(9), count: 1, trimmed: "data: a\n\ndata" },
        Case { bytes: "data: a\n\ndata: b\n\n", whole: Some(18), count: 2, trimmed: "data: a\n\ndata: b" },
        Case { bytes: "data: a\r\n", whole: None, count: 0, trimmed: "data: a" },
        Case { bytes: "data: a\r\n\r\n", whole: Some(11), count: 1, trimmed: "data: a" },
        Case { bytes: "data: a\r\n\r\ndata: b\r\n\r", whole: Some(11), count: 1, trimmed: "data: a\r\n\r\ndata: b" },
        Case { bytes: "event: x\r\ndata: a\r\n\r\n", whole: Some(21), count: 1, trimmed: "event: x\r\ndata: a" },
    ];
    for c in cases {
        let bytes = c.bytes.as_bytes();
        assert_eq!(whole(bytes), c.whole, "{:?}", c.bytes);
        assert_eq!(count(bytes), c.count, "{:?}", c.bytes);
        assert_eq!(trimmed(bytes), c.trimmed.as_bytes(), "{:?}", c.bytes);
    }
}

//! Calls of the state machines to the platform's table, and the replies.

use bytes::Bytes;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Version of the row, raised by the table with each write; 0 stands for a missing row.
    pub version: u64,
    /// Content of the row.
    pub value: Bytes,
}

/// One call to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Read a row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Write a row if it has the expected version (compare-and-set).
    Write {
        /// Key of the row.
        key: String,
        /// Expected version; 0 if the row must not exist.
        version: u64,
        /// New content of the row.
        value: Bytes,
    },
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The row that was read; `None` if it doesn't exist.
    Row(Option<Row>),
    /// The write took effect, and the row now has this version.
    Written(u64),
    /// The write took no effect, because the row has another version.
    Conflict,
    /// The call certainly took no effect.
    Down,
    /// The call may have taken effect.
    Lost,
}

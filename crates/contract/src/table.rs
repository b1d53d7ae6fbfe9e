//! What the state machines ask of the platform's table and what comes back.

use bytes::Bytes;

/// A row with the version that the table gave it; versions grow with each write of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Raised by the table with each write; 0 stands for no row.
    pub version: u64,
    /// What it holds.
    pub value: Bytes,
}

/// One call to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Read a row.
    Read {
        /// Its name.
        key: String,
    },
    /// Write a row if its version is still this one; 0 if it must not exist.
    Write {
        /// Its name.
        key: String,
        /// The version expected.
        version: u64,
        /// What it shall hold.
        value: Bytes,
    },
}

/// How the call went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A read found this; `None` if there is no such row.
    Row(Option<Row>),
    /// The write took effect and the row has this version now.
    Written(u64),
    /// The write took no effect, since the row has another version.
    Conflict,
    /// The call surely took no effect.
    Down,
    /// The call may have taken effect.
    Lost,
}

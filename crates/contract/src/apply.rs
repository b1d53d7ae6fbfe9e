//! An operator's change of the configuration: one compare-and-set on one row.
//!
//! Two operators who change the configuration at the same time must not overwrite each other's
//! change unnoticed. The row holds the version, digest and operation id of the last change. An
//! operator whose change is based on another version gets an error that names the author of the
//! change in force. If the answer to the write is lost, the row is read back: if the change's
//! operation id is in the row or its history, the change was accepted.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::table::{Reply, Request, Row};

/// Key of the row.
pub const CONFIGURATION_KEY: &str = "configuration";
/// Maximum number of reads to settle a lost answer.
pub const MAX_READS: u32 = 5;
/// Number of earlier changes listed in the row; enough to find an operation whose answer was lost
/// while others make a change every few seconds.
pub const MAX_PAST_CHANGES: usize = 32;

/// Content of the row: the configuration in force and its history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration; each change raises it by one.
    pub version: u64,
    /// Hash of the text in hexadecimal.
    pub digest: String,
    /// Id of the operation that made the change.
    pub operation: String,
    /// Author of the change.
    pub author: String,
    /// Time of the change in seconds since the epoch.
    pub at: u64,
    /// Text of the configuration.
    pub text: String,
    /// Earlier changes, the latest first.
    pub past: Vec<PastChange>,
}

/// An earlier change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// Version that the change created.
    pub version: u64,
    /// Hash of the configuration text in hexadecimal.
    pub digest: String,
    /// Id of the operation that made the change.
    pub operation: String,
    /// Author of the change.
    pub author: String,
    /// Time of the change in seconds since the epoch.
    pub at: u64,
}

/// Error: another change was made first.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("version {version} by {author} came first (operation {operation})")]
pub struct Stale {
    /// The version in force.
    pub version: u64,
    /// Author of that version.
    pub author: String,
    /// Id of the operation that made it.
    pub operation: String,
}

/// Next step of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Call the table and pass the reply to [`Apply::step`].
    Call(Request),
    /// The change was accepted with this version.
    Accepted(u64),
    /// Another change was made first.
    Stale(Stale),
    /// The table is unavailable, and the change certainly wasn't made.
    Down,
    /// The table is unavailable; the change may have been accepted.
    Unknown,
    /// The row can't be decoded.
    Corrupt,
}

/// A requested change of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// New text of the configuration.
    pub text: String,
    /// Version that the change is based on; `None` to replace any version.
    pub base: Option<u64>,
    /// Id of the change, chosen by the operator's client, so that sending it twice is harmless.
    pub operation: String,
    /// Author of the change.
    pub author: String,
    /// Time of the change in seconds since the epoch.
    pub at: u64,
}

/// State of one change.
#[derive(Clone, Debug)]
pub struct Apply {
    change: Change,
    written: bool,
    reads: u32,
}

impl Apply {
    /// Creates the state of a change that has not been sent yet.
    pub fn new(change: Change) -> Self {
        Self {
            change,
            written: false,
            reads: 0,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ApplyStep {
        self.read()
    }

    /// Handles the reply to the last call and returns the next step.
    pub fn step(&mut self, reply: Reply) -> ApplyStep {
        match reply {
            Reply::Row(row) => self.found(row),
            Reply::Written(_) => self.accepted(),
            Reply::Conflict if self.reads < MAX_READS => self.read(),
            Reply::Lost | Reply::Down if self.reads < MAX_READS => self.read(),
            Reply::Conflict | Reply::Lost | Reply::Down if self.written => ApplyStep::Unknown,
            Reply::Conflict | Reply::Lost | Reply::Down => ApplyStep::Down,
        }
    }

    fn read(&mut self) -> ApplyStep {
        self.reads += 1;
        ApplyStep::Call(Request::Read {
            key: CONFIGURATION_KEY.to_owned(),
        })
    }

    fn found(&mut self, row: Option<Row>) -> ApplyStep {
        let (version, head) = match row {
            None => (0, Head::default()),
            Some(r) => match serde_json::from_slice::<Head>(&r.value) {
                Ok(h) => (r.version, h),
                Err(_) => return ApplyStep::Corrupt,
            },
        };
        match version_of(&head, &self.change.operation) {
            Some(v) => ApplyStep::Accepted(v),
            None if self.change.base.is_some_and(|b| b != head.version) => stale(head),
            None => self.write(version, head),
        }
    }

    fn write(&mut self, version: u64, old: Head) -> ApplyStep {
        self.written = true;
        // A second write is only allowed on the same version; with another version in the row,
        // another change was made in between.
        self.change.base = Some(old.version);
        let value = serde_json::to_vec(&next(&self.change, old)).map(Bytes::from);
        let value = value.unwrap_or_default();
        ApplyStep::Call(Request::Write {
            key: CONFIGURATION_KEY.to_owned(),
            version,
            value,
        })
    }

    fn accepted(&self) -> ApplyStep {
        ApplyStep::Accepted(self.change.base.unwrap_or_default() + 1)
    }
}

/// Hash of a configuration text.
pub fn digest(text: impl AsRef<[u8]>) -> String {
    blake3::hash(text.as_ref()).to_hex().to_string()
}

/// The version that an operation created, if it is in the row or its history.
fn version_of(head: &Head, operation: &str) -> Option<u64> {
    match head.operation == operation {
        true => Some(head.version),
        false => head
            .past
            .iter()
            .find(|p| p.operation == operation)
            .map(|p| p.version),
    }
}

fn stale(head: Head) -> ApplyStep {
    ApplyStep::Stale(Stale {
        version: head.version,
        author: head.author,
        operation: head.operation,
    })
}

fn next(change: &Change, old: Head) -> Head {
    let version = old.version + 1;
    let mut past = old.past;
    if old.version > 0 {
        past.insert(
            0,
            PastChange {
                version: old.version,
                digest: old.digest,
                operation: old.operation,
                author: old.author,
                at: old.at,
            },
        );
        past.truncate(MAX_PAST_CHANGES);
    }
    Head {
        version,
        digest: digest(&change.text),
        operation: change.operation.clone(),
        author: change.author.clone(),
        at: change.at,
        text: change.text.clone(),
        past,
    }
}

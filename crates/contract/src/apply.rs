//! An operator's change of the configuration: one compare-and-set on one row.
//!
//! Two operators who change the configuration at the same moment must not overwrite one another
//! unnoticed. The row's content names version, digest and operation; whoever finds another version
//! than it started from is told who came first. If the answer to the write is lost, the row is
//! read back: our operation id in it, or in its history, means that the change was accepted.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::table::{Reply, Request, Row};

/// Name of the row.
pub const CONFIGURATION_KEY: &str = "configuration";
/// Reads tried to settle a lost answer.
pub const MAX_READS: u32 = 5;
/// PastChange changes named in the row; enough to find an operation whose answer was lost while others
/// went on, at a change every few seconds.
pub const MAX_PAST_CHANGES: usize = 32;

/// What the row holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Raised by one with each change.
    pub version: u64,
    /// Hash of the text, in hexadecimal.
    pub digest: String,
    /// The operation that made it.
    pub operation: String,
    /// Who asked for it.
    pub author: String,
    /// Seconds since the epoch.
    pub at: u64,
    /// The text itself.
    pub text: String,
    /// Earlier changes, the latest first.
    pub past: Vec<PastChange>,
}

/// An earlier change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastChange {
    /// Its version.
    pub version: u64,
    /// Hash of its text.
    pub digest: String,
    /// Its operation.
    pub operation: String,
    /// Who asked for it.
    pub author: String,
    /// Seconds since the epoch.
    pub at: u64,
}

/// Somebody else's change came first.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("version {version} by {author} came first (operation {operation})")]
pub struct Stale {
    /// The version in force.
    pub version: u64,
    /// Who made it.
    pub author: String,
    /// The operation that made it.
    pub operation: String,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Call the table and feed the reply back.
    Call(Request),
    /// The change was accepted with this version.
    Accepted(u64),
    /// Another change came first.
    Stale(Stale),
    /// The table is away and surely holds no change of ours.
    Down,
    /// The table is away; the change may have been accepted.
    Unknown,
    /// The row can't be read.
    Corrupt,
}

/// A change to be made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The text.
    pub text: String,
    /// The version it was written against; `None` to replace whatever is there.
    pub base: Option<u64>,
    /// Names the change; chosen by the operator's client, so that sending it twice is harmless.
    pub operation: String,
    /// Who asks for it.
    pub author: String,
    /// Seconds since the epoch.
    pub at: u64,
}

/// One change on its way.
#[derive(Clone, Debug)]
pub struct Apply {
    change: Change,
    written: bool,
    reads: u32,
}

impl Apply {
    /// A change to be made.
    pub fn new(change: Change) -> Self {
        Self {
            change,
            written: false,
            reads: 0,
        }
    }

    /// The first call.
    pub fn start(&mut self) -> ApplyStep {
        self.read()
    }

    /// Takes the reply to the last call.
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
        match made(&head, &self.change.operation) {
            Some(v) => ApplyStep::Accepted(v),
            None if self.change.base.is_some_and(|b| b != head.version) => stale(head),
            None => self.write(version, head),
        }
    }

    fn write(&mut self, version: u64, old: Head) -> ApplyStep {
        self.written = true;
        // A second write must meet the same version again, else it is another's change.
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

/// The version that an operation made, if the row remembers it.
fn made(head: &Head, operation: &str) -> Option<u64> {
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

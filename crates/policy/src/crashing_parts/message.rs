//! What entries send one another about parts. All ages are those at the time of sending.

use model::Micros;

use super::PartKey;
use crate::quarantine::Crash;

/// A part of a prompt that was running at a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningPart {
    /// The part.
    pub part: PartKey,
    /// Age of the latest request with it.
    pub sent: Micros,
}

/// A crash, and the parts that one entry had running there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The target that crashed.
    pub crash: Crash,
    /// Age of the crash.
    pub age: Micros,
    /// The parts.
    pub parts: Vec<RunningPart>,
}

/// A convicted part as it is sent to other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConvictedPart {
    /// The part.
    pub part: PartKey,
    /// Age of the first crash that counts.
    pub first: Micros,
    /// Number of trials claimed.
    pub trials: u32,
}

/// What entries send one another. All ages are those at the time of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// A crash.
    pub crash: Option<CrashReport>,
    /// Parts that the sender is about to convict.
    pub proposed: Vec<PartKey>,
    /// Parts with complete answers, and the ages of the latest ones.
    pub answered: Vec<(PartKey, Micros)>,
    /// Parts that the sender has convicted.
    pub convicted: Vec<ConvictedPart>,
    /// Whether the sender asks for the receiver's convictions.
    pub asks: bool,
}

impl CrashReport {
    /// The report when its ages have grown by `by`.
    pub(super) fn aged(&self, by: Micros) -> Self {
        let parts = self.parts.iter().map(|r| RunningPart {
            part: r.part,
            sent: r.sent + by,
        });
        Self {
            crash: self.crash,
            age: self.age + by,
            parts: parts.collect(),
        }
    }
}

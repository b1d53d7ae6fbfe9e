//! Messages of the entries' admin interface.

use std::fmt;

use contract::apply::PastChange;
use serde::{Deserialize, Serialize};

/// Path of the configuration in force; `PUT` changes it.
pub const CONFIGURATION: &str = "/admin/configuration";
/// Path of the changes so far.
pub const HISTORY: &str = "/admin/history";
/// Path of the members and their versions.
pub const STATUS: &str = "/admin/status";

/// A change that an operator wants.
#[derive(Clone, Debug, Serialize)]
pub struct Proposal {
    /// The text.
    pub text: String,
    /// The version it was written against; `None` replaces whatever is there.
    pub base: Option<u64>,
    /// Names the change, so that sending it twice is harmless.
    pub operation: String,
    /// Who asks for it.
    pub author: String,
}

/// The answer to a change that was accepted.
#[derive(Clone, Debug, Deserialize)]
pub struct Accepted {
    /// The version it made.
    pub version: u64,
}

/// What one entry has in force.
#[derive(Clone, Debug, Deserialize)]
pub struct InForce {
    /// Its version; 0 if there is none yet.
    pub version: u64,
    /// Hash of the text.
    pub digest: String,
    /// The text.
    pub text: String,
}

/// The changes that the platform remembers.
#[derive(Clone, Debug, Deserialize)]
pub struct Changes {
    /// The last one; absent before the first.
    pub current: Option<PastChange>,
    /// Those before, the latest first.
    pub past: Vec<PastChange>,
}

/// The fleet as one entry sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct Members {
    /// The version that this entry has in force.
    pub version: u64,
    /// Hash of its text.
    pub digest: String,
    /// All members it knows.
    pub members: Vec<Member>,
}

/// One process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// Its id, in hexadecimal.
    pub id: String,
    /// What it does.
    pub role: Role,
    /// Its host.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// The pool of its target; entries have none.
    pub pool: Option<String>,
    /// How it fares.
    pub state: State,
    /// The version it has in force.
    pub version: u64,
    /// Where other members reach it.
    pub peer: String,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands before one target.
    Sidecar,
}

/// How a process fares, as the others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It answers.
    Alive,
    /// It hasn't answered for a moment.
    Suspect,
    /// It stops as planned.
    Leaving,
    /// It has stopped as planned.
    Left,
    /// It has gone without a word.
    Dead,
}

impl State {
    /// Whether it may still serve. A leaving member does: it answers late arrivals, so they
    /// would be decided by an old configuration if nobody waited for it.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// An answer that is no success.
#[derive(Clone, Debug, Deserialize)]
pub struct Refusal {
    /// Why.
    pub error: Problem,
}

/// Why an entry doesn't do what it is asked.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum Problem {
    /// The configuration has faults.
    Faults {
        /// All of them, each as a line with its place.
        #[serde(default)]
        faults: Vec<String>,
    },
    /// The operators' key is missing or wrong.
    Unauthorized,
    /// Another change came first.
    Conflict(Winner),
    /// The platform is away; nothing was accepted.
    PlatformDown,
    /// The platform is away; the change may have been accepted.
    UnknownOutcome,
    /// A reason that this client doesn't know.
    #[serde(other)]
    Other,
}

/// The change that came first.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Winner {
    /// Its version.
    pub version: u64,
    /// Who made it.
    pub author: String,
    /// Its operation.
    pub operation: String,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Entry => "entry",
            Self::Sidecar => "sidecar",
        })
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Left => "left",
            Self::Dead => "dead",
        })
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            id,
            role,
            host,
            domain,
            state,
            version,
            peer,
            ..
        } = self;
        write!(
            f,
            "{role} {id} on {host} in {domain}: version {version}, {state}, {peer}"
        )
    }
}

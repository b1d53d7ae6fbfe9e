//! Messages of the admin interface, which each entry serves.

use std::fmt;

use contract::apply::PastChange;
use serde::{Deserialize, Serialize};

/// Path of the configuration in force; `PUT` changes it.
pub const CONFIGURATION_PATH: &str = "/admin/configuration";
/// Path of the history of configuration changes.
pub const HISTORY_PATH: &str = "/admin/history";
/// Path of the members of the fleet and the versions that they have in force.
pub const STATUS_PATH: &str = "/admin/status";

/// A change of the configuration that an operator proposes.
#[derive(Clone, Debug, Serialize)]
pub struct Proposal {
    /// Text of the new configuration.
    pub text: String,
    /// Version that the change is based on; `None` replaces whatever version is in force.
    pub base: Option<u64>,
    /// Id of the change, which makes it safe to send the change twice.
    pub operation: String,
    /// Author of the change.
    pub author: String,
}

/// The answer to a change that was accepted.
#[derive(Clone, Debug, Deserialize)]
pub struct Accepted {
    /// Version that the change created.
    pub version: u64,
}

/// The configuration in force on one entry.
#[derive(Clone, Debug, Deserialize)]
pub struct InForce {
    /// Version of the configuration; 0 if there is none yet.
    pub version: u64,
    /// Hash of the text in hexadecimal.
    pub digest: String,
    /// Text of the configuration.
    pub text: String,
}

/// The changes recorded in the platform's table.
#[derive(Clone, Debug, Deserialize)]
pub struct ChangeHistory {
    /// The latest change; absent before the first change.
    pub current: Option<PastChange>,
    /// Earlier changes, the latest first.
    pub past: Vec<PastChange>,
}

/// State of the fleet from the view of one entry.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetStatus {
    /// Version in force on this entry.
    pub version: u64,
    /// Hash of the configuration text in hexadecimal.
    pub digest: String,
    /// All members that this entry knows of.
    pub members: Vec<Member>,
}

/// A process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Member {
    /// Member id in hexadecimal.
    pub id: String,
    /// Role of the process.
    pub role: Role,
    /// Host that the process runs on.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the host.
    pub region: String,
    /// Pool of a sidecar's target; `None` for entries.
    pub pool: Option<String>,
    /// Membership state.
    pub state: State,
    /// Configuration version in force on the process.
    pub version: u64,
    /// Address for the other members.
    pub peer: String,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Accepts the requests of callers.
    Entry,
    /// Forwards requests to one target.
    Sidecar,
}

/// State of a process from the view of the other members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The process answers.
    Alive,
    /// The process hasn't answered recently and may have failed.
    Suspect,
    /// The process is shutting down as planned.
    Leaving,
    /// The process has shut down as planned.
    Left,
    /// The process has stopped answering without announcing a shutdown.
    Dead,
}

impl State {
    /// Whether the process may still serve requests. A leaving member does: it still answers
    /// requests that arrive late. If `apply` didn't wait for leaving members, an old configuration
    /// could decide these requests after the new one was reported to be in force.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// Body of an error answer.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: Problem,
}

/// Reason why an entry didn't carry out a call.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum Problem {
    /// The configuration has faults.
    Faults {
        /// All faults, each as a line with its position in the text.
        #[serde(default)]
        faults: Vec<String>,
    },
    /// The operators' key is missing or wrong.
    Unauthorized,
    /// Another change was made first.
    Conflict(ConflictingChange),
    /// The platform is unavailable; the change was not accepted.
    PlatformDown,
    /// The platform is unavailable; the change may have been accepted.
    UnknownOutcome,
    /// An error code that this client doesn't know.
    #[serde(other)]
    Other,
}

/// The change that was made first.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ConflictingChange {
    /// Version that the change created.
    pub version: u64,
    /// Author of the change.
    pub author: String,
    /// Operation id of the change.
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

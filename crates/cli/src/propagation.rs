//! The wait until a version is in force on every live member.

use std::time::{Duration, Instant};

use crate::admin::{FleetStatus, Member, STATUS_PATH};
use crate::exit::{note, Failure};
use crate::fleet::Fleet;

/// Delay between two reads of the status; short compared with the time that a version takes to
/// propagate, about a second, and long compared with the cost of an answer.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How far a version has propagated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Propagation {
    /// Number of members that may still serve requests.
    pub live: usize,
    /// Live members that have an older version.
    pub lagging: Vec<Member>,
    /// Version in force on the queried entry.
    pub entry_version: u64,
    version: u64,
}

/// Waits for at most `limit` until every live member has a version; returns the last state read.
pub async fn wait(fleet: &Fleet, version: u64, limit: Duration) -> Result<Propagation, Failure> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let status = fleet.get::<FleetStatus>(STATUS_PATH).await;
        let propagation = status.map(|s| Propagation::of(&s, version));
        let elapsed = start.elapsed();
        match propagation {
            Ok(propagation) if propagation.is_complete() => return Ok(propagation),
            Ok(propagation) if elapsed >= limit => return Err(propagation.failure(elapsed)),
            Err(cause) if elapsed >= limit || matches!(cause, Failure::Refused { .. }) => {
                let cause = Box::new(cause);
                return Err(Failure::PropagationUnknown { version, cause });
            }
            Ok(propagation) => {
                let counts = (
                    propagation.live - propagation.lagging.len(),
                    propagation.live,
                );
                if shown.replace(counts) != Some(counts) {
                    let (have, live) = counts;
                    note(format_args!("version {version}: {have} of {live} members"));
                }
            }
            Err(_) => {}
        }
        tokio::time::sleep(POLL_INTERVAL.min(limit - elapsed)).await;
    }
}

impl Propagation {
    /// The propagation of a version according to a status of the fleet.
    pub fn of(status: &FleetStatus, version: u64) -> Self {
        let live: Vec<_> = status
            .members
            .iter()
            .filter(|m| m.state.is_live())
            .collect();
        let lagging = live.iter().filter(|m| m.version < version);
        Self {
            lagging: lagging.copied().cloned().collect(),
            live: live.len(),
            entry_version: status.version,
            version,
        }
    }

    /// Whether the queried entry and every live member have the version.
    pub fn is_complete(&self) -> bool {
        self.entry_version >= self.version && self.lagging.is_empty()
    }

    fn failure(self, elapsed: Duration) -> Failure {
        Failure::NotInForceEverywhere {
            version: self.version,
            entry_version: self.entry_version,
            live: self.live,
            lagging: self.lagging,
            elapsed,
        }
    }
}

//! The wait until a version is in force on every live member.

use std::time::{Duration, Instant};

use crate::admin::{Member, Members, STATUS};
use crate::exit::{note, Failure};
use crate::fleet::Fleet;

/// Time between two looks; short against the second or so that a spread takes, long against the
/// cost of an answer.
const POLL: Duration = Duration::from_millis(100);

/// Who has a version and who hasn't.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spread {
    /// Members that may still serve.
    pub live: usize,
    /// Those among them that have an older version.
    pub behind: Vec<Member>,
    /// The version of the entry that says so.
    pub seen: u64,
    version: u64,
}

/// Waits until every live member has a version, `limit` at most; gives what was seen last.
pub async fn wait(fleet: &Fleet, version: u64, limit: Duration) -> Result<Spread, Failure> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let seen = fleet.get::<Members>(STATUS).await;
        let seen = seen.map(|m| Spread::of(&m, version));
        let spent = start.elapsed();
        match seen {
            Ok(spread) if spread.is_done() => return Ok(spread),
            Ok(spread) if spent >= limit => return Err(spread.failure(spent)),
            Err(cause) if spent >= limit || matches!(cause, Failure::Refused { .. }) => {
                let cause = Box::new(cause);
                return Err(Failure::Unseen { version, cause });
            }
            Ok(spread) => {
                let counts = (spread.live - spread.behind.len(), spread.live);
                if shown.replace(counts) != Some(counts) {
                    let (have, live) = counts;
                    note(format_args!("version {version}: {have} of {live} members"));
                }
            }
            Err(_) => {}
        }
        tokio::time::sleep(POLL.min(limit - spent)).await;
    }
}

impl Spread {
    /// What a look at the members says of a version.
    pub fn of(seen: &Members, version: u64) -> Self {
        let live: Vec<_> = seen.members.iter().filter(|m| m.state.is_live()).collect();
        let behind = live.iter().filter(|m| m.version < version);
        Self {
            behind: behind.copied().cloned().collect(),
            live: live.len(),
            seen: seen.version,
            version,
        }
    }

    /// Whether every live member has it.
    pub fn is_done(&self) -> bool {
        self.seen >= self.version && self.behind.is_empty()
    }

    fn failure(self, spent: Duration) -> Failure {
        Failure::Partial {
            version: self.version,
            seen: self.seen,
            live: self.live,
            behind: self.behind,
            spent,
        }
    }
}

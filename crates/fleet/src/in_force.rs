//! How far the configuration is in force.
//!
//! The operator's `apply` returns when every live member reports the change and names those that
//! don't. With two pings a second it would take this process minutes to hear from 1,180 members,
//! so each member tells the one that wrote the change as soon as it has it, once, and only those
//! that haven't reported within half a second are asked.

use model::{MemberId, Micros, Version};
use rand::seq::IndexedRandom;

use crate::{Action, Fleet};

/// Members asked in one round for the version they have.
const POLL_BATCH: usize = 64;
/// Time that members have to report a change by themselves; 99 of 100 have it in that time at
/// 1,180 members and 1% loss (examples/slopes).
const REPORT_WAIT: Micros = Micros::from_millis(500);
/// Time between two rounds of asking.
const POLL_INTERVAL: Micros = Micros::from_millis(250);
/// How long to go on asking.
const POLL_DURATION: Micros = Micros::from_secs(60);

/// A live member without the newest configuration, as far as is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LaggingMember {
    /// Which member.
    pub id: MemberId,
    /// Where it runs.
    pub host: String,
    /// What it last reported; none if nothing was heard.
    pub version: Option<Version>,
}

/// How far the configuration here is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The version asked about.
    pub version: Version,
    /// Live members, this process included.
    pub live: usize,
    /// Those that report it or a later one, this process included.
    pub current: usize,
    /// The others.
    pub lagging: Vec<LaggingMember>,
}

/// When to ask members that haven't reported.
pub(crate) struct VersionPoll {
    at: Micros,
    until: Micros,
}

impl Default for VersionPoll {
    fn default() -> Self {
        Self {
            at: Micros::MAX,
            until: Micros::ZERO,
        }
    }
}

impl VersionPoll {
    pub(crate) fn due(&self) -> Micros {
        self.at
    }
}

impl Fleet {
    /// Who among the live members has the configuration that is in force here.
    pub fn in_force(&self) -> InForce {
        let version = self.version();
        let live = self.view.iter().filter(|(_, e)| e.member.state.is_live());
        let behind = live.filter(|(_, e)| e.version < version);
        let lagging: Vec<LaggingMember> = behind
            .map(|(_, e)| LaggingMember {
                id: e.member.id,
                host: e.member.host.clone(),
                version: Some(e.version).filter(|v| v.0 > 0),
            })
            .collect();
        InForce {
            version,
            live: self.size(),
            current: self.size() - lagging.len(),
            lagging,
        }
    }

    /// Gives members some time to report a change before they are asked.
    pub(crate) fn expect_reports(&mut self) {
        self.version_poll.at = self.now + REPORT_WAIT;
        self.version_poll.until = self.now + POLL_DURATION;
    }

    /// Begins to ask members that haven't reported the configuration.
    pub(crate) fn poll_versions_now(&mut self) {
        self.version_poll.at = self.now;
        self.version_poll.until = self.now + POLL_DURATION;
    }

    pub(crate) fn run_version_poll(&mut self, out: &mut Vec<Action>) {
        if self.version_poll.at <= self.now {
            self.poll_versions(out);
        }
    }

    fn poll_versions(&mut self, out: &mut Vec<Action>) {
        let version = self.version();
        let live = self.view.iter().filter(|(_, e)| e.member.state.is_live());
        let behind: Vec<_> = live
            .filter(|(_, e)| e.version < version)
            .map(|(k, _)| k)
            .collect();
        let over = behind.is_empty() || self.now > self.version_poll.until;
        self.version_poll.at = match over {
            true => Micros::MAX,
            false => self.now + POLL_INTERVAL,
        };
        let some: Vec<_> = behind
            .choose_multiple(&mut self.rng, POLL_BATCH)
            .copied()
            .collect();
        for k in some {
            self.ping(k, None, out);
        }
    }
}

//! What the fleet is told of requests that crash targets.
//!
//! Membership spreads a mark by rumour, and a rumour may miss a member. Under a request that it
//! doesn't know, one more target would die, so that a mark is told again for some rounds.

use fleet::Conviction;
use model::Micros;

use crate::crash_report::{self, CrashReport};
use crate::membership;

/// Marks that are being told.
#[derive(Debug)]
pub struct News {
    members: membership::CommandSender,
    items: Vec<Item>,
}

#[derive(Debug)]
struct Item {
    mark: CrashReport,
    /// When it is told next.
    at: Micros,
    /// Rounds left.
    left: u32,
}

impl News {
    /// Nothing to tell yet.
    pub fn new(members: membership::CommandSender) -> Self {
        let items = Vec::new();
        Self { members, items }
    }

    /// Tells the fleet of a suspect or a conviction, now and for some rounds.
    pub fn spread(&mut self, now: Micros, mark: CrashReport) {
        self.items.push(Item {
            mark,
            at: now,
            left: crash_report::REPORTS,
        });
        self.tell(now);
    }

    /// Tells what is due.
    pub fn tell(&mut self, now: Micros) {
        for item in self.items.iter_mut().filter(|i| i.at <= now) {
            item.left -= 1;
            item.at = now + crash_report::REPORT_INTERVAL.into();
            // A later end makes it news again.
            let news = Conviction {
                fingerprint: item.mark.encode(),
                until: now + crash_report::strike_duration(),
            };
            let _ = self.members.send(membership::Command::Convict(news));
        }
        self.items.retain(|i| i.left > 0);
    }
}

//! What the fleet is told of requests that crash targets.
//!
//! Membership spreads a mark by rumour, and a rumour may miss a member. Under a request that it
//! doesn't know, one more target would die, so that a mark is told again for some rounds.

use fleet::Conviction;
use model::Micros;

use crate::mark::{self, Mark};
use crate::member;

/// Marks that are being told.
#[derive(Debug)]
pub struct News {
    members: member::Asker,
    items: Vec<Item>,
}

#[derive(Debug)]
struct Item {
    mark: Mark,
    /// When it is told next.
    at: Micros,
    /// Rounds left.
    left: u32,
}

impl News {
    /// Nothing to tell yet.
    pub fn new(members: member::Asker) -> Self {
        let items = Vec::new();
        Self { members, items }
    }

    /// Tells the fleet of a suspect or a conviction, now and for some rounds.
    pub fn spread(&mut self, now: Micros, mark: Mark) {
        self.items.push(Item {
            mark,
            at: now,
            left: mark::ROUNDS,
        });
        self.tell(now);
    }

    /// Tells what is due.
    pub fn tell(&mut self, now: Micros) {
        for item in self.items.iter_mut().filter(|i| i.at <= now) {
            item.left -= 1;
            item.at = now + mark::ROUND.into();
            // A later end makes it news again.
            let news = Conviction {
                fingerprint: item.mark.encode(),
                until: now + mark::lasts(),
            };
            let _ = self.members.send(member::Ask::Convict(news));
        }
        self.items.retain(|i| i.left > 0);
    }
}

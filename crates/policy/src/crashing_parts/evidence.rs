//! Evidence on one part: crashes while it was running, and complete answers.

use model::Micros;

use super::Config;
use crate::quarantine::Crash;

/// Maximum number of crashes kept for a part.
const MAX_CRASHES: usize = 8;
/// Time by which a request has to be sent after a crash for its own crash to be a later one. Covers
/// the delay of messages, whose ages are relative to their arrival.
const MARGIN: Micros = Micros::from_millis(100);

/// A crash while the part was running.
#[derive(Clone, Copy, Debug)]
struct Counted {
    crash: Crash,
    /// When the request was sent.
    sent: Micros,
    /// When the target crashed.
    at: Micros,
}

impl Counted {
    fn follows(&self, earlier: Micros) -> bool {
        self.sent >= earlier + MARGIN
    }
}

/// Evidence on one part.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    /// Crashes since the last complete answer.
    counted: Vec<Counted>,
    answered: Option<Micros>,
    /// Number of complete answers to all prompts at the first crash.
    answers: u64,
}

impl Evidence {
    /// Counts a crash, unless it is known or precedes an answer. `answers` is the number of complete
    /// answers to all prompts.
    pub(super) fn count(&mut self, crash: Crash, sent: Micros, at: Micros, answers: u64) {
        // A target may crash again under the same id, which its next request shows.
        let is_known = |c: &Counted| {
            let other = Counted { crash, sent, at };
            c.crash == crash && !other.follows(c.at) && !c.follows(at)
        };
        let is_old = self.answered.is_some_and(|answered| at <= answered);
        if is_old || self.counted.iter().any(is_known) {
            return;
        }
        if self.counted.is_empty() {
            self.answers = answers;
        }
        self.counted.push(Counted { crash, sent, at });
        if self.counted.len() > MAX_CRASHES {
            self.drop_one();
        }
    }

    /// Drops a crash at the same time as others, or the latest one.
    fn drop_one(&mut self) {
        self.counted.sort_unstable_by_key(|c| c.at);
        let mut last = None;
        let follows = |c: &Counted| {
            let follows = last.is_none_or(|at| c.follows(at));
            if follows {
                last = Some(c.at);
            }
            follows
        };
        let in_row: Vec<_> = self.counted.iter().map(follows).collect();
        let spare = in_row.iter().position(|in_row| !in_row);
        self.counted.remove(spare.unwrap_or(MAX_CRASHES));
    }

    /// Records a complete answer, which outweighs all crashes before it.
    pub(super) fn record_answer(&mut self, at: Micros) {
        self.answered = Some(self.answered.map_or(at, |known| known.max(at)));
        self.counted.retain(|c| c.at > at);
    }

    /// Forgets all crashes.
    pub(super) fn clear(&mut self) {
        self.counted = Vec::new();
    }

    /// Time of the latest complete answer.
    pub(super) fn answered(&self) -> Option<Micros> {
        self.answered
    }

    /// Time of the first crash that counts.
    pub(super) fn first(&self) -> Option<Micros> {
        self.counted.iter().map(|c| c.at).min()
    }

    /// Number of crashes that count.
    pub(super) fn crashes(&self) -> usize {
        self.counted.len()
    }

    /// Whether a crash counts.
    pub(super) fn contains(&self, crash: Crash) -> bool {
        self.counted.iter().any(|c| c.crash == crash)
    }

    /// Whether the crashes convict the part, without those that `explained` accepts. `answers` is
    /// the number of complete answers to all prompts.
    pub(super) fn suffices(
        &self,
        config: &Config,
        answers: u64,
        explained: impl Fn(Crash) -> bool,
    ) -> bool {
        if self.counted.len() < config.crashes.min(config.in_row_later) {
            return false;
        }
        let mut counted = self.counted.to_vec();
        counted.retain(|c| !explained(c.crash));
        let Some(answered) = self.answered else {
            return counted.len() >= config.crashes;
        };
        let first = counted.iter().map(|c| c.at).min().unwrap_or_default();
        let enough = match first.since(answered) < config.recent {
            true => config.in_row,
            false => config.in_row_later,
        };
        let others = answers.saturating_sub(self.answers);
        in_row(&mut counted) >= enough && others >= config.others
    }
}

/// Length of the longest sequence of crashes, each of a request sent after the crash before.
fn in_row(counted: &mut [Counted]) -> usize {
    counted.sort_unstable_by_key(|c| c.at);
    let mut last = None;
    let mut length = 0;
    for c in counted {
        if last.is_none_or(|at| c.follows(at)) {
            last = Some(c.at);
            length += 1;
        }
    }
    length
}

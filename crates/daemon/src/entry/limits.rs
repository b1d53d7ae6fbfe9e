//! What each team may send: `policy::limit` with the configuration's limits.
//!
//! Each entry enforces an equal part of a limit that holds for the whole fleet; how many entries
//! there are comes from membership. Callers reach entries through a balancer, so that equal parts
//! fit; a team that talks to one entry only gets that entry's part.

use std::collections::HashMap;

use model::Micros;
use policy::limit::{Bucket, Rate};
use rules::Limits as Allowed;

/// Seconds of the rate that may come at once.
const BURST: f64 = 2.0;
/// Prompt bytes a token.
const TOKEN: usize = 4;

/// Whose use is counted together: a team, and the rule if the limit is the rule's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    team: String,
    rule: Option<String>,
    /// Whether tokens are counted, not requests.
    tokens: bool,
}

/// What each team has sent through this entry.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: HashMap<Key, Bucket>,
}

/// A request as its limits see it.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    /// Its team.
    pub team: &'a str,
    /// The rule that decided.
    pub rule: &'a str,
    /// Bytes of its prompt.
    pub prompt: usize,
    /// Live entries.
    pub entries: usize,
}

impl Limits {
    /// Counts a request, or says when to come back. `team` are the limits on all that the team
    /// sends, `rule` those on what it sends under the rule.
    pub fn take(
        &mut self,
        now: Micros,
        sent: Sent<'_>,
        team: &Allowed,
        rule: &Allowed,
    ) -> Result<(), Micros> {
        let prompt = (sent.prompt / TOKEN) as f64;
        let limits = [
            (team.requests, 1.0, None, false),
            (team.tokens, prompt, None, true),
            (rule.requests, 1.0, Some(sent.rule), false),
            (rule.tokens, prompt, Some(sent.rule), true),
        ];
        let mut taken = Vec::new();
        for (rate, units, rule, tokens) in limits {
            let Some(rate) = rate else { continue };
            let key = Key {
                team: sent.team.to_owned(),
                rule: rule.map(str::to_owned),
                tokens,
            };
            let bucket = self.bucket(now, &key, f64::from(rate), sent.entries);
            if let Err(wait) = bucket.take(now, units) {
                self.give_back(&taken);
                return Err(wait);
            }
            taken.push((key, units));
        }
        Ok(())
    }

    /// The bucket of a limit, filled at this entry's part of its rate.
    fn bucket(&mut self, now: Micros, key: &Key, rate: f64, entries: usize) -> &mut Bucket {
        let rate = rate / entries.max(1) as f64;
        let rate = Rate {
            rate,
            burst: (rate * BURST).max(1.0),
        };
        let new = || Bucket::new(now, rate);
        let bucket = self.buckets.entry(key.clone()).or_insert_with(new);
        bucket.set(now, rate);
        bucket
    }

    /// A request refused by one limit must not use up the others.
    fn give_back(&mut self, taken: &[(Key, f64)]) {
        for (key, units) in taken {
            if let Some(b) = self.buckets.get_mut(key) {
                b.give_back(*units);
            }
        }
    }
}

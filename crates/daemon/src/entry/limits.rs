//! Rate limits of teams: `policy::limit` with the limits of the configuration.
//!
//! A limit holds for the whole fleet, and each entry enforces an equal part of it. The number of
//! entries comes from membership. Equal parts fit callers that reach the entries through a load
//! balancer; a team that sends to a single entry gets only that entry's part.

use std::collections::HashMap;

use model::Micros;
use policy::limit::{Bucket, Rate};
use rules::Limits as Allowed;

/// Size of a burst, in seconds of the rate.
const BURST_SECONDS: f64 = 2.0;
/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// What a bucket counts: the requests or tokens of a team, or of a team under one rule.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    team: String,
    /// Name of the rule, if the rule sets the limit.
    rule: Option<String>,
    /// Whether tokens are counted instead of requests.
    tokens: bool,
}

/// Usage of each limit through this entry.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: HashMap<Key, Bucket>,
}

/// What the limits depend on in a request.
#[derive(Clone, Copy, Debug)]
pub struct LimitedRequest<'a> {
    /// Team that sends the request.
    pub team: &'a str,
    /// Rule that decided.
    pub rule: &'a str,
    /// Size of the prompt in bytes.
    pub prompt_bytes: usize,
    /// Number of live entries.
    pub entries: usize,
}

impl Limits {
    /// Counts a request against its limits. If one is exceeded, returns the time until the request
    /// would pass. `team` has the limits on all requests of the team, `rule` those on its requests
    /// under the rule.
    pub fn take(
        &mut self,
        now: Micros,
        request: LimitedRequest<'_>,
        team: &Allowed,
        rule: &Allowed,
    ) -> Result<(), Micros> {
        let prompt_tokens = (request.prompt_bytes / BYTES_PER_TOKEN) as f64;
        let limits = [
            (team.requests, 1.0, None, false),
            (team.tokens, prompt_tokens, None, true),
            (rule.requests, 1.0, Some(request.rule), false),
            (rule.tokens, prompt_tokens, Some(request.rule), true),
        ];
        let mut taken = Vec::new();
        for (rate, units, rule, tokens) in limits {
            let Some(rate) = rate else { continue };
            let key = Key {
                team: request.team.to_owned(),
                rule: rule.map(str::to_owned),
                tokens,
            };
            let bucket = self.bucket(now, &key, f64::from(rate), request.entries);
            if let Err(wait) = bucket.take(now, units) {
                self.give_back(&taken);
                return Err(wait);
            }
            taken.push((key, units));
        }
        Ok(())
    }

    /// Bucket of a limit, filled at this entry's part of the rate.
    fn bucket(&mut self, now: Micros, key: &Key, rate: f64, entries: usize) -> &mut Bucket {
        let rate = rate / entries.max(1) as f64;
        let rate = Rate {
            rate,
            burst: (rate * BURST_SECONDS).max(1.0),
        };
        let new = || Bucket::new(now, rate);
        let bucket = self.buckets.entry(key.clone()).or_insert_with(new);
        bucket.set(now, rate);
        bucket
    }

    /// Undoes the counts of a request that another limit refused, so that it doesn't use them up.
    fn give_back(&mut self, taken: &[(Key, f64)]) {
        for (key, units) in taken {
            if let Some(b) = self.buckets.get_mut(key) {
                b.give_back(*units);
            }
        }
    }
}

//! Rate limits of teams: [`policy::limit`] with the limits of the configuration.
//!
//! A limit holds for the whole fleet, and each entry enforces an equal part of it. The number of
//! entries comes from membership. Equal parts fit callers that reach the entries through a load
//! balancer; a team that sends to a single entry gets only that entry's part.

use std::hash::{Hash, Hasher};

use model::Micros;
use policy::limit::{Config, Limit, LimitKey, Limiter, Purpose};
use rules::Limits as Allowed;
use xxhash_rust::xxh3::Xxh3;

/// Size of a burst, in seconds of the rate.
const BURST_SECONDS: f64 = 2.0;
/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// What a bucket counts: the requests or tokens of a team, or of a team under one rule.
#[derive(Clone, Copy, Debug, Hash)]
struct Key<'a> {
    team: &'a str,
    /// Name of the rule, if the rule sets the limit.
    rule: Option<&'a str>,
    /// Whether tokens are counted instead of requests.
    tokens: bool,
}

impl Key<'_> {
    fn digest(self) -> LimitKey {
        let mut hasher = Xxh3::new();
        self.hash(&mut hasher);
        LimitKey(hasher.finish())
    }
}

/// Usage of each limit through this entry.
#[derive(Debug)]
pub struct Limits {
    limiter: Limiter,
}

impl Default for Limits {
    fn default() -> Self {
        let config = Config {
            overage: 0.0,
            ..Config::default()
        };
        Self {
            limiter: Limiter::new(Micros::ZERO, config, rand::random()),
        }
    }
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
        let prompt_tokens = (request.prompt_bytes / BYTES_PER_TOKEN) as u64;
        let limits = [
            (team.requests, 1, None, false),
            (team.tokens, prompt_tokens, None, true),
            (rule.requests, 1, Some(request.rule), false),
            (rule.tokens, prompt_tokens, Some(request.rule), true),
        ];
        let mut taken = Vec::new();
        for (rate, units, rule, tokens) in limits {
            let Some(rate) = rate else { continue };
            let key = Key {
                team: request.team,
                rule,
                tokens,
            };
            let key = key.digest();
            let rate = f64::from(rate) / request.entries.max(1) as f64;
            let limit = Limit {
                rate,
                burst: (rate * BURST_SECONDS).max(1.0),
            };
            self.limiter.set_limit(now, key, limit);
            // The caller's deadline isn't known yet.
            let passes = self
                .limiter
                .take(now, key, units, Purpose::First, Micros::ZERO);
            if let Err(refusal) = passes {
                // Another limit that was counted already isn't used up by a refused request.
                for (key, units) in taken {
                    self.limiter.give_back(now, key, units);
                }
                return Err(refusal.wait);
            }
            taken.push((key, units));
        }
        Ok(())
    }
}

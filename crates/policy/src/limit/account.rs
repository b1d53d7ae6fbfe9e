//! One entry's copy of a key's token bucket.

use model::Micros;

use super::Limit;

/// Shortest time whose units fit into a bucket; without it, a limit without a burst would refuse
/// every request.
const MIN_BURST_SECS: f64 = 0.1;
/// Time over which demand is averaged; short, since callers may all move to another entry at once.
pub(super) const DEMAND_WINDOW: Micros = Micros::from_millis(700);
/// Least demand that is reported, in requests.
const MIN_DEMAND: f64 = 0.1;
/// Share of the burst below which a key counts as short of units.
const SHORT_SHARE: f64 = 0.5;

/// Units that a key may still use, and those it has used through this entry.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limit: Limit,
    /// Units that the entries together may use without knowing of one another.
    margin: f64,
    level: f64,
    refilled_at: Micros,
    /// When no use from before the account existed matters any more, or zero once the level of
    /// another entry, which contains that use, is adopted.
    settles_at: Micros,
    spent: i64,
    reported: i64,
    changed_at: Option<Micros>,
    recent: f64,
    recent_at: Micros,
    demand: f64,
    demand_at: Micros,
    /// Since when the key is short of units.
    short_since: Option<Micros>,
    /// When all requests that were refused have returned.
    returned_at: Micros,
}

impl Account {
    pub(super) fn new(
        now: Micros,
        limit: Limit,
        margin: f64,
        level: f64,
        settles_at: Micros,
    ) -> Self {
        let mut account = Self {
            limit,
            margin,
            level: 0.0,
            refilled_at: now,
            settles_at,
            spent: 0,
            reported: 0,
            changed_at: None,
            recent: 0.0,
            recent_at: now,
            demand: 0.0,
            demand_at: now,
            short_since: None,
            returned_at: now,
        };
        account.set_limit(limit, margin);
        account.set_level(now, level.min(account.limit.burst));
        account
    }

    /// Changes the limit. Units left are kept, up to the new burst.
    pub(super) fn set_limit(&mut self, limit: Limit, margin: f64) {
        let least = limit.rate * MIN_BURST_SECS;
        self.limit = Limit {
            burst: limit.burst.max(least),
            ..limit
        };
        self.margin = margin;
        self.level = self.level.min(self.limit.burst);
    }

    pub(super) fn margin(&self) -> f64 {
        self.margin
    }

    pub(super) fn limit(&self) -> Limit {
        self.limit
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    pub(super) fn spent(&self) -> i64 {
        self.spent
    }

    /// Whether the level contains the use before the account existed.
    pub(super) fn is_settled(&self, now: Micros) -> bool {
        now >= self.settles_at
    }

    /// Adopts the level of another entry, which doesn't contain this entry's own use.
    pub(super) fn settle(&mut self, level: f64) {
        self.settles_at = Micros::ZERO;
        let level = (level - self.spent as f64).min(self.limit.burst);
        self.set_level(self.refilled_at, level);
    }

    /// Adds the units earned since the last call, with `part` of the limit.
    pub(super) fn refill(&mut self, now: Micros, part: f64) {
        let earned = self.limit.rate * part * now.since(self.refilled_at).as_secs_f64();
        let most = self.limit.burst * part;
        self.refilled_at = self.refilled_at.max(now);
        self.set_level(now, (self.level + earned).min(most).max(self.level));
    }

    /// Counts units used through this entry; a negative number returns them.
    pub(super) fn add(&mut self, now: Micros, units: i64, window: Micros) {
        self.spent += units;
        self.recent = (self.recent(now, window) + units as f64).max(0.0);
        self.recent_at = now;
        self.changed_at = Some(now);
        self.subtract(units as f64);
    }

    /// Subtracts units used through another entry.
    pub(super) fn subtract(&mut self, units: f64) {
        let level = (self.level - units).min(self.limit.burst);
        self.set_level(self.refilled_at, level);
    }

    /// Removes a share of the burst, as far as it is left, and returns it.
    pub(super) fn hold(&mut self, share: f64) -> f64 {
        let held = (self.limit.burst * share).min(self.level.max(0.0));
        self.subtract(held);
        held
    }

    /// Units used through this entry recently, decaying with the length of the window.
    pub(super) fn recent(&self, now: Micros, window: Micros) -> f64 {
        self.recent * decay(now.since(self.recent_at), window)
    }

    /// Counts a request at this entry that may need units, whether or not it gets any.
    pub(super) fn count_demand(&mut self, now: Micros) {
        self.demand = self.demand(now) + 1.0;
        self.demand_at = now;
    }

    /// Requests at this entry lately that may have needed units.
    pub(super) fn demand(&self, now: Micros) -> f64 {
        self.demand * decay(now.since(self.demand_at), DEMAND_WINDOW)
    }

    /// Units that haven't been reported to the other entries.
    pub(super) fn unreported(&self) -> f64 {
        (self.spent - self.reported).abs() as f64
    }

    /// Whether the account belongs into a report, which then counts as sent.
    pub(super) fn mark_reported(&mut self, now: Micros, repeat: Micros) -> bool {
        let recent = self.changed_at.is_some_and(|at| now.since(at) < repeat);
        let wanted = self.demand(now) >= MIN_DEMAND;
        let due = recent || wanted || self.reported != self.spent;
        self.reported = self.spent;
        due
    }

    /// Since when the key has been short of units, if it is.
    pub(super) fn short_since(&self) -> Option<Micros> {
        self.short_since
    }

    /// Time until a refused request would pass, which needs a level above `least`. Requests that were refused before and will return
    /// go first: this entry's `own` share of the limit serves them in turn. A request whose caller
    /// will not wait that long takes no place among them.
    pub(super) fn wait(
        &mut self,
        now: Micros,
        part: f64,
        own: f64,
        least: f64,
        units: u64,
        time_left: Micros,
    ) -> Micros {
        let rate = (self.limit.rate * part).max(f64::MIN_POSITIVE);
        let paid_at = now + secs((least - self.level) / rate);
        let turn = self.returned_at.max(paid_at);
        let wait = turn.since(now).max(Micros::from_millis(1));
        if wait < time_left {
            self.returned_at = turn + secs(units as f64 / (rate * own));
        }
        wait
    }

    fn set_level(&mut self, now: Micros, level: f64) {
        self.level = level;
        self.short_since = match level < self.limit.burst * SHORT_SHARE {
            true => self.short_since.or(Some(now)),
            false => None,
        };
    }
}

/// Factor by which recent use has decayed after a time.
pub(super) fn decay(age: Micros, window: Micros) -> f64 {
    (-age.as_secs_f64() / window.as_secs_f64().max(1e-3)).exp()
}

/// Longest wait that is stated, in seconds.
const MAX_WAIT_SECS: f64 = 3_600.0;

fn secs(s: f64) -> Micros {
    Micros((s.clamp(0.0, MAX_WAIT_SECS) * 1e6) as u64)
}

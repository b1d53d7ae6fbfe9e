//! Rate limits over the whole fleet: of teams, and of targets in need.
//!
//! Load pattern: a team's client misbehaves, or its nightly run starts at noon, and sends many
//! times the team's usual load. Fair queueing keeps the waits of other teams short, but the engine's
//! cache and the places in the queue are shared all the same. Without a limit the hot team evicts
//! the prefixes of all others.
//!
//! Each team has a rate and a burst for the whole fleet. There is no shared counter: every entry has
//! a copy of the team's token bucket ([`Account`]). It subtracts its own units at once and those of
//! other entries when they report them, so callers may stay on one entry, and entries may differ in
//! size. A [`Report`] has counts since the start of the process, so that a lost one is made up for
//! by the next. An entry reports before its unreported units exceed an equal part of what all
//! entries together may overlook.
//!
//! An entry that receives no reports of some peers ([`Peers`]) leaves them their part of the rate,
//! by their last reported use, and uses the rest. Both sides of a partition compute the parts from
//! the same reports, so the parts add up to the limit. An entry that has just started takes the
//! level of an older one; if there is none, its bucket is nearly empty.
//!
//! The rates that targets state ([`crate::target_limit`]) are kept in the same way, in requests.
//!
//! A request passes while the level is above zero, whatever its size, and may leave a debt:
//! otherwise long requests would be refused more often than short ones.

mod account;
mod peers;

use std::collections::hash_map::{Entry, HashMap};
use std::net::SocketAddr;

use model::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use account::Account;
use peers::{Peers, Total, DEMAND_UNIT};

/// A limit over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be used at once, in addition.
    pub burst: f64,
}

/// Hash of the name of what is limited: a team, or an incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LimitKey(pub u64);

/// How closely limits are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Window in which units are counted; 8 s.
    pub window: Micros,
    /// Share of a limit by which the units of a window may exceed it; 0.1.
    pub overage: f64,
    /// Units by which the units of a window may exceed it in addition; 0.
    pub slack: f64,
    /// Longest interval between two reports; 500 ms.
    pub beat: Micros,
    /// Longest interval between two reports while a key has less than half of its burst left; 150
    /// ms.
    pub fast_beat: Micros,
    /// Whether entries pass requests at levels that they draw at random, so that they don't all pass
    /// one at the moment at which a unit is left; for limits of a few requests a second. False.
    pub staggered: bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            window: Micros::from_secs(8),
            overage: 0.1,
            slack: 0.0,
            beat: Micros::from_millis(500),
            fast_beat: Micros::from_millis(150),
            staggered: false,
        }
    }
}

impl Config {
    /// Units by which the use of a window may exceed a limit.
    fn tolerance(&self, limit: Limit) -> f64 {
        let window = limit.rate * self.window.as_secs_f64() + limit.burst;
        window * self.overage + self.slack
    }
}

/// Interval at which [`Limiter::poll`] should be called.
pub const POLL_INTERVAL: Micros = Micros::from_millis(50);
/// Time for which the keys of a report are repeated in later ones, in case it was lost.
const REPEAT: Micros = Micros::from_secs(2);
/// Number of keys in one report, which has to fit into a datagram.
const MAX_KEYS: usize = 30;
/// Share of the tolerance that is added to the burst, so that reports which arrive late refuse
/// nothing of a key that is within its limit. The rest is for use that an entry doesn't know of.
const BURST_SHARE: f64 = 0.2;
/// Share of the margin that a fleet may use when all its processes have just started, and all
/// records of earlier use are lost.
const START_SHARE: f64 = 0.5;
/// Time after its start within which an entry receives the levels of others.
const STARTUP: Micros = Micros::from_millis(500);
/// Seconds of a key's rate that count as used by all entries alike.
const PRIOR_SECS: f64 = 2.0;
/// Share of the margin that all entries together may use at the same moment, if they are staggered.
const AT_ONCE_SHARE: f64 = 0.7;
/// Time after which a staggered entry passes requests at another level.
const REDRAW_INTERVAL: Micros = Micros::from_millis(100);
/// Share of the margin that further runs of admitted requests may use.
const RERUN_SHARE: f64 = 0.25;

/// Why a request needs units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// It has not run yet.
    First,
    /// It has run and needs to run again. It passes in debt as well, since its caller has been
    /// promised an answer.
    Rerun,
}

/// State of a limit for one request.
#[derive(Clone, Copy, Debug)]
struct State {
    /// Part of the limit for this entry and the peers in contact.
    part: f64,
    /// This entry's share of the use through them.
    own_share: f64,
    /// Level above which the request passes if entries aren't staggered.
    least: f64,
    /// By how much the level has to be higher because they are.
    stagger: f64,
}

impl State {
    fn admits(&self, level: f64) -> bool {
        level > self.least + self.stagger
    }
}

/// Refusal of a request, with the state that it rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// Time until the request would pass.
    pub wait: Micros,
    /// Units left; negative for a debt.
    pub level: i64,
    /// Part of the limit that this entry and the peers in contact may use, in thousandths.
    pub part: u32,
    /// Age of the oldest report of a peer in contact.
    pub age: Micros,
}

/// Use of a key's limit through one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The key.
    pub key: LimitKey,
    /// Units used since the start of the process.
    pub spent: i64,
    /// Units used recently, decaying with the length of the window.
    pub recent: u64,
    /// Requests lately that may have needed units, in hundredths; counted only for staggered limits.
    pub demand: u32,
    /// Units left as the reporting entry knows it; `None` if it doesn't know the use before its
    /// start.
    pub level: Option<i64>,
}

/// What one entry reports to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Random number of the process.
    pub process: u64,
    /// When the report was made, since the start of the process.
    pub sent: Micros,
    /// Longest interval until the next report.
    pub beat: Micros,
    /// Keys with recent use.
    pub usage: Vec<Usage>,
}

/// The limits of all keys at one entry.
#[derive(Debug)]
pub struct Limiter {
    config: Config,
    process: u64,
    started: Micros,
    accounts: HashMap<LimitKey, Account>,
    peers: Peers,
    reported_at: Micros,
    /// When the next report is due, as the last one has announced.
    report_due: Micros,
}

impl Limiter {
    /// Creates a limiter without limits. `process` is a random number.
    pub fn new(now: Micros, config: Config, process: u64) -> Self {
        Self {
            config,
            process,
            started: now,
            accounts: HashMap::new(),
            peers: Peers::new(now),
            reported_at: now,
            report_due: now,
        }
    }

    /// Sets the tolerances.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Sets the limits of all keys; a rate of 0 is no limit. Use of keys whose limit changes
    /// remains counted.
    pub fn set_limits(&mut self, now: Micros, limits: impl IntoIterator<Item = (LimitKey, Limit)>) {
        let mut accounts = HashMap::new();
        for (key, limit) in limits.into_iter().filter(|(_, l)| l.rate > 0.0) {
            self.set_limit(now, key, limit);
            accounts.extend(self.accounts.remove_entry(&key));
        }
        self.accounts = accounts;
    }

    /// Sets the limit of one key.
    pub fn set_limit(&mut self, now: Micros, key: LimitKey, limit: Limit) {
        let settles_at = self.started + self.config.window;
        let tolerance = self.config.tolerance(limit);
        let margin = tolerance * (1.0 - BURST_SHARE);
        let limit = Limit {
            burst: limit.burst + tolerance * BURST_SHARE,
            ..limit
        };
        let start = match now >= settles_at {
            true => limit.burst,
            false => (margin * START_SHARE).max(1.0),
        };
        let new = || Account::new(now, limit, margin, start, settles_at);
        self.accounts
            .entry(key)
            .or_insert_with(new)
            .set_limit(limit, margin);
    }

    /// Sets a limit that comes into force while requests are being sent. The earlier use isn't
    /// known, so the bucket starts empty.
    pub fn start_limit(&mut self, now: Micros, key: LimitKey, limit: Limit) {
        if self.accounts.is_empty() {
            // Without limits there are no reports, so their absence says nothing about peers.
            self.peers.restart(now);
        }
        if let Entry::Vacant(vacant) = self.accounts.entry(key) {
            let settles_at = now + self.config.window;
            vacant.insert(Account::new(now, limit, 0.0, 0.0, settles_at));
        }
        self.set_limit(now, key, limit);
    }

    /// Removes a limit.
    pub fn remove_limit(&mut self, key: LimitKey) {
        self.accounts.remove(&key);
    }

    /// Sets the other entries; returns those that weren't known before.
    pub fn set_peers(
        &mut self,
        now: Micros,
        peers: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        self.peers.set(now, peers)
    }

    /// Whether any key has a limit.
    pub fn has_limits(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Takes units of a key, or returns when the request would pass. `time_left` is how long its
    /// caller waits.
    pub fn take(
        &mut self,
        now: Micros,
        key: LimitKey,
        units: u64,
        purpose: Purpose,
        time_left: Micros,
    ) -> Result<(), Refusal> {
        let Some(state) = self.state(now, key, purpose) else {
            return Ok(());
        };
        match self.accounts.get_mut(&key) {
            Some(a) if state.admits(a.level()) => {
                a.add(now, units as i64, self.config.window);
                Ok(())
            }
            _ => Err(self.refusal(now, key, &state, units, time_left)),
        }
    }

    /// Counts units of a request that has been admitted; returns whether the key has a limit.
    pub fn spend(&mut self, now: Micros, key: LimitKey, units: u64) -> bool {
        let account = self.accounts.get_mut(&key);
        account.is_some_and(|a| {
            a.add(now, units as i64, self.config.window);
            true
        })
    }

    /// Whether a request would pass now; it counts as demand.
    pub fn admits(&mut self, now: Micros, key: LimitKey) -> bool {
        if let Some(a) = self.accounts.get_mut(&key) {
            a.count_demand(now);
        }
        let state = self.state(now, key, Purpose::First);
        state
            .zip(self.level(key))
            .is_none_or(|(state, level)| state.admits(level))
    }

    /// Time until a request would pass that is refused now.
    pub fn wait(&mut self, now: Micros, key: LimitKey, time_left: Micros) -> Micros {
        let state = self.state(now, key, Purpose::First);
        state.map_or(Micros::ZERO, |s| {
            self.refusal(now, key, &s, 1, time_left).wait
        })
    }

    /// State of a limit for a request, after a refill; `None` without a limit.
    fn state(&mut self, now: Micros, key: LimitKey, purpose: Purpose) -> Option<State> {
        if !self.accounts.contains_key(&key) {
            return None;
        }
        self.update_contact(now);
        let account = self.accounts.get_mut(&key)?;
        let window = self.config.window;
        let own = account.recent(now, window);
        let part = self.peers.part(now, key, window);
        account.refill(now, part.share);
        let margin = account.margin();
        let burst = account.limit().burst;
        let mut own_share = self.peers.own_share(now, key, own, window);
        if self.config.staggered {
            let demand_share = self.peers.demand_share(key, account.demand(now));
            own_share = own_share.max(demand_share.unwrap_or_default());
        }
        let least = match purpose {
            Purpose::Rerun => -margin * RERUN_SHARE,
            // There was no time to receive the level of another entry.
            Purpose::First if now.since(self.started) < STARTUP && !self.config.staggered => {
                -margin / 2.0 / self.peers.entries() as f64
            }
            Purpose::First => burst * part.late_burst,
        };
        // A full bucket exceeds the draws of this many entries; those with more use draw lower.
        let at_once = (margin * AT_ONCE_SHARE).max(1.0);
        let stagger = match self.config.staggered {
            true => burst * self.draw(now, key) / (at_once * own_share),
            false => 0.0,
        };
        Some(State {
            part: part.share,
            own_share,
            least,
            stagger,
        })
    }

    /// Random number from 0 to 1 that is kept for [`REDRAW_INTERVAL`].
    fn draw(&self, now: Micros, key: LimitKey) -> f64 {
        let interval = now.0 / REDRAW_INTERVAL.0;
        let hash = xxh3_64_with_seed(&interval.to_le_bytes(), self.process ^ key.0);
        hash as f64 / u64::MAX as f64
    }

    fn refusal(
        &mut self,
        now: Micros,
        key: LimitKey,
        state: &State,
        units: u64,
        time_left: Micros,
    ) -> Refusal {
        let Some(account) = self.accounts.get_mut(&key) else {
            return Refusal::default();
        };
        Refusal {
            wait: account.wait(
                now,
                state.part,
                state.own_share,
                state.least,
                units,
                time_left,
            ),
            level: account.level() as i64,
            part: (state.part * 1e3) as u32,
            age: self.peers.oldest_report(now),
        }
    }

    /// Returns the units of a request that has not run.
    pub fn give_back(&mut self, now: Micros, key: LimitKey, units: u64) {
        if let Some(a) = self.accounts.get_mut(&key) {
            a.add(now, -(units as i64), self.config.window);
        }
    }

    /// The reports that are due now, for all peers.
    pub fn poll(&mut self, now: Micros) -> Vec<Report> {
        self.update_contact(now);
        if self.accounts.is_empty() {
            return Vec::new();
        }
        self.update_totals(now);
        let unreported_due = self.refill_changed(now);
        // The interval may have become shorter since it was announced.
        let due = self.report_due.min(self.reported_at + self.beat());
        if now < due && !unreported_due {
            return Vec::new();
        }
        self.reported_at = now;
        self.report_due = now + self.beat();
        let keys = self.accounts.iter_mut();
        let changed = keys.filter_map(|(key, a)| a.mark_reported(now, REPEAT).then_some(*key));
        let changed: Vec<_> = changed.collect();
        self.reports(now, &changed)
    }

    /// Refills the accounts that have changed. Returns whether any has so many units unreported that
    /// all entries together might overlook too many.
    fn refill_changed(&mut self, now: Micros) -> bool {
        let window = self.config.window;
        let entries = self.peers.entries() as f64;
        let mut unreported_due = false;
        for (key, account) in &mut self.accounts {
            if account.unreported() == 0.0 && account.short_since().is_none() {
                continue;
            }
            let part = self.peers.part(now, *key, window);
            account.refill(now, part.share);
            let overlooked = account.level().max(0.0) / 2.0 + account.margin() / 4.0;
            unreported_due |= account.unreported() >= overlooked / entries;
        }
        unreported_due
    }

    /// Receives a report. Returns reports for its sender alone, if its process isn't known yet.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, report: &Report) -> Vec<Report> {
        let Some(first) = self.peers.record(now, from, report) else {
            return Vec::new();
        };
        let own_age = now.since(self.started);
        let settled = self.is_settled(now);
        let window = self.config.window;
        for (key, held) in self.peers.release(from) {
            if let Some(a) = self.accounts.get_mut(&key) {
                a.subtract(-held);
            }
        }
        for t in &report.usage {
            let Some(account) = self.accounts.get_mut(&t.key) else {
                continue;
            };
            let part = self.peers.part(now, t.key, window);
            account.refill(now, part.share);
            let used = self.peers.used(now, from, t, account.limit());
            match t.level {
                // The level of an older entry contains all use that was reported to it, but not
                // that of this entry.
                Some(level) if !account.is_settled(now) => account.settle(level as f64),
                // This entry's level came from one that already knew this use.
                Some(_) if first && !settled && report.sent > own_age => {}
                _ => account.subtract(used),
            }
        }
        match first {
            true => self.full_reports(now),
            false => Vec::new(),
        }
    }

    /// A report without use.
    pub fn empty_report(&self, now: Micros) -> Report {
        self.report(now, now.since(self.started), &[])
    }

    /// Units left of a key, for metrics.
    pub fn level(&self, key: LimitKey) -> Option<f64> {
        self.accounts.get(&key).map(Account::level)
    }

    /// Reports of all keys with recent use.
    fn full_reports(&self, now: Micros) -> Vec<Report> {
        let window = self.config.window;
        let used = self.accounts.iter();
        let used =
            used.filter(|(_, a)| a.recent(now, window) >= 1.0 || a.level() < a.limit().burst);
        let keys: Vec<_> = used.map(|(key, _)| *key).collect();
        self.reports(now, &keys)
    }

    /// Reports of these keys, at least one.
    fn reports(&self, now: Micros, keys: &[LimitKey]) -> Vec<Report> {
        let sent = now.since(self.started);
        let chunks = keys.chunks(MAX_KEYS);
        let mut reports: Vec<_> = chunks.map(|c| self.report(now, sent, c)).collect();
        if reports.is_empty() {
            reports.push(self.report(now, sent, &[]));
        }
        // A peer ignores reports that aren't newer than the last one.
        for (later, report) in reports.iter_mut().enumerate() {
            report.sent = sent + Micros(later as u64);
        }
        reports
    }

    fn report(&self, now: Micros, sent: Micros, keys: &[LimitKey]) -> Report {
        let usage = |key: &LimitKey| {
            let a = self.accounts.get(key)?;
            Some(Usage {
                key: *key,
                spent: a.spent(),
                recent: a.recent(now, self.config.window) as u64,
                demand: (a.demand(now) * DEMAND_UNIT) as u32,
                level: a.is_settled(now).then(|| a.level() as i64),
            })
        };
        Report {
            process: self.process,
            sent,
            beat: self.beat(),
            usage: keys.iter().filter_map(usage).collect(),
        }
    }

    /// Whether the process has run for a whole window, so that no earlier use matters.
    fn is_settled(&self, now: Micros) -> bool {
        now.since(self.started) >= self.config.window
    }

    /// Longest interval between two reports now. It grows with the number of entries, so that the
    /// number of reports that an entry receives doesn't.
    fn beat(&self) -> Micros {
        let short = self.accounts.values().any(|a| a.short_since().is_some());
        let beat = match short {
            true => self.config.fast_beat,
            false => self.config.beat,
        };
        self.peers.scale(beat)
    }

    fn update_contact(&mut self, now: Micros) {
        let hold = |key: LimitKey, share: f64| match self.accounts.get_mut(&key) {
            Some(a) => a.hold(share),
            None => 0.0,
        };
        self.peers.update_contact(now, self.config.window, hold);
    }

    fn update_totals(&mut self, now: Micros) {
        let window = self.config.window;
        let used = self.accounts.iter().map(|(key, a)| {
            let own = Total {
                recent: a.recent(now, window),
                prior: a.limit().rate * PRIOR_SECS,
            };
            (*key, own)
        });
        self.peers.update_totals(now, window, used);
    }
}

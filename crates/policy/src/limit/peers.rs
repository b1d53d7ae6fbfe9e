//! What an entry has received of the other entries' use, and the part of each limit that it leaves
//! to those out of contact.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use model::Micros;

use super::account::{decay, DEMAND_WINDOW};
use super::{Limit, LimitKey, Report, Usage};

/// Share of a limit that is divided equally, so that a key's first request passes at an entry that
/// the key hasn't used.
const EQUAL_SHARE: f64 = 0.1;
/// Number of intervals between reports after which a peer without any counts as out of contact.
const MISSED_BEATS: f64 = 3.2;
/// Number of intervals after which a late report begins to count against the burst, of which all may
/// be in use within moments.
const BURST_LATE_BEATS: f64 = 1.2;
/// Number of intervals after which a late report begins to count against the rate.
const RATE_LATE_BEATS: f64 = 2.0;
/// Number of reports that must be missing from all peers together for an entry to be cut off.
const MISSED_REPORTS: f64 = 8.0;
/// Least number of intervals without a report of any peer after which an entry counts as cut off;
/// peers that were started together report at the same moments.
const CUT_OFF_BEATS: f64 = 1.2;
/// Time after which entries without a majority use only the equal share.
const KEEP_PART: Micros = Micros::from_secs(20);
/// Time after which a majority leaves a peer out of contact only the equal share. Later than
/// [`KEEP_PART`], as both sides don't lose contact at the same moment.
const FORGET: Micros = Micros::from_secs(30);
/// Interval at which the use of all keys is recorded.
const TOTALS_INTERVAL: Micros = Micros::from_millis(200);
/// Time for which records of the use of all keys are kept; peers that have been late for longer are
/// out of contact.
const TOTALS_KEPT: Micros = Micros::from_secs(5);
/// Number of entries up to which reports are sent at the configured intervals.
const FULL_RATE_ENTRIES: f64 = 100.0;

/// Reported demand that counts as one request.
pub(super) const DEMAND_UNIT: f64 = 100.0;

/// A key's use through a peer.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    /// Units since the start of the process, if it has reported them.
    spent: Option<i64>,
    recent: f64,
    /// Requests that may have needed units, and when they were last reported.
    demand: f64,
    demand_at: Micros,
    at: Micros,
    /// Share of the key's use when the peer went out of contact.
    share: f64,
    /// Units left to the peer when it went out of contact.
    held: f64,
    /// Time out of contact that isn't settled with the peer's use yet.
    silent_for: Micros,
}

impl Use {
    fn recent_at(&self, now: Micros, window: Micros) -> f64 {
        self.recent * decay(now.since(self.at), window)
    }
}

/// Use of a key through all entries.
#[derive(Clone, Copy, Debug)]
pub(super) struct Total {
    /// Units used recently.
    pub(super) recent: f64,
    /// Units that count as used by all entries alike, so that a single request of a key that has
    /// sent nothing before doesn't make its entry the one with all of the use.
    pub(super) prior: f64,
}

/// Use of all keys at one time.
#[derive(Debug)]
struct Totals {
    at: Micros,
    keys: HashMap<LimitKey, Total>,
}

/// Part of a key's limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    /// Share of the limit.
    pub(super) share: f64,
    /// Share of the burst that peers may be using although their reports are late.
    pub(super) late_burst: f64,
}

/// How a peer can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Contact {
    /// It has sent nothing yet.
    Unheard { since: Micros },
    /// It sends reports.
    Live,
    /// It has sent nothing for some time and may still run.
    Silent { since: Micros },
    /// It has sent nothing for so long that it most likely doesn't run.
    Forgotten,
}

/// Whether this entry and the peers in contact are more than half of all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Majority {
    Kept,
    LostAt(Micros),
    /// They have been fewer for so long that the others have forgotten them.
    Forgotten,
}

#[derive(Debug)]
struct Peer {
    process: u64,
    sent: Micros,
    received_at: Micros,
    /// Longest interval until its next report, as it has announced.
    beat: Micros,
    contact: Contact,
    uses: HashMap<LimitKey, Use>,
}

impl Peer {
    fn new(now: Micros) -> Self {
        Self {
            process: 0,
            sent: Micros::ZERO,
            received_at: now,
            beat: Micros::ZERO,
            contact: Contact::Unheard { since: now },
            uses: HashMap::new(),
        }
    }

    /// Part of a key's limit that is left to the peer.
    fn reserved(&self, key: LimitKey, entries: f64) -> f64 {
        match self.contact {
            Contact::Live => 0.0,
            Contact::Unheard { .. } => 1.0 / entries,
            Contact::Silent { .. } => self.silent_part(key, entries),
            Contact::Forgotten => EQUAL_SHARE / entries,
        }
    }

    /// Age of the last report, in intervals between reports.
    fn missed_beats(&self, now: Micros) -> f64 {
        now.since(self.received_at).as_secs_f64() / self.beat.as_secs_f64().max(1e-3)
    }

    /// A key's recent use through the peer.
    fn recent(&self, now: Micros, key: LimitKey, window: Micros) -> f64 {
        let used = self.uses.get(&key);
        used.map_or(0.0, |u| u.recent_at(now, window))
    }

    fn silent_part(&self, key: LimitKey, entries: f64) -> f64 {
        let share = self.uses.get(&key).map_or(0.0, |u| u.share);
        EQUAL_SHARE / entries + (1.0 - EQUAL_SHARE) * share
    }
}

/// The other entries.
#[derive(Debug)]
pub(super) struct Peers {
    peers: HashMap<SocketAddr, Peer>,
    /// When the last report of any peer was received.
    received_at: Micros,
    majority: Majority,
    /// Recent use at earlier times, the latest last.
    totals: VecDeque<Totals>,
}

impl Peers {
    pub(super) fn new(now: Micros) -> Self {
        Self {
            peers: HashMap::new(),
            received_at: now,
            majority: Majority::Kept,
            totals: VecDeque::new(),
        }
    }

    /// Sets the addresses of the other entries; returns those that weren't known before.
    pub(super) fn set(
        &mut self,
        now: Micros,
        addrs: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<SocketAddr> {
        let mut old = std::mem::take(&mut self.peers);
        let mut new = Vec::new();
        let known = |a| {
            let peer = old.remove(&a).unwrap_or_else(|| {
                new.push(a);
                Peer::new(now)
            });
            (a, peer)
        };
        self.peers = addrs.into_iter().map(known).collect();
        // An entry that isn't listed here yet may have sent reports already.
        let live = old.into_iter().filter(|(_, p)| p.contact == Contact::Live);
        self.peers.extend(live);
        new
    }

    /// Treats all peers as not heard of yet; what is known of their use remains.
    pub(super) fn restart(&mut self, now: Micros) {
        self.received_at = now;
        self.majority = Majority::Kept;
        for peer in self.peers.values_mut() {
            peer.contact = Contact::Unheard { since: now };
        }
    }

    /// Number of entries, including this one.
    pub(super) fn entries(&self) -> usize {
        self.peers.len() + 1
    }

    /// An interval between reports for this number of entries.
    pub(super) fn scale(&self, interval: Micros) -> Micros {
        let factor = (self.entries() as f64 / FULL_RATE_ENTRIES).max(1.0);
        Micros((interval.0 as f64 * factor) as u64)
    }

    /// Records that a report was received. Returns whether it is the first one of its process, or
    /// `None` if a newer one was received before.
    pub(super) fn record(
        &mut self,
        now: Micros,
        from: SocketAddr,
        report: &Report,
    ) -> Option<bool> {
        let peer = self.peers.entry(from).or_insert_with(|| Peer::new(now));
        let first = peer.process != report.process;
        if !first && report.sent <= peer.sent {
            return None;
        }
        if first {
            // The use of an earlier process has been subtracted and doesn't count again.
            for u in peer.uses.values_mut() {
                *u = Use {
                    held: u.held,
                    ..Use::default()
                };
            }
            peer.process = report.process;
        }
        if let Contact::Silent { since } = peer.contact {
            let silent_for = now.since(since);
            let uses = peer.uses.values_mut();
            uses.for_each(|u| {
                u.silent_for = u.silent_for + silent_for;
                u.demand_at = now;
            });
        }
        peer.sent = report.sent;
        peer.beat = report.beat;
        peer.received_at = now;
        peer.contact = Contact::Live;
        self.received_at = now;
        Some(first)
    }

    /// Records a key's use through a peer. Returns the units that weren't known before.
    pub(super) fn used(
        &mut self,
        now: Micros,
        from: SocketAddr,
        report: &Usage,
        limit: Limit,
    ) -> f64 {
        let entries = self.entries() as f64;
        let Some(peer) = self.peers.get_mut(&from) else {
            return 0.0;
        };
        let known = peer.uses.get(&report.key).copied();
        let part = peer.silent_part(report.key, entries);
        peer.uses.insert(
            report.key,
            Use {
                spent: Some(report.spent),
                recent: report.recent as f64,
                demand: f64::from(report.demand) / DEMAND_UNIT,
                demand_at: now,
                at: now,
                ..Use::default()
            },
        );
        let Some((known, spent)) = known.and_then(|k| Some((k, k.spent?))) else {
            return (report.recent as i64).min(report.spent) as f64;
        };
        let used = (report.spent - spent) as f64;
        // What was reserved for the peer while it was silent isn't subtracted again.
        let reserved = part * limit.rate * known.silent_for.as_secs_f64();
        match used > 0.0 {
            true => (used - reserved).max(0.0),
            false => used,
        }
    }

    /// Part of a key's limit for this entry and the peers in contact.
    pub(super) fn part(&self, now: Micros, key: LimitKey, window: Micros) -> Part {
        let entries = self.entries() as f64;
        let reserved: f64 = self.peers.values().map(|p| p.reserved(key, entries)).sum();
        let (late_rate, late_burst) = self.uncertain_shares(now, key, window);
        let least = EQUAL_SHARE * self.live() as f64 / entries;
        let part = match self.majority {
            Majority::Kept | Majority::LostAt(_) => 1.0 - reserved - late_rate,
            Majority::Forgotten => least,
        };
        Part {
            share: part.max(least),
            late_burst,
        }
    }

    /// This entry's share of a key's use through all entries in contact.
    pub(super) fn own_share(&self, now: Micros, key: LimitKey, own: f64, window: Micros) -> f64 {
        let others = self.recent(now, key, window);
        let least = EQUAL_SHARE / self.entries() as f64;
        match own + others {
            all if all > 0.0 => (own / all).max(least),
            _ => 1.0 / self.entries() as f64,
        }
    }

    /// This entry's share of the demand for a key at all entries, which follows callers that move to
    /// another entry sooner than the use. `None` while an entry is out of contact, as its demand isn't
    /// known then.
    pub(super) fn demand_share(&self, key: LimitKey, own: f64) -> Option<f64> {
        let is_known = |p: &Peer| matches!(p.contact, Contact::Live | Contact::Forgotten);
        if !self.peers.values().all(is_known) || own == 0.0 {
            return None;
        }
        let live = self.peers.values().filter(|p| p.contact == Contact::Live);
        // Demand that a peer doesn't report any more has passed, but not that of one that is late.
        let demand = |p: &Peer| {
            let used = p.uses.get(&key)?;
            Some(used.demand * decay(p.received_at.since(used.demand_at), DEMAND_WINDOW))
        };
        let others: f64 = live.filter_map(demand).sum();
        Some(own / (own + others))
    }

    /// Age of the oldest last report among the peers in contact.
    pub(super) fn oldest_report(&self, now: Micros) -> Micros {
        let live = self.peers.values().filter(|p| p.contact == Contact::Live);
        let ages = live.map(|p| now.since(p.received_at));
        ages.max().unwrap_or(Micros::ZERO)
    }

    /// Number of entries in contact, including this one.
    fn live(&self) -> usize {
        let live = self.peers.values().filter(|p| p.contact == Contact::Live);
        live.count() + 1
    }

    /// Units that were left to a peer while it was out of contact.
    pub(super) fn release(&mut self, from: SocketAddr) -> Vec<(LimitKey, f64)> {
        let uses = self.peers.get_mut(&from).into_iter();
        let held = uses.flat_map(|p| &mut p.uses).filter(|(_, u)| u.held > 0.0);
        held.map(|(key, u)| (*key, std::mem::take(&mut u.held)))
            .collect()
    }

    /// Shares of a key's rate and burst that peers may be using although their reports are late.
    /// They grow with the age of the last reports, up to the peers' share of the recent use.
    fn uncertain_shares(&self, now: Micros, key: LimitKey, window: Micros) -> (f64, f64) {
        let live = self.peers.values().filter(|p| p.contact == Contact::Live);
        let late = live.filter(|p| p.missed_beats(now) > BURST_LATE_BEATS);
        late.fold((0.0, 0.0), |(rate, burst), p| {
            let share = self.last_share(now, p, key, window);
            let missed = p.missed_beats(now);
            (
                rate + share * (missed - RATE_LATE_BEATS).clamp(0.0, 1.0),
                burst + share * (missed - BURST_LATE_BEATS).clamp(0.0, 1.0),
            )
        })
    }

    /// A peer's share of a key's use when it sent its last report. Both sides of a lost connection
    /// compute their parts from use before it.
    fn last_share(&self, now: Micros, peer: &Peer, key: LimitKey, window: Micros) -> f64 {
        let mut earlier = self.totals.iter().rev();
        let earlier = earlier.find(|t| t.at <= peer.received_at);
        let totals = earlier.or(self.totals.front());
        let Some((at, total)) = totals.and_then(|t| Some((t.at, t.keys.get(&key)?))) else {
            return 0.0;
        };
        let prior = total.prior / self.entries() as f64;
        let all = total.recent * decay(now.since(at), window) + total.prior;
        ((peer.recent(now, key, window) + prior) / all.max(1.0)).min(1.0)
    }

    /// Moves peers that have sent no reports lately out of contact. `hold` takes a share of a key's
    /// units that is left to a peer.
    pub(super) fn update_contact(
        &mut self,
        now: Micros,
        window: Micros,
        mut hold: impl FnMut(LimitKey, f64) -> f64,
    ) {
        let cut_off = CUT_OFF_BEATS.max(MISSED_REPORTS / (self.live() as f64 - 1.0));
        let quiet = now.since(self.received_at).as_secs_f64();
        let is_silent = |p: &Peer| {
            let is_cut_off = quiet > cut_off * p.beat.as_secs_f64();
            p.contact == Contact::Live && (is_cut_off || p.missed_beats(now) > MISSED_BEATS)
        };
        let silent = self.peers.iter().filter(|(_, p)| is_silent(p));
        let silent: Vec<_> = silent.map(|(addr, _)| *addr).collect();
        for addr in silent {
            let keys = self.totals.back().into_iter().flat_map(|t| t.keys.keys());
            let shares = self.peers.get(&addr).into_iter().flat_map(|p| {
                let share = |key: &LimitKey| (*key, self.last_share(now, p, *key, window));
                keys.clone().map(share)
            });
            let shares: Vec<_> = shares.collect();
            let Some(peer) = self.peers.get_mut(&addr) else {
                continue;
            };
            peer.contact = Contact::Silent { since: now };
            for (key, share) in shares {
                let used = peer.uses.entry(key).or_default();
                used.share = share;
                used.held = hold(key, share);
            }
        }
        self.update_majority(now);
    }

    /// Records the use of all keys. `own` is the use through this entry.
    pub(super) fn update_totals(
        &mut self,
        now: Micros,
        window: Micros,
        own: impl Iterator<Item = (LimitKey, Total)>,
    ) {
        let last = self.totals.back().map(|t| t.at);
        if last.is_some_and(|at| now.since(at) < TOTALS_INTERVAL) {
            return;
        }
        let keys = own.map(|(key, own)| {
            let recent = own.recent + self.recent(now, key, window);
            (key, Total { recent, ..own })
        });
        let keys = keys.collect();
        self.totals.push_back(Totals { at: now, keys });
        while self
            .totals
            .front()
            .is_some_and(|t| now.since(t.at) > TOTALS_KEPT)
        {
            self.totals.pop_front();
        }
    }

    /// A key's recent use through all peers.
    fn recent(&self, now: Micros, key: LimitKey, window: Micros) -> f64 {
        self.peers
            .values()
            .map(|p| p.recent(now, key, window))
            .sum()
    }

    fn update_majority(&mut self, now: Micros) {
        let forgotten = self
            .peers
            .values()
            .filter(|p| p.contact == Contact::Forgotten);
        let entries = self.entries() - forgotten.count();
        self.majority = match self.majority {
            _ if self.live() * 2 > entries => Majority::Kept,
            Majority::Kept => Majority::LostAt(now),
            Majority::LostAt(at) if now.since(at) > KEEP_PART => Majority::Forgotten,
            other => other,
        };
        if self.majority != Majority::Kept {
            return;
        }
        for peer in self.peers.values_mut() {
            match peer.contact {
                Contact::Unheard { since } | Contact::Silent { since }
                    if now.since(since) > FORGET =>
                {
                    peer.contact = Contact::Forgotten;
                }
                _ => {}
            }
        }
    }
}

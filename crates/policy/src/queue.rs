//! The order in which a sidecar hands waiting requests to its engine.
//!
//! Load pattern: more requests than the engine can run, of several classes and teams, some of
//! them a hundred times as long as others. In order of arrival a person on the line waits behind a
//! night's batch, a team that sends a thousand requests at once shuts out all others, and a
//! question of one second waits for a report of a minute.
//!
//! Four rules, in this order:
//! - Class: the more urgent class first. Each less urgent one has a small assured share of the
//!   work, so that it is slow under overload but never stands still.
//! - Team: within a class the team that has received the least work for its weight.
//! - Length: within a team the least of arrival time + [`Config::ageing`] x expected work. Short
//!   requests overtake long ones, and a long one is overtaken only by what came up to that much
//!   later.
//! - Deadline: what can no longer be answered in time is given back at once by
//!   [`Queue::expire`]. It would waste the engine's time, and its caller can still act. What
//!   isn't expected to have its turn in time is given back earlier by [`Queue::review`].
//!
//! Work is expected engine time. Grounds: 10% for normal and 5% for batch keep their queues moving
//! at a cost of at most 18% (0.15/0.85) more wait for calls. With ageing 6 a request of one second,
//! most of a full prompt, falls back by 6 s, within what callers on the line wait. In the replay at
//! twice the load, 6 in place of 2 serves 492 instead of 439 of 757 calls in time; 12 serves 525,
//! but leaves long requests of a busy team hardly a chance.

mod review;

use std::collections::{BTreeMap, BTreeSet};

use model::{Class, Micros, TeamKey};
use slab::Slab;

/// How a queue shares the engine.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The part of the work assured to each class while more urgent ones wait too; none for
    /// calls, 0.10 for normal, 0.05 for batch.
    pub assured: [f64; 3],
    /// By how much of its own work a request falls back behind later ones; 6.
    pub ageing: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            assured: [0.0, 0.10, 0.05],
            ageing: 6,
        }
    }
}

/// How often a lighter team's waiting work is taken to be replaced while a heavier team's request
/// waits, as far as fairness lets it go first.
///
/// Were only what waits now counted, a busy team's request would be told a third of its wait and
/// be given back at its deadline: whatever the lighter teams send meanwhile goes first too. In the
/// replay at twice the load 4 leaves half as many of these as 1. Without a bound, calls are refused
/// for work that never comes.
const REFILL: f64 = 4.0;

/// Requests of a team that are compared by what they would take now.
const LOOK: usize = 16;

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(usize);

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Job<T> {
    /// Whose it is.
    pub team: TeamKey,
    /// The team's weight; a team of weight 2 gets twice the work of one of weight 1.
    pub weight: u32,
    /// Its urgency.
    pub class: Class,
    /// Engine time that it is expected to take.
    pub work: Micros,
    /// When it came.
    pub arrived: Micros,
    /// When its caller gives up; [`Micros::MAX`] if never.
    pub deadline: Micros,
    /// What the driver keeps with it.
    pub payload: T,
}

/// A waiting request with its place in the order, which later settings don't change.
#[derive(Debug)]
struct Kept<T> {
    job: Job<T>,
    order: u64,
}

/// Requests of one team in one class.
#[derive(Debug, Default)]
struct Lane {
    /// Virtual time at which the team's next request starts.
    start: f64,
    /// By fair order within the team.
    order: BTreeSet<(u64, JobKey)>,
    work: Micros,
    weight: u32,
}

/// Requests of one class.
#[derive(Debug, Default)]
struct Band {
    /// In key order, so that sums over them come out the same each time.
    lanes: BTreeMap<TeamKey, Lane>,
    /// Virtual time of the last start.
    now: f64,
    /// Work that the class may take before more urgent ones.
    credit: f64,
    work: Micros,
    len: usize,
}

/// The requests that wait at one sidecar.
#[derive(Debug)]
pub struct Queue<T> {
    config: Config,
    jobs: Slab<Kept<T>>,
    bands: [Band; 3],
    /// By the last time at which each can still be started.
    latest: BTreeSet<(Micros, JobKey)>,
    /// The last one that [`Queue::review`] looked at.
    seen: Option<(Micros, JobKey)>,
    /// When it next looks.
    again: Micros,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            jobs: Slab::new(),
            bands: Default::default(),
            latest: BTreeSet::new(),
            seen: None,
            again: Micros::ZERO,
        }
    }

    /// Follows other settings from now on.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Takes a request in.
    pub fn push(&mut self, job: Job<T>) -> JobKey {
        let order = job.arrived.0 + self.config.ageing * job.work.0;
        let latest = job.deadline - job.work;
        let (team, class, work, weight) = (job.team, job.class, job.work, job.weight.max(1));
        let key = JobKey(self.jobs.insert(Kept { job, order }));
        self.latest.insert((latest, key));

        let band = &mut self.bands[class.index()];
        band.len += 1;
        band.work = band.work + work;
        let now = band.now;
        let lane = band.lanes.entry(team).or_default();
        if lane.order.is_empty() {
            // A team that was away has no claim to the time it didn't use.
            lane.start = lane.start.max(now);
        }
        lane.weight = weight;
        lane.work = lane.work + work;
        lane.order.insert((order, key));
        key
    }

    /// Takes the next request for the engine.
    pub fn pop(&mut self) -> Option<Job<T>> {
        self.pop_by(|job| job.work)
    }

    /// Takes the next request for the engine, with `work` telling what each would take now.
    ///
    /// While a request waits, others bring its prefix into the cache or push it out. Of the
    /// first [`LOOK`] of the team whose turn it is, the least by today's work goes first, so that
    /// requests with a common prefix follow one another while it is there.
    pub fn pop_by(&mut self, work: impl Fn(&Job<T>) -> Micros) -> Option<Job<T>> {
        let top = self.top()?;
        let class = self.next_class()?;
        let team = self.bands[class].next()?.0;
        let first = self.bands[class].lanes.get(&team)?.order.iter().take(LOOK);
        let order = |key: &JobKey| {
            let job = &self.jobs[key.0].job;
            job.arrived.0 + self.config.ageing * work(job).0
        };
        let key = first.map(|(_, key)| *key).min_by_key(order)?;
        let job = self.remove(key)?;
        self.bands[class].charge(team, job.work, job.weight);
        self.settle(top, class, job.work);
        Some(job)
    }

    /// Takes out a request whose caller went away.
    pub fn remove(&mut self, key: JobKey) -> Option<Job<T>> {
        let Kept { job, order } = self.jobs.try_remove(key.0)?;
        self.latest.remove(&(job.deadline - job.work, key));
        self.bands[job.class.index()].remove(job.team, (order, key), job.work);
        Some(job)
    }

    /// Takes out all requests that could not be answered in time even if started now.
    pub fn expire(&mut self, now: Micros) -> Vec<Job<T>> {
        let mut late = Vec::new();
        while let Some((_, key)) = self.latest.first().copied().filter(|(t, _)| *t < now) {
            late.extend(self.remove(key));
        }
        late
    }

    /// Takes out all requests, the most urgent first, for a planned stop.
    pub fn drain(&mut self) -> Vec<Job<T>> {
        std::iter::from_fn(|| self.pop()).collect()
    }

    /// When [`Queue::expire`] next has something to do.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.latest.first().map(|(t, _)| *t + Micros(1))
    }

    /// The engine time that a request of this class and team would wait for.
    ///
    /// It counts the more urgent classes in full, the assured part of the less urgent ones, and
    /// in its own class of each team only what fairness lets go first.
    pub fn work_ahead(&self, class: Class, team: TeamKey, weight: u32, work: Micros) -> Micros {
        let lane = self.bands[class.index()].lanes.get(&team);
        // The team's own requests go before this one if they are shorter; half of them, say.
        let before = lane.map_or(0, |l| l.work.0 / 2);
        self.slowed(class, team, weight, before, work)
    }

    /// The engine time that goes before a request, with `before` of its own team.
    fn slowed(
        &self,
        class: Class,
        team: TeamKey,
        weight: u32,
        before: u64,
        work: Micros,
    ) -> Micros {
        let index = class.index();
        let urgent: u64 = self.bands[..index].iter().map(|b| b.work.0).sum();
        let own = self.bands[index].ahead(team, weight.max(1), before, work);
        let slowed = (urgent + own) as f64 / (1.0 - self.assured_below(index)).max(0.1);
        Micros(slowed as u64)
    }

    /// The engine time of all waiting requests.
    pub fn work(&self) -> Micros {
        Micros(self.bands.iter().map(|b| b.work.0).sum())
    }

    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Waiting requests of a class.
    pub fn len_of(&self, class: Class) -> usize {
        self.bands[class.index()].len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The class of the next request: the most urgent, or one below it that has earned its turn.
    fn next_class(&self) -> Option<usize> {
        let top = self.top()?;
        let due = (top + 1..3).find(|i| self.bands[*i].is_due(&self.jobs));
        Some(due.unwrap_or(top))
    }

    fn top(&self) -> Option<usize> {
        self.bands.iter().position(|b| b.len > 0)
    }

    fn assured_below(&self, class: usize) -> f64 {
        let below = (class + 1..3).filter(|i| self.bands[*i].len > 0);
        below.map(|i| self.config.assured[i]).sum()
    }

    /// Credits the classes that had to let this work go first, and charges the one served.
    fn settle(&mut self, top: usize, class: usize, work: Micros) {
        let assured = self.config.assured;
        for (i, band) in self.bands.iter_mut().enumerate() {
            match band.len {
                0 => band.credit = 0.0,
                _ if i > top => band.credit += work.0 as f64 * assured[i],
                _ => {}
            }
        }
        if class > top {
            self.bands[class].credit -= work.0 as f64;
        }
    }
}

impl Band {
    /// Whether the class has saved up for its next request.
    fn is_due<T>(&self, jobs: &Slab<Kept<T>>) -> bool {
        let next = self.next().and_then(|(_, key)| jobs.get(key.0));
        next.is_some_and(|k| self.credit >= k.job.work.0 as f64)
    }

    /// The team with the earliest virtual start, and its next request.
    fn next(&self) -> Option<(TeamKey, JobKey)> {
        let waiting = self.lanes.iter().filter(|(_, l)| !l.order.is_empty());
        let (team, lane) = waiting.min_by(|(a, x), (b, y)| {
            // Equal starts go by the older request, then by key, never by the map's order.
            let by_start = x.start.total_cmp(&y.start);
            by_start
                .then_with(|| x.order.first().cmp(&y.order.first()))
                .then_with(|| a.cmp(b))
        })?;
        lane.order.first().map(|(_, key)| (*team, *key))
    }

    fn charge(&mut self, team: TeamKey, work: Micros, weight: u32) {
        if let Some(lane) = self.lanes.get_mut(&team) {
            self.now = self.now.max(lane.start);
            lane.start += work.0 as f64 / f64::from(weight.max(1));
        }
        if self.len == 0 {
            // Nobody waits, so nobody has a claim; this also bounds the number of lanes.
            self.lanes.clear();
            self.now = 0.0;
        }
    }

    fn remove(&mut self, team: TeamKey, order: (u64, JobKey), work: Micros) {
        self.len -= 1;
        self.work = self.work - work;
        if let Some(lane) = self.lanes.get_mut(&team) {
            lane.order.remove(&order);
            lane.work = lane.work - work;
        }
    }

    fn ahead(&self, team: TeamKey, weight: u32, before: u64, work: Micros) -> u64 {
        let own = self.lanes.get(&team);
        let turn = own.map_or(self.now, |l| l.start.max(self.now));
        let finish = turn + (before + work.0) as f64 / f64::from(weight);
        let others = self.lanes.iter().filter(|(t, _)| **t != team);
        let sum: f64 = others
            .map(|(_, l)| {
                let until = (finish - l.start) * f64::from(l.weight.max(1));
                until.clamp(0.0, REFILL * l.work.0 as f64)
            })
            .sum();
        before + sum as u64
    }
}

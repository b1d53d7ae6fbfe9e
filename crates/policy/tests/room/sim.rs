//! Entries, callers and a pool that serves prompts in order of arrival, in virtual time.

use std::collections::{BTreeMap, VecDeque};

use model::Micros;
use policy::room::{Config, Decision, FlowKey, Report, Room};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Length of a step of virtual time.
const STEP: Micros = Micros::from_millis(10);
/// Interval between updates of the shares.
const UPDATE: Micros = Micros::from_millis(250);
/// Share of the reports that are lost.
const LOSS: f64 = 1.0 / 3.0;
/// Seconds after the last counted arrival by which it has been served.
const LATEST: f64 = 5.0;
/// Number of engines of the pool.
pub(crate) const ENGINES: usize = 10;
/// Tokens per second that the pool serves.
pub(crate) const CAPACITY: f64 = 400_000.0;

/// Requests of one kind by one team.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub(crate) team: u64,
    pub(crate) rank: u8,
    pub(crate) units: u64,
    /// Demand as a fraction of the capacity.
    pub(crate) load: f64,
    pub(crate) goal: f64,
    pub(crate) deadline: f64,
}

/// What happens at a time in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The demand of a team at a rank becomes this multiple.
    Demand(u64, u8, f64),
    /// An entry ends; its callers go to the others.
    Kill(usize),
    /// An entry starts.
    Join,
    /// An entry ends, and one starts in its place.
    Restart(usize),
    /// This fraction of the engines is left.
    Engines(f64),
}

/// A run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Case {
    pub(crate) entries: usize,
    pub(crate) streams: Vec<Stream>,
    pub(crate) faults: Vec<(f64, Fault)>,
    /// Weights of teams.
    pub(crate) weights: Vec<(u64, f64)>,
}

/// Requests of a stream by their outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: u32,
    pub(crate) served: u32,
    pub(crate) late: u32,
    /// Refusals for room, of which one request may get several.
    pub(crate) refused: u32,
}

impl Tally {
    /// Fraction of the requests that were served.
    pub(crate) fn fraction(&self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    stream: usize,
    arrived: Micros,
    deadline: Micros,
}

struct Entry {
    room: Room,
    alive: bool,
}

/// Runs a case; returns the tally of each stream for arrivals between these seconds.
pub(crate) fn run(case: &Case, seed: u64, from: f64, to: f64) -> Vec<Tally> {
    let mut rng = StdRng::seed_from_u64(seed);
    let secs = |s: f64| Micros((s * 1e6) as u64);
    let weights = || case.weights.iter().copied().collect();
    let enter = |now: Micros, rng: &mut StdRng| {
        let mut room = Room::new(now, Config::default(), rng.random());
        room.set_weights(weights());
        Entry { room, alive: true }
    };
    let mut entries: Vec<_> = (0..case.entries)
        .map(|_| enter(Micros::ZERO, &mut rng))
        .collect();
    let mut faults: VecDeque<_> = case.faults.iter().copied().collect();
    let mut factors: BTreeMap<(u64, u8), f64> = BTreeMap::new();
    let mut tallies = vec![Tally::default(); case.streams.len()];
    let mut callers: BTreeMap<(Micros, u64), Caller> = BTreeMap::new();
    let mut running: VecDeque<(Micros, usize, Caller)> = VecDeque::new();
    let mut mail: BTreeMap<(Micros, u64), (usize, Report)> = BTreeMap::new();
    let (mut free_at, mut number, mut speed) = (Micros::ZERO, 0_u64, 1.0);
    let mut now = Micros::ZERO;
    while now < secs(to + LATEST) {
        now = now + STEP;
        while faults.front().is_some_and(|(at, _)| secs(*at) <= now) {
            match faults.pop_front().expect("a fault").1 {
                Fault::Demand(team, rank, f) => drop(factors.insert((team, rank), f)),
                Fault::Kill(i) => entries[i].alive = false,
                Fault::Join => entries.push(enter(now, &mut rng)),
                Fault::Restart(i) => entries[i] = enter(now, &mut rng),
                Fault::Engines(f) => speed = f,
            }
        }
        for (i, s) in case.streams.iter().enumerate() {
            let factor = factors.get(&(s.team, s.rank)).copied().unwrap_or(1.0);
            let mut due = s.load * factor * CAPACITY * STEP.as_secs_f64() / s.units as f64;
            while due > 0.0 {
                if rng.random::<f64>() < due {
                    number += 1;
                    let deadline = now + secs(s.deadline);
                    callers.insert(
                        (now, number),
                        Caller {
                            stream: i,
                            arrived: now,
                            deadline,
                        },
                    );
                    tallies[i].arrived += u32::from(now >= secs(from) && now < secs(to));
                }
                due -= 1.0;
            }
        }
        while let Some(letter) = mail.first_entry().filter(|l| l.key().0 <= now) {
            let (to, report) = letter.remove();
            entries[to].room.receive(now, report);
        }
        while running.front().is_some_and(|(at, ..)| *at <= now) {
            let (at, entry, c) = running.pop_front().expect("a request");
            let s = case.streams[c.stream];
            entries[entry].room.record_first_event(now, s.units);
            let counts = c.arrived >= secs(from) && c.arrived < secs(to);
            let tally = &mut tallies[c.stream];
            tally.served += u32::from(counts && at <= c.deadline);
            tally.late += u32::from(counts && at.since(c.arrived) > secs(s.goal));
        }
        while let Some(next) = callers.first_entry().filter(|c| c.key().0 <= now) {
            let c = next.remove();
            let s = case.streams[c.stream];
            let alive: Vec<_> = (0..entries.len()).filter(|i| entries[*i].alive).collect();
            // The first entry gets a quarter of the requests.
            let nth = rng.random_range(0..alive.len() + alive.len() / 3);
            let at = alive[nth % alive.len() * usize::from(nth < alive.len())];
            let key = FlowKey {
                team: s.team,
                rank: s.rank,
            };
            let left = Micros(c.deadline.since(now).0);
            let room = &mut entries[at].room;
            let counts = c.arrived >= secs(from) && c.arrived < secs(to);
            let wait = match room.offer(now, key, s.units, left, rng.random()) {
                Decision::Refuse { wait } => {
                    tallies[c.stream].refused += u32::from(counts);
                    wait
                }
                Decision::Admit => {
                    let queue = free_at.since(now).as_secs_f64();
                    room.record_pick(now, queue > s.goal / 2.0);
                    if queue <= s.goal {
                        let took = secs(s.units as f64 / CAPACITY / speed);
                        free_at = free_at.max(now) + took;
                        running.push_back((free_at, at, c));
                        continue;
                    }
                    room.withdraw(now, key, s.units);
                    secs(queue - s.goal / 2.0)
                }
            };
            number += 1;
            // A caller doesn't return for an answer that would come too late.
            if now + wait + secs(s.goal) < c.deadline {
                callers.insert((now + wait, number), c);
            }
        }
        if now.0.is_multiple_of(UPDATE.0) {
            let alive: Vec<_> = (0..entries.len()).filter(|i| entries[*i].alive).collect();
            for from in &alive {
                let room = &mut entries[*from].room;
                room.set_entries(alive.len() - 1);
                room.update(now, (ENGINES as f64 * speed) as usize);
                let Some(report) = room.poll(now) else {
                    continue;
                };
                for to in alive.iter().filter(|to| *to != from) {
                    if rng.random::<f64>() >= LOSS {
                        number += 1;
                        let delay = Micros::from_millis(rng.random_range(1..60));
                        mail.insert((now + delay, number), (*to, report.clone()));
                    }
                }
            }
        }
    }
    tallies
}

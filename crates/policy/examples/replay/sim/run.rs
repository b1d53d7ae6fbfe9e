//! The replay itself: a queue of events in virtual time.

mod faults;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use model::{BlockHash, Class, Micros, TargetKey, TeamKey};
use policy::health::{self, Use};
use policy::probe_placement::{self, choose, replicas_to_probe, Offer, Peer};
use prefix::{levels, rank, Event, Marks, Need};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use slotmap::SlotMap;

use super::engine::{Engine, Job};
use super::entry::{deadline, Entry};
use super::report::{End, Record, Report};
use super::setup::{Fault, Order, Policy, Setup};
use super::sidecar::{Ask, Sidecar};
use super::trace::{Prompt, Request};

/// One way between failure domains, and within one.
const WAY: [Micros; 2] = [Micros(1_000), Micros(100)];
/// The part of a trace that only warms the caches.
const WARM: f64 = 0.25;

enum Step {
    Arrive(usize),
    Probe(usize),
    Open(usize, usize),
    Pump(usize),
    Prefilled(usize, u64),
    Decoded(usize, u64, usize),
    Tell(usize, Vec<Event>),
    Snapshot(usize),
    Fault(Fault),
}

struct Live {
    at: Micros,
    prompt: Rc<Prompt>,
    ask: Ask,
    entry: usize,
    asked: Vec<usize>,
    choices: Vec<usize>,
    wait: Micros,
    expected: Micros,
    attempt: u32,
    work: Micros,
}

struct Replay<'a> {
    setup: &'a Setup,
    trace: &'a [Request],
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    steps: Vec<Option<Step>>,
    targets: Vec<TargetKey>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    sidecars: Vec<Sidecar>,
    live: Vec<Live>,
    rng: SmallRng,
    report: Report,
}

/// Replays a trace.
pub(crate) fn run(setup: &Setup, trace: &[Request]) -> Report {
    let mut replay = Replay::new(setup, trace);
    while let Some(Reverse((now, step))) = replay.heap.pop() {
        if let Some(step) = replay.steps[step as usize].take() {
            replay.step(now, step);
        }
    }
    let from = (trace.len() as f64 * WARM) as usize;
    let at = |i: usize| replay.live.get(i).map_or(Micros::ZERO, |l| l.at);
    let span = at(trace.len() - 1).since(at(from));
    let classes: Vec<Class> = trace.iter().map(|r| r.class).collect();
    replay.report.close(from, span, setup.replicas);
    replay.report.judge(&classes, from, span);
    replay.report
}

impl<'a> Replay<'a> {
    fn new(setup: &'a Setup, trace: &'a [Request]) -> Self {
        let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
        let targets: Vec<_> = (0..setup.replicas).map(|_| keys.insert(())).collect();
        let token = Micros(setup.engine.gap.0 / u64::from(setup.engine.slots));
        let sidecar = |t: &TargetKey| Sidecar::new(*t, setup.engine.prefill, token);
        let mut replay = Self {
            setup,
            trace,
            heap: BinaryHeap::new(),
            steps: Vec::new(),
            entries: (0..setup.entries).map(|_| Entry::new(&targets)).collect(),
            engines: targets.iter().map(|_| Engine::new(setup.engine)).collect(),
            sidecars: targets.iter().map(sidecar).collect(),
            targets,
            live: Vec::new(),
            rng: SmallRng::seed_from_u64(setup.seed),
            report: Report::new(trace.len()),
        };
        replay.load();
        for (at, fault) in &setup.faults {
            replay.push(*at, Step::Fault(*fault));
        }
        replay
    }

    fn load(&mut self) {
        let mut teams: SlotMap<TeamKey, ()> = SlotMap::with_key();
        let mut names = std::collections::HashMap::new();
        for (i, request) in self.trace.iter().enumerate() {
            let name = request.team.clone();
            let team = *names.entry(name).or_insert_with(|| teams.insert(()));
            let at = Micros((request.at_ms as f64 * 1_000.0 / self.setup.speed) as u64);
            let prompt = request.prompt(i);
            let ask = Ask {
                request: i,
                team,
                class: request.class,
                blocks: prompt.chain.len() as u32,
                output: request.output,
                deadline: at + deadline(request.class),
            };
            self.live.push(Live {
                at,
                prompt,
                ask,
                entry: self.rng.random_range(0..self.setup.entries),
                asked: Vec::new(),
                choices: Vec::new(),
                wait: Micros::ZERO,
                expected: Micros::ZERO,
                attempt: 0,
                work: Micros::ZERO,
            });
            self.push(at, Step::Arrive(i));
        }
    }

    fn push(&mut self, at: Micros, step: Step) {
        self.heap.push(Reverse((at, self.steps.len() as u64)));
        self.steps.push(Some(step));
    }

    fn step(&mut self, now: Micros, step: Step) {
        match step {
            Step::Arrive(i) => self.arrive(now, i),
            Step::Probe(i) => self.probe(now, i),
            Step::Open(i, r) => self.open(now, i, r),
            Step::Pump(r) => self.pump(now, r),
            Step::Prefilled(r, life) if self.engines[r].life.0 == life => self.prefilled(now, r),
            Step::Decoded(r, life, i) if self.engines[r].life.0 == life => {
                self.engines[r].decoded(i);
                let work = self.live[i].work;
                self.sidecars[r].finished(now, work);
                self.pump(now, r);
            }
            Step::Prefilled(..) | Step::Decoded(..) => {}
            Step::Tell(r, events) => self.tell(now, r, events),
            Step::Snapshot(r) => {
                let (life, seq, blocks) = self.engines[r].snapshot();
                let _ = self.sidecars[r].index.reset(now, life, seq, blocks);
            }
            Step::Fault(fault) => self.fault(now, fault),
        }
    }

    fn way(&self, entry: usize, replica: usize) -> Micros {
        let domains = self.setup.domains;
        WAY[usize::from(entry % domains == replica % domains)]
    }

    fn arrive(&mut self, now: Micros, i: usize) {
        let entry = self.live[i].entry;
        if self.live[i].attempt == 0 {
            self.entries[entry].budget.record_first_attempt();
        }
        match self.setup.policy {
            Policy::Ours => {
                self.live[i].asked = self.candidates(now, i);
                self.push(now + WAY[0], Step::Probe(i));
            }
            Policy::Oracle => self.push(now + WAY[0], Step::Probe(i)),
            Policy::RoundRobin => {
                let turn = &mut self.entries[entry].turn;
                *turn += 1;
                let replica = *turn % self.setup.replicas;
                self.send(now, i, vec![replica]);
            }
            Policy::LeastLoaded => {
                let load = |r: &usize| self.engines[*r].load() + self.sidecars[*r].queue.len();
                let first = self.rng.random_range(0..self.setup.replicas);
                let turned = (0..self.setup.replicas).map(|r| (r + first) % self.setup.replicas);
                let least = turned.min_by_key(load).unwrap_or(0);
                self.send(now, i, vec![least]);
            }
            Policy::ConsistentHash => {
                let chain = &self.live[i].prompt.chain;
                let key = levels(chain).next().map_or(BlockHash(0), |m| m.hash);
                let best = (0..self.setup.replicas).max_by_key(|r| rank(key, *r as u64));
                self.send(now, i, vec![best.unwrap_or(0)]);
            }
        }
    }

    fn candidates(&mut self, now: Micros, i: usize) -> Vec<usize> {
        let entry = &self.entries[self.live[i].entry];
        let usable = |p: &&Peer| entry.health.usable(now, p.target) != Use::Out;
        let peers: Vec<Peer> = entry.peers.iter().filter(usable).copied().collect();
        let chain = &self.live[i].prompt.chain;
        let chosen = replicas_to_probe(
            &self.setup.place,
            chain,
            &peers,
            &entry.recent,
            &mut self.rng,
        );
        chosen.into_iter().map(|t| self.replica(t)).collect()
    }

    fn replica(&self, target: TargetKey) -> usize {
        self.targets.iter().position(|t| *t == target).unwrap_or(0)
    }

    fn probe(&mut self, now: Micros, i: usize) {
        let (prompt, ask) = (self.live[i].prompt.clone(), self.live[i].ask);
        let known = self.entries[self.live[i].entry]
            .recent
            .longest(&prompt.chain);
        let marks = Marks::with(&prompt.chain, known.map(|(m, _)| m.blocks));
        let oracle = self.setup.policy == Policy::Oracle;
        let asked = match oracle {
            true => (0..self.setup.replicas).collect(),
            false => self.live[i].asked.clone(),
        };
        let mut offers: Vec<Offer> = Vec::new();
        for r in asked {
            let mut offer = self.sidecars[r].offer(now, &ask, &marks);
            if oracle {
                let told = self.sidecars[r].index.matched_chain(&prompt.chain);
                offer.matched = self.engines[r].cached(&prompt.chain).max(told);
            }
            offers.push(offer);
        }
        let entry = self.live[i].entry;
        for offer in &offers {
            let peers = self.entries[entry].peers.iter_mut();
            for peer in peers.filter(|p| p.target == offer.target) {
                peer.wait = offer.wait;
            }
        }
        let share = self.entries[entry].recent.share(&prompt.chain);
        let request = probe_placement::PlacementRequest {
            class: ask.class,
            blocks: ask.blocks,
            heat: share * self.setup.replicas as f64,
            home: probe_placement::home(&prompt.chain, &self.entries[entry].peers),
        };
        self.entries[entry].recent.record_request(&prompt.chain);
        let way = |t| self.way(entry, self.replica(t));
        let choices = choose(&self.setup.place, &request, &offers, way);
        let least = offers.iter().map(|o| o.prefill).min().unwrap_or_default();
        if let Some(best) = choices.first() {
            let told = offers.iter().find(|o| o.target == best.target);
            let missing = u64::from((ask.blocks - best.matched).max(1));
            self.live[i].wait = told.map_or(Micros::ZERO, |o| o.wait);
            self.live[i].expected = Micros(least.0 * missing) + WAY[0];
            self.entries[entry]
                .recent
                .record_use(&prompt.chain, best.target);
            self.entries[entry].health.start_trial(now, best.target);
        }
        let order: Vec<usize> = choices.iter().map(|c| self.replica(c.target)).collect();
        self.send(now + WAY[0], i, order);
    }

    fn send(&mut self, now: Micros, i: usize, order: Vec<usize>) {
        self.live[i].choices = order;
        self.send_next(now, i);
    }

    fn send_next(&mut self, now: Micros, i: usize) {
        match self.live[i].choices.is_empty() {
            true => self.report.end(i, End::Refused),
            false => {
                let r = self.live[i].choices.remove(0);
                let way = self.way(self.live[i].entry, r);
                self.push(now + way, Step::Open(i, r));
            }
        }
    }

    fn open(&mut self, now: Micros, i: usize, r: usize) {
        let (prompt, ask) = (self.live[i].prompt.clone(), self.live[i].ask);
        match self.setup.order {
            Order::Fifo => self.hand(now, i, r),
            Order::Ours => match self.sidecars[r].open(now, ask, &prompt.chain) {
                Ok(()) => {
                    if let Some(at) = self.sidecars[r].queue.next_expiry() {
                        self.push(at, Step::Pump(r));
                    }
                }
                Err(_) => self.send_next(now + self.way(self.live[i].entry, r), i),
            },
        }
        self.pump(now, r);
    }

    fn hand(&mut self, now: Micros, i: usize, r: usize) {
        let job = Job {
            request: i,
            prompt: self.live[i].prompt.clone(),
            scope: self.trace[i].team.as_str().into(),
            output: self.trace[i].output,
            handed: now,
        };
        self.engines[r].hand(job);
    }

    fn pump(&mut self, now: Micros, r: usize) {
        for (i, late) in self.sidecars[r].expire(now) {
            let after = now.since(self.live[i].at);
            let end = match late {
                true => End::Expired { after },
                false => End::Returned { after },
            };
            self.report.end(i, end);
        }
        let slots = self.setup.engine.slots;
        while let Some(handed) = self.sidecars[r].next(now, self.engines[r].load(), slots) {
            self.live[handed.request].work = handed.work;
            self.hand(now, handed.request, r);
        }
        if let Some(took) = self.engines[r].start() {
            self.note_start(r);
            let life = self.engines[r].life.0;
            self.push(now + took, Step::Prefilled(r, life));
        }
    }

    /// Records what the prefill that begins recomputes.
    fn note_start(&mut self, r: usize) {
        let Some(prefill) = &self.engines[r].prefill else {
            return;
        };
        let chain = &prefill.job.prompt.chain;
        let best = self
            .engines
            .iter()
            .map(|e| e.cached(chain))
            .max()
            .unwrap_or(0);
        self.report.ran(
            prefill.job.request,
            Record {
                blocks: chain.len() as u32,
                cached: prefill.cached,
                wasted: best.saturating_sub(prefill.cached),
                prefill: prefill.took,
                decode: Micros(
                    self.setup.engine.gap.0 * u64::from(prefill.job.output)
                        / u64::from(self.setup.engine.slots),
                ),
            },
        );
    }

    fn prefilled(&mut self, now: Micros, r: usize) {
        let Some((done, decode)) = self.engines[r].prefilled() else {
            return;
        };
        let i = done.job.request;
        let blocks = (done.job.prompt.chain.len() as u32 - done.cached).max(1);
        if self.setup.order == Order::Ours {
            self.sidecars[r].prefilled(now, blocks, done.took, done.job.handed);
        }
        let entry = self.live[i].entry;
        let first = now + self.way(entry, r);
        let ttft = first.since(self.live[i].at);
        let in_time = first <= self.live[i].ask.deadline;
        self.report.end(i, End::Served { ttft, in_time });
        let sample = health::Sample::Answered {
            wait: self.live[i].wait,
            expected: self.live[i].expected,
            took: ttft,
        };
        self.entries[entry]
            .health
            .record(now, self.targets[r], sample);
        let life = self.engines[r].life.0;
        self.push(now + decode, Step::Decoded(r, life, i));
        self.publish(now, r);
        self.pump(now, r);
    }

    fn publish(&mut self, now: Micros, r: usize) {
        let loss = self.setup.loss;
        let mut events = std::mem::take(&mut self.engines[r].events);
        events.retain(|_| !self.rng.random_bool(loss));
        if self.setup.order == Order::Ours {
            self.push(now + self.setup.late, Step::Tell(r, events));
        }
    }

    fn tell(&mut self, now: Micros, r: usize, events: Vec<Event>) {
        for event in events {
            let _ = self.sidecars[r].index.apply(now, event);
        }
        if self.sidecars[r].index.tick(now) == Need::Snapshot {
            self.push(now + self.setup.late, Step::Snapshot(r));
        }
    }
}

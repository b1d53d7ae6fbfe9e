//! The simulation loop: a queue of steps, run in the order of virtual time.

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
use super::sidecar::{RequestSpec, Sidecar};
use super::trace::{Prompt, Request};

/// One-way network delay between failure domains, and within one.
const NETWORK_DELAY: [Micros; 2] = [Micros(1_000), Micros(100)];
/// The share of a trace that only warms the caches and is not counted.
const WARMUP_SHARE: f64 = 0.25;

/// A scheduled step. Numbers are indexes of requests and replicas, and incarnations of engines: a
/// step of an earlier incarnation is skipped.
enum Step {
    /// A request arrives at its entry.
    Arrive(usize),
    /// The probes of a request arrive at the sidecars.
    Probe(usize),
    /// A request arrives at a replica.
    Enqueue(usize, usize),
    /// A replica removes expired requests and dispatches waiting ones.
    Dispatch(usize),
    /// The prefill that runs on a replica, under this incarnation, ends.
    Prefilled(usize, u64),
    /// A replica, under this incarnation, ends the decoding of a request.
    Decoded(usize, u64, usize),
    /// Cache events of a replica arrive at the sidecar.
    ApplyEvents(usize, Vec<Event>),
    /// The sidecar of a replica reads the whole cache list.
    Snapshot(usize),
    /// A fault of the setup occurs.
    Fault(Fault),
}

/// State of a request, from its arrival through all attempts.
struct RequestState {
    arrived: Micros,
    prompt: Rc<Prompt>,
    spec: RequestSpec,
    entry: usize,
    probed: Vec<usize>,
    /// Replicas that have not been attempted, in the order of preference.
    choices: Vec<usize>,
    /// Wait that the chosen replica offered.
    wait: Micros,
    /// Expected time to the first token without the wait.
    expected: Micros,
    attempt: u32,
    /// Estimated work, set when the request is dispatched.
    work: Micros,
}

/// State of the simulation.
struct Replay<'a> {
    setup: &'a Setup,
    trace: &'a [Request],
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    steps: Vec<Option<Step>>,
    targets: Vec<TargetKey>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    sidecars: Vec<Sidecar>,
    requests: Vec<RequestState>,
    rng: SmallRng,
    report: Report,
}

/// Replays a trace and returns the figures.
pub(crate) fn run(setup: &Setup, trace: &[Request]) -> Report {
    let mut replay = Replay::new(setup, trace);
    while let Some(Reverse((now, step))) = replay.heap.pop() {
        if let Some(step) = replay.steps[step as usize].take() {
            replay.run_step(now, step);
        }
    }
    let from = (trace.len() as f64 * WARMUP_SHARE) as usize;
    let arrived = |i: usize| replay.requests.get(i).map_or(Micros::ZERO, |r| r.arrived);
    let span = arrived(trace.len() - 1).since(arrived(from));
    let classes: Vec<Class> = trace.iter().map(|r| r.class).collect();
    replay.report.summarize_engines(from, span, setup.replicas);
    replay.report.summarize_outcomes(&classes, from, span);
    replay.report
}

impl<'a> Replay<'a> {
    fn new(setup: &'a Setup, trace: &'a [Request]) -> Self {
        let mut keys: SlotMap<TargetKey, ()> = SlotMap::with_key();
        let targets: Vec<_> = (0..setup.replicas).map(|_| keys.insert(())).collect();
        let decode_per_token =
            Micros(setup.engine.token_interval.0 / u64::from(setup.engine.slots));
        let sidecar =
            |t: &TargetKey| Sidecar::new(*t, setup.engine.prefill_per_block, decode_per_token);
        let mut replay = Self {
            setup,
            trace,
            heap: BinaryHeap::new(),
            steps: Vec::new(),
            entries: (0..setup.entries).map(|_| Entry::new(&targets)).collect(),
            engines: targets.iter().map(|_| Engine::new(setup.engine)).collect(),
            sidecars: targets.iter().map(sidecar).collect(),
            targets,
            requests: Vec::new(),
            rng: SmallRng::seed_from_u64(setup.seed),
            report: Report::new(trace.len()),
        };
        replay.schedule_arrivals();
        for (at, fault) in &setup.faults {
            replay.push(*at, Step::Fault(*fault));
        }
        replay
    }

    /// Creates the state of all requests and schedules their arrival.
    fn schedule_arrivals(&mut self) {
        let mut teams: SlotMap<TeamKey, ()> = SlotMap::with_key();
        let mut names = std::collections::HashMap::new();
        for (i, request) in self.trace.iter().enumerate() {
            let name = request.team.clone();
            let team = *names.entry(name).or_insert_with(|| teams.insert(()));
            let at = Micros((request.at_ms as f64 * 1_000.0 / self.setup.speed) as u64);
            let prompt = request.prompt(i);
            let spec = RequestSpec {
                request: i,
                team,
                class: request.class,
                blocks: prompt.chain.len() as u32,
                max_output_tokens: request.output,
                deadline: at + deadline(request.class),
            };
            self.requests.push(RequestState {
                arrived: at,
                prompt,
                spec,
                entry: self.rng.random_range(0..self.setup.entries),
                probed: Vec::new(),
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

    fn run_step(&mut self, now: Micros, step: Step) {
        match step {
            Step::Arrive(i) => self.arrive(now, i),
            Step::Probe(i) => self.probe(now, i),
            Step::Enqueue(i, r) => self.enqueue(now, i, r),
            Step::Dispatch(r) => self.dispatch_waiting(now, r),
            Step::Prefilled(r, incarnation) if self.engines[r].incarnation.0 == incarnation => {
                self.prefilled(now, r)
            }
            Step::Decoded(r, incarnation, i) if self.engines[r].incarnation.0 == incarnation => {
                self.engines[r].finish_decode(i);
                let work = self.requests[i].work;
                self.sidecars[r].record_finished(now, work);
                self.dispatch_waiting(now, r);
            }
            Step::Prefilled(..) | Step::Decoded(..) => {}
            Step::ApplyEvents(r, events) => self.apply_events(now, r, events),
            Step::Snapshot(r) => {
                let (incarnation, seq, blocks) = self.engines[r].snapshot();
                let _ = self.sidecars[r].index.reset(now, incarnation, seq, blocks);
            }
            Step::Fault(fault) => self.apply_fault(now, fault),
        }
    }

    fn network_delay(&self, entry: usize, replica: usize) -> Micros {
        let domains = self.setup.domains;
        NETWORK_DELAY[usize::from(entry % domains == replica % domains)]
    }

    fn arrive(&mut self, now: Micros, i: usize) {
        let entry = self.requests[i].entry;
        if self.requests[i].attempt == 0 {
            self.entries[entry].budget.record_first_attempt();
        }
        match self.setup.policy {
            Policy::Ours => {
                self.requests[i].probed = self.replicas_to_probe(now, i);
                self.push(now + NETWORK_DELAY[0], Step::Probe(i));
            }
            Policy::Oracle => self.push(now + NETWORK_DELAY[0], Step::Probe(i)),
            Policy::RoundRobin => {
                let next_replica = &mut self.entries[entry].next_replica;
                *next_replica += 1;
                let replica = *next_replica % self.setup.replicas;
                self.send_in_order(now, i, vec![replica]);
            }
            Policy::LeastLoaded => {
                let load = |r: &usize| self.engines[*r].load() + self.sidecars[*r].queue.len();
                let first = self.rng.random_range(0..self.setup.replicas);
                let rotated = (0..self.setup.replicas).map(|r| (r + first) % self.setup.replicas);
                let least = rotated.min_by_key(load).unwrap_or(0);
                self.send_in_order(now, i, vec![least]);
            }
            Policy::ConsistentHash => {
                let chain = &self.requests[i].prompt.chain;
                let key = levels(chain).next().map_or(BlockHash(0), |m| m.hash);
                let best = (0..self.setup.replicas).max_by_key(|r| rank(key, *r as u64));
                self.send_in_order(now, i, vec![best.unwrap_or(0)]);
            }
        }
    }

    fn replicas_to_probe(&mut self, now: Micros, i: usize) -> Vec<usize> {
        let entry = &self.entries[self.requests[i].entry];
        let usable = |p: &&Peer| entry.health.usable(now, p.target) != Use::Out;
        let peers: Vec<Peer> = entry.peers.iter().filter(usable).copied().collect();
        let chain = &self.requests[i].prompt.chain;
        let chosen = replicas_to_probe(
            &self.setup.placement,
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
        let (prompt, spec) = (self.requests[i].prompt.clone(), self.requests[i].spec);
        let known = self.entries[self.requests[i].entry]
            .recent
            .longest(&prompt.chain);
        let marks = Marks::with(&prompt.chain, known.map(|(m, _)| m.blocks));
        let oracle = self.setup.policy == Policy::Oracle;
        let probed = match oracle {
            true => (0..self.setup.replicas).collect(),
            false => self.requests[i].probed.clone(),
        };
        let mut offers: Vec<Offer> = Vec::new();
        for r in probed {
            let mut offer = self.sidecars[r].answer_probe(now, &spec, &marks);
            if oracle {
                let indexed = self.sidecars[r].index.matched_chain(&prompt.chain);
                offer.matched = self.engines[r].cached_blocks(&prompt.chain).max(indexed);
            }
            offers.push(offer);
        }
        let entry = self.requests[i].entry;
        for offer in &offers {
            let peers = self.entries[entry].peers.iter_mut();
            for peer in peers.filter(|p| p.target == offer.target) {
                peer.wait = offer.wait;
            }
        }
        let share = self.entries[entry].recent.share(&prompt.chain);
        let request = probe_placement::PlacementRequest {
            class: spec.class,
            blocks: spec.blocks,
            heat: share * self.setup.replicas as f64,
            home: probe_placement::home(&prompt.chain, &self.entries[entry].peers),
        };
        self.entries[entry].recent.record_request(&prompt.chain);
        let network_delay = |t| self.network_delay(entry, self.replica(t));
        let choices = choose(&self.setup.placement, &request, &offers, network_delay);
        let least = offers.iter().map(|o| o.prefill).min().unwrap_or_default();
        if let Some(best) = choices.first() {
            let offer = offers.iter().find(|o| o.target == best.target);
            let missing = u64::from((spec.blocks - best.matched).max(1));
            self.requests[i].wait = offer.map_or(Micros::ZERO, |o| o.wait);
            self.requests[i].expected = Micros(least.0 * missing) + NETWORK_DELAY[0];
            self.entries[entry]
                .recent
                .record_use(&prompt.chain, best.target);
            self.entries[entry].health.start_trial(now, best.target);
        }
        let order: Vec<usize> = choices.iter().map(|c| self.replica(c.target)).collect();
        self.send_in_order(now + NETWORK_DELAY[0], i, order);
    }

    /// Sends a request to the first of the given replicas that accepts it.
    fn send_in_order(&mut self, now: Micros, i: usize, order: Vec<usize>) {
        self.requests[i].choices = order;
        self.try_next_choice(now, i);
    }

    fn try_next_choice(&mut self, now: Micros, i: usize) {
        match self.requests[i].choices.is_empty() {
            true => self.report.end(i, End::Refused),
            false => {
                let r = self.requests[i].choices.remove(0);
                let network_delay = self.network_delay(self.requests[i].entry, r);
                self.push(now + network_delay, Step::Enqueue(i, r));
            }
        }
    }

    fn enqueue(&mut self, now: Micros, i: usize, r: usize) {
        let (prompt, spec) = (self.requests[i].prompt.clone(), self.requests[i].spec);
        match self.setup.order {
            Order::Fifo => self.send_to_engine(now, i, r),
            Order::Ours => match self.sidecars[r].enqueue(now, spec, &prompt.chain) {
                Ok(()) => {
                    if let Some(at) = self.sidecars[r].queue.next_expiry() {
                        self.push(at, Step::Dispatch(r));
                    }
                }
                Err(_) => {
                    self.try_next_choice(now + self.network_delay(self.requests[i].entry, r), i)
                }
            },
        }
        self.dispatch_waiting(now, r);
    }

    fn send_to_engine(&mut self, now: Micros, i: usize, r: usize) {
        let job = Job {
            request: i,
            prompt: self.requests[i].prompt.clone(),
            scope: self.trace[i].team.as_str().into(),
            output: self.trace[i].output,
            dispatched_at: now,
        };
        self.engines[r].enqueue(job);
    }

    fn dispatch_waiting(&mut self, now: Micros, r: usize) {
        for (i, late) in self.sidecars[r].expire(now) {
            let after = now.since(self.requests[i].arrived);
            let end = match late {
                true => End::Expired { after },
                false => End::Returned { after },
            };
            self.report.end(i, end);
        }
        let slots = self.setup.engine.slots;
        while let Some(dispatched) =
            self.sidecars[r].dispatch_next(now, self.engines[r].load(), slots)
        {
            self.requests[dispatched.request].work = dispatched.work;
            self.send_to_engine(now, dispatched.request, r);
        }
        if let Some(duration) = self.engines[r].start_prefill() {
            self.record_prefill(r);
            let incarnation = self.engines[r].incarnation.0;
            self.push(now + duration, Step::Prefilled(r, incarnation));
        }
    }

    /// Records the blocks that the prefill which has just started recomputes.
    fn record_prefill(&mut self, r: usize) {
        let Some(prefill) = &self.engines[r].prefill else {
            return;
        };
        let chain = &prefill.job.prompt.chain;
        let best = self
            .engines
            .iter()
            .map(|e| e.cached_blocks(chain))
            .max()
            .unwrap_or(0);
        self.report.record_run(
            prefill.job.request,
            Record {
                blocks: chain.len() as u32,
                cached: prefill.cached_blocks,
                wasted: best.saturating_sub(prefill.cached_blocks),
                prefill: prefill.duration,
                decode: Micros(
                    self.setup.engine.token_interval.0 * u64::from(prefill.job.output)
                        / u64::from(self.setup.engine.slots),
                ),
            },
        );
    }

    fn prefilled(&mut self, now: Micros, r: usize) {
        let Some((done, decode)) = self.engines[r].finish_prefill() else {
            return;
        };
        let i = done.job.request;
        let blocks = (done.job.prompt.chain.len() as u32 - done.cached_blocks).max(1);
        if self.setup.order == Order::Ours {
            self.sidecars[r].record_first_token(now, blocks, done.duration, done.job.dispatched_at);
        }
        let entry = self.requests[i].entry;
        let first_token_at = now + self.network_delay(entry, r);
        let ttft = first_token_at.since(self.requests[i].arrived);
        let in_time = first_token_at <= self.requests[i].spec.deadline;
        self.report.end(i, End::Served { ttft, in_time });
        let sample = health::Sample::Answered {
            wait: self.requests[i].wait,
            expected: self.requests[i].expected,
            took: ttft,
        };
        self.entries[entry]
            .health
            .record(now, self.targets[r], sample);
        let incarnation = self.engines[r].incarnation.0;
        self.push(now + decode, Step::Decoded(r, incarnation, i));
        self.publish(now, r);
        self.dispatch_waiting(now, r);
    }

    /// Sends the cache events of a replica to its sidecar, except for those that are lost.
    fn publish(&mut self, now: Micros, r: usize) {
        let loss = self.setup.event_loss;
        let mut events = std::mem::take(&mut self.engines[r].events);
        events.retain(|_| !self.rng.random_bool(loss));
        if self.setup.order == Order::Ours {
            self.push(now + self.setup.event_delay, Step::ApplyEvents(r, events));
        }
    }

    fn apply_events(&mut self, now: Micros, r: usize, events: Vec<Event>) {
        for event in events {
            let _ = self.sidecars[r].index.apply(now, event);
        }
        if self.sidecars[r].index.tick(now) == Need::Snapshot {
            self.push(now + self.setup.event_delay, Step::Snapshot(r));
        }
    }
}

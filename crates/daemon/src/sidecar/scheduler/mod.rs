//! Decisions of a sidecar without I/O: admission, queueing and dispatch of requests to one target.
//!
//! This module connects the modules of `policy` and `prefix`. Its methods receive the time and
//! events and return the decisions, together with the caller's data of each request. The control
//! thread calls them; tests call them directly.
//!
//! A request passes through `admission` into the queue, is chosen in `dispatch`, and is followed in
//! `running` until it ends. `engine` keeps the state of the engine itself, `suspects` the crashes
//! recorded for requests, and `trials` decides when a suspect may run.

mod admission;
mod dispatch;
mod engine;
mod running;
mod suspects;
mod trials;
mod types;

use std::collections::{HashMap, VecDeque};

use model::{Class, Code, Incarnation, MemberId, Micros, TeamKey};
use policy::admit;
use policy::concurrency::{self, Limit};
use policy::cost::{self, Cost};
use policy::quarantine::{self, Fingerprint, Quarantine};
use policy::queue::{self, Job, Queue};
use policy::reserve::{self, Reservations};
use policy::trial::Trials;
use policy::utilization::Utilization;
use prefix::{Index, Marks};
use rand::Rng;
use slab::Slab;
use slotmap::SlotMap;

use crate::policy_configs::PolicyConfigs;
use crate::settings::Kind;
use admission::refusal;
use dispatch::current_engine_time;
pub use types::{
    EngineState, Finding, Granted, ProbeAnswer, ProbeRequest, Refusal, RequestSpec, RunKey, State,
};

/// Initial estimate of the service time of a request to a plain service.
const INITIAL_SERVICE_TIME: Micros = Micros::from_millis(5);

/// Scheduler of the requests for one target; `G` is the caller's data of a waiting request.
#[derive(Debug)]
pub struct Scheduler<G> {
    kind: Kind,
    /// Maximum number of requests at the target at a time, by settings and configuration.
    slots: usize,
    /// The same maximum by the settings alone.
    max_slots: usize,
    state: State,
    /// Whether no request is dispatched, so that the engine can load other weights.
    quiesced: bool,
    member_id: MemberId,
    incarnation: Incarnation,
    index: Index,
    /// Whether the index ignores events until the engine's list of blocks has arrived.
    needs_block_list: bool,
    queue: Queue<Waiting<G>>,
    /// Suspects that wait until they may run.
    held_suspects: VecDeque<Job<Waiting<G>>>,
    /// Suspects that were convicted while they waited.
    rejected: Vec<G>,
    trials: Trials<u64>,
    /// Ranks of the pool's other targets, which identify their sidecars.
    peers: Vec<u64>,
    /// Number of claims made, from which the rank of the next one is derived.
    claim_count: u64,
    running: Slab<Running>,
    cost: Cost,
    /// Mean time that a request spends at the target. The initial estimate fits plain
    /// services only.
    mean_service_time: Micros,
    admission: admit::Config,
    drain_rate: admit::DrainRate,
    reservations: Reservations<u64>,
    prefill_limit: Limit,
    run_limit: Limit,
    utilization: Utilization,
    /// When the prefills of all dispatched requests should be done.
    prefills_end: Micros,
    /// When the engine last sent a first token.
    last_first_token: Micros,
    teams: HashMap<String, TeamKey>,
    team_keys: SlotMap<TeamKey, ()>,
    quarantine: Quarantine,
    /// Settings for the quarantine that a change of weights starts.
    quarantine_config: quarantine::Config,
}

/// A request in the queue, or a suspect that waits.
#[derive(Debug)]
struct Waiting<G> {
    request: RequestSpec,
    marks: Marks,
    grant: G,
}

/// A request at the target.
#[derive(Debug)]
struct Running {
    /// Expected engine time.
    engine_time: Micros,
    /// Expected prefill time.
    prefill: Micros,
    /// Number of blocks to prefill.
    blocks: u32,
    /// When the request was dispatched.
    dispatched: Micros,
    prefilling: bool,
    class: Class,
    is_suspect: bool,
    is_stream: bool,
    /// When its first byte arrived, or its last events were counted.
    last_output: Option<Micros>,
    /// Whether a target had crashed under the request before.
    had_strikes: bool,
    fingerprint: Fingerprint,
}

impl<G> Scheduler<G> {
    /// Creates a scheduler for a target that runs at most `slots` requests at a time.
    pub fn new(kind: Kind, slots: usize, member_id: MemberId) -> Self {
        Self {
            kind,
            slots,
            max_slots: slots,
            state: State::Serving,
            quiesced: false,
            member_id,
            incarnation: Incarnation(0),
            index: Index::new(prefix::Config::default(), "", ""),
            needs_block_list: false,
            queue: Queue::new(queue::Config::default()),
            held_suspects: VecDeque::new(),
            rejected: Vec::new(),
            trials: Trials::default(),
            peers: Vec::new(),
            claim_count: 0,
            running: Slab::new(),
            cost: Cost::new(cost::Config::default()),
            mean_service_time: INITIAL_SERVICE_TIME,
            admission: admit::Config::default(),
            drain_rate: admit::DrainRate::default(),
            reservations: Reservations::new(reserve::Config::default()),
            prefill_limit: Limit::new(concurrency::Config::prefill()),
            run_limit: Limit::new(concurrency::Config::running()),
            utilization: Utilization::default(),
            prefills_end: Micros::ZERO,
            last_first_token: Micros::ZERO,
            teams: HashMap::new(),
            team_keys: SlotMap::with_key(),
            quarantine: Quarantine::new(quarantine::Config::default()),
            quarantine_config: quarantine::Config::default(),
        }
    }

    /// Applies another configuration; `pool_limit` is the pool's limit on concurrent requests.
    pub fn tune(&mut self, tuning: &PolicyConfigs, pool_limit: Option<u32>) {
        self.slots = pool_limit.map_or(self.max_slots, |m| self.max_slots.min(m as usize));
        self.run_limit.set_config(tuning.concurrency);
        self.admission = tuning.admit;
        self.queue.set_config(tuning.queue);
        self.reservations.set_config(tuning.reserve);
        self.quarantine.set_config(tuning.quarantine);
        self.quarantine_config = tuning.quarantine;
    }

    /// Removes the requests that can no longer be answered in time, and, as overloaded, those that
    /// aren't expected to start in time.
    pub fn expire(&mut self, now: Micros, rng: &mut impl Rng) -> Vec<(G, Refusal)> {
        let too_late = Refusal {
            code: Code::Deadline,
            retry: None,
        };
        let expired = self.queue.expire(now).into_iter();
        let mut removed: Vec<_> = expired.map(|j| (j.payload.grant, too_late)).collect();

        let (rate, prefills_left) = (self.drain_rate, self.prefills_end.since(now));
        let (index, cost, kind) = (&self.index, &self.cost, self.kind);
        let wait = |work| rate.wait(work) + prefills_left;
        let delayed = self
            .queue
            .review(now, wait, |job| current_engine_time(kind, index, cost, job));
        removed.extend(delayed.into_iter().map(|(job, wait)| {
            let r = admit::refuse_queued(&self.admission, job.class, wait, rng.random());
            (job.payload.grant, refusal(r))
        }));
        removed
    }

    /// Whether the target takes new requests.
    pub fn state(&self) -> State {
        self.state
    }

    /// Incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Number of blocks that the engine is known to have cached.
    pub fn cached_blocks(&self) -> usize {
        self.index.len()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.held_suspects.len()
    }

    /// Number of requests at the target.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Earliest time at which [`Self::expire`] or [`Self::dispatch_next`] may have a result.
    pub fn wake(&self) -> Option<Micros> {
        let all = self.running.iter().map(|(_, r)| r);
        let not_streamed = all.filter(|r| r.prefilling && !r.is_stream);
        let next_prefill_end = not_streamed.map(|r| r.dispatched + r.prefill).min();
        let times = [
            self.queue.next_expiry(),
            next_prefill_end,
            self.trials.wake(),
        ];
        times.into_iter().flatten().min()
    }
}

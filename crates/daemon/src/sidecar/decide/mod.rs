//! The sidecar's decisions: the modules of `policy` and `prefix` wired together, without I/O.
//!
//! Time and events come in, grants and refusals go out through the jobs' payloads. The control
//! thread drives it; tests drive it without one.
//!
//! A request passes through `admission` into the queue, has its turn in `turns` and is followed
//! in `running` until it ends. `engine` keeps what is known of the engine itself,
//! `suspects` what is known of requests that crash engines, and `trials` when one of them may run.

mod admission;
mod engine;
mod running;
mod suspects;
mod terms;
mod trials;
mod turns;

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
pub use terms::{Finding, Found, Granted, Question, Refusal, RunKey, State, Told, Work};
use turns::today;

/// First guess of a plain call's time.
const CALL: Micros = Micros::from_millis(5);

/// The decisions beside one target; `G` is what the driver keeps with a waiting request.
#[derive(Debug)]
pub struct Decide<G> {
    kind: Kind,
    /// Most requests at the target at a time, by settings and configuration.
    slots: usize,
    /// The same by settings alone.
    most: usize,
    state: State,
    /// Whether the target is to be left alone for an order.
    quiet: bool,
    member: MemberId,
    engine: Incarnation,
    index: Index,
    /// Whether the index waits for the engine's list of blocks before it takes events.
    unlisted: bool,
    queue: Queue<Waiting<G>>,
    /// Suspects that wait until they may run.
    held: VecDeque<Job<Waiting<G>>>,
    /// Suspects that were convicted while they waited.
    rejected: Vec<G>,
    trials: Trials<u64>,
    /// The other sidecars of the pool.
    peers: Vec<u64>,
    /// Claims made so far.
    claims: u64,
    running: Slab<Running>,
    cost: Cost,
    /// Mean time that a request is at the target; its first guess counts for plain services only.
    call: Micros,
    admit: admit::Config,
    rate: admit::DrainRate,
    reserve: Reservations<u64>,
    prefills: Limit,
    runs: Limit,
    busy: Utilization,
    /// When the prefills handed over should be done.
    until: Micros,
    /// When the engine last sent a first token.
    last: Micros,
    teams: HashMap<String, TeamKey>,
    names: SlotMap<TeamKey, ()>,
    quarantine: Quarantine,
    /// What other weights begin a new quarantine with.
    tuned: quarantine::Config,
}

/// A request in the queue.
#[derive(Debug)]
struct Waiting<G> {
    work: Work,
    marks: Marks,
    grant: G,
}

/// A request at the target.
#[derive(Debug)]
struct Running {
    work: Micros,
    prefill: Micros,
    blocks: u32,
    handed: Micros,
    prefilling: bool,
    class: Class,
    suspect: bool,
    stream: bool,
    /// When its first byte came, or its last events were counted.
    first: Option<Micros>,
    /// Whether a target died under it before.
    struck: bool,
    print: Fingerprint,
}

impl<G> Decide<G> {
    /// Decisions beside a target that runs at most `slots` requests at a time.
    pub fn new(kind: Kind, slots: usize, member: MemberId) -> Self {
        Self {
            kind,
            slots,
            most: slots,
            state: State::Serving,
            quiet: false,
            member,
            engine: Incarnation(0),
            index: Index::new(prefix::Config::default(), "", ""),
            unlisted: false,
            queue: Queue::new(queue::Config::default()),
            held: VecDeque::new(),
            rejected: Vec::new(),
            trials: Trials::default(),
            peers: Vec::new(),
            claims: 0,
            running: Slab::new(),
            cost: Cost::new(cost::Config::default()),
            call: CALL,
            admit: admit::Config::default(),
            rate: admit::DrainRate::default(),
            reserve: Reservations::new(reserve::Config::default()),
            prefills: Limit::new(concurrency::Config::prefill()),
            runs: Limit::new(concurrency::Config::running()),
            busy: Utilization::default(),
            until: Micros::ZERO,
            last: Micros::ZERO,
            teams: HashMap::new(),
            names: SlotMap::with_key(),
            quarantine: Quarantine::new(quarantine::Config::default()),
            tuned: quarantine::Config::default(),
        }
    }

    /// Follows another configuration from now on; `most` is the pool's bound on requests at once.
    pub fn tune(&mut self, t: &PolicyConfigs, most: Option<u32>) {
        self.slots = most.map_or(self.most, |m| self.most.min(m as usize));
        self.runs.set_config(t.concurrency);
        self.admit = t.admit;
        self.queue.set_config(t.queue);
        self.reserve.set_config(t.reserve);
        self.quarantine.set_config(t.quarantine);
        self.tuned = t.quarantine;
    }

    /// Gives back the requests that can't be answered in time any more, and as overloaded those
    /// that aren't expected to have their turn in time.
    pub fn expire(&mut self, now: Micros, rng: &mut impl Rng) -> Vec<(G, Refusal)> {
        let late = Refusal {
            code: Code::Deadline,
            retry: None,
        };
        let gone = self.queue.expire(now).into_iter();
        let mut back: Vec<_> = gone.map(|j| (j.payload.grant, late)).collect();

        let (rate, until) = (self.rate, self.until.since(now));
        let (index, cost, kind) = (&self.index, &self.cost, self.kind);
        let wait = |work| rate.wait(work) + until;
        let hopeless = self
            .queue
            .review(now, wait, |job| today(kind, index, cost, job));
        back.extend(hopeless.into_iter().map(|(job, wait)| {
            let r = admit::refuse_queued(&self.admit, job.class, wait, rng.random());
            (job.payload.grant, refusal(r))
        }));
        back
    }

    /// Whether the target takes new work.
    pub fn state(&self) -> State {
        self.state
    }

    /// The engine's life.
    pub fn life(&self) -> Incarnation {
        self.engine
    }

    /// Cached blocks known of the engine.
    pub fn blocks(&self) -> usize {
        self.index.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.held.len()
    }

    /// Requests at the target.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// When [`Self::expire`] or [`Self::next`] may have something to do.
    pub fn wake(&self) -> Option<Micros> {
        let all = self.running.iter().map(|(_, r)| r);
        let unseen = all.filter(|r| r.prefilling && !r.stream);
        let soonest = unseen.map(|r| r.handed + r.prefill).min();
        let wakes = [self.queue.next_expiry(), soonest, self.trials.wake()];
        wakes.into_iter().flatten().min()
    }
}

//! The sidecar's decisions: the modules of `policy` and `prefix` wired together, without I/O.
//!
//! Time and events come in, grants and refusals go out through the jobs' payloads. The control
//! thread drives it; tests drive it without one.

use std::collections::{HashMap, VecDeque};

use model::{BlockHash, Class, Code, Incarnation, MemberId, Micros, TeamKey};
use policy::admit::{self, admit, Arrival};
use policy::busy::Busy;
use policy::concurrency::{self, Limit, Sample};
use policy::cost::{self, Cost};
use policy::quarantine::{self, Fingerprint, Quarantine, Verdict};
use policy::queue::{self, Job, JobKey, Queue};
use policy::reserve::{self, Reserve};
use prefix::{Block, Event, Index, Marks, Need};
use rand::Rng;
use slab::Slab;
use slotmap::SlotMap;

use crate::mark::{self, Mark};
use crate::settings::Kind;
use crate::tune::Tuning;

/// What a request asks of the target.
#[derive(Clone, Debug)]
pub struct Work {
    /// Team.
    pub team: String,
    /// Weight of the team.
    pub share: u32,
    /// How urgent it is.
    pub class: Class,
    /// Blocks of its prompt.
    pub chain: Vec<BlockHash>,
    /// Tokens that the answer may have.
    pub output: u32,
    /// When the answer is of no more use.
    pub deadline: Micros,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Targets that died under it before.
    pub strikes: u32,
    /// The probe whose offer it takes up.
    pub probe: u64,
    /// Whether its first byte comes before its last.
    pub stream: bool,
}

/// Why a request doesn't get its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When to come back.
    pub retry: Option<Micros>,
}

/// Names a request that was handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(usize);

/// Whether the target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Serving,
    /// Its weights are being loaded.
    Loading,
    /// This process is stopping.
    Leaving,
    /// It doesn't answer.
    Down,
}

/// What the target was found to be.
#[derive(Clone, Copy, Debug)]
pub struct Found<'a> {
    /// Its life.
    pub life: Incarnation,
    /// Model it serves.
    pub model: &'a str,
    /// Weights it serves.
    pub weights: &'a str,
    /// Whether it is loading others and refuses work meanwhile.
    pub loading: bool,
}

/// What a probe asks.
#[derive(Clone, Debug)]
pub struct Question {
    /// The probe.
    pub probe: u64,
    /// Team.
    pub team: String,
    /// How urgent the request is.
    pub class: Class,
    /// Points of its prompt.
    pub marks: Marks,
    /// Blocks of its prompt.
    pub blocks: u32,
    /// Its fingerprint.
    pub fingerprint: u64,
}

/// What a probe is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// Blocks that needn't be computed.
    pub matched: u32,
    /// How long the request would wait.
    pub wait: Micros,
    /// Time to prefill one block.
    pub prefill: Micros,
    /// The part of the last seconds in which the engine computed prompts.
    pub busy: f64,
    /// Whether the target takes it; the refusal if not.
    pub refusal: Option<Refusal>,
    /// Whether the request is known to crash targets.
    pub convicted: bool,
}

#[derive(Debug)]
struct Waiting<G> {
    work: Work,
    marks: Marks,
    suspect: bool,
    grant: G,
}

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

/// A request's turn has come.
#[derive(Debug)]
pub struct Granted<G> {
    /// Names it from now on.
    pub run: RunKey,
    /// Whoever waits for it.
    pub grant: G,
}

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
    /// Suspects that wait for another suspect to end.
    held: VecDeque<Job<Waiting<G>>>,
    running: Slab<Running>,
    cost: Cost,
    /// Mean time that a request is at the target; its first guess counts for plain services only.
    call: Micros,
    admit: admit::Config,
    rate: admit::Drain,
    reserve: Reserve<u64>,
    prefills: Limit,
    runs: Limit,
    busy: Busy,
    /// When the prefills handed over should be done.
    until: Micros,
    /// When the engine last sent a first token.
    last: Micros,
    teams: HashMap<String, TeamKey>,
    names: SlotMap<TeamKey, ()>,
    quarantine: Quarantine,
    tuned: quarantine::Config,
}

/// First guess of a plain call's time.
const CALL: Micros = Micros::from_millis(5);
/// Stands for the gap between two tokens of an idle engine; only its multiples are compared.
const GAP: Micros = Micros::from_millis(1);
/// Weight of a new sample of a plain call's time.
const CALL_SMOOTH: f64 = 0.1;

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
            running: Slab::new(),
            cost: Cost::new(cost::Config::default()),
            call: CALL,
            admit: admit::Config::default(),
            rate: admit::Drain::default(),
            reserve: Reserve::new(reserve::Config::default()),
            prefills: Limit::new(concurrency::Config::prefill()),
            runs: Limit::new(concurrency::Config::running()),
            busy: Busy::default(),
            until: Micros::ZERO,
            last: Micros::ZERO,
            teams: HashMap::new(),
            names: SlotMap::with_key(),
            quarantine: Quarantine::new(quarantine::Config::default()),
            tuned: quarantine::Config::default(),
        }
    }

    /// Follows another configuration from now on; `most` is the pool's bound on requests at once.
    pub fn tune(&mut self, t: &Tuning, most: Option<u32>) {
        self.slots = most.map_or(self.most, |m| self.most.min(m as usize));
        self.runs.set_config(t.concurrency);
        self.admit = t.admit;
        self.queue.set_config(t.queue);
        self.reserve.set_config(t.reserve);
        self.quarantine.set_config(t.quarantine);
        self.tuned = t.quarantine;
    }

    /// Answers a probe and holds a place for the request.
    pub fn offer(&mut self, now: Micros, q: &Question) -> Told {
        self.rest(now);
        let matched = self.index.matched(&q.marks);
        let missing = q.blocks.saturating_sub(matched);
        let work = self.work(missing, 0);
        let team = self.team(&q.team);
        let wait = self.wait(now, q.class, team, 1, work);
        let prefill = self.cost.prefill(missing);
        let refusal = self.closed().or_else(|| {
            let arrival = Arrival {
                class: q.class,
                wait,
                work: prefill,
                deadline: Micros::MAX,
                waiting: self.queue.len(),
            };
            admit(&self.admit, now, &arrival, 0.5).err().map(refusal)
        });
        let convicted = self.verdict(now, q.fingerprint) == Verdict::Convicted;
        if refusal.is_none() && !convicted {
            self.reserve.hold(now, q.probe, work);
        }
        Told {
            matched,
            wait,
            prefill: self.cost.block(),
            busy: self.busy.get(now, q.class),
            refusal,
            convicted,
        }
    }

    /// Takes a request in, or refuses it at once.
    pub fn open(
        &mut self,
        now: Micros,
        work: Work,
        grant: G,
        rng: &mut impl Rng,
    ) -> Result<JobKey, (G, Refusal)> {
        self.reserve.settle(work.probe);
        if let Some(r) = self.closed() {
            return Err((grant, r));
        }
        let verdict = self.verdict(now, work.fingerprint);
        if verdict == Verdict::Convicted {
            let code = Code::Quarantined;
            return Err((grant, Refusal { code, retry: None }));
        }
        let blocks = self.missing(&work.chain);
        let engine = self.work(blocks, work.output);
        let team = self.team(&work.team);
        let arrival = Arrival {
            class: work.class,
            wait: self.wait(now, work.class, team, work.share, engine),
            work: self.cost.prefill(blocks),
            deadline: work.deadline,
            waiting: self.queue.len(),
        };
        if let Err(r) = admit(&self.admit, now, &arrival, rng.random()) {
            return Err((grant, refusal(r)));
        }
        // The blocks come to be computed when the wait is over.
        self.index.expect(now + arrival.wait, &work.chain);
        Ok(self.queue.push(Job {
            team,
            weight: work.share,
            class: work.class,
            work: engine,
            arrived: now,
            deadline: work.deadline,
            payload: Waiting {
                marks: Marks::new(&work.chain),
                suspect: work.strikes > 0 || verdict == Verdict::Suspect,
                work,
                grant,
            },
        }))
    }

    /// The next request whose turn has come.
    pub fn next(&mut self, now: Micros) -> Option<Granted<G>> {
        if !self.has_room(now) {
            return None;
        }
        let job = self.pop()?;
        let w = job.payload;
        // Blocks may have been computed or evicted while it waited.
        let blocks = self.missing(&w.work.chain);
        let prefill = self.cost.prefill(blocks);
        let run = self.running.insert(Running {
            work: job.work,
            prefill,
            blocks,
            handed: now,
            prefilling: self.kind == Kind::Model,
            suspect: w.suspect,
            class: job.class,
            stream: w.work.stream,
            first: None,
            struck: w.work.strikes > 0,
            print: mark::print(w.work.fingerprint),
        });
        self.until = self.until.max(now) + prefill;
        self.busy.set(now, self.computing());
        Some(Granted {
            run: RunKey(run),
            grant: w.grant,
        })
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
            let r = admit::returned(&self.admit, job.class, wait, rng.random());
            (job.payload.grant, refusal(r))
        }));
        back
    }

    /// Takes out a request whose caller went away.
    pub fn abandon(&mut self, key: JobKey) {
        self.queue.remove(key);
    }

    /// The target sent a first byte.
    pub fn first(&mut self, now: Micros, key: RunKey) {
        let Some(r) = self.running.get_mut(key.0) else {
            return;
        };
        r.first = Some(now);
        if !std::mem::take(&mut r.prefilling) || !r.stream {
            return;
        }
        let (blocks, handed, expected) = (r.blocks, r.handed, r.prefill);
        // Engines prefill one prompt after another: this one began when the one before ended.
        let took = now.since(handed.max(self.last));
        self.last = now;
        self.cost.measured(blocks, took);
        let running = self.prefilling() + 1;
        self.prefills.measured(
            now,
            Sample {
                expected: expected.max(self.cost.block()),
                took: now.since(handed),
                running,
            },
        );
        self.rest(now);
    }

    /// So many more events of a stream came: a sample of the gap between two tokens.
    pub fn progress(&mut self, now: Micros, key: RunKey, events: u64) {
        let running = self.running.len() as u32;
        let Some(r) = self.running.get_mut(key.0) else {
            return;
        };
        let Some(last) = r.first.replace(now).filter(|_| events > 1) else {
            return;
        };
        let expected = Micros(GAP.0 * events);
        let took = now.since(last);
        self.runs.measured(
            now,
            Sample {
                expected,
                took,
                running,
            },
        );
    }

    /// A request that had its turn has ended, in whatever way, after so many more events of its
    /// stream.
    pub fn finished(&mut self, now: Micros, key: RunKey, events: u64) {
        self.progress(now, key, events);
        let Some(r) = self.running.try_remove(key.0) else {
            return;
        };
        let took = now.since(r.handed).0 as f64;
        let mean = self.call.0 as f64;
        self.call = Micros((mean + (took - mean) * CALL_SMOOTH) as u64);
        self.rest(now);
        self.rate.finished(now, r.work, !self.queue.is_empty());
    }

    /// The target died under a request; says what the fleet is to be told.
    pub fn crashed(&mut self, now: Micros, key: RunKey) -> Option<Mark> {
        let run = self.running.get(key.0)?;
        let (print, struck) = (run.print, run.struck);
        if struck {
            // The entry knows of a crash elsewhere of which membership hasn't told yet. Were it
            // left out, this crash would count as the first and a third target would die.
            mark::strike(&mut self.quarantine, now, print, 0);
        }
        let crash = mark::crash(self.member, self.engine);
        let verdict = mark::strike(&mut self.quarantine, now, print, crash);
        Some(Mark {
            print: print.body as u64,
            convicted: verdict == Verdict::Convicted,
            crash,
        })
    }

    /// Takes over what another process found of a request; true if that makes it convicted and the
    /// other one doesn't know.
    pub fn told(&mut self, now: Micros, mark: Mark, until: Micros) -> bool {
        let before = self.verdict(now, mark.print);
        let verdict = mark::told(&mut self.quarantine, now, mark, until);
        !mark.convicted && verdict == Verdict::Convicted && before != verdict
    }

    /// The target's life and what it serves; true if its whole cache has to be fetched.
    pub fn engine(&mut self, now: Micros, found: &Found<'_>) -> bool {
        let Found { life, weights, .. } = *found;
        self.state = match self.state {
            State::Leaving => State::Leaving,
            _ if found.loading || self.quiet => State::Loading,
            _ => State::Serving,
        };
        if life != self.engine {
            self.engine = life;
            self.prefills.reset();
            self.runs.reset();
            self.until = Micros::ZERO;
            // An engine that came back empty has no event to publish, so that nothing else would
            // end the claims on its dead life's blocks.
            let _ = self.index.reset(now, life, 0, []);
        }
        let same = self.index.weights() == weights;
        if !same {
            self.index = Index::new(prefix::Config::default(), found.model, weights);
            // Events are later than the load: those of the older weights are still to come, and
            // would be taken for blocks of these.
            self.unlisted = true;
            self.quarantine = Quarantine::new(self.tuned);
        }
        !same
    }

    /// The target doesn't answer; gives back what was not handed over.
    pub fn down(&mut self) -> Vec<G> {
        if self.state != State::Leaving {
            self.state = State::Down;
        }
        self.give_back()
    }

    /// Leaves the target alone for an order, or ends that; gives back what was not handed over.
    pub fn quiet(&mut self, on: bool) -> Vec<G> {
        self.quiet = on;
        match (on, self.state) {
            (true, State::Serving) => {
                self.state = State::Loading;
                self.give_back()
            }
            _ => Vec::new(),
        }
    }

    /// The process stops; gives back what was not handed over.
    pub fn leave(&mut self) -> Vec<G> {
        self.state = State::Leaving;
        self.give_back()
    }

    /// Whether the target takes new work.
    pub fn state(&self) -> State {
        self.state
    }

    /// The engine's life.
    pub fn life(&self) -> Incarnation {
        self.engine
    }

    /// Takes an event of the engine's cache.
    pub fn event(&mut self, now: Micros, event: Event) -> Need {
        match self.unlisted {
            true => Need::Snapshot,
            false => self.index.apply(now, event),
        }
    }

    /// Takes the engine's list of blocks as it was after an event.
    pub fn listed(&mut self, now: Micros, life: Incarnation, seq: u64, blocks: Vec<Block>) -> Need {
        self.unlisted &= life != self.engine;
        self.index.reset(now, life, seq, blocks)
    }

    /// Gives up events that stay missing.
    pub fn tick(&mut self, now: Micros) -> Need {
        match (self.unlisted, self.index.tick(now)) {
            (true, _) => Need::Snapshot,
            (false, need) => need,
        }
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
        let unseen = self
            .running
            .iter()
            .filter(|(_, r)| r.prefilling && !r.stream);
        let soonest = unseen.map(|(_, r)| r.handed + r.prefill).min();
        [self.queue.wake(), soonest].into_iter().flatten().min()
    }

    /// Notes that the engine computes no prompt, if so. A prompt is taken to be computed for the
    /// time that it should take: until its first byte comes there are also the engine's own queue
    /// and the first token, and an engine half in use would look nearly full.
    fn rest(&mut self, now: Micros) {
        if self.prefilling() == 0 {
            self.until = self.until.min(now);
        }
        if now >= self.until {
            self.busy.set(self.until, None);
        }
    }

    fn pop(&mut self) -> Option<Job<Waiting<G>>> {
        let alone = !self.running.iter().any(|(_, r)| r.suspect);
        if let Some(job) = self.held.pop_front_if(|_| alone) {
            return Some(job);
        }
        // Two suspects beside one another would both be convicted by one's crash.
        loop {
            let (index, cost, kind) = (&self.index, &self.cost, self.kind);
            let job = self.queue.pop_by(|job| today(kind, index, cost, job))?;
            if !job.payload.suspect || alone {
                return Some(job);
            }
            self.held.push_back(job);
        }
    }

    fn has_room(&mut self, now: Micros) -> bool {
        // The first byte of an answer that isn't streamed says nothing of its prefill, which is
        // taken to end when it should.
        for (_, r) in &mut self.running {
            r.prefilling &= r.stream || now < r.handed + r.prefill;
        }
        self.rest(now);
        let running = self.running.len();
        let free = match self.kind {
            Kind::Plain => true,
            Kind::Model => {
                self.prefills.allows(self.prefilling()) && self.runs.allows(running as u32)
            }
        };
        self.state == State::Serving && running < self.slots && free
    }

    /// The class of the prompt that was handed over last of those being computed.
    fn computing(&self) -> Option<Class> {
        let all = self.running.iter().map(|(_, r)| r);
        let last = all.filter(|r| r.prefilling).max_by_key(|r| r.handed);
        last.map(|r| r.class)
    }

    fn prefilling(&self) -> u32 {
        self.running.iter().filter(|(_, r)| r.prefilling).count() as u32
    }

    fn missing(&self, chain: &[BlockHash]) -> u32 {
        (chain.len() as u32).saturating_sub(self.index.matched_chain(chain))
    }

    fn work(&self, blocks: u32, output: u32) -> Micros {
        match self.kind {
            Kind::Model => self.cost.work(blocks, output),
            Kind::Plain => Micros(self.call.0 / self.slots.max(1) as u64),
        }
    }

    fn wait(
        &mut self,
        now: Micros,
        class: Class,
        team: TeamKey,
        share: u32,
        work: Micros,
    ) -> Micros {
        let queued = self.queue.ahead(class, team, share, work);
        let ahead = self.rate.wait(queued + self.reserve.sum(now));
        match self.kind {
            Kind::Model => ahead + self.until.since(now) + self.turnover(),
            Kind::Plain => ahead,
        }
    }

    /// How long it takes until one more may run. Without it an engine that runs all it may, with
    /// nobody waiting yet, would look as free as an idle one.
    fn turnover(&self) -> Micros {
        let running = self.running.len() as u64;
        let most = (self.runs.get() as usize).min(self.slots) as u64;
        let over = (running + 1).saturating_sub(most);
        Micros(self.call.0 * over / running.max(1))
    }

    fn closed(&self) -> Option<Refusal> {
        let soon = Some(Micros::from_secs(1));
        let code = match self.state {
            State::Serving => return None,
            State::Leaving => Code::Draining,
            State::Loading | State::Down => Code::NoTarget,
        };
        Some(Refusal { code, retry: soon })
    }

    fn verdict(&self, now: Micros, fingerprint: u64) -> Verdict {
        self.quarantine.verdict(now, mark::print(fingerprint))
    }

    fn team(&mut self, name: &str) -> TeamKey {
        match self.teams.get(name) {
            Some(k) => *k,
            None => {
                let key = self.names.insert(());
                self.teams.insert(name.to_owned(), key);
                key
            }
        }
    }

    fn give_back(&mut self) -> Vec<G> {
        let held = self.held.drain(..).collect::<Vec<_>>();
        let all = self.queue.drain().into_iter().chain(held);
        all.map(|j| j.payload.grant).collect()
    }
}

/// What a waiting request would take now.
fn today<G>(kind: Kind, index: &Index, cost: &Cost, job: &Job<Waiting<G>>) -> Micros {
    let Waiting { work, marks, .. } = &job.payload;
    let missing = (work.chain.len() as u32).saturating_sub(index.held(marks));
    match kind {
        Kind::Model => cost.work(missing, work.output),
        Kind::Plain => job.work,
    }
}

fn refusal(r: admit::Refusal) -> Refusal {
    Refusal {
        code: r.code,
        retry: Some(r.after),
    }
}

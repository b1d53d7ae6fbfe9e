//! A sidecar as the replay drives it: the decision modules wired together as in the daemon.

use model::{BlockHash, Class, Micros, TargetKey, TeamKey};
use policy::admit::{self, admit, Arrival, DrainRate, Refusal};
use policy::concurrency::{self, Limit, Sample};
use policy::cost::{self, Cost};
use policy::probe_placement::{Offer, State};
use policy::queue::{self, Job, Queue};
use policy::reserve::{self, Reservations};
use policy::utilization::Utilization;
use prefix::{Index, Marks};

/// What a sidecar knows of a request.
#[derive(Clone, Copy)]
pub(crate) struct Ask {
    pub(crate) request: usize,
    pub(crate) team: TeamKey,
    pub(crate) class: Class,
    pub(crate) blocks: u32,
    pub(crate) output: u32,
    pub(crate) deadline: Micros,
}

/// A request in the queue.
pub(crate) struct Waiting {
    pub(crate) ask: Ask,
    marks: Marks,
    chain: Vec<BlockHash>,
}

/// A request handed to the engine.
#[derive(Clone, Copy)]
pub(crate) struct Handed {
    pub(crate) request: usize,
    pub(crate) work: Micros,
}

/// The decisions beside one engine.
pub(crate) struct Sidecar {
    pub(crate) target: TargetKey,
    pub(crate) index: Index,
    pub(crate) queue: Queue<Waiting>,
    pub(crate) cost: Cost,
    admit: admit::Config,
    reserve: Reservations<usize>,
    drain: DrainRate,
    prefills: Limit,
    busy: Utilization,
    prefilling: u32,
    /// When the prefills handed over should be done.
    until: Micros,
}

impl Sidecar {
    pub(crate) fn new(target: TargetKey, block: Micros, token: Micros) -> Self {
        let cost = cost::Config {
            initial: block,
            decode_per_token: token,
            ..cost::Config::default()
        };
        Self {
            target,
            index: Index::new(prefix::Config::default(), "m", "1"),
            queue: Queue::new(queue::Config::default()),
            cost: Cost::new(cost),
            admit: admit::Config::default(),
            reserve: Reservations::new(reserve::Config::default()),
            drain: DrainRate::default(),
            prefills: Limit::new(concurrency::Config::prefill()),
            prefilling: 0,
            until: Micros::ZERO,
            busy: Utilization::default(),
        }
    }

    /// Answers a probe.
    pub(crate) fn offer(&mut self, now: Micros, ask: &Ask, marks: &Marks) -> Offer {
        let matched = self.index.matched(marks);
        let work = self.work(ask, matched);
        let wait = self.wait(now, ask, work);
        let verdict = self.admission(now, ask, wait, matched);
        let state = match verdict {
            Ok(()) => State::Serving,
            Err(_) => State::Full,
        };
        if state == State::Serving {
            self.reserve.hold(now, ask.request, work);
        }
        Offer {
            target: self.target,
            incarnation: self.index.incarnation(),
            matched,
            wait,
            prefill: self.cost.prefill_per_block(),
            state,
            busy: self.busy.get(now, ask.class),
            load: self.queue.len() as u32 + self.prefilling,
        }
    }

    /// Takes a request in, or refuses it at once.
    pub(crate) fn open(
        &mut self,
        now: Micros,
        ask: Ask,
        chain: &[BlockHash],
    ) -> Result<(), Refusal> {
        self.reserve.release(ask.request);
        let _ = self.index.tick(now);
        let matched = self.index.matched_chain(chain);
        let work = self.work(&ask, matched);
        let wait = self.wait(now, &ask, work);
        self.admission(now, &ask, wait, matched)?;
        self.index.expect(now + wait, chain);
        self.queue.push(Job {
            team: ask.team,
            weight: 1,
            class: ask.class,
            work,
            arrived: now,
            deadline: ask.deadline,
            payload: Waiting {
                ask,
                marks: Marks::new(chain),
                chain: chain.to_vec(),
            },
        });
        Ok(())
    }

    /// Takes out what can't be answered in time any more, `true`, or won't be.
    pub(crate) fn expire(&mut self, now: Micros) -> Vec<(usize, bool)> {
        let (drain, until) = (self.drain, self.until.since(now));
        let late = self.queue.expire(now);
        let (index, cost) = (&self.index, &self.cost);
        let wait = |work| drain.wait(work) + until;
        let hopeless = self.queue.review(now, wait, |job| {
            let Waiting { ask, marks, .. } = &job.payload;
            cost.work(ask.blocks - index.held(marks), ask.output)
        });
        let late = late.into_iter().map(|job| (job, true));
        let jobs = late.chain(hopeless.into_iter().map(|(job, _)| (job, false)));
        jobs.map(|(job, late)| (job.payload.ask.request, late))
            .collect()
    }

    /// The next request for the engine, if it may have one.
    pub(crate) fn next(&mut self, now: Micros, running: usize, slots: u32) -> Option<Handed> {
        if !self.prefills.allows(self.prefilling) || running >= slots as usize {
            return None;
        }
        let (index, cost) = (&self.index, &self.cost);
        let job = self.queue.pop_by(|job| {
            let Waiting { ask, marks, .. } = &job.payload;
            cost.work(ask.blocks - index.held(marks), ask.output)
        })?;
        // The wait may have been longer than was expected when the request came.
        self.index.expect(now, &job.payload.chain);
        self.prefilling += 1;
        self.until = self.until.max(now) + job.work;
        self.busy.set(now, Some(job.class));
        Some(Handed {
            request: job.payload.ask.request,
            work: job.work,
        })
    }

    /// Notes that the engine has sent a first token.
    pub(crate) fn prefilled(&mut self, now: Micros, blocks: u32, took: Micros, handed: Micros) {
        self.prefilling = self.prefilling.saturating_sub(1);
        self.cost.record(blocks, took);
        let sample = Sample {
            expected: self.cost.prefill(blocks),
            took: now.since(handed),
            running: self.prefilling + 1,
        };
        self.prefills.record(now, sample);
        if self.prefilling == 0 {
            self.until = now;
            self.busy.set(now, None);
        }
    }

    /// Notes that a request's work is done.
    pub(crate) fn finished(&mut self, now: Micros, work: Micros) {
        let waiting = !self.queue.is_empty();
        self.drain.finished(now, work, waiting);
    }

    /// Notes that the engine was lost; returns what had not been handed over.
    pub(crate) fn crashed(&mut self) -> Vec<Ask> {
        self.prefilling = 0;
        self.until = Micros::ZERO;
        self.prefills.reset();
        self.queue
            .drain()
            .into_iter()
            .map(|j| j.payload.ask)
            .collect()
    }

    /// The wait that the least urgent request would have.
    pub(crate) fn wait(&mut self, now: Micros, ask: &Ask, work: Micros) -> Micros {
        let queued = self.queue.work_ahead(ask.class, ask.team, 1, work);
        let ahead = queued + self.reserve.total(now);
        self.drain.wait(ahead) + self.until.since(now)
    }

    fn work(&self, ask: &Ask, matched: u32) -> Micros {
        self.cost
            .work(ask.blocks.saturating_sub(matched), ask.output)
    }

    fn admission(&self, now: Micros, ask: &Ask, wait: Micros, matched: u32) -> Result<(), Refusal> {
        let arrival = Arrival {
            class: ask.class,
            wait,
            work: self.cost.prefill(ask.blocks.saturating_sub(matched)),
            deadline: ask.deadline,
            waiting: self.queue.len(),
        };
        admit(&self.admit, now, &arrival, 0.5)
    }
}

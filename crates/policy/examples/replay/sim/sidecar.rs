//! A simulated sidecar: the decision modules combined as in the daemon.

use model::{BlockHash, Class, Micros, TargetKey, TeamKey};
use policy::admit::{self, admit, Arrival, DrainRate, Refusal};
use policy::concurrency::{self, Limit, Sample};
use policy::cost::{self, Cost};
use policy::probe_placement::{Offer, State};
use policy::queue::{self, Job, Queue};
use policy::reserve::{self, Reservations};
use policy::utilization::Utilization;
use prefix::{Index, Marks};

/// The properties of a request that a sidecar decides by.
#[derive(Clone, Copy)]
pub(crate) struct RequestSpec {
    pub(crate) request: usize,
    pub(crate) team: TeamKey,
    pub(crate) class: Class,
    pub(crate) blocks: u32,
    pub(crate) max_output_tokens: u32,
    pub(crate) deadline: Micros,
}

/// A request in the queue.
pub(crate) struct Waiting {
    pub(crate) spec: RequestSpec,
    marks: Marks,
    chain: Vec<BlockHash>,
}

/// A request that is dispatched to the engine, with its estimated work.
#[derive(Clone, Copy)]
pub(crate) struct Dispatched {
    pub(crate) request: usize,
    pub(crate) work: Micros,
}

/// The sidecar of one engine.
pub(crate) struct Sidecar {
    pub(crate) target: TargetKey,
    pub(crate) index: Index,
    pub(crate) queue: Queue<Waiting>,
    pub(crate) cost: Cost,
    admission: admit::Config,
    reservations: Reservations<usize>,
    drain_rate: DrainRate,
    prefill_limit: Limit,
    utilization: Utilization,
    prefilling: u32,
    /// Time at which the dispatched prefills are expected to be done.
    prefills_done_at: Micros,
}

impl Sidecar {
    pub(crate) fn new(
        target: TargetKey,
        prefill_per_block: Micros,
        decode_per_token: Micros,
    ) -> Self {
        let cost = cost::Config {
            initial: prefill_per_block,
            decode_per_token,
            ..cost::Config::default()
        };
        Self {
            target,
            index: Index::new(prefix::Config::default(), "m", "1"),
            queue: Queue::new(queue::Config::default()),
            cost: Cost::new(cost),
            admission: admit::Config::default(),
            reservations: Reservations::new(reserve::Config::default()),
            drain_rate: DrainRate::default(),
            prefill_limit: Limit::new(concurrency::Config::prefill()),
            prefilling: 0,
            prefills_done_at: Micros::ZERO,
            utilization: Utilization::default(),
        }
    }

    /// Answers a probe with an offer; if it would admit the request, reserves capacity for it.
    pub(crate) fn answer_probe(&mut self, now: Micros, spec: &RequestSpec, marks: &Marks) -> Offer {
        let matched = self.index.matched(marks);
        let work = self.work(spec, matched);
        let wait = self.expected_wait(now, spec, work);
        let decision = self.check_admission(now, spec, wait, matched);
        let state = match decision {
            Ok(()) => State::Serving,
            Err(_) => State::Full,
        };
        if state == State::Serving {
            self.reservations.hold(now, spec.request, work);
        }
        Offer {
            target: self.target,
            incarnation: self.index.incarnation(),
            matched,
            wait,
            prefill: self.cost.prefill_per_block(),
            state,
            busy: self.utilization.get(now, spec.class),
            load: self.queue.len() as u32 + self.prefilling,
        }
    }

    /// Queues a request, or refuses it at once.
    pub(crate) fn enqueue(
        &mut self,
        now: Micros,
        spec: RequestSpec,
        chain: &[BlockHash],
    ) -> Result<(), Refusal> {
        self.reservations.release(spec.request);
        let _ = self.index.tick(now);
        let matched = self.index.matched_chain(chain);
        let work = self.work(&spec, matched);
        let wait = self.expected_wait(now, &spec, work);
        self.check_admission(now, &spec, wait, matched)?;
        self.index.expect(now + wait, chain);
        self.queue.push(Job {
            team: spec.team,
            weight: 1,
            class: spec.class,
            work,
            arrived: now,
            deadline: spec.deadline,
            payload: Waiting {
                spec,
                marks: Marks::new(chain),
                chain: chain.to_vec(),
            },
        });
        Ok(())
    }

    /// Removes the requests whose deadline can no longer be met (`true`) and those that are
    /// not expected to be served in time (`false`).
    pub(crate) fn expire(&mut self, now: Micros) -> Vec<(usize, bool)> {
        let (drain_rate, prefill_left) = (self.drain_rate, self.prefills_done_at.since(now));
        let late = self.queue.expire(now);
        let (index, cost) = (&self.index, &self.cost);
        let wait = |work| drain_rate.wait(work) + prefill_left;
        let refused = self.queue.review(now, wait, |job| {
            let Waiting { spec, marks, .. } = &job.payload;
            cost.work(spec.blocks - index.held(marks), spec.max_output_tokens)
        });
        let late = late.into_iter().map(|job| (job, true));
        let jobs = late.chain(refused.into_iter().map(|(job, _)| (job, false)));
        jobs.map(|(job, late)| (job.payload.spec.request, late))
            .collect()
    }

    /// Takes the next request for the engine from the queue if the prefill limit and the decode
    /// slots allow one.
    pub(crate) fn dispatch_next(
        &mut self,
        now: Micros,
        running: usize,
        slots: u32,
    ) -> Option<Dispatched> {
        if !self.prefill_limit.allows(self.prefilling) || running >= slots as usize {
            return None;
        }
        let (index, cost) = (&self.index, &self.cost);
        let job = self.queue.pop_by(|job| {
            let Waiting { spec, marks, .. } = &job.payload;
            cost.work(spec.blocks - index.held(marks), spec.max_output_tokens)
        })?;
        // The wait in the queue may have been longer than was expected on arrival.
        self.index.expect(now, &job.payload.chain);
        self.prefilling += 1;
        self.prefills_done_at = self.prefills_done_at.max(now) + job.work;
        self.utilization.set(now, Some(job.class));
        Some(Dispatched {
            request: job.payload.spec.request,
            work: job.work,
        })
    }

    /// Records the first token of a request, which ends its prefill.
    pub(crate) fn record_first_token(
        &mut self,
        now: Micros,
        blocks: u32,
        took: Micros,
        dispatched_at: Micros,
    ) {
        self.prefilling = self.prefilling.saturating_sub(1);
        self.cost.record(blocks, took);
        let sample = Sample {
            expected: self.cost.prefill(blocks),
            took: now.since(dispatched_at),
            running: self.prefilling + 1,
        };
        self.prefill_limit.record(now, sample);
        if self.prefilling == 0 {
            self.prefills_done_at = now;
            self.utilization.set(now, None);
        }
    }

    /// Records that a request has finished.
    pub(crate) fn record_finished(&mut self, now: Micros, work: Micros) {
        let waiting = !self.queue.is_empty();
        self.drain_rate.finished(now, work, waiting);
    }

    /// Resets the state after a crash of the engine; returns the requests that were still queued.
    pub(crate) fn reset_after_crash(&mut self) -> Vec<RequestSpec> {
        self.prefilling = 0;
        self.prefills_done_at = Micros::ZERO;
        self.prefill_limit.reset();
        self.queue
            .drain()
            .into_iter()
            .map(|j| j.payload.spec)
            .collect()
    }

    /// The expected wait of a request behind the queue, the reservations and the running prefills.
    pub(crate) fn expected_wait(
        &mut self,
        now: Micros,
        spec: &RequestSpec,
        work: Micros,
    ) -> Micros {
        let queued = self.queue.work_ahead(spec.class, spec.team, 1, work);
        let ahead = queued + self.reservations.total(now);
        self.drain_rate.wait(ahead) + self.prefills_done_at.since(now)
    }

    fn work(&self, spec: &RequestSpec, matched: u32) -> Micros {
        self.cost
            .work(spec.blocks.saturating_sub(matched), spec.max_output_tokens)
    }

    fn check_admission(
        &self,
        now: Micros,
        spec: &RequestSpec,
        wait: Micros,
        matched: u32,
    ) -> Result<(), Refusal> {
        let arrival = Arrival {
            class: spec.class,
            wait,
            work: self.cost.prefill(spec.blocks.saturating_sub(matched)),
            deadline: spec.deadline,
            waiting: self.queue.len(),
        };
        admit(&self.admission, now, &arrival, 0.5)
    }
}

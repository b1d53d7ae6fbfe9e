//! Admission: what a probe is told, and whether a request is taken in or refused at once.
//!
//! Probe and request are measured by the same figures: the blocks that the engine would have to
//! compute and the wait behind what is queued, reserved and being computed. Were they not, a
//! request would be refused where its probe was promised a place.

use model::{BlockHash, Class, Code, Micros, TeamKey};
use policy::admit::{self, admit, Arrival};
use policy::quarantine::Verdict;
use policy::queue::{Job, JobKey};
use prefix::Marks;
use rand::Rng;

use super::{Decide, Question, Refusal, State, Told, Waiting, Work};
use crate::settings::Kind;

/// Where an admitted request stands.
struct Place {
    team: TeamKey,
    /// What it asks of the engine.
    work: Micros,
    wait: Micros,
}

impl<G> Decide<G> {
    /// Answers a probe and holds a place for the request.
    pub fn offer(&mut self, now: Micros, q: &Question) -> Told {
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
            prefill: self.cost.prefill_per_block(),
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
        self.reserve.release(work.probe);
        let place = match self.place(now, &work, rng) {
            Ok(p) => p,
            Err(r) => return Err((grant, r)),
        };
        // The blocks come to be computed when the wait is over.
        self.index.expect(now + place.wait, &work.chain);
        Ok(self.queue.push(Job {
            team: place.team,
            weight: work.share,
            class: work.class,
            work: place.work,
            arrived: now,
            deadline: work.deadline,
            payload: Waiting {
                marks: Marks::new(&work.chain),
                work,
                grant,
            },
        }))
    }

    fn place(&mut self, now: Micros, work: &Work, rng: &mut impl Rng) -> Result<Place, Refusal> {
        if let Some(r) = self.closed() {
            return Err(r);
        }
        let _ = self.learn(now, work.fingerprint, &work.crashes);
        if self.verdict(now, work.fingerprint) == Verdict::Convicted {
            let code = Code::Quarantined;
            return Err(Refusal { code, retry: None });
        }
        let blocks = self.missing(&work.chain);
        let engine = self.work(blocks, work.output);
        let team = self.team(&work.team);
        let wait = self.wait(now, work.class, team, work.share, engine);
        let arrival = Arrival {
            class: work.class,
            wait,
            work: self.cost.prefill(blocks),
            deadline: work.deadline,
            waiting: self.queue.len(),
        };
        admit(&self.admit, now, &arrival, rng.random()).map_err(refusal)?;
        Ok(Place {
            team,
            work: engine,
            wait,
        })
    }

    /// How long a request would wait that asks so much of the engine.
    fn wait(
        &mut self,
        now: Micros,
        class: Class,
        team: TeamKey,
        share: u32,
        work: Micros,
    ) -> Micros {
        let queued = self.queue.work_ahead(class, team, share, work);
        let ahead = self.rate.wait(queued + self.reserve.total(now));
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

    /// Why nothing is taken, if so.
    fn closed(&self) -> Option<Refusal> {
        let soon = Some(Micros::from_secs(1));
        let code = match self.state {
            State::Serving => return None,
            State::Leaving => Code::Draining,
            State::Loading | State::Down => Code::NoTarget,
        };
        Some(Refusal { code, retry: soon })
    }

    /// The engine's time for a request.
    fn work(&self, blocks: u32, output: u32) -> Micros {
        match self.kind {
            Kind::Model => self.cost.work(blocks, output),
            Kind::Plain => Micros(self.call.0 / self.slots.max(1) as u64),
        }
    }

    /// Blocks of a prompt that aren't cached.
    pub(super) fn missing(&self, chain: &[BlockHash]) -> u32 {
        (chain.len() as u32).saturating_sub(self.index.matched_chain(chain))
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
}

pub(super) fn refusal(r: admit::Refusal) -> Refusal {
    Refusal {
        code: r.code,
        retry: Some(r.after),
    }
}

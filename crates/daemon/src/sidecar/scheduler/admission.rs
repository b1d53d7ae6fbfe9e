//! Admission: the answer to a probe, and whether a request is queued or refused on arrival.
//!
//! Probes and requests are assessed by the same figures: the blocks that the engine would have to
//! compute, and the wait behind the work that is queued, reserved and being computed. Otherwise a
//! request could be refused where its probe was answered with an offer.

use model::{BlockHash, Class, Code, Micros, TeamKey};
use policy::admit::{self, admit, Arrival};
use policy::quarantine::Verdict;
use policy::queue::{Job, JobKey};
use prefix::Marks;
use rand::Rng;

use super::{ProbeAnswer, ProbeRequest, Refusal, RequestSpec, Scheduler, State, Waiting};
use crate::settings::Kind;

/// Figures of an admitted request.
struct Admitted {
    team: TeamKey,
    /// Expected engine time of the request.
    engine_time: Micros,
    wait: Micros,
}

impl<G> Scheduler<G> {
    /// Answers a probe and reserves room for its request unless it would be refused.
    pub fn answer_probe(&mut self, now: Micros, probe: &ProbeRequest) -> ProbeAnswer {
        let cached = self.index.matched(&probe.marks);
        let missing = probe.blocks.saturating_sub(cached);
        let work = self.engine_time(missing, 0);
        let team = self.team_key(&probe.team);
        let wait = self.expected_wait(now, probe.class, team, 1, work);
        let prefill = self.cost.prefill(missing);
        let refusal = self.closed_refusal().or_else(|| {
            let arrival = Arrival {
                class: probe.class,
                wait,
                work: prefill,
                deadline: Micros::MAX,
                waiting: self.queue.len(),
            };
            admit(&self.admission, now, &arrival, 0.5)
                .err()
                .map(refusal)
        });
        let convicted = self.verdict(now, probe.fingerprint) == Verdict::Convicted;
        if refusal.is_none() && !convicted {
            self.reservations.hold(now, probe.probe_id, work);
        }
        ProbeAnswer {
            cached_blocks: cached,
            wait,
            prefill_per_block: self.cost.prefill_per_block(),
            utilization: self.utilization.get(now, probe.class),
            refusal,
            convicted,
        }
    }

    /// Queues a request, or refuses it at once.
    pub fn enqueue(
        &mut self,
        now: Micros,
        request: RequestSpec,
        grant: G,
        rng: &mut impl Rng,
    ) -> Result<JobKey, (G, Refusal)> {
        self.reservations.release(request.probe_id);
        let admitted = match self.assess(now, &request, rng) {
            Ok(a) => a,
            Err(r) => return Err((grant, r)),
        };
        // The request's blocks are computed once its wait is over.
        self.index.expect(now + admitted.wait, &request.chain);
        Ok(self.queue.push(Job {
            team: admitted.team,
            weight: request.weight,
            class: request.class,
            work: admitted.engine_time,
            arrived: now,
            deadline: request.deadline,
            payload: Waiting {
                marks: Marks::new(&request.chain),
                request,
                grant,
            },
        }))
    }

    fn assess(
        &mut self,
        now: Micros,
        request: &RequestSpec,
        rng: &mut impl Rng,
    ) -> Result<Admitted, Refusal> {
        if let Some(r) = self.closed_refusal() {
            return Err(r);
        }
        let _ = self.record_crashes(now, request.fingerprint, &request.crashes);
        if self.verdict(now, request.fingerprint) == Verdict::Convicted {
            let code = Code::Quarantined;
            return Err(Refusal { code, retry: None });
        }
        let blocks = self.missing_blocks(&request.chain);
        let engine_time = self.engine_time(blocks, request.max_output_tokens);
        let team = self.team_key(&request.team);
        let wait = self.expected_wait(now, request.class, team, request.weight, engine_time);
        let arrival = Arrival {
            class: request.class,
            wait,
            work: self.cost.prefill(blocks),
            deadline: request.deadline,
            waiting: self.queue.len(),
        };
        admit(&self.admission, now, &arrival, rng.random()).map_err(refusal)?;
        Ok(Admitted {
            team,
            engine_time,
            wait,
        })
    }

    /// Expected wait of a request with this expected engine time.
    fn expected_wait(
        &mut self,
        now: Micros,
        class: Class,
        team: TeamKey,
        weight: u32,
        work: Micros,
    ) -> Micros {
        let queued = self.queue.work_ahead(class, team, weight, work);
        let ahead = self.drain_rate.wait(queued + self.reservations.total(now));
        match self.kind {
            Kind::Model => ahead + self.prefills_end.since(now) + self.slot_wait(),
            Kind::Plain => ahead,
        }
    }

    /// Expected time until one more request may run. Without it, an engine at its limit with an
    /// empty queue would look as free as an idle one.
    fn slot_wait(&self) -> Micros {
        let running = self.running.len() as u64;
        let max_running = (self.run_limit.get() as usize).min(self.slots) as u64;
        let excess = (running + 1).saturating_sub(max_running);
        Micros(self.mean_service_time.0 * excess / running.max(1))
    }

    /// Refusal of all requests in the target's current state, if any.
    fn closed_refusal(&self) -> Option<Refusal> {
        let retry_after = Some(Micros::from_secs(1));
        let code = match self.state {
            State::Serving => return None,
            State::Leaving => Code::Draining,
            State::Loading | State::Down => Code::NoTarget,
        };
        Some(Refusal {
            code,
            retry: retry_after,
        })
    }

    /// Expected engine time of a request.
    fn engine_time(&self, blocks: u32, output: u32) -> Micros {
        match self.kind {
            Kind::Model => self.cost.work(blocks, output),
            Kind::Plain => Micros(self.mean_service_time.0 / self.slots.max(1) as u64),
        }
    }

    /// Number of a prompt's blocks that aren't cached.
    pub(super) fn missing_blocks(&self, chain: &[BlockHash]) -> u32 {
        (chain.len() as u32).saturating_sub(self.index.matched_chain(chain))
    }

    fn team_key(&mut self, name: &str) -> TeamKey {
        match self.teams.get(name) {
            Some(k) => *k,
            None => {
                let key = self.team_keys.insert(());
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

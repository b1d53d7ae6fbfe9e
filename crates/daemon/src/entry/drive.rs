//! Drives one request to its end: attempts at one replica after another, then the answer.
//!
//! [`crate::entry::attempt`] has the exchange with one replica. Here is what outlives it: which
//! replicas were tried, whether another attempt may be made, and what the caller is told if not.

use std::sync::Arc;
use std::time::Duration;

use exchange::{Failure, Relay};
use model::{Code, Micros, Outcome};
use policy::health;
use policy::quarantine::Verdict;
use policy::retry;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};
use tracing::Instrument;

use crate::clock;
use crate::crash_report::{self, CrashReport};
use crate::entry::answer::Problem;
use crate::entry::attempt::{Ended, Stop};
use crate::entry::job::Job;
use crate::entry::out::{Answer, Out};
use crate::entry::pick::{pick, Picked, Told};
use crate::entry::stop::Taken;
use crate::entry::Context;
use crate::log;
use crate::{hop, membership, trace};

/// Attempts at a request that planned stops send from one sidecar to the next.
const DRAINED: u32 = 8;
/// Targets that may die under one request. Membership tells the fleet of each crash a little
/// later than an attempt elsewhere begins, so that the entry counts, too.
const CRASHES: u32 = 2;
/// How long a stream that has begun may wait for its turn at another replica; a reader takes a
/// longer pause for the end.
const RESUME: Duration = Duration::from_secs(10);

/// Runs a job; the answer comes through `out`.
pub async fn drive(cx: Arc<Context>, job: Job, out: oneshot::Sender<Answer>) {
    let stream = job.is_stream();
    let out = Out::new(out, stream);
    let relay = Relay::new(job.idempotent, stream);
    let _taken = Taken::new(&cx);
    let hop = job.trace.child();
    let span = hop!("entry", job.trace, hop, request = job.id);
    Drive {
        cx,
        job,
        relay,
        out,
        tried: Vec::new(),
        attempt: 0,
        opened: false,
        suspect: false,
        crashes: Vec::new(),
        cost: None,
        begun: Instant::now(),
        sent: Instant::now(),
        at: None,
        hop,
    }
    .run()
    .instrument(span)
    .await;
}

/// A request under way.
pub(super) struct Drive {
    pub(super) cx: Arc<Context>,
    pub(super) job: Job,
    /// What became of the answer so far, over all attempts.
    pub(super) relay: Relay,
    pub(super) out: Out,
    /// Replicas that had an attempt.
    pub(super) tried: Vec<model::TargetKey>,
    /// Attempts made.
    pub(super) attempt: u32,
    /// Whether any replica may have got the request.
    pub(super) opened: bool,
    /// Another process found that a target died under this request.
    suspect: bool,
    /// Names of the crashes under this request.
    pub(super) crashes: Vec<u64>,
    /// What the current replica told.
    pub(super) cost: Option<Told>,
    /// When the request came.
    pub(super) begun: Instant,
    /// When the current attempt began.
    pub(super) sent: Instant,
    /// The replica of the current attempt.
    pub(super) at: Option<model::TargetKey>,
    /// The span of the whole request.
    pub(super) hop: trace::Context,
}

impl Drive {
    /// Tries one replica after another.
    async fn run(mut self) {
        if let Some(failure) = self.begin() {
            return self.give(failure).await;
        }
        let mut delivered = 0;
        let mut failure = none();
        loop {
            let p = match self.pick().await {
                Ok(Some(p)) => p,
                Err(f) if f.code == Code::Quarantined => {
                    return self.give(convicted(&failure)).await
                }
                // What happened before says more than that nobody is left.
                Err(f) if self.attempt == 0 => return self.give(f).await,
                Ok(None) | Err(_) => break,
            };
            match self.attempt(p, delivered).await {
                Ended::Over => return,
                Ended::Elsewhere {
                    delivered: d,
                    failure: f,
                } => {
                    delivered = d;
                    failure = f;
                    self.out.restart();
                }
            }
            if !self.again(&failure) {
                break;
            }
        }
        self.give(failure).await;
    }

    /// The best replica that wasn't tried yet.
    async fn pick(&self) -> Result<Option<Picked>, Failure> {
        let view = self.cx.view.load_full();
        let probe = self.hop.child();
        let span = hop!("probe", self.hop, probe);
        let picking = pick(&self.cx, &view, &self.job.want, &self.tried);
        let picked = picking.instrument(span).await?;
        Ok(picked.into_iter().next())
    }

    /// Counts the request; a convicted one ends here.
    fn begin(&mut self) -> Option<Failure> {
        let mut memory = self.cx.memory.lock();
        memory.budget.record_first_attempt();
        let verdict = memory.verdict(clock::now(), self.job.want.fingerprint);
        self.suspect = verdict == Verdict::Suspect;
        (verdict == Verdict::Convicted).then_some(Failure {
            code: Code::Quarantined,
            outcome: Outcome::NotRun,
            retry: None,
        })
    }

    /// Targets that died under this request, as far as this entry knows.
    pub(super) fn strikes(&self) -> u32 {
        self.relay.crashes() + u32::from(self.suspect)
    }

    /// Names of the crashes that are held against this request, as far as this entry knows.
    pub(super) fn named_crashes(&self) -> Vec<u64> {
        let memory = self.cx.memory.lock();
        let mut names = memory.crashes(clock::now(), self.job.want.fingerprint);
        drop(memory);
        names.extend(&self.crashes);
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Whether another attempt may be made after this failure.
    fn again(&mut self, failure: &Failure) -> bool {
        if self.strikes() >= CRASHES {
            return false;
        }
        if failure.code == Code::Draining {
            // A planned stop is no failure: its requests go elsewhere whatever the budget says.
            return self.attempt < DRAINED;
        }
        let now = clock::now();
        let left = self.deadline().saturating_duration_since(Instant::now());
        let f = retry::Failure {
            attempt: model::Attempt(self.attempt - 1),
            outcome: failure.outcome,
            idempotent: self.job.idempotent,
            deadline: now + Micros::from(left),
            least: Micros::ZERO,
        };
        let mut memory = self.cx.memory.lock();
        memory.budget.allow_retry(now, &f).is_ok()
    }

    /// When an attempt is of no more use. The deadline is for the beginning of the answer; whoever
    /// reads a stream past it would otherwise lose it with its engine.
    pub(super) fn deadline(&self) -> Instant {
        match self.out.is_started() {
            true => Instant::now() + RESUME,
            false => self.job.deadline,
        }
    }

    /// Notes how the current replica answered, for comparison with its peers.
    pub(super) fn measured(&self, failed: bool) {
        let Some(target) = self.at else { return };
        let sample = match (failed, self.cost) {
            (true, _) => health::Sample::Failed,
            (false, Some(Told { wait, expected })) => health::Sample::Answered {
                wait,
                expected: expected.max(Micros(1)),
                took: self.sent.elapsed().into(),
            },
            (false, None) => return,
        };
        let mut memory = self.cx.memory.lock();
        memory.health.record(clock::now(), target, sample);
    }

    /// Ends a request whose attempt was broken off.
    pub(super) async fn stop(&mut self, stop: Stop) {
        if let Stop::Gone = stop {
            spdlog::info!(logger: log::entry(), "request {} cancelled by caller", self.job.id);
            return;
        }
        let outcome = match self.opened {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        let late = Failure {
            code: Code::Deadline,
            outcome,
            retry: None,
        };
        self.give(late).await;
    }

    /// Holds back the answer to a request that crashed its target. Its caller sends it again as
    /// soon as it has one, and whoever hasn't heard of the crash by then loses one more target.
    /// The sidecars tell the fleet; the entry does, too, if only it knows that there were two.
    async fn warn(&self) {
        let mark = CrashReport {
            fingerprint: self.job.want.fingerprint,
            convicted: true,
            crash: 0,
        };
        for _ in 0..crash_report::REPORTS {
            if self.strikes() >= CRASHES {
                let now = clock::now();
                // A later end makes it news again, for those whom the last round missed.
                let until = now + crash_report::strike_duration();
                self.cx.memory.lock().told(now, mark, until);
                let fingerprint = mark.encode();
                let news = membership::Command::Convict(fleet::Conviction { fingerprint, until });
                let _ = self.cx.members.send(news);
            }
            sleep(crash_report::REPORT_INTERVAL).await;
        }
    }

    /// Ends a request that gets no answer.
    pub(super) async fn give(&mut self, f: Failure) {
        let crashed = self.relay.crashes() > 0;
        let f = match crashed && self.strikes() >= CRASHES {
            true => convicted(&f),
            false => f,
        };
        if crashed {
            self.warn().await;
        }
        let problem = Problem {
            code: f.code,
            outcome: f.outcome,
            message: format!("no answer: {}", f.code),
            retry: f.retry,
        };
        spdlog::warn!(
            logger: log::entry(),
            "request {} failed: {}, outcome {}", self.job.id, f.code, f.outcome
        );
        self.out.fail(problem).await;
    }
}

/// The final answer to a request that crashes its targets; an earlier attempt may have run.
fn convicted(before: &Failure) -> Failure {
    Failure {
        code: Code::Quarantined,
        outcome: before.outcome,
        retry: None,
    }
}

/// What the caller is told if no replica could be tried.
fn none() -> Failure {
    Failure {
        code: Code::NoTarget,
        outcome: Outcome::NotRun,
        retry: Some(Micros::from_secs(1)),
    }
}

//! Drives one request to its end: attempts at one replica after another, then the answer.
//!
//! [`crate::entry::attempt`] runs the exchange with one replica. This module handles what concerns
//! several attempts: which replicas were tried, whether another attempt is allowed, and the error
//! for the caller if it isn't.

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
use crate::entry::answer_sink::{Answer, AnswerSink};
use crate::entry::attempt::{Abort, AttemptEnd};
use crate::entry::job::Job;
use crate::entry::pick::{pick, Candidate, OfferEstimate};
use crate::entry::problem::Problem;
use crate::entry::stop::ActiveRequest;
use crate::entry::Context;
use crate::log;
use crate::{hop, membership, trace};

/// Maximum number of attempts at a request that sidecars return because they stop.
const MAX_DRAIN_ATTEMPTS: u32 = 8;
/// Number of crashes of targets after which a request gets no further attempt. The entry counts
/// them itself, since a crash report reaches the fleet only after the next attempt has started.
const MAX_CRASHES: u32 = 2;
/// How long a stream that has started may wait in the queue of another replica. The caller would
/// take a longer pause for the end.
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a job and sends the answer through `out`.
pub async fn drive(cx: Arc<Context>, mut job: Job, out: oneshot::Sender<Answer>) {
    let stream = job.is_stream();
    let sink = AnswerSink::new(out, stream, job.answer_memory.take());
    let relay = Relay::new(job.idempotent, stream);
    let _active = ActiveRequest::new(&cx);
    let hop = job.trace.child();
    let span = hop!("entry", job.trace, hop, request = job.id);
    Drive {
        cx,
        job,
        relay,
        sink,
        tried: Vec::new(),
        attempt: 0,
        maybe_sent: false,
        known_suspect: false,
        crashes: Vec::new(),
        estimate: None,
        received_at: Instant::now(),
        attempt_started: Instant::now(),
        current: None,
        hop,
    }
    .run()
    .instrument(span)
    .await;
}

/// State of a request in progress.
pub(super) struct Drive {
    pub(super) cx: Arc<Context>,
    pub(super) job: Job,
    /// State of the answer over all attempts.
    pub(super) relay: Relay,
    pub(super) sink: AnswerSink,
    /// Targets that had an attempt.
    pub(super) tried: Vec<model::TargetKey>,
    /// Number of attempts made.
    pub(super) attempt: u32,
    /// Whether a sidecar may have received the request.
    pub(super) maybe_sent: bool,
    /// Whether the request was a suspect when it arrived: a target crashed while it ran.
    known_suspect: bool,
    /// Ids of the crashes during this request's attempts.
    pub(super) crashes: Vec<u64>,
    /// Estimate in the current replica's offer.
    pub(super) estimate: Option<OfferEstimate>,
    /// When the request arrived.
    pub(super) received_at: Instant,
    /// When the current attempt started.
    pub(super) attempt_started: Instant,
    /// Target of the current attempt.
    pub(super) current: Option<model::TargetKey>,
    /// Span of the whole request.
    pub(super) hop: trace::Context,
}

impl Drive {
    /// Makes attempts at one replica after another until the request is complete.
    async fn run(mut self) {
        if let Some(failure) = self.admit() {
            return self.fail(failure).await;
        }
        let mut delivered = 0;
        let mut failure = no_replica();
        loop {
            let candidate = match self.pick().await {
                Ok(Some(c)) => c,
                Err(f) if f.code == Code::Quarantined => {
                    return self.fail(quarantined(&failure)).await
                }
                // After an attempt, its failure says more than the lack of another replica.
                Err(f) if self.attempt == 0 => return self.fail(f).await,
                Ok(None) | Err(_) => break,
            };
            match self.attempt(candidate, delivered).await {
                AttemptEnd::Finished => return,
                AttemptEnd::RetryElsewhere {
                    delivered: d,
                    failure: f,
                } => {
                    delivered = d;
                    failure = f;
                    self.sink.restart();
                }
            }
            if !self.may_retry(&failure) {
                break;
            }
        }
        self.fail(failure).await;
    }

    /// The best replica that hasn't been tried.
    async fn pick(&self) -> Result<Option<Candidate>, Failure> {
        let view = self.cx.view.load_full();
        let probe = self.hop.child();
        let span = hop!("probe", self.hop, probe);
        let picking = pick(&self.cx, &view, &self.job.criteria, &self.tried);
        let candidates = picking.instrument(span).await?;
        Ok(candidates.into_iter().next())
    }

    /// Counts the request for the retry budget; refuses a convicted one.
    fn admit(&mut self) -> Option<Failure> {
        let mut memory = self.cx.memory.lock();
        memory.budget.record_first_attempt();
        let verdict = memory.verdict(clock::now(), self.job.criteria.fingerprint);
        self.known_suspect = verdict == Verdict::Suspect;
        (verdict == Verdict::Convicted).then_some(Failure {
            code: Code::Quarantined,
            outcome: Outcome::NotRun,
            retry: None,
        })
    }

    /// Number of targets that crashed while they ran this request, as far as this entry knows.
    pub(super) fn crash_count(&self) -> u32 {
        self.relay.crashes() + u32::from(self.known_suspect)
    }

    /// Ids of the crashes recorded for this request, as far as this entry knows.
    pub(super) fn crash_ids(&self) -> Vec<u64> {
        let memory = self.cx.memory.lock();
        let mut ids = memory.crash_ids(clock::now(), self.job.criteria.fingerprint);
        drop(memory);
        ids.extend(&self.crashes);
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Whether another attempt may be made after this failure.
    fn may_retry(&mut self, failure: &Failure) -> bool {
        if self.crash_count() >= MAX_CRASHES {
            return false;
        }
        if failure.code == Code::Draining {
            // A planned stop isn't a failure, so the retry budget doesn't apply to its requests.
            return self.attempt < MAX_DRAIN_ATTEMPTS;
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

    /// Time by which an attempt has to start its answer. The job's deadline applies only until the
    /// caller has the start of its answer: otherwise a stream that runs past the deadline would be
    /// lost if its engine failed.
    pub(super) fn deadline(&self) -> Instant {
        match self.sink.is_started() {
            true => Instant::now() + CONTINUE_TIMEOUT,
            false => self.job.deadline,
        }
    }

    /// Records for the health policy how the current target answered.
    pub(super) fn record_health(&self, failed: bool) {
        let Some(target) = self.current else { return };
        let sample = match (failed, self.estimate) {
            (true, _) => health::Sample::Failed,
            (false, Some(OfferEstimate { wait, expected })) => health::Sample::Answered {
                wait,
                expected: expected.max(Micros(1)),
                took: self.attempt_started.elapsed().into(),
            },
            (false, None) => return,
        };
        let mut memory = self.cx.memory.lock();
        memory.health.record(clock::now(), target, sample);
    }

    /// Ends a request whose attempt was aborted.
    pub(super) async fn abort(&mut self, reason: Abort) {
        if let Abort::CallerGone = reason {
            spdlog::info!(logger: log::entry(), "request {} cancelled by caller", self.job.id);
            return;
        }
        let outcome = match self.maybe_sent {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        };
        let failure = Failure {
            code: Code::Deadline,
            outcome,
            retry: None,
        };
        self.fail(failure).await;
    }

    /// Delays the answer to a request that crashed its target. Callers retry as soon as they have
    /// an answer, and any process that doesn't know of the crash by then loses another target. The
    /// sidecars report single crashes to the fleet. A conviction that only this entry can derive,
    /// from crashes at several replicas, is reported here.
    async fn report_crash(&self) {
        let report = CrashReport {
            fingerprint: self.job.criteria.fingerprint,
            convicted: true,
            crash: 0,
        };
        for _ in 0..crash_report::REPORTS {
            if self.crash_count() >= MAX_CRASHES {
                let now = clock::now();
                // A later expiry makes gossip spread the report again, to members that missed the
                // previous one.
                let until = now + crash_report::strike_duration();
                self.cx.memory.lock().apply_report(now, report, until);
                let fingerprint = report.encode();
                let command =
                    membership::Command::Convict(fleet::Conviction { fingerprint, until });
                let _ = self.cx.membership.send(command);
            }
            sleep(crash_report::REPORT_INTERVAL).await;
        }
    }

    /// Ends the request with an error.
    pub(super) async fn fail(&mut self, f: Failure) {
        let crashed = self.relay.crashes() > 0;
        let f = match crashed && self.crash_count() >= MAX_CRASHES {
            true => quarantined(&f),
            false => f,
        };
        if crashed {
            self.report_crash().await;
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
        self.sink.fail(problem).await;
    }
}

/// Error for a request that crashes its targets. The outcome is that of the last attempt, which
/// may have run.
fn quarantined(last: &Failure) -> Failure {
    Failure {
        code: Code::Quarantined,
        outcome: last.outcome,
        retry: None,
    }
}

/// Error for a request for which there is no replica to try.
fn no_replica() -> Failure {
    Failure {
        code: Code::NoTarget,
        outcome: Outcome::NotRun,
        retry: Some(Micros::from_secs(1)),
    }
}

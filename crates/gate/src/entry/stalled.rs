//! Evidence for [`policy::stall`] from this entry's data on targets, and the retries that it needs.

use model::Micros;
use policy::retry_budget::{Budget, RetryReason};
use policy::stall::{decide, Config, Decision, Evidence, Held, Others, Signs};
use tokio::time::sleep;

use super::fleet::ReplicaKey;
use super::replica::Replica;
use super::request::Job;
use super::{limits, pick, suspects, usable, Ctx};
use crate::log::{self, Event};
use crate::meter;
use crate::stall::Need;

/// Whether a job may move to another target while its answer hasn't started.
pub(super) fn may_move(job: &Job) -> bool {
    job.route.mode.may_rerun() && job.run_count + 1 < job.route.max_attempts
}

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    /// Key of the target.
    pub(super) key: ReplicaKey,
    /// When the request was sent.
    pub(super) at: Micros,
    /// Estimated milliseconds until the first token.
    pub(super) estimate: f64,
}

/// State of the decisions on one request.
#[derive(Debug, Default)]
pub(super) struct Stall {
    need: Need,
    /// Last outcome, so that each is logged once.
    outcome: &'static str,
}

impl Stall {
    /// Time until the next decision, or `None` if the request moves now; its retry is spent then.
    pub(super) fn step(&mut self, ctx: &Ctx, job: &Job, sent: &Sent) -> Option<Micros> {
        let config = Config::default();
        let evidence = evidence(ctx, job, sent);
        let (wait, outcome) = match decide(&config, &evidence) {
            Decision::Wait { until, held: None } => return Some(until),
            Decision::Wait { until, held } => (until, held.map_or("", held_name)),
            Decision::Move { reason } => match self.spend(ctx, job, reason) {
                Ok(()) => (Micros::ZERO, "moved"),
                Err(outcome) => (config.recheck, outcome),
            },
        };
        if outcome != self.outcome {
            self.outcome = outcome;
            log_stalled(ctx, job, sent, &evidence, outcome);
        }
        (outcome != "moved").then_some(wait)
    }

    /// Takes a retry for a job that has run and is at a silent target; returns whether there is one.
    pub(super) fn take_retry(&mut self, ctx: &Ctx, job: &Job) -> bool {
        let spend = |b: &mut Budget| self.need.spend(ctx.now(), b, RetryReason::HasRun);
        job.has_retry || ctx.retry_budget(&job.pool, spend)
    }

    /// Spends a retry for a move, or returns why there is none.
    fn spend(&mut self, ctx: &Ctx, job: &Job, reason: RetryReason) -> Result<(), &'static str> {
        let now = ctx.now();
        if suspects::is_convicted(ctx, job) {
            return Err("quarantined");
        }
        let may_spend = ctx.retry_budget(&job.pool, |b| self.need.may_spend(now, b, reason));
        if !job.has_retry && !may_spend {
            return Err("no_retry");
        }
        if !has_other_target(ctx, job, now, reason) {
            return Err("no_target");
        }
        if !limits::hold_run(job, now) {
            return Err("over_limit");
        }
        let spent = |b: &mut _| self.need.spend(now, b, reason);
        match job.has_retry || ctx.retry_budget(&job.pool, spent) {
            true => Ok(()),
            false => {
                limits::release_run(job);
                Err("no_retry")
            }
        }
    }
}

/// Records at a target's circuit breaker that a request sent at `sent_at` has moved away from it.
pub(super) fn record_moved(ctx: &Ctx, key: ReplicaKey, sent_at: Micros) {
    let now = ctx.now();
    let mut fleet = ctx.fleet.borrow_mut();
    let Some(r) = fleet.replicas.get(key) else {
        return;
    };
    let signs = r.history.signs(now, reported_at(r));
    match signs.silent_for(now.since(sent_at)) >= Config::default().silence {
        true => fleet.record_silent(now, key),
        false => fleet.record_failure(now, key, "silent"),
    }
}

fn held_name(held: Held) -> &'static str {
    match held {
        Held::CutOff => "cut_off",
        Held::NoneBetter => "none_better",
    }
}

fn evidence(ctx: &Ctx, job: &Job, sent: &Sent) -> Evidence {
    let now = ctx.now();
    let fleet = ctx.fleet.borrow();
    // A target that has left the list shows no life.
    let target = fleet.replicas.get(sent.key);
    let mut others = Others::default();
    let pool = fleet.replicas.iter();
    for (_, r) in pool.filter(|(k, r)| *k != sent.key && r.target.pool == job.pool) {
        others.add(now, sent.at, &r.history, reported_at(r));
    }
    let is_stream = job.route.mode.is_stream();
    let estimate = match is_stream {
        true => sent.estimate.clamp(0.0, 60_000.0),
        // For a plain service the estimate isn't a time.
        false => 0.0,
    };
    Evidence {
        waited: now.since(sent.at),
        is_stream,
        goal: job.route.latency_goal.into(),
        estimate: Micros((estimate * 1e3) as u64),
        time_left: job.time_left(now).into(),
        target: target.map_or(Signs::default(), |r| r.history.signs(now, reported_at(r))),
        refuses: target.is_some_and(|r| r.history.refuses()),
        others,
    }
}

/// When the target's sidecar last reported that the engine answers; zero if its last report says that
/// the engine doesn't.
pub(super) fn reported_at(r: &Replica) -> Option<Micros> {
    r.agent_report.map(|report| match report.alive {
        true => report.at,
        false => Micros::ZERO,
    })
}

/// Whether another target that works can take the job.
fn has_other_target(ctx: &Ctx, job: &Job, now: Micros, reason: RetryReason) -> bool {
    let Some(plan) = ctx.node.plan() else {
        return false;
    };
    match pick::pick(ctx, &plan, job) {
        Ok(pick) => {
            let fleet = ctx.fleet.borrow();
            let other = fleet.replicas.get(pick.key);
            let time_left = job.time_left(now).as_secs_f64() * 1e3;
            pick.estimate < time_left && other.is_some_and(|r| usable::is_usable(r, now))
        }
        // A request that fails otherwise is better served late.
        Err(super::refuse::Reason::Late { wait, .. }) => {
            reason == RetryReason::HasRun && wait < job.time_left(now).into()
        }
        Err(_) => false,
    }
}

/// Takes a retry for a job that has run and fails without one, and waits for it if none is left. The
/// wait ends after half of the remaining time, so that a second attempt has time to run.
pub(super) async fn wait_for_retry(ctx: &Ctx, job: &mut Job) -> bool {
    if std::mem::take(&mut job.has_retry) {
        return true;
    }
    let mut need = Need::default();
    let began = ctx.now();
    let end = began + Micros::from(job.time_left(began) / 2);
    loop {
        let now = ctx.now();
        if ctx.retry_budget(&job.pool, |b| need.spend(now, b, RetryReason::HasRun)) {
            return true;
        }
        if now >= end {
            return false;
        }
        sleep(Config::default().recheck.into()).await;
    }
}

/// Whether a job that has run and has no target waits for one: in the first half of its time.
pub(super) fn is_worth_waiting(job: &Job, now: Micros) -> bool {
    job.route.mode.may_rerun() && now.since(job.received_at) < job.time_left(now).into()
}

fn log_stalled(ctx: &Ctx, job: &Job, sent: &Sent, e: &Evidence, outcome: &'static str) {
    meter::increment(meter::STALLED, "outcome", outcome);
    let fleet = ctx.fleet.borrow();
    let target = fleet.replicas.get(sent.key);
    log::event(&Event::Stalled {
        request: &job.id,
        target: target.map_or("", |r| &r.target.boot.id),
        outcome,
        waited_ms: e.waited.as_millis(),
        estimate_ms: sent.estimate,
        heard_ms: e.target.age().map(Micros::as_millis),
        refuses: e.refuses,
        answering: e.others.answering,
        stuck: e.others.stuck,
    });
}

//! Passes this entry's requests, answers and datagrams to [`crate::room`], where the settings ask for
//! it.

use std::collections::HashMap;

use policy::fair_share::combined_rank;
use policy::room::Decision;
use rand::Rng;
use site::State;
use tokio::time::sleep;

use super::pick::Pick;
use super::refuse::Reason;
use super::request::Job;
use super::usable::{accepts_requests, REPORT_LIFETIME};
use super::Ctx;
use crate::room::{Request, UPDATE_INTERVAL};
use crate::update::{self, RoomUse};

/// Fraction of the latency goal from which a wait at the best engine counts. With estimates of some
/// accuracy, requests are still in time, and engines are busy.
const WAIT_SHARE: f64 = 0.5;

/// A job as a request for room; `None` if none is needed.
fn request<'a>(ctx: &Ctx, job: &'a Job) -> Option<Request<'a>> {
    let prompt = job.prompt.as_ref()?;
    let applies = ctx.node.settings.borrow().pressure;
    applies.then(|| Request {
        pool: &job.pool,
        team: job.team.as_deref().unwrap_or_default(),
        rank: combined_rank(job.rank, job.route.rank),
        tokens: u64::from(prompt.input_tokens) + u64::from(prompt.max_output_tokens),
    })
}

/// Decides whether a job is admitted, before its first attempt.
pub(super) fn admit(ctx: &Ctx, job: &Job) -> Result<(), Reason> {
    let Some(request) = request(ctx, job) else {
        return Ok(());
    };
    let now = ctx.now();
    // The caller of a stream that it takes up has a part of the answer.
    if job.resumes.is_some() || job.last_event_id.is_some() {
        ctx.rooms.record_rerun(now, &request);
        return Ok(());
    }
    let draw = rand::rng().random();
    let time_left = job.time_left(now).into();
    match ctx.rooms.offer(now, &request, time_left, draw) {
        Decision::Admit => Ok(()),
        Decision::Refuse { wait } => Err(Reason::NoRoom { wait }),
    }
}

/// Records whether the engines had a wait when one was looked for.
pub(super) fn record_pick(ctx: &Ctx, job: &Job, picked: &Result<Pick, Reason>) {
    let Some(request) = request(ctx, job).filter(|_| job.send_count == 0) else {
        return;
    };
    let (waited, refused) = match picked {
        Ok(pick) => {
            let per_token = ctx.prefill_rate(&job.pool, |p| p.ms_per_token());
            let wait = pick.estimate - f64::from(pick.prefill_tokens) * per_token;
            let goal = job.route.latency_goal.as_secs_f64() * 1e3;
            (wait > goal * WAIT_SHARE, false)
        }
        Err(Reason::Late { .. }) => (true, true),
        Err(_) => return,
    };
    ctx.rooms.record_pick(ctx.now(), &request, waited, refused);
}

/// Records the first event of a job's answer.
pub(super) fn record_first_event(ctx: &Ctx, job: &Job) {
    if let Some(request) = request(ctx, job) {
        ctx.rooms.record_first_event(ctx.now(), &request);
    }
}

/// Computes the shares and sends reports for as long as the process runs.
pub(super) async fn report(ctx: Ctx) {
    loop {
        sleep(UPDATE_INTERVAL.into()).await;
        let Some(plan) = ctx.node.plan() else {
            continue;
        };
        if !ctx.node.settings.borrow().pressure {
            ctx.rooms.clear();
            continue;
        }
        let now = ctx.now();
        let fleet = ctx.fleet.borrow();
        let mut engines: HashMap<&str, usize> = HashMap::new();
        let targets = fleet.replicas.values().filter(|r| {
            let pool = plan.pool(&r.target.pool);
            r.target.state == State::Ready && pool.is_some_and(|p| p.engine.is_some())
        });
        for r in targets {
            // An engine without any report may be one that this entry doesn't subscribe to.
            let silent = r
                .agent_report
                .is_some_and(|report| now.since(report.at) >= REPORT_LIFETIME);
            let usable = r.is_present(now) && r.breaker.usable(now) && accepts_requests(r, now);
            *engines.entry(&r.target.pool).or_default() += usize::from(usable && !silent);
        }
        let cluster = ctx.node.cluster.borrow();
        let others = cluster.entries().count();
        for report in ctx.rooms.update(now, &plan, &engines, others) {
            update::send(&ctx.socket, &report, cluster.entries());
        }
    }
}

/// Receives another entry's report.
pub(super) fn receive(ctx: &Ctx, received: &RoomUse) {
    ctx.rooms.receive(ctx.now(), received);
}

//! Limits that targets state: drives [`policy::target_limit`] with answers, requests and datagrams.
//!
//! Whatever is sent to a target counts, also a second attempt, a resumed stream and a request that
//! the target refuses. A request that didn't reach its target is given back.

use std::collections::HashSet;
use std::net::SocketAddr;

use model::Micros;
use platform::replica::AnswerHead;
use policy::limit::{self, LimitKey};
use policy::target_limit::{Config, Report, Statement, TargetLimits};
use site::{Boot, State as TargetState};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::Fleet;
use super::limits::{decode, encode_use};
use super::refuse::Reason;
use super::replica::Replica;
use super::request::Job;
use super::{rests, Ctx};
use crate::log::{self, Event};
use crate::meter;
use crate::update::{self, LimitUse, StatedRate, TargetUse, Update};

/// Interval at which the lists of entries and targets are read again.
const LISTS_INTERVAL: Micros = Micros::from_millis(500);

/// Limits of all targets at this entry.
#[derive(Debug)]
pub(super) struct State {
    limits: TargetLimits,
    lists_at: Option<Micros>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            limits: TargetLimits::new(Micros::ZERO, Config::default(), rand::random()),
            lists_at: None,
        }
    }
}

impl State {
    /// Number of targets with a limit.
    pub(super) fn limited(&self) -> usize {
        self.limits.limited()
    }
}

fn key(boot: &Boot) -> LimitKey {
    LimitKey(xxh3_64_with_seed(boot.id.as_bytes(), boot.born))
}

/// Records the limit in the head of a target's answer to a request that was sent at `sent_at`.
pub(super) fn observe(ctx: &Ctx, boot: &Boot, head: &AnswerHead, sent_at: Micros) {
    let rate = match &head.limit {
        Ok(rate) => *rate,
        Err(e) => {
            return log::event(&Event::BadLimit {
                target: &boot.id,
                error: &e.to_string(),
            })
        }
    };
    // Only a complete head shows that the target states none.
    if rate.is_none() && !head.signed {
        return;
    }
    let (now, key) = (ctx.now(), key(boot));
    let is_new = {
        let mut state = ctx.target_limits.borrow_mut();
        state.limits.observe(now, key, rate, sent_at)
    };
    if is_new {
        log_statement(&boot.id, rate, "own");
        send_due(ctx);
    }
}

/// Whether a target may get a request now.
pub(super) fn admits(ctx: &Ctx, now: Micros, boot: &Boot) -> bool {
    let mut state = ctx.target_limits.borrow_mut();
    state.limited() == 0 || state.limits.admits(now, key(boot))
}

/// Counts a request that is about to be sent. Its target was chosen at this moment, and admits it.
/// Returns whether the target has a limit.
pub(super) fn record_send(ctx: &Ctx, boot: &Boot) -> bool {
    let counted = {
        let mut state = ctx.target_limits.borrow_mut();
        state.limits.record_send(ctx.now(), key(boot))
    };
    if counted {
        send_due(ctx);
    }
    counted
}

/// Returns the unit of a counted request that hasn't reached its target.
pub(super) fn give_back(ctx: &Ctx, boot: &Boot) {
    let mut state = ctx.target_limits.borrow_mut();
    state.limits.give_back(ctx.now(), key(boot));
}

/// Why no target is left for a job: the rests or limits of those that `accepted` accepts, or none is
/// there.
pub(super) fn no_target(
    ctx: &Ctx,
    fleet: &Fleet,
    job: &Job,
    accepted: impl Fn(&Replica) -> bool,
) -> Reason {
    let now = ctx.now();
    let time_left = job.time_left(now).into();
    let mut state = ctx.target_limits.borrow_mut();
    let is_open = |key| !job.attempted.contains(&key) || job.refused_by.contains(&key);
    let ready = fleet.replicas.iter().filter(|(key, r)| {
        r.target.pool == job.pool
            && r.target.state == TargetState::Ready
            && r.is_present(now)
            && is_open(*key)
            && accepted(r)
    });
    let reasons = ready.filter_map(|(_, r)| {
        let boot = &r.target.boot;
        if let Some(wait) = rests::left(ctx, now, boot) {
            return Some((wait, Reason::Resting { wait }));
        }
        let wait = state.limits.wait(now, key(boot), time_left);
        let is_limited = !state.limits.admits(now, key(boot));
        is_limited.then_some((wait, Reason::TargetLimits { wait }))
    });
    let first = reasons.min_by_key(|(wait, _)| *wait);
    first.map_or(Reason::NoTarget, |(_, reason)| reason)
}

/// Sends reports to the other entries for as long as the process runs.
pub(super) async fn report(ctx: Ctx) {
    loop {
        sleep(limit::POLL_INTERVAL.into()).await;
        update_lists(&ctx);
        send_due(&ctx);
    }
}

/// Reads the lists of entries and targets, and greets entries that are new.
fn update_lists(ctx: &Ctx) {
    let now = ctx.now();
    let mut state = ctx.target_limits.borrow_mut();
    if state
        .lists_at
        .is_some_and(|at| now.since(at) < LISTS_INTERVAL)
    {
        return;
    }
    state.lists_at = Some(now);
    let listed: HashSet<_> = {
        let fleet = ctx.fleet.borrow();
        fleet
            .replicas
            .values()
            .map(|r| key(&r.target.boot))
            .collect()
    };
    state.limits.retain(now, |key| listed.contains(&key));
    let cluster = ctx.node.cluster.borrow();
    let (report, new) = state.limits.set_peers(now, cluster.entries());
    update::send(&ctx.socket, &encode(report), new);
}

/// Sends the reports that are due.
fn send_due(ctx: &Ctx) {
    let reports = ctx.target_limits.borrow_mut().limits.poll(ctx.now());
    let cluster = ctx.node.cluster.borrow();
    for report in reports {
        update::send(&ctx.socket, &encode(report), cluster.entries());
    }
}

/// Receives another entry's report.
pub(super) fn receive(ctx: &Ctx, from: SocketAddr, received: &TargetUse) {
    let Some(used) = &received.used else {
        return;
    };
    let report = decode_report(used, &received.stated);
    let (new, replies) = {
        let mut state = ctx.target_limits.borrow_mut();
        state.limits.receive(ctx.now(), from, &report)
    };
    for reply in replies {
        update::send(&ctx.socket, &encode(reply), [from]);
    }
    let fleet = ctx.fleet.borrow();
    for statement in new {
        let mut targets = fleet.replicas.values().map(|r| &r.target.boot);
        let target = targets.find(|b| key(b) == statement.key);
        let id = target.map_or("", |b| b.id.as_str());
        log_statement(id, statement.rate, "peer");
    }
}

fn log_statement(target: &str, rate: Option<f64>, source: &str) {
    log::event(&Event::StatedLimit {
        target,
        rate,
        source,
    });
}

fn encode(report: Report) -> Update {
    let stated = report.statements.into_iter().map(|s| StatedRate {
        target: s.key.0,
        rate: s.rate,
        number: s.number,
    });
    Update {
        entry: true,
        target_use: Some(TargetUse {
            used: Some(encode_use(report.usage)),
            stated: stated.collect(),
        }),
        ..Update::default()
    }
}

fn decode_report(used: &LimitUse, stated: &[StatedRate]) -> Report {
    let is_valid = |s: &&StatedRate| s.rate.is_none_or(|r| (0.0..f64::INFINITY).contains(&r));
    let valid = stated.iter().filter(is_valid);
    let statements: Vec<_> = valid
        .map(|s| Statement {
            key: LimitKey(s.target),
            rate: s.rate,
            number: s.number,
        })
        .collect();
    if statements.len() < stated.len() {
        meter::increment(meter::BAD_UPDATES, "reason", "rate");
    }
    Report {
        usage: decode(used),
        statements,
    }
}

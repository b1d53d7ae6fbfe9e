//! Limits of teams: drives [`policy::limit`] with the active configuration, requests and datagrams.
//!
//! What counts is each run of a request. Units are taken when a request is admitted, before it
//! waits for a target. A run at a target uses them; if the target proves that the request did not
//! run, they are kept for the next attempt, and returned if there is none.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use model::Micros;
use policy::limit::{self, Config, Limit, LimitKey, Limiter, Purpose, Refusal, Report, Usage};
use site::{Bounds, Plan};
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use super::request::Job;
use super::Ctx;
use crate::meter;
use crate::update::{self, LimitUse, TeamUse, Update};

/// Interval at which the list of other entries is read again.
const PEERS_INTERVAL: Micros = Micros::from_millis(500);

/// Limits of all teams at this entry.
#[derive(Debug)]
pub(super) struct Limits {
    limiter: Limiter,
    /// Version of the configuration that the limits are from.
    version: u64,
    config: Config,
    peers_at: Option<Micros>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            limiter: Limiter::new(Micros::ZERO, Config::default(), rand::random()),
            version: 0,
            config: Config::default(),
            peers_at: None,
        }
    }
}

impl Limits {
    /// Applies a configuration and tolerances, unless they are applied already.
    fn apply(&mut self, now: Micros, plan: &Plan, bounds: &Bounds) {
        let config = Config {
            window: bounds.limit_window.into(),
            overage: bounds.limit_overage,
            slack: bounds.limit_slack,
            ..Config::default()
        };
        if plan.version() == self.version && config == self.config {
            return;
        }
        (self.version, self.config) = (plan.version(), config);
        self.limiter.set_config(config);
        let limits = plan.team_limits().map(|(team, l)| {
            let limit = Limit {
                rate: l.rate,
                burst: l.burst,
            };
            (team_key(team), limit)
        });
        self.limiter.set_limits(now, limits);
    }
}

fn team_key(team: &str) -> LimitKey {
    LimitKey(xxh3_64(team.as_bytes()))
}

/// Units of a team's limit for the next run of a request. Dropping them returns units that no run
/// has used.
#[derive(Debug)]
pub(super) struct Charge {
    ctx: Ctx,
    team: LimitKey,
    units: u64,
    /// Whether the units are taken and no run has used them yet.
    held: Cell<bool>,
}

impl Charge {
    /// A charge for a request of a team with a limit; nothing is taken yet.
    pub(super) fn new(ctx: &Ctx, team: &str, units: u64) -> Self {
        Self {
            ctx: Rc::clone(ctx),
            team: team_key(team),
            units,
            held: Cell::new(false),
        }
    }

    fn take(&self, purpose: Purpose, time_left: Micros) -> Result<(), Refusal> {
        let now = self.ctx.now();
        let mut limits = self.ctx.limits.borrow_mut();
        if let Some(plan) = self.ctx.node.plan() {
            limits.apply(now, &plan, &self.ctx.node.settings.borrow().bounds);
        }
        let taken = limits
            .limiter
            .take(now, self.team, self.units, purpose, time_left);
        let outcome = match taken {
            Ok(()) => "admitted",
            Err(_) => "refused",
        };
        meter::add(meter::LIMIT_UNITS, "outcome", outcome, self.units);
        self.held.set(taken.is_ok());
        taken
    }

    /// Returns units that no run has used.
    fn release(&self) {
        if self.held.replace(false) {
            meter::add(meter::LIMIT_UNITS, "outcome", "returned", self.units);
            let now = self.ctx.now();
            let mut limits = self.ctx.limits.borrow_mut();
            limits.limiter.give_back(now, self.team, self.units);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release();
    }
}

/// Takes the units of a request's first run, if its team has a limit.
pub(super) fn admit(job: &mut Job, now: Micros) -> Result<(), Refusal> {
    let time_left = job.time_left(now).into();
    match &job.charge {
        Some(c) => c.take(Purpose::First, time_left),
        None => Ok(()),
    }
}

/// Counts a run of a request, just before it is sent. Returns false if it must not run again.
pub(super) fn start_run(job: &mut Job, now: Micros) -> bool {
    let time_left = job.time_left(now).into();
    let Some(charge) = &job.charge else {
        return true;
    };
    let allowed = charge.held.get() || charge.take(Purpose::Rerun, time_left).is_ok();
    charge.held.set(false);
    allowed
}

/// Takes the units of a request's next run while it still runs at a target. Returns false if it must not
/// run again.
pub(super) fn hold_run(job: &Job, now: Micros) -> bool {
    let time_left = job.time_left(now).into();
    let hold = |c: &Charge| c.held.get() || c.take(Purpose::Rerun, time_left).is_ok();
    job.charge.as_ref().is_none_or(hold)
}

/// Returns the units that [`hold_run`] has taken, as the request stays at its target.
pub(super) fn release_run(job: &Job) {
    job.charge.iter().for_each(Charge::release);
}

/// Keeps the units of a run that did not take place for the next one.
pub(super) fn keep(job: &mut Job) {
    if let Some(c) = &job.charge {
        c.held.set(true);
    }
}

/// Sends reports to the other entries for as long as the process runs.
pub(super) async fn report(ctx: Ctx) {
    loop {
        sleep(limit::POLL_INTERVAL.into()).await;
        let Some(plan) = ctx.node.plan() else {
            continue;
        };
        let now = ctx.now();
        let mut limits = ctx.limits.borrow_mut();
        limits.apply(now, &plan, &ctx.node.settings.borrow().bounds);
        if !limits.limiter.has_limits() {
            continue;
        }
        let cluster = ctx.node.cluster.borrow();
        if limits
            .peers_at
            .is_none_or(|at| now.since(at) >= PEERS_INTERVAL)
        {
            limits.peers_at = Some(now);
            limits.limiter.set_peers(now, cluster.entries());
        }
        for report in limits.limiter.poll(now) {
            update::send(&ctx.socket, &encode(report), cluster.entries());
        }
    }
}

/// Receives another entry's report.
pub(super) fn receive(ctx: &Ctx, from: SocketAddr, received: &LimitUse) {
    let mut limits = ctx.limits.borrow_mut();
    let replies = limits.limiter.receive(ctx.now(), from, &decode(received));
    for reply in replies {
        update::send(&ctx.socket, &encode(reply), [from]);
    }
}

fn encode(report: Report) -> Update {
    Update {
        entry: true,
        limit_use: Some(encode_use(report)),
        ..Update::default()
    }
}

/// Encodes a report for other entries.
pub(super) fn encode_use(report: Report) -> LimitUse {
    let team = |t: Usage| TeamUse {
        team: t.key.0,
        spent: t.spent,
        recent: t.recent,
        level: t.level,
        demand: t.demand,
    };
    LimitUse {
        process: report.process,
        sent_us: report.sent.0,
        beat_ms: report.beat.as_millis() as u32,
        teams: report.usage.into_iter().map(team).collect(),
    }
}

/// Decodes a report of another entry.
pub(super) fn decode(received: &LimitUse) -> Report {
    let team = |t: &TeamUse| Usage {
        key: LimitKey(t.team),
        spent: t.spent,
        recent: t.recent,
        level: t.level,
        demand: t.demand,
    };
    Report {
        process: received.process,
        sent: Micros(received.sent_us),
        beat: Micros::from_millis(received.beat_ms.into()),
        usage: received.teams.iter().map(team).collect(),
    }
}

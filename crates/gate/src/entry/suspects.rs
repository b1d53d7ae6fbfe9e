//! Requests that crash the targets that run them, recorded by all entries together.
//!
//! A request that crashes its targets costs a pool one target per attempt, and its caller or other
//! callers send it again through any entry. Entries therefore send one another each crash recorded
//! against a request, and each suspect that was answered successfully after all. An entry that
//! reports a crash gets in reply the crashes that convict the request, or a message that the
//! request recently succeeded elsewhere. So a process that has just started costs at most one
//! target, and doesn't suspect content that other entries serve all the time.
//!
//! Streams that have delivered events are suspected too, since a request may crash its target at its
//! first event or later. Harmless ones are in progress during every crash, but are completed in
//! between, which clears them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::{Incarnation, MemberId, Micros};
use platform::replica::AnswerHead;
use policy::crash_attribution::{BrokenAnswer, CrashAttribution};
use policy::quarantine::{self, Crash, Fingerprint, ProcessRank, Quarantine, Verdict};
use site::Boot;
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::request::Job;
use super::Ctx;
use crate::log::{self, Event};
use crate::update::{self, Strike, Update};

/// Crashes that convict a request. Engines also crash for other reasons, several of a failure
/// domain at once. Two such crashes may hit both attempts of one request; three crashes of
/// incarnations of three targets hardly ever do.
const CONVICTING_CRASHES: usize = 3;

/// Delays between repetitions of an update. Each entry that lacks a crash may give the request one
/// more target, and datagrams are lost in bursts.
const REPEAT_DELAYS: [Duration; 5] = [
    Duration::from_millis(50),
    Duration::from_millis(150),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
];

/// Crashes that an entry has recorded against requests.
#[derive(Debug)]
pub(super) struct Suspects {
    quarantine: Quarantine,
    crash_attribution: CrashAttribution<Run>,
}

impl Default for Suspects {
    fn default() -> Self {
        let config = quarantine::Config {
            strikes: CONVICTING_CRASHES,
            ..quarantine::Config::default()
        };
        Self {
            quarantine: Quarantine::new(config),
            crash_attribution: CrashAttribution::default(),
        }
    }
}

/// A request that has run at a target.
#[derive(Clone, Debug)]
struct Run {
    id: String,
    fingerprint: Fingerprint,
}

/// Fingerprint of a request, the same for all requests of one team with the same method, path and
/// content.
pub(super) fn fingerprint(job: &Job) -> Fingerprint {
    let mut hash = Xxh3::new();
    hash.update(job.method.as_str().as_bytes());
    hash.update(job.uri.to_string().as_bytes());
    hash.update(&[0]);
    hash.update(job.team.as_deref().unwrap_or_default().as_bytes());
    hash.update(&[0]);
    hash.update(&job.body);
    for part in job.prompt.iter().flat_map(|p| &p.parts) {
        hash.update(&part.id.0.to_le_bytes());
    }
    Fingerprint {
        body: hash.digest128(),
        weights: 0,
    }
}

fn crash(boot: &Boot) -> Crash {
    Crash {
        member: MemberId(xxh3_64(boot.id.as_bytes())),
        incarnation: Incarnation(boot.born),
    }
}

/// How a job is to be treated.
pub(super) fn verdict(ctx: &Ctx, job: &Job) -> Verdict {
    let suspects = ctx.suspects.borrow();
    suspects.quarantine.verdict(ctx.now(), job.fingerprint)
}

/// Whether a job may be sent: either it isn't convicted, or this process uses one of the retries
/// allowed after a conviction.
pub(super) fn may_run(ctx: &Ctx, job: &Job) -> bool {
    if verdict(ctx, job) != Verdict::Convicted {
        return true;
    }
    let own = ctx.node.settings.borrow().peer;
    let entries = ctx.node.cluster.borrow();
    let process_rank = ProcessRank {
        rank: entries.entries().filter(|a| *a < own).count(),
        total: entries.entries().count() + 1,
    };
    let mut suspects = ctx.suspects.borrow_mut();
    suspects
        .quarantine
        .take_retry(ctx.now(), job.fingerprint, process_rank)
}

/// Shortest time until a convicted job may run again.
pub(super) fn time_to_retry(ctx: &Ctx, job: &Job) -> Micros {
    let now = ctx.now();
    let next = ctx
        .suspects
        .borrow()
        .quarantine
        .next_retry(now, job.fingerprint);
    next.map_or(Micros::ZERO, |at| at.since(now))
}

fn broken_answer(ctx: &Ctx, job: &Job, boot: &Boot, sent: Micros) -> BrokenAnswer<Run> {
    let run = Run {
        id: job.id.clone(),
        fingerprint: job.fingerprint,
    };
    BrokenAnswer {
        request: run,
        crash: crash(boot),
        sent,
        at: ctx.now(),
    }
}

/// Records that a job's answer broke off at the target to which the job was sent at `sent`.
pub(super) fn record_broken_answer(ctx: &Ctx, job: &Job, boot: &Boot, sent: Micros) {
    let run = broken_answer(ctx, job, boot, sent);
    let mut suspects = ctx.suspects.borrow_mut();
    let ended = suspects.crash_attribution.answer_broken(run.clone());
    drop(suspects);
    if ended {
        strike(ctx, &run.request, run.crash);
    }
}

/// Records the end of a successful answer. If it has neither a length nor chunks, only its target's
/// state shows whether it was complete.
pub(super) fn record_end(ctx: &Ctx, job: &Job, head: &AnswerHead, boot: &Boot, sent: Micros) {
    if head.delimited {
        return record_success(ctx, job);
    }
    let run = broken_answer(ctx, job, boot, sent);
    let mut suspects = ctx.suspects.borrow_mut();
    let ended = suspects.crash_attribution.answer_closed(run.clone());
    drop(suspects);
    if ended {
        strike(ctx, &run.request, run.crash);
    }
}

/// Records the answers that ended with their connections and whose targets have gone on.
pub(super) fn record_survived(ctx: &Ctx) {
    let now = ctx.now();
    let survived = {
        let mut suspects = ctx.suspects.borrow_mut();
        suspects.crash_attribution.take_survived(now)
    };
    for run in survived {
        clear(ctx, &run);
    }
}

/// Records the targets that have ended, for whatever reason.
pub(super) fn record_ended_targets(ctx: &Ctx) {
    let boots = std::mem::take(&mut ctx.fleet.borrow_mut().ended_targets);
    for boot in boots {
        let crash = crash(&boot);
        let runs = ctx
            .suspects
            .borrow_mut()
            .crash_attribution
            .target_ended(ctx.now(), crash);
        for run in runs {
            strike(ctx, &run, crash);
        }
    }
}

/// Records a complete answer to a job.
fn record_success(ctx: &Ctx, job: &Job) {
    let run = Run {
        id: job.id.clone(),
        fingerprint: job.fingerprint,
    };
    clear(ctx, &run);
}

fn clear(ctx: &Ctx, run: &Run) {
    let cleared = {
        let mut suspects = ctx.suspects.borrow_mut();
        suspects
            .quarantine
            .record_success(ctx.now(), run.fingerprint)
    };
    if cleared {
        log_suspected(
            run.fingerprint,
            Some(&run.id),
            None,
            &Record::default(),
            "own",
        );
        broadcast(ctx, strike_update(run.fingerprint, None));
    }
}

/// Applies a crash or success that another entry has recorded for a request.
pub(super) fn receive(ctx: &Ctx, strike: Strike, from: SocketAddr) {
    let fingerprint = fingerprint_of(&strike);
    let now = ctx.now();
    if strike.cleared {
        let cleared = ctx
            .suspects
            .borrow_mut()
            .quarantine
            .record_success(now, fingerprint);
        if cleared {
            log_suspected(fingerprint, None, None, &Record::default(), "peer");
            // Entries that have received the crash from this one need the correction too.
            broadcast(ctx, strike_update(fingerprint, None));
        }
        return;
    }
    if ctx
        .suspects
        .borrow()
        .quarantine
        .recently_succeeded(now, fingerprint)
    {
        update::send(&ctx.socket, &strike_update(fingerprint, None), [from]);
        return;
    }
    let crash = crash_of(&strike);
    let before = record(ctx, fingerprint);
    if before.verdict == Verdict::Convicted && !before.crashes.contains(&crash) {
        let replies = before
            .crashes
            .iter()
            .map(|c| strike_update(fingerprint, Some(*c)));
        replies.for_each(|reply| update::send(&ctx.socket, &reply, [from]));
        return;
    }
    ctx.suspects
        .borrow_mut()
        .quarantine
        .strike(now, fingerprint, crash);
    let after = record(ctx, fingerprint);
    if after.crashes.len() > before.crashes.len() {
        log_suspected(fingerprint, None, Some(crash), &after, "peer");
    }
}

/// Crashes recorded against a request, and the resulting verdict.
struct Record {
    crashes: Vec<Crash>,
    verdict: Verdict,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            verdict: Verdict::Clear,
        }
    }
}

fn record(ctx: &Ctx, fingerprint: Fingerprint) -> Record {
    let suspects = ctx.suspects.borrow();
    let quarantine = &suspects.quarantine;
    let crashes = quarantine.crashes(ctx.now(), fingerprint);
    Record {
        crashes: crashes.map_or_else(Vec::new, |(c, _)| c.to_vec()),
        verdict: quarantine.verdict(ctx.now(), fingerprint),
    }
}

fn strike(ctx: &Ctx, run: &Run, crash: Crash) {
    let (now, fingerprint) = (ctx.now(), run.fingerprint);
    ctx.suspects
        .borrow_mut()
        .quarantine
        .strike(now, fingerprint, crash);
    log_suspected(
        fingerprint,
        Some(&run.id),
        Some(crash),
        &record(ctx, fingerprint),
        "own",
    );
    broadcast(ctx, strike_update(fingerprint, Some(crash)));
}

fn log_suspected(
    fingerprint: Fingerprint,
    request: Option<&str>,
    crashed: Option<Crash>,
    record: &Record,
    source: &str,
) {
    log::event(&Event::Suspected {
        print: format!("{:x}", fingerprint.body),
        request,
        crashed: crashed.map(|c| format!("{:x}", c.member.0)),
        crashes: record.crashes.len(),
        verdict: match record.verdict {
            Verdict::Clear => "clear",
            Verdict::Suspect => "suspect",
            Verdict::Convicted => "convicted",
        },
        source,
    });
}

/// An update that reports a crash, or that clears the request if there is none.
fn strike_update(fingerprint: Fingerprint, crash: Option<Crash>) -> Update {
    Update {
        entry: true,
        strike: Some(Strike {
            high: (fingerprint.body >> 64) as u64,
            low: fingerprint.body as u64,
            target: crash.map_or(0, |c| c.member.0),
            born: crash.map_or(0, |c| c.incarnation.0),
            cleared: crash.is_none(),
        }),
        ..Update::default()
    }
}

/// Sends an update to all entries, and repeats it after each delay while it still holds.
fn broadcast(ctx: &Ctx, update: Update) {
    let send =
        |update: &Update| update::send(&ctx.socket, update, ctx.node.cluster.borrow().entries());
    send(&update);
    send(&update);
    let ctx = Rc::clone(ctx);
    tokio::task::spawn_local(async move {
        for delay in REPEAT_DELAYS {
            sleep(delay).await;
            if !update.strike.is_some_and(|s| still_holds(&ctx, &s)) {
                return;
            }
            update::send(&ctx.socket, &update, ctx.node.cluster.borrow().entries());
        }
    });
}

/// Whether a crash is still recorded, or the success that cleared the request still protects it.
fn still_holds(ctx: &Ctx, strike: &Strike) -> bool {
    let fingerprint = fingerprint_of(strike);
    if strike.cleared {
        return ctx
            .suspects
            .borrow()
            .quarantine
            .recently_succeeded(ctx.now(), fingerprint);
    }
    record(ctx, fingerprint).crashes.contains(&crash_of(strike))
}

fn fingerprint_of(strike: &Strike) -> Fingerprint {
    Fingerprint {
        body: u128::from(strike.high) << 64 | u128::from(strike.low),
        weights: 0,
    }
}

fn crash_of(strike: &Strike) -> Crash {
    Crash {
        member: MemberId(strike.target),
        incarnation: Incarnation(strike.born),
    }
}

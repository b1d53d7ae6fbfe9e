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
use policy::crash_attribution::{BrokenAnswer, CrashAttribution};
use policy::crashing_parts::{PartKey, RunningPart};
use policy::quarantine::{self, Crash, Fingerprint, ProcessRank, Quarantine, Verdict};
use site::Boot;
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::request::Job;
use super::send::{self, SentTo, Witness};
use super::{crashing_parts, Ctx};
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

/// Delay of the check whether a target still runs after an answer that ended with its connection.
const CHECK_DELAY: Duration = Duration::from_millis(20);

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
    /// Whether events of its stream had been passed on.
    began: bool,
    parts: Vec<PartKey>,
    sent: Micros,
    /// When the answer ended.
    ended: Micros,
}

impl Run {
    /// A job whose answer ends now at the target to which it was sent at `sent`.
    fn new(ctx: &Ctx, job: &Job, sent: Micros) -> Self {
        Self {
            id: job.id.clone(),
            fingerprint: job.fingerprint,
            began: job.last_event_id.is_some(),
            parts: crashing_parts::keys(job),
            sent,
            ended: ctx.now(),
        }
    }
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
fn verdict(ctx: &Ctx, job: &Job) -> Verdict {
    let suspects = ctx.suspects.borrow();
    suspects.quarantine.verdict(ctx.now(), job.fingerprint)
}

/// Whether a job should not run beside another suspect. A stream that continues is no likely cause
/// of a crash, and is better placed where its prompt is cached.
pub(super) fn is_isolated(ctx: &Ctx, job: &Job) -> bool {
    job.last_event_id.is_none() && verdict(ctx, job) == Verdict::Suspect
}

/// Whether a job is refused for what it or a part of its prompt does to targets.
pub(super) fn is_convicted(ctx: &Ctx, job: &Job) -> bool {
    verdict(ctx, job) == Verdict::Convicted || crashing_parts::is_convicted(ctx, job)
}

/// Whether a job may be sent: either neither it nor a part of its prompt is convicted, or this
/// process uses one of the retries allowed after a conviction. Returns whether it is a trial of parts
/// of its prompt, or the time until it may run again.
pub(super) fn may_run(ctx: &Ctx, job: &Job) -> Result<bool, Micros> {
    let rank = process_rank(ctx);
    // A trial of a part is one of the request too. A retry is not used up if a part is refused.
    let is_trial = crashing_parts::admit(ctx, job, rank)?;
    if is_trial || verdict(ctx, job) != Verdict::Convicted {
        return Ok(is_trial);
    }
    let (now, fingerprint) = (ctx.now(), job.fingerprint);
    let mut suspects = ctx.suspects.borrow_mut();
    if suspects.quarantine.take_retry(now, fingerprint, rank) {
        return Ok(false);
    }
    let next = suspects.quarantine.next_retry(now, fingerprint);
    Err(next.map_or(Micros::ZERO, |at| at.since(now)))
}

/// Rank of this process among the entries.
fn process_rank(ctx: &Ctx) -> ProcessRank {
    let own = ctx.node.settings.borrow().peer;
    let cluster = ctx.node.cluster.borrow();
    ProcessRank {
        rank: cluster.entries().filter(|a| *a < own).count(),
        total: cluster.entries().count() + 1,
    }
}

fn broken_answer(ctx: &Ctx, job: &Job, boot: &Boot, sent: Micros) -> BrokenAnswer<Run> {
    BrokenAnswer {
        request: Run::new(ctx, job, sent),
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
        strike_all(ctx, &[run.request], run.crash);
    }
}

/// Records the end of a successful answer from a target. If it has neither a length nor chunks, only
/// the target's state shows whether it was complete.
pub(super) fn record_end(
    ctx: &Ctx,
    job: &Job,
    delimited: bool,
    to: SentTo,
    witness: Option<Witness>,
) {
    if delimited {
        return clear(ctx, &Run::new(ctx, job, to.at));
    }
    let run = broken_answer(ctx, job, &to.boot, to.at);
    let ended = {
        let mut suspects = ctx.suspects.borrow_mut();
        suspects.crash_attribution.answer_closed(run.clone())
    };
    match ended {
        true => strike_all(ctx, &[run.request], run.crash),
        // Evidence on prompt parts can't wait until a crash would be known.
        false if !run.request.parts.is_empty() => {
            tokio::task::spawn_local(check_target(Rc::clone(ctx), to, run.at, witness));
        }
        false => {}
    }
}

/// Checks whether a target still runs after an answer that has ended with its connection at `at`, and
/// keeps the witness's connection for the next request.
async fn check_target(ctx: Ctx, to: SentTo, at: Micros, witness: Option<Witness>) {
    sleep(CHECK_DELAY).await;
    let connection = match witness {
        Some(witness) => witness.connection().await,
        None => None,
    };
    let reached = connection.is_some();
    match connection {
        Some(connection) => {
            if let Some(r) = ctx.fleet.borrow_mut().replicas.get_mut(to.key) {
                r.connections.keep_unused(connection);
            }
        }
        // The target may have started anew, or have closed the idle connection: whether its end
        // becomes known decides.
        None if send::reach(&ctx, to.key).await => return,
        None => {}
    }
    let complete = {
        let mut suspects = ctx.suspects.borrow_mut();
        let target = crash(&to.boot);
        suspects
            .crash_attribution
            .target_checked(target, at, reached)
    };
    complete.iter().for_each(|run| clear(&ctx, run));
}

/// Records the answers that ended with their connections and whose targets still run.
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
        strike_all(ctx, &runs, crash);
    }
}

/// Records that a target has rejected a job, which shows nothing about the parts of its prompt.
pub(super) fn record_rejection(ctx: &Ctx, job: &Job) {
    clear_request(ctx, &job.id, job.fingerprint);
}

/// Records a complete answer.
fn clear(ctx: &Ctx, run: &Run) {
    crashing_parts::record_answer(ctx, &run.parts);
    clear_request(ctx, &run.id, run.fingerprint);
}

fn clear_request(ctx: &Ctx, id: &str, fingerprint: Fingerprint) {
    let cleared = {
        let mut suspects = ctx.suspects.borrow_mut();
        suspects.quarantine.record_success(ctx.now(), fingerprint)
    };
    if cleared {
        log_suspected(fingerprint, Some(id), None, &Record::default(), "own");
        broadcast(ctx, strike_update(fingerprint, None));
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

/// Counts a crash against all requests that were running there, and against the parts of their
/// prompts.
fn strike_all(ctx: &Ctx, runs: &[Run], crash: Crash) {
    runs.iter().for_each(|run| strike(ctx, run, crash));
    let now = ctx.now();
    let running = runs.iter().flat_map(|run| {
        let sent = now.since(run.sent);
        run.parts
            .iter()
            .map(move |p| RunningPart { part: *p, sent })
    });
    let ended = runs.iter().map(|run| run.ended).min().unwrap_or(now);
    crashing_parts::record_crash(ctx, crash, now.since(ended), running);
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
    let update = strike_update(fingerprint, Some(crash));
    match run.began {
        // There are many of these at a crash, and hardly any is its cause.
        true => update::send(&ctx.socket, &update, ctx.node.cluster.borrow().entries()),
        false => broadcast(ctx, update),
    }
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

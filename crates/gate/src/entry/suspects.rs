//! Requests that crash the targets that run them, known to all entries together.
//!
//! A request that crashes each target takes a pool down one target per try, and its caller or another
//! one sends it again through any entry. Entries tell one another each crash that they hold against a
//! request, and each suspect that was answered well after all. One who tells of a crash gets in return
//! the crashes that convict, or the word that such a request was answered well elsewhere: a process
//! that has just started costs one target at most, and doesn't hold a crash against what others serve
//! all the time.
//!
//! Only a run that hasn't begun to answer is suspected. Streams whose events come are under way in
//! every crash, and a request that crashes its target does so at its beginning.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::{Incarnation, MemberId, Micros};
use policy::crash_attribution::{BrokenAnswer, CrashAttribution};
use policy::quarantine::{self, Crash, Fingerprint, ProcessRank, Quarantine, Verdict};
use site::Boot;
use tokio::time::sleep;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

use super::request::Job;
use super::Ctx;
use crate::log::{self, Event};
use crate::update::{self, Strike, Update};

/// Crashes that convict. Engines crash for other reasons too, several of a failure domain at once;
/// two such crashes may meet one request's two tries, three on lives of three targets hardly.
const STRIKES: usize = 3;

/// Pauses between repeated updates. Each entry that lacks a crash may give the request another target, and
/// datagrams are lost in bursts.
const REPEATS: [Duration; 5] = [
    Duration::from_millis(50),
    Duration::from_millis(150),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
];

/// What an entry holds against requests.
#[derive(Debug)]
pub(super) struct Suspects {
    quarantine: Quarantine,
    crash_attribution: CrashAttribution,
}

impl Default for Suspects {
    fn default() -> Self {
        let config = quarantine::Config {
            strikes: STRIKES,
            ..quarantine::Config::default()
        };
        Self {
            quarantine: Quarantine::new(config),
            crash_attribution: CrashAttribution::default(),
        }
    }
}

/// The fingerprint of a request: the same for each try of the same content by the same team.
///
/// The weights aren't in it. Whether new weights still have the fault can only be found out by
/// another crash.
pub(super) fn print(job: &Job) -> Fingerprint {
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

/// What is to be done with a job.
pub(super) fn verdict(ctx: &Ctx, job: &Job) -> Verdict {
    let suspects = ctx.suspects.borrow();
    suspects.quarantine.verdict(ctx.now(), job.print)
}

/// Whether a job may be sent: it isn't convicted, or is tried once more through this process.
pub(super) fn may_run(ctx: &Ctx, job: &Job) -> bool {
    if verdict(ctx, job) != Verdict::Convicted {
        return true;
    }
    let own = ctx.node.settings.borrow().peer;
    let entries = ctx.node.cluster.borrow();
    let place = ProcessRank {
        rank: entries.entries().filter(|a| *a < own).count(),
        total: entries.entries().count() + 1,
    };
    let mut suspects = ctx.suspects.borrow_mut();
    suspects.quarantine.take_retry(ctx.now(), job.print, place)
}

/// How long a convicted job isn't run at least.
pub(super) fn left(ctx: &Ctx, job: &Job) -> Micros {
    let now = ctx.now();
    let next = ctx.suspects.borrow().quarantine.next_retry(now, job.print);
    next.map_or(Micros::ZERO, |at| at.since(now))
}

/// Notes that a job's answer broke off at a target that it was sent to at a time.
pub(super) fn broke(ctx: &Ctx, job: &Job, boot: &Boot, sent: Micros) {
    let run = BrokenAnswer {
        fingerprint: job.print,
        crash: crash(boot),
        sent,
        at: ctx.now(),
    };
    if ctx
        .suspects
        .borrow_mut()
        .crash_attribution
        .answer_broken(run)
    {
        strike(ctx, run.fingerprint, run.crash, Some(&job.id));
    }
}

/// Notes targets that have ended, whatever the reason.
pub(super) fn ended(ctx: &Ctx) {
    let boots = std::mem::take(&mut ctx.fleet.borrow_mut().ended);
    for boot in boots {
        let crash = crash(&boot);
        let prints = ctx
            .suspects
            .borrow_mut()
            .crash_attribution
            .target_ended(ctx.now(), crash);
        for print in prints {
            strike(ctx, print, crash, None);
        }
    }
}

/// Notes that a job was answered well.
pub(super) fn served(ctx: &Ctx, job: &Job) {
    let cleared = {
        let mut suspects = ctx.suspects.borrow_mut();
        suspects.quarantine.record_success(ctx.now(), job.print)
    };
    if cleared {
        tell(job.print, Some(&job.id), None, &Held::default(), "own");
        send_all(ctx, update(job.print, None));
    }
}

/// Takes over what another entry holds against a request.
pub(super) fn hear(ctx: &Ctx, told: Strike, from: SocketAddr) {
    let print = print_of(&told);
    let now = ctx.now();
    if told.cleared {
        let cleared = ctx
            .suspects
            .borrow_mut()
            .quarantine
            .record_success(now, print);
        if cleared {
            tell(print, None, None, &Held::default(), "peer");
            // Those whom this one has told of the crash must hear of it too.
            send_all(ctx, update(print, None));
        }
        return;
    }
    if ctx
        .suspects
        .borrow()
        .quarantine
        .recently_succeeded(now, print)
    {
        update::send(&ctx.socket, &update(print, None), [from]);
        return;
    }
    let crash = crash_of(&told);
    let before = held(ctx, print);
    if before.verdict == Verdict::Convicted && !before.crashes.contains(&crash) {
        let against = before.crashes.iter().map(|c| update(print, Some(*c)));
        against.for_each(|n| update::send(&ctx.socket, &n, [from]));
        return;
    }
    ctx.suspects
        .borrow_mut()
        .quarantine
        .strike(now, print, crash);
    let after = held(ctx, print);
    if after.crashes.len() > before.crashes.len() {
        tell(print, None, Some(crash), &after, "peer");
    }
}

/// What is held against a request now.
struct Held {
    crashes: Vec<Crash>,
    verdict: Verdict,
}

impl Default for Held {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            verdict: Verdict::Clear,
        }
    }
}

fn held(ctx: &Ctx, print: Fingerprint) -> Held {
    let suspects = ctx.suspects.borrow();
    let quarantine = &suspects.quarantine;
    let crashes = quarantine.crashes(ctx.now(), print);
    Held {
        crashes: crashes.map_or_else(Vec::new, |(c, _)| c.to_vec()),
        verdict: quarantine.verdict(ctx.now(), print),
    }
}

fn strike(ctx: &Ctx, print: Fingerprint, crash: Crash, request: Option<&str>) {
    let now = ctx.now();
    ctx.suspects
        .borrow_mut()
        .quarantine
        .strike(now, print, crash);
    tell(print, request, Some(crash), &held(ctx, print), "own");
    send_all(ctx, update(print, Some(crash)));
}

fn tell(
    print: Fingerprint,
    request: Option<&str>,
    crashed: Option<Crash>,
    held: &Held,
    source: &str,
) {
    log::event(&Event::Suspected {
        print: format!("{:x}", print.body),
        request,
        crashed: crashed.map(|c| format!("{:x}", c.member.0)),
        crashes: held.crashes.len(),
        verdict: match held.verdict {
            Verdict::Clear => "clear",
            Verdict::Suspect => "suspect",
            Verdict::Convicted => "convicted",
        },
        source,
    });
}

/// A crash to be told, or that a request is cleared.
fn update(print: Fingerprint, crash: Option<Crash>) -> Update {
    Update {
        entry: true,
        strike: Some(Strike {
            high: (print.body >> 64) as u64,
            low: print.body as u64,
            target: crash.map_or(0, |c| c.member.0),
            born: crash.map_or(0, |c| c.incarnation.0),
            cleared: crash.is_none(),
        }),
        ..Update::default()
    }
}

/// Sends an update to all entries, and again after some pauses for as long as it holds.
fn send_all(ctx: &Ctx, update: Update) {
    let send =
        |update: &Update| update::send(&ctx.socket, update, ctx.node.cluster.borrow().entries());
    send(&update);
    send(&update);
    let ctx = Rc::clone(ctx);
    tokio::task::spawn_local(async move {
        for pause in REPEATS {
            sleep(pause).await;
            if !update.strike.is_some_and(|s| holds(&ctx, &s)) {
                return;
            }
            update::send(&ctx.socket, &update, ctx.node.cluster.borrow().entries());
        }
    });
}

/// Whether a strike is still held, or the answer that cleared the request still vouches for it.
fn holds(ctx: &Ctx, strike: &Strike) -> bool {
    let print = print_of(strike);
    if strike.cleared {
        return ctx
            .suspects
            .borrow()
            .quarantine
            .recently_succeeded(ctx.now(), print);
    }
    held(ctx, print).crashes.contains(&crash_of(strike))
}

fn print_of(strike: &Strike) -> Fingerprint {
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

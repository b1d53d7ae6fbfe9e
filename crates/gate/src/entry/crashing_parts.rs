//! Prompt parts that crash targets: drives [`policy::crashing_parts`] with crashes, answers, requests
//! and datagrams.
//!
//! The last part of a prompt belongs to the request or its session, and is covered by
//! [`super::suspects`] like any other content.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::{Incarnation, MemberId, Micros};
use policy::crashing_parts::{
    Admission, Change, Config, ConvictedPart, CrashReport, CrashingParts, Message, PartKey,
    RunningPart, MAX_PARTS, POLL_INTERVAL,
};
use policy::quarantine::{Crash, ProcessRank};
use tokio::sync::Notify;
use tokio::time::timeout;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::request::Job;
use super::{part_store, suspects, Ctx};
use crate::log::{self, Event};
use crate::update::{self, AgedPart, PartEvidence, Update};

/// Interval of polls while nothing is pending.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Evidence at this entry.
#[derive(Debug)]
pub(super) struct State {
    parts: RefCell<CrashingParts>,
    /// Notified when something has to be sent.
    pending: Notify,
}

impl Default for State {
    fn default() -> Self {
        Self {
            parts: RefCell::new(CrashingParts::new(Micros::ZERO, Config::default())),
            pending: Notify::new(),
        }
    }
}

impl State {
    /// Number of convicted parts.
    pub(super) fn convicted(&self) -> usize {
        self.parts.borrow().convicted()
    }

    /// Calls `f` with the evidence, and has the resulting messages sent.
    pub(super) fn update<T>(&self, f: impl FnOnce(&mut CrashingParts) -> T) -> T {
        let result = f(&mut self.parts.borrow_mut());
        if self.parts.borrow().has_pending() {
            self.pending.notify_one();
        }
        result
    }
}

/// Keys of the parts of a job's prompt that other requests may share.
pub(super) fn keys(job: &Job) -> Vec<PartKey> {
    let Some(prompt) = &job.prompt else {
        return Vec::new();
    };
    let model = xxh3_64(prompt.model.as_bytes());
    let key = |id: u64| PartKey(xxh3_64_with_seed(&id.to_le_bytes(), model));
    prompt.shared().iter().map(|p| key(p.id.0)).collect()
}

/// Records a crash and the parts that were running there.
pub(super) fn record_crash(
    ctx: &Ctx,
    crash: Crash,
    age: Micros,
    running: impl Iterator<Item = RunningPart>,
) {
    let mut parts: Vec<_> = running.collect();
    // Of several requests with a part, the latest counts.
    parts.sort_unstable_by_key(|r| (r.part, r.sent));
    parts.dedup_by_key(|r| r.part);
    let now = ctx.now();
    for chunk in parts.chunks(MAX_PARTS) {
        let parts = chunk.to_vec();
        let report = CrashReport { crash, age, parts };
        ctx.crashing_parts.update(|p| p.record_crash(now, report));
    }
}

/// Records a complete answer to a prompt with these parts.
pub(super) fn record_answer(ctx: &Ctx, parts: &[PartKey]) {
    if !parts.is_empty() {
        let parts = parts.iter().copied();
        ctx.crashing_parts
            .update(|p| p.record_answer(ctx.now(), parts));
        apply_changes(ctx);
    }
}

/// Whether a part of a job's prompt is convicted.
pub(super) fn is_convicted(ctx: &Ctx, job: &Job) -> bool {
    let parts = ctx.crashing_parts.parts.borrow();
    parts.convicted() > 0 && parts.is_convicted(&keys(job))
}

/// Whether a job may be sent, and is a trial; if not, returns the time until a request like it may be.
pub(super) fn admit(ctx: &Ctx, job: &Job, rank: ProcessRank) -> Result<bool, Micros> {
    if ctx.crashing_parts.convicted() == 0 {
        return Ok(false);
    }
    let now = ctx.now();
    let mut parts = ctx.crashing_parts.parts.borrow_mut();
    match parts.admit(now, &keys(job), rank) {
        Admission::Clear => Ok(false),
        Admission::Trial => Ok(true),
        Admission::Refused { wait, claims } => {
            for claim in claims {
                tokio::task::spawn_local(part_store::claim(Rc::clone(ctx), claim));
            }
            Err(wait)
        }
    }
}

/// Returns the trial of a job that was sent to no target.
pub(super) fn return_trial(ctx: &Ctx, job: &Job) {
    let mut parts = ctx.crashing_parts.parts.borrow_mut();
    parts.return_trial(ctx.now(), &keys(job));
}

/// Sends messages to the other entries for as long as the process runs.
pub(super) async fn report(ctx: Ctx) {
    loop {
        let pending = ctx.crashing_parts.parts.borrow().has_pending();
        let interval = match pending {
            true => POLL_INTERVAL.into(),
            false => IDLE_INTERVAL,
        };
        let woken = ctx.crashing_parts.pending.notified();
        if !pending {
            // What is found while waiting is sent at once.
            let _ = timeout(interval, woken).await;
        } else {
            tokio::time::sleep(interval).await;
        }
        suspects::record_survived(&ctx);
        let messages = {
            let mut parts = ctx.crashing_parts.parts.borrow_mut();
            parts.set_peers(ctx.node.cluster.borrow().entries());
            parts.poll(ctx.now())
        };
        for message in messages {
            let cluster = ctx.node.cluster.borrow();
            update::send(&ctx.socket, &encode(message), cluster.entries());
        }
        apply_changes(&ctx);
    }
}

/// Receives another entry's message.
pub(super) fn receive(ctx: &Ctx, from: SocketAddr, received: &PartEvidence) {
    let message = decode(received);
    let replies = ctx
        .crashing_parts
        .update(|p| p.receive(ctx.now(), &message));
    for reply in replies {
        update::send(&ctx.socket, &encode(reply), [from]);
    }
    apply_changes(ctx);
}

/// Logs changes of verdicts, and keeps this entry's own ones in the store.
fn apply_changes(ctx: &Ctx) {
    let changes = ctx.crashing_parts.parts.borrow_mut().take_changes();
    for change in changes {
        log_change(&change);
        if change.own {
            tokio::task::spawn_local(part_store::keep(Rc::clone(ctx), change));
        }
    }
}

fn log_change(change: &Change) {
    log::event(&Event::Part {
        part: part_store::name(change.part),
        verdict: if change.convicted {
            "convicted"
        } else {
            "clear"
        },
        crashes: change.crashes,
        source: if change.own { "own" } else { "peer" },
    });
}

fn encode(message: Message) -> Update {
    let aged = |part: PartKey, age: Micros, trials: u32| AgedPart {
        part: part.0,
        age_ms: age.as_millis(),
        trials,
    };
    let mut evidence = PartEvidence {
        proposed: message.proposed.iter().map(|p| p.0).collect(),
        asks: message.asks,
        ..PartEvidence::default()
    };
    let answered = message.answered.iter();
    evidence.answered = answered.map(|(p, age)| aged(*p, *age, 0)).collect();
    let convicted = message.convicted.iter();
    evidence.convicted = convicted.map(|c| aged(c.part, c.first, c.trials)).collect();
    if let Some(report) = message.crash {
        evidence.target = report.crash.member.0;
        evidence.born = report.crash.incarnation.0;
        evidence.age_ms = report.age.as_millis();
        let running = report.parts.iter();
        evidence.running = running.map(|r| aged(r.part, r.sent, 0)).collect();
    }
    Update {
        entry: true,
        part_evidence: Some(evidence),
        ..Update::default()
    }
}

fn decode(received: &PartEvidence) -> Message {
    let age = |ms: u64| Micros::from_millis(ms.min(u64::from(u32::MAX)));
    let report = || CrashReport {
        crash: Crash {
            member: MemberId(received.target),
            incarnation: Incarnation(received.born),
        },
        age: age(received.age_ms),
        parts: received
            .running
            .iter()
            .map(|r| RunningPart {
                part: PartKey(r.part),
                sent: age(r.age_ms),
            })
            .collect(),
    };
    Message {
        crash: (received.target != 0).then(report),
        proposed: received.proposed.iter().copied().map(PartKey).collect(),
        answered: received
            .answered
            .iter()
            .map(|a| (PartKey(a.part), age(a.age_ms)))
            .collect(),
        convicted: received
            .convicted
            .iter()
            .map(|c| ConvictedPart {
                part: PartKey(c.part),
                first: age(c.age_ms),
                trials: c.trials,
            })
            .collect(),
        asks: received.asks,
    }
}

//! Where streams may go on: at the build that began them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::Micros;
use policy::stream_origin::{self, BuildKey, Config, Inquiry, Step, StreamKey};
use site::State;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::fleet::ReplicaKey;
use super::refuse::Reason;
use super::replica::Replica;
use super::request::Job;
use super::Ctx;
use crate::log::{self, Event};
use crate::meter;
use crate::stream_origins::{encode, members, receive as receive_origin};
use crate::update::{self, OriginKind, StreamOrigin};

/// Time for which an origin is kept after the caller has given up, as its clock differs.
const KEEP_MARGIN: Duration = Duration::from_secs(2);

/// Longest usual time between a read of the list and its receipt.
const LIST_DELAY: Duration = Duration::from_millis(100);
/// Time that a continued stream waits for the build of its target to be confirmed. Entries usually
/// receive a read of the list each 0.3 s.
const CONFIRM_TIMEOUT: Micros = Micros::from_millis(1_000);
/// Interval of checks whether it is.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(10);

/// Where a job may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Origin {
    /// At any build: its caller has no event yet.
    #[default]
    Open,
    /// At the build that began its stream.
    Build(BuildKey),
    /// Nowhere else: the build that began its stream is unknown.
    Unknown,
}

impl Origin {
    /// Whether the job may run at a target.
    pub(super) fn accepts(self, replica: &Replica) -> bool {
        match self {
            Self::Open => true,
            Self::Build(build) => replica.build().map(|b| key_of(replica, b)) == Some(build),
            Self::Unknown => false,
        }
    }
}

/// Searches of this entry, with what wakes them when an answer arrives.
pub(super) type Inquiries = RefCell<HashMap<StreamKey, Rc<Search>>>;

/// A search that requests for the same stream share.
#[derive(Debug)]
pub(super) struct Search {
    inquiry: RefCell<Inquiry>,
    answered: Notify,
}

/// Removes a search at its end, also if the caller has left.
struct Removal<'a> {
    ctx: &'a Ctx,
    stream: StreamKey,
}

impl Drop for Removal<'_> {
    fn drop(&mut self) {
        self.ctx.inquiries.borrow_mut().remove(&self.stream);
    }
}

fn key_of(replica: &Replica, build: &str) -> BuildKey {
    let pool = xxh3_64(replica.target.pool.as_bytes());
    BuildKey(xxh3_64_with_seed(build.as_bytes(), pool))
}

/// Key of the stream that a job begins or takes up.
fn stream_key(job: &Job) -> StreamKey {
    let id = job.resumes.as_ref().unwrap_or(&job.id);
    StreamKey(xxh3_64(id.as_bytes()))
}

/// Finds the build at which a job goes on, if it takes up a stream, and the pool of that build.
pub(super) async fn resolve(ctx: &Ctx, job: &mut Job) -> Result<(), Reason> {
    let takes_up = job.resumes.is_some() || job.last_event_id.is_some();
    if !takes_up || !job.route.mode.is_stream() {
        return Ok(());
    }
    let known = match job.resumes {
        Some(_) => find(ctx, stream_key(job)).await,
        None => None,
    };
    job.origin = known.map_or(Origin::Unknown, Origin::Build);
    let outcome = if known.is_some() { "known" } else { "unknown" };
    meter::increment(meter::RESUMED_STREAMS, "origin", outcome);
    if known.is_none() {
        return Err(Reason::BuildUnknown);
    }
    let fleet = ctx.fleet.borrow();
    let mut at_build = fleet.replicas.values().filter(|r| job.origin.accepts(r));
    let in_route = |r: &&Replica| job.route.shares.iter().any(|s| s.pool == r.target.pool);
    if let Some(r) = at_build.find(in_route) {
        job.pool = r.target.pool.clone();
    }
    Ok(())
}

/// Why a stream can't go on anywhere, if no target has its build.
pub(super) fn check(ctx: &Ctx, job: &Job) -> Result<(), Reason> {
    let Origin::Build(build) = job.origin else {
        return match job.origin {
            Origin::Unknown => Err(Reason::BuildUnknown),
            _ => Ok(()),
        };
    };
    let now = ctx.now();
    let fleet = ctx.fleet.borrow();
    // A target whose build is uncertain at the moment may have it in a moment.
    let has_build = |r: &Replica| key_of(r, &r.target.build) == build;
    let mut ready = fleet.replicas.values().filter(|r| {
        r.target.pool == job.pool && r.target.state == State::Ready && r.is_present(now)
    });
    match ready.any(has_build) {
        true => Ok(()),
        false => Err(Reason::BuildGone),
    }
}

/// Whether a target that answers on a connection opened at this time has the build at which a job
/// goes on. If the list hasn't been read since, another process may have taken the target's place;
/// then this waits for the next read.
pub(super) async fn confirm_build(ctx: &Ctx, job: &Job, key: ReplicaKey, opened: Instant) -> bool {
    if job.origin == Origin::Open {
        return true;
    }
    let end = ctx.now() + CONFIRM_TIMEOUT.min(job.time_left(ctx.now()).into());
    while build_on(ctx, key, opened).map(Origin::Build) == Some(job.origin) {
        let listed = ctx.node.origin + ctx.fleet.borrow().list_confirmed_at.into();
        if listed >= opened + LIST_DELAY {
            return true;
        }
        if ctx.now() >= end {
            break;
        }
        sleep(CONFIRM_INTERVAL).await;
    }
    false
}

fn build_on(ctx: &Ctx, key: ReplicaKey, opened: Instant) -> Option<BuildKey> {
    let fleet = ctx.fleet.borrow();
    let replica = fleet.replicas.get(key)?;
    Some(key_of(replica, replica.build_on(opened)?))
}

/// Records the build of the target that has sent a stream's first event on a connection opened at
/// this time, and sends it to the holders. Called before the event is passed on, so that an entry that ends right after is not the
/// only one that knew.
pub(super) fn record_first_event(ctx: &Ctx, job: &mut Job, key: ReplicaKey, opened: Instant) {
    if job.origin == Origin::Open {
        job.origin = build_on(ctx, key, opened).map_or(Origin::Unknown, Origin::Build);
    }
    let Origin::Build(build) = job.origin else {
        return;
    };
    let now = ctx.now();
    let stream = stream_key(job);
    let keep: Micros = (Duration::from(job.gives_up.since(now)) + KEEP_MARGIN).into();
    ctx.origins
        .borrow_mut()
        .record(now, stream, build, now + keep);
    let holders = stream_origin::holders(stream, &members(&ctx.node.cluster.borrow()));
    let record = encode(OriginKind::Record, stream, Some((build, keep)));
    update::send(&ctx.socket, &record, holders);
}

/// Receives a record, query or answer of another process.
pub(super) fn receive(ctx: &Ctx, from: SocketAddr, received: &StreamOrigin) {
    let now = ctx.now();
    let answer = receive_origin(&ctx.origins, now, &ctx.socket, from, received);
    let Some(answer) = answer else {
        return;
    };
    if let Some(search) = ctx.inquiries.borrow().get(&answer.stream) {
        if !answer.known {
            search.inquiry.borrow_mut().record_unknown(now, from);
        }
        search.answered.notify_waiters();
    }
}

/// The build that began a stream, as this entry or another process knows it.
async fn find(ctx: &Ctx, stream: StreamKey) -> Option<BuildKey> {
    let search = {
        let cluster = ctx.node.cluster.borrow();
        let new = || {
            let inquiry = Inquiry::new(ctx.now(), Config::default(), stream, &members(&cluster));
            Rc::new(Search {
                inquiry: RefCell::new(inquiry),
                answered: Notify::new(),
            })
        };
        Rc::clone(ctx.inquiries.borrow_mut().entry(stream).or_insert_with(new))
    };
    let _removal = Removal { ctx, stream };
    let started = ctx.now();
    let found = loop {
        let now = ctx.now();
        if let Some((build, _)) = ctx.origins.borrow_mut().get(now, stream) {
            break Some(build);
        }
        let answered = search.answered.notified();
        let step = search.inquiry.borrow_mut().next(now);
        match step {
            Step::Query(to) => {
                update::send(&ctx.socket, &encode(OriginKind::Query, stream, None), to);
            }
            Step::Wait(until) => {
                let _ = timeout(until.since(now).into(), answered).await;
            }
            Step::Unknown => break None,
        }
    };
    log::event(&Event::Origin {
        stream: format!("{:x}", stream.0),
        known: found.is_some(),
        after_ms: ctx.now().since(started).as_millis(),
    });
    found
}

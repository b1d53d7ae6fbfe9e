//! Where streams may go on: at the build that began them.
//!
//! A job carries its [`Origin`]. `record` sets it with the first event that is passed on, or keeps
//! what shows it later (`settle_uncertain`), and sends it to other processes ([`crate::stream_origins`]), `resolve` finds it for a caller that takes a
//! stream up, and `pick` chooses only targets that it accepts. The list says which build a target has; `confirm_build` checks
//! that the process which answers is the listed one.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use model::{Micros, Position};
use policy::stream_origin::{BuildKey, Config, Inquiry, Step, StreamKey};
use site::{Boot, State, Target};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::fleet::{Fleet, ReplicaKey};
use super::refuse::Reason;
use super::replica::Replica;
use super::request::Job;
use super::serve::{MAX_STARTUP_WAIT, POLL_INTERVAL};
use super::{build_history, leaving, Ctx};
use crate::log::{self, Event};
use crate::meter;
use crate::stream_origins::{encode, Purpose, Statement};
use crate::update::{self, OriginKind, StreamOrigin};

/// Time for which an origin is kept after the caller has given up, as its clock differs.
const KEEP_MARGIN: Duration = Duration::from_secs(2);

/// Time that a continued stream waits for the build of its target to be confirmed: a heartbeat of
/// its target, and a read of the list.
const CONFIRM_TIMEOUT: Micros = Micros::from_millis(2_000);
/// Interval of checks whether it is.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(20);

/// Number of ready engines from which on the sidecars of draining ones hold no origins.
const MIN_READY_ENGINES: usize = 3;
/// Most streams that are kept for as long as the build of their target is uncertain.
const MAX_UNCERTAIN: usize = 1_000;

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
            Self::Build(build) => build_key(&replica.target) == Some(build),
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

/// Key of a target's build; `None` if the list doesn't name it.
pub(super) fn build_key(target: &Target) -> Option<BuildKey> {
    let pool = xxh3_64(target.pool.as_bytes());
    let key = xxh3_64_with_seed(target.build.as_bytes(), pool);
    (!target.build.is_empty()).then_some(BuildKey(key))
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
    wait_for_members(ctx).await;
    let found = match job.resumes {
        Some(_) => find(ctx, stream_key(job)).await,
        // Callers of the earlier interface don't name the first attempt.
        None => None,
    };
    let known = match found {
        Some(build) => Some(build),
        None => confirmed_sole_build(ctx, job).await,
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

/// Waits until an entry that has just started knows which processes it can query, and which builds
/// pools have had.
async fn wait_for_members(ctx: &Ctx) {
    let knows_members = || ctx.node.cluster.borrow().members_position != Position::default();
    while ctx.now() < MAX_STARTUP_WAIT && !(knows_members() && ctx.builds.is_read()) {
        sleep(POLL_INTERVAL).await;
    }
}

/// The only build at which a stream can have started, as the store shows after the request came. A process that was
/// paused or cut off doesn't know of builds that have joined meanwhile.
async fn confirmed_sole_build(ctx: &Ctx, job: &Job) -> Option<BuildKey> {
    let end = ctx.now() + CONFIRM_TIMEOUT.min(job.time_left(ctx.now()).into());
    loop {
        let build = sole_build(ctx, job)?;
        let is_list_read = ctx.fleet.borrow().list_read_from >= job.received_at;
        let is_row_read = ctx.builds.is_read_since(job.received_at);
        if is_list_read && is_row_read {
            return Some(build);
        }
        if ctx.now() >= end {
            return None;
        }
        if !is_list_read {
            ctx.list.request_read();
        }
        if !is_row_read {
            build_history::request_read(ctx);
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}

/// The only build at which a stream can have started, if its route leads to one pool.
fn sole_build(ctx: &Ctx, job: &Job) -> Option<BuildKey> {
    let is_sole = job.route.shares.iter().all(|s| s.pool == job.pool);
    let build = || build_history::sole_build(ctx, &job.pool);
    is_sole.then(build).flatten()
}

/// Why a stream can't go on anywhere, if no target has its build.
pub(super) fn check(ctx: &Ctx, job: &Job) -> Result<(), Reason> {
    match job.origin {
        Origin::Open => return Ok(()),
        Origin::Unknown => return Err(Reason::BuildUnknown),
        Origin::Build(_) => {}
    }
    let now = ctx.now();
    let fleet = ctx.fleet.borrow();
    let mut ready = fleet.replicas.values().filter(|r| {
        r.target.pool == job.pool && r.target.state == State::Ready && r.is_present(now)
    });
    let stays = |r: &Replica| !leaving::is_leaving(ctx, &r.target.boot);
    match ready.any(|r| stays(r) && job.origin.accepts(r)) {
        true => Ok(()),
        false => Err(Reason::BuildGone),
    }
}

/// Build of a target that answers on a connection opened at this time, according to the list, and
/// from when on a read of the list shows a process that took the target's place before.
fn build_on(ctx: &Ctx, key: ReplicaKey, opened: Instant) -> Option<(BuildKey, Instant)> {
    let fleet = ctx.fleet.borrow();
    let replica = fleet.replicas.get(key)?;
    // A process registers within a heartbeat of its start.
    let delay = match replica.may_be_replaced(opened) {
        true => ctx.node.settings.borrow().heartbeat,
        false => Duration::ZERO,
    };
    Some((build_key(&replica.target)?, opened + delay))
}

/// Whether this entry has read the list since a given time, and with it a row that the target has
/// written. What other entries report of the list doesn't count, as it may be delayed.
fn has_read_since(ctx: &Ctx, key: ReplicaKey, time: Instant) -> bool {
    let fleet = ctx.fleet.borrow();
    let replica = fleet.replicas.get(key);
    let is_current = replica.is_some_and(|r| fleet.is_current(r));
    is_current && ctx.node.origin + Duration::from(fleet.list_read_from) >= time
}

/// Whether a target that answers on a connection opened at this time has the build at which a job
/// goes on. Reads the list again if the last read isn't late enough to show that.
pub(super) async fn confirm_build(ctx: &Ctx, job: &Job, key: ReplicaKey, opened: Instant) -> bool {
    let Origin::Build(origin) = job.origin else {
        return job.origin == Origin::Open;
    };
    let end = ctx.now() + CONFIRM_TIMEOUT.min(job.time_left(ctx.now()).into());
    loop {
        match build_on(ctx, key, opened) {
            Some((build, from)) if build == origin && has_read_since(ctx, key, from) => {
                return true
            }
            Some((build, from)) if build == origin && ctx.now() < end => {
                if Instant::now() >= from {
                    ctx.list.request_read();
                }
            }
            _ => return false,
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}

/// The build that has sent a stream's first event on a connection opened at this time. After a
/// connection broke or the store was restored, the list counts only if it has been read since its target may have
/// registered, or at least since the connection was opened if the pool has no other build.
fn beginning_build(ctx: &Ctx, key: ReplicaKey, opened: Instant) -> Option<BuildKey> {
    let (build, from) = build_on(ctx, key, opened)?;
    let fleet = ctx.fleet.borrow();
    let replica = fleet.replicas.get(key)?;
    let is_list_read = ctx.node.origin + Duration::from(fleet.list_read_from) >= opened;
    let is_sole =
        || is_list_read && build_history::sole_build(ctx, &replica.target.pool) == Some(build);
    let is_listed = !replica.may_be_replaced(opened) && fleet.is_current(replica);
    let certain = is_listed || has_read_since(ctx, key, from) || is_sole();
    certain.then_some(build)
}

/// Records the build that began a job's stream, and sends it to the holders. Called before an event
/// from a connection opened at this time is passed on, so that an entry that ends right after isn't
/// the only one that knew. Does nothing once the build is known.
pub(super) fn record(ctx: &Ctx, job: &mut Job, key: ReplicaKey, opened: Instant) {
    if !matches!(job.origin, Origin::Build(_)) {
        let build = beginning_build(ctx, key, opened);
        job.origin = build.map_or(Origin::Unknown, Origin::Build);
    }
    match job.origin {
        Origin::Build(build) => {
            ctx.origins
                .begin(stream_key(job), build, keep_time(ctx, job.gives_up))
        }
        _ => record_uncertain(ctx, job, key, opened),
    }
}

/// Time for which the origin of a stream is kept whose caller gives up at a given time.
fn keep_time(ctx: &Ctx, gives_up: Micros) -> Micros {
    (Duration::from(gives_up.since(ctx.now())) + KEEP_MARGIN).into()
}

/// A stream that began while the build of its target was uncertain.
#[derive(Debug)]
pub(super) struct Uncertain {
    stream: StreamKey,
    key: ReplicaKey,
    /// Incarnation that the request named.
    boot: Boot,
    /// When the connection was opened.
    opened: Instant,
    gives_up: Micros,
}

fn record_uncertain(ctx: &Ctx, job: &Job, key: ReplicaKey, opened: Instant) {
    let fleet = ctx.fleet.borrow();
    let Some(replica) = fleet.replicas.get(key) else {
        return;
    };
    let stream = stream_key(job);
    let mut uncertain = ctx.uncertain.borrow_mut();
    if uncertain.is_empty() {
        ctx.list.request_read();
        tokio::task::spawn_local(read_after_heartbeat(Rc::clone(ctx)));
    }
    if uncertain.len() < MAX_UNCERTAIN && !uncertain.iter().any(|u| u.stream == stream) {
        uncertain.push(Uncertain {
            stream,
            key,
            boot: replica.target.boot.clone(),
            opened,
            gives_up: job.gives_up,
        });
    }
}

/// Reads the list once all targets have written their rows.
async fn read_after_heartbeat(ctx: Ctx) {
    let heartbeat = ctx.node.settings.borrow().heartbeat;
    sleep(heartbeat).await;
    ctx.list.request_read();
}

/// Records the origins of streams whose target's build the list shows by now: the incarnation that the
/// request named has written its row since.
pub(super) fn settle_uncertain(ctx: &Ctx) {
    let streams = ctx.uncertain.take();
    for u in streams {
        let fleet = ctx.fleet.borrow();
        let is_same = |r: &Replica| r.target.boot == u.boot;
        let runs_on = fleet.replicas.get(u.key).is_some_and(is_same);
        drop(fleet);
        match beginning_build(ctx, u.key, u.opened) {
            _ if !runs_on || ctx.now() >= u.gives_up => {}
            Some(build) => ctx
                .origins
                .begin(u.stream, build, keep_time(ctx, u.gives_up)),
            None => ctx.uncertain.borrow_mut().push(u),
        }
    }
}

/// Engines whose sidecars can hold origins, or answer what they hold. Sidecars end with their engines, so
/// that those of draining engines hold origins only while there are few others.
pub(super) fn engines(fleet: &Fleet, purpose: Purpose) -> HashSet<SocketAddr> {
    let addrs = |accepts: &dyn Fn(&&Replica) -> bool| -> HashSet<_> {
        let replicas = fleet.replicas.values().filter(accepts);
        replicas.map(|r| r.target.addr).collect()
    };
    let ready = addrs(&|r| r.target.state == State::Ready);
    match purpose {
        Purpose::Hold if ready.len() >= MIN_READY_ENGINES => ready,
        _ => addrs(&|_| true),
    }
}

/// Receives a record, confirmation, query or answer of another process.
pub(super) fn receive(ctx: &Ctx, from: SocketAddr, received: &StreamOrigin) {
    let Some(Statement::Answer { known }) = ctx.origins.receive(from, received) else {
        return;
    };
    let stream = StreamKey(received.stream);
    if let Some(search) = ctx.inquiries.borrow().get(&stream) {
        if !known {
            let mut inquiry = search.inquiry.borrow_mut();
            inquiry.record_unknown(ctx.now(), from);
        }
        search.answered.notify_waiters();
    }
}

/// The build that began a stream, as this entry or another process knows it.
async fn find(ctx: &Ctx, stream: StreamKey) -> Option<BuildKey> {
    let search = {
        let members = ctx.origins.queried();
        let new = || {
            let inquiry = Inquiry::new(ctx.now(), Config::default(), stream, &members);
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
        if let Some(build) = ctx.origins.get(stream) {
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
        unanswered: search.inquiry.borrow().unanswered(),
        after_ms: ctx.now().since(started).as_millis(),
    });
    found
}

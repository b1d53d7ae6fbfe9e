//! Which targets a request may go to, by what is believed of each.

use model::Micros;
use policy::loading::RemainingLoad;
use policy::{engine_load, subscription};
use site::State;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, ReplicaKey};
use super::replica::Replica;
use super::request::Job;

/// Age up to which a sidecar's update counts.
pub(super) const HEARD: Micros = Micros::from_millis(1_500);
/// Age of an update after which an engine may have vanished with its host; agents send two a second at least.
const FRESH: Micros = Micros::from_millis(1_000);

/// Targets of a job's pool that take new work and pass a test, those not tried yet if there are any, else
/// those that refused the job and load weights. A suspect goes where no other one is, if it can: a crash
/// then tells which of them it was.
///
/// The test comes first: tested afterwards, a group that looked best and failed it as a whole, such as an
/// engine with too old weights, left nobody, and callers were refused while others could have served.
pub(super) fn open<'a>(
    fleet: &'a Fleet,
    job: &Job,
    now: Micros,
    suspect: bool,
    takes: impl Fn(&Replica) -> bool,
) -> Vec<(ReplicaKey, &'a Replica)> {
    let ready: Vec<_> = fleet
        .replicas
        .iter()
        .filter(|(_, r)| r.target.pool == job.pool && r.target.state == State::Ready)
        .filter(|(_, r)| r.is_present(now) && takes(r))
        .collect();
    let some = |test: &dyn Fn(&(ReplicaKey, &Replica)) -> bool| {
        let passed: Vec<_> = ready.iter().copied().filter(|c| test(c)).collect();
        (!passed.is_empty()).then_some(passed)
    };
    let fresh = |c: &(ReplicaKey, &Replica)| !job.tried.contains(&c.0);
    let usable = |c: &(ReplicaKey, &Replica)| c.1.breaker.usable(now) && answers(c.1, now);
    let apart = |c: &(ReplicaKey, &Replica)| !suspect || c.1.suspects == 0;
    let stays = |c: &(ReplicaKey, &Replica)| !leaves(c.1, now);
    some(&|c| fresh(c) && usable(c) && stays(c) && apart(c))
        .or_else(|| some(&|c| fresh(c) && usable(c) && stays(c)))
        .or_else(|| some(&|c| fresh(c) && usable(c)))
        .or_else(|| some(&|c| fresh(c)))
        .or_else(|| some(&|c| job.refused.contains(&c.0) && load_left(c.1, now).is_some()))
        .unwrap_or_default()
}

/// Whether the sidecar, if it has been heard lately, says that the engine answers and isn't loading
/// weights; while it loads it refuses all that is new.
pub(super) fn answers(replica: &Replica, now: Micros) -> bool {
    let heard = replica.agent_report.filter(|h| now.since(h.at) < HEARD);
    heard.is_none_or(|h| h.alive && !h.busy)
}

/// Whether its turn to load weights has come, so that what is sent there now is refused.
fn leaves(replica: &Replica, now: Micros) -> bool {
    let heard = replica.agent_report.filter(|h| now.since(h.at) < HEARD);
    heard.is_some_and(|h| h.due)
}

/// How long all of some engines continue to load weights, if they do; they refuse what is new until then.
pub(super) fn all_load(open: &[(ReplicaKey, &Replica)], now: Micros) -> Option<RemainingLoad> {
    let all: Option<Vec<_>> = open.iter().map(|(_, r)| load_left(r, now)).collect();
    all?.into_iter().min_by_key(|left| left.time)
}

/// How long an engine continues to load weights, if it does.
fn load_left(r: &Replica, now: Micros) -> Option<RemainingLoad> {
    let heard = r
        .agent_report
        .filter(|h| h.busy && now.since(h.at) < HEARD)?;
    let over = RemainingLoad {
        time: Micros::ZERO,
        known: true,
    };
    Some(heard.load_left(now).unwrap_or(over))
}

/// Those of a pool's engines that are heard of. Up to some number all are, or the words of those that
/// aren't are lost; beyond it the others look idle, since nothing is known of what they have to do.
pub(super) fn heard(open: Vec<(ReplicaKey, &Replica)>, now: Micros) -> Vec<(ReplicaKey, &Replica)> {
    if open.len() <= subscription::MAX_ENGINES {
        return open;
    }
    let fresh = |r: &Replica| r.agent_report.is_some_and(|h| now.since(h.at) < HEARD);
    let some: Vec<_> = open.iter().copied().filter(|(_, r)| fresh(r)).collect();
    if some.is_empty() {
        return open;
    }
    some
}

/// Whether the sidecar has said just now that the engine answers and keeps what it holds. Fetching from
/// one that doesn't answer costs some hundred milliseconds; one that loads weights or is about to drops
/// all that it holds.
pub(super) fn surely_answers(replica: &Replica, now: Micros) -> bool {
    let heard = replica.agent_report.filter(|h| now.since(h.at) < FRESH);
    heard.is_some_and(|h| h.alive && !h.busy && !h.due)
}

/// Factor for what has failed of late.
pub(super) fn doubt(r: &Replica, now: Micros) -> f64 {
    engine_load::failure_factor(r.breaker.failure_rate, r.breaker.on_trial(now))
}

/// Where a request begins in a row of equals, so that requests spread over them.
pub(super) fn turn(job: &Job, equals: usize) -> usize {
    xxh3_64_with_seed(job.id.as_bytes(), 0) as usize % equals.max(1)
}

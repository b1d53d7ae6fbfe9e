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
pub(super) const REPORT_LIFETIME: Micros = Micros::from_millis(1_500);
/// Age of an update after which an engine may have vanished with its host; agents send two a second at least.
const SOURCE_REPORT_LIFETIME: Micros = Micros::from_millis(1_000);

/// Targets of a job's pool that take new work and pass a test, those not tried yet if there are any, else
/// those that refused the job and load weights. A suspect goes where no other one is, if it can: a crash
/// then tells which of them it was.
///
/// The test comes first: tested afterwards, a group that looked best and failed it as a whole, such as an
/// engine with too old weights, left nobody, and callers were refused while others could have served.
pub(super) fn eligible_targets<'a>(
    fleet: &'a Fleet,
    job: &Job,
    now: Micros,
    suspect: bool,
    accepted: impl Fn(&Replica) -> bool,
) -> Vec<(ReplicaKey, &'a Replica)> {
    let ready: Vec<_> = fleet
        .replicas
        .iter()
        .filter(|(_, r)| r.target.pool == job.pool && r.target.state == State::Ready)
        .filter(|(_, r)| r.is_present(now) && accepted(r))
        .collect();
    let passing = |test: &dyn Fn(&(ReplicaKey, &Replica)) -> bool| {
        let passed: Vec<_> = ready.iter().copied().filter(|c| test(c)).collect();
        (!passed.is_empty()).then_some(passed)
    };
    let untried = |c: &(ReplicaKey, &Replica)| !job.attempted.contains(&c.0);
    let usable = |c: &(ReplicaKey, &Replica)| c.1.breaker.usable(now) && accepts_requests(c.1, now);
    let alone = |c: &(ReplicaKey, &Replica)| !suspect || c.1.suspects == 0;
    let stays = |c: &(ReplicaKey, &Replica)| !is_due_to_load(c.1, now);
    passing(&|c| untried(c) && usable(c) && stays(c) && alone(c))
        .or_else(|| passing(&|c| untried(c) && usable(c) && stays(c)))
        .or_else(|| passing(&|c| untried(c) && usable(c)))
        .or_else(|| passing(&|c| untried(c)))
        .or_else(|| {
            passing(&|c| job.refused_by.contains(&c.0) && remaining_load(c.1, now).is_some())
        })
        .unwrap_or_default()
}

/// Whether the sidecar, if it has been heard lately, says that the engine answers and isn't loading
/// weights; while it loads it refuses all that is new.
pub(super) fn accepts_requests(replica: &Replica, now: Micros) -> bool {
    let report = replica
        .agent_report
        .filter(|report| now.since(report.at) < REPORT_LIFETIME);
    report.is_none_or(|report| report.alive && !report.loading)
}

/// Whether its turn to load weights has come, so that what is sent there now is refused.
fn is_due_to_load(replica: &Replica, now: Micros) -> bool {
    let report = replica
        .agent_report
        .filter(|report| now.since(report.at) < REPORT_LIFETIME);
    report.is_some_and(|report| report.due_to_load)
}

/// How long all of some engines continue to load weights, if they do; they refuse what is new until then.
pub(super) fn all_loading(
    engines: &[(ReplicaKey, &Replica)],
    now: Micros,
) -> Option<RemainingLoad> {
    let all: Option<Vec<_>> = engines
        .iter()
        .map(|(_, r)| remaining_load(r, now))
        .collect();
    all?.into_iter().min_by_key(|load| load.time)
}

/// How long an engine continues to load weights, if it does.
fn remaining_load(r: &Replica, now: Micros) -> Option<RemainingLoad> {
    let report = r
        .agent_report
        .filter(|report| report.loading && now.since(report.at) < REPORT_LIFETIME)?;
    let overdue = RemainingLoad {
        time: Micros::ZERO,
        known: true,
    };
    Some(report.remaining_load_at(now).unwrap_or(overdue))
}

/// Those of a pool's engines that are heard of. Up to some number all are, or the words of those that
/// aren't are lost; beyond it the others look idle, since nothing is known of what they have to do.
pub(super) fn with_recent_report(
    engines: Vec<(ReplicaKey, &Replica)>,
    now: Micros,
) -> Vec<(ReplicaKey, &Replica)> {
    if engines.len() <= subscription::MAX_ENGINES {
        return engines;
    }
    let recent = |r: &Replica| {
        r.agent_report
            .is_some_and(|report| now.since(report.at) < REPORT_LIFETIME)
    };
    let some: Vec<_> = engines.iter().copied().filter(|(_, r)| recent(r)).collect();
    if some.is_empty() {
        return engines;
    }
    some
}

/// Whether the sidecar has said just now that the engine answers and keeps what it holds. Fetching from
/// one that doesn't answer costs some hundred milliseconds; one that loads weights or is about to drops
/// all that it holds.
pub(super) fn is_fetchable(replica: &Replica, now: Micros) -> bool {
    let report = replica
        .agent_report
        .filter(|report| now.since(report.at) < SOURCE_REPORT_LIFETIME);
    report.is_some_and(|report| report.alive && !report.loading && !report.due_to_load)
}

/// Factor for what has failed of late.
pub(super) fn failure_factor(r: &Replica, now: Micros) -> f64 {
    engine_load::failure_factor(r.breaker.failure_rate, r.breaker.on_trial(now))
}

/// Where a request begins in a row of equals, so that requests spread over them.
pub(super) fn start_index(job: &Job, equals: usize) -> usize {
    xxh3_64_with_seed(job.id.as_bytes(), 0) as usize % equals.max(1)
}

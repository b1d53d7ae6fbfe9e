//! Filters for the targets that a request may go to, by the data that the entry has on each target.

use model::Micros;
use policy::loading::RemainingLoad;
use policy::{engine_load, stall, subscription};
use site::State;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, ReplicaKey};
use super::replica::Replica;
use super::request::Job;
use super::stalled::reported_at;

/// Maximum age of an agent's report for it to be used.
pub(super) const REPORT_LIFETIME: Micros = Micros::from_millis(1_500);
/// Maximum age of the report of an engine that others fetch from. An engine with an older report
/// may be gone with its host, since agents report at least twice a second.
const SOURCE_REPORT_LIFETIME: Micros = Micros::from_millis(1_000);

/// Targets of a job's pool that take new work and that `accepted` accepts. Targets that the job
/// hasn't been sent to are preferred; if there are none, the targets that refused the job and are
/// loading weights are returned. A suspect request prefers targets without another suspect, so that
/// a crash identifies the request that caused it.
///
/// `accepted` is applied before the preferences. If it were applied afterwards, it could reject the
/// whole preferred group, such as a single engine whose weights are too old, and callers would be
/// refused although other targets could serve them.
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
    let usable = |c: &(ReplicaKey, &Replica)| is_usable(c.1, now);
    let no_other_suspect = |c: &(ReplicaKey, &Replica)| !suspect || c.1.suspects == 0;
    let not_due = |c: &(ReplicaKey, &Replica)| !is_due_to_load(c.1, now);
    passing(&|c| untried(c) && usable(c) && not_due(c) && no_other_suspect(c))
        .or_else(|| passing(&|c| untried(c) && usable(c) && not_due(c)))
        .or_else(|| passing(&|c| untried(c) && usable(c)))
        .or_else(|| passing(&|c| untried(c)))
        .or_else(|| {
            passing(&|c| job.refused_by.contains(&c.0) && remaining_load(c.1, now).is_some())
        })
        .unwrap_or_default()
}

/// Whether a target works and takes requests, as far as known.
pub(super) fn is_usable(replica: &Replica, now: Micros) -> bool {
    let signs = replica.history.signs(now, reported_at(replica));
    replica.breaker.usable(now)
        && accepts_requests(replica, now)
        && !replica.history.is_full(now)
        && !stall::Config::default().is_quiet(&signs)
}

/// Whether a recent report, if there is one, says that the engine is alive and not loading weights.
/// An engine that loads weights refuses all new requests.
pub(super) fn accepts_requests(replica: &Replica, now: Micros) -> bool {
    let report = replica
        .agent_report
        .filter(|report| now.since(report.at) < REPORT_LIFETIME);
    report.is_none_or(|report| report.alive && !report.loading)
}

/// Whether the engine's slot to load weights has come, so that new requests sent there are refused.
fn is_due_to_load(replica: &Replica, now: Micros) -> bool {
    let report = replica
        .agent_report
        .filter(|report| now.since(report.at) < REPORT_LIFETIME);
    report.is_some_and(|report| report.due_to_load)
}

/// Shortest remaining load time, if all of these engines are loading weights and refuse new
/// requests.
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

/// Remaining time of the engine's load, if it is loading weights.
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

/// The engines with a recent report. Up to [`subscription::MAX_ENGINES`] engines, the entry
/// subscribes to all, so a missing report means that datagrams were lost, and all engines are
/// returned. With more engines, those without a subscription have no load data and would look idle.
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
    let reported: Vec<_> = engines.iter().copied().filter(|(_, r)| recent(r)).collect();
    if reported.is_empty() {
        return engines;
    }
    reported
}

/// Whether a very recent report says that the engine is alive and keeps its cache. A fetch from an
/// engine that doesn't answer costs some hundred milliseconds, and an engine that loads weights, or
/// is about to, drops its whole cache.
pub(super) fn is_fetchable(replica: &Replica, now: Micros) -> bool {
    let report = replica
        .agent_report
        .filter(|report| now.since(report.at) < SOURCE_REPORT_LIFETIME);
    report.is_some_and(|report| report.alive && !report.loading && !report.due_to_load)
}

/// Factor on a target's cost for its recent failures.
pub(super) fn failure_factor(r: &Replica, now: Micros) -> f64 {
    engine_load::failure_factor(r.breaker.failure_rate, r.breaker.on_trial(now))
}

/// Index at which a request starts in a list of equally good targets, so that requests are spread
/// over all of them.
pub(super) fn start_index(job: &Job, equals: usize) -> usize {
    xxh3_64_with_seed(job.id.as_bytes(), 0) as usize % equals.max(1)
}

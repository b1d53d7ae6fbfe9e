//! Checks that span several values of a configuration: names, references, limits, API keys and
//! bounds.

use std::collections::{BTreeMap, HashMap};

use crate::api_keys::KeyDigest;
use crate::check_rules;
use crate::config::{Config, Limits, Pool, PoolKind, Team};
use crate::fault::{FaultKind, NameKind};
use crate::read::{suggestion, Reader};

/// Maximum length of the name of a pool, team, region, failure domain or rule, in bytes. Names
/// become labels of metrics.
const MAX_NAME_LEN: usize = 64;

/// Reports every fault that can't be found by reading each value alone.
pub(crate) fn run(reader: &mut Reader, config: &Config) {
    check_regions(reader, config);
    check_pools(reader, &config.pool);
    check_teams(reader, config);
    check_features(reader, config);
    check_rules::run(reader, config);
}

/// Reports a name that can't be used as a label in metrics and logs.
pub(crate) fn check_name(reader: &mut Reader, path: &str, name: &str) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_LEN || !name.chars().all(allowed) {
        reader.report(path, FaultKind::BadName(name.to_owned()));
    }
}

/// Reports a name that isn't declared.
pub(crate) fn check_declared<T>(
    reader: &mut Reader,
    path: impl Into<String>,
    kind: NameKind,
    name: &str,
    known: &BTreeMap<String, T>,
) {
    if !known.contains_key(name) {
        let kind = FaultKind::UnknownName {
            kind,
            name: name.to_owned(),
            hint: suggestion(name, known.keys().map(String::as_str)),
        };
        reader.report(path, kind);
    }
}

fn check_regions(reader: &mut Reader, config: &Config) {
    let mut region_of: HashMap<&str, &str> = HashMap::new();
    for (region, r) in &config.region {
        let path = format!("region.{region}");
        check_name(reader, &path, region);
        if r.domains.is_empty() && !reader.is_faulty(format!("{path}.domains")) {
            reader.report(&path, FaultKind::EmptyRegion(region.clone()));
        }
        for (i, domain) in r.domains.iter().enumerate() {
            let path = format!("{path}.domains[{i}]");
            check_name(reader, &path, domain);
            if let Some(first) = region_of.get(domain.as_str()) {
                let kind = FaultKind::DuplicateDomain {
                    domain: domain.clone(),
                    region: (*first).to_owned(),
                };
                reader.report(path, kind);
                continue;
            }
            region_of.insert(domain, region);
        }
    }
}

fn check_pools(reader: &mut Reader, pools: &BTreeMap<String, Pool>) {
    for (pool, p) in pools {
        let path = format!("pool.{pool}");
        check_name(reader, &path, pool);
        check_nonzero(reader, &path, "permits", Some(p.permits));
        check_nonzero(reader, &path, "concurrency", p.concurrency);
        check_kept(reader, &path, p, pools);
        match p.kind {
            PoolKind::Model if p.model.is_empty() => {
                reader.report(path, FaultKind::MissingModel(pool.clone()));
            }
            PoolKind::Plain => check_plain(reader, &path, p),
            PoolKind::Model => {}
        }
    }
}

/// Reports a `kept` key that names no pool or a pool of engines.
fn check_kept(reader: &mut Reader, path: &str, pool: &Pool, pools: &BTreeMap<String, Pool>) {
    let Some(name) = &pool.kept else {
        return;
    };
    let path = format!("{path}.kept");
    match pools.get(name) {
        Some(p) if p.kind == PoolKind::Model => {
            reader.report(path, FaultKind::KvStoreNotPlain(name.clone()))
        }
        _ => check_declared(reader, path, NameKind::Pool, name, pools),
    }
}

/// Reports keys of a plain pool that have an effect for model engines only.
fn check_plain(reader: &mut Reader, path: &str, pool: &Pool) {
    let d = Pool::default();
    let keys = [
        ("model", pool.model != d.model),
        ("weights", pool.weights != d.weights),
        ("fencing", pool.fencing != d.fencing),
        ("kept", pool.kept != d.kept),
        ("permits", pool.permits != d.permits),
    ];
    for (key, _) in keys.into_iter().filter(|(_, is_set)| *is_set) {
        let context = "in a pool of kind `plain`";
        reader.report(
            format!("{path}.{key}"),
            FaultKind::IneffectiveKey { key, context },
        );
    }
}

fn check_teams(reader: &mut Reader, config: &Config) {
    let mut team_of: HashMap<KeyDigest, &str> = HashMap::new();
    check_limits(reader, "limits", &config.limits);
    for (team, t) in &config.team {
        let path = format!("team.{team}");
        check_name(reader, &path, team);
        check_nonzero(reader, &path, "share", Some(t.share));
        if t.keys.is_empty() && !reader.is_faulty(format!("{path}.keys")) {
            reader.report(&path, FaultKind::TeamWithoutKey(team.clone()));
        }
        for (i, key) in t.keys.iter().enumerate() {
            let path = format!("{path}.keys[{i}]");
            match KeyDigest::parse(key) {
                None => reader.report(path, FaultKind::BadDigest),
                Some(d) => {
                    if let Some(other) = team_of.insert(d, team) {
                        reader.report(path, FaultKind::DuplicateApiKey(other.to_owned()));
                    }
                }
            }
        }
        let inner = format!("{path}.limits");
        check_limits(reader, &inner, &t.limits);
        check_team_scope(reader, config, team, t);
    }
}

/// Reports a team that uses another team's name as its scope while that team sets no scope itself.
///
/// A team could otherwise read another team's cache entries just by naming that team. Sharing
/// has to be declared in the tables of both teams.
fn check_team_scope(reader: &mut Reader, config: &Config, team: &str, t: &Team) {
    let owner = config.team.get(&t.scope);
    if t.scope != team && owner.is_some_and(|o| o.scope.is_empty()) {
        let kind = FaultKind::ForeignScope {
            scope: t.scope.clone(),
            owner: t.scope.clone(),
            team: team.to_owned(),
        };
        reader.report(format!("team.{team}.scope"), kind);
    }
}

fn check_nonzero(reader: &mut Reader, path: &str, key: &'static str, value: Option<u32>) {
    if value == Some(0) {
        reader.report(format!("{path}.{key}"), FaultKind::Zero(key));
    }
}

/// Reports limits of zero, which refuse every request.
pub(crate) fn check_limits(reader: &mut Reader, path: &str, limits: &Limits) {
    for (key, value) in limits.by_key() {
        if value == Some(0) {
            reader.report(format!("{path}.{key}"), FaultKind::Zero(key));
        }
    }
}

fn check_features(reader: &mut Reader, c: &Config) {
    let counts = [
        ("place", "probes", c.place.probes),
        ("admit", "places", c.admit.places),
        ("concurrency", "least", c.concurrency.least),
        ("retry", "attempts", c.retry.attempts),
        ("health", "slow", c.health.slow),
        ("health", "samples", c.health.samples),
        ("health", "trials", c.health.trials),
        ("quarantine", "strikes", c.quarantine.strikes),
    ];
    for (table, key, count) in counts {
        check_nonzero(reader, table, key, Some(count));
    }
    let (concurrency, health) = (&c.concurrency, &c.health);
    check_bounds(
        reader,
        "concurrency",
        ("least", concurrency.least),
        ("first", concurrency.first),
    );
    check_bounds(
        reader,
        "concurrency",
        ("first", concurrency.first),
        ("most", concurrency.most),
    );
    check_bounds(
        reader,
        "health",
        ("out", health.out),
        ("longest", health.longest),
    );
}

/// Reports a lower bound above its upper bound, each given by key and value.
fn check_bounds<T: PartialOrd>(
    reader: &mut Reader,
    table: &str,
    (low, low_value): (&'static str, T),
    (high, high_value): (&'static str, T),
) {
    if low_value > high_value {
        reader.report(
            format!("{table}.{low}"),
            FaultKind::InvertedBounds { low, high },
        );
    }
}

//! Whether a configuration holds together: names, limits, keys and places.

use std::collections::{BTreeMap, HashMap};

use crate::api_keys::KeyDigest;
use crate::config::{Config, Limits, Pool, PoolKind, Team};
use crate::fault::{FaultKind, NameKind};
use crate::read::{suggestion, Reader};
use crate::rulecheck;

/// Longest name of a pool, team, region, failure domain or rule; they become labels of metrics.
const NAME_MAX: usize = 64;

/// Notes every fault that reading the values alone doesn't show.
pub(crate) fn run(reader: &mut Reader, config: &Config) {
    regions(reader, config);
    pools(reader, &config.pool);
    teams(reader, config);
    features(reader, config);
    rulecheck::run(reader, config);
}

/// Notes a name that can't stand in metrics and logs.
pub(crate) fn name(reader: &mut Reader, path: &str, name: &str) {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > NAME_MAX || !name.chars().all(plain) {
        reader.report(path, FaultKind::BadName(name.to_owned()));
    }
}

/// Notes a name that nothing declares.
pub(crate) fn declared<T>(
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

fn regions(reader: &mut Reader, config: &Config) {
    let mut homes: HashMap<&str, &str> = HashMap::new();
    for (region, r) in &config.region {
        let path = format!("region.{region}");
        name(reader, &path, region);
        if r.domains.is_empty() && !reader.is_faulty(format!("{path}.domains")) {
            reader.report(&path, FaultKind::EmptyRegion(region.clone()));
        }
        for (i, domain) in r.domains.iter().enumerate() {
            let path = format!("{path}.domains[{i}]");
            name(reader, &path, domain);
            if let Some(first) = homes.get(domain.as_str()) {
                let kind = FaultKind::DuplicateDomain {
                    domain: domain.clone(),
                    region: (*first).to_owned(),
                };
                reader.report(path, kind);
                continue;
            }
            homes.insert(domain, region);
        }
    }
}

fn pools(reader: &mut Reader, pools: &BTreeMap<String, Pool>) {
    for (pool, p) in pools {
        let path = format!("pool.{pool}");
        name(reader, &path, pool);
        zero(reader, &path, "permits", Some(p.permits));
        zero(reader, &path, "concurrency", p.concurrency);
        kept(reader, &path, p, pools);
        match p.kind {
            PoolKind::Model if p.model.is_empty() => {
                reader.report(path, FaultKind::MissingModel(pool.clone()));
            }
            PoolKind::Plain => plain(reader, &path, p),
            PoolKind::Model => {}
        }
    }
}

/// Notes a store of kept KV cache that isn't there or isn't one.
fn kept(reader: &mut Reader, path: &str, pool: &Pool, pools: &BTreeMap<String, Pool>) {
    let Some(name) = &pool.kept else {
        return;
    };
    let path = format!("{path}.kept");
    match pools.get(name) {
        Some(p) if p.kind == PoolKind::Model => {
            reader.report(path, FaultKind::KvStoreNotPlain(name.clone()))
        }
        _ => declared(reader, path, NameKind::Pool, name, pools),
    }
}

/// Notes what only model engines heed.
fn plain(reader: &mut Reader, path: &str, pool: &Pool) {
    let d = Pool::default();
    let set = [
        ("model", pool.model != d.model),
        ("weights", pool.weights != d.weights),
        ("fencing", pool.fencing != d.fencing),
        ("kept", pool.kept != d.kept),
        ("permits", pool.permits != d.permits),
    ];
    for (key, _) in set.into_iter().filter(|(_, set)| *set) {
        let context = "in a pool of kind `plain`";
        reader.report(
            format!("{path}.{key}"),
            FaultKind::IneffectiveKey { key, context },
        );
    }
}

fn teams(reader: &mut Reader, config: &Config) {
    let mut holders: HashMap<KeyDigest, &str> = HashMap::new();
    limits(reader, "limits", &config.limits);
    for (team, t) in &config.team {
        let path = format!("team.{team}");
        name(reader, &path, team);
        zero(reader, &path, "share", Some(t.share));
        if t.keys.is_empty() && !reader.is_faulty(format!("{path}.keys")) {
            reader.report(&path, FaultKind::TeamWithoutKey(team.clone()));
        }
        for (i, key) in t.keys.iter().enumerate() {
            let path = format!("{path}.keys[{i}]");
            match KeyDigest::parse(key) {
                None => reader.report(path, FaultKind::BadDigest),
                Some(d) => {
                    if let Some(other) = holders.insert(d, team) {
                        reader.report(path, FaultKind::DuplicateApiKey(other.to_owned()));
                    }
                }
            }
        }
        let inner = format!("{path}.limits");
        limits(reader, &inner, &t.limits);
        borrowed(reader, config, team, t);
    }
}

/// Notes a team that takes another's scope while that one believes it to be its own. Otherwise one
/// team could read what another left in the caches just by naming it; sharing has to be written in
/// both tables.
fn borrowed(reader: &mut Reader, config: &Config, team: &str, t: &Team) {
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

fn zero(reader: &mut Reader, path: &str, key: &'static str, value: Option<u32>) {
    if value == Some(0) {
        reader.report(format!("{path}.{key}"), FaultKind::Zero(key));
    }
}

/// Notes limits that let nothing through.
pub(crate) fn limits(reader: &mut Reader, path: &str, limits: &Limits) {
    for (key, value) in limits.by_key() {
        if value == Some(0) {
            reader.report(format!("{path}.{key}"), FaultKind::Zero(key));
        }
    }
}

fn features(reader: &mut Reader, c: &Config) {
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
        zero(reader, table, key, Some(count));
    }
    let (con, health) = (&c.concurrency, &c.health);
    crossed(
        reader,
        "concurrency",
        ("least", con.least),
        ("first", con.first),
    );
    crossed(
        reader,
        "concurrency",
        ("first", con.first),
        ("most", con.most),
    );
    crossed(
        reader,
        "health",
        ("out", health.out),
        ("longest", health.longest),
    );
}

/// Notes a lower bound that lies above the upper one.
fn crossed<T: PartialOrd>(
    reader: &mut Reader,
    table: &str,
    (low, a): (&'static str, T),
    (high, b): (&'static str, T),
) {
    if a > b {
        reader.report(
            format!("{table}.{low}"),
            FaultKind::InvertedBounds { low, high },
        );
    }
}

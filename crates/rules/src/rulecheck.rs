//! Whether the rules make sense, each by itself and in their order.

use std::collections::{BTreeSet, HashSet};

use crate::check::{declared, limits, name};
use crate::condition::{self, Condition};
use crate::config::{Config, Limits, Rule, Then, When};
use crate::fault::{FaultKind, NameKind};
use crate::read::Reader;

/// Methods of HTTP that callers use.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Headers that the router sets or that belong to one connection; a rule that set them would break
/// framing, tracing or authentication between the processes.
const RESERVED: [&str; 16] = [
    "authorization",
    "connection",
    "content-length",
    "content-type",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-class",
    "x-outcome",
    "x-request-id",
];

/// Notes the faults of all rules and of the pools that they leave unused.
pub(crate) fn run(reader: &mut Reader, config: &Config) {
    let mut names = HashSet::new();
    for (i, rule) in config.rule.iter().enumerate() {
        let path = format!("rule[{i}]");
        match rule.name.as_str() {
            "" if !reader.is_faulty(format!("{path}.name")) => {
                reader.report(&path, FaultKind::MissingRuleName);
            }
            "" => {}
            n => name(reader, &format!("{path}.name"), n),
        }
        if !rule.name.is_empty() && !names.insert(rule.name.as_str()) {
            let kind = FaultKind::DuplicateRule(rule.name.clone());
            reader.report(format!("{path}.name"), kind);
        }
        conditions(reader, config, &format!("{path}.when"), &rule.when);
        conditions(reader, config, &format!("{path}.not"), &rule.not);
        outcome(reader, config, &path, rule);
        ceilings(reader, config, &path, rule);
        scope(reader, config, &path, rule);
    }
    reach(reader, config);
    unused(reader, config);
}

fn conditions(reader: &mut Reader, config: &Config, path: &str, when: &When) {
    for (i, team) in when.team.iter().enumerate() {
        let path = format!("{path}.team[{i}]");
        declared(reader, path, NameKind::Team, team, &config.team);
    }
    for (i, glob) in when.path.iter().enumerate() {
        if !glob.as_str().starts_with(['/', '*']) {
            let kind = FaultKind::BadPath(glob.to_string());
            reader.report(format!("{path}.path[{i}]"), kind);
        }
    }
    for (i, method) in when.method.iter().enumerate() {
        if let Err(kind) = crate::table::find_word(method, METHODS.into_iter()) {
            reader.report(format!("{path}.method[{i}]"), kind);
        }
    }
    for header in when.header.keys().filter(|h| !is_header(h)) {
        let kind = FaultKind::BadHeaderName(header.clone());
        reader.report(format!("{path}.header.{header}"), kind);
    }
    if when
        .prompt
        .min
        .zip(when.prompt.max)
        .is_some_and(|(a, b)| a > b)
    {
        let (low, high) = ("min", "max");
        reader.report(
            format!("{path}.prompt.min"),
            FaultKind::InvertedBounds { low, high },
        );
    }
}

/// Whether a text is a header name as `Facts` holds them.
fn is_header(name: &str) -> bool {
    let token =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "!#$%&'*+-.^_`|~".contains(c);
    !name.is_empty() && name.chars().all(token)
}

fn outcome(reader: &mut Reader, config: &Config, path: &str, rule: &Rule) {
    let then = &rule.then;
    match (&then.pool, &then.refuse) {
        (Some(_), Some(_)) => {
            let kind = FaultKind::TwoOutcomes(rule.name.clone());
            reader.report(format!("{path}.then.refuse"), kind);
        }
        (None, None) if !reader.is_faulty(format!("{path}.then")) => {
            reader.report(path, FaultKind::NoOutcome(rule.name.clone()));
        }
        (None, None) => {}
        (Some(_), None) => idle(reader, path, RETRY, then, "without `refuse`"),
        (None, Some(_)) => idle(reader, path, SERVED, then, "beside `refuse`"),
    }
    if let Some(pool) = &then.pool {
        let path = format!("{path}.then.pool");
        declared(reader, path, NameKind::Pool, pool, &config.pool);
    }
    for (header, value) in &then.set {
        let sendable = value.bytes().all(|b| b == b' ' || b.is_ascii_graphic());
        let kind = match header.as_str() {
            h if !is_header(h) => FaultKind::BadHeaderName(header.clone()),
            h if RESERVED.contains(&h) => FaultKind::ReservedHeader(header.clone()),
            _ if !sendable => FaultKind::BadHeaderValue(header.clone()),
            _ => continue,
        };
        reader.report(format!("{path}.then.set.{header}"), kind);
    }
}

/// A key of `then` and whether it is set.
type Key = (&'static str, fn(&Then) -> bool);

/// What means something only for a refusal.
const RETRY: &[Key] = &[("retry-after", |t| t.retry_after.is_some())];

/// What means something only for a request that is served.
const SERVED: &[Key] = &[
    ("class", |t| t.class != Then::default().class),
    ("deadline", |t| t.deadline.is_some()),
    ("idempotent", |t| t.idempotent.is_some()),
    ("scope", |t| t.scope.is_some()),
    ("limits", |t| t.limits != Then::default().limits),
    ("set", |t| !t.set.is_empty()),
];

fn idle(reader: &mut Reader, path: &str, keys: &[Key], then: &Then, context: &'static str) {
    for (key, _) in keys.iter().filter(|(_, set)| set(then)) {
        let path = format!("{path}.then.{key}");
        reader.report(path, FaultKind::IneffectiveKey { key, context });
    }
}

/// Notes limits of a rule that never bind or let nothing through.
fn ceilings(reader: &mut Reader, config: &Config, path: &str, rule: &Rule) {
    let path = format!("{path}.then");
    if rule
        .then
        .deadline
        .is_some_and(|d| d.0 == model::Micros::ZERO)
    {
        reader.report(format!("{path}.deadline"), FaultKind::Zero("deadline"));
    }
    let path = format!("{path}.limits");
    let own = &rule.then.limits;
    limits(reader, &path, own);
    if own
        .body
        .zip(rule.when.prompt.min)
        .is_some_and(|(body, min)| body < min)
    {
        reader.report(format!("{path}.body"), FaultKind::BodyBelowPrompt);
    }
    // Most rules set no limits, and asking each team about none costs a large check its time.
    if *own == Limits::default() {
        return;
    }
    let teams: Vec<_> = audience(config, rule)
        .map(|t| config.limits(t).by_key())
        .collect();
    for (k, (key, mine)) in own.by_key().into_iter().enumerate() {
        let tighter = |t: &[(&str, Option<u64>); 3]| {
            mine.zip(t[k].1).is_some_and(|(mine, theirs)| theirs < mine)
        };
        if !teams.is_empty() && teams.iter().all(tighter) {
            reader.report(format!("{path}.{key}"), FaultKind::IneffectiveLimit(key));
        }
    }
}

/// Notes a scope that belongs to a team other than those the rule is for. Without this a rule
/// could let one team read what another left in the caches.
fn scope(reader: &mut Reader, config: &Config, path: &str, rule: &Rule) {
    let Some(scope) = &rule.then.scope else {
        return;
    };
    let path = format!("{path}.then.scope");
    name(reader, &path, scope);
    let owner = config.team.keys().find(|t| config.scope(t) == scope);
    let stranger = audience(config, rule).find(|t| config.scope(t) != scope);
    if let (Some(owner), Some(team)) = (owner, stranger) {
        let kind = FaultKind::ForeignScope {
            scope: scope.clone(),
            owner: owner.clone(),
            team: team.to_owned(),
        };
        reader.report(path, kind);
    }
}

/// The teams that a rule may match.
fn audience<'a>(config: &'a Config, rule: &'a Rule) -> impl Iterator<Item = &'a str> {
    let named = |t: &str| rule.when.team.is_empty() || rule.when.team.iter().any(|n| n == t);
    let barred = |t: &str| rule.not.team.iter().any(|n| n == t);
    let teams = config.team.keys().map(String::as_str);
    teams.filter(move |t| named(t) && !barred(t))
}

/// Notes rules that match nothing, by themselves or after those before them. Only a single earlier
/// rule is considered; several that together cover a later one go unnoticed.
fn reach(reader: &mut Reader, config: &Config) {
    let mut earlier: Vec<(&str, Vec<Condition>)> = Vec::new();
    for (i, rule) in config.rule.iter().enumerate() {
        let path = format!("rule[{i}]");
        // A condition that couldn't be read is missing here, and the rule would seem to match more
        // than it is meant to.
        if reader.is_faulty(format!("{path}.when")) || reader.is_faulty(format!("{path}.not")) {
            continue;
        }
        let conds = condition::of_rule(rule);
        let clash = |(i, c): (usize, &Condition)| conds[i + 1..].iter().any(|d| c.excludes(d));
        if conds.iter().enumerate().any(clash) {
            reader.report(path, FaultKind::NeverMatches(rule.name.clone()));
            continue;
        }
        let covers = |by: &Vec<Condition>| by.iter().all(|b| conds.iter().any(|c| c.implies(b)));
        if let Some((by, _)) = earlier.iter().find(|(_, by)| covers(by)) {
            let kind = FaultKind::Unreachable {
                rule: rule.name.clone(),
                by: (*by).to_owned(),
            };
            reader.report(path, kind);
        }
        earlier.push((&rule.name, conds));
    }
}

fn unused(reader: &mut Reader, config: &Config) {
    let pools = config.rule.iter().filter_map(|r| r.then.pool.as_deref());
    let kept = config.pool.values().filter_map(|p| p.kept.as_deref());
    let used: BTreeSet<_> = pools.chain(kept).collect();
    for pool in config.pool.keys().filter(|p| !used.contains(p.as_str())) {
        let path = format!("pool.{pool}");
        reader.report(path, FaultKind::UnusedPool(pool.clone()));
    }
}

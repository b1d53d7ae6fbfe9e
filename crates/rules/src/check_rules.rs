//! Checks of the rules, each by itself and in their order.

use std::collections::{BTreeSet, HashSet};

use crate::check::{check_declared, check_limits, check_name};
use crate::condition::{self, Condition};
use crate::config::{Config, Limits, Rule, Then, When};
use crate::fault::{FaultKind, NameKind};
use crate::read::Reader;

/// HTTP methods that conditions may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Headers that the router sets itself or that belong to a single connection. A rule that set them
/// would break framing, tracing or authentication between processes.
const RESERVED_HEADERS: [&str; 16] = [
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

/// Reports the faults of all rules, and pools that nothing uses.
pub(crate) fn run(reader: &mut Reader, config: &Config) {
    let mut names = HashSet::new();
    for (i, rule) in config.rule.iter().enumerate() {
        let path = format!("rule[{i}]");
        match rule.name.as_str() {
            "" if !reader.is_faulty(format!("{path}.name")) => {
                reader.report(&path, FaultKind::MissingRuleName);
            }
            "" => {}
            n => check_name(reader, &format!("{path}.name"), n),
        }
        if !rule.name.is_empty() && !names.insert(rule.name.as_str()) {
            let kind = FaultKind::DuplicateRule(rule.name.clone());
            reader.report(format!("{path}.name"), kind);
        }
        check_conditions(reader, config, &format!("{path}.when"), &rule.when);
        check_conditions(reader, config, &format!("{path}.not"), &rule.not);
        check_outcome(reader, config, &path, rule);
        check_rule_limits(reader, config, &path, rule);
        check_scope(reader, config, &path, rule);
    }
    check_reachable(reader, config);
    check_unused_pools(reader, config);
}

fn check_conditions(reader: &mut Reader, config: &Config, path: &str, when: &When) {
    for (i, team) in when.team.iter().enumerate() {
        let path = format!("{path}.team[{i}]");
        check_declared(reader, path, NameKind::Team, team, &config.team);
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
    for header in when.header.keys().filter(|h| !is_header_name(h)) {
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

/// Whether a text is a valid header name in lower case, the form of names in `Facts::headers`.
fn is_header_name(name: &str) -> bool {
    let allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "!#$%&'*+-.^_`|~".contains(c);
    !name.is_empty() && name.chars().all(allowed)
}

/// Checks that a rule either forwards to a pool or refuses, and the settings that go with that.
fn check_outcome(reader: &mut Reader, config: &Config, path: &str, rule: &Rule) {
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
        (Some(_), None) => report_ineffective(reader, path, REFUSAL_KEYS, then, "without `refuse`"),
        (None, Some(_)) => report_ineffective(reader, path, FORWARD_KEYS, then, "beside `refuse`"),
    }
    if let Some(pool) = &then.pool {
        let path = format!("{path}.then.pool");
        check_declared(reader, path, NameKind::Pool, pool, &config.pool);
    }
    for (header, value) in &then.set {
        let sendable = value.bytes().all(|b| b == b' ' || b.is_ascii_graphic());
        let kind = match header.as_str() {
            h if !is_header_name(h) => FaultKind::BadHeaderName(header.clone()),
            h if RESERVED_HEADERS.contains(&h) => FaultKind::ReservedHeader(header.clone()),
            _ if !sendable => FaultKind::BadHeaderValue(header.clone()),
            _ => continue,
        };
        reader.report(format!("{path}.then.set.{header}"), kind);
    }
}

/// A key of `then` and a function that says whether the key is set.
type ThenKey = (&'static str, fn(&Then) -> bool);

/// Keys that have an effect only if the rule refuses.
const REFUSAL_KEYS: &[ThenKey] = &[("retry-after", |t| t.retry_after.is_some())];

/// Keys that have an effect only if the rule forwards to a pool.
const FORWARD_KEYS: &[ThenKey] = &[
    ("class", |t| t.class != Then::default().class),
    ("deadline", |t| t.deadline.is_some()),
    ("idempotent", |t| t.idempotent.is_some()),
    ("scope", |t| t.scope.is_some()),
    ("limits", |t| t.limits != Then::default().limits),
    ("set", |t| !t.set.is_empty()),
];

/// Reports those of the given keys that are set.
fn report_ineffective(
    reader: &mut Reader,
    path: &str,
    keys: &[ThenKey],
    then: &Then,
    context: &'static str,
) {
    for (key, _) in keys.iter().filter(|(_, is_set)| is_set(then)) {
        let path = format!("{path}.then.{key}");
        reader.report(path, FaultKind::IneffectiveKey { key, context });
    }
}

/// Reports limits of a rule that have no effect or refuse every request.
fn check_rule_limits(reader: &mut Reader, config: &Config, path: &str, rule: &Rule) {
    let path = format!("{path}.then");
    if rule
        .then
        .deadline
        .is_some_and(|d| d.0 == model::Micros::ZERO)
    {
        reader.report(format!("{path}.deadline"), FaultKind::Zero("deadline"));
    }
    let path = format!("{path}.limits");
    let rule_limits = &rule.then.limits;
    check_limits(reader, &path, rule_limits);
    if rule_limits
        .body
        .zip(rule.when.prompt.min)
        .is_some_and(|(body, min)| body < min)
    {
        reader.report(format!("{path}.body"), FaultKind::BodyBelowPrompt);
    }
    // Most rules set no limits. Comparing those with every team would dominate the time that the
    // check of a large configuration takes.
    if *rule_limits == Limits::default() {
        return;
    }
    let team_limits: Vec<_> = matching_teams(config, rule)
        .map(|t| config.limits(t).by_key())
        .collect();
    for (i, (key, rule_limit)) in rule_limits.by_key().into_iter().enumerate() {
        let is_lower = |limits: &[(&str, Option<u64>); 3]| {
            rule_limit
                .zip(limits[i].1)
                .is_some_and(|(rule, team)| team < rule)
        };
        if !team_limits.is_empty() && team_limits.iter().all(is_lower) {
            reader.report(format!("{path}.{key}"), FaultKind::IneffectiveLimit(key));
        }
    }
}

/// Reports a scope that belongs to one team in a rule that also matches teams of another scope.
/// Such a rule would let one team read another team's cache entries.
fn check_scope(reader: &mut Reader, config: &Config, path: &str, rule: &Rule) {
    let Some(scope) = &rule.then.scope else {
        return;
    };
    let path = format!("{path}.then.scope");
    check_name(reader, &path, scope);
    let owner = config.team.keys().find(|t| config.scope(t) == scope);
    let outsider = matching_teams(config, rule).find(|t| config.scope(t) != scope);
    if let (Some(owner), Some(team)) = (owner, outsider) {
        let kind = FaultKind::ForeignScope {
            scope: scope.clone(),
            owner: owner.clone(),
            team: team.to_owned(),
        };
        reader.report(path, kind);
    }
}

/// Names of the teams whose requests a rule can match.
fn matching_teams<'a>(config: &'a Config, rule: &'a Rule) -> impl Iterator<Item = &'a str> {
    let included = |t: &str| rule.when.team.is_empty() || rule.when.team.iter().any(|n| n == t);
    let excluded = |t: &str| rule.not.team.iter().any(|n| n == t);
    let teams = config.team.keys().map(String::as_str);
    teams.filter(move |t| included(t) && !excluded(t))
}

/// Reports rules that can't match any request, because of their own conditions or because an
/// earlier rule matches all their requests. Several earlier rules that cover a later one only
/// together are not detected.
fn check_reachable(reader: &mut Reader, config: &Config) {
    let mut earlier: Vec<(&str, Vec<Condition>)> = Vec::new();
    for (i, rule) in config.rule.iter().enumerate() {
        let path = format!("rule[{i}]");
        // A condition that couldn't be read is missing from the configuration, so that the rule
        // would appear to match more requests than intended.
        if reader.is_faulty(format!("{path}.when")) || reader.is_faulty(format!("{path}.not")) {
            continue;
        }
        let conditions = condition::of_rule(rule);
        let conflicts =
            |(i, c): (usize, &Condition)| conditions[i + 1..].iter().any(|d| c.excludes(d));
        if conditions.iter().enumerate().any(conflicts) {
            reader.report(path, FaultKind::NeverMatches(rule.name.clone()));
            continue;
        }
        let is_covered_by = |other: &Vec<Condition>| {
            other
                .iter()
                .all(|o| conditions.iter().any(|c| c.implies(o)))
        };
        if let Some((by, _)) = earlier.iter().find(|(_, other)| is_covered_by(other)) {
            let kind = FaultKind::Unreachable {
                rule: rule.name.clone(),
                by: (*by).to_owned(),
            };
            reader.report(path, kind);
        }
        earlier.push((&rule.name, conditions));
    }
}

/// Reports pools that neither a rule nor another pool's `kept` key refers to.
fn check_unused_pools(reader: &mut Reader, config: &Config) {
    let pools = config.rule.iter().filter_map(|r| r.then.pool.as_deref());
    let kept = config.pool.values().filter_map(|p| p.kept.as_deref());
    let used: BTreeSet<_> = pools.chain(kept).collect();
    for pool in config.pool.keys().filter(|p| !used.contains(p.as_str())) {
        let path = format!("pool.{pool}");
        reader.report(path, FaultKind::UnusedPool(pool.clone()));
    }
}

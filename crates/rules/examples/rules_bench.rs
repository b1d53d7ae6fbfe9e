//! Measures what a request costs the rules at the size that is expected within two years.
//!
//! `cargo run --release -p rules --example rules_bench` prints, for 1,100 teams and 300 rules, the time
//! to compile, to find a team by its key and to decide, each beside a plain scan of the same data.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use rules::{Facts, RuleSet, When};
use subtle::ConstantTimeEq;

const TEAMS: usize = 1_100;
const RULES: usize = 300;
/// Requests that are cycled through; enough that no branch predictor learns them.
const REQUESTS: usize = 4_099;
const ROUNDS: usize = 400_000;

fn main() {
    let text = text();
    let start = Instant::now();
    let rules = RuleSet::compile(&text).unwrap_or_else(|e| panic!("{e}"));
    let spent = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "{TEAMS} teams, {RULES} rules, {} KiB of text",
        text.len() / 1024
    );
    println!("compile       {spent:8.1} ms");
    decisions(&rules);
    keys(&rules);
}

/// A third of the rules name teams, a third paths of their own, a third headers and models.
fn text() -> String {
    let mut out = String::from("[pool.desk]\nmodel = \"m\"\n");
    for i in 0..TEAMS {
        let digest = rules::key_digest(key(i));
        let _ = writeln!(out, "[team.t{i}]\nkeys = [\"{digest}\"]");
    }
    for i in 0..RULES - 1 {
        let when = match i % 3 {
            0 => format!(
                "team = [\"t{}\", \"t{}\"], path = \"/v1/*\"",
                i * 3,
                i * 3 + 1
            ),
            1 => format!("path = [\"/app{i}/*\", \"/v1/special{i}\"]"),
            _ => format!("path = \"/v1/*\", model = \"m{i}\", header = {{ x-kind = \"k{i}*\" }}"),
        };
        let rule = format!("name = \"r{i}\"\nwhen = {{ {when} }}\nthen = {{ pool = \"desk\" }}");
        let _ = writeln!(out, "[[rule]]\n{rule}");
    }
    out + "[[rule]]\nname = \"last\"\nthen = { pool = \"desk\" }\n"
}

fn key(team: usize) -> String {
    format!("bench-key-{team}")
}

/// One request in ten meets a rule for its team, one a path, one a model and header; the others go
/// past all rules to the last.
fn requests() -> Vec<Facts> {
    let request = |n: usize| {
        let rule = n * 7 % (RULES - 3) / 3 * 3;
        let mut f = Facts {
            team: format!("t{}", n * 31 % 97 + 1_000),
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            model: Some("m".to_owned()),
            prompt_bytes: 20_000,
            ..Facts::default()
        };
        f.headers.insert("x-kind".to_owned(), "usual".to_owned());
        match n % 10 {
            0 => f.team = format!("t{}", rule * 3),
            1 => f.path = format!("/app{}/x", rule + 1),
            2 => {
                f.model = Some(format!("m{}", rule + 2));
                f.headers
                    .insert("x-kind".to_owned(), format!("k{}-b", rule + 2));
            }
            _ => {}
        }
        f
    };
    (0..REQUESTS).map(request).collect()
}

fn decisions(rules: &RuleSet) {
    let requests = requests();
    let scan = |f: &Facts| rules.config().rule.iter().position(|r| matches(&r.when, f));
    for f in &requests {
        assert_eq!(rules.first_match(f), scan(f), "{f:?}");
    }
    let next = |i: usize| &requests[i % REQUESTS];
    report("decide", ROUNDS, |i| rules.decide(next(i)).is_some());
    report("decide, scan", ROUNDS / 20, |i| scan(next(i)).is_some());
}

/// The plain scan: every condition of every rule in turn.
fn matches(when: &When, f: &Facts) -> bool {
    (when.team.is_empty() || when.team.contains(&f.team))
        && (when.path.is_empty() || when.path.iter().any(|g| g.matches(&f.path)))
        && (when.model.is_empty()
            || f.model
                .as_ref()
                .is_some_and(|m| when.model.iter().any(|g| g.matches(m))))
        && when
            .header
            .iter()
            .all(|(k, g)| f.headers.get(k).is_some_and(|v| g.matches(v)))
}

fn keys(rules: &RuleSet) {
    let held: Vec<_> = (0..TEAMS).map(key).collect();
    let digests: Vec<_> = held.iter().map(|k| blake3::hash(k.as_bytes())).collect();
    let scan = |key: &str| {
        let want = blake3::hash(key.as_bytes());
        let equal = |d: &blake3::Hash| bool::from(d.as_bytes().ct_eq(want.as_bytes()));
        digests.iter().filter(|d| equal(d)).count()
    };
    let next = |i: usize| held[i * 31 % TEAMS].as_str();
    report("team", ROUNDS, |i| rules.team(next(i)).is_some());
    report("team, unknown", ROUNDS, |i| {
        rules.team(&next(i)[1..]).is_none()
    });
    report("team, scan", ROUNDS / 20, |i| scan(next(i)) == 1);
}

fn report(name: &str, rounds: usize, mut step: impl FnMut(usize) -> bool) {
    let start = Instant::now();
    let all = (0..rounds).all(|i| black_box(step(i)));
    let spent = start.elapsed().as_nanos() as f64 / rounds as f64;
    assert!(all, "{name} found nothing");
    println!("{name:<14}{spent:8.0} ns");
}

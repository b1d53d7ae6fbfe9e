//! Measures the cost of a request in the rules, at the size of configuration expected within two
//! years.
//!
//! `cargo run --release -p rules --example rules_bench` prints, for 1,100 teams and 300 rules, the
//! time to compile the configuration, to find a team by its API key and to decide a request. The
//! last two are printed together with the time of a linear scan of the same data.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use rules::{Facts, RuleSet, When};
use subtle::ConstantTimeEq;

const TEAMS: usize = 1_100;
const RULES: usize = 300;
/// Number of different requests, which are used in turn; enough that no branch predictor learns
/// the sequence.
const REQUESTS: usize = 4_099;
const ROUNDS: usize = 400_000;

fn main() {
    let text = config_text();
    let start = Instant::now();
    let rules = RuleSet::compile(&text).unwrap_or_else(|e| panic!("{e}"));
    let elapsed_ms = start.elapsed().as_secs_f64() * 1e3;
    println!(
        "{TEAMS} teams, {RULES} rules, {} KiB of text",
        text.len() / 1024
    );
    println!("compile       {elapsed_ms:8.1} ms");
    measure_decisions(&rules);
    measure_keys(&rules);
}

/// A configuration in which a third of the rules name teams, a third have paths of their own and
/// a third have headers and models.
fn config_text() -> String {
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

/// Requests of which one in ten matches a rule by its team, one by its path and one by its model
/// and header. The others match the last rule only.
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

fn measure_decisions(rules: &RuleSet) {
    let requests = requests();
    let scan = |f: &Facts| rules.config().rule.iter().position(|r| matches(&r.when, f));
    for f in &requests {
        assert_eq!(rules.first_match(f), scan(f), "{f:?}");
    }
    let next = |i: usize| &requests[i % REQUESTS];
    report("decide", ROUNDS, |i| rules.decide(next(i)).is_some());
    report("decide, scan", ROUNDS / 20, |i| scan(next(i)).is_some());
}

/// Whether a rule's conditions hold, tested one by one for the linear scan.
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

fn measure_keys(rules: &RuleSet) {
    let keys: Vec<_> = (0..TEAMS).map(key).collect();
    let digests: Vec<_> = keys.iter().map(|k| blake3::hash(k.as_bytes())).collect();
    let scan = |key: &str| {
        let digest = blake3::hash(key.as_bytes());
        let equal = |d: &blake3::Hash| bool::from(d.as_bytes().ct_eq(digest.as_bytes()));
        digests.iter().filter(|d| equal(d)).count()
    };
    let next = |i: usize| keys[i * 31 % TEAMS].as_str();
    report("team", ROUNDS, |i| rules.team(next(i)).is_some());
    report("team, unknown", ROUNDS, |i| {
        rules.team(&next(i)[1..]).is_none()
    });
    report("team, scan", ROUNDS / 20, |i| scan(next(i)) == 1);
}

/// Prints the mean time of a step, which must succeed in every round.
fn report(name: &str, rounds: usize, mut step: impl FnMut(usize) -> bool) {
    let start = Instant::now();
    let all_succeeded = (0..rounds).all(|i| black_box(step(i)));
    let mean_ns = start.elapsed().as_nanos() as f64 / rounds as f64;
    assert!(all_succeeded, "{name} found nothing");
    println!("{name:<14}{mean_ns:8.0} ns");
}

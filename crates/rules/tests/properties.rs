//! Properties that hold for any configuration, any request and any text.

use std::collections::BTreeMap;

use model::Class;
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use proptest::test_runner::RngSeed;
use rules::config::{PoolKind, Region, SizeRange};
use rules::units::{Duration, Glob, Percent, Size, TimeWindow};
use rules::{Config, Facts, FaultKind, Limits, Pool, Rule, RuleSet, Team, Then, Weekday, When};

const TEAMS: [&str; 4] = ["a", "b", "c", "d"];
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];
const PATHS: [&str; 9] = [
    "/", "/v1", "/v1/a", "/v1/ab", "/v1/b/c", "/v2", "/w", "/v1/", "",
];
const MODELS: [&str; 4] = ["m", "m1", "m12", "n"];

fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn words(known: &'static [&'static str]) -> impl Strategy<Value = Vec<String>> {
    let none = Just(Vec::new());
    let some = subsequence(known, 1..=known.len());
    prop_oneof![none, some].prop_map(|w| w.into_iter().map(str::to_owned).collect())
}

fn glob(texts: &'static [&'static str]) -> impl Strategy<Value = Glob> {
    (select(texts), any::<bool>()).prop_map(|(text, is_prefix)| {
        let star = if is_prefix { "*" } else { "" };
        format!("{text}{star}").parse().unwrap()
    })
}

fn window() -> impl Strategy<Value = TimeWindow> {
    (0u16..1440, 0u16..=1440).prop_filter_map("equal ends", |(a, b)| TimeWindow::new(a, b))
}

fn days() -> impl Strategy<Value = Vec<Weekday>> {
    prop_oneof![Just(Vec::new()), subsequence(Weekday::ALL, 1..7)]
}

fn classes() -> impl Strategy<Value = Vec<Class>> {
    prop_oneof![Just(Vec::new()), subsequence(&Class::ALL[..], 1..3)]
}

fn range() -> impl Strategy<Value = SizeRange> {
    let size = || option::of((0u64..5000).prop_map(Size));
    (size(), size()).prop_map(|(min, max)| SizeRange { min, max })
}

fn when() -> impl Strategy<Value = When> {
    let texts = (
        words(&TEAMS),
        vec(glob(&PATHS[..8]), 0..3),
        words(&METHODS),
        vec(glob(&MODELS), 0..2),
    );
    let header = btree_map(
        select(&["x-a", "x-b"][..]).prop_map(str::to_owned),
        glob(&MODELS),
        0..2,
    );
    let rest = (classes(), vec(window(), 0..2), days(), range(), header);
    (texts, rest).prop_map(
        |((team, path, method, model), (class, hours, days, prompt, header))| When {
            team,
            path,
            method,
            model,
            class,
            hours,
            days,
            prompt,
            header,
        },
    )
}

/// Conditions of which each is kept with a chance of one in four. Practical rules have few
/// conditions, and with all of them hardly any rule would match.
fn sparse_when() -> impl Strategy<Value = When> {
    (when(), vec(0u8..4, 9)).prop_map(|(mut w, draws)| {
        let drop = |i: usize| draws[i] > 0;
        let d = When::default();
        if drop(0) {
            w.team = d.team
        }
        if drop(1) {
            w.path = d.path
        }
        if drop(2) {
            w.method = d.method
        }
        if drop(3) {
            w.model = d.model
        }
        if drop(4) {
            w.class = d.class
        }
        if drop(5) {
            w.hours = d.hours
        }
        if drop(6) {
            w.days = d.days
        }
        if drop(7) {
            w.prompt = d.prompt
        }
        if drop(8) {
            w.header = d.header
        }
        w
    })
}

fn limits() -> impl Strategy<Value = Limits> {
    let number = || option::of(any::<u32>());
    let size = option::of((0..=i64::MAX as u64).prop_map(Size));
    (number(), number(), size).prop_map(|(requests, tokens, body)| Limits {
        requests,
        tokens,
        body,
    })
}

fn then() -> impl Strategy<Value = Then> {
    let text = || option::of(".{0,12}");
    let span = || option::of(any::<u64>().prop_map(|us| Duration(model::Micros(us))));
    let forwarding = (
        text(),
        select(&Class::ALL[..]),
        span(),
        option::of(any::<bool>()),
    );
    let set = btree_map(".{0,6}", ".{0,6}", 0..3);
    (forwarding, (text(), text(), span(), limits(), set)).prop_map(
        |((pool, class, deadline, idempotent), (scope, refuse, retry_after, limits, set))| Then {
            pool,
            class,
            deadline,
            idempotent,
            scope,
            refuse,
            retry_after,
            limits,
            set,
        },
    )
}

fn rule() -> impl Strategy<Value = Rule> {
    (".{0,8}", when(), when(), then()).prop_map(|(name, when, not, then)| Rule {
        name,
        when,
        not,
        then,
    })
}

fn pool() -> impl Strategy<Value = Pool> {
    let kind = select(PoolKind::ALL);
    let rest = (
        any::<bool>(),
        option::of(".{0,8}"),
        any::<u32>(),
        option::of(any::<u32>()),
    );
    (kind, ".{0,8}", ".{0,8}", rest).prop_map(
        |(kind, model, weights, (fencing, kept, permits, concurrency))| Pool {
            kind,
            model,
            weights,
            fencing,
            kept,
            permits,
            concurrency,
        },
    )
}

fn team() -> impl Strategy<Value = Team> {
    (vec(".{0,8}", 0..3), ".{0,8}", any::<u32>(), limits()).prop_map(
        |(keys, scope, share, limits)| Team {
            keys,
            scope,
            share,
            limits,
        },
    )
}

fn config() -> impl Strategy<Value = Config> {
    let region = vec(".{0,8}", 0..3).prop_map(|domains| Region { domains });
    let name = || ".{0,8}";
    let tables = (
        btree_map(name(), region, 0..3),
        btree_map(name(), pool(), 0..3),
        btree_map(name(), team(), 0..3),
    );
    let features = (limits(), any::<u32>(), any::<u64>(), 0u16..=1000);
    (tables, features, vec(rule(), 0..4)).prop_map(
        |((region, pool, team), (limits, probes, notice, share), rule)| {
            let mut c = Config {
                region,
                pool,
                team,
                limits,
                rule,
                ..Config::default()
            };
            c.place.probes = probes;
            c.drain.notice = Duration(model::Micros(notice));
            c.retry.share = Percent::from_permille(share);
            c
        },
    )
}

fn facts() -> impl Strategy<Value = Facts> {
    let texts = (
        select(&TEAMS),
        select(&METHODS),
        select(&PATHS),
        option::of(select(&MODELS)),
    );
    let value = select(&["call", "normal", "batch", "m", "m1", "n", "?"][..]);
    let headers = btree_map(select(&["x-a", "x-b", "x-class"][..]), value, 0..4);
    let rest = (0usize..6000, 0u16..1440, select(Weekday::ALL));
    (texts, headers, rest).prop_map(
        |((team, method, path, model), headers, (prompt_bytes, minute, weekday))| {
            let owned = |(k, v): (&str, &str)| (k.to_owned(), v.to_owned());
            Facts {
                team: team.to_owned(),
                method: method.to_owned(),
                path: path.to_owned(),
                model: model.map(str::to_owned),
                headers: headers.into_iter().map(owned).collect(),
                prompt_bytes,
                minute,
                weekday,
            }
        },
    )
}

/// A configuration with these rules and every pool and team that they name.
fn config_with(rules: Vec<(When, When, Then)>) -> Config {
    let rule = |(i, (when, not, then))| Rule {
        name: format!("r{i}"),
        when,
        not,
        then,
    };
    let pool = Pool {
        model: "m".into(),
        ..Pool::default()
    };
    Config {
        pool: BTreeMap::from([("p".into(), pool)]),
        team: TEAMS.map(|t| (t.to_owned(), Team::default())).into(),
        rule: rules.into_iter().enumerate().map(rule).collect(),
        ..Config::default()
    }
}

/// Rule sets that compile: rules that the check reports an error for are removed.
fn ruleset() -> impl Strategy<Value = RuleSet> {
    let then = prop_oneof![
        Just(Then {
            pool: Some("p".into()),
            ..Then::default()
        }),
        Just(Then {
            refuse: Some("no".into()),
            ..Then::default()
        }),
    ];
    let rule = (sparse_when(), sparse_when(), then);
    vec(rule, 1..90).prop_map(|rules| {
        let mut config = config_with(rules);
        match RuleSet::compile(config.to_toml().unwrap()) {
            Ok(rules) => rules,
            Err(faults) => {
                let path = |i| format!("rule[{i}]");
                let has_no_error = |i| {
                    !faults.0.iter().any(|f| {
                        f.severity == rules::Severity::Error && f.key.starts_with(&path(i))
                    })
                };
                let valid = config
                    .rule
                    .drain(..)
                    .enumerate()
                    .filter(|(i, _)| has_no_error(*i));
                config.rule = valid.map(|(_, r)| r).collect();
                RuleSet::compile(config.to_toml().unwrap()).unwrap_or_else(|e| panic!("{e}"))
            }
        }
    })
}

/// Position of the first rule that matches: a second implementation, as a scan without index.
fn oracle(config: &Config, f: &Facts) -> Option<usize> {
    config.rule.iter().position(|r| {
        let no_exception = results(&r.not, f).into_iter().all(|a| a != Some(true));
        results(&r.when, f).into_iter().all(|a| a != Some(false)) && no_exception
    })
}

/// For each condition whether it holds; nothing for those that aren't set.
fn results(w: &When, f: &Facts) -> Vec<Option<bool>> {
    let matches = |g: &Glob, text: &str| match g.as_str().split_once('*') {
        Some((prefix, _)) => text.get(..prefix.len()) == Some(prefix),
        None => text == g.as_str(),
    };
    let result = |is_set: bool, holds: bool| is_set.then_some(holds);
    let model = f.model.as_deref();
    let class = f.headers.get("x-class").map(String::as_str);
    let min = w.prompt.min.map(|s| f.prompt_bytes as u64 >= s.0);
    let max = w.prompt.max.map(|s| f.prompt_bytes as u64 <= s.0);
    let mut all = vec![
        result(!w.team.is_empty(), w.team.contains(&f.team)),
        result(
            !w.path.is_empty(),
            w.path.iter().any(|g| matches(g, &f.path)),
        ),
        result(!w.method.is_empty(), w.method.contains(&f.method)),
        result(
            !w.model.is_empty(),
            w.model.iter().any(|g| model.is_some_and(|m| matches(g, m))),
        ),
        result(
            !w.class.is_empty(),
            w.class.iter().any(|c| class == Some(c.as_str())),
        ),
        result(
            !w.hours.is_empty(),
            w.hours.iter().any(|x| window_contains(x, f.minute)),
        ),
        result(!w.days.is_empty(), w.days.contains(&f.weekday)),
        result(
            min.or(max).is_some(),
            min != Some(false) && max != Some(false),
        ),
    ];
    let header = |(k, g)| f.headers.get(k).is_some_and(|v| matches(g, v));
    all.extend(w.header.iter().map(|h| Some(header(h))));
    all
}

/// Whether a minute lies in a window, found by walking the window from its first minute to its
/// last.
fn window_contains(window: &TimeWindow, minute: u16) -> bool {
    let text = window.to_string();
    let number = |digits: std::ops::Range<usize>| text[digits].parse::<u16>().unwrap();
    let (from, to) = (
        number(0..2) * 60 + number(3..5),
        number(6..8) * 60 + number(9..11),
    );
    let mut current = from;
    loop {
        if current == minute {
            return true;
        }
        current += 1;
        if current == to || current % 1440 == to {
            return false;
        }
        current %= 1440;
    }
}

proptest! {
    #![proptest_config(seeded(256))]

    #[test]
    fn serialized_configuration_parses_to_the_same_configuration(config in config()) {
        let text = config.to_toml().unwrap();
        let (parsed, _) = rules::parse("", &text);
        prop_assert_eq!(&parsed, &config);
        prop_assert_eq!(parsed.to_toml().unwrap(), text);
    }

    #[test]
    fn index_finds_the_same_rule_as_a_scan(rules in ruleset(), facts in vec(facts(), 64)) {
        let unreachable: Vec<_> = rules
            .warnings()
            .iter()
            .filter_map(|f| match &f.kind {
                FaultKind::Unreachable { rule, .. } => Some(rule.as_str()),
                _ => None,
            })
            .collect();
        for f in &facts {
            let first = rules.first_match(f);
            prop_assert_eq!(first, oracle(rules.config(), f));
            let name = first.map(|i| rules.config().rule[i].name.as_str());
            prop_assert!(name.is_none_or(|n| !unreachable.contains(&n)));
            let explanation = rules.explain(f);
            prop_assert_eq!(explanation.decision.as_ref().map(|(i, _)| *i), first);
            prop_assert_eq!(
                explanation.skipped.len(),
                first.unwrap_or(rules.config().rule.len())
            );
            prop_assert!(explanation.skipped.iter().all(|s| !s.failed.holds(f)));
        }
    }

    #[test]
    fn rules_reported_as_unreachable_match_no_request(
        pairs in vec((sparse_when(), sparse_when()), 40),
        facts in vec(facts(), 64),
    ) {
        let rules = pairs.into_iter().map(|(when, not)| (when, not, Then::default()));
        let (config, faults) = rules::parse("", &config_with(rules.collect()).to_toml().unwrap());
        let matches = |name: &str, f: &Facts| {
            let rule = config.rule.iter().filter(|r| r.name == name).cloned().collect();
            oracle(&Config { rule, ..Config::default() }, f).is_some()
        };
        for fault in faults.0 {
            let counterexample = match &fault.kind {
                FaultKind::NeverMatches(rule) => facts.iter().find(|f| matches(rule, f)),
                FaultKind::Unreachable { rule, by } => {
                    facts.iter().find(|f| matches(rule, f) && !matches(by, f))
                }
                _ => None,
            };
            prop_assert_eq!(counterexample, None, "{}", fault);
        }
    }

    #[test]
    fn arbitrary_text_never_panics(bytes in vec(any::<u8>(), 0..200), text in "\\PC{0,200}") {
        let _ = RuleSet::compile(String::from_utf8_lossy(&bytes));
        let _ = RuleSet::compile(text);
    }

    #[test]
    fn arbitrary_fragments_of_rules_never_panic(
        pieces in vec(select(&[
            "[[rule]]", "[rule.when]", "[team.a]", "[pool.p]", "[", "]", "{", "}", "=", ",", "\n",
            "\n", "\n", "'", "\"", "name", "when", "then", "keys", "path", "pool", ".", "hours",
            "'06:00-07:00'", "'/v1/*'", "'*'", "'4MiB'", "'8s'", "1", "-1", "true", "rule", "ü", "\0",
        ][..]), 0..60)
    ) {
        let _ = RuleSet::compile(pieces.concat());
    }

    #[test]
    fn displayed_units_parse_to_the_same_value(us in any::<u64>(), bytes in any::<u64>(), w in window()) {
        let (span, size) = (Duration(model::Micros(us)), Size(bytes));
        prop_assert_eq!(span.to_string().parse(), Ok(span));
        prop_assert_eq!(size.to_string().parse(), Ok(size));
        prop_assert_eq!(w.to_string().parse(), Ok(w));
    }
}

#[test]
fn deep_nesting_is_reported_as_an_error() {
    for open in ["[", "{a=", "a."] {
        let faults = RuleSet::compile(format!("a = {}", open.repeat(100_000))).unwrap_err();
        assert!(faults.has_errors());
    }
}

#[test]
fn faults_of_truncated_samples_lie_within_the_text() {
    let samples = [
        (include_str!("../../../examples/quickstart.toml"), 1),
        (include_str!("../../../examples/association.toml"), 13),
        (include_str!("../../../examples/alpen.toml"), 13),
    ];
    for (text, step) in samples {
        let lines = text.lines().count();
        for end in (0..text.len())
            .step_by(step)
            .filter(|i| text.is_char_boundary(*i))
        {
            let (_, faults) = rules::parse("", &text[..end]);
            assert!(faults
                .0
                .iter()
                .all(|f| f.line <= lines + 1 && f.column >= 1));
        }
    }
}

//! Tables of cases for units, decisions, explanations and differences.

use assert_matches::assert_matches;
use model::{Class, Micros};
use rules::units::{Duration, Percent, Size, TimeWindow};
use rules::{diff, Condition, Facts, Limits, RuleSet, Weekday};

const BASE: &str = r#"
[limits]
requests = 10
body = "2MiB"
[pool.desk]
model = "m"
[pool.files]
kind = "plain"
[team.north]
keys = ["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
scope = "both"
limits = { requests = 50 }
[team.south]
keys = ["blake3:8fdc5dae2e216d75c4ec5b70078fb52dd5c22f2b619ba92757b734365c90b1da"]
[[rule]]
name = "on-call"
when = { path = ["/v1/*"], class = ["call"], hours = ["22:00-06:00"], prompt = { max = "1KiB" } }
then = { pool = "desk", class = "call", deadline = "1500ms", limits = { body = "1MiB" } }
[[rule]]
name = "no-south"
when = { team = ["south"], header = { x-kind = "old*" } }
not = { days = ["sat", "sun"] }
then = { refuse = "use the new kind", retry-after = "1m" }
[[rule]]
name = "desk"
when = { path = ["/v1/*"], model = ["m"] }
then = { pool = "desk", scope = "shared" }
[[rule]]
name = "files"
when = { path = ["/files/*"] }
then = { pool = "files" }
"#;

fn compile(text: impl AsRef<str>) -> RuleSet {
    RuleSet::compile(text).unwrap_or_else(|e| panic!("{e}"))
}

fn facts(team: &str, method: &str, path: &str) -> Facts {
    Facts {
        team: team.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        ..Facts::default()
    }
}

fn with(mut facts: Facts, headers: &[(&str, &str)]) -> Facts {
    let owned = |(k, v): &(&str, &str)| (String::from(*k), String::from(*v));
    facts.headers.extend(headers.iter().map(owned));
    facts
}

#[test]
fn durations_parse_and_display() {
    struct Case {
        text: &'static str,
        micros: Option<u64>,
        displayed: &'static str,
    }
    let case = |text, micros, displayed| Case {
        text,
        micros,
        displayed,
    };
    for c in [
        case("1500ms", Some(1_500_000), "1500ms"),
        case("8s", Some(8_000_000), "8s"),
        case("90s", Some(90_000_000), "90s"),
        case("120s", Some(120_000_000), "2m"),
        case("24h", Some(86_400_000_000), "1d"),
        case("0h", Some(0), "0s"),
        case("7us", Some(7), "7us"),
        case("8", None, ""),
        case("s", None, ""),
        case("8 s", None, ""),
        case("-8s", None, ""),
        case("1.5s", None, ""),
        case("8S", None, ""),
        case("213503982335d", None, ""),
    ] {
        let parsed: Option<Duration> = c.text.parse().ok();
        assert_eq!(parsed.map(|d| d.0 .0), c.micros, "{}", c.text);
        assert_eq!(parsed.map_or(String::new(), |d| d.to_string()), c.displayed);
    }
}

#[test]
fn sizes_percentages_and_windows_parse_and_display() {
    assert_eq!("4MiB".parse(), Ok(Size(4 << 20)));
    assert_eq!(Size(1536).to_string(), "1536B");
    assert_eq!(Size(1 << 40).to_string(), "1024GiB");
    assert_matches!("4MB".parse::<Size>(), Err(_));
    assert_matches!("17179869184GiB".parse::<Size>(), Err(_));
    assert_eq!("20%".parse(), Ok(Percent::from_permille(200)));
    assert_eq!("12.5%".parse(), Ok(Percent::from_permille(125)));
    assert_eq!(Percent::from_permille(125).to_string(), "12.5%");
    for bad in ["+2%", "%", "1.25%", ".5%", "5.%", "100.1%", "65536%"] {
        assert_matches!(bad.parse::<Percent>(), Err(_), "{bad}");
    }

    let night: TimeWindow = "22:00-06:00".parse().unwrap();
    let minutes = [1319, 1320, 1439, 0, 359, 360].map(|m| night.contains(m));
    assert_eq!(minutes, [false, true, true, true, true, false]);
    let day: TimeWindow = "00:00-24:00".parse().unwrap();
    assert!((0..1440).all(|m| day.contains(m)));
    for bad in [
        "24:00-01:00",
        "1:00-02:00",
        "00:00-00:00",
        "01:60-02:00",
        "01:00",
        "+1:00-02:00",
    ] {
        assert_matches!(bad.parse::<TimeWindow>(), Err(_), "{bad}");
    }
}

#[test]
fn unix_time_gives_minute_and_weekday() {
    struct Case {
        unix: u64,
        minute: u16,
        weekday: Weekday,
    }
    for c in [
        Case {
            unix: 0,
            minute: 0,
            weekday: Weekday::Thu,
        },
        Case {
            unix: 86_399,
            minute: 1439,
            weekday: Weekday::Thu,
        },
        Case {
            unix: 1_796_191_200,
            minute: 360,
            weekday: Weekday::Wed,
        },
    ] {
        let f = Facts::default().at_unix_time(c.unix);
        assert_eq!((f.minute, f.weekday), (c.minute, c.weekday));
    }
}

#[test]
fn decision_has_all_consequences() {
    let rules = compile(BASE);
    let call = with(
        facts("north", "POST", "/v1/completions"),
        &[("x-class", "call")],
    );
    let d = rules.decide(&call).unwrap();
    assert_eq!((d.rule.name.as_str(), d.class), ("on-call", Class::Call));
    assert_eq!(d.deadline, Some(Micros::from_millis(1500)));
    assert_eq!(d.scope, Some("both"));
    assert_eq!(
        d.limits,
        Limits {
            requests: Some(50),
            tokens: None,
            body: Some(Size(2 << 20))
        }
    );
    assert_eq!(d.max_body, Some(Size(1 << 20)));

    let on_monday = with(facts("south", "GET", "/files/1"), &[("x-kind", "older")]);
    let d = rules.decide(&on_monday).unwrap();
    assert_eq!((d.rule.name.as_str(), d.pool), ("no-south", None));
    let mut on_sunday = on_monday.clone();
    on_sunday.weekday = Weekday::Sun;
    let d = rules.decide(&on_sunday).unwrap();
    assert_eq!((d.rule.name.as_str(), d.scope), ("files", Some("south")));
    assert!(d.idempotent);
    assert_eq!(d.limits.requests, Some(10));

    let post = rules
        .decide(&facts("south", "POST", "/files/1"))
        .map(|d| d.idempotent);
    assert_eq!(post, Some(false));
    assert_eq!(rules.decide(&facts("south", "GET", "/elsewhere")), None);
}

#[test]
fn explanation_names_the_failed_conditions() {
    let rules = compile(BASE);
    let mut f = with(facts("south", "POST", "/v1/chat"), &[("x-class", "call")]);
    f.minute = 12 * 60;
    f.model = Some("m2".to_owned());
    let explanation = rules.explain(&f);
    assert_eq!(explanation.decision, None);
    assert_matches!(explanation.skipped[0].failed, Condition::Hours(_));
    assert_matches!(explanation.skipped[1].failed, Condition::Header(name, _) if name == "x-kind");
    let lines = [
        "1. on-call: wants hours `22:00-06:00`, found `12:00`",
        "2. no-south: wants header `x-kind` `old*`, found `none`",
        "3. desk: wants model `m`, found `m2`",
        "4. files: wants path `/files/*`, found `/v1/chat`",
        "no rule matches",
    ];
    assert_eq!(explanation.to_string(), lines.join("\n"));

    let mut f = with(facts("south", "GET", "/files/1"), &[("x-kind", "old")]);
    f.weekday = Weekday::Sat;
    let lines = [
        "1. on-call: wants path `/v1/*`, found `/files/1`",
        "2. no-south: wants not days `sat` or `sun`, found `sat`",
        "3. desk: wants path `/v1/*`, found `/files/1`",
        "4. files: matches; pool `files`, class `normal`, idempotent",
    ];
    assert_eq!(rules.explain(&f).to_string(), lines.join("\n"));
}

#[test]
fn differences_are_reported_by_object() {
    struct Case {
        /// Texts of `BASE` and their replacements.
        edits: &'static [(&'static str, &'static str)],
        lines: &'static [&'static str],
    }
    let cases = [
        Case {
            edits: &[],
            lines: &[],
        },
        // Moved tables and reordered lists are no change.
        Case {
            edits: &[
                ("days = [\"sat\", \"sun\"]", "days = [\"sun\", \"sat\"]"),
                ("[pool.files]\nkind = \"plain\"\n", ""),
                ("\n[limits]", "\n[pool.files]\nkind = \"plain\"\n[limits]"),
            ],
            lines: &[],
        },
        Case {
            edits: &[
                ("requests = 10", "tokens = 5"),
                ("[\"sat\", \"sun\"]", "[\"sun\", \"fri\"]"),
                ("deadline = \"1500ms\"", "deadline = \"2s\""),
                ("scope = \"both\"\n", ""),
            ],
            lines: &[
                "~ limits: requests: 10 -> unset",
                "~ limits: tokens: unset -> 5",
                "~ team `north`: scope: \"both\" -> unset",
                "~ rule `no-south`: not.days: -\"sat\" +\"fri\"",
                "~ rule `on-call`: then.deadline: \"1500ms\" -> \"2s\"",
            ],
        },
        Case {
            edits: &[
                ("[team.south]", "[team.west]"),
                ("team = [\"south\"]", "team = [\"west\"]"),
                ("name = \"files\"", "name = \"on-call\""),
                (
                    "name = \"on-call\"\nwhen = { path = [\"/v1/*\"]",
                    "name = \"files\"\nwhen = { path = [\"/v1/*\"]",
                ),
            ],
            lines: &[
                "- team `south`",
                "+ team `west`",
                "~ rule `files`: then.class: unset -> \"call\"",
                "~ rule `files`: then.deadline: unset -> \"1500ms\"",
                "~ rule `files`: then.limits.body: unset -> \"1MiB\"",
                "~ rule `files`: then.pool: \"files\" -> \"desk\"",
                "~ rule `files`: when.class: unset -> [\"call\"]",
                "~ rule `files`: when.hours: unset -> [\"22:00-06:00\"]",
                "~ rule `files`: when.path: -\"/files/*\" +\"/v1/*\"",
                "~ rule `files`: when.prompt.max: unset -> \"1KiB\"",
                "~ rule `no-south`: when.team: -\"south\" +\"west\"",
                "~ rule `on-call`: then.class: \"call\" -> unset",
                "~ rule `on-call`: then.deadline: \"1500ms\" -> unset",
                "~ rule `on-call`: then.limits.body: \"1MiB\" -> unset",
                "~ rule `on-call`: then.pool: \"desk\" -> \"files\"",
                "~ rule `on-call`: when.class: [\"call\"] -> unset",
                "~ rule `on-call`: when.hours: [\"22:00-06:00\"] -> unset",
                "~ rule `on-call`: when.path: -\"/v1/*\" +\"/files/*\"",
                "~ rule `on-call`: when.prompt.max: \"1KiB\" -> unset",
                "~ rule `files`: moved from place 4 to 1",
                "~ rule `on-call`: moved from place 1 to 4",
            ],
        },
    ];
    let old = compile(BASE);
    for case in cases {
        let edit = |text: String, (from, to): &(&str, &str)| text.replacen(from, to, 1);
        let new = compile(case.edits.iter().fold(BASE.to_owned(), edit));
        let changes = diff(&old, &new);
        let lines: Vec<_> = changes.0.iter().map(ToString::to_string).collect();
        assert_eq!(lines, case.lines, "{:?}", case.edits);
        assert_eq!(changes.is_empty(), case.lines.is_empty());
    }
}

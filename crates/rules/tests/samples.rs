//! The sample configurations compile without faults and decide as their comments say.

use rules::{Facts, RuleSet};

struct Case {
    file: &'static str,
    text: &'static str,
    /// API keys and the teams that they belong to.
    keys: &'static [(&'static str, &'static str)],
    /// Requests as team, method, path and requested class; decisions as rule, pool and whether the
    /// request may be executed more than once.
    decisions: &'static [(&'static str, &'static str)],
}

const CASES: &[Case] = &[
    Case {
        file: "examples/association.toml",
        text: include_str!("../../../examples/association.toml"),
        keys: &[
            ("sample-key-agency-1", "agency-1"),
            ("sample-key-agency-8", "agency-8"),
        ],
        decisions: &[
            (
                "agency-1 POST /v1/completions call",
                "coding-on-call lekha-llm repeatable",
            ),
            (
                "agency-2 POST /v1/completions batch",
                "write-up lekha-llm repeatable",
            ),
            (
                "agency-2 POST /v1/completions -",
                "coding-at-desk lekha-llm repeatable",
            ),
            ("agency-3 POST /quota/surat -", "quota-check fieldops once"),
            (
                "agency-3 GET /quota/surat -",
                "quota-read fieldops repeatable",
            ),
            (
                "agency-3 POST /records/7 call",
                "record-write fieldops once",
            ),
            ("agency-3 DELETE /records/7 -", "record-delete refused once"),
            (
                "agency-8 POST /v1/completions batch",
                "training-hours refused once",
            ),
        ],
    },
    Case {
        file: "examples/alpen.toml",
        text: include_str!("../../../examples/alpen.toml"),
        keys: &[
            ("sample-key-linz", "haulier-linz"),
            ("sample-key-inspectors", "inspectors"),
        ],
        decisions: &[
            (
                "inspectors POST /v1/completions batch",
                "roadside-check modell-fleet repeatable",
            ),
            (
                "inspectors POST /infringements/1 -",
                "roadside-fine tacho-core once",
            ),
            (
                "haulier-graz POST /infringements/1 -",
                "foreign-fine refused once",
            ),
            (
                "haulier-graz PUT /cards/1 -",
                "card-download tacho-core repeatable",
            ),
            (
                "haulier-graz GET /bills/1 -",
                "foreign-bill refused repeatable",
            ),
            ("billing POST /bills/1 -", "bill tacho-core once"),
            ("audit GET /bills/1 -", "read tacho-core repeatable"),
            (
                "training POST /v1/completions -",
                "training-hours refused once",
            ),
            (
                "dispatch POST /v1/completions batch",
                "week-write-up modell-fleet repeatable",
            ),
        ],
    },
    Case {
        file: "examples/quickstart.toml",
        text: include_str!("../../../examples/quickstart.toml"),
        keys: &[
            ("sample-key-one", "team-one"),
            ("sample-key-two", "team-two"),
        ],
        decisions: &[
            (
                "team-one POST /v1/completions -",
                "completions lekha-llm repeatable",
            ),
            (
                "team-one POST /v1/completions call",
                "on-call lekha-llm repeatable",
            ),
            ("team-two POST /records/1 -", "record-write fieldops once"),
            ("team-two GET /quota/north -", "quota fieldops repeatable"),
        ],
    },
];

/// Wednesday, 2 December 2026, 06:00 UTC.
const MORNING: u64 = 1_796_191_200;

fn facts(request: &str) -> Facts {
    let words: Vec<_> = request.split(' ').map(str::to_owned).collect();
    let [team, method, path, class] = <[String; 4]>::try_from(words).unwrap();
    Facts {
        team,
        method,
        path,
        headers: [("x-class".to_owned(), class)].into(),
        ..Facts::default()
    }
    .at_unix_time(MORNING)
}

fn decide(rules: &RuleSet, facts: &Facts) -> String {
    let d = rules.decide(facts).unwrap();
    let pool = d.pool.map_or("refused", |(name, _)| name);
    let executions = if d.idempotent { "repeatable" } else { "once" };
    format!("{} {pool} {executions}", d.rule.name)
}

#[test]
fn samples_compile_and_decide() {
    for case in CASES {
        let rules = RuleSet::compile_file(case.file, case.text).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(rules.warnings(), [], "{}", case.file);
        for (key, team) in case.keys {
            assert_eq!(rules.team(key).map(|(n, _)| n), Some(*team), "{key}");
        }
        assert_eq!(rules.team("sample-key-none"), None);
        for (request, decision) in case.decisions {
            let found = decide(&rules, &facts(request));
            assert_eq!(found, *decision, "{}: {request}", case.file);
        }
    }
}

//! The sample configurations are taken without a fault and decide as their comments say.

use rules::{Facts, RuleSet};

struct Case {
    file: &'static str,
    text: &'static str,
    keys: &'static [(&'static str, &'static str)],
    decided: &'static [Decided],
}

struct Decided {
    team: &'static str,
    method: &'static str,
    path: &'static str,
    class: &'static str,
    rule: &'static str,
    pool: Option<&'static str>,
    idempotent: bool,
}

const fn decided(
    (team, method, path, class): (&'static str, &'static str, &'static str, &'static str),
    rule: &'static str,
    pool: Option<&'static str>,
    idempotent: bool,
) -> Decided {
    Decided {
        team,
        method,
        path,
        class,
        rule,
        pool,
        idempotent,
    }
}

const CASES: &[Case] = &[
    Case {
        file: "examples/association.toml",
        text: include_str!("../../../examples/association.toml"),
        keys: &[
            ("sample-key-agency-1", "agency-1"),
            ("sample-key-agency-8", "agency-8"),
        ],
        decided: &[
            decided(
                ("agency-1", "POST", "/v1/completions", "call"),
                "coding-on-call",
                Some("lekha-llm"),
                true,
            ),
            decided(
                ("agency-3", "POST", "/quota/surat", ""),
                "quota-check",
                Some("fieldops"),
                false,
            ),
            decided(
                ("agency-3", "POST", "/records/7", "call"),
                "record-write",
                Some("fieldops"),
                false,
            ),
            decided(
                ("agency-3", "DELETE", "/records/7", ""),
                "record-delete",
                None,
                false,
            ),
            decided(
                ("agency-8", "POST", "/v1/completions", "batch"),
                "training-hours",
                None,
                false,
            ),
            decided(
                ("agency-2", "POST", "/v1/completions", "batch"),
                "write-up",
                Some("lekha-llm"),
                true,
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
        decided: &[
            decided(
                ("inspectors", "POST", "/v1/chat/completions", "batch"),
                "roadside-check",
                Some("modell-fleet"),
                true,
            ),
            decided(
                ("inspectors", "POST", "/infringements/1", ""),
                "roadside-fine",
                Some("tacho-core"),
                false,
            ),
            decided(
                ("haulier-graz", "POST", "/infringements/1", ""),
                "foreign-fine",
                None,
                false,
            ),
            decided(
                ("billing", "POST", "/bills/1", ""),
                "bill",
                Some("tacho-core"),
                false,
            ),
            decided(
                ("haulier-graz", "GET", "/bills/1", ""),
                "foreign-bill",
                None,
                true,
            ),
            decided(
                ("audit", "GET", "/bills/1", ""),
                "read",
                Some("tacho-core"),
                true,
            ),
            decided(
                ("dispatch", "POST", "/v1/completions", "batch"),
                "week-write-up",
                Some("modell-fleet"),
                true,
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
        decided: &[
            decided(
                ("team-one", "POST", "/v1/completions", ""),
                "completions",
                Some("lekha-llm"),
                true,
            ),
            decided(
                ("team-two", "POST", "/records/1", ""),
                "record-write",
                Some("fieldops"),
                false,
            ),
            decided(
                ("team-two", "GET", "/quota/north", ""),
                "quota",
                Some("fieldops"),
                true,
            ),
        ],
    },
];

/// Wednesday, 2 December 2026, 06:00 UTC.
const MORNING: u64 = 1_796_191_200;

#[test]
fn samples_compile_and_decide() {
    for case in CASES {
        let rules = RuleSet::compile_file(case.file, case.text).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(rules.warnings(), [], "{}", case.file);
        for (key, team) in case.keys {
            assert_eq!(rules.team(key).map(|(n, _)| n), Some(*team), "{key}");
        }
        assert_eq!(rules.team("sample-key-none"), None);
        for d in case.decided {
            let mut facts = Facts {
                team: d.team.to_owned(),
                method: d.method.to_owned(),
                path: d.path.to_owned(),
                ..Facts::default()
            }
            .at(MORNING);
            facts.headers.insert("x-class".into(), d.class.into());
            let found = rules.decide(&facts).map(|found| {
                let pool = found.pool.map(|(name, _)| name);
                (found.rule.name.as_str(), pool, found.idempotent)
            });
            let want = Some((d.rule, d.pool, d.idempotent));
            assert_eq!(found, want, "{}: {facts:?}", case.file);
        }
    }
}

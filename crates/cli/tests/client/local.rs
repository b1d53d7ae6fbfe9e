//! The commands that don't call the fleet, and invalid command lines.

use crate::fake::{self, KEY};

const TEXT: &str = r#"
pool = { desk.model = "m", spare.model = "m" }
team.north.keys = ["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
rule = [
  { name = "night", when = { hours = ["22:00-06:00"], days = ["mon"] },
    then = { refuse = "closed", retry-after = "1h" } },
  { name = "long", when.prompt.min = "1KiB", then = { pool = "desk", class = "batch" } },
  { name = "urgent", when = { header.x-class = "call", model = ["m*"] },
    then = { pool = "desk", class = "call" } },
  { name = "rest", then.pool = "desk" }]
"#;

/// A run of the client and its expected result. `FILE`, `FAULTY` and `EMPTY` in the arguments
/// stand for files.
struct Case<'a> {
    args: &'a str,
    code: i32,
    /// Expected parts of standard output.
    out: &'a [&'a str],
    /// Expected parts of standard error.
    err: &'a [&'a str],
}

const CASE: Case<'static> = Case {
    args: "",
    code: 0,
    out: &[],
    err: &[],
};

/// Runs cases with the given environment and standard input.
async fn check(name: &str, env: &[(&str, &str)], stdin: &str, cases: &[Case<'_>]) {
    let file = fake::file(&format!("{name}.toml"), TEXT);
    let faulty = fake::file(&format!("{name}-faulty.toml"), "rule = 1\npoll = 2\n");
    let empty = fake::file(&format!("{name}.key"), "\n");
    let files = [("FILE", file), ("FAULTY", faulty), ("EMPTY", empty)];
    for case in cases {
        let run = fake::run(case.args, &files, env, stdin).await;
        assert_eq!(run.code, Some(case.code), "{}: {run:?}", case.args);
        run.assert_output(case.args, case.out, case.err);
    }
}

#[tokio::test]
async fn check_reports_warnings_and_faults() {
    let cases = [
        Case {
            args: "check FILE",
            out: &["no errors (pools: 2, teams: 1, rules: 4, warnings: 1)"],
            err: &["checks.toml:2:28: ", "warning: pool.spare: "],
            ..CASE
        },
        Case {
            args: "check FAULTY",
            code: 1,
            err: &["checks-faulty.toml:1:", "error", "did you mean `pool`?"],
            ..CASE
        },
        Case {
            args: "check nowhere.toml",
            code: 2,
            err: &["nowhere.toml: "],
            ..CASE
        },
    ];
    check("checks", &[], "", &cases).await;
}

#[tokio::test]
async fn explain_shows_the_deciding_rule_and_why_earlier_ones_do_not_match() {
    let cases = [
        Case {
            args: "explain FILE --team north --path /v1/completions?x=1 --at 2026-03-02T23:10:00Z",
            out: &["1. night: matches; refused: closed, retry after 1h"],
            ..CASE
        },
        Case {
            args: "explain FILE --team north --path /v1 --at 2026-03-02T14:30:00Z --model m1 \
                   --header X-Class=call --prompt-bytes 1000",
            out: &[
                "1. night: wants hours `22:00-06:00`, found `14:30`\n",
                "2. long: wants prompt from 1KiB, found `1000B`\n",
                "3. urgent: matches; pool `desk`, class `call`",
            ],
            ..CASE
        },
        Case {
            args: "explain FILE --team south --path /v1 --at 2026-03-03T14:30:00+01:00",
            out: &["4. rest: matches"],
            err: &["no team is named `south`"],
            ..CASE
        },
    ];
    check("explains", &[], "", &cases).await;
}

#[tokio::test]
async fn digest_of_a_key_from_standard_input() {
    let case = Case {
        args: "digest",
        out: &["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0\n"],
        ..CASE
    };
    check("digests", &[], "sample-key-one\n", &[case]).await;
}

#[tokio::test]
async fn invalid_command_line_has_its_own_exit_code() {
    // Guards against the exit code of a faulty configuration for an invalid command line, since
    // scripts decide by that code whether the file is valid. No call may be sent.
    let invalid = [
        ("aply FILE", "--help"),
        ("apply FILE --wait 10", "`10` is no duration"),
        ("digest", "standard input contains no key"),
        ("explain FILE --team a --path v1", "`v1` doesn't begin"),
        ("explain FILE --team a --path / --at x", "`x` is not a time"),
        (
            "explain FILE --team a --path / --header x",
            "`x` is not a header",
        ),
        ("status", "no entry given"),
        (
            "status --entry localhost",
            "`localhost` is not an address of the form HOST:PORT",
        ),
        (
            "status --entry a:1 --operator-key-file EMPTY",
            "no operators' key",
        ),
        ("status --entry a:1 --operator-key-file none", "none: "),
        (
            "apply FILE --entry a:1 --base 1 --force",
            "mutually exclusive",
        ),
        (
            "apply FILE --entry a:1 --force --operation 1",
            "`1` is not an operation id",
        ),
    ];
    let env = [("CLEMENTINESTEP_OPERATOR_KEY", KEY)];
    for (args, err) in invalid {
        let case = Case {
            args,
            code: 2,
            err: &[err],
            ..CASE
        };
        check("invalid", &env, "", &[case]).await;
    }
    let keyless = Case {
        args: "status --entry a:1",
        code: 2,
        err: &["no operators' key"],
        ..CASE
    };
    let help = Case {
        args: "apply --help",
        out: &["--base", "--force", "--wait"],
        ..CASE
    };
    check("help", &[], "", &[keyless, help]).await;
}

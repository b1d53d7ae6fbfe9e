//! Every kind of fault, with the position, key and message that an operator sees.

use assert_matches::assert_matches;
use rules::{Fault, FaultKind, NameKind, RuleSet, Severity};

/// Appended to the text of each case, which then has no faults other than those that are listed.
const VALID_REST: &str = r#"
[pool.desk]
model = "m"
[team.north]
keys = ["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
[[rule]]
name = "all"
then = { pool = "desk" }
"#;

struct Case {
    text: &'static str,
    faults: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        text: r#"[limits
"#,
        faults: &[
            "1:8: error: unclosed table, expected `]`",
        ],
    },
    Case {
        text: r#"limits = { requests = 1, requests = 2 }"#,
        faults: &[
            "1:26: error: duplicate key",
        ],
    },
    Case {
        text: r#"[limitz]
requests = 1"#,
        faults: &[
            "1:2: warning: limitz: unknown key `limitz`  (did you mean `limits`?)",
        ],
    },
    Case {
        text: r#"[pool.desk2]
kind = "plain"
modle = 1
[[rule]]
name = "a"
when.pth = "/"
when.path = "/"
then.pool = "desk2""#,
        faults: &[
            "3:1: warning: pool.desk2.modle: unknown key `modle`  (did you mean `model`?)",
            "6:6: error: rule[0].when.pth: unknown key `pth`  (did you mean `path`?)",
        ],
    },
    Case {
        text: r#"limits = { requests = "many", body = 4 }
region = 1
drain = { notice = [] }"#,
        faults: &[
            "1:23: error: limits.requests: expected integer, found string",
            "1:38: error: limits.body: expected string, found integer",
            "2:10: error: region: expected table, found integer",
            "3:20: error: drain.notice: expected string, found array",
        ],
    },
    Case {
        text: r#"limits = { requests = -1, tokens = 4_294_967_296 }"#,
        faults: &[
            "1:23: error: limits.requests: `-1` is not a whole number from 0 to 4294967295",
            "1:36: error: limits.tokens: `4294967296` is not a whole number from 0 to 4294967295",
        ],
    },
    Case {
        text: r#"[limits]
body = "4MB"
[drain]
notice = "8 s"
[admit]
reserve = "101%""#,
        faults: &[
            "2:8: error: limits.body: `4MB` is no size; write a whole number and B, KiB, MiB or GiB",
            "4:10: error: drain.notice: `8 s` is no duration; write a whole number and us, ms, s, m, h or d",
            "6:11: error: admit.reserve: `101%` is no percentage; write a number from 0 to 100, with at most one decimal, and %",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when = { hours = ["06:00-06:00"], days = ["mon", "thursday"], class = "cal" }
then = { pool = "desk" }"#,
        faults: &[
            "3:19: error: rule[0].when.hours[0]: `06:00-06:00` is no window; write two different times of day as `06:00-18:30`",
            "3:50: error: rule[0].when.days[1]: `thursday` is not one of `mon`, `tue`, `wed`, `thu`, `fri`, `sat`, `sun`  (did you mean `thu`?)",
            "3:71: error: rule[0].when.class: `cal` is not one of `call`, `normal`, `batch`  (did you mean `call`?)",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when = { path = ["/ok", "/a*b"], method = "PSOT" }
then = { pool = "desk" }"#,
        faults: &[
            "3:25: error: rule[0].when.path[1]: `/a*b` is no pattern; `*` is allowed only at the end",
            "3:43: error: rule[0].when.method[0]: `PSOT` is not one of `GET`, `HEAD`, `POST`, `PUT`, `PATCH`, `DELETE`, `OPTIONS`  (did you mean `POST`?)",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when = { path = "v1/*", header = { "X-Kind" = "*" } }
then = { pool = "desk" }"#,
        faults: &[
            "3:17: error: rule[0].when.path[0]: path `v1/*` doesn't begin with `/`",
            "3:47: error: rule[0].when.header.X-Kind: `X-Kind` is no header name; names are written in lower case",
        ],
    },
    Case {
        text: r#"[concurrency]
least = 32
[health]
out = "1h"
slow = 0"#,
        faults: &[
            "2:9: error: concurrency.least: `least` is above `first`",
            "4:7: error: health.out: `out` is above `longest`",
            "5:8: error: health.slow: `slow` can't be zero",
        ],
    },
    Case {
        text: r#"[region.east]
domains = ["a", "b"]
[region.west]
domains = ["c", "a"]
[region.void]"#,
        faults: &[
            "4:17: error: region.west.domains[1]: failure domain `a` is already in region `east`",
            "5:9: error: region.void: region `void` has no failure domain",
        ],
    },
    Case {
        text: r#"[region."a b"]
domains = ["ü"]"#,
        faults: &[
            "1:9: error: region.a b: `a b` is no name; names are letters, digits, `-`, `_` and `.`",
            "2:12: error: region.a b.domains[0]: `ü` is no name; names are letters, digits, `-`, `_` and `.`",
        ],
    },
    Case {
        text: r#"[pool.spare]
model = "m"
permits = 0
concurrency = 0"#,
        faults: &[
            "1:7: warning: pool.spare: no rule sends anything to pool `spare`",
            "3:11: error: pool.spare.permits: `permits` can't be zero",
            "4:15: error: pool.spare.concurrency: `concurrency` can't be zero",
        ],
    },
    Case {
        text: r#"[pool.bare]
[[rule]]
name = "a"
when.path = "/"
then.pool = "bare""#,
        faults: &[
            "1:7: warning: pool.bare: model pool `bare` names no model",
        ],
    },
    Case {
        text: r#"[pool.files]
kind = "plain"
model = "m"
kept = "dsk"
[[rule]]
name = "a"
when.path = "/"
then.pool = "files""#,
        faults: &[
            "3:9: warning: pool.files.model: `model` has no effect in a pool of kind `plain`",
            "4:8: error: pool.files.kept: no pool is named `dsk`  (did you mean `desk`?)",
            "4:8: warning: pool.files.kept: `kept` has no effect in a pool of kind `plain`",
        ],
    },
    Case {
        text: r#"[pool.more]
model = "m"
kept = "desk"
[[rule]]
name = "a"
when.path = "/"
then.pool = "more""#,
        faults: &[
            "3:8: error: pool.more.kept: kept KV cache needs a pool of kind `plain`, but `desk` is of kind `model`",
        ],
    },
    Case {
        text: r#"[team.a]
keys = ["blake3:12", "secret"]
[team.b]
share = 0"#,
        faults: &[
            "2:9: error: team.a.keys[0]: a key is `blake3:` and 64 hexadecimal digits",
            "2:22: error: team.a.keys[1]: a key is `blake3:` and 64 hexadecimal digits",
            "3:7: warning: team.b: team `b` has no key, so no caller can authenticate as it",
            "4:9: error: team.b.share: `share` can't be zero",
        ],
    },
    Case {
        text: r#"[team.south]
keys = ["blake3:69521577388302CD6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
limits = { requests = 0 }"#,
        faults: &[
            "2:9: error: team.south.keys[0]: team `north` has the same key",
            "3:23: error: team.south.limits.requests: `requests` can't be zero",
        ],
    },
    Case {
        text: r#"[team.south]
keys = ["blake3:8fdc5dae2e216d75c4ec5b70078fb52dd5c22f2b619ba92757b734365c90b1da"]
scope = "north""#,
        faults: &[
            "3:9: error: team.south.scope: scope `north` is that of team `north`, which doesn't share it with `south`",
        ],
    },
    Case {
        text: r#"[[rule]]
when.path = "/"
then.pool = "desk""#,
        faults: &[
            "1:1: error: rule[0]: the rule has no name",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "all"
when.path = "/"
then.pool = "desk""#,
        faults: &[
            "11:8: error: rule[1].name: rule `all` stands twice",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.path = "/"
[[rule]]
name = "b"
when.path = "/b"
then = { pool = "desk", refuse = "no" }"#,
        faults: &[
            "1:1: error: rule[0]: rule `a` has neither `pool` nor `refuse`",
            "7:34: error: rule[1].then.refuse: rule `b` has both `pool` and `refuse`",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.team = ["north", "nroth"]
not = { team = "far" }
then.pool = "dek""#,
        faults: &[
            "3:23: error: rule[0].when.team[1]: no team is named `nroth`  (did you mean `north`?)",
            "4:16: error: rule[0].not.team[0]: no team is named `far`",
            "5:13: error: rule[0].then.pool: no pool is named `dek`  (did you mean `desk`?)",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when = { path = "/v1/*", not-a = 1 }
then.pool = "desk""#,
        faults: &[
            "3:26: error: rule[0].when.not-a: unknown key `not-a`",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.path = "/v1/*"
then.pool = "desk"
[[rule]]
name = "b"
when = { path = ["/v1/b", "/v1/c*"], method = "GET" }
then.pool = "desk""#,
        faults: &[
            "5:1: warning: rule[1]: rule `b` is never reached: `a` matches all that it does",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.team = "north"
not.team = "north"
then.pool = "desk""#,
        faults: &[
            "1:1: error: rule[0]: rule `a` can't match: its conditions exclude one another",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.prompt = { min = "2KiB", max = "1KiB" }
then.pool = "desk""#,
        faults: &[
            "3:23: error: rule[0].when.prompt.min: `min` is above `max`",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.path = "/"
then = { pool = "desk", retry-after = "1s", deadline = "0s" }"#,
        faults: &[
            "4:39: warning: rule[0].then.retry-after: `retry-after` has no effect without `refuse`",
            "4:56: error: rule[0].then.deadline: `deadline` can't be zero",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.path = "/"
then = { refuse = "no", class = "call", idempotent = true }"#,
        faults: &[
            "4:33: warning: rule[0].then.class: `class` has no effect beside `refuse`",
            "4:54: warning: rule[0].then.idempotent: `idempotent` has no effect beside `refuse`",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.path = "/"
then = { pool = "desk", set = { host = "h", "X-A" = "b", x-b = "\n" } }"#,
        faults: &[
            "4:40: error: rule[0].then.set.host: header `host` is set by the router itself",
            "4:53: error: rule[0].then.set.X-A: `X-A` is no header name; names are written in lower case",
            "4:64: error: rule[0].then.set.x-b: the value of header `x-b` contains characters that can't be sent",
        ],
    },
    Case {
        text: r#"[limits]
requests = 10
[[rule]]
name = "a"
when = { path = "/", prompt = { min = "2KiB" } }
then = { pool = "desk", limits = { requests = 20, tokens = 0, body = "1KiB" } }"#,
        faults: &[
            "6:47: warning: rule[0].then.limits.requests: limit `requests` has no effect: each team that the rule matches has a lower one",
            "6:60: error: rule[0].then.limits.tokens: `tokens` can't be zero",
            "6:70: error: rule[0].then.limits.body: the largest body allowed is smaller than the smallest prompt matched",
        ],
    },
    Case {
        text: r#"[[rule]]
name = "a"
when.path = "/"
then = { pool = "desk", scope = "south" }
[team.south]
keys = ["blake3:8fdc5dae2e216d75c4ec5b70078fb52dd5c22f2b619ba92757b734365c90b1da"]"#,
        faults: &[
            "4:33: error: rule[0].then.scope: scope `south` is that of team `south`, which doesn't share it with `north`",
        ],
    },
];

#[test]
fn every_fault_has_its_position_key_and_message() {
    for case in CASES {
        let found = match RuleSet::compile(format!("{}\n{VALID_REST}", case.text)) {
            Ok(rules) => rules.warnings().to_vec(),
            Err(faults) => faults.0,
        };
        let found: Vec<_> = found.iter().map(ToString::to_string).collect();
        assert_eq!(found, case.faults, "{}", case.text);
    }
}

#[test]
fn the_valid_rest_has_no_faults() {
    assert_matches!(RuleSet::compile(VALID_REST), Ok(rules) if rules.warnings().is_empty());
}

#[test]
fn faults_have_kinds_and_name_their_file() {
    let text = "[team.a]\n[pool.b]\nkind = 'plain'\n[[rule]]\nname = 'c'\nthen.pool = 'bb'";
    let faults = RuleSet::compile_file("rules.toml", text).unwrap_err();
    assert_matches!(
        faults.0.as_slice(),
        [
            Fault { kind: FaultKind::TeamWithoutKey(team), severity: Severity::Warning, line: 1, column: 7, .. },
            Fault { kind: FaultKind::UnusedPool(_), .. },
            Fault { kind: FaultKind::UnknownName { kind: NameKind::Pool, hint: Some(hint), .. }, .. },
        ] if team == "a" && hint == "b"
    );
    let message =
        "rules.toml:6:13: error: rule[0].then.pool: no pool is named `bb`  (did you mean `b`?)";
    assert_eq!(faults.0[2].to_string(), message);
}

//! The commands that call the fleet, run against fake entries.

use crate::fake::Answer::{Disconnect, Respond};
use crate::fake::Entry::{Unreachable, Up};
use crate::fake::{self, Answer, Entry, Fleet, Script, KEY};
use serde_json::{json, Value};
use viz::Method;

/// Configuration text of version 7, which the fake entries have in force.
const OLD: &str = r#"
pool.desk.model = "m"
team.north.keys = ["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
rule = [{ name = "all", then.pool = "desk" }]
"#;

/// Configuration that the operator applies.
const NEW: &str = r#"
pool.desk.model = "m"
team.north.keys = ["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
rule = [{ name = "quota", when.path = ["/quota/*"], then.refuse = "closed" },
  { name = "all", then = { pool = "desk", class = "call" } }]
"#;

/// Configuration that the client itself finds faulty.
const FAULTY: &str = "[pool.desk]\nkind = \"modle\"\n";

const OPERATION: &str = "00112233445566778899aabbccddeeff";

const VERSION_7: &[Answer] = &[Respond(
    200,
    r#"{"version":7,"digest":"d7d7","text":"TEXT"}"#,
)];
const ACCEPTED: Answer = Respond(200, r#"{"version":8}"#);
const PLATFORM_DOWN: Answer = Respond(503, r#"{"error":{"code":"platform_down"}}"#);
const UNKNOWN_OUTCOME: Answer = Respond(504, r#"{"error":{"code":"unknown_outcome"}}"#);
const UNAUTHORIZED: Answer = Respond(401, r#"{"error":{"code":"unauthorized"}}"#);
const CONFLICT: Answer = Respond(
    409,
    r#"{"error":{"code":"conflict","message":"m","version":9,"author":"bob","operation":"b0b"}}"#,
);
const OWN_CONFLICT: Answer = Respond(
    409,
    r#"{"error":{"code":"conflict","message":"m","version":8,"author":"eve",
        "operation":"00112233445566778899aabbccddeeff"}}"#,
);
const REJECTED: Answer = Respond(
    400,
    r#"{"error":{"code":"faults","message":"m","faults":[
        "3:1: error: a key of the future",
        "a second fault"]}}"#,
);

/// An entry and a sidecar with version 8, and members that have left or died with older versions.
const ALL_UP_TO_DATE: Answer = Respond(
    200,
    r#"{"version":8,"digest":"d8d8","members":[
    {"id":"e1","role":"entry","host":"h1","domain":"amd-a","region":"guj-west","pool":null,
     "state":"alive","version":8,"peer":"10.0.0.1:1"},
    {"id":"51","role":"sidecar","host":"h2","domain":"amd-b","region":"guj-west","pool":"desk",
     "state":"leaving","version":8,"peer":"10.0.0.2:1"},
    {"id":"52","role":"sidecar","host":"h3","domain":"amd-b","region":"guj-west","pool":"desk",
     "state":"left","version":7,"peer":"10.0.0.3:1"},
    {"id":"53","role":"sidecar","host":"h4","domain":"amd-b","region":"guj-west","pool":"desk",
     "state":"dead","version":2,"peer":"10.0.0.4:1"}]}"#,
);

/// An entry with version 8 and a suspect sidecar with version 7.
const SIDECAR_LAGS: Answer = Respond(
    200,
    r#"{"version":8,"digest":"d8d8","members":[
    {"id":"e1","role":"entry","host":"h1","domain":"amd-a","region":"guj-west","pool":null,
     "state":"alive","version":8,"peer":"10.0.0.1:1"},
    {"id":"51","role":"sidecar","host":"h2","domain":"amd-b","region":"guj-west","pool":"desk",
     "state":"suspect","version":7,"peer":"10.0.0.2:1"}]}"#,
);

/// The queried entry has version 7, and no member lags behind version 8.
const ENTRY_LAGS: Answer = Respond(200, r#"{"version":7,"digest":"d7d7","members":[]}"#);

const HISTORY: Answer = Respond(
    200,
    r#"{"current":{"version":8,"digest":"d8d8","operation":"0a","author":"asha","at":1764710400},
    "past":[{"version":7,"digest":"d7d7","operation":"0b","author":"b\nob","at":0}]}"#,
);

/// A fleet that accepts a change and has it in force at once.
const HEALTHY: Script = Script {
    put: &[ACCEPTED],
    configuration: VERSION_7,
    history: &[HISTORY],
    status: &[ALL_UP_TO_DATE],
};

const fn put(put: &'static [Answer]) -> Entry {
    Up(Script { put, ..HEALTHY })
}

const fn status(status: &'static [Answer]) -> Entry {
    Up(Script { status, ..HEALTHY })
}

const fn history(history: &'static [Answer]) -> Entry {
    Up(Script { history, ..HEALTHY })
}

/// A run of the client and its expected result. `FILE` in the arguments stands for a file with
/// `text`.
struct Case<'a> {
    name: &'a str,
    args: &'a str,
    text: &'a str,
    entries: &'a [Entry],
    code: i32,
    /// Expected parts of standard output.
    out: &'a [&'a str],
    /// Expected parts of standard error.
    err: &'a [&'a str],
    /// Expected number of calls that change the configuration.
    puts: usize,
}

const APPLY: Case<'static> = Case {
    name: "",
    args: "apply FILE",
    text: NEW,
    entries: &[Up(HEALTHY)],
    code: 0,
    out: &[],
    err: &[],
    puts: 1,
};

const READ: Case<'static> = Case { puts: 0, ..APPLY };

/// Runs a case and returns the changes that the fake entries received.
async fn check(case: &Case<'_>) -> Vec<Value> {
    let name = case.name;
    let fleet = Fleet::start(case.entries).await;
    let file = fake::file(&format!("{}.toml", name.replace(' ', "-")), case.text);
    let entries: Vec<_> = fleet.entries.iter().map(|e| e.to_string()).collect();
    let env = [
        ("CLEMENTINESTEP_OPERATOR_KEY", KEY),
        ("CLEMENTINESTEP_ENTRIES", &entries.join(",")),
        ("USER", "asha"),
    ];
    let run = fake::run(case.args, &[("FILE", file)], &env, "").await;
    assert_eq!(run.code, Some(case.code), "{name}: {run:?}");
    run.assert_output(name, case.out, case.err);
    let calls = fleet.calls();
    assert!(
        calls.iter().all(|c| c.has_key),
        "{name}: a call lacks the key"
    );
    let puts = calls.into_iter().filter(|c| c.method == Method::PUT);
    let puts: Vec<_> = puts.map(|c| c.body).collect();
    assert_eq!(puts.len(), case.puts, "{name}: {puts:?}");
    puts
}

#[tokio::test]
async fn apply_sends_the_base_author_and_operation_of_its_options() {
    const REPEAT: &str = "apply FILE --base 7 --operation 00112233445566778899aabbccddeeff";
    let cases = [
        ("apply FILE", json!({"base": 7, "author": "asha"})),
        (
            "apply FILE --base 3 --author e",
            json!({"base": 3, "author": "e"}),
        ),
        (
            "apply FILE --force",
            json!({"base": null, "author": "asha"}),
        ),
        (REPEAT, json!({"base": 7, "operation": OPERATION})),
    ];
    for (args, want) in cases {
        let case = Case {
            name: "options",
            args,
            out: &["version 8 is in force on 2 members after "],
            ..APPLY
        };
        let got = check(&case).await.remove(0);
        for (key, value) in want.as_object().unwrap() {
            assert_eq!(&got[key], value, "{args}: {key}");
        }
        assert_eq!(got["text"], NEW);
        let id = got["operation"].as_str().unwrap();
        assert!(id.len() == 32 && id.bytes().all(|b| b.is_ascii_hexdigit()));
    }
}

#[tokio::test]
async fn later_of_two_changes_to_one_version_is_a_conflict() {
    // Guards against a change that silently overwrites another operator's change to the same
    // version. The error must name the first author and say that nothing was changed.
    for (name, entries, puts) in [
        ("race", put(&[CONFLICT]), 1),
        ("race after a lost answer", put(&[Disconnect, CONFLICT]), 2),
    ] {
        let case = Case {
            name,
            args: "apply FILE --retry 90s",
            entries: &[entries],
            code: 5,
            err: &["version 9 by bob came first (operation b0b); nothing was changed"],
            puts,
            ..APPLY
        };
        check(&case).await;
    }
}

#[tokio::test]
async fn change_with_a_lost_answer_is_repeated_under_the_same_operation() {
    // Guards against a reported failure, or a second change, when the platform accepted a change
    // but the answer was lost: the connection broke, or the entry didn't learn the outcome.
    let cases: [(_, &[Entry], _); 6] = [
        ("cut", &[put(&[Disconnect, ACCEPTED])], 2),
        (
            "cut, accepted by another entry",
            &[put(&[Disconnect]), put(&[ACCEPTED])],
            2,
        ),
        (
            "uncertain",
            &[put(&[UNKNOWN_OUTCOME, UNKNOWN_OUTCOME, ACCEPTED])],
            3,
        ),
        (
            "uncertain, then platform down",
            &[put(&[UNKNOWN_OUTCOME, PLATFORM_DOWN, ACCEPTED])],
            3,
        ),
        ("unreadable", &[put(&[Respond(200, "{}"), ACCEPTED])], 2),
        (
            "conflict with itself",
            &[put(&[UNKNOWN_OUTCOME, OWN_CONFLICT])],
            2,
        ),
    ];
    for (name, entries, puts) in cases {
        let case = Case {
            name,
            args: "apply FILE --retry 90s --operation 00112233445566778899aabbccddeeff",
            entries,
            out: &["version 8 is in force"],
            puts,
            ..APPLY
        };
        let puts = check(&case).await;
        let same = puts.windows(2).all(|w| w[0] == w[1]);
        assert!(same, "{name}: calls differ: {puts:?}");
    }
}

#[tokio::test]
async fn outcome_that_stays_unknown_is_not_reported_as_a_failure() {
    // Guards against "failed" or "refused" for a change that may have been accepted; an operator
    // could then overwrite a colleague's change. The message says how to find the outcome.
    let mixed = &[
        put(&[UNKNOWN_OUTCOME]),
        put(&[UNAUTHORIZED]),
        put(&[PLATFORM_DOWN]),
        Unreachable,
    ];
    let cases: [(_, &[Entry], _, _); 4] = [
        ("uncertain", &[put(&[UNKNOWN_OUTCOME])], "status 504", 1),
        ("cut", &[put(&[Disconnect])], "connection lost", 1),
        (
            "broken",
            &[put(&[Respond(500, "oops")])],
            "status 500: oops",
            1,
        ),
        (
            "uncertain, then refused",
            mixed,
            "the platform is unavailable",
            3,
        ),
    ];
    for (name, entries, why, puts) in cases {
        let case = Case {
            name,
            args: "apply FILE --retry 0s --operation 00112233445566778899aabbccddeeff",
            entries,
            code: 7,
            err: &[
                "may have been accepted",
                why,
                "--operation 00112233445566778899aabbccddeeff --base 7",
            ],
            puts,
            ..APPLY
        };
        check(&case).await;
    }
}

#[tokio::test]
async fn member_with_an_older_version_is_named() {
    // Guards against a change reported as in force while a member that is cut off or paused still
    // decides requests by the old rules. The message must name the member.
    const NOW: &str = "apply FILE --wait 0s";
    const LATER: &str = "apply FILE --wait 90s";
    const SIDECAR: &str = "1 of 2 live members lag, and the queried entry has version 8\n  \
        sidecar 51 on h2 in amd-b: version 7, suspect, 10.0.0.2:1\n";
    const ENTRY: &str = "the queried entry has version 7";
    const UNSEEN: &str = "version 8 was accepted, but it is unknown which members have it";
    const HALF: &str = "version 8: 1 of 2 members\n";
    let late = status(&[SIDECAR_LAGS, SIDECAR_LAGS, ALL_UP_TO_DATE]);
    let cases: [(_, &[Entry], _, _); 5] = [
        (NOW, &[status(&[SIDECAR_LAGS])], 6, SIDECAR),
        (NOW, &[status(&[ENTRY_LAGS])], 6, ENTRY),
        (NOW, &[status(&[Disconnect])], 6, UNSEEN),
        (NOW, &[status(&[Disconnect]), Up(HEALTHY)], 0, ""),
        (LATER, &[late], 0, HALF),
    ];
    for (args, entries, code, message) in cases {
        let case = Case {
            name: "propagation",
            args,
            entries,
            code,
            err: &[message],
            ..APPLY
        };
        check(&case).await;
    }
}

#[tokio::test]
async fn platform_outage_is_reported() {
    // The platform's table is unavailable: no change can be accepted and the history can't be read.
    // Guards against a change whose rejection isn't reported, or is reported as another failure.
    let none = &[put(&[PLATFORM_DOWN]), put(&[PLATFORM_DOWN]), Unreachable];
    let one = &[put(&[PLATFORM_DOWN]), put(&[ACCEPTED])];
    let cases: [(_, &[Entry], _, _, _); 3] = [
        ("apply FILE", none, 8, "the change was not accepted", 2),
        ("apply FILE", one, 0, "", 2),
        (
            "history",
            &[history(&[PLATFORM_DOWN])],
            8,
            "the platform is unavailable",
            0,
        ),
    ];
    for (args, entries, code, message, puts) in cases {
        let case = Case {
            name: "platform",
            args,
            entries,
            code,
            err: &[message],
            puts,
            ..APPLY
        };
        check(&case).await;
    }
}

#[tokio::test]
async fn unreachable_entries_are_listed_with_their_errors() {
    // Guards against an error that doesn't show whether an address is wrong or all entries are down:
    // each address is listed with its error. One entry that answers is enough for success.
    let garbled = status(&[Respond(200, "[]")]);
    let cases: [(_, &[Entry], _, _); 5] = [
        (
            "apply FILE",
            &[Unreachable],
            "can't connect: Connection refused",
            3,
        ),
        (
            "apply FILE --base 7",
            &[Unreachable, Unreachable],
            "can't connect",
            3,
        ),
        (
            "status",
            &[Unreachable],
            "no entry gave a usable answer\n  127.0.0.1:",
            3,
        ),
        ("status", &[garbled, Unreachable], "unreadable answer", 3),
        ("status", &[Unreachable, garbled, Up(HEALTHY)], "", 0),
    ];
    for (args, entries, why, code) in cases {
        let case = Case {
            name: "unreachable",
            args,
            entries,
            code,
            err: &[why],
            ..READ
        };
        check(&case).await;
    }
    let first = Case {
        name: "first unreachable",
        entries: &[Unreachable, Up(HEALTHY)],
        ..APPLY
    };
    check(&first).await;
}

#[tokio::test]
async fn refusal_is_reported_without_a_second_call() {
    // The operators' key is wrong, or the entries find faults that this client doesn't check for.
    // Guards against calls to further entries, which would refuse too.
    const WRONG_KEY: &str = "the operators' key does not match the key of the fleet";
    const FUTURE: &str = "3:1: error: a key of the future\n  a second fault";
    let shut = Up(Script {
        configuration: &[UNAUTHORIZED],
        ..HEALTHY
    });
    let cases: [(_, &[Entry], _, _, _); 4] = [
        (
            "apply FILE --base 7",
            &[put(&[UNAUTHORIZED]), put(&[ACCEPTED])],
            WRONG_KEY,
            4,
            1,
        ),
        ("show", &[shut], WRONG_KEY, 4, 0),
        ("history", &[history(&[])], "status 404", 4, 0),
        ("apply FILE", &[put(&[REJECTED])], FUTURE, 1, 1),
    ];
    for (args, entries, why, code, puts) in cases {
        let case = Case {
            name: "refused",
            args,
            entries,
            code,
            err: &[why],
            puts,
            ..APPLY
        };
        check(&case).await;
    }
    let own = Case {
        name: "faults found here",
        text: FAULTY,
        code: 1,
        err: &["2:8: error: pool.desk.kind: ", "did you mean `model`?"],
        ..READ
    };
    check(&own).await;
}

#[tokio::test]
async fn read_commands_print_the_answer_of_the_entry() {
    const CHANGES: &str = "VERSION  AT                    AUTHOR  DIGEST  OPERATION\n\
        8        2025-12-02 21:20:00Z  asha    d8d8    0a\n\
        7        1970-01-01 00:00:00Z  b\u{fffd}ob    d7d7    0b\n";
    const LAGS: &str = "version 8, digest d8d8\n1 of 2 live members lag behind version 8\n";
    const DEAD: &str = "sidecar  dead     2        h4";
    const LINE: &str = "sidecar  suspect  7 lags   h2    amd-b   guj-west  desk  10.0.0.2:1  51\n";
    let lag: &[Entry] = &[status(&[SIDECAR_LAGS])];
    let well: &[Entry] = &[Up(HEALTHY)];
    let cases: [(_, _, &[&str]); 7] = [
        ("show", well, &["TEXT\n"]),
        ("show --version", well, &["version 7, digest d7d7\n"]),
        ("history", well, &[CHANGES]),
        ("history --json", well, &["\"operation\":\"0a\""]),
        ("status", lag, &[LAGS, "sidecar  suspect  1\n", LINE]),
        (
            "status",
            well,
            &["all 2 live members have version 8\n", DEAD],
        ),
        ("status --json", well, &["\"members\":["]),
    ];
    for (args, entries, out) in cases {
        let case = Case {
            name: "read",
            args,
            entries,
            out,
            ..READ
        };
        check(&case).await;
    }
}

#[tokio::test]
async fn diff_and_explain_use_the_configuration_in_force() {
    // Answers of fake entries are static, so the body built from `OLD` is leaked.
    let body = json!({"version": 7, "digest": "d7d7", "text": OLD}).to_string();
    let answers: &'static [Answer] = vec![Respond(200, body.leak())].leak();
    let entries: &[Entry] = &[Up(Script {
        configuration: answers,
        ..HEALTHY
    })];
    let explained = "explain --team north --path /quota/surat";
    let cases: [(_, _, &[&str]); 3] = [
        (
            "diff FILE",
            NEW,
            &["+ rule `quota`\n", "~ rule `all`: then.class: "],
        ),
        ("diff FILE", OLD, &["no difference from version 7\n"]),
        (explained, NEW, &["1. all: matches; pool `desk`"]),
    ];
    for (args, text, out) in cases {
        let case = Case {
            name: "in force",
            args,
            text,
            entries,
            out,
            ..READ
        };
        check(&case).await;
    }
}

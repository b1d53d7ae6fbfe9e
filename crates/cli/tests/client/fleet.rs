//! The commands that ask the fleet, run as an operator runs them, against fake entries.

use crate::fake::Answer::{Cut, Say};
use crate::fake::Entry::{Away, Up};
use crate::fake::{self, Answer, Entry, Fleet, Script, KEY};
use serde_json::{json, Value};
use viz::Method;

/// Version 7, as the fakes have it in force.
const OLD: &str = r#"
pool.desk.model = "m"
team.north.keys = ["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
rule = [{ name = "all", then.pool = "desk" }]
"#;

/// What the operator wants.
const NEW: &str = r#"
pool.desk.model = "m"
team.north.keys = ["blake3:69521577388302cd6d436d81fb0def866bed3c48f2d3210f215a300432c260c0"]
rule = [{ name = "quota", when.path = ["/quota/*"], then.refuse = "closed" },
  { name = "all", then = { pool = "desk", class = "call" } }]
"#;

/// What no fleet takes.
const FAULTY: &str = "[pool.desk]\nkind = \"modle\"\n";

const OPERATION: &str = "00112233445566778899aabbccddeeff";

const SEVEN: &[Answer] = &[Say(200, r#"{"version":7,"digest":"d7d7","text":"TEXT"}"#)];
const EIGHT: Answer = Say(200, r#"{"version":8}"#);
const DOWN: Answer = Say(503, r#"{"error":{"code":"platform_down"}}"#);
const UNSURE: Answer = Say(504, r#"{"error":{"code":"unknown_outcome"}}"#);
const STRANGER: Answer = Say(401, r#"{"error":{"code":"unauthorized"}}"#);
const BOB: Answer = Say(
    409,
    r#"{"error":{"code":"conflict","message":"m","version":9,"author":"bob","operation":"b0b"}}"#,
);
const OURS: Answer = Say(
    409,
    r#"{"error":{"code":"conflict","message":"m","version":8,"author":"eve",
        "operation":"00112233445566778899aabbccddeeff"}}"#,
);
const WRONG: Answer = Say(
    400,
    r#"{"error":{"code":"faults","message":"m","faults":[
        "3:1: error: a key of the future",
        "a second fault"]}}"#,
);

/// One entry and one sidecar with version 8, and members that are gone with older ones.
const EVERYWHERE: Answer = Say(
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

/// The same, but that the sidecar has version 7.
const LAGGARD: Answer = Say(
    200,
    r#"{"version":8,"digest":"d8d8","members":[
    {"id":"e1","role":"entry","host":"h1","domain":"amd-a","region":"guj-west","pool":null,
     "state":"alive","version":8,"peer":"10.0.0.1:1"},
    {"id":"51","role":"sidecar","host":"h2","domain":"amd-b","region":"guj-west","pool":"desk",
     "state":"suspect","version":7,"peer":"10.0.0.2:1"}]}"#,
);

/// Everybody but the entry that is asked has version 8.
const ASKED_LAGS: Answer = Say(200, r#"{"version":7,"digest":"d7d7","members":[]}"#);

const HISTORY: Answer = Say(
    200,
    r#"{"current":{"version":8,"digest":"d8d8","operation":"0a","author":"asha","at":1764710400},
    "past":[{"version":7,"digest":"d7d7","operation":"0b","author":"b\nob","at":0}]}"#,
);

/// A fleet that takes a change and has it in force at once.
const WELL: Script = Script {
    put: &[EIGHT],
    configuration: SEVEN,
    history: &[HISTORY],
    status: &[EVERYWHERE],
};

const fn put(put: &'static [Answer]) -> Entry {
    Up(Script { put, ..WELL })
}

const fn status(status: &'static [Answer]) -> Entry {
    Up(Script { status, ..WELL })
}

const fn history(history: &'static [Answer]) -> Entry {
    Up(Script { history, ..WELL })
}

/// One run. `FILE` in the arguments stands for a file with the text.
struct Case<'a> {
    name: &'a str,
    args: &'a str,
    text: &'a str,
    entries: &'a [Entry],
    code: i32,
    /// Parts of standard output.
    out: &'a [&'a str],
    /// Parts of standard error.
    err: &'a [&'a str],
    /// Calls that change something.
    puts: usize,
}

const APPLY: Case<'static> = Case {
    name: "",
    args: "apply FILE",
    text: NEW,
    entries: &[Up(WELL)],
    code: 0,
    out: &[],
    err: &[],
    puts: 1,
};

const READ: Case<'static> = Case { puts: 0, ..APPLY };

/// Runs a case against its fakes; gives the changes that these were asked for.
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
    run.says(name, case.out, case.err);
    let heard = fleet.heard();
    assert!(heard.iter().all(|h| h.key), "{name}: a call without key");
    let puts = heard.into_iter().filter(|h| h.method == Method::PUT);
    let puts: Vec<_> = puts.map(|h| h.body).collect();
    assert_eq!(puts.len(), case.puts, "{name}: {puts:?}");
    puts
}

#[tokio::test]
async fn applies_what_the_operator_means() {
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
            name: "meant",
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
async fn two_operators_race() {
    // Two operators edit the same version. The second one's change would undo the first one's
    // without anybody noticing; he has to learn who was first, and that nothing was changed.
    for (name, entries, puts) in [
        ("race", put(&[BOB]), 1),
        ("race after a lost answer", put(&[Cut, BOB]), 2),
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
async fn answer_is_lost() {
    // The platform accepts a change, and the answer is lost on its way: a connection breaks, or
    // the entry itself can't tell. The operator must not be told that it failed, and his client
    // must not make a second change; it asks again under the same operation.
    let cases: [(_, &[Entry], _); 6] = [
        ("cut", &[put(&[Cut, EIGHT])], 2),
        ("cut, known elsewhere", &[put(&[Cut]), put(&[EIGHT])], 2),
        ("uncertain", &[put(&[UNSURE, UNSURE, EIGHT])], 3),
        (
            "uncertain, platform away",
            &[put(&[UNSURE, DOWN, EIGHT])],
            3,
        ),
        ("unreadable", &[put(&[Say(200, "{}"), EIGHT])], 2),
        ("our own conflict", &[put(&[UNSURE, OURS])], 2),
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
async fn outcome_stays_unknown() {
    // No entry can tell whether a change was accepted before the client's time is up. Whoever is
    // told "failed" or "refused" here may overwrite a colleague's change later; he is told that
    // it's open, and how to find out.
    let mixed = &[put(&[UNSURE]), put(&[STRANGER]), put(&[DOWN]), Away];
    let cases: [(_, &[Entry], _, _); 4] = [
        ("uncertain", &[put(&[UNSURE])], "status 504", 1),
        ("cut", &[put(&[Cut])], "connection lost", 1),
        ("broken", &[put(&[Say(500, "oops")])], "status 500: oops", 1),
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
async fn member_lags() {
    // A version is accepted, but a member doesn't take it: it is cut off or paused. Requests
    // through it are decided by the old rules, so the operator is told which member it is.
    const NOW: &str = "apply FILE --wait 0s";
    const LATER: &str = "apply FILE --wait 90s";
    const NAMED: &str = "1 of 2 live members lag, and the queried entry has version 8\n  \
        sidecar 51 on h2 in amd-b: version 7, suspect, 10.0.0.2:1\n";
    const SEVEN: &str = "the queried entry has version 7";
    const UNSEEN: &str = "version 8 was accepted, but it is unknown which members have it";
    const HALF: &str = "version 8: 1 of 2 members\n";
    let late = status(&[LAGGARD, LAGGARD, EVERYWHERE]);
    let cases: [(_, &[Entry], _, _); 5] = [
        (NOW, &[status(&[LAGGARD])], 6, NAMED),
        (NOW, &[status(&[ASKED_LAGS])], 6, SEVEN),
        (NOW, &[status(&[Cut])], 6, UNSEEN),
        (NOW, &[status(&[Cut]), Up(WELL)], 0, ""),
        (LATER, &[late], 0, HALF),
    ];
    for (args, entries, code, says) in cases {
        let case = Case {
            name: "spread",
            args,
            entries,
            code,
            err: &[says],
            ..APPLY
        };
        check(&case).await;
    }
}

#[tokio::test]
async fn platform_is_away() {
    // The platform's table is down. Changes can't be accepted and the history can't be read; the
    // operator is told so, and that the fleet goes on with what it has.
    let none = &[put(&[DOWN]), put(&[DOWN]), Away];
    let one = &[put(&[DOWN]), put(&[EIGHT])];
    let cases: [(_, &[Entry], _, _, _); 3] = [
        ("apply FILE", none, 8, "the change was not accepted", 2),
        ("apply FILE", one, 0, "", 2),
        (
            "history",
            &[history(&[DOWN])],
            8,
            "the platform is unavailable",
            0,
        ),
    ];
    for (args, entries, code, says, puts) in cases {
        let case = Case {
            name: "platform",
            args,
            entries,
            code,
            err: &[says],
            puts,
            ..APPLY
        };
        check(&case).await;
    }
}

#[tokio::test]
async fn fleet_is_away() {
    // No entry can be reached: a wrong address, or all are down. Each address is named with its
    // reason, so that the operator sees which of both it is; one that answers is enough.
    let garbled = status(&[Say(200, "[]")]);
    let cases: [(_, &[Entry], _, _); 5] = [
        (
            "apply FILE",
            &[Away],
            "can't connect: Connection refused",
            3,
        ),
        ("apply FILE --base 7", &[Away, Away], "can't connect", 3),
        (
            "status",
            &[Away],
            "no entry gave a usable answer\n  127.0.0.1:",
            3,
        ),
        ("status", &[garbled, Away], "unreadable answer", 3),
        ("status", &[Away, garbled, Up(WELL)], "", 0),
    ];
    for (args, entries, why, code) in cases {
        let case = Case {
            name: "away",
            args,
            entries,
            code,
            err: &[why],
            ..READ
        };
        check(&case).await;
    }
    let first = Case {
        name: "first away",
        entries: &[Away, Up(WELL)],
        ..APPLY
    };
    check(&first).await;
}

#[tokio::test]
async fn fleet_refuses() {
    // The key isn't the fleet's, or the entries find faults that this client doesn't know of.
    // Another entry would say the same, so nothing is asked twice.
    const KEYLESS: &str = "the operators' key does not match the key of the fleet";
    const FUTURE: &str = "3:1: error: a key of the future\n  a second fault";
    let shut = Up(Script {
        configuration: &[STRANGER],
        ..WELL
    });
    let cases: [(_, &[Entry], _, _, _); 4] = [
        (
            "apply FILE --base 7",
            &[put(&[STRANGER]), put(&[EIGHT])],
            KEYLESS,
            4,
            1,
        ),
        ("show", &[shut], KEYLESS, 4, 0),
        ("history", &[history(&[])], "status 404", 4, 0),
        ("apply FILE", &[put(&[WRONG])], FUTURE, 1, 1),
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
async fn reads() {
    const CHANGES: &str = "VERSION  AT                    AUTHOR  DIGEST  OPERATION\n\
        8        2025-12-02 21:20:00Z  asha    d8d8    0a\n\
        7        1970-01-01 00:00:00Z  b\u{fffd}ob    d7d7    0b\n";
    const LAGS: &str = "version 8, digest d8d8\n1 of 2 live members lag behind version 8\n";
    const DEAD: &str = "sidecar  dead     2        h4";
    const LINE: &str = "sidecar  suspect  7 lags   h2    amd-b   guj-west  desk  10.0.0.2:1  51\n";
    let lag: &[Entry] = &[status(&[LAGGARD])];
    let well: &[Entry] = &[Up(WELL)];
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
async fn compares_and_explains_what_is_in_force() {
    // The texts of the fakes are constants, so this one is put together here.
    let body = json!({"version": 7, "digest": "d7d7", "text": OLD}).to_string();
    let answers: &'static [Answer] = vec![Say(200, body.leak())].leak();
    let entries: &[Entry] = &[Up(Script {
        configuration: answers,
        ..WELL
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
            name: "compared",
            args,
            text,
            entries,
            out,
            ..READ
        };
        check(&case).await;
    }
}

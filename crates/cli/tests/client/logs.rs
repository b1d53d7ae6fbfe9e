//! The commands that read logs: `trace` and `why`.

use crate::fake;

const LOG: &str = r#"{"at":"2026-03-23T09:46:14.100","host":"front-1","up_ms":1,"event":"configured","version":4,"source":"store","routes":48}
{"at":"2026-03-23T09:46:15.000","host":"front-1","up_ms":2,"event":"target","target":"i-1","addr":"10.0.0.1:80","state":"ready"}
 12.5 front-1 {"at":"2026-03-23T09:46:16.000","host":"front-1","up_ms":3,"event":"sent","request":"abc","target":"i-1","attempt":1,"estimate_ms":20.5,"fetch":null}
{"at":"2026-03-23T09:46:16.200","host":"front-1","up_ms":4,"event":"tried","request":"abc","target":"i-1","attempt":1,"reason":"connection broken","ran":true}
{"at":"2026-03-23T09:46:16.201","host":"front-1","up_ms":4,"event":"refused","request":"abc","route":"log","status":502,"reason":"unknown","attempts":1,"after_ms":201,"version":4}
{"at":"2026-03-23T09:46:17.000","host":"front-1","up_ms":5,"event":"refused","request":"def","route":"log","status":503,"reason":"late","attempts":0,"after_ms":0,"version":4,"retry_ms":300}
{"at":"2026-03-23T09:46:18.000","host":"front-1","up_ms":6,"event":"dropped","kind":"sent","lines":17}
{"at":"2026-03-23T09:46:19.000","host":"front-1","up_m"#;

/// A run of the client and its expected result. `LOG`, `BINARY` and `EMPTY` in the arguments stand
/// for files.
struct Case<'a> {
    args: &'a str,
    code: i32,
    out: &'a [&'a str],
    err: &'a [&'a str],
}

#[tokio::test]
async fn trace_and_why_read_truncated_and_mixed_logs() {
    // Guards against logs that can't be read after a failure: truncated at the end, mixed with the
    // lines of other programs or a collector's prefixes, or files that are no logs at all.
    let log = fake::file("front.log", LOG);
    let empty = fake::file("empty.log", "");
    let binary = fake::file(
        "binary.log",
        "\u{0}\u{1}{\"at\":\u{2}\nanother writer's line\n",
    );
    let files = [("LOG", log), ("EMPTY", empty), ("BINARY", binary)];
    let cases = [
        Case {
            args: "trace abc LOG",
            code: 0,
            out: &[
                "configured routes=48 source=store version=4",
                "sent       attempt=1 estimate_ms=20.5 target=i-1",
                "reason=connection broken",
                "status=502",
                "(target)",
                "skipped 1 lines",
            ],
            err: &[],
        },
        Case {
            args: "trace xyz LOG BINARY",
            code: 9,
            out: &[],
            err: &["no line of request `xyz` among 7 log lines (3 more"],
        },
        Case {
            args: "trace abc EMPTY",
            code: 9,
            out: &[],
            err: &["among 0 log lines"],
        },
        Case {
            args: "trace abc",
            code: 2,
            out: &[],
            err: &["no log file"],
        },
        Case {
            args: "trace abc /nowhere/at/all",
            code: 2,
            out: &[],
            err: &["/nowhere/at/all"],
        },
        Case {
            args: "why LOG",
            code: 0,
            out: &[
                "17  log lines left out: sent",
                "1  refused 502 unknown on log",
                "abc",
                "1  refused 503 late on log",
                "try: connection broken",
            ],
            err: &[],
        },
        Case {
            args: "why --from 2026-03-23T09:46:17 --to 2026-03-23T09:46:18 LOG",
            code: 0,
            out: &["1  refused 503 late on log"],
            err: &[],
        },
        Case {
            args: "why EMPTY",
            code: 0,
            out: &["nothing was refused"],
            err: &[],
        },
    ];
    for case in cases {
        let run = fake::run(case.args, &files, &[], "").await;
        assert_eq!(run.code, Some(case.code), "{}: {run:?}", case.args);
        run.assert_output(case.args, case.out, case.err);
    }
}

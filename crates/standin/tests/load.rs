//! Tests of the load tool: traces, generated traffic, streams, reuse, counts.

use std::time::Duration;

use assert_matches::assert_matches;
use model::Class;
use standin::cache::{chain, BLOCK_BYTES};
use standin::engine::{answer_token, Change, RunRecord};
use standin::load::drive::{Ending, RequestResult, StreamChecker};
use standin::load::generate::{generate, Plan, Workload};
use standin::load::report::{Report, Run, RunData};
use standin::load::reuse::{reuse, EngineLogs};
use standin::load::trace::{text, Arrival, Texts, TOKEN_BYTES};
use standin::service::RecordedCall;

#[test]
fn trace_line_is_read_and_written() {
    let line = r#"{"at_ms":0,"team":"t1","class":"call","path":"/v1/completions",
        "prefix":[["sys",4000],["book-7",12000]],"tail":200,"output":64,"idempotent":true}"#;
    let a: Arrival = serde_json::from_str(line).unwrap();
    assert_eq!((a.class, a.output, a.completes()), (Class::Call, 64, true));
    let prompt = Texts::default().prompt(0, &a);
    assert_eq!(prompt.len(), (4_000 + 12_000 + 200) * TOKEN_BYTES);
    let again: Arrival = serde_json::from_str(&serde_json::to_string(&a).unwrap()).unwrap();
    assert_eq!(again, a);
}

#[test]
fn same_id_always_has_the_same_text() {
    struct Case {
        ids: [&'static str; 2],
        same: bool,
    }
    let cases = [
        Case {
            ids: ["sys", "sys"],
            same: true,
        },
        Case {
            ids: ["doc-1", "doc-2"],
            same: false,
        },
    ];
    for c in cases {
        let (short, long) = (text(c.ids[0], 50), text(c.ids[1], 90));
        assert_eq!(long.starts_with(&short), c.same);
    }
}

#[test]
fn generated_traffic_is_the_same_for_the_same_seed() {
    struct Case {
        user: Workload,
        rate: f64,
    }
    let cases = [
        Case {
            user: Workload::Association,
            rate: 50.0,
        },
        Case {
            user: Workload::Alpen,
            rate: 20.0,
        },
        Case {
            user: Workload::Hops,
            rate: 50.0,
        },
    ];
    for c in cases {
        let plan = |seed| Plan {
            user: c.user,
            seed,
            rate: c.rate,
            seconds: 60,
        };
        let all = generate(&plan(1));
        assert_eq!(all, generate(&plan(1)));
        assert!(all.is_sorted_by_key(|a| a.at_ms));
        let rate = all.len() as f64 / 60.0;
        assert!((rate / c.rate - 1.0).abs() < 0.1, "{:?} {rate}", c.user);
    }
}

#[test]
fn few_teams_and_documents_have_most_of_the_traffic() {
    let plan = Plan {
        user: Workload::Alpen,
        seed: 3,
        rate: 100.0,
        seconds: 10,
    };
    let all = generate(&plan);
    let large = all
        .iter()
        .filter(|a| a.team == "t1" || a.team == "t2")
        .count();
    assert!(large * 2 > all.len());
    let completions: Vec<_> = all.iter().filter(|a| a.completes()).collect();
    let popular = completions
        .iter()
        .filter(|a| a.prefix[1].0 == "doc-0")
        .count();
    assert!(
        popular * 4 > completions.len(),
        "{popular} of {}",
        completions.len()
    );
}

fn event(i: usize) -> String {
    let w = answer_token("p", i);
    format!("data: {{\"choices\":[{{\"index\":0,\"text\":\"{w}\"}}]}}\n\n")
}

/// A stream arrives in chunks of any size and may be broken, mixed up with another, or truncated
/// without an error, which a caller notices only if it counts the tokens.
#[test]
fn incomplete_streams_are_classified_by_how_they_end() {
    struct Case {
        stream: String,
        broken: bool,
        ending: Ending,
    }
    let (done, error) = ("data: [DONE]\n\n", "event: error\ndata: {}\n\n");
    let whole = event(0) + &event(1) + done;
    let cases = [
        Case {
            stream: whole.clone(),
            broken: false,
            ending: Ending::Whole,
        },
        Case {
            stream: whole.clone(),
            broken: true,
            ending: Ending::Cut,
        },
        Case {
            stream: event(0) + error,
            broken: true,
            ending: Ending::Cut,
        },
        Case {
            stream: event(0) + done,
            broken: false,
            ending: Ending::Truncated,
        },
        Case {
            stream: event(0) + &event(1),
            broken: false,
            ending: Ending::Truncated,
        },
        Case {
            stream: event(1) + &event(0) + done,
            broken: false,
            ending: Ending::Crossed,
        },
        Case {
            stream: event(0) + &event(0) + done,
            broken: false,
            ending: Ending::Crossed,
        },
    ];
    for c in cases {
        for size in [1, 7, 10_000] {
            let mut checker = StreamChecker::default();
            for chunk in c.stream.as_bytes().chunks(size) {
                checker.feed(chunk, "p");
            }
            assert_eq!(checker.ending(c.broken, 2), c.ending, "{}", c.stream);
        }
    }
}

fn searched(at: u64, cached: usize) -> RunRecord {
    RunRecord {
        request: "r".to_owned(),
        looked: at,
        cached,
        blocks: 3,
        ..RunRecord::default()
    }
}

#[test]
fn waste_is_what_another_replica_held_at_that_moment() {
    struct Case {
        other: &'static [(u64, Option<usize>, bool)],
        cached: usize,
        wasted: u64,
        oracle: u64,
    }
    let cases = [
        Case {
            other: &[],
            cached: 0,
            wasted: 0,
            oracle: 0,
        },
        Case {
            other: &[],
            cached: 2,
            wasted: 0,
            oracle: 2,
        },
        Case {
            other: &[(1, Some(0), true), (2, Some(1), true)],
            cached: 0,
            wasted: 2,
            oracle: 2,
        },
        Case {
            other: &[(1, Some(0), true), (2, Some(1), true)],
            cached: 1,
            wasted: 1,
            oracle: 2,
        },
        // Not wasted: stored too late, removed before, cleared with all others, or the first block
        // is missing.
        Case {
            other: &[(11, Some(0), true)],
            cached: 0,
            wasted: 0,
            oracle: 0,
        },
        Case {
            other: &[(1, Some(0), true), (2, Some(0), false)],
            cached: 0,
            wasted: 0,
            oracle: 0,
        },
        Case {
            other: &[(1, Some(0), true), (2, None, false)],
            cached: 0,
            wasted: 0,
            oracle: 0,
        },
        Case {
            other: &[(1, Some(1), true)],
            cached: 0,
            wasted: 0,
            oracle: 0,
        },
    ];
    let prompt = "x".repeat(3 * BLOCK_BYTES);
    let blocks = chain("t1", prompt.as_bytes());
    for c in cases {
        let history = c.other.iter().map(|(at, block, stored)| Change {
            at: *at,
            hash: block.map(|b| blocks[b]),
            stored: *stored,
        });
        let own = EngineLogs {
            runs: vec![searched(10, c.cached)],
            history: Vec::new(),
        };
        let other = EngineLogs {
            runs: Vec::new(),
            history: history.collect(),
        };
        let got = reuse(&[own, other], |_| Some(blocks.clone()));
        let tokens = (BLOCK_BYTES / TOKEN_BYTES) as u64;
        assert_eq!(got.prompt_tokens, 3 * tokens);
        assert_eq!(
            (got.wasted_tokens, got.oracle_tokens),
            (c.wasted * tokens, c.oracle * tokens)
        );
    }
}

/// A request that may run only once runs twice, or runs although it was refused as not run. Callers
/// can't see either; only the logs of the targets show it.
#[test]
fn repeated_and_falsely_refused_runs_are_counted_from_logs() {
    struct Case {
        once: bool,
        ending: Ending,
        runs: &'static [bool],
        calls: usize,
        want: (usize, usize, usize),
    }
    let refused = || Ending::Refused {
        code: "target_lost".to_owned(),
        outcome: "not-run".to_owned(),
    };
    let cases = [
        Case {
            once: false,
            ending: Ending::Whole,
            runs: &[true],
            calls: 0,
            want: (0, 0, 0),
        },
        Case {
            once: false,
            ending: Ending::Whole,
            runs: &[false, true],
            calls: 0,
            want: (0, 0, 0),
        },
        Case {
            once: false,
            ending: Ending::Whole,
            runs: &[true, true],
            calls: 0,
            want: (1, 0, 0),
        },
        Case {
            once: true,
            ending: Ending::Whole,
            runs: &[false, true],
            calls: 0,
            want: (1, 1, 0),
        },
        Case {
            once: true,
            ending: Ending::Whole,
            runs: &[],
            calls: 2,
            want: (1, 1, 0),
        },
        Case {
            once: true,
            ending: refused(),
            runs: &[],
            calls: 1,
            want: (0, 0, 1),
        },
        Case {
            once: false,
            ending: refused(),
            runs: &[],
            calls: 0,
            want: (0, 0, 0),
        },
    ];
    for c in cases {
        let results = [RequestResult {
            n: 0,
            id: "r".to_owned(),
            class: Class::Call,
            direct: false,
            late: Duration::ZERO,
            first: None,
            gaps: Vec::new(),
            ending: c.ending,
        }];
        let runs = c.runs.iter().map(|whole| RunRecord {
            whole: *whole,
            arrived: 1,
            ..searched(2, 0)
        });
        let call = RecordedCall {
            request: "r".to_owned(),
            ..RecordedCall::default()
        };
        let report = Report::new(
            Run::default(),
            &RunData {
                done: &results,
                completes: &[true],
                idempotent: &[!c.once],
                runs: &runs.collect::<Vec<_>>(),
                calls: &vec![call; c.calls],
                limit: Duration::ZERO,
            },
        );
        let got = (report.doubled, report.doubled_once, report.falsely_not_run);
        assert_eq!(got, c.want, "{:?} {}", c.runs, c.calls);
    }
}

#[test]
fn malformed_trace_line_is_reported_by_number() {
    let path = std::env::temp_dir().join(format!("standin-trace-{}.jsonl", std::process::id()));
    std::fs::write(
        &path,
        "{\"at_ms\":0,\"team\":\"t1\",\"path\":\"/quota/x\"}\n{\n",
    )
    .unwrap();
    let got = standin::load::trace::read(&path);
    std::fs::remove_file(&path).unwrap();
    assert_matches!(got, Err(standin::load::LoadError::Line { line: 2, .. }));
}

//! Requests through real entries and sidecars: complete answers and refusals, as a caller sees
//! them.

mod common;

use common::{completion, quick, words, Fleet};

/// Guards against streams that lose or change a part of the engine's answer on the way.
#[test]
fn stream_is_complete_through_each_entry() {
    let fleet = Fleet::start(2, 2, &quick());
    for entry in 0..2 {
        let prompt = format!("{} question {entry}", "a shared opening. ".repeat(40));
        let answer = fleet
            .caller(entry)
            .post("/v1/completions", &completion(&prompt, 20, true));
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(answer.is_complete_stream(), "{}", answer.text());
        assert_eq!(answer.words(), words(&prompt, 20));
    }
}

/// A request that is refused before it reaches a target, and the expected refusal.
struct RefusalCase {
    what: &'static str,
    method: &'static str,
    path: &'static str,
    key: &'static str,
    body: &'static str,
    status: u16,
    code: &'static str,
}

/// Guards against dispatching a request that can't be authenticated, parsed or routed.
#[test]
fn invalid_requests_are_refused_as_not_run() {
    let fleet = Fleet::start(1, 1, &quick());
    let valid = common::API_KEY;
    #[rustfmt::skip]
    let cases = [
        RefusalCase { what: "unknown key", method: "POST", path: "/v1/completions", key: "x", body: "{}", status: 401, code: "unknown_team" },
        RefusalCase { what: "broken JSON", method: "POST", path: "/v1/completions", key: valid, body: "{", status: 400, code: "bad_request" },
        RefusalCase { what: "no prompt", method: "POST", path: "/v1/completions", key: valid, body: "{}", status: 400, code: "bad_request" },
        RefusalCase { what: "wrong method", method: "GET", path: "/v1/completions", key: valid, body: "", status: 405, code: "bad_method" },
        RefusalCase { what: "no rule", method: "POST", path: "/elsewhere", key: valid, body: "", status: 404, code: "no_rule" },
    ];
    for c in cases {
        let to = fleet.entries[0].address("callers");
        let answer = common::Caller::new(to, c.key).send(c.method, c.path, &[], c.body);
        assert_eq!(answer.status, c.status, "{}: {}", c.what, answer.text());
        assert_eq!(answer.code(), c.code, "{}", c.what);
        assert_eq!(answer.header("x-outcome"), Some("not-run"), "{}", c.what);
        assert!(answer.header("x-request-id").is_some(), "{}", c.what);
    }
    let log = fleet.replicas[0].engine.run_log();
    assert!(log.is_empty(), "{log:?}");
}

//! Large answers of plain services, and fields that a caller must not set.

mod common;

use common::{completion, quick, Fleet, StandIn};
use viz::{Body, Request, Response, Router};

/// Larger than what a sidecar buffers without confirmation.
const LARGE: usize = 6 << 20;

/// Guards against an entry that confirms too rarely: a sidecar buffers at most 1 MiB of unconfirmed
/// data, so a larger answer would stall until its deadline and be reported with an unknown outcome.
#[test]
fn large_answers_arrive_complete() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let at = fleet.service_at.at;
    fleet.service_at.kill();
    let large = Router::new().any("/*", |_: Request| async {
        Ok::<_, viz::Error>(Response::new(Body::Full(vec![b'x'; LARGE].into())))
    });
    fleet.service_at = StandIn::start(at, large);
    let key: &[_] = &[("idempotency-key", "large")];
    for (method, headers) in [("GET", &[][..]), ("POST", key)] {
        let answer = fleet.caller(0).send(method, "/records/vote", headers, "");
        assert_eq!(answer.status, 200, "{method}: {}", answer.code());
        assert_eq!(answer.body.len(), LARGE, "{method}");
    }
}

/// Guards against reporting "not-run" when an answer exceeds what an entry buffers before it
/// forwards the answer: the service has run the request, and the caller would send it again.
#[test]
fn answer_too_large_to_buffer_is_not_reported_as_not_run() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let at = fleet.service_at.at;
    fleet.service_at.kill();
    let huge = Router::new().any("/*", |_: Request| async {
        Ok::<_, viz::Error>(Response::new(Body::Full(vec![b'x'; 17 << 20].into())))
    });
    fleet.service_at = StandIn::start(at, huge);
    let answer = fleet.caller(0).get("/records/vote");
    assert_eq!((answer.status, answer.code().as_str()), (502, "bad_answer"));
    assert_eq!(answer.header("x-outcome"), Some("unknown"));
}

/// Guards against forwarding an engine's reserved fields, such as the cache salt, on other paths
/// than completions: a caller could detect another team's cached prompts by their timing.
#[test]
fn reserved_engine_fields_are_refused_on_every_path() {
    let fleet = Fleet::start(1, 1, &quick());
    for field in ["cache_salt", "priority", "resume"] {
        let body = format!("{{\"input\":\"x\",\"{field}\":\"team-two\"}}");
        let answer = fleet.caller(0).post("/v1/embeddings", &body);
        assert_eq!(
            (answer.status, answer.code().as_str()),
            (400, "bad_request")
        );
        assert_eq!(answer.header("x-outcome"), Some("not-run"));
    }
    let completion_answer = fleet
        .caller(0)
        .post("/v1/completions", &completion("a prompt", 3, false));
    assert_eq!(
        completion_answer.status,
        200,
        "{}",
        completion_answer.text()
    );
}

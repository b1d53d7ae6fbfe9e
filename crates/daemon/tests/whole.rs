//! Answers that can't be known to be whole, or are large, from plain services and engines.

mod common;

use common::{completion, quick, Fleet, StandIn};
use viz::{Body, Request, Response, Router};

const LARGE: usize = 6 << 20;

/// A sidecar keeps at most 1 MiB that the entry hasn't confirmed. When the entry confirmed too
/// rarely, a larger answer stood still until its deadline and its caller heard of an unknown
/// outcome, although the service had answered at once.
#[test]
fn large_answers_arrive_whole() {
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

/// A service answers more than an entry collects before it gives an answer on. The service has run
/// the request, so that "not run" would make its caller run it again.
#[test]
fn answer_too_large_to_collect_is_not_called_not_run() {
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

/// Somebody who knows an engine's field for the cache salt sends it to another path of the engine.
/// Were it passed on, the caller could find another team's cache entries by their timing.
#[test]
fn callers_cannot_set_the_salt_on_any_path() {
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
    let good = fleet
        .caller(0)
        .post("/v1/completions", &completion("a prompt", 3, false));
    assert_eq!(good.status, 200, "{}", good.text());
}

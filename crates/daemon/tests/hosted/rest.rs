//! Targets that ask for rest when they refuse a request.

use std::time::{Duration, Instant};

use standin::hosted::replica::{Fault, Replica};
use tokio::time::sleep;

use crate::fleet::{fetch, Platform, MODEL};

/// Rest that targets ask for, in seconds and as a duration.
const REST: &str = "2";
const REST_TIME: Duration = Duration::from_secs(2);
/// Time after a refusal from which on requests count, and how many of them may arrive.
const GRACE: Duration = Duration::from_millis(500);
const MAX_REQUESTS: usize = 2;
/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

#[tokio::test]
async fn target_that_asks_for_rest_gets_none_of_the_requests_of_that_time() {
    // Guards against second attempts, races and resumed streams that fall back to a target which has
    // asked for rest, and against a target that isn't used again after it.
    struct Case {
        name: &'static str,
        path: &'static str,
        /// Fault of the answers of the other targets.
        others: Fault,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "others serve", path: "/check/1", others: Fault::None },
        Case { name: "second attempts", path: "/check/1", others: Fault::Error },
        Case { name: "races", path: "/check/1", others: Fault::Hang },
        Case { name: "requests that run once", path: "/log/1", others: Fault::Full },
        Case { name: "streams", path: "/probe/1", others: Fault::None },
        Case { name: "broken streams", path: "/probe/1", others: Fault::Cut },
    ];
    for case in cases {
        let mut platform = Platform::start().await;
        let service = match case.path.starts_with("/probe/") {
            true => "engines",
            false => "plain",
        };
        let mut targets = Vec::new();
        for n in 0..3 {
            let target = Replica::new(&format!("r{n}"), 6, EVENT_INTERVAL);
            target.set_version(MODEL, 1);
            platform.replica(&target, service).await;
            targets.push(target);
        }
        let entry = platform.entry("front-0", 3).await;
        let (target, others) = targets.split_first().expect("targets");
        target.set_fault(Fault::Full);
        target.set_rest(Some(REST));
        others.iter().for_each(|o| o.set_fault(case.others));
        let mut number = 0;
        let mut send = async || {
            number += 1;
            // The request may fail or be refused.
            let id = format!("request-{number}");
            let call = fetch(&entry, case.path, &id);
            let _ = tokio::time::timeout(REST_TIME / 8, call).await;
            sleep(REQUEST_INTERVAL).await;
        };
        while target.requests().is_empty() {
            send().await;
        }
        let refused = target.requests()[0].received;
        while refused.elapsed() < REST_TIME {
            send().await;
        }
        let rest = refused + GRACE..refused + REST_TIME;
        let requests = target.requests();
        let late = requests.iter().filter(|r| rest.contains(&r.received));
        let late = late.count();
        assert!(late <= MAX_REQUESTS, "{}: {late} requests", case.name);
        target.set_rest(None);
        target.set_fault(Fault::None);
        others.iter().for_each(|o| o.set_fault(Fault::None));
        let ended = Instant::now();
        while !target.requests().iter().any(|r| r.received > ended) {
            assert!(ended.elapsed() < REST_TIME * 2, "{}: not used", case.name);
            send().await;
        }
    }
}

#[tokio::test]
async fn requests_are_refused_at_once_with_the_time_if_all_targets_rest() {
    // Guards against callers that wait for targets which have asked for rest, or return too early.
    let mut platform = Platform::start().await;
    let target = Replica::new("r0", 1, EVENT_INTERVAL);
    platform.replica(&target, "plain").await;
    let entry = platform.entry("front-0", 1).await;
    target.set_fault(Fault::Full);
    target.set_rest(Some(REST));
    let _ = fetch(&entry, "/check/1", "first").await;
    target.set_fault(Fault::None);
    let asked = Instant::now();
    let answer = fetch(&entry, "/check/1", "second").await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(asked.elapsed() < Duration::from_millis(500));
    let retry_after = answer.headers["retry-after"].to_str().expect("text");
    let retry_after: f64 = retry_after.parse().expect("a number");
    assert!((1.0..=2.0).contains(&retry_after), "{retry_after} s");
    sleep(Duration::from_secs_f64(retry_after) + REQUEST_INTERVAL).await;
    let answer = fetch(&entry, "/check/1", "third").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

#[tokio::test]
async fn rest_without_a_valid_time_is_logged_and_a_long_one_is_bounded() {
    // Guards against a target that is never used again because of a wrong number.
    let mut platform = Platform::start().await;
    let target = Replica::new("r0", 1, EVENT_INTERVAL);
    platform.replica(&target, "plain").await;
    let entry = platform.entry("front-0", 1).await;
    for (n, text) in ["soon", "-3", "NaN", ""].into_iter().enumerate() {
        target.set_fault(Fault::Full);
        target.set_rest(Some(text));
        let _ = fetch(&entry, "/check/1", &format!("bad-{n}")).await;
        let is_new = |r: &serde_json::Value| {
            r["target"] == "r0" && entry.process.events("bad_rest").len() > n
        };
        entry.process.wait_for_event("bad_rest", is_new).await;
        target.set_fault(Fault::None);
        let answer = fetch(&entry, "/check/1", &format!("good-{n}")).await;
        assert_eq!(answer.expect("an answer").status, 200, "{text}");
    }
    assert!(entry.process.events("bad_rest").len() >= 4);
    target.set_fault(Fault::Full);
    target.set_rest(Some("1e30"));
    let _ = fetch(&entry, "/check/1", "long").await;
    let is_bounded = |r: &serde_json::Value| r["rest_ms"].as_u64() <= Some(3_600_000);
    entry.process.wait_for_event("rest", is_bounded).await;
}

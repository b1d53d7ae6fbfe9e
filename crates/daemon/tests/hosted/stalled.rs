//! Requests that show nothing for too long, or break off, while no retry is left.

use std::time::Duration;

use http_body_util::BodyExt;
use standin::call::CallError;
use standin::hosted::replica::{Fault, Replica};
use standin::hosted::sample::settings;

use crate::fleet::{fetch, request, Platform, MODEL, TIMEOUT};

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Number of requests that earn a retry.
const REQUESTS: usize = 8;

/// A fault of the first target, and the log line that shows that the request has met it.
struct Case {
    fault: Fault,
    event: &'static str,
    field: &'static str,
    value: &'static str,
}

#[tokio::test]
async fn stream_fails_if_no_retry_is_left_when_its_target_does() {
    // Guards against decisions that are made once, when the request is sent or its answer breaks off: a
    // retry that becomes free later must move the stream.
    #[rustfmt::skip]
    let cases = [
        Case { fault: Fault::Hang, event: "stalled", field: "outcome", value: "no_target" },
        Case { fault: Fault::Lost, event: "tried", field: "reason", value: "connection broken" },
        Case { fault: Fault::Cut, event: "tried", field: "reason", value: "stream broken" },
    ];
    for case in cases {
        check_case(&case).await;
    }
}

async fn check_case(case: &Case) {
    let mut platform = Platform::start().await;
    let [bad, other] = ["e1", "e2"].map(|id| Replica::new(id, 6, EVENT_INTERVAL));
    bad.set_version(MODEL, 1);
    bad.set_fault(case.fault);
    let at = platform.replica(&bad, "engines").await;
    let mut lines = settings("front-0", platform.store_addr);
    lines.retain(|l| !l.starts_with("bounds.retry_budget_slack"));
    lines.push("bounds.retry_budget_slack=0".to_owned());
    let entry = platform.start_entry_with(lines).await;
    let wait_listed = async |id: &str, state: &str| {
        let is_listed = |e: &serde_json::Value| e["target"] == id && e["state"] == state;
        entry.process.wait_for_event("target", is_listed).await;
    };
    wait_listed("e1", "ready").await;
    let mut call = request(&entry, "/probe/1", "stuck");
    let deadline = call.headers.iter_mut().find(|h| h.0 == "deadline-ms");
    deadline.expect("a deadline").1 = "4000".to_owned();
    let stuck = tokio::spawn(async move {
        let response = call.send().await?;
        let status = response.status();
        Ok::<_, CallError>((status, response.into_body().collect().await?))
    });
    let is_met = |e: &serde_json::Value| e["request"] == "stuck" && e[case.field] == case.value;
    entry.process.wait_for_event(case.event, is_met).await;
    platform.list(&bad, "engines", at, "draining");
    other.set_version(MODEL, 1);
    platform.replica(&other, "engines").await;
    wait_listed("e1", "draining").await;
    wait_listed("e2", "ready").await;
    if case.fault == Fault::Hang {
        let stays = |e: &serde_json::Value| e["outcome"] == "no_retry";
        entry.process.wait_for_event("stalled", stays).await;
    }
    assert!(other.requests().is_empty(), "sent without a retry");
    for n in 0..REQUESTS {
        let answer = fetch(&entry, "/probe/1", &format!("request-{n}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let answer = tokio::time::timeout(TIMEOUT, stuck).await;
    let answer = answer.expect("an end").expect("no panic");
    let log = entry.process.log_of_request("stuck");
    let (status, body) = answer.unwrap_or_else(|e| panic!("{:?}: {e}: {log}", case.fault));
    assert_eq!(status, 200, "{:?}: {log}", case.fault);
    let events = (1..=6).map(|n| format!("id: {n}\ndata: token {n}\n\n"));
    assert_eq!(body.to_bytes(), events.collect::<String>(), "{log}");
    let runs = [bad.requests(), other.requests()].concat();
    let runs = runs.iter().filter(|r| r.id == "stuck").count();
    assert_eq!(runs, 2, "{log}");
}

//! Requests that show nothing for too long.

use std::time::Duration;

use standin::hosted::replica::{Fault, Replica};
use standin::hosted::sample::settings;

use crate::fleet::{fetch, request, Platform, MODEL, TIMEOUT};
use http_body_util::BodyExt;

/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Number of requests that earn a retry.
const REQUESTS: usize = 8;

#[tokio::test]
async fn stream_at_a_silent_target_stays_there_until_its_deadline_if_no_retry_was_left() {
    // Guards against a decision that is made once, when the request is sent: a retry that becomes free
    // later must move the stream.
    let mut platform = Platform::start().await;
    let [silent, other] = ["e1", "e2"].map(|id| Replica::new(id, 3, EVENT_INTERVAL));
    silent.set_version(MODEL, 1);
    silent.set_fault(Fault::Hang);
    let at = platform.replica(&silent, "engines").await;
    let mut lines = settings("front-0", platform.store_addr);
    lines.retain(|l| !l.starts_with("bounds.retry_budget_slack"));
    lines.push("bounds.retry_budget_slack=0".to_owned());
    let entry = platform.start_entry_with(lines).await;
    let is_listed = |id: &'static str| move |e: &serde_json::Value| e["target"] == id;
    entry
        .process
        .wait_for_event("target", is_listed("e1"))
        .await;
    let mut call = request(&entry, "/probe/1", "stuck");
    let deadline = call.headers.iter_mut().find(|h| h.0 == "deadline-ms");
    deadline.expect("a deadline").1 = "4000".to_owned();
    let stuck = tokio::spawn(async move {
        let response = call.send().await?;
        let status = response.status();
        Ok::<_, standin::call::CallError>((status, response.into_body().collect().await?))
    });
    silent.wait_running().await;
    platform.list(&silent, "engines", at, "draining");
    other.set_version(MODEL, 1);
    platform.replica(&other, "engines").await;
    entry
        .process
        .wait_for_event("target", is_listed("e2"))
        .await;
    let stays = |e: &serde_json::Value| e["request"] == "stuck" && e["outcome"] == "no_retry";
    entry.process.wait_for_event("stalled", stays).await;
    assert!(other.requests().is_empty(), "sent without a retry");
    for n in 0..REQUESTS {
        let answer = fetch(&entry, "/probe/1", &format!("request-{n}")).await;
        assert_eq!(answer.expect("an answer").status, 200);
    }
    let answer = tokio::time::timeout(TIMEOUT, stuck).await;
    let (status, body) = answer
        .expect("an end")
        .expect("no panic")
        .unwrap_or_else(|e| panic!("{e}: {}", entry.process.log_of_request("stuck")));
    assert_eq!(status, 200, "{}", entry.process.log_of_request("stuck"));
    let events = (1..=3).map(|n| format!("id: {n}\ndata: token {n}\n\n"));
    assert_eq!(body.to_bytes(), events.collect::<String>());
    let runs = [silent.requests(), other.requests()].concat();
    let runs = runs.iter().filter(|r| r.id == "stuck").count();
    assert_eq!(runs, 2);
}

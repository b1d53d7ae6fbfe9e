//! The limits of teams and targets over several entries.

use std::time::{Duration, Instant};

use serde_json::json;
use standin::hosted::replica::Replica;
use tokio::time::{sleep, timeout};

use crate::fleet::{config, fetch, Answer, Entry, Platform, TIMEOUT};

/// Requests per second that the team may send.
const RATE: f64 = 5.0;
/// Requests that the team may send at once, in addition.
const BURST: f64 = 10.0;
/// Window of the limit in seconds, and the share by which it may be exceeded.
const WINDOW_SECS: f64 = 8.0;
const OVERAGE: f64 = 0.1;

async fn send(entries: &[Entry], number: usize) -> Answer {
    let entry = &entries[number % entries.len()];
    let id = format!("log-{number}");
    let answer = fetch(entry, "/log/1", &id).await;
    answer.expect("an answer")
}

fn retry_after(answer: &Answer) -> Duration {
    let header = answer.headers.get("retry-after").expect("a time");
    let secs = header.to_str().expect("text").parse();
    Duration::from_secs_f64(secs.expect("seconds"))
}

#[tokio::test]
async fn team_over_its_limit_is_refused_by_all_entries_together() {
    // Guards against a limit that is dropped with the configuration, a refused request that runs, and a
    // refusal after which the request never passes.
    let mut platform = Platform::start().await;
    let plain = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    let mut limited = config(2);
    limited["tenants"][0]["rate_per_s"] = json!(RATE);
    limited["tenants"][0]["burst"] = json!(BURST);
    platform.store.write("op", "config", &limited);
    let mut entries = Vec::new();
    for n in 0..2 {
        let entry = platform.entry(&format!("front-{n}"), 1).await;
        let in_force = |e: &serde_json::Value| e["version"] == 2;
        entry.process.wait_for_event("configured", in_force).await;
        entries.push(entry);
    }

    let started = Instant::now();
    let (mut served, mut refused) = (0, 0);
    for n in 0..120 {
        match send(&entries, n).await.status {
            200 => served += 1,
            429 => refused += 1,
            other => panic!("status {other}"),
        }
    }
    let windows = (started.elapsed().as_secs_f64() / WINDOW_SECS).ceil();
    let allowed = windows * (RATE * WINDOW_SECS + BURST) * (1.0 + OVERAGE);
    assert!(f64::from(served) <= allowed, "{served} of {allowed}");
    assert!(served > 0 && refused > 0, "{served}, {refused}");
    assert_eq!(plain.requests().len(), served as usize);
    let line = entries[0].process.wait_for_event("refused", |_| true).await;
    assert_eq!(line["reason"], "over_limit");
    assert_eq!(line["limit"]["team"], "north");

    let passes = async {
        for n in 1_000.. {
            let answer = send(&entries, n).await;
            if answer.status == 200 {
                return;
            }
            sleep(retry_after(&answer)).await;
        }
    };
    timeout(TIMEOUT, passes).await.expect("a request passes");
}

/// Requests per second that a target in need states.
const STATED_RATE: f64 = 1.5;
/// Window in which requests to the target are counted.
const TARGET_WINDOW: Duration = Duration::from_secs(4);
/// Factor and number of requests by which a window may exceed the stated rate.
const TARGET_FACTOR: f64 = 1.5;
const TARGET_SLACK: f64 = 5.0;
/// Interval between the requests of all callers together.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests to the entries in turn for `time`, all of which are answered.
async fn send_for(entries: &[Entry], numbers: &mut std::ops::RangeFrom<usize>, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        let number = numbers.next().expect("a number");
        assert_eq!(send(entries, number).await.status, 200);
        sleep(REQUEST_INTERVAL).await;
    }
}

/// Most requests that a replica received in a window after `from`.
fn most_received(replica: &Replica, from: Instant) -> usize {
    let received = replica.requests().into_iter().map(|r| r.received);
    let received: Vec<_> = received.filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        let later = received.iter().filter(|at| *at >= start);
        later.filter(|at| **at < *start + TARGET_WINDOW).count()
    };
    received.iter().map(in_window).max().unwrap_or_default()
}

#[tokio::test]
async fn target_gets_no_more_than_it_states_from_all_entries_together() {
    // Guards against entries that ignore a target's stated limit or keep it each on its own, and
    // against a limit that stays in force after the target states none.
    let mut platform = Platform::start().await;
    let [limited, other] = ["p1", "p2"].map(|id| Replica::new(id, 0, Duration::ZERO));
    for r in [&limited, &other] {
        platform.replica(r, "plain").await;
    }
    let mut entries = Vec::new();
    for n in 0..4 {
        entries.push(platform.entry(&format!("front-{n}"), 2).await);
    }
    let mut numbers = 0..;
    send_for(&entries, &mut numbers, Duration::from_secs(1)).await;
    limited.set_limit(Some(STATED_RATE));
    let stated = Instant::now();
    send_for(&entries, &mut numbers, Duration::from_secs(9)).await;
    let most = most_received(&limited, stated + Duration::from_millis(500));
    let allowed = STATED_RATE * TARGET_WINDOW.as_secs_f64() * TARGET_FACTOR + TARGET_SLACK;
    assert!(most as f64 <= allowed, "{most} of {allowed}");
    let later = stated + Duration::from_secs(1);
    let used = limited
        .requests()
        .iter()
        .filter(|r| r.received >= later)
        .count();
    assert!(used as f64 >= STATED_RATE * 8.0 * 0.6, "only {used} used");

    limited.set_limit(None);
    send_for(&entries, &mut numbers, Duration::from_secs(2)).await;
    let unlimited = Instant::now();
    send_for(&entries, &mut numbers, Duration::from_secs(2)).await;
    let used = limited
        .requests()
        .iter()
        .filter(|r| r.received >= unlimited)
        .count();
    assert!(
        used as f64 > allowed,
        "only {used} after the end of the limit"
    );
}

#[tokio::test]
async fn request_that_no_target_may_get_is_refused_at_once_with_the_time_to_return() {
    // Guards against a request that waits for a target's limit until its deadline, and a time to
    // return at which it is refused again.
    let mut platform = Platform::start().await;
    let limited = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&limited, "plain").await;
    limited.set_limit(Some(0.5));
    let entries = [platform.entry("front-0", 1).await];
    let mut numbers = 0..;
    let refused = loop {
        let sent = Instant::now();
        let answer = send(&entries, numbers.next().expect("a number")).await;
        if answer.status == 503 {
            assert!(sent.elapsed() < Duration::from_millis(300));
            break answer;
        }
    };
    let wait = retry_after(&refused);
    assert!(wait <= Duration::from_secs(12), "{wait:?}");
    sleep(wait + Duration::from_millis(300)).await;
    // Levels differ by the moment at which a request comes.
    let mut passes = Vec::new();
    for n in 1_000..1_020 {
        passes.push(send(&entries, n).await.status);
        sleep(Duration::from_millis(50)).await;
    }
    let log = entries[0].process.log_tail();
    assert!(passes.contains(&200), "{passes:?} after {wait:?}\n{log}");
    let line = entries[0].process.wait_for_event("refused", |_| true).await;
    assert_eq!(line["reason"], "target_limits");
}

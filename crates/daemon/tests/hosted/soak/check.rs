//! Checks of a soak run, based on the answers that callers got and the requests that replicas got.

use std::collections::HashMap;
use std::time::Duration;

use futures::future::join_all;
use serde_json::Value;
use standin::hosted::replica::Replica;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::callers::Outcome;
use super::cluster::{
    Cluster, BUILDS, ENGINES, ENTRIES, EVENTS, FIRST_EXTENDED_SEED, LIMITED_TEAMS, REPLICAS,
};
use crate::fleet::{fetch_from, ready_at, request_to, MODEL, TIMEOUT};

/// Time limit for the recovery of all entries. A request that ran at several crashes in a row is
/// refused for up to 15 s, and that may apply to each of the four kinds of requests.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after which a target that has left gets no new request.
const REROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the last fault from which on `REROUTE_TIMEOUT` must be kept.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Minimum interval, in milliseconds, between orders of two holders.
const LEASE_MS: u64 = 3_000;
/// Number of requests to each entry after a target has left, enough for each of two targets to get
/// some.
const REQUESTS: usize = 12;
/// Requests a second that a target states at the end of a run.
const STATED_RATE: f64 = 2.0;
/// Time for which it does so.
const LIMITED_TIME: Duration = Duration::from_secs(5);
/// Time after a statement from which on requests count.
const LIMIT_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Window in which requests to the target are counted, and the most allowed in it: one and a half
/// times the rate, and five.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const MAX_IN_WINDOW: f64 = STATED_RATE * 4.0 * 1.5 + 5.0;
/// Interval between the requests to that target.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Checks that every entry serves again and that every engine has the newest weights.
pub async fn check_recovery(seed: u64, cluster: &Cluster) {
    // All entries get requests at once, as from callers: an answer that one entry gets can clear a
    // request at the others.
    join_all((0..ENTRIES).map(|n| check_entry_serves(seed, cluster, n))).await;
    let newest = *cluster.version.lock().expect("a version");
    for n in 0..ENGINES {
        let engine = &cluster.replicas[n].replica;
        let loaded = async {
            while engine.version(MODEL) < newest {
                sleep(POLL_INTERVAL).await;
            }
        };
        let loaded = timeout(TIMEOUT, loaded).await;
        assert!(
            loaded.is_ok(),
            "seed {seed}: engine {n} has outdated weights"
        );
    }
}

async fn check_entry_serves(seed: u64, cluster: &Cluster, n: usize) {
    let (callers, at) = {
        let entry = cluster.entries[n].host.daemon();
        (entry.callers, entry.ready)
    };
    let recovery = async {
        for path in ["/log/1", "/check/1", "/probe/1", "/code/1"] {
            for attempt in 0.. {
                let id = format!("healed-{n}-{attempt}-{path}");
                let answer = fetch_from(callers, path, &id).await;
                if ready_at(at).await == 200 && answer.is_ok_and(|a| a.status == 200) {
                    break;
                }
                sleep(POLL_INTERVAL).await;
            }
        }
    };
    let result = timeout(RECOVERY_TIMEOUT, recovery).await;
    let log = || {
        let entry = cluster.entries[n].host.daemon();
        let (tail, state) = (entry.process.log_tail(), entry.process.log_of_state());
        format!("{tail}\n{state}")
    };
    assert!(
        result.is_ok(),
        "seed {seed}: entry {n} doesn't serve again:\n{}",
        log()
    );
}

/// Removes a target's row soon after the last fault and checks that the target gets no new request
/// after the time allowed.
pub async fn check_departed_target(seed: u64, cluster: &Cluster, faults_cleared: Instant) {
    let target = &cluster.replicas[REPLICAS - 1].replica;
    cluster.platform.store.remove("servers", &target.id);
    sleep_until((Instant::now() + REROUTE_TIMEOUT).max(faults_cleared + SETTLE_TIME)).await;
    for n in 0..ENTRIES {
        let callers = cluster.entries[n].host.daemon().callers;
        for attempt in 0..REQUESTS {
            let id = format!("left-{n}-{attempt}");
            // The request may fail, but it must not reach the target.
            let _ = fetch_from(callers, "/log/1", &id).await;
            let reached = target.requests().iter().any(|s| s.id == id);
            let log = || cluster.entries[n].host.daemon().process.log_tail();
            assert!(
                !reached,
                "seed {seed}: entry {n} sent a request to a target that has left:\n{}",
                log()
            );
        }
    }
}

/// Waits until a target gets requests as if it had never stated a limit.
async fn wait_for_requests(seed: u64, cluster: &Cluster, target: &Replica) {
    let callers = |n: usize| cluster.entries[n % ENTRIES].host.daemon().callers;
    let is_used = async {
        for n in 0.. {
            let before = target.requests().len();
            for request in 0..REQUESTS * ENTRIES {
                // The request may fail, but some of them must reach the target.
                let _ = fetch_from(callers(n), "/log/1", &format!("free-{n}-{request}")).await;
            }
            if target.requests().len() >= before + REQUESTS {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    let is_used = timeout(TIMEOUT, is_used).await;
    assert!(is_used.is_ok(), "seed {seed}: a target stays limited");
}

/// Lets a target state a limit and checks that all entries together keep it, and that all requests
/// are served again once the target states none.
pub async fn check_stated_limit(seed: u64, cluster: &Cluster) {
    let target = &cluster.replicas[ENGINES].replica;
    let callers = |n: usize| cluster.entries[n % ENTRIES].host.daemon().callers;
    wait_for_requests(seed, cluster, target).await;
    target.set_limit(Some(STATED_RATE));
    let stated = Instant::now();
    for n in 0.. {
        if stated.elapsed() > LIMITED_TIME {
            break;
        }
        // The request may be refused.
        let _ = fetch_from(callers(n), "/log/1", &format!("limited-{n}")).await;
        sleep(REQUEST_INTERVAL).await;
    }
    let from = stated + LIMIT_SETTLE_TIME;
    let received = target.requests().into_iter();
    let received: Vec<_> = received
        .map(|r| Instant::from_std(r.received))
        .filter(|at| *at >= from)
        .collect();
    let in_window = |start: &Instant| {
        let window = received.iter().filter(|at| *at >= start);
        window.filter(|at| **at < *start + LIMIT_WINDOW).count()
    };
    let most = received.iter().map(in_window).max().unwrap_or_default();
    assert!(
        most as f64 <= MAX_IN_WINDOW,
        "seed {seed}: a target got {most} requests, {MAX_IN_WINDOW} allowed"
    );
    assert!(
        !received.is_empty(),
        "seed {seed}: a limited target is idle"
    );
    target.set_limit(None);
    let all_served = async {
        let mut served = 0;
        for n in 0.. {
            let answer = fetch_from(callers(n), "/log/1", &format!("unlimited-{n}")).await;
            served = match answer {
                Ok(a) if a.status == 200 => served + 1,
                _ => 0,
            };
            if served == REQUESTS * ENTRIES {
                break;
            }
            sleep(REQUEST_INTERVAL).await;
        }
    };
    let all_served = timeout(TIMEOUT, all_served).await;
    assert!(all_served.is_ok(), "seed {seed}: the limit stays in force");
}

/// Checks that teams are still limited, and served again after a refusal.
pub async fn check_team_limits(seed: u64, cluster: &Cluster) {
    for (team, key) in LIMITED_TEAMS {
        for status in [429, 200] {
            let reached = async {
                for n in 0.. {
                    let callers = cluster.entries[n % ENTRIES].host.daemon().callers;
                    let mut call = request_to(callers, "/log/1", &format!("{team}-{status}-{n}"));
                    call.headers.retain(|(name, _)| *name != "credential");
                    let answer = call.header("credential", key).fetch().await;
                    if answer.is_ok_and(|(s, _)| s.as_u16() == status) {
                        break;
                    }
                    sleep(REQUEST_INTERVAL).await;
                }
            };
            let reached = timeout(TIMEOUT, reached).await;
            assert!(reached.is_ok(), "seed {seed}: {team} gets no {status}");
        }
    }
}

/// Checks all answers, the orders to all engines, and that no process has ended by itself.
pub fn check_promises(seed: u64, cluster: &Cluster, outcomes: &[Outcome]) {
    let runs = count_runs(cluster);
    for o in outcomes {
        let ran = runs.get(&o.id).copied().unwrap_or_default();
        let context = format!("seed {seed}: {o:?} ran {ran} times");
        assert!(
            !o.timed_out,
            "never answered: {context}\n{}{}",
            o.log,
            cluster.receipts(&o.id)
        );
        check_answer(cluster, o, ran, &context);
    }
    for (n, engine) in cluster.replicas[..ENGINES].iter().enumerate() {
        match seed < FIRST_EXTENDED_SEED {
            true => check_single_holder(seed, n, &engine.replica.orders()),
            false => check_changing_holders(seed, n, &engine.replica.orders()),
        }
    }
    for (n, entry) in cluster.entries.iter().enumerate() {
        let ended = entry.host.has_ended();
        assert!(!ended, "seed {seed}: entry {n} has ended by itself");
    }
    for (n, sidecar) in cluster.sidecars.iter().enumerate() {
        assert!(
            !sidecar.has_ended(),
            "seed {seed}: sidecar {n} has ended by itself"
        );
    }
}

/// Number of times that each request ran.
fn count_runs(cluster: &Cluster) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    let seen = cluster.replicas.iter().flat_map(|r| r.replica.requests());
    for s in seen.filter(|s| s.ran) {
        *runs.entry(s.id).or_default() += 1;
    }
    runs
}

/// Checks that a request ran no more often than allowed and that its answer is correct.
fn check_answer(cluster: &Cluster, o: &Outcome, ran: usize, context: &str) {
    // Requests that may be repeated run at most twice on these routes.
    let max_runs = if matches!(o.path, "/log/1" | "/code/1") {
        1
    } else {
        2
    };
    assert!(ran <= max_runs, "ran too often: {context}");
    let Some(a) = &o.answer else {
        return;
    };
    match a.status {
        200 => {
            let whole = unfilled(&[o.earlier.as_bytes(), &a.body].concat());
            // Nothing shows that a stream without length or chunks was cut between two events.
            let may_be_cut = cluster.is_undelimited(&o.id);
            let is_written = |stream: Vec<u8>| match may_be_cut {
                true => stream.starts_with(&whole) && whole.ends_with(b"\n\n"),
                false => whole == stream,
            };
            let complete = match o.path {
                "/code/1" | "/probe/1" => BUILDS.iter().any(|b| is_written(written_by(b))),
                "/log/1" => a.body == "echo body",
                _ => a.body == "echo ",
            };
            let matches_request = a.id.as_deref() == Some(&o.id);
            let correct = complete && matches_request && a.signed && ran >= 1;
            assert!(
                correct,
                "not the replica's answer: {context}\n{}",
                cluster.account(&o.id)
            );
        }
        408 | 421 | 429 | 503 => assert_eq!(ran, 0, "ran, but was answered as not run: {context}"),
        401 | 403 | 404 => panic!("an allowed request was denied: {context}"),
        _ => {}
    }
}

/// A stream without the spaces that its events are filled up with.
fn unfilled(stream: &[u8]) -> Vec<u8> {
    let lines = stream.split(|b| *b == b'\n').map(|l| {
        let end = l
            .iter()
            .rposition(|b| *b != b' ')
            .map_or(0, |last| last + 1);
        &l[..end]
    });
    lines.collect::<Vec<_>>().join(&b'\n')
}

/// The complete stream as one build writes it.
pub fn written_by(build: &str) -> Vec<u8> {
    let event = |n| format!("id: {n}\ndata: token {n} by {build}\n\n");
    (1..=EVENTS).map(event).collect::<String>().into()
}

/// Checks that orders of different holders are at least a lease apart and have rising tokens.
fn check_changing_holders(seed: u64, engine: usize, orders: &[Value]) {
    for pair in orders.windows(2) {
        let context = format!("seed {seed}: engine {engine}: {pair:?}");
        let number = |i: usize, name: &str| pair[i][name].as_u64().expect("a number");
        let (before, after) = (number(0, "fence"), number(1, "fence"));
        assert!(before <= after, "the fencing token fell: {context}");
        if pair[0]["holder"] != pair[1]["holder"] {
            assert!(
                before < after,
                "two holders have the same fencing token: {context}"
            );
            let interval = number(1, "at_ms") - number(0, "at_ms");
            assert!(
                interval >= LEASE_MS,
                "orders of two holders within a lease: {context}"
            );
        }
    }
}

/// Checks that a single holder orders the engine, with tokens that never fall.
fn check_single_holder(seed: u64, engine: usize, orders: &[Value]) {
    let holder = |o: &Value| o["holder"].as_str().map(str::to_owned);
    let fence = |o: &Value| o["fence"].as_u64();
    for pair in orders.windows(2) {
        let context = format!("seed {seed}: engine {engine}: {pair:?}");
        assert_eq!(
            holder(&pair[0]),
            holder(&pair[1]),
            "orders of two holders: {context}"
        );
        assert!(
            fence(&pair[0]) <= fence(&pair[1]),
            "the fencing token fell: {context}"
        );
    }
}

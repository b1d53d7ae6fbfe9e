//! Outages of the store, changes of the configuration and of the target list, and malformed rows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::hosted::replica::Replica;
use standin::hosted::row_store::{Fault, Store};
use standin::link::{Link, LinkFault};
use tokio::time::{sleep, timeout};

use crate::fleet::{config, fetch, ready, Entry, Platform, TIMEOUT};

/// Starts a platform with a plain replica and an entry.
pub async fn fleet() -> (Platform, Arc<Replica>, Entry) {
    let mut platform = Platform::start().await;
    let plain = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    let entry = platform.entry("front-1", 1).await;
    (platform, plain, entry)
}

async fn status(entry: &Entry, path: &str, id: &str) -> u16 {
    fetch(entry, path, id).await.expect("an answer").status
}

#[tokio::test]
async fn process_without_a_configuration_refuses_requests_until_the_store_is_back() {
    // A process that starts during an outage of the store must not answer as if a route or a key
    // were missing; it refuses with a retry-after header until it has a configuration.
    let mut platform = Platform::start().await;
    let plain = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    platform.store.set_fault(Fault::Busy);
    let entry = platform.start_entry("front-1", platform.store_addr).await;
    assert_eq!(ready(&entry).await, 503);
    let answer = fetch(&entry, "/log/1", "early").await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    platform.store.set_fault(Fault::None);
    entry.process.wait_for_event("configured", |_| true).await;
    entry.process.wait_for_event("target", |_| true).await;
    assert_eq!(status(&entry, "/log/1", "later").await, 200);
}

#[tokio::test]
async fn removed_route_stays_removed_after_stale_and_malformed_configurations() {
    // After the operator removes a route, the store returns the older configuration in a lagging
    // read, and then a malformed one. Neither may bring the route back.
    let (platform, _plain, entry) = fleet().await;
    assert_eq!(status(&entry, "/check/1", "before").await, 200);
    let mut without = config(5);
    let routes = without["routes"].as_array_mut().expect("routes");
    routes.retain(|r| r["name"] != "check");
    platform.store.write("op", "config", &without);
    entry
        .process
        .wait_for_event("configured", |e| e["version"] == 5)
        .await;
    assert_eq!(status(&entry, "/check/1", "dropped").await, 404);
    platform.store.write("op", "config", &config(4));
    platform.store.write_raw("op", "config", b"{\"version\":9");
    entry
        .process
        .wait_for_event("bad_row", |e| e["key"] == "config")
        .await;
    assert_eq!(status(&entry, "/check/1", "still").await, 404);
    assert_eq!(status(&entry, "/log/1", "others").await, 200);
}

#[tokio::test]
async fn key_revoked_while_the_store_dropped_its_history_is_refused() {
    // A key is revoked during an outage in which the store drops its history of changes. Only a
    // full read of the rows reveals the change.
    let (platform, _plain, entry) = fleet().await;
    platform.store.set_fault(Fault::Busy);
    entry
        .process
        .wait_for_event("lost", |e| e["dependency"] == "store")
        .await;
    let mut revoked_config = config(2);
    revoked_config["tenants"][0]["api_keys"] = json!(["another"]);
    platform.store.write("op", "config", &revoked_config);
    platform.store.drop_history();
    platform.store.set_fault(Fault::None);
    entry
        .process
        .wait_for_event("configured", |e| e["version"] == 2)
        .await;
    assert_eq!(status(&entry, "/log/1", "revoked").await, 401);
}

#[tokio::test]
async fn process_that_the_store_rejects_gets_the_configuration_from_a_peer() {
    // The store serves one process and rejects the other. Unless the other gets the configuration
    // from its peer, it keeps accepting a key that is revoked in the meantime.
    let (platform, _plain, near) = fleet().await;
    let second = Arc::new(Store::default());
    let (at, _served) = second.start().await.expect("a store");
    second.write("op", "config", &config(1));
    let far = platform.start_entry("front-2", at).await;
    far.process
        .wait_for_event("configured", |e| e["version"] == 1)
        .await;
    let peer = near.process.wait_for_event("listening", |_| true).await["peer"].clone();
    second.write("members", "front-1", &json!({"addr": peer, "entry": true}));
    // The process discovers its peer before the store rejects it.
    let discovery = async {
        while second.calls() < 6 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, discovery).await.expect("the list is read");
    sleep(Duration::from_millis(100)).await;
    second.set_fault(Fault::Busy);
    let mut revoked_config = config(2_000);
    revoked_config["tenants"][0]["api_keys"] = json!(["another"]);
    // Each store numbers its own row versions; these writes raise the first store's count above the
    // second store's.
    for _ in 0..8 {
        platform.store.write("op", "config", &revoked_config);
    }
    far.process
        .wait_for_event("configured", |e| {
            e["version"] == 2_000 && e["source"] == "peer"
        })
        .await;
    assert_eq!(status(&far, "/log/1", "revoked").await, 401);
}

#[tokio::test]
async fn targets_whose_rows_expired_in_an_outage_are_kept_for_a_grace_period() {
    // After a long outage the list is empty until the targets register again. Callers are served
    // meanwhile; a target that is still missing afterwards gets no more requests.
    let (platform, _plain, entry) = fleet().await;
    platform.store.set_fault(Fault::Silent);
    sleep(Duration::from_millis(2_500)).await;
    platform.store.remove("servers", "p1");
    platform.store.set_fault(Fault::None);
    entry
        .process
        .wait_for_event("regained", |e| e["dependency"] == "store")
        .await;
    for n in 0..5 {
        assert_eq!(status(&entry, "/log/1", &format!("kept-{n}")).await, 200);
        sleep(Duration::from_millis(100)).await;
    }
    entry
        .process
        .wait_for_event("target", |e| e["state"] == "gone")
        .await;
    assert_eq!(status(&entry, "/log/1", "gone").await, 503);
}

#[tokio::test]
async fn malformed_target_rows_are_ignored_and_hide_no_target() {
    // Other writers leave target rows with missing or mistyped fields, unknown states, or bytes
    // that aren't JSON, or an unknown service. The well-formed rows must still be used.
    let (platform, plain, entry) = fleet().await;
    let mut unknown_service = platform.store.read("servers", &plain.id).expect("a row");
    unknown_service["service"] = "unknown".into();
    platform.store.write("servers", "x0", &unknown_service);
    platform
        .store
        .write_raw("servers", "x1", b"\xff\xfe not json");
    platform
        .store
        .write("servers", "x2", &json!({"service": 5}));
    let unknown_state = json!({"service": "plain", "address": "127.0.0.1:1", "zone": "a", "slots": 1,
        "state": "resting"});
    platform.store.write("servers", "x3", &unknown_state);
    for key in ["x1", "x2", "x3"] {
        entry
            .process
            .wait_for_event("bad_row", |e| e["key"] == key)
            .await;
    }
    for n in 0..5 {
        assert_eq!(status(&entry, "/log/1", &format!("odd-{n}")).await, 200);
    }
}

#[tokio::test]
async fn draining_target_gets_no_new_request() {
    // A target lists itself as draining while its address still answers. An entry that misses the
    // state sends it new requests for more than the two seconds allowed.
    let (mut platform, plain, entry) = fleet().await;
    let stays = Replica::new("p2", 0, Duration::ZERO);
    platform.replica(&stays, "plain").await;
    entry
        .process
        .wait_for_event("target", |e| e["target"] == "p2")
        .await;
    let at = "127.0.0.1:9".parse().expect("an address");
    platform.list(&plain, "plain", at, "draining");
    entry
        .process
        .wait_for_event("target", |e| e["state"] == "draining")
        .await;
    let before = plain.requests().len();
    for n in 0..6 {
        assert_eq!(status(&entry, "/log/1", &format!("stays-{n}")).await, 200);
    }
    assert_eq!(plain.requests().len(), before);
}

#[tokio::test]
async fn entry_that_the_store_rejects_gets_new_targets_from_its_peers() {
    // While the store rejects one entry, the only target crashes and another one joins. Without its
    // peers' target lists the entry has no target to serve its callers.
    let mut platform = Platform::start().await;
    let first = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&first, "plain").await;
    let (link, _tasks) = Link::start(platform.store_addr).await.expect("a link");
    let _other = platform.entry("front-1", 1).await;
    let rejected = platform.entry_on("front-2", link.addr(), 1).await;
    rejected
        .process
        .wait_for_event("members", |m| m["entries"] == 1)
        .await;
    link.set_fault(LinkFault::Refuse);
    link.reset();
    let second = Replica::new("p2", 0, Duration::ZERO);
    platform.replica(&second, "plain").await;
    platform.store.remove("servers", "p1");
    let is_gone = |t: &serde_json::Value| t["target"] == "p1" && t["state"] == "gone";
    rejected.process.wait_for_event("target", is_gone).await;
    let served = fetch(&rejected, "/log/1", "log-1")
        .await
        .expect("an answer");
    assert_eq!(served.status, 200);
    assert!(second.requests().iter().any(|s| s.id == "log-1" && s.ran));
}

#[tokio::test]
async fn entry_that_the_store_rejects_learns_from_its_peers_that_a_target_left() {
    // A target removes its row while the store rejects one entry. The newest row in the peer's list
    // is unchanged; if the entry takes the list for old, it sends to the target until that exits.
    let mut platform = Platform::start().await;
    let leaves = Replica::new("p1", 0, Duration::ZERO);
    let stays = Replica::new("p2", 0, Duration::ZERO);
    platform.replica(&leaves, "plain").await;
    platform.replica(&stays, "plain").await;
    let (link, _tasks) = Link::start(platform.store_addr).await.expect("a link");
    let _other = platform.entry("front-1", 2).await;
    let rejected = platform.entry_on("front-2", link.addr(), 2).await;
    rejected
        .process
        .wait_for_event("members", |m| m["entries"] == 1)
        .await;
    link.set_fault(LinkFault::Refuse);
    link.reset();
    rejected
        .process
        .wait_for_event("lost", |e| e["dependency"] == "list")
        .await;
    let left = Instant::now();
    platform.store.remove("servers", "p1");
    let is_gone = |t: &serde_json::Value| t["target"] == "p1" && t["state"] == "gone";
    rejected.process.wait_for_event("target", is_gone).await;
    assert!(left.elapsed() < REROUTE_TIMEOUT, "{:?}", left.elapsed());
    for n in 0..6 {
        assert_eq!(
            status(&rejected, "/log/1", &format!("stays-{n}")).await,
            200
        );
    }
    assert!(leaves.requests().is_empty());
}

#[tokio::test]
async fn hanging_store_call_does_not_delay_target_lists_from_peers() {
    // A hanging store call times out after 1.5 s. If a peer's list, read after a pause of 0.8 s,
    // waits for that, a target that left gets new requests after the two seconds allowed.
    let mut platform = Platform::start().await;
    let targets: Vec<_> = (0..11)
        .map(|n| Replica::new(&format!("p{n}"), 0, Duration::ZERO))
        .collect();
    for t in &targets {
        platform.replica(t, "plain").await;
    }
    let (link, _tasks) = Link::start(platform.store_addr).await.expect("a link");
    let other = platform.entry("front-1", targets.len()).await;
    let rejected = platform
        .entry_on("front-2", link.addr(), targets.len())
        .await;
    rejected
        .process
        .wait_for_event("members", |m| m["entries"] == 1)
        .await;
    link.set_fault(LinkFault::HoldBoth);
    rejected
        .process
        .wait_for_event("lost", |e| e["dependency"] == "list")
        .await;
    let mut slowest = Duration::ZERO;
    for t in &targets[1..] {
        platform.store.remove("servers", &t.id);
        let is_gone = |e: &serde_json::Value| e["target"] == *t.id && e["state"] == "gone";
        other.process.wait_for_event("target", is_gone).await;
        let listed_by_peer = Instant::now();
        rejected.process.wait_for_event("target", is_gone).await;
        slowest = slowest.max(listed_by_peer.elapsed());
    }
    // The rest of the two seconds after the peer's pause, a connection and its answer.
    assert!(slowest < Duration::from_millis(900), "{slowest:?}");
}

#[tokio::test]
async fn request_right_after_a_start_waits_for_the_configuration() {
    // After a power loss all entries start at once, and reading the configuration and targets takes
    // some tens of milliseconds. Callers that are refused meanwhile retry much later than that.
    let mut platform = Platform::start().await;
    let plain = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&plain, "plain").await;
    platform
        .store
        .set_fault(Fault::Slow(Duration::from_millis(20)));
    let entry = platform.start_entry("front-1", platform.store_addr).await;
    let answer = fetch(&entry, "/log/1", "log-1").await.expect("an answer");
    assert_eq!(answer.status, 200);
}

/// Time after which a target that has left gets no new request.
const REROUTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Disconnects one of three entries from the store for a while, removes a target's row soon after
/// the reconnection and checks that the entry stops sending requests to that target.
async fn check_target_that_leaves_after_an_outage(disconnected: usize) {
    let mut platform = Platform::start().await;
    let [leaves, stays] = ["p1", "p2"].map(|id| Replica::new(id, 0, Duration::ZERO));
    platform.replica(&leaves, "plain").await;
    platform.replica(&stays, "plain").await;
    let (link, _tasks) = Link::start(platform.store_addr).await.expect("a link");
    let mut entries = Vec::new();
    for n in 0..3 {
        let store = if n == disconnected {
            link.addr()
        } else {
            platform.store_addr
        };
        let entry = platform.entry_on(&format!("front-{n}"), store, 2).await;
        entries.push(entry);
    }
    let entry = &entries[disconnected];
    entry
        .process
        .wait_for_event("members", |m| m["entries"] == 2)
        .await;
    let is_list = |e: &serde_json::Value| e["dependency"] == "list";
    link.set_fault(LinkFault::Refuse);
    link.reset();
    entry.process.wait_for_event("lost", is_list).await;
    link.set_fault(LinkFault::None);
    entry.process.wait_for_event("regained", is_list).await;
    platform.store.remove("servers", "p1");
    let left = Instant::now();
    let mut n = 0;
    while left.elapsed() < REROUTE_TIMEOUT + Duration::from_millis(500) {
        n += 1;
        let id = format!("left-{n}");
        let before = left.elapsed();
        assert_eq!(status(entry, "/log/1", &id).await, 200);
        let reached = leaves.requests().iter().any(|s| s.id == id);
        let lines = [
            entry.process.events("listed"),
            entry.process.events("target"),
        ];
        assert!(
            !reached || before < REROUTE_TIMEOUT,
            "entry {disconnected} sent a request {before:?} after the target left: {lines:?}"
        );
    }
}

#[tokio::test]
async fn target_that_leaves_soon_after_the_store_is_back_gets_no_new_request() {
    // A target removes its row soon after the store is back. The entry takes the row for expired in
    // the outage and sends records there for 2.2 s and beyond, until its next read of the list.
    let cases = (0..3).map(check_target_that_leaves_after_an_outage);
    futures::future::join_all(cases).await;
}

//! A leaving target receives no new requests, whether its sidecar or the platform's host list
//! announced the leave.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{completion, quick, wait_for, words, Caller, Child, Fleet};
use standin::engine::Settings;
use standin::platform::Faults;

/// Number of successive requests that must all avoid a leaving target.
const REQUESTS: usize = 24;

/// Starts a sidecar on a host of the given name.
fn start_sidecar(fleet: &Fleet, target: SocketAddr, host: &str) -> Child {
    let (url, seed, target) = (fleet.url(), fleet.seed(), format!("http://{target}"));
    let args = [
        "sidecar",
        "--platform",
        &url,
        "--seeds",
        &seed,
        "--host",
        host,
    ];
    let own = [
        "--target",
        &target,
        "--pool",
        "lekha-llm",
        "--notice-ms",
        "200",
    ];
    Child::run(&[&args[..], &own].concat())
}

/// Starts two entries and two engines; each engine has a host of its own.
fn start_fleet(set: &Settings) -> Fleet {
    let mut fleet = Fleet::start(2, 2, set);
    for i in 0..2 {
        let new = start_sidecar(&fleet, fleet.replicas[i].standin.at, &format!("host-{i}"));
        let mut old = std::mem::replace(&mut fleet.replicas[i].sidecar, new);
        old.stop();
        assert!(old.wait(), "an idle sidecar exits successfully");
    }
    fleet.wait_members();
    fleet
}

/// Marks a host as leaving in the platform's host list.
fn announce_leave(fleet: &Fleet, host: &str) {
    let list = serde_json::json!([
        {"name": "host-0", "state": if host == "host-0" { "leaving" } else { "live" }},
        {"name": "host-1", "state": if host == "host-1" { "leaving" } else { "live" }},
    ]);
    let platform = Caller::new(fleet.platform_at.at, "");
    assert_eq!(platform.put("/hosts", &list.to_string()).status, 200);
}

/// State of a sidecar in an entry's membership list; empty if the list doesn't hold the sidecar.
fn member_state(fleet: &Fleet, entry: usize, peer: SocketAddr) -> String {
    let status = fleet.operator(entry).get("/admin/status").json();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let peer = peer.to_string();
    let found = members.iter().find(|m| m["peer"] == peer.as_str());
    found.map_or(String::new(), |m| m["state"].to_string().replace('"', ""))
}

/// Sends a completion through one of the two entries and asserts that it is answered in full.
fn assert_served(fleet: &Fleet, n: usize) {
    let prompt = format!("request {n}");
    let answer = fleet
        .caller(n % 2)
        .post("/v1/completions", &completion(&prompt, 4, true));
    assert!(
        answer.is_complete_stream(),
        "{n}: {} {}",
        answer.status,
        answer.text()
    );
    assert_eq!(answer.words(), words(&prompt, 4), "{n}");
}

/// Guards against new requests to a stopping sidecar while the platform's host list doesn't show
/// the leave yet: they would be aborted with the host.
#[test]
fn stopping_target_receives_no_new_requests_while_the_host_list_lags() {
    let set = Settings {
        decode_per_token: Duration::from_millis(20),
        ..quick()
    };
    let mut fleet = start_fleet(&set);
    let delayed_list = Faults {
        hosts_lag_ms: 60_000,
        ..Faults::default()
    };
    fleet.platform.set_faults(delayed_list);
    let body = completion("a long answer", 600, true);
    let long = fleet.caller(0).begin("POST", "/v1/completions", &[], &body);
    long.wait_for("data:");
    let leaving = fleet.running_replica();
    announce_leave(&fleet, &format!("host-{leaving}"));
    fleet.replicas[leaving].sidecar.stop();
    let peer = fleet.replicas[leaving].sidecar.address("peer");
    for entry in 0..2 {
        wait_for("the entry to see the leave", || {
            member_state(&fleet, entry, peer) == "leaving"
        });
    }
    for n in 0..REQUESTS {
        assert_served(&fleet, n);
    }
    let engine = &fleet.replicas[leaving].engine;
    assert_eq!(engine.running(), 1, "the long answer still runs");
    assert!(engine.run_log().is_empty(), "{:?}", engine.run_log());
    assert_eq!(fleet.replicas[1 - leaving].engine.run_log().len(), REQUESTS);
    let answer = long.end();
    assert!(answer.is_complete_stream(), "{}", answer.text());
    assert_eq!(answer.words(), words("a long answer", 600));
    assert!(
        fleet.replicas[leaving].sidecar.wait(),
        "the sidecar exits successfully"
    );
}

/// Guards against new requests to a host whose leave only the platform announced: its processes get
/// no signal and are killed with the host a little later, and their requests are aborted.
#[test]
fn host_announced_as_leaving_receives_no_new_requests() {
    let fleet = start_fleet(&quick());
    announce_leave(&fleet, "host-0");
    let engine = &fleet.replicas[0].engine;
    let mut sent = 0;
    let mut avoided = 0;
    wait_for("the entries to avoid the leaving host", || {
        let before = engine.run_log().len();
        assert_served(&fleet, sent);
        sent += 1;
        avoided = if engine.run_log().len() > before {
            0
        } else {
            avoided + 1
        };
        avoided >= REQUESTS
    });
    println!("{sent} requests until {REQUESTS} in a row had avoided the leaving host");
    let peer = fleet.replicas[0].sidecar.address("peer");
    assert_eq!(
        member_state(&fleet, 0, peer),
        "alive",
        "the sidecar itself doesn't announce a leave"
    );
    let before = engine.run_log().len();
    (sent..sent + REQUESTS).for_each(|n| assert_served(&fleet, n));
    assert_eq!(engine.run_log().len(), before);
}

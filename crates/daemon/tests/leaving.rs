//! A target that leaves gets no new work, whichever way its leave is known.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{completion, quick, wait_for, words, Caller, Child, Fleet};
use standin::engine::Settings;
use standin::platform::Faults;

/// Requests that must all pass a target by.
const MANY: usize = 24;

/// A sidecar on a host of its own.
fn sidecar(fleet: &Fleet, target: SocketAddr, host: &str) -> Child {
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

/// Two entries and two engines, each on a host of its own.
fn hosted(set: &Settings) -> Fleet {
    let mut fleet = Fleet::start(2, 2, set);
    for i in 0..2 {
        let new = sidecar(&fleet, fleet.replicas[i].standin.at, &format!("host-{i}"));
        let mut old = std::mem::replace(&mut fleet.replicas[i].sidecar, new);
        old.stop();
        assert!(old.wait(), "an idle sidecar ends well");
    }
    fleet.wait_members();
    fleet
}

/// The platform's host list says that a host goes.
fn announce(fleet: &Fleet, host: &str) {
    let list = serde_json::json!([
        {"name": "host-0", "state": if host == "host-0" { "leaving" } else { "live" }},
        {"name": "host-1", "state": if host == "host-1" { "leaving" } else { "live" }},
    ]);
    let platform = Caller::new(fleet.platform_at.at, "");
    assert_eq!(platform.put("/hosts", &list.to_string()).status, 200);
}

/// What an entry thinks of a sidecar; nothing if it has forgotten it.
fn state(fleet: &Fleet, entry: usize, peer: SocketAddr) -> String {
    let status = fleet.operator(entry).get("/admin/status").json();
    let members = status["members"].as_array().cloned().unwrap_or_default();
    let peer = peer.to_string();
    let found = members.iter().find(|m| m["peer"] == peer.as_str());
    found.map_or(String::new(), |m| m["state"].to_string().replace('"', ""))
}

fn ask(fleet: &Fleet, n: usize) {
    let prompt = format!("request {n}");
    let answer = fleet
        .caller(n % 2)
        .post("/v1/completions", &completion(&prompt, 4, true));
    assert!(answer.whole(), "{n}: {} {}", answer.status, answer.text());
    assert_eq!(answer.words(), words(&prompt, 4), "{n}");
}

/// A sidecar is told to stop while it serves a long answer; the platform's host list will say so
/// a minute later. New work that still came would wait for nothing, or be cut with the host.
#[test]
fn stopping_target_gets_nothing_new_while_the_host_list_lags() {
    let set = Settings {
        decode_per_token: Duration::from_millis(20),
        ..quick()
    };
    let mut fleet = hosted(&set);
    let lag = Faults {
        hosts_lag_ms: 60_000,
        ..Faults::default()
    };
    fleet.platform.set_faults(lag);
    let body = completion("a long answer", 600, true);
    let long = fleet.caller(0).begin("POST", "/v1/completions", &[], &body);
    long.wait_for("data:");
    let leaving = fleet.runner();
    announce(&fleet, &format!("host-{leaving}"));
    fleet.replicas[leaving].sidecar.stop();
    let peer = fleet.replicas[leaving].sidecar.address("peer");
    for entry in 0..2 {
        wait_for("the leave to be known", || {
            state(&fleet, entry, peer) == "leaving"
        });
    }
    for n in 0..MANY {
        ask(&fleet, n);
    }
    let engine = &fleet.replicas[leaving].engine;
    assert_eq!(engine.running(), 1, "the long answer still runs");
    assert!(engine.run_log().is_empty(), "{:?}", engine.run_log());
    assert_eq!(fleet.replicas[1 - leaving].engine.run_log().len(), MANY);
    let answer = long.end();
    assert!(answer.whole(), "{}", answer.text());
    assert_eq!(answer.words(), words("a long answer", 600));
    assert!(fleet.replicas[leaving].sidecar.wait(), "it ends well");
}

/// The platform announces that a host goes, and the processes on it know nothing of it: they are
/// killed with the host a little later. What they took until then is cut.
#[test]
fn host_announced_by_the_platform_gets_nothing_new() {
    let fleet = hosted(&quick());
    announce(&fleet, "host-0");
    let engine = &fleet.replicas[0].engine;
    let mut sent = 0;
    let mut passed = 0;
    wait_for("the announcement to be heeded", || {
        let before = engine.run_log().len();
        ask(&fleet, sent);
        sent += 1;
        passed = if engine.run_log().len() > before {
            0
        } else {
            passed + 1
        };
        passed >= MANY
    });
    println!("{sent} requests until {MANY} in a row had passed the leaving host by");
    let peer = fleet.replicas[0].sidecar.address("peer");
    assert_eq!(
        state(&fleet, 0, peer),
        "alive",
        "it knows nothing of its leave"
    );
    let before = engine.run_log().len();
    (sent..sent + MANY).for_each(|n| ask(&fleet, n));
    assert_eq!(engine.run_log().len(), before);
}

//! A store whose address changes in the settings while processes run.

use std::time::Duration;

use futures::future::join_all;
use serde_json::{json, Value};
use standin::hosted::replica::Replica;
use standin::link::{Link, LinkFault};

use crate::fleet::{config, fetch, Platform, Process, MODEL};

struct Case {
    name: &'static str,
    /// Whether the processes receive a signal after the change of their settings.
    signal: bool,
    /// What the former address does from then on.
    former: LinkFault,
}

/// Replaces the address of the store in a process's settings file.
fn move_store(process: &Process, from: &str, to: &str) {
    let path = process.settings_file();
    let text = std::fs::read_to_string(&path).expect("the settings");
    let line = |addr: &str| format!("platform.address={addr}");
    assert!(text.contains(&line(from)));
    std::fs::write(&path, text.replace(&line(from), &line(to))).expect("the settings");
}

async fn check(case: &Case) {
    let mut platform = Platform::start().await;
    let first = Replica::new("p1", 0, Duration::ZERO);
    platform.replica(&first, "plain").await;
    let engine = Replica::new("e1", 2, Duration::ZERO);
    engine.set_version(MODEL, 1);
    let at = platform.start_replica(&engine).await;
    let (former, _tasks) = Link::start(platform.store_addr).await.expect("a link");
    let (next, _more) = Link::start(platform.store_addr).await.expect("a link");
    let entry = platform.entry_on("front-1", former.addr(), 1).await;
    let sidecar = platform.sidecar_on("side-1", former.addr(), at);
    entry
        .process
        .wait_for_event("members", |m| m["sidecars"] == 1)
        .await;
    sidecar
        .wait_for_event("members", |m| m["entries"] == 1)
        .await;
    for p in [&entry.process, &sidecar] {
        move_store(p, &former.addr().to_string(), &next.addr().to_string());
        if case.signal {
            p.signal("HUP");
        }
        p.wait_for_event("reloaded", |_| true).await;
    }
    former.set_fault(case.former);
    if case.former == LinkFault::Refuse {
        former.reset();
    }
    let mut revoked = config(2);
    revoked["tenants"][0]["api_keys"] = json!(["another"]);
    platform.store.write("op", "config", &revoked);
    let weights = json!({"model": MODEL, "version": 2});
    platform.store.write("op", "version/lekha", &weights);
    platform.store.remove("servers", "p1");
    let newer = |e: &Value| e["version"] == 2;
    entry.process.wait_for_event("configured", newer).await;
    sidecar.wait_for_event("named", newer).await;
    let is_gone = |e: &Value| e["state"] == "gone";
    entry.process.wait_for_event("target", is_gone).await;
    let answer = fetch(&entry, "/log/1", "revoked").await.expect("an answer");
    assert_eq!(answer.status, 401, "{}", case.name);
    // A process that starts now is listed at the new address only.
    let _late = platform.start_entry("front-2", next.addr()).await;
    for (p, entries) in [(&entry.process, 1), (&sidecar, 2)] {
        p.wait_for_event("members", |m| m["entries"] == entries)
            .await;
    }
}

#[tokio::test]
async fn changed_address_of_the_store_is_used_without_a_restart() {
    // Guards against processes that keep the former address, where nothing answers or changes any more.
    let cases = [
        Case {
            name: "signal, refused",
            signal: true,
            former: LinkFault::Refuse,
        },
        Case {
            name: "signal, silent",
            signal: true,
            former: LinkFault::HoldBoth,
        },
        Case {
            name: "no signal, silent",
            signal: false,
            former: LinkFault::HoldBoth,
        },
    ];
    join_all(cases.iter().map(check)).await;
}

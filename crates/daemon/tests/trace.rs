//! Traces of real entries and sidecars: each hop writes one span, all with the caller's trace id.

mod common;

use std::collections::BTreeMap;

use common::{completion, quick, wait_for, Child, Fleet, Replica, StandIn};
use serde_json::Value;
use standin::engine::Engine;

/// Trace id that the caller sends.
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
/// Span id that the caller sends; the parent of the entry's span.
const PARENT: &str = "b7ad6b7169203331";

/// The spans in a trace file, by name; a line that isn't completely written yet is skipped.
fn spans(path: &str) -> BTreeMap<String, Value> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines = text
        .lines()
        .filter_map(|l| serde_json::from_str::<Value>(l).ok());
    let span = |l: Value| Some((l["span"]["name"].as_str()?.to_owned(), l["span"].clone()));
    lines.filter_map(span).collect()
}

/// Guards against spans that don't carry the caller's trace id: spans of different processes
/// couldn't be related to each other to find the hop that made a request slow.
#[test]
fn each_hop_writes_a_span_of_the_callers_trace() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let dir = std::env::temp_dir();
    let file = |n: &str| {
        let name = format!("clementinestep-trace-{n}-{}", std::process::id());
        dir.join(name).to_string_lossy().into_owned()
    };
    let (at_entry, at_sidecar) = (file("entry"), file("sidecar"));
    let (url, seed) = (fleet.url(), fleet.seed());
    let settings = ["--platform", &url, "--seeds", &seed, "--trace-file"];
    let entry = [&["entry"][..], &settings, &[&at_entry]].concat();
    fleet.entries.push(Child::run(&entry));
    let engine = Engine::new(quick());
    let standin = StandIn::start(common::any_port(), engine.router());
    let target = format!("http://{}", standin.at);
    let more = ["--target", &target, "--pool", "lekha-llm"];
    let sidecar = [&["sidecar"][..], &settings, &[&at_sidecar], &more].concat();
    fleet.replicas.push(Replica {
        engine,
        standin,
        sidecar: Child::run(&sidecar),
        earlier_engines: Vec::new(),
    });
    fleet.wait_members();
    fleet.wait_version(1, 1);

    let context = format!("00-{TRACE}-{PARENT}-01");
    let body = completion("a prompt", 3, true);
    let headers = [("traceparent", context.as_str())];
    let caller = fleet.caller(1);
    let answer = caller.send("POST", "/v1/completions", &headers, &body);
    assert!(answer.is_complete_stream(), "{}", answer.text());
    wait_for("the spans of both processes", || {
        spans(&at_entry).contains_key("entry") && spans(&at_sidecar).contains_key("target")
    });
    let mut all = spans(&at_entry);
    all.extend(spans(&at_sidecar));
    let names: Vec<&str> = all.keys().map(String::as_str).collect();
    assert_eq!(names, ["entry", "probe", "queue", "target"]);
    assert!(all.values().all(|s| s["trace"] == TRACE), "{all:?}");
    assert_eq!(all["entry"]["parent"], PARENT);
    for child in ["probe", "queue", "target"] {
        assert_eq!(all[child]["parent"], all["entry"]["span"], "{child}");
    }
    for path in [at_entry, at_sidecar] {
        let _ = std::fs::remove_file(path);
    }
}

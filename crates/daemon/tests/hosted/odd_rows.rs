//! Odd rows of another writer in the tables that the processes read.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{json, Value};
use standin::hosted::replica::{Fault, Replica};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::fleet::{config, fetch, Entry, Platform, Process, MODEL, TIMEOUT};

/// Number of rows in one page of the store.
const PAGE: usize = 500;
/// Time within which rows reach all processes.
const SPREAD: Duration = Duration::from_secs(3);
/// Interval at which replicas write their rows.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Odd values, also for rows that a sound one has replaced.
fn odd_values(engine: &Value) -> Vec<Vec<u8>> {
    let numbers = [
        "-1",
        "0",
        "65536",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        "1e309",
    ];
    let mut values: Vec<String> = vec![
        String::new(),
        "{}".to_owned(),
        "[]".to_owned(),
        "null".to_owned(),
        "[".repeat(20_000),
        format!("{}{}", "[".repeat(20_000), "]".repeat(20_000)),
        r#"{"models":"#.repeat(5_000),
        format!(
            r#"{{"addr":{}1{}}}"#,
            "[".repeat(20_000),
            "]".repeat(20_000)
        ),
    ];
    let fields = engine.as_object().expect("an object");
    for name in fields.keys() {
        for number in numbers {
            let others = fields.iter().filter(|(k, _)| *k != name);
            let mut parts: Vec<_> = others.map(|(k, v)| format!("{}:{v}", json!(k))).collect();
            parts.push(format!("{}:{number}", json!(name)));
            values.push(format!("{{{}}}", parts.join(",")));
        }
        let mut lacking = fields.clone();
        lacking.remove(name);
        values.push(Value::from(lacking).to_string());
        // A field that is there twice.
        let whole = engine.to_string();
        values.push(format!(
            "{},{}:{}}}",
            &whole[..whole.len() - 1],
            json!(name),
            fields[name]
        ));
    }
    for addr in [
        "",
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "255.255.255.255:80",
        "[::1]:80",
        "host:80",
    ] {
        for entry in [true, false] {
            let member = json!({"addr": addr, "entry": entry, "domain": "a", "engine": addr});
            values.push(member.to_string());
        }
        let mut target = fields.clone();
        target.insert("address".to_owned(), addr.into());
        values.push(Value::from(target).to_string());
    }
    let mut values: Vec<_> = values.into_iter().map(String::into_bytes).collect();
    values.push(vec![0; 300]);
    values.push(vec![0xff, 0xfe, 0x80]);
    values
}

/// Writes odd rows to all tables, and a page of them to the list of targets.
fn write_odd_rows(platform: &Platform, sound: &[(&str, &str)], engine: &Value) {
    let store = &platform.store;
    let values = odd_values(engine);
    for table in ["servers", "members", "builds", "crashing_parts"] {
        for (n, value) in values.iter().enumerate() {
            store.write_raw(table, &format!("odd-{n}"), value);
        }
        for key in ["\u{7f}\n", "ffffffffffffffff", "é", "pools"] {
            store.write_raw(table, key, &values[n_th(key, values.len())]);
        }
    }
    for (n, value) in values.iter().enumerate() {
        // A page of rows in all.
        let copies = PAGE / values.len();
        for copy in 0..copies {
            store.write_raw("servers", &format!("page-{n}-{copy}"), value);
        }
        store.write_raw("op", &format!("odd-{n}"), value);
        store.write_raw("op", &format!("version/odd-{n}"), value);
        // Rows of another part have the keys of sound ones.
        for (table, key) in sound {
            store.write_in_part(table, &format!("p{n}"), key, value);
        }
    }
    // A pool that no configuration has, at the address of a sound replica.
    let mut foreign = engine.clone();
    foreign["service"] = json!("elsewhere");
    store.write("servers", "foreign", &foreign);
}

fn n_th(key: &str, count: usize) -> usize {
    key.len() % count
}

struct Fleet {
    platform: Platform,
    engines: Vec<Arc<Replica>>,
    entries: Vec<Entry>,
    sidecars: Vec<Process>,
}

impl Fleet {
    async fn start(platform: Platform, engines: Vec<Arc<Replica>>) -> Self {
        let mut fleet = Self {
            platform,
            engines,
            entries: Vec::new(),
            sidecars: Vec::new(),
        };
        for (n, engine) in fleet.engines.iter().enumerate() {
            let addr = engine.addr().expect("an address");
            fleet
                .sidecars
                .push(fleet.platform.sidecar(&format!("side-{n}"), addr));
        }
        for n in 0..2 {
            let entry = fleet.platform.entry(&format!("front-{n}"), 3).await;
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Checks that no process has ended, that each follows the operator, and that all sound replicas serve.
    async fn check(&mut self, version: u64, name: &str) {
        let store = &self.platform.store;
        store.write("op", "config", &config(version));
        store.write(
            "op",
            &format!("version/{MODEL}"),
            &json!({"model": MODEL, "version": version}),
        );
        let loaded = async {
            while self.engines.iter().any(|e| e.version(MODEL) != version) {
                sleep(POLL_INTERVAL).await;
            }
        };
        assert!(timeout(TIMEOUT, loaded).await.is_ok(), "{name}: weights");
        for (n, entry) in self.entries.iter().enumerate() {
            let configured = |e: &Value| e["version"] == version;
            entry.process.wait_for_event("configured", configured).await;
            let mut served = 0;
            for request in 0..20 {
                for path in ["/check/1", "/probe/1"] {
                    let id = format!("{name}-{n}-{request}{}", path.replace('/', "-"));
                    let answer = fetch(entry, path, &id).await;
                    served += usize::from(answer.is_ok_and(|a| a.status == 200));
                }
            }
            assert_eq!(served, 40, "{name}: {}", entry.process.log_tail());
        }
        for (n, engine) in self.engines.iter().enumerate() {
            // Requests that the others refuse reach the engine unless it is hidden.
            let others = self.engines.iter().filter(|e| e.id != engine.id);
            others.clone().for_each(|e| e.set_fault(Fault::Full));
            for entry in &self.entries {
                let id = format!("{name}-only-{n}");
                let answer = fetch(entry, "/probe/1", &id).await.expect("an answer");
                let log = entry.process.log_of_request(&id);
                assert_eq!(answer.status, 200, "{name}: {} is hidden: {log}", engine.id);
            }
            others.for_each(|e| e.set_fault(Fault::None));
            // Engines that have refused requests are avoided for a while.
            sleep(SPREAD).await;
        }
        let processes = self.entries.iter_mut().map(|e| &mut e.process);
        for process in processes.chain(&mut self.sidecars) {
            assert!(!process.has_ended(), "{name}: {}", process.log_tail());
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_row_of_another_writer_costs_only_itself() {
    // Guards against processes that end, stop following a table or lose sound replicas because of a row.
    for before_start in [true, false] {
        let mut platform = Platform::start().await;
        let mut engines = Vec::new();
        for n in 0..2 {
            let engine = Replica::new(&format!("e{n}"), 4, Duration::from_millis(5));
            engine.set_version(MODEL, 1);
            platform.replica(&engine, "engines").await;
            engines.push(engine);
        }
        let plain = Replica::new("p0", 0, Duration::ZERO);
        platform.replica(&plain, "plain").await;
        let row = platform.store.read("servers", "e0").expect("a row");
        let store = Arc::clone(&platform.store);
        let _heartbeats = AbortOnDropHandle::new(tokio::spawn(async move {
            loop {
                for id in ["e0", "e1", "p0"] {
                    let row = store.read("servers", id).expect("a row");
                    store.write("servers", id, &row);
                }
                sleep(HEARTBEAT).await;
            }
        }));
        let sound = [
            ("servers", "e0"),
            ("servers", "p0"),
            ("members", "front-0"),
            ("members", "side-0"),
            ("op", "config"),
        ];
        if before_start {
            write_odd_rows(&platform, &sound, &row);
        }
        let mut fleet = Fleet::start(platform, engines).await;
        if !before_start {
            fleet.check(2, "before").await;
            write_odd_rows(&fleet.platform, &sound, &row);
            sleep(SPREAD).await;
        }
        fleet.check(3, "after").await;
        // A process that starts among odd rows.
        fleet.entries[0] = fleet.platform.entry("front-0", 3).await;
        fleet.check(4, "started again").await;
    }
}

#[tokio::test]
async fn row_of_a_process_that_another_writer_has_replaced_is_written_again() {
    // Guards against a process that the others lose because of a row.
    let platform = Platform::start().await;
    let entry = platform.entry("front-0", 0).await;
    let addr = platform.wait_for_member("front-0").await.to_string();
    for value in [
        &b"odd"[..],
        b"{}",
        br#"{"addr":"127.0.0.1:65536","entry":true}"#,
    ] {
        platform.store.write_raw("members", "front-0", value);
        let written = async {
            let is_own = |row: Option<Value>| row.is_some_and(|r| r["addr"] == addr);
            while !is_own(platform.store.read("members", "front-0")) {
                sleep(POLL_INTERVAL).await;
            }
        };
        let written = timeout(TIMEOUT, written).await;
        assert!(written.is_ok(), "{}", entry.process.log_tail());
    }
}

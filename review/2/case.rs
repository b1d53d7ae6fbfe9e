//! The store leaves one machine without a response for seven seconds, and a key is taken away
//! meanwhile. Long after the store serves that machine again, it still takes requests with that key.

#[path = "../bed/bed.rs"]
mod bed;

use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use bed::http::Conn;
use bed::process::{Entry, Ports};
use bed::record::Record;
use bed::replica::Replica;
use bed::store::Store;

/// Bounds of the installation, in seconds.
const CONTACT: f64 = 3.0;
const CONFIG_APPLY: f64 = 2.0;
/// Length of the disruption, that of `platform_down` with "nodes leader silent" in the site file.
const UNSERVED: f64 = 7.0;
/// How long requests with the key are sent after all machines are in touch again.
const WATCH: f64 = 14.0;
/// Allowance for this machine's clock and load.
const MARGIN: f64 = 0.3;
/// The machine that the store leaves without a response: one of three.
const UNSERVED_MACHINE: &str = "front-a-1";

const HOST: &str = "poll.example";
const KEPT: &str = "key-kept";
const REVOKED: &str = "key-revoked";

fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<_> = keys.iter().map(|k| format!("\"{k}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"check","host":"{HOST}","prefix":"/check/","kind":"idempotent","service":"plain","timeout_ms":2500,"target_latency_ms":150,"priority":2,"max_attempts":2,"anonymous":false,"sticky":false,"resumable":false,"target_gap_ms":0}}],"services":[{{"name":"plain","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":5000,"idle_timeout_ms":10000}},"tenants":[{{"name":"north","api_keys":[{}],"priority":1,"isolated":false}}]}}"#,
        keys.join(",")
    )
}

/// Status of the answer to a request on a new channel, or 0 if there is none.
fn ask(entry: &Entry, key: &str, id: &str) -> u16 {
    let limit = Duration::from_secs(3);
    let headers = [
        ("host", HOST.to_owned()),
        ("attempt-id", id.to_owned()),
        ("deadline-ms", "2500".to_owned()),
        ("credential", key.to_owned()),
        ("connection", "close".to_owned()),
    ];
    let Ok(mut conn) = Conn::connect(entry.front, limit) else {
        return 0;
    };
    let answer = conn.exchange("GET /check/cell HTTP/1.1", &headers, b"", limit);
    answer.map_or(0, |a| a.status())
}

fn wait_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}

fn run(dir: &Path, trouble: bool) -> std::io::Result<bool> {
    let record = Record::create(&dir.join("record.txt"))?;
    let root = std::env::current_dir()?;
    let work = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&work)?;
    let store = Store::create();
    store.write("op", "config", &config(1, &[KEPT, REVOKED]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let (busy, away) = (Duration::from_millis(5), Duration::from_secs(2));
    for name in ["p1", "p2"] {
        Replica::start(name, "plain", &store, &record, busy, away, &runs)?;
    }
    let ports = Ports::find(3)?;
    let mut entries = Vec::new();
    for number in 1..=3 {
        let at = store.open(&format!("front-a-{number}"))?;
        entries.push(Entry::prepare(&root, &work, number, ports, at)?);
    }
    for e in &mut entries {
        e.start()?;
    }
    record.say("3 entries are ready");
    wait_until(&record, record.now() + CONTACT + 1.0);
    for (e, key) in entries.iter().flat_map(|e| [(e, KEPT), (e, REVOKED)]) {
        if ask(e, key, &format!("before-{}-{key}", e.name)) != 200 {
            return Err(std::io::Error::other("no service before the disruption"));
        }
    }

    store.write("op", "config", &config(5, &[KEPT, REVOKED]));
    let start = record.now();
    record.say("version 5 is acknowledged: both keys are held");
    wait_until(&record, start + 0.5);
    if trouble {
        store.set_served(UNSERVED_MACHINE, false);
        record.say(&format!(
            "the store gives {UNSERVED_MACHINE} no response from now on"
        ));
    }
    wait_until(&record, start + 1.5);
    store.write("op", "config", &config(9, &[KEPT]));
    let acked = record.now();
    record.say(&format!(
        "version 9 is acknowledged: {REVOKED} is taken away"
    ));
    wait_until(&record, start + 0.5 + UNSERVED);
    store.set_served(UNSERVED_MACHINE, true);
    let stable = record.now() + CONTACT;
    record.say("the store serves all machines");
    wait_until(&record, stable.max(acked + CONFIG_APPLY) + MARGIN);
    record.say("all machines have been in touch for contact_ms");

    let end = record.now() + WATCH;
    let mut taken: Vec<(String, f64, f64)> = Vec::new();
    let mut sent = 0;
    while record.now() < end {
        for e in &entries {
            let id = format!("{}-{sent}", e.name);
            let at = record.now();
            let status = ask(e, REVOKED, &id);
            sent += 1;
            record.line(&format!("{id} sent to {} with {REVOKED}: {status}", e.name));
            if runs.lock().unwrap().iter().any(|r| r.id == id) {
                taken.push((e.name.clone(), at - acked, at - (stable - CONTACT)));
            }
        }
        sleep(Duration::from_millis(200));
    }
    let served = entries
        .iter()
        .all(|e| ask(e, KEPT, &format!("after-{}", e.name)) == 200);
    if !served || entries.iter_mut().any(|e| e.has_ended()) {
        return Err(std::io::Error::other("no service after the disruption"));
    }
    let _ = std::fs::remove_dir_all(&work);
    record.say(&format!(
        "{sent} requests with {REVOKED} sent, {} of them ran",
        taken.len()
    ));
    if let (Some(first), Some(last)) = (taken.first(), taken.last()) {
        record.say(&format!(
            "CONFIG broken: at {} they ran from {:.1} s to {:.1} s after the ack of the version \
             without that key, up to {:.1} s after the store served the machine again",
            last.0, first.1, last.1, last.2
        ));
    }
    Ok(taken.is_empty())
}

fn main() -> ExitCode {
    let dir = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    match run(Path::new(&dir), trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}

//! A hosted platform in this process and the real binary as children.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use serde_json::Value;
use standin::call::{Call, CallError};
use standin::hosted::replica::Replica;
use standin::hosted::row_store::Store;
use standin::hosted::sample::{self, settings};
pub use standin::hosted::sample::{config, HOST, KEY, MODEL};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Longest wait for anything; only a fault reaches it.
pub const LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(10);
/// Log lines shown with a failure.
const TAIL: usize = 60;
/// A process of ours; it is killed when dropped.
pub struct Process {
    child: Child,
    lines: Arc<Mutex<Vec<Value>>>,
    _settings: tempfile::TempDir,
}

impl Process {
    /// Starts one with a settings file of these lines.
    pub fn start(lines: &[String]) -> Self {
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("boot.conf");
        std::fs::write(&path, lines.join("\n")).expect("the settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_clementinestepd"))
            .env("CLEMENTINESTEP_SETTINGS", &path)
            .env("CLEMENTINESTEP_METRICS_PORT", "0")
            .stdout(Stdio::piped())
            .spawn()
            .expect("start of the daemon");
        let out = child.stdout.take().expect("its output");
        let lines: Arc<Mutex<Vec<Value>>> = Arc::default();
        let kept = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                let value = serde_json::from_str(&line);
                let value = value.unwrap_or_else(|e| panic!("not JSON: {line:?}: {e}"));
                kept.lock().expect("lines").push(value);
            }
        });
        Self {
            child,
            lines,
            _settings: dir,
        }
    }

    /// The log lines of one kind so far.
    pub fn events(&self, kind: &str) -> Vec<Value> {
        let lines = self.lines.lock().expect("lines");
        let of_kind = lines.iter().filter(|l| l["event"] == kind);
        of_kind.cloned().collect()
    }

    /// The log lines on one request, and when the process started and stopped, for a failure's message.
    pub fn about(&self, id: &str) -> String {
        let lines = self.lines.lock().expect("lines");
        let life = |l: &Value| l["event"] == "listening" || l["event"] == "stopping";
        let said = lines.iter().filter(|l| l["request"] == id || life(l));
        said.map(|l| format!("{l}\n")).collect()
    }

    /// The last log lines, for a failure's message.
    pub fn tail(&self) -> String {
        let lines = self.lines.lock().expect("lines");
        let last = lines.iter().skip(lines.len().saturating_sub(TAIL));
        last.map(|l| format!("{l}\n")).collect()
    }

    /// Waits for a log line that passes a test.
    pub async fn event(&self, kind: &str, test: impl Fn(&Value) -> bool) -> Value {
        let found = async {
            loop {
                if let Some(e) = self.events(kind).into_iter().find(|e| test(e)) {
                    return e;
                }
                sleep(LOOK).await;
            }
        };
        let found = timeout(LIMIT, found).await;
        found.unwrap_or_else(|_| panic!("no such line of {kind}: {:?}", self.events(kind)))
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill").success());
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end; true if it ended well.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|s| s.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An entry and where it is reached.
pub struct Entry {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// A hosted platform.
pub struct Platform {
    pub store: Arc<Store>,
    pub at: SocketAddr,
    _served: JoinSet<()>,
    replicas: Vec<JoinSet<()>>,
}

impl Platform {
    /// An empty platform with a configuration.
    pub async fn start() -> Self {
        let store: Arc<Store> = Arc::default();
        let (at, served) = store.start().await.expect("the store");
        store.write("op", "config", &config(1));
        Self {
            store,
            at,
            _served: served,
            replicas: Vec::new(),
        }
    }

    /// Adds a replica to a service.
    pub async fn replica(&mut self, replica: &Arc<Replica>, service: &str) -> SocketAddr {
        let at = self.serve(replica).await;
        self.list(replica, service, at, "ready");
        at
    }

    /// Starts a replica that isn't in the list yet.
    pub async fn serve(&mut self, replica: &Arc<Replica>) -> SocketAddr {
        let (at, served) = replica.start().await.expect("a replica");
        self.replicas.push(served);
        at
    }

    /// Enters a replica in the list.
    pub fn list(&self, replica: &Replica, service: &str, at: SocketAddr, state: &str) {
        self.list_life(replica, service, at, state, 1);
    }

    /// Enters a life of a replica in the list.
    pub fn list_life(
        &self,
        replica: &Replica,
        service: &str,
        at: SocketAddr,
        state: &str,
        born: u64,
    ) {
        let entry = sample::entry(replica, service, at, state, born);
        self.store.write("servers", &replica.id, &entry);
    }

    /// Starts an entry and waits until it is ready and knows so many targets.
    pub async fn entry(&self, name: &str, targets: usize) -> Entry {
        self.entry_on(name, self.at, targets).await
    }

    /// The same on a store at an address.
    pub async fn entry_on(&self, name: &str, store: SocketAddr, targets: usize) -> Entry {
        let entry = self.unready(name, store).await;
        let all = async {
            while entry.process.events("target").len() < targets {
                sleep(LOOK).await;
            }
            while ready(&entry).await != 200 {
                sleep(LOOK).await;
            }
        };
        timeout(LIMIT, all).await.expect("an entry that is ready");
        entry
    }

    /// Starts an entry on a store at an address.
    pub async fn unready(&self, name: &str, store: SocketAddr) -> Entry {
        let mut lines = settings(name, store);
        lines.push("listen.front=127.0.0.1:0".to_owned());
        lines.push("listen.ready=127.0.0.2:0".to_owned());
        let process = Process::start(&lines);
        let at = process.event("listening", |_| true).await;
        let addr = |n: &str| at[n].as_str().expect("text").parse().expect("an address");
        Entry {
            callers: addr("callers"),
            ready: addr("ready"),
            process,
        }
    }

    /// Waits until a process has entered itself among the members; returns where others reach it.
    pub async fn member(&self, name: &str) -> SocketAddr {
        let entered = async {
            loop {
                if let Some(value) = self.store.read("members", name) {
                    let addr = value["addr"].as_str().expect("an address");
                    return addr.parse().expect("an address");
                }
                sleep(LOOK).await;
            }
        };
        timeout(LIMIT, entered).await.expect("a member")
    }

    /// Starts a sidecar of an engine.
    pub fn sidecar(&self, name: &str, engine: SocketAddr) -> Process {
        self.sidecar_on(name, self.at, engine)
    }

    /// The same on a store at an address.
    pub fn sidecar_on(&self, name: &str, store: SocketAddr, engine: SocketAddr) -> Process {
        let mut lines = settings(name, store);
        lines.push(format!("app={engine}"));
        let first = self.store.read("members", name).is_none();
        lines.push(format!("bootstrap={first}"));
        lines.push("service=engines".to_owned());
        Process::start(&lines)
    }
}

/// A request to an entry, with the headers that callers send.
pub fn request(entry: &Entry, path: &str, id: &str) -> Call {
    request_to(entry.callers, path, id)
}

/// The same to an address.
pub fn request_to(at: SocketAddr, path: &str, id: &str) -> Call {
    let mut call = match path.starts_with("/check/") {
        true => Call::get(at, path),
        false => Call::post(at, path, "body"),
    };
    call.headers = vec![
        ("host", HOST.to_owned()),
        ("attempt-id", id.to_owned()),
        ("deadline-ms", "3000".to_owned()),
        ("credential", KEY.to_owned()),
    ];
    if path.starts_with("/code/") || path.starts_with("/probe/") {
        call.headers.push(("model", MODEL.to_owned()));
        call.headers.push(("token-counts", "60,10".to_owned()));
        call.headers
            .push(("prompt-prefix", "a1:20,b2:30,c3:10".to_owned()));
    }
    call
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Sends a request and collects its answer; an answer that is cut short is an error.
pub async fn ask(entry: &Entry, path: &str, id: &str) -> Result<Answer, CallError> {
    ask_at(entry.callers, path, id).await
}

/// The same at an address.
pub async fn ask_at(at: SocketAddr, path: &str, id: &str) -> Result<Answer, CallError> {
    let sent = async {
        let response = request_to(at, path, id).send().await?;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Answer {
            status,
            headers,
            body,
        })
    };
    timeout(LIMIT, sent).await.expect("an answer")
}

/// The status with which an entry says whether it takes new connections.
pub async fn ready(entry: &Entry) -> u16 {
    ready_at(entry.ready).await
}

/// The same at an address.
pub async fn ready_at(at: SocketAddr) -> u16 {
    match Call::get(at, "/api/ready").fetch().await {
        Ok((status, _)) => status.as_u16(),
        Err(_) => 0,
    }
}

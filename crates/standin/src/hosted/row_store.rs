//! The row store of the hosted platform: tables, a feed of changes, and injected outages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{json, Value};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::{reply, serve, Body};
use crate::lock;
use crate::switch::Switch;

/// The table in which processes of the router write their own addresses.
const MEMBERS_TABLE: &str = "members";

/// Separates a part's name from the key of a row; keys of the part without a name have none.
const PART_SEPARATOR: char = '\u{1}';

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Answers 503 without effect.
    Busy,
    /// Never answers.
    Silent,
    /// Handles each call after this delay.
    Slow(Duration),
}

/// Version and value by table and key; no value for deleted rows.
type Tables = BTreeMap<(String, String), (u64, Option<String>)>;

/// A backup of the store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct Snapshot {
    rows: Tables,
    version: u64,
}

/// The `store-era` header of the answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum EraHeader {
    /// The current era.
    #[default]
    Current,
    /// No header.
    Missing,
    /// This text.
    Value(&'static str),
}

#[derive(Debug)]
struct State {
    rows: Tables,
    version: u64,
    /// Incremented by each restore.
    era: u64,
    era_header: EraHeader,
    /// The feed no longer has the changes up to this version.
    history_start: u64,
    fault: Fault,
    calls: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            rows: Tables::new(),
            version: 0,
            era: 1,
            era_header: EraHeader::Current,
            history_start: 0,
            fault: Fault::None,
            calls: 0,
        }
    }
}

/// A row store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Notify,
    created: Instant,
    /// The network between the processes in the members table, if simulated.
    switch: Mutex<Option<Arc<Switch>>>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changed: Notify::new(),
            created: Instant::now(),
            switch: Mutex::default(),
        }
    }
}

impl Store {
    /// Answers calls on a port of 127.0.0.1.
    pub async fn start(self: &Arc<Self>) -> std::io::Result<(SocketAddr, JoinSet<()>)> {
        let store = Arc::clone(self);
        serve(move |r| {
            let store = Arc::clone(&store);
            async move { store.answer(r).await }
        })
        .await
    }

    /// Writes a row with a JSON value, as the operator or a replica does.
    pub fn write(&self, table: &str, key: &str, value: &Value) {
        self.write_raw(table, key, value.to_string().as_bytes());
    }

    /// Writes a row with arbitrary bytes.
    pub fn write_raw(&self, table: &str, key: &str, value: &[u8]) {
        self.put(table, key, Some(base64(value)));
    }

    /// Writes a row of a part with a name, as another writer may do.
    pub fn write_in_part(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        let key = format!("{part}{PART_SEPARATOR}{key}");
        self.put(table, &key, Some(base64(value)));
    }

    /// Reads the value of a row, if the row exists and its value is JSON.
    pub fn read(&self, table: &str, key: &str) -> Option<Value> {
        use base64::Engine as _;
        let state = lock(&self.state);
        let (_, text) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = base64::engine::general_purpose::STANDARD.decode(text.as_ref()?);
        serde_json::from_slice(&bytes.ok()?).ok()
    }

    /// Version of a row; 0 if it does not exist.
    pub fn row_version(&self, table: &str, key: &str) -> u64 {
        let state = lock(&self.state);
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|(_, value)| value.is_some())
            .map_or(0, |(version, _)| *version)
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.put(table, key, None);
    }

    fn put(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = lock(&self.state);
        state.version += 1;
        let version = state.version;
        let at = (table.to_owned(), key.to_owned());
        state.rows.insert(at, (version, value));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Processes that register in the members table from now on reach one another through `switch`.
    pub fn set_switch(&self, switch: Arc<Switch>) {
        *lock(&self.switch) = Some(switch);
    }

    /// The value of a members row with the address at the switch in place of that of the process.
    fn with_switch_address(&self, name: &str, text: &str) -> Option<String> {
        use base64::Engine as _;
        let switch = lock(&self.switch).clone()?;
        let bytes = base64::engine::general_purpose::STANDARD.decode(text);
        let mut member: Value = serde_json::from_slice(&bytes.ok()?).ok()?;
        let process = member["addr"].as_str()?.parse().ok()?;
        let addr = switch.register(name, process).ok()?;
        member["addr"] = addr.to_string().into();
        Some(base64(member.to_string().as_bytes()))
    }

    /// Sets the fault of all calls from now on.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
        self.changed.notify_waiters();
    }

    /// Drops the recorded changes; the feed answers 410 to readers that need them.
    pub fn drop_history(&self) {
        let mut state = lock(&self.state);
        state.history_start = state.version;
    }

    /// Takes a backup of the current state.
    pub fn snapshot(&self) -> Snapshot {
        let state = lock(&self.state);
        Snapshot {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Restores a backup: later writes are lost, and their versions are assigned again.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut state = lock(&self.state);
        state.rows.clone_from(&snapshot.rows);
        state.version = snapshot.version;
        state.history_start = state.history_start.min(snapshot.version);
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets the `store-era` header of all answers from now on.
    pub fn set_era_header(&self, era_header: EraHeader) {
        lock(&self.state).era_header = era_header;
    }

    /// Number of calls received.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }

    async fn answer(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        let mut answer = self.call(request).await?;
        let state = lock(&self.state);
        let era = match state.era_header {
            EraHeader::Current => state.era.to_string(),
            EraHeader::Missing => return Some(answer),
            EraHeader::Value(text) => text.to_owned(),
        };
        if let Ok(era) = HeaderValue::try_from(era) {
            answer.headers_mut().insert("store-era", era);
        }
        drop(state);
        Some(answer)
    }

    async fn call(&self, request: Request<Incoming>) -> Option<Response<Body>> {
        lock(&self.state).calls += 1;
        let fault = lock(&self.state).fault;
        match fault {
            Fault::None => {}
            Fault::Busy => return Some(reply(StatusCode::SERVICE_UNAVAILABLE, "")),
            Fault::Silent => return std::future::pending().await,
            Fault::Slow(delay) => tokio::time::sleep(delay).await,
        }
        let query = query(request.uri().query().unwrap_or_default());
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/api/rows-get") => Some(self.read_table(&text("table"))),
            (&Method::GET, "/api/rows-feed") => {
                let after = text("after").parse().ok()?;
                let wait = text("wait_ms").parse().ok()?;
                Some(
                    self.feed(&text("table"), after, Duration::from_millis(wait))
                        .await,
                )
            }
            (&Method::POST, "/api/rows-tx") => {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                Some(self.transact(&body))
            }
            _ => Some(reply(StatusCode::NOT_FOUND, "")),
        }
    }

    fn read_table(&self, table: &str) -> Response<Body> {
        let state = lock(&self.state);
        let rows = rows(&state, table, 0).filter(|r| r["deleted"].is_null());
        let rows = rows.filter(|r| r["part"] == "");
        self.page(rows.collect(), state.version)
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> Response<Body> {
        let end = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let page = {
                let state = lock(&self.state);
                match () {
                    () if matches!(state.fault, Fault::Busy | Fault::Silent) => {
                        return reply(StatusCode::SERVICE_UNAVAILABLE, "")
                    }
                    () if after < state.history_start || after > state.version => {
                        return reply(StatusCode::GONE, "")
                    }
                    () => {}
                }
                let rows: Vec<_> = rows(&state, table, after).collect();
                (!rows.is_empty()).then(|| self.page(rows, state.version))
            };
            if let Some(page) = page {
                return page;
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                let version = lock(&self.state).version;
                return self.page(Vec::new(), version);
            }
        }
    }

    fn page(&self, rows: Vec<Value>, version: u64) -> Response<Body> {
        let now = self.created.elapsed().as_millis() as u64 + 1;
        let page = json!({"rows": rows, "has_more": false, "ver": version, "now_ms": now});
        reply(StatusCode::OK, page.to_string())
    }

    fn transact(&self, body: &Bytes) -> Response<Body> {
        let Ok(tx) = serde_json::from_slice::<Value>(body) else {
            return reply(StatusCode::BAD_REQUEST, "");
        };
        let changed = tx["expected"].as_array().into_iter().flatten().any(|row| {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            row["ver"].as_u64() != Some(self.row_version(&text("table"), &text("key")))
        });
        if changed {
            return reply(StatusCode::PRECONDITION_FAILED, "");
        }
        for put in tx["put"].as_array().into_iter().flatten() {
            let text = |name: &str| put[name].as_str().unwrap_or_default().to_owned();
            let (table, key, value) = (text("table"), text("key"), text("value"));
            let switched = (table == MEMBERS_TABLE).then(|| self.with_switch_address(&key, &value));
            self.put(&table, &key, Some(switched.flatten().unwrap_or(value)));
        }
        for row in tx["remove"].as_array().into_iter().flatten() {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            self.put(&text("table"), &text("key"), None);
        }
        let version = lock(&self.state).version;
        let now = self.created.elapsed().as_millis() as u64 + 1;
        reply(
            StatusCode::OK,
            json!({"ver": version, "now_ms": now}).to_string(),
        )
    }
}

/// The rows of a table that changed after a version.
fn rows<'a>(state: &'a State, table: &'a str, after: u64) -> impl Iterator<Item = Value> + 'a {
    let rows = state.rows.iter();
    let changed = rows.filter(move |((t, _), (v, _))| t == table && *v > after);
    changed.map(|((t, key), (version, value))| {
        let (part, key) = key.split_once(PART_SEPARATOR).unwrap_or(("", key));
        match value {
            Some(v) => json!({"table": t, "part": part, "key": key, "value": v, "ver": version}),
            None => json!({"table": t, "part": part, "key": key, "ver": version, "deleted": true}),
        }
    })
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|p| p.split_once('='));
    pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}

/// Base64 with padding, as in the rows of the store.
fn base64(bytes: &[u8]) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

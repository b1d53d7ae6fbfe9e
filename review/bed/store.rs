//! Stand-in of the platform's store: rows of tables, a feed of changes, transactions.
//!
//! Each machine has an address of its own here, so that the store can leave some machines without a
//! response while it serves the others and the operator. "A channel on which a response is lost
//! delivers nothing further": such a channel stays open and silent, also after that.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::http::{Conn, Message};
use super::json::{base64, parse, Json};

/// Time that the store takes for each answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    /// Version and value by table and key; no value for deleted rows.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
    /// Machines that get no response now.
    unserved: HashSet<String>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    pub fn create() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        })
    }

    /// Opens an address for the calls of one machine.
    pub fn open(self: &Arc<Self>, machine: &str) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let (store, machine) = (Arc::clone(self), machine.to_owned());
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let (store, machine) = (Arc::clone(&store), machine.clone());
                thread::spawn(move || store.serve(Conn::new(tcp), &machine));
            }
        });
        Ok(at)
    }

    /// Leaves a machine without responses, or serves it again.
    pub fn set_served(&self, machine: &str, served: bool) {
        let mut state = self.state.lock().unwrap();
        match served {
            true => state.unserved.remove(machine),
            false => state.unserved.insert(machine.to_owned()),
        };
    }

    fn is_unserved(&self, machine: &str) -> bool {
        self.state.lock().unwrap().unserved.contains(machine)
    }

    /// Writes a row; returning is the ack.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        self.put(table, key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.put(table, key, None);
    }

    fn put(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let at = (table.to_owned(), key.to_owned());
        state.rows.insert(at, (version, value));
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn, machine: &str) {
        while let Ok(request) = conn.message() {
            let unserved = self.is_unserved(machine);
            let answer = if unserved {
                None
            } else {
                Some(self.answer(&request))
            };
            thread::sleep(ANSWER_TIME);
            let Some((status, body)) = answer.filter(|_| !self.is_unserved(machine)) else {
                // The response is lost, and the channel delivers nothing further.
                while conn.message().is_ok() {}
                return;
            };
            let headers = [
                ("content-type", "application/json".to_owned()),
                ("store-era", "1".to_owned()),
            ];
            let first = format!("HTTP/1.1 {status} -");
            if conn.send(&first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        let table = request.query("table").unwrap_or_default();
        let number = |name| request.query(name).and_then(|t| t.parse::<u64>().ok());
        match path {
            "/api/rows-get" => {
                let state = self.state.lock().unwrap();
                let rows = rows(&state, table, 0, false);
                (200, self.page(&rows, state.version))
            }
            "/api/rows-feed" => {
                let (Some(after), Some(wait)) = (number("after"), number("wait_ms")) else {
                    return (400, String::new());
                };
                let end = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                loop {
                    let rows = rows(&state, table, after, true);
                    let left = end.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        return (200, self.page(&rows, state.version));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/api/rows-tx" => self.transact(&request.body),
            _ => (404, String::new()),
        }
    }

    fn page(&self, rows: &[String], version: u64) -> String {
        let now = self.start.elapsed().as_millis() as u64 + 1;
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"has_more":false,"ver":{version},"now_ms":{now}}}"#)
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(tx) = parse(&String::from_utf8_lossy(body)) else {
            return (400, String::new());
        };
        let names = |row: &Json| {
            let text = |n: &str| row.get(n).text().to_owned();
            (text("table"), text("key"))
        };
        {
            let state = self.state.lock().unwrap();
            for row in tx.get("expected").list() {
                let known = state.rows.get(&names(row)).filter(|r| r.1.is_some());
                if row.get("ver").number() != Some(known.map_or(0, |r| r.0)) {
                    return (412, r#"{"rows":[]}"#.to_owned());
                }
            }
        }
        for row in tx.get("put").list() {
            let (table, key) = names(row);
            self.put(&table, &key, Some(row.get("value").text().to_owned()));
        }
        for row in tx.get("remove").list() {
            let (table, key) = names(row);
            self.put(&table, &key, None);
        }
        let version = self.state.lock().unwrap().version;
        (200, self.page(&[], version))
    }
}

/// Rows of a table that were written after a version, as JSON.
fn rows(state: &State, table: &str, after: u64, deleted: bool) -> Vec<String> {
    let rows = state.rows.iter();
    let mut changed: Vec<_> = rows
        .filter(|((t, _), (v, _))| t == table && *v > after)
        .collect();
    changed.retain(|(_, (_, value))| deleted || value.is_some());
    if deleted {
        changed.sort_by_key(|(_, (version, _))| *version);
    }
    let row = |((t, key), (version, value)): (&(String, String), &(u64, Option<String>))| {
        let rest = match value {
            Some(v) => format!(r#""value":"{v}""#),
            None => r#""deleted":true"#.to_owned(),
        };
        format!(r#"{{"table":"{t}","part":"","key":"{key}","ver":{version},{rest}}}"#)
    };
    changed.into_iter().map(row).collect()
}

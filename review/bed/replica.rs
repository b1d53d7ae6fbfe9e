//! Stand-in of a replica of a plain service. It registers in the store and renews its row.
//!
//! A request whose body holds [`CRASHING`] crashes the replica as soon as it runs: its process is
//! gone without a word, its row lapses after three liveness reports, and it is back some seconds
//! later at the same address under a new id.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::http::Conn;
use super::record::Record;
use super::store::Store;

/// Text in the body of a request that crashes the replica.
pub const CRASHING: &str = "crash";
/// Interval of liveness reports.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub replica: String,
    /// Seconds since the start of the record.
    pub at: f64,
    pub crashed: bool,
}

struct Boot {
    id: String,
    born: u128,
    /// Whether the process is gone.
    gone: bool,
    channels: Vec<TcpStream>,
}

pub struct Replica {
    name: String,
    service: String,
    store: Arc<Store>,
    record: Record,
    /// Time that a request takes.
    work: Duration,
    /// How long the replica is away after a crash.
    away: Duration,
    boot: Mutex<Boot>,
    runs: Arc<Mutex<Vec<Run>>>,
    at: SocketAddr,
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

impl Replica {
    /// Starts a replica that logs its runs in `runs`.
    pub fn start(
        name: &str,
        service: &str,
        store: &Arc<Store>,
        record: &Record,
        work: Duration,
        away: Duration,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            store: Arc::clone(store),
            record: record.clone(),
            work,
            away,
            boot: Mutex::new(Boot {
                id: format!("i-{name}-1"),
                born: unix_ms(),
                gone: false,
                channels: Vec::new(),
            }),
            runs: Arc::clone(runs),
            at: listener.local_addr()?,
        });
        let r = Arc::clone(&replica);
        thread::spawn(move || r.report());
        let r = Arc::clone(&replica);
        thread::spawn(move || r.listen(listener));
        Ok(replica)
    }

    /// Id of the running boot, which is the key of its row.
    pub fn id(&self) -> String {
        self.boot.lock().unwrap().id.clone()
    }

    /// Address at which the replica serves.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Renews the replica's row while the process lives.
    fn report(&self) {
        let mut seq = 0;
        loop {
            let (id, born, gone) = {
                let b = self.boot.lock().unwrap();
                (b.id.clone(), b.born, b.gone)
            };
            if !gone {
                seq += 1;
                let row = format!(
                    r#"{{"service":"{}","address":"{}","zone":"a","version":"v1","slots":6,"born":{born},"state":"ready","cold_left_ms":0,"seq":{seq},"models":[]}}"#,
                    self.service, self.at
                );
                self.store.write("servers", &id, &row);
            }
            // A new boot registers at once.
            let end = Instant::now() + HEARTBEAT;
            while Instant::now() < end && self.boot.lock().unwrap().id == id {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Accepts channels; after a crash the port is closed until the replica is back.
    fn listen(self: Arc<Self>, mut listener: TcpListener) {
        let mut boots = 1;
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.boot.lock().unwrap().gone {
                match listener.accept() {
                    Ok((tcp, _)) => {
                        let _ = tcp.set_nonblocking(false);
                        let Ok(copy) = tcp.try_clone() else { continue };
                        self.boot.lock().unwrap().channels.push(copy);
                        let replica = Arc::clone(&self);
                        thread::spawn(move || replica.serve(Conn::new(tcp)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            let id = {
                let mut b = self.boot.lock().unwrap();
                for c in b.channels.drain(..) {
                    let _ = c.shutdown(Shutdown::Both);
                }
                b.id.clone()
            };
            let (store, old) = (Arc::clone(&self.store), id);
            thread::spawn(move || {
                thread::sleep(HEARTBEAT * 3);
                store.remove("servers", &old);
            });
            thread::sleep(self.away);
            listener = loop {
                match TcpListener::bind(self.at) {
                    Ok(l) => break l,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            boots += 1;
            let mut b = self.boot.lock().unwrap();
            b.id = format!("i-{}-{boots}", self.name);
            b.born = unix_ms();
            b.gone = false;
            self.record
                .line(&format!("replica {} is back as {}", self.name, b.id));
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(request) = conn.message() {
            let boot = {
                let b = self.boot.lock().unwrap();
                if b.gone {
                    return;
                }
                b.id.clone()
            };
            let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
            let id = text("attempt-id");
            let meant = text("expect-instance");
            if !meant.is_empty() && meant != boot {
                let headers = [("instance-id", boot), ("attempt-id", id)];
                if conn.send("HTTP/1.1 421 -", &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            let crashed = String::from_utf8_lossy(&request.body).contains(CRASHING);
            let run = Run {
                id: id.clone(),
                tenant: text("tenant"),
                replica: boot.clone(),
                at: self.record.now(),
                crashed,
            };
            self.record.line(&format!(
                "replica {boot} runs {id} for tenant {}{}",
                run.tenant,
                if crashed { " and crashes" } else { "" }
            ));
            self.runs.lock().unwrap().push(run);
            if crashed {
                self.boot.lock().unwrap().gone = true;
                return;
            }
            thread::sleep(self.work);
            let headers = [
                ("attempt-id", id.clone()),
                ("response-signature", format!("s.{id}")),
                ("keep-alive", "timeout=10".to_owned()),
                ("server-load", "0,0,6".to_owned()),
            ];
            if conn
                .send("HTTP/1.1 200 OK", &headers, format!("done {id}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }
}

//! Stand-ins for the cases of the second review: the platform's store, replicas and consumers, and the
//! start and end of the project's own processes. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

// ---- Record -------------------------------------------------------------------------------------

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Adds a line to the record.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:>7} {}", now_ms(), text.as_ref());
    lock(&RECORD).push(line);
}

/// Writes the record to a file.
pub fn write_record(path: &Path) -> io::Result<()> {
    let lines = lock(&RECORD).join("\n");
    fs::write(path, lines + "\n")
}

/// Sleeps for some milliseconds.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---- HTTP/1.1 -----------------------------------------------------------------------------------

/// Head of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// A word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before one.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match (head.line.is_empty(), line.split_once(':')) {
            (true, _) if line.is_empty() => {}
            (true, _) => head.line = line.to_owned(),
            (false, _) if line.is_empty() => return Ok(Some(head)),
            (false, Some((n, v))) => head.headers.push((n.to_owned(), v.trim().to_owned())),
            (false, None) => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads a body that has a length or chunks.
pub fn read_body(from: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(from)? {
            body.extend_from_slice(&chunk);
        }
        return Ok(body);
    }
    let len = head.get("content-length").and_then(|n| n.parse().ok());
    body.resize(len.unwrap_or(0), 0);
    from.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a chunk; `None` after the last one.
pub fn read_chunk(from: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; len + 2];
    from.read_exact(&mut chunk)?;
    chunk.truncate(len);
    Ok((len > 0).then_some(chunk))
}

/// Writes an answer with a length.
pub fn answer(
    to: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
    for (n, v) in headers {
        text += &format!("{n}: {v}\r\n");
    }
    text += "\r\n";
    let mut all = text.into_bytes();
    all.extend_from_slice(body);
    to.write_all(&all)
}

/// Serves connections at a free port of 127.0.0.1, each on a thread.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let _ = tcp.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(tcp));
        }
    });
    Ok(addr)
}

/// Whether the far end has closed or reset a connection on which nothing is expected.
pub fn is_closed(tcp: &TcpStream) -> bool {
    let _ = tcp.set_nonblocking(true);
    let peeked = tcp.peek(&mut [0; 1]);
    let _ = tcp.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

// ---- JSON ---------------------------------------------------------------------------------------

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// A table.
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut rest = text.trim_start();
        Self::value(&mut rest)
    }

    fn value(rest: &mut &str) -> Option<Self> {
        *rest = rest.trim_start();
        match rest.chars().next()? {
            '"' => Some(Self::Text(Self::text(rest)?)),
            '[' => {
                let mut all = Vec::new();
                *rest = rest[1..].trim_start();
                while !rest.starts_with(']') {
                    all.push(Self::value(rest)?);
                    *rest = rest.trim_start().trim_start_matches(',').trim_start();
                }
                *rest = &rest[1..];
                Some(Self::List(all))
            }
            '{' => {
                let mut all = BTreeMap::new();
                *rest = rest[1..].trim_start();
                while !rest.starts_with('}') {
                    let key = Self::text(rest)?;
                    *rest = rest.trim_start().strip_prefix(':')?;
                    all.insert(key, Self::value(rest)?);
                    *rest = rest.trim_start().trim_start_matches(',').trim_start();
                }
                *rest = &rest[1..];
                Some(Self::Table(all))
            }
            _ => {
                let end = rest.find([',', ']', '}', ' ', '\n']).unwrap_or(rest.len());
                let word = &rest[..end];
                *rest = &rest[end..];
                Some(
                    word.parse()
                        .map_or_else(|_| Self::Word(word.to_owned()), Self::Number),
                )
            }
        }
    }

    fn text(rest: &mut &str) -> Option<String> {
        let inner = rest.strip_prefix('"')?;
        let mut text = String::new();
        let mut chars = inner.char_indices();
        while let Some((i, c)) = chars.next() {
            match c {
                '"' => {
                    *rest = &inner[i + 1..];
                    return Some(text);
                }
                '\\' => match chars.next()?.1 {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let hex: String = (0..4).filter_map(|_| Some(chars.next()?.1)).collect();
                        text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                    }
                    c => text.push(c),
                },
                c => text.push(c),
            }
        }
        None
    }

    /// Field of a table.
    pub fn get(&self, key: &str) -> Option<&Self> {
        match self {
            Self::Table(t) => t.get(key),
            _ => None,
        }
    }

    /// Text of a field; empty if there is none.
    pub fn str(&self, key: &str) -> &str {
        match self.get(key) {
            Some(Self::Text(t)) => t,
            _ => "",
        }
    }

    /// Number of a field.
    pub fn num(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Self::Number(n)) => Some(*n as u64),
            _ => None,
        }
    }

    /// Entries of a list field.
    pub fn list(&self, key: &str) -> &[Self] {
        match self.get(key) {
            Some(Self::List(l)) => l,
            _ => &[],
        }
    }
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let n = three.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= three.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

// ---- The platform's store -----------------------------------------------------------------------

#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    ver: u64,
}

/// The platform's store of versioned rows.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Tables>, Condvar)>);

impl Store {
    /// Starts the store; returns its address.
    pub fn start(&self) -> io::Result<SocketAddr> {
        let store = self.clone();
        serve(move |tcp| {
            let _ = store.connection(tcp);
        })
    }

    /// Writes a row with a JSON text, as the operator or a replica does.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        self.put(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.put(table, key, None);
    }

    fn put(&self, table: &str, key: &str, value: Option<String>) {
        let mut t = lock(&self.0 .0);
        t.ver += 1;
        let ver = t.ver;
        t.rows
            .insert((table.to_owned(), key.to_owned()), (ver, value));
        self.0 .1.notify_all();
    }

    fn connection(&self, tcp: TcpStream) -> io::Result<()> {
        let mut from = BufReader::new(tcp.try_clone()?);
        let mut to = tcp;
        while let Some(head) = read_head(&mut from)? {
            let body = read_body(&mut from, &head)?;
            let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
            let arg = |name: &str| {
                let found = query
                    .split('&')
                    .find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
                found.unwrap_or_default().to_owned()
            };
            // The answer time of the pages.
            sleep_ms(4);
            let (status, text) = match path {
                "/api/rows-get" => (200, self.page(&arg("table"), 0, true)),
                "/api/rows-feed" => {
                    let wait = arg("wait_ms").parse().unwrap_or(0);
                    (
                        200,
                        self.feed(&arg("table"), arg("after").parse().unwrap_or(0), wait),
                    )
                }
                "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => (404, String::new()),
            };
            answer(
                &mut to,
                status,
                &[("content-type", "application/json")],
                text.as_bytes(),
            )?;
        }
        Ok(())
    }

    fn page(&self, table: &str, after: u64, whole: bool) -> String {
        let t = lock(&self.0 .0);
        let rows = t
            .rows
            .iter()
            .filter(|((of, _), (ver, _))| of == table && *ver > after);
        let rows = rows.filter(|(_, (_, value))| !whole || value.is_some());
        let rows: Vec<_> = rows
            .map(|((of, key), (ver, value))| {
                let value = match value {
                    Some(v) => format!("\"value\":\"{v}\""),
                    None => "\"deleted\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{of}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{ver}}}"
                )
            })
            .collect();
        let (ver, now) = (t.ver, now_ms() + 1_000);
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{ver},\"now_ms\":{now}}}",
            rows.join(",")
        )
    }

    fn feed(&self, table: &str, after: u64, wait: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait);
        let mut t = lock(&self.0 .0);
        loop {
            let changed = t
                .rows
                .iter()
                .any(|((of, _), (ver, _))| of == table && *ver > after);
            let left = end.saturating_duration_since(Instant::now());
            if changed || left.is_zero() {
                drop(t);
                return self.page(table, after, false);
            }
            t = match self.0 .1.wait_timeout(t, left) {
                Ok((t, _)) => t,
                Err(e) => e.into_inner().0,
            };
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(tx) = Json::parse(body) else {
            return (400, String::new());
        };
        for row in tx.list("expected") {
            let t = lock(&self.0 .0);
            let at = (row.str("table").to_owned(), row.str("key").to_owned());
            let ver = t
                .rows
                .get(&at)
                .filter(|(_, v)| v.is_some())
                .map_or(0, |(ver, _)| *ver);
            if row.num("ver") != Some(ver) {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        for row in tx.list("put") {
            self.put(
                row.str("table"),
                row.str("key"),
                Some(row.str("value").to_owned()),
            );
        }
        for row in tx.list("remove") {
            self.put(row.str("table"), row.str("key"), None);
        }
        let ver = lock(&self.0 .0).ver;
        (
            200,
            format!("{{\"ver\":{ver},\"now_ms\":{}}}", now_ms() + 1_000),
        )
    }
}

// ---- Replicas -----------------------------------------------------------------------------------

/// A request at a replica.
pub struct Call<'a> {
    /// Head of the request.
    pub head: &'a Head,
    /// Body of the request.
    pub body: &'a [u8],
    /// The connection; only an answer may be written to it.
    pub to: &'a mut TcpStream,
}

/// What a replica does with a request. An error closes the connection.
pub type Behaviour = dyn Fn(&Replica, Call<'_>) -> io::Result<()> + Send + Sync;

/// A replica of a service.
pub struct Replica {
    /// Id of this boot.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Model that it has loaded, if it is a model replica.
    pub model: Option<&'static str>,
    seq: AtomicU64,
    left: AtomicBool,
    addr: OnceLock<SocketAddr>,
}

impl Replica {
    /// Starts a replica that registers in the store and renews its entry at the interval of the pages.
    pub fn start(
        store: &Store,
        id: &str,
        service: &str,
        model: Option<&'static str>,
        behaviour: impl Fn(&Self, Call<'_>) -> io::Result<()> + Send + Sync + 'static,
    ) -> io::Result<Arc<Self>> {
        let replica = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            model,
            seq: AtomicU64::new(0),
            left: AtomicBool::new(false),
            addr: OnceLock::new(),
        });
        let (served, behaviour): (_, Arc<Behaviour>) = (Arc::clone(&replica), Arc::new(behaviour));
        let addr = serve(move |tcp| {
            let _ = served.connection(tcp, &*behaviour);
        })?;
        let _ = replica.addr.set(addr);
        let (beating, store) = (Arc::clone(&replica), store.clone());
        store.write("servers", id, &replica.entry("ready", 0));
        thread::spawn(move || {
            for beat in 1.. {
                sleep_ms(HEARTBEAT_MS);
                if beating.left.load(Ordering::Relaxed) {
                    return;
                }
                store.write("servers", &beating.id, &beating.entry("ready", beat));
            }
        });
        Ok(replica)
    }

    /// Address of the replica.
    pub fn addr(&self) -> SocketAddr {
        *self.addr.get().expect("the replica is started")
    }

    /// Stops renewing the entry.
    pub fn stop_beats(&self) {
        self.left.store(true, Ordering::Relaxed);
    }

    /// The replica's entry in the store.
    pub fn entry(&self, state: &str, beat: u64) -> String {
        let models = self.model.map_or_else(String::new, |m| {
            format!("{{\"name\":\"{m}\",\"version\":1,\"adapters\":[]}}")
        });
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{beat},\"models\":[{models}]}}",
            self.service,
            self.addr()
        )
    }

    fn connection(&self, tcp: TcpStream, behaviour: &Behaviour) -> io::Result<()> {
        let mut from = BufReader::new(tcp.try_clone()?);
        let mut to = tcp;
        while let Some(head) = read_head(&mut from)? {
            let body = read_body(&mut from, &head)?;
            if !self.answer_own(&head, &body, &mut to)? {
                let call = Call {
                    head: &head,
                    body: &body,
                    to: &mut to,
                };
                behaviour(self, call)?;
            }
        }
        Ok(())
    }

    /// Answers calls to the interfaces of a model replica, and requests for another replica; returns
    /// whether the request was one of these.
    fn answer_own(&self, head: &Head, body: &[u8], to: &mut TcpStream) -> io::Result<bool> {
        let path = head.word(1).split('?').next().unwrap_or_default();
        let json = [
            ("content-type", "application/json"),
            ("instance-id", self.id.as_str()),
        ];
        let model = self.model.unwrap_or_default();
        match path {
            "/health" => answer(to, 200, &json, b"")?,
            "/api/report" => {
                let text = format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":{},\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}}",
                    self.seq.load(Ordering::Relaxed)
                );
                answer(to, 200, &json, text.as_bytes())?;
            }
            "/api/order" => {
                note(format!(
                    "{} gets the order {}",
                    self.id,
                    String::from_utf8_lossy(body)
                ));
                answer(to, 200, &json, b"")?;
            }
            "/api/kv-events" => {
                let wait = head
                    .get("wait-ms")
                    .and_then(|w| w.parse().ok())
                    .unwrap_or(0);
                sleep_ms(wait);
                answer(
                    to,
                    200,
                    &json,
                    b"{\"boot_epoch\":7,\"next\":1,\"lost\":false,\"events\":[]}",
                )?;
            }
            "/api/kv-list" => answer(to, 200, &json, b"{\"boot_epoch\":7,\"next\":1,\"held\":[]}")?,
            _ if head.get("expect-instance").is_some_and(|e| e != self.id) => {
                answer(to, 421, &json, b"")?;
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Headers that the replica adds to its answers.
    pub fn signed<'a>(&'a self, head: &'a Head) -> [(&'a str, &'a str); 3] {
        [
            ("attempt-id", head.get("attempt-id").unwrap_or_default()),
            ("response-signature", &self.id),
            ("weight-versions", "1"),
        ]
    }
}

/// Writes the head of an answer in chunks.
pub fn chunked_head(to: &mut impl Write, headers: &[(&str, &str)]) -> io::Result<()> {
    let mut text =
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n"
            .to_owned();
    for (n, v) in headers {
        text += &format!("{n}: {v}\r\n");
    }
    to.write_all((text + "\r\n").as_bytes())
}

/// Writes a chunk; an empty one is the last.
pub fn chunk(to: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let mut all = format!("{:x}\r\n", bytes.len()).into_bytes();
    all.extend_from_slice(bytes);
    all.extend_from_slice(b"\r\n");
    to.write_all(&all)
}

/// Interval at which replicas renew their entries.
pub const HEARTBEAT_MS: u64 = 1_200;

// ---- The project's processes --------------------------------------------------------------------

/// A process of the project; dropping it kills the process.
pub struct Process {
    /// Name of its machine.
    pub name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([format!("-{name}"), id]).status();
        note(format!(
            "SIG{name} to {}: {}",
            self.name,
            sent.is_ok_and(|s| s.success())
        ));
    }

    /// Text that the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Value of a text field in the first log line with an event.
    pub fn field(&self, event: &str, field: &str) -> Option<String> {
        let log = self.log();
        let line = log
            .lines()
            .find(|l| l.contains(&format!("\"event\":\"{event}\"")))?;
        Some(Json::parse(line)?.str(field).to_owned())
    }

    /// Waits for an event in the log; an error if it doesn't come.
    pub fn wait_for(&mut self, event: &str) -> Result<(), String> {
        for _ in 0..500 {
            if self.log().contains(&format!("\"event\":\"{event}\"")) {
                return Ok(());
            }
            if !self.is_running() {
                break;
            }
            sleep_ms(20);
        }
        Err(format!(
            "{}: no `{event}` in its log:\n{}",
            self.name,
            self.log()
        ))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&CHILDREN).retain(|id| *id != self.child.id());
    }
}

/// A small deployment: a store, and the settings and logs of its processes in a temporary folder.
pub struct Deployment {
    /// The platform's store.
    pub store: Store,
    store_addr: SocketAddr,
    dir: PathBuf,
    /// Ports for the processes' own traffic, by machine; a machine keeps its port over a restart.
    ports: Mutex<BTreeMap<String, u16>>,
}

impl Deployment {
    /// Starts the store with a configuration.
    pub fn start(config: &str) -> io::Result<Self> {
        now_ms();
        let store = Store::default();
        store.write("op", "config", config);
        store.write("op", "version/llm", "{\"model\":\"llm\",\"version\":1}");
        let store_addr = store.start()?;
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self {
            ports: Mutex::default(),
            store,
            store_addr,
            dir,
        })
    }

    /// Starts an entry and waits until it serves.
    pub fn entry(&self, name: &str) -> Result<(Process, SocketAddr), String> {
        let lines = [
            "listen.front=127.0.0.1:0",
            "listen.ready=127.0.0.1:0",
            "serves=front,control",
        ];
        let mut process = self.process(name, &lines)?;
        process.wait_for("listening")?;
        process.wait_for("configured")?;
        let callers = process.field("listening", "callers").unwrap_or_default();
        let addr = callers
            .parse()
            .map_err(|_| format!("{name}: no address for consumers"))?;
        Ok((process, addr))
    }

    /// Starts the sidecar of a model replica.
    pub fn sidecar(&self, name: &str, app: SocketAddr) -> Result<Process, String> {
        let mut process = self.process(name, &[&format!("app={app}"), "serves=side"])?;
        process.wait_for("configured")?;
        Ok(process)
    }

    /// A port of a machine that is free for TCP and UDP.
    fn port(&self, name: &str) -> io::Result<u16> {
        let mut ports = lock(&self.ports);
        if let Some(port) = ports.get(name) {
            return Ok(*port);
        }
        loop {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let addr = listener.local_addr()?;
            if UdpSocket::bind(addr).is_ok() && !ports.values().any(|p| *p == addr.port()) {
                ports.insert(name.to_owned(), addr.port());
                return Ok(addr.port());
            }
        }
    }

    fn process(&self, name: &str, lines: &[&str]) -> Result<Process, String> {
        let port = self.port(name).map_err(|e| e.to_string())?;
        let program = Path::new("target/release/clementinestepd");
        let (settings, log) = (self.dir.join(name), self.dir.join(format!("{name}.log")));
        let common = format!(
            "node={name}\nzone=a\nregion=r\nzones.a=r\nip=127.0.0.1\nport_range={port},{port}\nbootstrap=true\n\
             heartbeat_ms={HEARTBEAT_MS}\ncontracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform\n\
             bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.config_apply_ms=2000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_slack=56\n\
             bounds.lease_ms=3000\nbounds.version_ms=6000\nplatform.address={}\nplatform.form=table\n",
            self.store_addr
        );
        fs::write(&settings, common + &lines.join("\n") + "\n").map_err(|e| e.to_string())?;
        let out = File::create(&log).map_err(|e| e.to_string())?;
        let err = out.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(program)
            .env("CLEMENTINESTEP_SETTINGS", &settings)
            .env("CLEMENTINESTEP_METRICS_PORT", "0")
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|e| format!("can't start {}: {e}", program.display()))?;
        note(format!("{name} starts"));
        lock(&CHILDREN).push(child.id());
        Ok(Process {
            name: name.to_owned(),
            child,
            log,
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A route in the configuration.
pub fn route(name: &str, kind: &str, service: &str, resumable: bool, timeout_ms: u64) -> String {
    let attempts = if kind == "idempotent" || resumable {
        2
    } else {
        1
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"poll.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"service\":\"{service}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"target_gap_ms\":400,\
         \"priority\":0,\"max_attempts\":{attempts},\"anonymous\":true,\"sticky\":{},\"resumable\":{resumable}}}",
        service == "engines"
    )
}

/// A configuration with some routes, a model service and a plain service.
pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"engines\",\"health_path\":\"/health\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_capacity\":94612,\"kv_token_bytes\":163840,\"link_mbps\":2200000.0,\"stride\":6,\
         \"models\":[{{\"name\":\"llm\"}}]}}}},\
         {{\"name\":\"plain\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\"idle_timeout_ms\":6000}},\
         \"tenants\":[{{\"name\":\"north\",\"api_keys\":[\"key-north\"],\"priority\":1,\"isolated\":false}}]}}",
        routes.join(",")
    )
}

// ---- Consumers ----------------------------------------------------------------------------------

/// A request of a consumer, without its body.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &[(&str, &str)],
    body: usize,
) -> String {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: poll.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Credential: key-north\r\nContent-Length: {body}\r\n"
    );
    for (n, v) in more {
        text += &format!("{n}: {v}\r\n");
    }
    text + "\r\n"
}

/// Connects to an entry as a consumer, with a time limit for each read.
pub fn connect(entry: SocketAddr) -> io::Result<TcpStream> {
    let tcp = TcpStream::connect(entry)?;
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(tcp)
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Connects to an entry as a consumer whose channel has a small window: its receive buffer is set before
/// the connection is opened.
pub fn connect_small(entry: SocketAddr, buffer: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0x8_0000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(to) = entry else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: the call takes no pointers.
    let fd = unsafe { socket(AF_INET, SOCK_STREAM_CLOEXEC, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was opened just now and has no other owner.
    let tcp = unsafe { TcpStream::from_raw_fd(fd) };
    // SAFETY: the pointer is valid for the length during the call.
    if unsafe { setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &raw const buffer, 4) } != 0 {
        return Err(io::Error::last_os_error());
    }
    let mut addr = [0_u8; 16];
    addr[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    addr[2..4].copy_from_slice(&to.port().to_be_bytes());
    addr[4..8].copy_from_slice(&to.ip().octets());
    extern "C" {
        fn connect(fd: i32, addr: *const u8, len: u32) -> i32;
    }
    // SAFETY: the address is a `sockaddr_in` of 16 bytes, valid during the call.
    if unsafe { connect(fd, addr.as_ptr(), 16) } != 0 {
        return Err(io::Error::last_os_error());
    }
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(Duration::from_secs(20)))?;
    Ok(tcp)
}

/// Reads as much of a file as there is, for diagnosis.
pub fn tail(text: &str, lines: usize) -> String {
    let all: Vec<_> = text.lines().collect();
    all[all.len().saturating_sub(lines)..].join("\n")
}

/// Reads exactly what a reader has, up to `len` bytes.
pub fn read_some(from: &mut impl Read, len: usize) -> io::Result<Vec<u8>> {
    let mut buf = vec![0; len];
    let n = from.read(&mut buf)?;
    buf.truncate(n);
    Ok(buf)
}

// ---- Running a case -----------------------------------------------------------------------------

/// Longest duration of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// Ids of the project's processes that run.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Runs a case and exits with 1 if it finds the rule broken, 0 if the rule held, and 2 if the case couldn't
/// run. `case` gets whether the disruption takes place and returns what broke the rule, if anything did.
pub fn run(
    case: impl FnOnce(bool) -> Result<Option<String>, String> + std::panic::UnwindSafe,
) -> ! {
    let Some(record) = std::env::args().nth(1).map(PathBuf::from) else {
        eprintln!("usage: CASE RECORD");
        std::process::exit(2);
    };
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => false,
        Ok("1" | "") | Err(_) => true,
        Ok(other) => {
            eprintln!("TROUBLE is `{other}`, not 0 or 1");
            std::process::exit(2);
        }
    };
    now_ms();
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        note("the case took too long");
        finish(&late, 2);
    });
    let with = if trouble { "with" } else { "without" };
    note(format!("{with} the disruption"));
    let result = std::panic::catch_unwind(move || case(trouble));
    let code = match result {
        Ok(Ok(None)) => {
            note("the rule held");
            0
        }
        Ok(Ok(Some(seen))) => {
            note(format!("the rule was broken: {seen}"));
            1
        }
        Ok(Err(e)) => {
            note(format!("the case couldn't run: {e}"));
            2
        }
        Err(_) => {
            note("the case couldn't run: it panicked");
            2
        }
    };
    finish(&record, code)
}

fn finish(record: &Path, code: i32) -> ! {
    for id in lock(&CHILDREN).drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    let last = lock(&RECORD).last().cloned().unwrap_or_default();
    println!("{}", last.trim_start());
    if let Err(e) = write_record(record) {
        eprintln!("can't write {}: {e}", record.display());
        std::process::exit(2);
    }
    std::process::exit(code)
}

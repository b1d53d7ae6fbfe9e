//! A fake admin interface that answers from a script, and functions that run the real client.

use std::future::IntoFuture;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use viz::{Body, Method, Request, RequestExt, Response, Router};

/// The operators' key of all tests.
pub(crate) const KEY: &str = "test-operator-key";
/// Timeout for a run of the client, far longer than any run takes.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);

/// One answer of a fake entry.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Answer {
    /// Answers with a status and a body.
    Respond(u16, &'static str),
    /// Breaks the connection after the call was read.
    Disconnect,
}

/// The answers of a fake entry on each path, in order. The last answer is repeated; a path without
/// answers responds with 404.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Script {
    /// Answers to changes.
    pub(crate) put: &'static [Answer],
    /// Answers to reads of the configuration.
    pub(crate) configuration: &'static [Answer],
    /// Answers to reads of the history.
    pub(crate) history: &'static [Answer],
    /// Answers to reads of the members.
    pub(crate) status: &'static [Answer],
}

/// An entry of a test's fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Entry {
    /// The entry answers from a script.
    Up(Script),
    /// No process listens at the address of the entry.
    Unreachable,
}

/// A call that a fake entry received.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecordedCall {
    /// HTTP method.
    pub(crate) method: Method,
    /// Body; null if it isn't JSON.
    pub(crate) body: Value,
    /// Whether the call had the operators' key.
    pub(crate) has_key: bool,
}

/// Result of a run of the client.
#[derive(Debug)]
pub(crate) struct Run {
    /// Exit code.
    pub(crate) code: Option<i32>,
    /// Standard output.
    pub(crate) out: String,
    /// Standard error.
    pub(crate) err: String,
}

impl Run {
    /// Asserts that the output and the errors contain the given parts, and not the operators' key.
    pub(crate) fn assert_output(&self, name: &str, out: &[&str], err: &[&str]) {
        for part in out {
            assert!(self.out.contains(part), "{name}: no `{part}` in {self:?}");
        }
        for part in err {
            assert!(self.err.contains(part), "{name}: no `{part}` in {self:?}");
        }
        let whole = format!("{}{}", self.out, self.err);
        assert!(!whole.contains(KEY), "{name}: the key shows in {self:?}");
    }
}

/// A fleet of fake entries.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Addresses of the entries.
    pub(crate) entries: Vec<SocketAddr>,
    calls: Arc<Mutex<Vec<RecordedCall>>>,
    // Sockets that are bound but don't listen, so that no other process can take the addresses of
    // unreachable entries.
    reserved: Vec<TcpSocket>,
}

impl Fleet {
    /// Starts the fake entries.
    pub(crate) async fn start(entries: &[Entry]) -> Self {
        let mut fleet = Self::default();
        for entry in entries {
            let at = match entry {
                Entry::Up(script) => fleet.start_entry(*script).await,
                Entry::Unreachable => fleet.reserve_address(),
            };
            fleet.entries.push(at);
        }
        fleet
    }

    /// All calls received until now, in order.
    pub(crate) fn calls(&self) -> Vec<RecordedCall> {
        self.calls.lock().unwrap().clone()
    }

    async fn start_entry(&self, script: Script) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let mut router = Router::new();
        let paths = [
            (Method::PUT, "/admin/configuration", script.put),
            (Method::GET, "/admin/configuration", script.configuration),
            (Method::GET, "/admin/history", script.history),
            (Method::GET, "/admin/status", script.status),
        ];
        for (method, path, answers) in paths {
            let calls = Arc::clone(&self.calls);
            let remaining = Arc::new(Mutex::new(answers.iter()));
            let handler = move |r: Request| {
                let (calls, remaining) = (Arc::clone(&calls), Arc::clone(&remaining));
                async move {
                    let call = record(r).await;
                    calls.lock().unwrap().push(call);
                    let next = remaining.lock().unwrap().next();
                    Ok(answer(next.or(answers.last())))
                }
            };
            router = match method {
                Method::PUT => router.put(path, handler),
                _ => router.get(path, handler),
            };
        }
        tokio::spawn(viz::serve(listener, router).into_future());
        at
    }

    fn reserve_address(&mut self) -> SocketAddr {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let at = socket.local_addr().unwrap();
        self.reserved.push(socket);
        at
    }
}

async fn record(mut r: Request) -> RecordedCall {
    let bearer = format!("Bearer {KEY}");
    let key = r.headers().get("authorization");
    let has_key = key.is_some_and(|v| v.as_bytes() == bearer.as_bytes());
    let body = r.bytes().await.unwrap_or_default();
    RecordedCall {
        method: r.method().clone(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
        has_key,
    }
}

fn answer(next: Option<&Answer>) -> Response {
    let (status, body) = match next {
        Some(Answer::Respond(status, body)) => (*status, Body::Full((*body).into())),
        Some(Answer::Disconnect) => {
            let cut = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
            let body = futures::stream::iter([Err::<Vec<u8>, _>(cut)]);
            (200, Body::from_stream(body))
        }
        None => (404, Body::empty()),
    };
    Response::builder().status(status).body(body).unwrap()
}

/// Writes a file to the directory for temporary files of the tests.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the client. An argument equal to a name in `files` is replaced by the path of that file.
pub(crate) async fn run(
    args: &str,
    files: &[(&str, PathBuf)],
    env: &[(&str, &str)],
    stdin: &str,
) -> Run {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_clementinestep"));
    for arg in args.split(' ') {
        match files.iter().find(|(name, _)| *name == arg) {
            Some((_, path)) => command.arg(path),
            None => command.arg(arg),
        };
    }
    command.env_clear().envs(env.iter().copied());
    command.stdin(Stdio::piped()).kill_on_drop(true);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut pipe = child.stdin.take().unwrap();
    // A client that doesn't read its input may have exited already.
    let _ = pipe.write_all(stdin.as_bytes()).await;
    drop(pipe);
    let done = tokio::time::timeout(RUN_TIMEOUT, child.wait_with_output()).await;
    let done = done.expect("the client hangs").unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Run {
        code: done.status.code(),
        out: text(done.stdout),
        err: text(done.stderr),
    }
}

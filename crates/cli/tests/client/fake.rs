//! A fake admin interface that answers from a script, and a way to run the real client on it.

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
/// No run takes nearly as long; one that does hangs.
const LIMIT: Duration = Duration::from_secs(120);

/// One answer of a fake.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Answer {
    /// A status and a body.
    Say(u16, &'static str),
    /// The connection breaks after the call was read.
    Cut,
}

/// What a fake answers on each path; the last answer repeats, and none is a 404.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Script {
    /// To changes.
    pub(crate) put: &'static [Answer],
    /// To questions for the configuration.
    pub(crate) configuration: &'static [Answer],
    /// To questions for the history.
    pub(crate) history: &'static [Answer],
    /// To questions for the members.
    pub(crate) status: &'static [Answer],
}

/// An entry of a test's fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Entry {
    /// It answers.
    Up(Script),
    /// Nobody listens at its address.
    Away,
}

/// A call that a fake has read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Heard {
    /// HTTP method.
    pub(crate) method: Method,
    /// Body, if it was JSON.
    pub(crate) body: Value,
    /// Whether it bore the operators' key.
    pub(crate) key: bool,
}

/// What a run of the client came to.
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
    /// Holds what the client wrote to what it should.
    pub(crate) fn says(&self, name: &str, out: &[&str], err: &[&str]) {
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

/// Fakes that stand for a fleet.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Their addresses.
    pub(crate) entries: Vec<SocketAddr>,
    heard: Arc<Mutex<Vec<Heard>>>,
    // Bound but not listening, so that no other process takes the address meanwhile.
    held: Vec<TcpSocket>,
}

impl Fleet {
    /// Starts fakes.
    pub(crate) async fn start(entries: &[Entry]) -> Self {
        let mut fleet = Self::default();
        for entry in entries {
            let at = match entry {
                Entry::Up(script) => fleet.up(*script).await,
                Entry::Away => fleet.away(),
            };
            fleet.entries.push(at);
        }
        fleet
    }

    /// All calls so far.
    pub(crate) fn heard(&self) -> Vec<Heard> {
        self.heard.lock().unwrap().clone()
    }

    async fn up(&self, script: Script) -> SocketAddr {
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
            let heard = Arc::clone(&self.heard);
            let turn = Arc::new(Mutex::new(answers.iter()));
            let handler = move |r: Request| {
                let (heard, turn) = (Arc::clone(&heard), Arc::clone(&turn));
                async move {
                    let call = read(r).await;
                    heard.lock().unwrap().push(call);
                    let next = turn.lock().unwrap().next();
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

    fn away(&mut self) -> SocketAddr {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let at = socket.local_addr().unwrap();
        self.held.push(socket);
        at
    }
}

async fn read(mut r: Request) -> Heard {
    let bearer = format!("Bearer {KEY}");
    let key = r.headers().get("authorization");
    let key = key.is_some_and(|v| v.as_bytes() == bearer.as_bytes());
    let body = r.bytes().await.unwrap_or_default();
    Heard {
        method: r.method().clone(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
        key,
    }
}

fn answer(next: Option<&Answer>) -> Response {
    let (status, body) = match next {
        Some(Answer::Say(status, body)) => (*status, Body::Full((*body).into())),
        Some(Answer::Cut) => {
            let cut = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
            let body = futures::stream::iter([Err::<Vec<u8>, _>(cut)]);
            (200, Body::from_stream(body))
        }
        None => (404, Body::empty()),
    };
    Response::builder().status(status).body(body).unwrap()
}

/// Writes a file of this test's own.
pub(crate) fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the client; names of files in the arguments stand for these files.
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
    // A client that doesn't read its input may be gone already.
    let _ = pipe.write_all(stdin.as_bytes()).await;
    drop(pipe);
    let done = tokio::time::timeout(LIMIT, child.wait_with_output()).await;
    let done = done.expect("the client hangs").unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Run {
        code: done.status.code(),
        out: text(done.stdout),
        err: text(done.stderr),
    }
}

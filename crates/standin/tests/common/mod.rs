//! Helpers shared by the tests: servers in this process, example programs as child processes, and
//! waiting for a condition.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use standin::call::Call;
use standin::engine::{Engine, Settings};
use viz::Router;

/// Longest wait for a condition; only a failing test comes near it.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Settings with short computation times, no delays and no eviction by idle time.
pub(crate) fn quick() -> Settings {
    Settings {
        prefill_per_block: Duration::from_micros(10),
        decode_per_token: Duration::from_micros(100),
        event_lag: Duration::ZERO,
        load_lag: Duration::ZERO,
        load_time: Duration::ZERO,
        max_idle: Duration::from_secs(3_600),
        ..Settings::default()
    }
}

/// Starts an engine in this process.
pub(crate) async fn start(settings: Settings) -> (Arc<Engine>, SocketAddr) {
    let engine = Engine::new(settings);
    let listening =
        standin::listen_freezable("127.0.0.1:0", engine.router(), engine.freeze_switch()).await;
    let (at, server) = listening.unwrap();
    tokio::spawn(server);
    (engine, at)
}

/// Serves a router in this process.
pub(crate) async fn serve(router: Router) -> SocketAddr {
    let (at, server) = standin::listen("127.0.0.1:0", router).await.unwrap();
    tokio::spawn(server);
    at
}

/// A completion request.
pub(crate) fn completion(at: SocketAddr, id: &str, body: &Value) -> Call {
    Call::post(at, "/v1/completions", body.to_string()).header("x-request-id", id)
}

/// Waits until a condition holds.
pub(crate) async fn eventually(mut holds: impl FnMut() -> bool) {
    let polling = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, polling)
        .await
        .expect("the condition did not become true in time");
}

/// The tokens of a stream of events.
pub(crate) fn answer_tokens(stream: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(stream);
    let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
    data.filter_map(|d| serde_json::from_str::<Value>(d).ok())
        .filter_map(|v| Some(v["choices"].get(0)?["text"].as_str()?.to_owned()))
        .collect()
}

/// A running example program, killed when dropped.
pub(crate) struct Example {
    pub(crate) child: std::process::Child,
    pub(crate) at: SocketAddr,
}

impl Drop for Example {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts an example program, which `cargo test` has built.
pub(crate) fn example(name: &str, args: &[&str]) -> Example {
    use std::io::BufRead;
    let own = std::env::current_exe().unwrap();
    let program = own.ancestors().nth(2).unwrap().join("examples").join(name);
    let mut child = std::process::Command::new(program)
        .args(args)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("`cargo test` builds the examples, unless only one test target is built");
    let mut line = String::new();
    let out = child.stdout.take().unwrap();
    std::io::BufReader::new(out).read_line(&mut line).unwrap();
    let at = line.trim().strip_prefix("listening ").unwrap();
    let at = at.parse().unwrap();
    Example { child, at }
}

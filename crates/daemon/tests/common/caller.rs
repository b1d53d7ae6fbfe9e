//! A blocking HTTP client that distinguishes a clean end of an answer from a broken one.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use super::TIMEOUT;

/// Sends requests to one address with one API key.
#[derive(Clone, Debug)]
pub struct Caller {
    to: SocketAddr,
    key: String,
}

/// An answer, or the part of it that arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if no answer arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// The part of the body that arrived.
    pub body: Vec<u8>,
    /// Whether the HTTP transfer ended cleanly.
    pub clean: bool,
}

/// An answer that is still arriving.
pub struct Pending {
    thread: JoinHandle<Answer>,
    chunks: mpsc::Receiver<Bytes>,
}

impl Caller {
    pub fn new(to: SocketAddr, key: &str) -> Self {
        let key = key.to_owned();
        Self { to, key }
    }

    /// Sends a `GET` request and waits for the end of its answer.
    pub fn get(&self, path: &str) -> Answer {
        self.send("GET", path, &[], "")
    }

    /// Sends a `PUT` request and waits for the end of its answer.
    pub fn put(&self, path: &str, body: &str) -> Answer {
        self.send("PUT", path, &[], body)
    }

    /// Sends a `POST` request and waits for the end of its answer.
    pub fn post(&self, path: &str, body: &str) -> Answer {
        self.send("POST", path, &[], body)
    }

    /// Sends a request and waits for the end of its answer.
    pub fn send(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        self.begin(method, path, headers, body).end()
    }

    /// Sends a request and returns without waiting for its answer.
    pub fn begin(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Pending {
        let mut req = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", "entry")
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body.to_owned())).expect("request");
        let (tx, chunks) = mpsc::channel();
        let to = self.to;
        let thread = std::thread::spawn(move || call(to, req, &tx));
        Pending { thread, chunks }
    }
}

impl Pending {
    /// Waits for the next chunk of the body that contains a text.
    pub fn wait_for(&self, text: &str) {
        loop {
            let chunk = self.chunks.recv_timeout(TIMEOUT).expect("a chunk in time");
            if String::from_utf8_lossy(&chunk).contains(text) {
                return;
            }
        }
    }

    /// Waits for the end of the answer.
    pub fn end(self) -> Answer {
        self.thread.join().expect("caller")
    }
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; null if it isn't valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// The code in an error body; empty if there is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// The words of a stream, in order.
    pub fn words(&self) -> Vec<String> {
        let text = self.text();
        let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
        let events = data.filter_map(|d| serde_json::from_str::<Value>(d).ok());
        let word = |e: Value| e["choices"][0]["text"].as_str().map(str::to_owned);
        events.filter_map(word).collect()
    }

    /// Whether a stream has its last event and ended cleanly.
    pub fn is_complete_stream(&self) -> bool {
        self.clean && self.text().ends_with("data: [DONE]\n\n")
    }
}

fn call(to: SocketAddr, req: hyper::Request<Full<Bytes>>, tx: &mpsc::Sender<Bytes>) -> Answer {
    let run = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    run.block_on(async {
        let mut answer = Answer::default();
        let call = stream(to, req, tx, &mut answer);
        let done = tokio::time::timeout(TIMEOUT, call).await;
        answer.clean = matches!(done, Ok(Ok(())));
        answer
    })
}

async fn stream(
    to: SocketAddr,
    req: hyper::Request<Full<Bytes>>,
    tx: &mpsc::Sender<Bytes>,
    answer: &mut Answer,
) -> Result<(), Box<dyn std::error::Error>> {
    let tcp = TcpStream::connect(to).await?;
    let (mut send, conn) = handshake(TokioIo::new(tcp)).await?;
    tokio::spawn(conn);
    let mut res = send.send_request(req).await?;
    answer.status = res.status().as_u16();
    for (n, v) in res.headers() {
        let value = v.to_str().unwrap_or_default().to_owned();
        answer.headers.push((n.as_str().to_owned(), value));
    }
    while let Some(frame) = res.body_mut().frame().await {
        if let Ok(data) = frame?.into_data() {
            answer.body.extend_from_slice(&data);
            let _ = tx.send(data);
        }
    }
    Ok(())
}

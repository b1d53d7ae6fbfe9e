//! Sends each request at its time and reads its answer to the end.
//!
//! Arrivals are open-loop: a request is sent when the trace says so, whether or not those before
//! it were answered. A tool that waited would send less just when the fleet is slow, and the
//! callers' longest waits would never be seen. Times count from the moment that the trace names.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use model::Class;
use serde_json::{json, Value};
use tokio::sync::Semaphore;
use tokio::time::{sleep_until, timeout, Instant};

use crate::call::{Call, CallError};
use crate::engine::answer_token;
use crate::load::trace::{Arrival, Texts};

/// Requests on their way at a time; beyond it the tool itself would be what is measured.
const IN_FLIGHT: usize = 4_096;

/// Where and how a trace is sent.
#[derive(Clone, Debug)]
pub struct DriveConfig {
    /// Callers' addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Engines that get every other completion directly; none to leave that out.
    pub direct: Vec<SocketAddr>,
    /// API key of a team; `{team}` stands for its name.
    pub key: String,
    /// Keys of single teams.
    pub keys: Vec<(String, String)>,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Begins each request id, so that one run's ids differ from another's.
    pub run: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came, in order.
    Whole,
    /// It was refused or failed, as its answer says.
    Refused {
        /// Stable code.
        code: String,
        /// What the answer says of its effect.
        outcome: String,
    },
    /// No answer came.
    Lost,
    /// The answer broke off, and openly so.
    Cut,
    /// The answer ended as if it were whole, but wasn't.
    Truncated,
    /// What came belongs to another request.
    Crossed,
    /// The tool had too many on their way and didn't send it.
    Unsent,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Its place in the trace.
    pub n: usize,
    /// Its id.
    pub id: String,
    /// How urgent it was.
    pub class: Class,
    /// Whether it went to an engine directly.
    pub direct: bool,
    /// How late the tool sent it.
    pub late: Duration,
    /// Time to the first token, or to the answer of a plain call.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// How it ended.
    pub ending: Ending,
}

/// A request ready to be sent.
struct Attempt {
    arrival: Arrival,
    prompt: String,
    done: RequestResult,
    to: SocketAddr,
    key: String,
    due: Instant,
}

/// Sends all of a trace; ends when the last answer is in or given up.
pub async fn drive(set: &DriveConfig, trace: &[Arrival]) -> Vec<RequestResult> {
    let start = Instant::now() + Duration::from_millis(50);
    let free = Arc::new(Semaphore::new(IN_FLIGHT));
    let mut texts = Texts::default();
    let mut tasks = Vec::with_capacity(trace.len());
    let mut done = Vec::with_capacity(trace.len());
    for (n, arrival) in trace.iter().enumerate() {
        let due = start + Duration::from_millis(arrival.at_ms);
        let attempt = set.prepare(n, arrival, texts.prompt(n, arrival), due);
        sleep_until(due).await;
        match Arc::clone(&free).try_acquire_owned() {
            Err(_) => done.push(RequestResult {
                ending: Ending::Unsent,
                ..attempt.done
            }),
            Ok(permit) => {
                let limit = set.timeout;
                tasks.push(tokio::spawn(async move {
                    let _permit = permit;
                    attempt.run(limit).await
                }));
            }
        }
    }
    for t in tasks {
        done.extend(t.await.ok());
    }
    done
}

impl DriveConfig {
    fn prepare(&self, n: usize, arrival: &Arrival, prompt: String, due: Instant) -> Attempt {
        let direct = !self.direct.is_empty() && arrival.completes() && n % 2 == 1;
        let to = match direct {
            true => self.direct[n / 2 % self.direct.len()],
            false => self.entries[n / 2 % self.entries.len()],
        };
        let done = RequestResult {
            n,
            id: format!("{}-{n}", self.run),
            class: arrival.class,
            direct,
            late: Duration::ZERO,
            first: None,
            gaps: Vec::new(),
            ending: Ending::Lost,
        };
        Attempt {
            arrival: arrival.clone(),
            prompt,
            done,
            to,
            key: self.key(&arrival.team),
            due,
        }
    }

    /// The API key of a team.
    pub fn key(&self, team: &str) -> String {
        let own = self.keys.iter().find(|(t, _)| t == team);
        own.map_or_else(|| self.key.replace("{team}", team), |(_, k)| k.clone())
    }
}

impl Attempt {
    async fn run(mut self, limit: Duration) -> RequestResult {
        self.done.late = self.due.elapsed();
        // Given up, it keeps the times it has and counts as lost.
        let ending = match timeout(limit, self.answer()).await {
            Ok(Ok(e)) => e,
            Ok(Err(_)) | Err(_) => Ending::Lost,
        };
        self.done.ending = ending;
        self.done
    }

    async fn answer(&mut self) -> Result<Ending, CallError> {
        let res = self.call().send().await?;
        let own = match res.headers().get("x-request-id") {
            Some(id) => id.as_bytes() == self.done.id.as_bytes(),
            None => self.done.direct,
        };
        match res.status() {
            s if !s.is_success() => refusal(res).await,
            _ if !own => Ok(Ending::Crossed),
            _ if self.arrival.completes() => self.stream(res).await,
            s => self.plain(s, res).await,
        }
    }

    fn call(&self) -> Call {
        let a = &self.arrival;
        let (method, body) = match a.completes() {
            true => ("POST", self.body()),
            false if a.idempotent => ("GET", String::new()),
            false => ("POST", self.prompt.clone()),
        };
        let call = Call {
            method,
            ..Call::post(self.to, a.path.clone(), body)
        };
        let once = if a.idempotent { "no" } else { "yes" };
        call.header("authorization", format!("Bearer {}", self.key))
            .header("x-request-id", &self.done.id)
            .header("x-class", a.class.as_str())
            .header("x-once", once)
    }

    fn body(&self) -> String {
        let mut body = json!({"model": "lekha", "prompt": self.prompt,
            "max_tokens": self.arrival.output, "stream": true});
        if self.done.direct {
            body["cache_salt"] = self.arrival.team.as_str().into();
        }
        body.to_string()
    }

    async fn stream(&mut self, res: Response<Incoming>) -> Result<Ending, CallError> {
        let mut body = res.into_body();
        let mut reader = StreamChecker::default();
        let mut last = None;
        let broken = loop {
            let data = match body.frame().await {
                None => break false,
                Some(Err(_)) => break true,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let fresh = reader.feed(&data, &self.prompt);
            for _ in 0..fresh {
                let now = Instant::now();
                match last.replace(now) {
                    None => self.done.first = Some(now - self.due),
                    Some(before) => self.done.gaps.push(now - before),
                }
            }
        };
        Ok(reader.ending(broken, self.arrival.output))
    }

    async fn plain(&mut self, s: StatusCode, res: Response<Incoming>) -> Result<Ending, CallError> {
        let body = res.into_body().collect().await?.to_bytes();
        self.done.first = Some(self.due.elapsed());
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let district = body["district"].as_str();
        let whole = match self.arrival.path.strip_prefix("/quota/") {
            Some(d) => district == Some(d),
            None => s == StatusCode::CREATED && body["record"].is_u64(),
        };
        Ok(if whole {
            Ending::Whole
        } else {
            Ending::Crossed
        })
    }
}

async fn refusal(res: Response<Incoming>) -> Result<Ending, CallError> {
    let status = res.status();
    let header = res.headers().get("x-outcome");
    let outcome = header.and_then(|v| v.to_str().ok()).unwrap_or("unsaid");
    let outcome = outcome.to_owned();
    let body = res.into_body().collect().await?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = match body["error"]["code"].as_str() {
        Some(c) => c.to_owned(),
        None => format!("status_{}", status.as_u16()),
    };
    Ok(Ending::Refused { code, outcome })
}

/// Reads a stream of events and compares its words with those that the prompt must give.
#[derive(Debug, Default)]
pub struct StreamChecker {
    rest: Vec<u8>,
    words: usize,
    done: bool,
    error: bool,
    crossed: bool,
}

impl StreamChecker {
    /// Takes what came; gives the number of words in it.
    pub fn feed(&mut self, data: &[u8], prompt: &str) -> usize {
        let before = self.words;
        self.rest.extend_from_slice(data);
        let mut from = 0;
        while let Some(n) = self.rest[from..].windows(2).position(|w| w == b"\n\n") {
            let event = self.rest[from..from + n].to_vec();
            self.event(&event, prompt);
            from += n + 2;
        }
        self.rest.drain(..from);
        self.words - before
    }

    fn event(&mut self, event: &[u8], prompt: &str) {
        match event.strip_prefix(b"data: ") {
            None if event.starts_with(b"event: error") => self.error = true,
            None => (),
            Some(b"[DONE]") => self.done = true,
            Some(data) => self.data(data, prompt),
        }
    }

    fn data(&mut self, data: &[u8], prompt: &str) {
        let v: Value = serde_json::from_slice(data).unwrap_or_default();
        if let Some(w) = v["choices"][0]["text"].as_str() {
            self.crossed |= w != answer_token(prompt, self.words);
            self.words += 1;
        }
    }

    /// How the stream ended.
    pub fn ending(&self, broken: bool, output: usize) -> Ending {
        match () {
            () if self.crossed => Ending::Crossed,
            () if broken || self.error => Ending::Cut,
            () if self.done && self.words == output => Ending::Whole,
            () => Ending::Truncated,
        }
    }
}

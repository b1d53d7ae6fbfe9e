//! Sends each request at its scheduled time and reads its answer to the end.
//!
//! The load is open-loop: a request is sent at the time given in the trace, whether or not earlier
//! requests were answered. A tool that waited for answers would send less exactly when the fleet is
//! slow, and would miss the longest waits of the callers. All times are measured from the scheduled
//! time.

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

/// Largest number of requests in flight; with more, the tool itself would be the bottleneck.
const MAX_IN_FLIGHT: usize = 4_096;

/// Destinations, keys and timeout for sending a trace.
#[derive(Clone, Debug)]
pub struct DriveConfig {
    /// Addresses of the entries for callers.
    pub entries: Vec<SocketAddr>,
    /// Engines to which every other completion is sent directly; empty to send all through entries.
    pub direct: Vec<SocketAddr>,
    /// API key of a team; `{team}` is replaced by the name of the team.
    pub key: String,
    /// API keys of single teams, which take precedence.
    pub keys: Vec<(String, String)>,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Prefix of the request ids, which keeps the ids of several runs apart.
    pub run: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer arrived, in order.
    Whole,
    /// The answer states that the request was refused or failed.
    Refused {
        /// Error code of the answer.
        code: String,
        /// What the answer states about the effect of the request, from its `x-outcome` header.
        outcome: String,
    },
    /// No answer arrived.
    Lost,
    /// The answer was cut off with an error.
    Cut,
    /// The answer ended without an error but was incomplete.
    Truncated,
    /// The answer belongs to another request.
    Crossed,
    /// The tool did not send the request because too many were in flight.
    Unsent,
}

/// The result of a request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Index of the request in the trace.
    pub n: usize,
    /// Request id.
    pub id: String,
    /// Class of the request.
    pub class: Class,
    /// Whether the request was sent directly to an engine.
    pub direct: bool,
    /// Delay of the tool in sending the request.
    pub late: Duration,
    /// Time to the first token, or to the answer of a plain call.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// How the request ended.
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

/// Sends all requests of a trace. Returns when each has been answered or has timed out.
pub async fn drive(config: &DriveConfig, trace: &[Arrival]) -> Vec<RequestResult> {
    let start = Instant::now() + Duration::from_millis(50);
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut texts = Texts::default();
    let mut tasks = Vec::with_capacity(trace.len());
    let mut done = Vec::with_capacity(trace.len());
    for (n, arrival) in trace.iter().enumerate() {
        let due = start + Duration::from_millis(arrival.at_ms);
        let attempt = config.prepare(n, arrival, texts.prompt(n, arrival), due);
        sleep_until(due).await;
        match Arc::clone(&in_flight).try_acquire_owned() {
            Err(_) => done.push(RequestResult {
                ending: Ending::Unsent,
                ..attempt.done
            }),
            Ok(permit) => {
                let timeout_after = config.timeout;
                tasks.push(tokio::spawn(async move {
                    let _permit = permit;
                    attempt.run(timeout_after).await
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
        let team_key = self.keys.iter().find(|(t, _)| t == team);
        team_key.map_or_else(|| self.key.replace("{team}", team), |(_, k)| k.clone())
    }
}

impl Attempt {
    async fn run(mut self, timeout_after: Duration) -> RequestResult {
        self.done.late = self.due.elapsed();
        // On a timeout the times recorded before are kept, and the request counts as lost.
        let ending = match timeout(timeout_after, self.answer()).await {
            Ok(Ok(e)) => e,
            Ok(Err(_)) | Err(_) => Ending::Lost,
        };
        self.done.ending = ending;
        self.done
    }

    async fn answer(&mut self) -> Result<Ending, CallError> {
        let res = self.call().send().await?;
        let matches_request = match res.headers().get("x-request-id") {
            Some(id) => id.as_bytes() == self.done.id.as_bytes(),
            None => self.done.direct,
        };
        match res.status() {
            s if !s.is_success() => read_refusal(res).await,
            _ if !matches_request => Ok(Ending::Crossed),
            _ if self.arrival.completes() => self.read_stream(res).await,
            s => self.read_plain(s, res).await,
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

    async fn read_stream(&mut self, res: Response<Incoming>) -> Result<Ending, CallError> {
        let mut body = res.into_body();
        let mut reader = StreamChecker::default();
        let mut last = None;
        let broken = loop {
            let data = match body.frame().await {
                None => break false,
                Some(Err(_)) => break true,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let new_tokens = reader.feed(&data, &self.prompt);
            for _ in 0..new_tokens {
                let now = Instant::now();
                match last.replace(now) {
                    None => self.done.first = Some(now - self.due),
                    Some(before) => self.done.gaps.push(now - before),
                }
            }
        };
        Ok(reader.ending(broken, self.arrival.output))
    }

    async fn read_plain(
        &mut self,
        s: StatusCode,
        res: Response<Incoming>,
    ) -> Result<Ending, CallError> {
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

/// The ending of a request whose answer has an error status.
async fn read_refusal(res: Response<Incoming>) -> Result<Ending, CallError> {
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

/// Reads a stream of events and compares its tokens with the expected answer to the prompt.
#[derive(Debug, Default)]
pub struct StreamChecker {
    unparsed: Vec<u8>,
    tokens: usize,
    done: bool,
    error: bool,
    crossed: bool,
}

impl StreamChecker {
    /// Reads received bytes and returns the number of tokens completed by them.
    pub fn feed(&mut self, data: &[u8], prompt: &str) -> usize {
        let before = self.tokens;
        self.unparsed.extend_from_slice(data);
        let mut from = 0;
        while let Some(n) = self.unparsed[from..].windows(2).position(|w| w == b"\n\n") {
            let event = self.unparsed[from..from + n].to_vec();
            self.read_event(&event, prompt);
            from += n + 2;
        }
        self.unparsed.drain(..from);
        self.tokens - before
    }

    fn read_event(&mut self, event: &[u8], prompt: &str) {
        match event.strip_prefix(b"data: ") {
            None if event.starts_with(b"event: error") => self.error = true,
            None => (),
            Some(b"[DONE]") => self.done = true,
            Some(data) => self.read_data(data, prompt),
        }
    }

    fn read_data(&mut self, data: &[u8], prompt: &str) {
        let v: Value = serde_json::from_slice(data).unwrap_or_default();
        if let Some(w) = v["choices"][0]["text"].as_str() {
            self.crossed |= w != answer_token(prompt, self.tokens);
            self.tokens += 1;
        }
    }

    /// How the stream ended; `broken` if the connection broke, `output` is the expected number of
    /// tokens.
    pub fn ending(&self, broken: bool, output: usize) -> Ending {
        match () {
            () if self.crossed => Ending::Crossed,
            () if broken || self.error => Ending::Cut,
            () if self.done && self.tokens == output => Ending::Whole,
            () => Ending::Truncated,
        }
    }
}

//! A model engine: completions as server-sent events, a bounded prefix cache, late cache events.
//!
//! | call | answer |
//! | --- | --- |
//! | `POST /v1/completions`, `/v1/chat/completions` | JSON, or events if `"stream": true` |
//! | `GET /load` | `{"incarnation","running","waiting","model","weights","blocks"}` |
//! | `GET /events?after=N` | `{"incarnation","next","events":[{"seq","kind",…}]}` |
//! | `GET /cache` | `{"incarnation","seq","blocks":[…]}` |
//! | `GET /log` | what it ran |
//!
//! Besides the usual fields a request may have `cache_salt` (cache entries of one salt are never
//! found under another), `priority` (lower first) and `resume` (events that the caller has).
//! The answer to a prompt is always the same words, so that a resumed one can be compared.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use viz::{Body, Bytes, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::cache::{Cache, Event, BLOCK};
use crate::reply;

/// How the engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Model it serves.
    pub model: String,
    /// Weights it serves.
    pub weights: String,
    /// Blocks its cache holds.
    pub blocks: usize,
    /// Requests it computes at a time.
    pub slots: usize,
    /// Time to compute one block of prompt.
    pub prefill: Duration,
    /// Time to compute one token of answer.
    pub decode: Duration,
    /// How late cache events are published.
    pub lag: Duration,
    /// One in this many cache events is lost; 0 for none.
    pub lose: u64,
    /// A prompt with this text in it kills the process.
    pub poison: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: "lekha".to_owned(),
            weights: "w1".to_owned(),
            blocks: 4_096,
            slots: 8,
            prefill: Duration::from_micros(400),
            decode: Duration::from_millis(5),
            lag: Duration::from_millis(50),
            lose: 0,
            poison: None,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
struct Published {
    seq: u64,
    #[serde(flatten)]
    event: Event,
    #[serde(skip)]
    due: Instant,
}

/// One request that the engine ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ran {
    /// Request id.
    pub request: String,
    /// Blocks found in the cache.
    pub cached: usize,
    /// Blocks of the prompt.
    pub blocks: usize,
    /// Whether the answer was computed to its end.
    pub whole: bool,
}

/// One life of an engine.
#[derive(Debug)]
pub struct Engine {
    set: Settings,
    incarnation: u64,
    cache: Mutex<Cache>,
    events: Mutex<Vec<Published>>,
    seq: AtomicU64,
    slots: Arc<Semaphore>,
    prefill: tokio::sync::Mutex<()>,
    running: AtomicUsize,
    waiting: AtomicUsize,
    log: Mutex<Vec<Ran>>,
}

#[derive(Debug, Deserialize)]
struct Ask {
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "sixteen")]
    max_tokens: usize,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    cache_salt: String,
    #[serde(default)]
    resume: usize,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

fn sixteen() -> usize {
    16
}

impl Engine {
    /// A new life with an empty cache.
    pub fn new(set: Settings) -> Arc<Self> {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Arc::new(Self {
            incarnation: now.as_micros() as u64,
            cache: Mutex::new(Cache::new(set.blocks)),
            events: Mutex::default(),
            seq: AtomicU64::new(0),
            slots: Arc::new(Semaphore::new(set.slots)),
            prefill: tokio::sync::Mutex::new(()),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            log: Mutex::default(),
            set,
        })
    }

    /// Its HTTP interface.
    pub fn router(self: &Arc<Self>) -> Router {
        let [a, b, c, d, e, f] = std::array::from_fn(|_| Arc::clone(self));
        Router::new()
            .post("/v1/completions", move |r: Request| {
                Arc::clone(&a).complete(r)
            })
            .post("/v1/chat/completions", move |r: Request| {
                Arc::clone(&b).complete(r)
            })
            .get("/load", move |_: Request| c.load().into_future())
            .get("/events", move |r: Request| d.published(&r).into_future())
            .get("/cache", move |_: Request| e.list().into_future())
            .get("/log", move |_: Request| {
                reply::json(StatusCode::OK, &*lock(&f.log)).into_future()
            })
    }

    /// What it has run.
    pub fn ran(&self) -> Vec<Ran> {
        lock(&self.log).clone()
    }

    async fn complete(self: Arc<Self>, mut req: Request) -> Result<Response> {
        let id = req.header::<_, String>("x-request-id").unwrap_or_default();
        let body = req.bytes().await.map_err(viz::Error::boxed)?;
        let Ok(ask) = serde_json::from_slice::<Ask>(&body) else {
            return reply::json(StatusCode::BAD_REQUEST, &json!({"error": "unreadable"}));
        };
        let prompt = ask.text();
        if self.set.poison.as_ref().is_some_and(|p| prompt.contains(p)) {
            std::process::abort();
        }
        let job = Job { id, prompt, ask };
        match job.ask.stream {
            true => self.stream(job),
            false => self.whole(job).await,
        }
    }

    fn stream(self: Arc<Self>, job: Job) -> Result<Response> {
        let (tx, rx) = tokio::sync::mpsc::channel::<Result<Bytes, std::io::Error>>(16);
        let life = self.incarnation;
        tokio::spawn(async move {
            let (cached, slot) = self.prefill(&job).await;
            let seat = Seat::new(&self.running);
            let mut whole = true;
            for i in job.ask.resume..job.ask.max_tokens {
                tokio::time::sleep(self.set.decode).await;
                let data = json!({"id": job.id, "object": "text_completion",
                    "choices": [{"index": 0, "text": word(&job.prompt, i)}]});
                whole &= tx
                    .send(Ok(format!("data: {data}\n\n").into()))
                    .await
                    .is_ok();
                if !whole {
                    break;
                }
            }
            drop(seat);
            let end = json!({"id": job.id, "choices": [], "usage": self.usage(&job, cached)});
            let _ = tx
                .send(Ok(format!("data: {end}\n\ndata: [DONE]\n\n").into()))
                .await;
            self.note(&job, cached, whole);
            drop(slot);
        });
        let body = futures::stream::unfold(rx, |mut rx| async { Some((rx.recv().await?, rx)) });
        Response::builder()
            .header("content-type", "text/event-stream")
            .header("x-engine", life)
            .body(Body::from_stream(body))
            .map_err(viz::Error::boxed)
    }

    async fn whole(&self, job: Job) -> Result<Response> {
        let (cached, slot) = self.prefill(&job).await;
        let seat = Seat::new(&self.running);
        tokio::time::sleep(self.set.decode * job.ask.max_tokens as u32).await;
        drop((seat, slot));
        self.note(&job, cached, true);
        let text: String = (0..job.ask.max_tokens)
            .map(|i| word(&job.prompt, i))
            .collect();
        let answer = json!({"id": job.id, "object": "text_completion",
            "choices": [{"index": 0, "text": text}], "usage": self.usage(&job, cached)});
        reply::json(StatusCode::OK, &answer)
    }

    /// Waits for a slot and computes the prompt.
    async fn prefill(&self, job: &Job) -> (usize, Option<OwnedSemaphorePermit>) {
        let seat = Seat::new(&self.waiting);
        let slot = Arc::clone(&self.slots).acquire_owned().await.ok();
        let _turn = self.prefill.lock().await;
        drop(seat);
        let mut out = Vec::new();
        let cached = lock(&self.cache).take(&job.ask.cache_salt, job.prompt.as_bytes(), &mut out);
        let missing = job.prompt.len() / BLOCK - cached;
        tokio::time::sleep(self.set.prefill * missing as u32).await;
        self.publish(out);
        (cached, slot)
    }

    fn publish(&self, events: Vec<Event>) {
        let due = Instant::now() + self.set.lag;
        let mut all = lock(&self.events);
        for event in events {
            let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
            let lost = self.set.lose > 0 && seq.is_multiple_of(self.set.lose);
            if !lost {
                all.push(Published { seq, event, due });
            }
        }
    }

    fn published(&self, req: &Request) -> Result<Response> {
        let after = req
            .query_string()
            .and_then(|q| q.strip_prefix("after=")?.parse().ok());
        let after: u64 = after.unwrap_or(0);
        let now = Instant::now();
        let all = lock(&self.events);
        let due: Vec<_> = all
            .iter()
            .filter(|p| p.seq > after && p.due <= now)
            .collect();
        let next = due.last().map_or(after, |p| p.seq);
        reply::json(
            StatusCode::OK,
            &json!({"incarnation": self.incarnation, "next": next, "events": due}),
        )
    }

    fn list(&self) -> Result<Response> {
        let blocks = lock(&self.cache).list();
        let seq = self.seq.load(Ordering::Relaxed);
        reply::json(
            StatusCode::OK,
            &json!({"incarnation": self.incarnation, "seq": seq, "blocks": blocks}),
        )
    }

    fn load(&self) -> Result<Response> {
        reply::json(
            StatusCode::OK,
            &json!({
                "incarnation": self.incarnation,
                "running": self.running.load(Ordering::Relaxed),
                "waiting": self.waiting.load(Ordering::Relaxed),
                "model": self.set.model,
                "weights": self.set.weights,
                "blocks": lock(&self.cache).len(),
            }),
        )
    }

    fn usage(&self, job: &Job, cached: usize) -> serde_json::Value {
        json!({"prompt_tokens": job.prompt.len() / 4, "completion_tokens": job.ask.max_tokens,
            "prompt_tokens_details": {"cached_tokens": cached * BLOCK / 4}})
    }

    fn note(&self, job: &Job, cached: usize, whole: bool) {
        let blocks = job.prompt.len() / BLOCK;
        lock(&self.log).push(Ran {
            request: job.id.clone(),
            cached,
            blocks,
            whole,
        });
    }
}

#[derive(Debug)]
struct Job {
    id: String,
    prompt: String,
    ask: Ask,
}

impl Ask {
    /// The text that is cached: a prompt as it is, messages as role, colon, content, newline.
    fn text(&self) -> String {
        let chat = || {
            self.messages
                .iter()
                .map(|m| format!("{}:{}\n", m.role, m.content))
        };
        self.prompt.clone().unwrap_or_else(|| chat().collect())
    }
}

/// Counts one for as long as it lives.
struct Seat<'a>(&'a AtomicUsize);

impl<'a> Seat<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

trait IntoReady: Sized {
    fn into_future(self) -> std::future::Ready<Self> {
        std::future::ready(self)
    }
}

impl IntoReady for Result<Response> {}

/// The word at a place of a prompt's answer.
pub fn word(prompt: &str, i: usize) -> String {
    let h = xxhash_rust::xxh3::xxh3_64_with_seed(prompt.as_bytes(), i as u64);
    format!(" w{}", h % 10_000)
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

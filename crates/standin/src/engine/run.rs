//! Runs a request from its arrival to its last token.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::{sleep_until, Instant};
use viz::{Body, Bytes, Response, Result, StatusCode};

use crate::cache::{chain, BlockRange, BLOCK_BYTES};
use crate::engine::request::{answer_token, CompletionRequest};
use crate::engine::schedule::{Permit, Rank};
use crate::engine::{Engine, RunRecord};
use crate::{lock, micros, reply};

/// Number of computed tokens that are buffered for a caller that reads slowly.
const TOKEN_BUFFER: usize = 16;

/// A request being run.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) prompt: String,
    pub(super) request: CompletionRequest,
    pub(super) weights: String,
    /// Number of times that running work had been cut when the job arrived.
    pub(super) cuts: u64,
}

/// An item that the computation of a job sends to its response.
#[derive(Debug)]
enum Output {
    Token(String),
    End { cached: usize },
    Cut,
}

impl Engine {
    pub(super) async fn answer(self: Arc<Self>, job: Job) -> Result<Response> {
        let job = Arc::new(job);
        let (tx, rx) = channel(TOKEN_BUFFER);
        tokio::spawn(Arc::clone(&self).run(Arc::clone(&job), tx));
        match job.request.stream {
            true => self.stream_response(job, rx),
            false => self.complete_response(job, rx).await,
        }
    }

    fn stream_response(&self, job: Arc<Job>, rx: Receiver<Output>) -> Result<Response> {
        let body = futures::stream::unfold(rx, move |mut rx| {
            let job = Arc::clone(&job);
            async move {
                let item = match rx.recv().await? {
                    Output::Token(t) => Ok(token_event(&job, &t)),
                    Output::End { cached } => Ok(end_event(&job, cached)),
                    Output::Cut => Err(std::io::Error::other("cut")),
                };
                Some((item, rx))
            }
        });
        Response::builder()
            .header("content-type", "text/event-stream")
            .header("x-engine", self.incarnation)
            .body(Body::from_stream(body))
            .map_err(viz::Error::boxed)
    }

    async fn complete_response(&self, job: Arc<Job>, mut rx: Receiver<Output>) -> Result<Response> {
        let mut text = String::new();
        while let Some(out) = rx.recv().await {
            match out {
                Output::Token(t) => text.push_str(&t),
                Output::End { cached } => {
                    let answer = json!({"id": job.id, "object": "text_completion",
                        "choices": [{"index": 0, "text": text}], "usage": usage(&job, cached)});
                    return reply::json(StatusCode::OK, &answer);
                }
                Output::Cut => break,
            }
        }
        let gone = json!({"error": "cut"});
        reply::json(StatusCode::SERVICE_UNAVAILABLE, &gone)
    }

    /// Runs a job to its end, or until its caller disconnects or a load of weights starts.
    async fn run(self: Arc<Self>, job: Arc<Job>, tx: Sender<Output>) {
        let mut cuts = self.cuts.subscribe();
        let mut entry = self.open_log_entry(&job);
        let cut_since = |n: &u64| *n != job.cuts;
        let cut = tokio::select! {
            () = tx.closed() => false,
            _ = cuts.wait_for(cut_since) => true,
            () = self.compute(&job, &tx, &mut entry) => return,
        };
        if cut {
            let _ = tx.send(Output::Cut).await;
        }
    }

    fn open_log_entry(&self, job: &Job) -> LogEntry<'_> {
        let record = RunRecord {
            request: job.id.clone(),
            priority: job.request.priority,
            arrived: micros(),
            weights: job.weights.clone(),
            blocks: job.prompt.len() / BLOCK_BYTES,
            resumed: job.request.resume,
            ..RunRecord::default()
        };
        LogEntry {
            engine: self,
            record: Some(record),
        }
    }

    async fn compute(&self, job: &Job, tx: &Sender<Output>, entry: &mut LogEntry<'_>) {
        let Some(record) = entry.record.as_mut() else {
            return;
        };
        let rank = self.rank(job.request.priority);
        let waiting = LoadCount::waiting(self);
        let _permit = self.slots.acquire(rank).await;
        record.started = micros();
        let permit = self.prefill.acquire(rank).await;
        drop(waiting);
        let _running = LoadCount::running(self);
        self.prefill(job, rank, permit, record).await;
        record.computed = micros();
        let whole = self.generate(job, tx, record).await;
        let cached = record.cached;
        // Logged before the end is sent, so that a caller that has received the end finds the
        // request in the log.
        entry.close(whole);
        let last = if whole {
            Output::End { cached }
        } else {
            Output::Cut
        };
        let _ = tx.send(last).await;
    }

    /// Computes the prompt in chunks; between two chunks it yields to prompts that rank before it.
    async fn prefill(&self, job: &Job, rank: Rank, permit: Permit, record: &mut RunRecord) {
        let prompt = job.prompt.as_bytes();
        let chain = chain(&job.request.cache_salt, prompt);
        let found = self.with_cache(|c, _| c.find(std::time::Instant::now(), &chain));
        record.cached = found;
        record.looked = micros();
        let mut from = found;
        let mut permit = permit;
        while from < chain.len() {
            permit = self.prefill.yield_to(permit, rank).await;
            let to = chain.len().min(from + self.settings.prefill_chunk.max(1));
            let time = self.settings.prefill_per_block * (to - from) as u32;
            sleep_until_due(Instant::now() + self.faults.slowed(time)).await;
            let range = BlockRange {
                scope: &job.request.cache_salt,
                prompt,
                chain: &chain,
                from,
                to,
            };
            self.with_cache(|c, out| {
                // Once other weights are loaded, blocks of the old ones would lead to wrong tokens.
                if *self.cuts.borrow() == job.cuts {
                    c.store(std::time::Instant::now(), &range, out);
                }
            });
            from = to;
        }
    }

    async fn generate(&self, job: &Job, tx: &Sender<Output>, record: &mut RunRecord) -> bool {
        let cut = self.faults.take_cut();
        let mut due = Instant::now();
        for i in job.request.resume..job.request.max_tokens {
            if cut.is_some_and(|after| i >= job.request.resume + after) {
                return false;
            }
            due += self.token_time();
            sleep_until_due(due).await;
            if tx
                .send(Output::Token(answer_token(&job.prompt, i)))
                .await
                .is_err()
            {
                return false;
            }
            record.tokens += 1;
        }
        true
    }

    /// Time to the next token: longer while other requests run and while a prompt is computed.
    fn token_time(&self) -> Duration {
        let others = self.feed.running().saturating_sub(1) as u32;
        let disturbed = if self.prefill.is_busy() {
            self.settings.prefill_penalty
        } else {
            0
        };
        let percent = 100 + self.settings.batch_penalty * others + disturbed;
        self.faults
            .slowed(self.settings.decode_per_token * percent / 100)
    }
}

/// A log entry that is written when its request ends, also if the request is cancelled.
struct LogEntry<'a> {
    engine: &'a Engine,
    record: Option<RunRecord>,
}

impl LogEntry<'_> {
    fn close(&mut self, whole: bool) {
        if let Some(mut record) = self.record.take() {
            record.whole = whole;
            record.ended = micros();
            lock(&self.engine.log).push(record);
        }
    }
}

impl Drop for LogEntry<'_> {
    fn drop(&mut self) {
        self.close(false);
    }
}

/// Counts one request in the load of the engine until dropped.
struct LoadCount<'a> {
    engine: &'a Engine,
    running: bool,
}

impl<'a> LoadCount<'a> {
    fn waiting(engine: &'a Engine) -> Self {
        engine
            .feed
            .change_load(engine.settings.load_lag, |l| l.waiting += 1);
        let running = false;
        Self { engine, running }
    }

    fn running(engine: &'a Engine) -> Self {
        engine
            .feed
            .change_load(engine.settings.load_lag, |l| l.running += 1);
        let running = true;
        Self { engine, running }
    }
}

impl Drop for LoadCount<'_> {
    fn drop(&mut self) {
        let running = self.running;
        self.engine
            .feed
            .change_load(self.engine.settings.load_lag, |l| {
                match running {
                    true => l.running -= 1,
                    false => l.waiting -= 1,
                };
            });
    }
}

/// Sleeps until `until`. The timer rounds up to a millisecond, also for moments that have passed;
/// without the check, an engine with zero computation time would take a millisecond per token.
async fn sleep_until_due(until: Instant) {
    if until > Instant::now() {
        sleep_until(until).await;
    }
}

fn token_event(job: &Job, text: &str) -> Bytes {
    let data = json!({"id": job.id, "object": "text_completion",
        "choices": [{"index": 0, "text": text}]});
    format!("data: {data}\n\n").into()
}

fn end_event(job: &Job, cached: usize) -> Bytes {
    let data = json!({"id": job.id, "choices": [], "usage": usage(job, cached)});
    format!("data: {data}\n\ndata: [DONE]\n\n").into()
}

fn usage(job: &Job, cached: usize) -> serde_json::Value {
    json!({"prompt_tokens": job.prompt.len() / 4, "completion_tokens": job.request.max_tokens,
        "prompt_tokens_details": {"cached_tokens": cached * BLOCK_BYTES / 4}})
}

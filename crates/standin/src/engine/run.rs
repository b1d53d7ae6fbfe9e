//! One request from its arrival to its last token.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::time::{sleep_until, Instant};
use viz::{Body, Bytes, Response, Result, StatusCode};

use crate::cache::{chain, BlockRange, BLOCK_BYTES};
use crate::engine::ask::{answer_token, Ask};
use crate::engine::schedule::{Permit, Rank};
use crate::engine::{Engine, RunRecord};
use crate::{lock, micros, reply};

/// Tokens that wait for a caller who reads slowly.
const BUFFER: usize = 16;

/// A request that is run.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: String,
    pub(super) prompt: String,
    pub(super) ask: Ask,
    pub(super) weights: String,
    /// How often running work had been cut when the job came.
    pub(super) cuts: u64,
}

/// What a job's computation gives.
#[derive(Debug)]
enum Out {
    Word(String),
    End { cached: usize },
    Cut,
}

impl Engine {
    pub(super) async fn answer(self: Arc<Self>, job: Job) -> Result<Response> {
        let job = Arc::new(job);
        let (tx, rx) = channel(BUFFER);
        tokio::spawn(Arc::clone(&self).run(Arc::clone(&job), tx));
        match job.ask.stream {
            true => self.stream(job, rx),
            false => self.whole(job, rx).await,
        }
    }

    fn stream(&self, job: Arc<Job>, rx: Receiver<Out>) -> Result<Response> {
        let body = futures::stream::unfold(rx, move |mut rx| {
            let job = Arc::clone(&job);
            async move {
                let item = match rx.recv().await? {
                    Out::Word(w) => Ok(token(&job, &w)),
                    Out::End { cached } => Ok(end(&job, cached)),
                    Out::Cut => Err(std::io::Error::other("cut")),
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

    async fn whole(&self, job: Arc<Job>, mut rx: Receiver<Out>) -> Result<Response> {
        let mut text = String::new();
        while let Some(out) = rx.recv().await {
            match out {
                Out::Word(w) => text.push_str(&w),
                Out::End { cached } => {
                    let answer = json!({"id": job.id, "object": "text_completion",
                        "choices": [{"index": 0, "text": text}], "usage": usage(&job, cached)});
                    return reply::json(StatusCode::OK, &answer);
                }
                Out::Cut => break,
            }
        }
        let gone = json!({"error": "cut"});
        reply::json(StatusCode::SERVICE_UNAVAILABLE, &gone)
    }

    /// Runs a job to its end, or until its caller's connection goes or weights are loaded.
    async fn run(self: Arc<Self>, job: Arc<Job>, tx: Sender<Out>) {
        let mut cuts = self.cuts.subscribe();
        let mut entry = self.open(&job);
        let cut_since = |n: &u64| *n != job.cuts;
        let cut = tokio::select! {
            () = tx.closed() => false,
            _ = cuts.wait_for(cut_since) => true,
            () = self.compute(&job, &tx, &mut entry) => return,
        };
        if cut {
            let _ = tx.send(Out::Cut).await;
        }
    }

    fn open(&self, job: &Job) -> Entry<'_> {
        let ran = RunRecord {
            request: job.id.clone(),
            priority: job.ask.priority,
            arrived: micros(),
            weights: job.weights.clone(),
            blocks: job.prompt.len() / BLOCK_BYTES,
            resumed: job.ask.resume,
            ..RunRecord::default()
        };
        Entry {
            engine: self,
            ran: Some(ran),
        }
    }

    async fn compute(&self, job: &Job, tx: &Sender<Out>, entry: &mut Entry<'_>) {
        let Some(ran) = entry.ran.as_mut() else {
            return;
        };
        let rank = self.rank(job.ask.priority);
        let waiting = Counted::waiting(self);
        let _permit = self.slots.acquire(rank).await;
        ran.started = micros();
        let turn = self.prefill.acquire(rank).await;
        drop(waiting);
        let _running = Counted::running(self);
        self.prompt(job, rank, turn, ran).await;
        ran.computed = micros();
        let whole = self.words(job, tx, ran).await;
        let cached = ran.cached;
        // Written before the caller sees the end, so that whoever has it finds it in the log.
        entry.close(whole);
        let last = if whole { Out::End { cached } } else { Out::Cut };
        let _ = tx.send(last).await;
    }

    /// Computes the prompt in chunks; between two of them a more urgent prompt may come first.
    async fn prompt(&self, job: &Job, rank: Rank, turn: Permit, ran: &mut RunRecord) {
        let prompt = job.prompt.as_bytes();
        let chain = chain(&job.ask.cache_salt, prompt);
        let found = self.change(|c, _| c.find(std::time::Instant::now(), &chain));
        ran.cached = found;
        ran.looked = micros();
        let mut from = found;
        let mut turn = turn;
        while from < chain.len() {
            turn = self.prefill.yield_to(turn, rank).await;
            let to = chain.len().min(from + self.set.chunk.max(1));
            let time = self.set.prefill * (to - from) as u32;
            pause(Instant::now() + self.faults.slowed(time)).await;
            let piece = BlockRange {
                scope: &job.ask.cache_salt,
                prompt,
                chain: &chain,
                from,
                to,
            };
            self.change(|c, out| {
                // Once other weights are loaded these blocks would give wrong words.
                if *self.cuts.borrow() == job.cuts {
                    c.store(std::time::Instant::now(), &piece, out);
                }
            });
            from = to;
        }
    }

    async fn words(&self, job: &Job, tx: &Sender<Out>, ran: &mut RunRecord) -> bool {
        let cut = self.faults.cut();
        let mut due = Instant::now();
        for i in job.ask.resume..job.ask.max_tokens {
            if cut.is_some_and(|after| i >= job.ask.resume + after) {
                return false;
            }
            due += self.gap();
            pause(due).await;
            if tx
                .send(Out::Word(answer_token(&job.prompt, i)))
                .await
                .is_err()
            {
                return false;
            }
            ran.tokens += 1;
        }
        true
    }

    /// Time to the next token: longer with others beside it and while a prompt is computed.
    fn gap(&self) -> Duration {
        let others = self.feed.running().saturating_sub(1) as u32;
        let disturbed = if self.prefill.is_busy() {
            self.set.prefill_penalty
        } else {
            0
        };
        let percent = 100 + self.set.batch_penalty * others + disturbed;
        self.faults.slowed(self.set.decode * percent / 100)
    }
}

/// A log line that is written when its request ends, however it ends.
struct Entry<'a> {
    engine: &'a Engine,
    ran: Option<RunRecord>,
}

impl Entry<'_> {
    fn close(&mut self, whole: bool) {
        if let Some(mut ran) = self.ran.take() {
            ran.whole = whole;
            ran.ended = micros();
            lock(&self.engine.log).push(ran);
        }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.close(false);
    }
}

/// Counts in the engine's load for as long as it lives.
struct Counted<'a> {
    engine: &'a Engine,
    running: bool,
}

impl<'a> Counted<'a> {
    fn waiting(engine: &'a Engine) -> Self {
        engine.feed.load(engine.set.load_lag, |l| l.waiting += 1);
        let running = false;
        Self { engine, running }
    }

    fn running(engine: &'a Engine) -> Self {
        engine.feed.load(engine.set.load_lag, |l| l.running += 1);
        let running = true;
        Self { engine, running }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        let running = self.running;
        self.engine.feed.load(self.engine.set.load_lag, |l| {
            match running {
                true => l.running -= 1,
                false => l.waiting -= 1,
            };
        });
    }
}

/// Waits until a moment. The timer rounds up to a millisecond, also for moments that have passed;
/// an engine that computes in no time would seem to take one for each token.
async fn pause(until: Instant) {
    if until > Instant::now() {
        sleep_until(until).await;
    }
}

fn token(job: &Job, text: &str) -> Bytes {
    let data = json!({"id": job.id, "object": "text_completion",
        "choices": [{"index": 0, "text": text}]});
    format!("data: {data}\n\n").into()
}

fn end(job: &Job, cached: usize) -> Bytes {
    let data = json!({"id": job.id, "choices": [], "usage": usage(job, cached)});
    format!("data: {data}\n\ndata: [DONE]\n\n").into()
}

fn usage(job: &Job, cached: usize) -> serde_json::Value {
    json!({"prompt_tokens": job.prompt.len() / 4, "completion_tokens": job.ask.max_tokens,
        "prompt_tokens_details": {"cached_tokens": cached * BLOCK_BYTES / 4}})
}

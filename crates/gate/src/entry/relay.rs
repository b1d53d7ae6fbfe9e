//! A stream from a replica to its caller, over a replica's end if another may go on with it.
//!
//! A stream that may be resumed is passed on in whole events only: what a dying replica left of an
//! event is dropped, and the next replica begins after the last whole one. Any other stream is passed
//! on as it comes and cut where its replica cut it or ended within an event, so that it never looks
//! complete.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::Response;
use platform::replica;
use policy::quarantine::Verdict;
use policy::retry_budget::{Budget, RetryReason};
use tokio::time::timeout;

use super::listen::Watch;
use super::pick;
use super::request::{Answer, Cut, Job};
use super::send::{self, Live, Sent};
use super::tries::{self, LAST_WORD};
use super::{suspects, Ctx};
use crate::log::{self, Event};
use crate::meter;

/// Multiple of the longest good pause after which a resumable stream goes to another replica.
const SILENCE: f64 = 2.0;
/// Shortest such time, for routes that name no pause.
const LEAST: Duration = Duration::from_millis(500);

/// Bytes of the longest end of an event.
const LONGEST_END: usize = 4;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Its last event has been passed on.
    Whole,
    /// Its replica cut it, and no other went on.
    Cut,
    /// Its route's time was over.
    Overdue,
    /// Its caller left.
    Left,
}

impl End {
    fn word(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Cut => "cut",
            Self::Overdue => "overdue",
            Self::Left => "left",
        }
    }
}

/// A stream on its way; what it holds at the replica ends with it.
struct Relay {
    ctx: Ctx,
    job: Job,
    live: Option<Live>,
    /// What has come of an event that isn't whole; of a stream that is passed on as it comes, its end.
    rest: BytesMut,
    events: u64,
    first: Option<Duration>,
    /// Whether it waits for its replica, however long that is silent.
    patient: bool,
    end: End,
}

/// Passes a stream on.
pub(super) fn relay(ctx: &Ctx, watch: &Rc<Watch>, job: Job, live: Live) -> Response<Answer> {
    let status = live.response.status();
    let headers = replica::answer_headers(live.response.headers());
    let relay = Relay {
        ctx: Rc::clone(ctx),
        job,
        live: Some(live),
        rest: BytesMut::new(),
        events: 0,
        first: None,
        patient: false,
        end: End::Left,
    };
    let events = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    });
    let body = Answer::new(StreamBody::new(events), Rc::clone(watch));
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// What a replica's stream brought.
enum Came {
    Bytes(Bytes),
    Whole,
    Broken(&'static str),
    Silent,
    Overdue,
}

impl Relay {
    /// The next bytes for the caller; none at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, Cut> {
        loop {
            let came = match self.come().await {
                Came::Silent => self.overtake().await,
                came => came,
            };
            match came {
                Came::Silent => {}
                Came::Bytes(bytes) => {
                    if let Some(out) = self.pass(bytes) {
                        return Ok(Some(out));
                    }
                }
                Came::Whole => {
                    self.whole();
                    return Ok(None);
                }
                Came::Overdue => return self.cut(End::Overdue),
                Came::Broken(reason) => {
                    if !self.go_on(reason).await {
                        return self.cut(End::Cut);
                    }
                }
            }
        }
    }

    fn cut(&mut self, end: End) -> Result<Option<Bytes>, Cut> {
        self.end = end;
        self.live = None;
        Err(Cut)
    }

    /// Waits for the replica's next bytes.
    async fn come(&mut self) -> Came {
        let end = self.job.left(self.ctx.now()) + LAST_WORD;
        let silence = self.job.route.event_gap_goal.mul_f64(SILENCE).max(LEAST);
        let wait = if self.may_move() {
            silence.min(end)
        } else {
            end
        };
        let Some(live) = &mut self.live else {
            return Came::Broken("no replica");
        };
        match timeout(wait, live.response.body_mut().frame()).await {
            Ok(frame) => self.came(frame),
            Err(_) if wait < end => Came::Silent,
            Err(_) => Came::Overdue,
        }
    }

    /// Whether another replica may go on with a stream that is silent.
    fn may_move(&self) -> bool {
        self.job.route.mode == site::Mode::Resumable
            && self.job.runs + 1 < self.job.route.max_attempts
            && !self.patient
    }

    fn came(&self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Came {
        match frame {
            // A stream without a stated length ends with its connection; if that is in the middle of an
            // event, it isn't whole, and taking it for whole would lose the caller the rest.
            None if self.within_event() => Came::Broken("ended within an event"),
            None => Came::Whole,
            Some(Err(_)) => Came::Broken("stream broken"),
            Some(Ok(f)) => f.into_data().map_or(Came::Bytes(Bytes::new()), Came::Bytes),
        }
    }

    /// Whether the bytes so far end within an event.
    fn within_event(&self) -> bool {
        match self.job.route.mode {
            site::Mode::Resumable => !self.rest.is_empty(),
            _ => !self.rest.is_empty() && last_end(&self.rest) != Some(self.rest.len()),
        }
    }

    /// What of these bytes goes on now.
    fn pass(&mut self, bytes: Bytes) -> Option<Bytes> {
        if bytes.is_empty() {
            return None;
        }
        if self.first.is_none() {
            self.begun();
        }
        if self.job.route.mode != site::Mode::Resumable {
            self.events += 1;
            self.rest.extend_from_slice(&bytes);
            let end = self.rest.len().saturating_sub(LONGEST_END);
            let _passed = self.rest.split_to(end);
            return Some(bytes);
        }
        self.rest.extend_from_slice(&bytes);
        let end = last_end(&self.rest)?;
        let events = self.rest.split_to(end).freeze();
        self.events += 1;
        if let Some(id) = last_id(&events) {
            self.job.resume = Some(id);
        }
        Some(events)
    }

    /// Notes the first event: the replica has read the prompt and holds it now.
    fn begun(&mut self) {
        let after = self.ctx.now().since(self.job.came).into();
        self.first = Some(after);
        meter::record_duration(meter::FIRST_EVENT, after);
        let Some(live) = &mut self.live else {
            return;
        };
        live.place.read();
        if let Some(tokens) = live.place.alone.take() {
            let took = self.ctx.now().since(live.place.sent);
            let time = took.as_secs_f64() * 1e3;
            self.ctx
                .prefill_rate(&self.job.pool, |p| p.record(tokens, time));
        }
        self.ctx.fleet.borrow_mut().good(live.place.key());
    }

    /// The replica's stream ended in order; its connection is kept.
    fn whole(&mut self) {
        self.end = End::Whole;
        suspects::served(&self.ctx, &self.job);
        if let Some(live) = self.live.take() {
            let mut fleet = self.ctx.fleet.borrow_mut();
            let replica = fleet.replicas.get_mut(live.place.key());
            if let (Some(r), false) = (replica, live.told.closes) {
                r.idle.keep(live.upstream);
            }
            drop(fleet);
            drop(live.place);
        }
    }

    /// Asks another replica to go on with a stream whose replica is silent, and takes whichever of the two
    /// speaks first.
    ///
    /// A replica that loads weights is silent for seconds and then goes on. Given up on before another
    /// one had answered, its streams were cut when all others were full or no retry was left: callers
    /// lost answers that were being made, also while a process stopped as planned.
    async fn overtake(&mut self) -> Came {
        self.patient = true;
        let spend = |b: &mut Budget| b.spend(self.ctx.now(), RetryReason::HasRun);
        let convicted = suspects::verdict(&self.ctx, &self.job) == Verdict::Convicted;
        if convicted || !self.ctx.budget(&self.job.pool, spend) {
            tries::stuck(&self.job, "silent, and no retry left");
            return Came::Silent;
        }
        let Some(mut old) = self.live.take() else {
            return Came::Broken("no replica");
        };
        let resumed = tokio::select! {
            biased;
            frame = old.response.body_mut().frame() => {
                // What the other one may have begun ends with its place.
                self.job.runs += 1;
                self.live = Some(old);
                return self.came(frame);
            }
            resumed = self.resume() => resumed,
        };
        match resumed {
            Resumed::Yes => {
                tries::failed(&self.job, &old.place.boot, "silent", None, true);
                let key = old.place.key();
                self.ctx
                    .fleet
                    .borrow_mut()
                    .bad(self.ctx.now(), key, "silent");
                self.rest.clear();
                self.job.runs += 1;
                return Came::Silent;
            }
            Resumed::Ran => self.job.runs += 1,
            Resumed::NotRun | Resumed::Nowhere => {}
        }
        self.live = Some(old);
        Came::Silent
    }

    /// Lets another replica go on.
    async fn go_on(&mut self, reason: &'static str) -> bool {
        if let Some(live) = self.live.take() {
            let key = live.place.key();
            tries::failed(&self.job, &live.place.boot, reason, None, true);
            self.ctx.fleet.borrow_mut().bad(self.ctx.now(), key, reason);
            if self.first.is_none() {
                suspects::broke(&self.ctx, &self.job, &live.place.boot, live.place.sent);
            }
        }
        self.rest.clear();
        self.job.runs += 1;
        if self.job.route.mode != site::Mode::Resumable {
            return false;
        }
        if !self.job.may_run() {
            tries::stuck(&self.job, "no try left");
        }
        while self.job.may_run() && !self.job.left(self.ctx.now()).is_zero() {
            if suspects::verdict(&self.ctx, &self.job) == Verdict::Convicted {
                tries::stuck(&self.job, "quarantined");
                return false;
            }
            let spend = |b: &mut Budget| b.spend(self.ctx.now(), RetryReason::HasRun);
            let spent = self.ctx.budget(&self.job.pool, spend);
            if !spent {
                tries::stuck(&self.job, "no retry left");
                return false;
            }
            match self.resume().await {
                Resumed::Yes => return true,
                Resumed::NotRun => {}
                Resumed::Ran => self.job.runs += 1,
                Resumed::Nowhere => {
                    tries::stuck(&self.job, "no other replica");
                    return false;
                }
            }
        }
        false
    }

    async fn resume(&mut self) -> Resumed {
        let Some(plan) = self.ctx.node.plan() else {
            return Resumed::Nowhere;
        };
        let Ok(pick) = pick::pick(&self.ctx, &plan, &self.job) else {
            return Resumed::Nowhere;
        };
        self.job.tried.push(pick.key);
        self.job.sends += 1;
        let began = self.ctx.now();
        let left = self.job.left(began);
        send::tell(&self.ctx, &self.job, &pick, left);
        let patience = left + LAST_WORD;
        match send::send(&self.ctx, &self.job, &pick, patience).await {
            Sent::Answer(live) => {
                let good = live.response.status().is_success();
                if good && live.told.signed && !live.told.encoded {
                    self.live = Some(*live);
                    return Resumed::Yes;
                }
                Resumed::Ran
            }
            Sent::Unseen(_) | Sent::NotRun(_) => Resumed::NotRun,
            Sent::Unknown(_) => {
                suspects::broke(&self.ctx, &self.job, &pick.boot, began);
                Resumed::Ran
            }
        }
    }
}

/// What became of a try to go on.
enum Resumed {
    Yes,
    NotRun,
    Ran,
    Nowhere,
}

impl Drop for Relay {
    fn drop(&mut self) {
        let after = self.ctx.now().since(self.job.came);
        meter::increment(meter::STREAMS, "end", self.end.word());
        meter::record_duration(meter::ANSWER_END, after.into());
        log::event(&Event::Streamed {
            request: &self.job.id,
            end: self.end.word(),
            events: self.events,
            first_ms: self.first.map(|f| f.as_millis() as u64),
            after_ms: after.as_millis(),
        });
    }
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|w| w == b"\n\n").map(|i| i + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|i| i + 4);
    lf.max(crlf)
}

/// The id of the last of some whole events.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let id = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}

//! Relaying a stream from a replica to its caller, and resuming it on another replica when the
//! first one fails.
//!
//! A resumable stream is passed on in complete events only: the incomplete event of a failed
//! replica is dropped, and the next replica starts after the last complete one. Any other stream is
//! passed on as it arrives, and is cut off where its replica cut it off or ended it within an
//! event, so that it never looks complete.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::Response;
use model::Micros;
use overload::{Charge, Connection};
use platform::replica;
use policy::stall;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use super::attempts::{self, ANSWER_GRACE};
use super::events::{last_event_end, last_id, MAX_DELIMITER};
use super::fleet::ReplicaKey;
use super::origins::Origin;
use super::pick;
use super::request::{AnswerBody, IncompleteAnswer, Job};
use super::send::{self, LiveAnswer, SendOutcome};
use super::stalled::{self, Stall};
use super::{limits, origins, room, suspects, Ctx};
use crate::log::{self, Event};
use crate::meter;
use crate::speed::Gaps;

/// Multiple of the route's goal for the gap between events; after a silence of that length, a
/// resumable stream is requested from another replica as well.
const SILENCE_FACTOR: f64 = 2.0;
/// Least silence after which a resumable stream is requested from another replica, for routes
/// without a goal for the gap.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Pause of a caller's reading after which a target may cut off the answer. Targets do so after
/// seconds; less would excuse targets that break under ordinary load.
const UNREAD_TIME: Duration = Duration::from_millis(500);
/// Reason of a break that the caller's reading explains.
const UNREAD: &str = "cut off unread";
/// Most bytes of an incomplete event that are kept. Events have some hundred bytes; without a bound, an
/// event that never ends is collected until the entry's memory is used up.
const MAX_EVENT: usize = 1 << 20;
/// Bytes of an incomplete event that are counted with its request.
const COUNTED_TAIL: usize = 4 << 10;
/// Time in which bytes are collected and passed on together once a replica has sent more than
/// [`PIECES_AT_ONCE`] pieces without a pause of that length. A replica that sends a few bytes at a time without end costs its
/// callers less work, which they would still have before them at the end of the stream.
const COLLECT_TIME: Micros = Micros::from_millis(1);
/// Pieces that are passed on as they come. No engine makes as many events in the time.
const PIECES_AT_ONCE: u32 = 16;
/// Most bytes that are collected in that time.
const MAX_COLLECTED: usize = 16 << 10;
/// Most bytes that are passed on after the deadline, to a caller that reads slowly. A replica that
/// sends without end would else be read for as long as its caller reads slowly.
const MAX_LATE: usize = 4 << 20;
/// Interval between two requests for another replica if none has taken the stream. Each that is refused
/// costs a retry.
const RACE_INTERVAL: Micros = Micros::from_millis(1_000);

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The last event has been passed on.
    Whole,
    /// The replica cut off the stream, and no other replica resumed it.
    Cut,
    /// The deadline has passed.
    Overdue,
    /// The caller closed its connection.
    Left,
    /// The caller didn't read, and its connection was closed for others.
    Evicted,
}

impl End {
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Cut => "cut",
            Self::Overdue => "overdue",
            Self::Left => "left",
            Self::Evicted => "evicted",
        }
    }
}

/// Next frame of a replica's answer, or its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// A stream that is being relayed. Dropping it ends the accounting at its replica.
struct Relay {
    ctx: Ctx,
    job: Job,
    /// The replica's answer; `None` while there is no replica.
    live: Option<LiveAnswer>,
    /// Pieces received since a pause.
    pieces: u32,
    /// What followed the bytes that were collected last.
    next_frame: Option<NextFrame>,
    /// Received bytes of an incomplete event; for a stream that isn't resumable, the last few bytes
    /// that were passed on.
    tail: BytesMut,
    /// Memory for an incomplete event.
    memory: Charge,
    /// Gaps between the replica's events.
    gaps: Gaps<ReplicaKey>,
    events: u64,
    /// Time from the arrival of the request to the first event.
    first_event_after: Option<Duration>,
    /// Until when a silent replica is waited for. Once another replica has been requested, that is until
    /// the deadline.
    waits_until: Micros,
    /// Decisions on a silent replica.
    stall: Stall,
    /// Whether the last replica's answer has a length or chunks.
    delimited: Option<bool>,
    /// When the last bytes were passed on.
    passed_at: Micros,
    /// How long the caller had had no room at the beginning of the stream. The deadline is for the replica: time in
    /// which the caller has none isn't counted.
    blocked_before: Micros,
    /// Bytes passed on after the deadline.
    late_bytes: usize,
    /// Whether the caller has left the current replica's answer unread for [`UNREAD_TIME`].
    unread: bool,
    end: End,
}

/// Relays a stream to its caller.
pub(super) fn relay(
    ctx: &Ctx,
    connection: &Connection,
    job: Job,
    live: LiveAnswer,
) -> Response<AnswerBody> {
    let status = live.response.status();
    let headers = replica::answer_headers(live.response.headers());
    let relay = Relay {
        ctx: Rc::clone(ctx),
        job,
        delimited: Some(live.head.delimited),
        live: Some(live),
        pieces: 0,
        next_frame: None,
        tail: BytesMut::new(),
        memory: connection.charge_content(),
        gaps: Gaps::default(),
        events: 0,
        first_event_after: None,
        passed_at: ctx.now(),
        blocked_before: connection.blocked_time(),
        late_bytes: 0,
        unread: false,
        waits_until: Micros::ZERO,
        stall: Stall::default(),
        end: End::Left,
    };
    let events = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        relay.record_pause();
        match relay.next().await {
            Ok(Some(bytes)) => {
                relay.record_passed(bytes.len());
                Some((Ok(Frame::data(bytes)), Some(relay)))
            }
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    });
    let body = AnswerBody::new(StreamBody::new(events), connection.clone());
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// What was received from a replica.
enum Received {
    Bytes(Bytes),
    Whole,
    Broken(&'static str),
    Silent,
    Overdue,
}

impl Relay {
    /// Records whether the caller has left the answer unread.
    fn record_pause(&mut self) {
        let paused: Duration = self.ctx.now().since(self.passed_at).into();
        self.unread |= paused > UNREAD_TIME;
    }

    /// Records bytes that are passed on.
    fn record_passed(&mut self, bytes: usize) {
        let now = self.ctx.now();
        self.passed_at = now;
        if now > self.job.deadline {
            self.late_bytes += bytes;
        }
    }

    /// When the stream is overdue: a replica has the time up to the deadline, and that in which the caller had no
    /// room.
    fn end(&self) -> Micros {
        let end = self.job.deadline + ANSWER_GRACE.into();
        match self.late_bytes > MAX_LATE {
            true => end,
            false => {
                let blocked = self.job.connection.blocked_time();
                end + blocked.since(self.blocked_before)
            }
        }
    }

    /// The next bytes for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, IncompleteAnswer> {
        loop {
            let received = match self.receive().await {
                Received::Silent => self.race_other_replica().await,
                received => received,
            };
            match received {
                Received::Silent => {}
                Received::Bytes(bytes) => {
                    if let Some(out) = self.forward(bytes) {
                        return Ok(Some(out));
                    }
                }
                Received::Whole => {
                    self.finish();
                    return Ok(None);
                }
                Received::Overdue => return self.cut(End::Overdue).await,
                Received::Broken(reason) => {
                    if !self.continue_elsewhere(reason).await {
                        return self.cut(End::Cut).await;
                    }
                }
            }
        }
    }

    async fn cut(&mut self, end: End) -> Result<Option<Bytes>, IncompleteAnswer> {
        self.end = end;
        self.live = None;
        // The HTTP library sends the head once the body has to be waited for. A connection that closes
        // without it looks as if the request hadn't been read.
        yield_now().await;
        Err(IncompleteAnswer)
    }

    /// Waits for the next bytes from the replica.
    async fn receive(&mut self) -> Received {
        let end: Duration = self.end().since(self.ctx.now()).into();
        // A replica that never pauses would keep the wait below from running out.
        if end.is_zero() {
            return Received::Overdue;
        }
        let silence = self
            .job
            .route
            .event_gap_goal
            .mul_f64(SILENCE_FACTOR)
            .max(MIN_SILENCE);
        let wait = if self.may_move() {
            let rest = self.waits_until.since(self.ctx.now());
            silence.max(rest.into()).min(end)
        } else {
            end
        };
        if let Some(frame) = self.next_frame.take() {
            return self.classify(frame);
        }
        let Some(live) = &mut self.live else {
            return Received::Broken("no replica");
        };
        let asked = self.ctx.now();
        match timeout(wait, live.response.body_mut().frame()).await {
            Ok(Some(Ok(frame))) if frame.is_data() => {
                let now = self.ctx.now();
                self.gaps.record(live.in_flight.key(), asked, now);
                let frame = match self.is_flooded(now) {
                    true => self.collect(frame, COLLECT_TIME.into()).await,
                    false => frame,
                };
                self.classify(Some(Ok(frame)))
            }
            Ok(frame) => self.classify(frame),
            Err(_) if wait < end => Received::Silent,
            Err(_) => Received::Overdue,
        }
    }

    /// Counts a piece; returns whether there were too many without a pause to pass each on.
    fn is_flooded(&mut self, now: Micros) -> bool {
        if now.since(self.passed_at) > COLLECT_TIME {
            self.pieces = 0;
        }
        self.pieces = self.pieces.saturating_add(1);
        self.pieces > PIECES_AT_ONCE
    }

    /// Adds to a frame what arrives within a time.
    async fn collect(&mut self, first: Frame<Bytes>, time: Duration) -> Frame<Bytes> {
        let (Ok(first), Some(live)) = (first.into_data(), &mut self.live) else {
            return Frame::data(Bytes::new());
        };
        let body = live.response.body_mut();
        let mut bytes = BytesMut::from(&first[..]);
        let mut end = pin!(sleep(time));
        while bytes.len() < MAX_COLLECTED {
            let frame = tokio::select! {
                biased;
                () = &mut end => break,
                frame = body.frame() => frame,
            };
            match frame.map(|f| f.map(Frame::into_data)) {
                Some(Ok(Ok(data))) => bytes.extend_from_slice(&data),
                Some(Ok(Err(_))) => {}
                Some(Err(e)) => {
                    self.next_frame = Some(Some(Err(e)));
                    break;
                }
                None => {
                    self.next_frame = Some(None);
                    break;
                }
            }
        }
        Frame::data(bytes.freeze())
    }

    /// Whether another replica may take over the stream if the replica is silent.
    fn may_move(&self) -> bool {
        self.job.route.mode == site::Mode::Resumable
            && self.job.run_count + 1 < self.job.route.max_attempts
            && self.waits_until.max(self.ctx.now()) < self.job.deadline
    }

    fn classify(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Received {
        match frame {
            // A stream without a stated length ends with its connection. If that happens within an
            // event, the stream is incomplete, and the caller would lose the rest if it counted as
            // complete.
            None if self.within_event() && self.unread => Received::Broken(UNREAD),
            None if self.within_event() => Received::Broken("ended within an event"),
            // The end of a connection ends an answer that states no other end, but a stream has events:
            // the replica has stopped after the head.
            None if self.events == 0 && self.delimited == Some(false) => {
                Received::Broken("ended without an event")
            }
            None => Received::Whole,
            Some(Err(_)) if self.unread => Received::Broken(UNREAD),
            Some(Err(_)) => Received::Broken("stream broken"),
            Some(Ok(_)) if self.tail.len() > MAX_EVENT || !self.reserve_tail() => {
                Received::Broken("event too long")
            }
            Some(Ok(f)) => f
                .into_data()
                .map_or(Received::Bytes(Bytes::new()), Received::Bytes),
        }
    }

    /// Counts the incomplete event; returns whether there is room for it.
    fn reserve_tail(&mut self) -> bool {
        let len = self.tail.len().saturating_sub(COUNTED_TAIL);
        self.memory.shrink(len);
        self.memory.grow(len)
    }

    /// Whether the bytes received until now end within an event.
    fn within_event(&self) -> bool {
        match self.job.route.mode {
            site::Mode::Resumable => !self.tail.is_empty(),
            _ => !self.tail.is_empty() && last_event_end(&self.tail) != Some(self.tail.len()),
        }
    }

    /// Whether the build that began the stream has to be recorded before the next event.
    fn needs_origin(&self) -> bool {
        self.events == 0 || self.job.origin == Origin::Unknown
    }

    /// Adds received bytes; returns those that can be passed on now.
    fn forward(&mut self, bytes: Bytes) -> Option<Bytes> {
        if bytes.is_empty() {
            return None;
        }
        if let Some(live) = &mut self.live {
            live.in_flight.record_bytes();
        }
        if self.first_event_after.is_none() {
            self.record_first_event();
        }
        if self.job.route.mode != site::Mode::Resumable {
            self.events += 1;
            self.tail.extend_from_slice(&bytes);
            let end = self.tail.len().saturating_sub(MAX_DELIMITER);
            let _passed = self.tail.split_to(end);
            return Some(bytes);
        }
        self.tail.extend_from_slice(&bytes);
        let end = last_event_end(&self.tail)?;
        let events = self.tail.split_to(end).freeze();
        if let Some(live) = self.live.as_ref().filter(|_| self.needs_origin()) {
            let (key, opened) = (live.in_flight.key(), live.connection.opened());
            origins::record(&self.ctx, &mut self.job, key, opened);
        }
        self.events += 1;
        if let Some(id) = last_id(&events) {
            self.job.last_event_id = Some(id);
        }
        Some(events)
    }

    /// Records the first event: the replica has prefilled the prompt and now holds it.
    fn record_first_event(&mut self) {
        let after = self.ctx.now().since(self.job.received_at).into();
        self.first_event_after = Some(after);
        meter::record_duration(meter::FIRST_EVENT, after);
        room::record_first_event(&self.ctx, &self.job);
        let Some(live) = &mut self.live else {
            return;
        };
        let mut prefill = None;
        if let Some(tokens) = live.in_flight.measured_tokens.take() {
            let took = self.ctx.now().since(live.in_flight.sent_at);
            let time = took.as_secs_f64() * 1e3;
            prefill = self.ctx.prefill_rate(&self.job.pool, |p| {
                let expected = f64::from(tokens) * p.ms_per_token();
                let excess = p.excess(tokens, time);
                p.record(tokens, time);
                Some((expected, excess?))
            });
        }
        if self.job.prompt.is_some() {
            let (now, key) = (self.ctx.now(), live.in_flight.key());
            let pressure = self.ctx.node.settings.borrow().pressure;
            let mut fleet = self.ctx.fleet.borrow_mut();
            let note = fleet.with_speed(key, |s, target| {
                s.record_first_event(now, pressure, target, prefill)
            });
            live.in_flight.speed = note.flatten();
        }
        live.in_flight.record_prefilled();
        self.ctx
            .fleet
            .borrow_mut()
            .record_success(live.in_flight.key());
    }

    /// Records how long the answer took from its first event, if a single replica gave it.
    fn record_answer_time(&self) {
        let (Some(prompt), Some(first)) = (&self.job.prompt, self.first_event_after) else {
            return;
        };
        if self.job.send_count > 1 {
            return;
        }
        let after: Duration = self.ctx.now().since(self.job.received_at).into();
        let ms = after.saturating_sub(first).as_secs_f64() * 1e3;
        let mut times = self.ctx.answer_times.borrow_mut();
        let time = times.entry(self.job.pool.clone()).or_default();
        time.record(prompt.max_output_tokens, ms);
    }

    /// Records that the replica completed the stream, and returns its connection to the pool.
    fn finish(&mut self) {
        self.end = End::Whole;
        self.record_answer_time();
        self.ctx.record_duration(&self.job);
        if let Some(mut live) = self.live.take() {
            let (sent_to, witness) = (live.in_flight.sent_to(), live.witness.take());
            let delimited = live.head.delimited;
            suspects::record_end(&self.ctx, &self.job, delimited, sent_to, witness);
            let mut fleet = self.ctx.fleet.borrow_mut();
            if let Some(gap) = self.gaps.mean().filter(|_| self.job.prompt.is_some()) {
                let pressure = self.ctx.node.settings.borrow().pressure;
                let key = live.in_flight.key();
                fleet.with_speed(key, |s, target| s.record_gap(pressure, target, gap));
            }
            let replica = fleet.replicas.get_mut(live.in_flight.key());
            if let (Some(r), false) = (replica, live.head.closes) {
                r.connections.keep(live.connection);
            }
            drop(fleet);
            drop(live.in_flight);
        }
    }

    /// Requests the rest of a stream from another replica because its replica is silent, and
    /// continues with whichever of the two sends first.
    ///
    /// A replica that loads weights is silent for seconds and then continues. If a silent replica
    /// were given up before another one has answered, its streams would be cut off whenever all
    /// others are full or no retry is left: callers lost answers that were still being generated,
    /// also when a process was stopped as planned.
    async fn race_other_replica(&mut self) -> Received {
        if let Some(wait) = self.time_until_race() {
            self.waits_until = self.ctx.now() + wait;
            return Received::Silent;
        }
        self.job.has_retry = false;
        self.waits_until = Micros::MAX;
        let Some(mut old) = self.live.take() else {
            return Received::Broken("no replica");
        };
        // The silent replica's run counts, so that the other one isn't given up without an attempt left.
        self.job.run_count += 1;
        let resumed = tokio::select! {
            biased;
            frame = old.response.body_mut().frame() => {
                // Dropping the other replica's in-flight request ends whatever it may have started.
                self.live = Some(old);
                return self.classify(frame);
            }
            resumed = self.resume() => resumed,
        };
        match resumed {
            ResumeOutcome::Resumed => {
                attempts::log_failed(&self.job, &old.in_flight.boot, "silent", None, true);
                let mut fleet = self.ctx.fleet.borrow_mut();
                fleet.record_failure(self.ctx.now(), old.in_flight.key(), "silent");
                drop(fleet);
                self.tail.clear();
                return Received::Silent;
            }
            // The other replica was given up as well, and a retry was spent for the next one.
            ResumeOutcome::Ran if self.job.has_retry => self.waits_until = self.ctx.now(),
            ResumeOutcome::Ran => {}
            ResumeOutcome::OverLimit => self.job.run_count -= 1,
            refused => {
                self.job.run_count -= 1;
                self.job.has_retry = !matches!(refused, ResumeOutcome::NotRun);
                self.waits_until = self.ctx.now() + RACE_INTERVAL;
            }
        }
        self.live = Some(old);
        Received::Silent
    }

    /// Time until another replica may be requested because the replica is silent, or `None` if it is
    /// requested now; its retry is spent then.
    fn time_until_race(&mut self) -> Option<Micros> {
        let recheck = stall::Config::default().recheck;
        if let Some(live) = self.live.as_ref().filter(|_| self.events == 0) {
            return (self.stall).step(&self.ctx, &self.job, &live.in_flight.sent());
        }
        if suspects::is_convicted(&self.ctx, &self.job) {
            return Some(recheck);
        }
        if self.stall.take_retry(&self.ctx, &self.job) {
            return None;
        }
        if self.waits_until == Micros::ZERO {
            attempts::log_no_retry(&self.job, "silent, and no retry left");
        }
        Some(recheck)
    }

    /// Resumes the stream on another replica; returns whether that succeeded.
    async fn continue_elsewhere(&mut self, reason: &'static str) -> bool {
        if let Some(live) = self.live.take() {
            let key = live.in_flight.key();
            attempts::log_failed(&self.job, &live.in_flight.boot, reason, None, true);
            let mut fleet = self.ctx.fleet.borrow_mut();
            if reason != UNREAD {
                fleet.record_failure(self.ctx.now(), key, reason);
            }
            fleet.record_break(key);
            drop(fleet);
            suspects::record_broken_answer(
                &self.ctx,
                &self.job,
                &live.in_flight.boot,
                live.in_flight.sent_at,
            );
        }
        self.tail.clear();
        self.job.run_count += 1;
        if self.job.route.mode != site::Mode::Resumable {
            return false;
        }
        if !self.job.may_run_again() {
            attempts::log_no_retry(&self.job, "no try left");
        }
        let now = self.ctx.now();
        // A replica that becomes free in half of the remaining time can still serve the rest. A caller
        // that doesn't read isn't kept waiting for one: its connection may count as lost meanwhile, and
        // it couldn't take up the stream.
        let longest = match reason {
            UNREAD => Micros::ZERO,
            _ => Micros::from(self.job.time_left(now) / 2),
        };
        let give_up = now + longest;
        while self.job.may_run_again() && !self.job.time_left(self.ctx.now()).is_zero() {
            if suspects::is_convicted(&self.ctx, &self.job) {
                attempts::log_no_retry(&self.job, "quarantined");
                return false;
            }
            if !stalled::wait_for_retry(&self.ctx, &mut self.job).await {
                attempts::log_no_retry(&self.job, "no retry left");
                return false;
            }
            match self.resume().await {
                ResumeOutcome::Resumed => return true,
                ResumeOutcome::NotRun => {}
                ResumeOutcome::Ran => self.job.run_count += 1,
                ResumeOutcome::NotDelivered => self.job.has_retry = true,
                ResumeOutcome::NoReplica if self.ctx.now() < give_up => {
                    self.job.has_retry = true;
                    sleep(stall::Config::default().recheck.into()).await;
                }
                ResumeOutcome::OverLimit => return false,
                ResumeOutcome::NoReplica => {
                    attempts::log_no_retry(&self.job, "no other replica");
                    return false;
                }
            }
        }
        false
    }

    /// Makes one attempt to resume the stream on another replica.
    async fn resume(&mut self) -> ResumeOutcome {
        let Some(plan) = self.ctx.node.plan() else {
            return ResumeOutcome::NoReplica;
        };
        let Ok(pick) = pick::pick(&self.ctx, &plan, &self.job) else {
            return ResumeOutcome::NoReplica;
        };
        if !limits::start_run(&mut self.job, self.ctx.now()) {
            attempts::log_no_retry(&self.job, "over the team's limit");
            return ResumeOutcome::OverLimit;
        }
        self.job.attempted.push(pick.key);
        self.job.send_count += 1;
        let sent_at = self.ctx.now();
        let left = self.job.time_left(sent_at);
        send::log_send(&self.ctx, &self.job, &pick, left);
        let head_timeout = left + ANSWER_GRACE;
        match send::send(&self.ctx, &self.job, &pick, head_timeout).await {
            SendOutcome::Answer(live) => {
                let succeeded = live.response.status().is_success();
                if succeeded && live.head.signed && !live.head.encoded {
                    self.delimited = Some(live.head.delimited);
                    self.unread = false;
                    self.live = Some(*live);
                    return ResumeOutcome::Resumed;
                }
                ResumeOutcome::Ran
            }
            SendOutcome::NotDelivered(_) => {
                limits::keep(&mut self.job);
                ResumeOutcome::NotDelivered
            }
            SendOutcome::NotRun(_) => {
                limits::keep(&mut self.job);
                ResumeOutcome::NotRun
            }
            SendOutcome::Stalled => {
                self.job.has_retry = true;
                stalled::record_moved(&self.ctx, pick.key, sent_at);
                suspects::record_broken_answer(&self.ctx, &self.job, &pick.boot, sent_at);
                ResumeOutcome::Ran
            }
            SendOutcome::Unknown(_) => {
                suspects::record_broken_answer(&self.ctx, &self.job, &pick.boot, sent_at);
                ResumeOutcome::Ran
            }
        }
    }
}

/// Outcome of an attempt to resume a stream.
enum ResumeOutcome {
    Resumed,
    NotRun,
    Ran,
    /// The replica wasn't reached, so that the retry isn't used.
    NotDelivered,
    NoReplica,
    OverLimit,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.end = match self.end {
            End::Left if self.ctx.now() > self.end() => End::Overdue,
            End::Left if self.job.connection.is_evicted() => End::Evicted,
            end => end,
        };
        let after = self.ctx.now().since(self.job.received_at);
        meter::increment(meter::STREAMS, "end", self.end.name());
        meter::record_duration(meter::ANSWER_END, after.into());
        log::event(&Event::Streamed {
            request: &self.job.id,
            end: self.end.name(),
            delimited: self.delimited,
            events: self.events,
            first_ms: self.first_event_after.map(|f| f.as_millis() as u64),
            after_ms: after.as_millis(),
        });
    }
}

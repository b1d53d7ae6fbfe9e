//! Moving a request that has shown nothing yet from a silent or slow target to another one.
//!
//! Load pattern: a quarter of a pool's targets go silent without closing their connections, or become
//! slow, while requests with deadlines of 15 s wait for their first event there. A limit that is set
//! once, when the request is sent, is too long if no retry was left at that moment, and too short if
//! the whole pool is slow: each request is then started twice, which doubles the load.
//!
//! A target shows life by a report of its sidecar or by bytes of any answer. A target without a sign of
//! life is given up after [`Config::silence`], which covers one lost report. A target
//! that shows life is waited for until the request is later than its estimate explains.
//!
//! Whether other targets are better is seen from requests that were sent later than this one: targets
//! that already answered one are better, and targets whose own requests wait as long are not. Estimates
//! can't show it, since a slow pool is one whose estimates are wrong. If nothing arrives from any target,
//! the entry itself is cut off, and a move would lose an answer for nothing.
//!
//! A request at a target without a sign of life fails unless it moves, and so does one that has used half
//! of its time. Any other request is only late, and takes a retry only from the part of the budget that
//! isn't reserved ([`RetryReason::Late`]).

use model::Micros;

use crate::retry_budget::RetryReason;

/// Limits of waiting.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time without a sign of life after which a target is silent; 950 ms, since sidecars report every
    /// 450 ms and one report may be lost.
    pub silence: Micros,
    /// The same for a target that refuses connections; 200 ms, since bytes of its last answers may still
    /// be on their way.
    pub refused_silence: Micros,
    /// Time beyond twice the estimate after which a stream without an event is late; 1.2 s. With 0.6 s
    /// in total, four in ten streams of a fleet in which a quarter of the engines were unreachable were
    /// started twice.
    pub slack: Micros,
    /// Share of the latency goal after which an idempotent request is late; 0.6. Usual requests take a
    /// fifth of the goal, and the second target needs time too.
    pub goal_share: f64,
    /// Age of the last report from which on its absence says nothing about the entry's own links; 10 s.
    pub report_memory: Micros,
    /// Interval between decisions on a request that could move if a retry or a better target were
    /// there; 100 ms, the interval at which loans of retries are asked for.
    pub recheck: Micros,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            silence: Micros::from_millis(950),
            refused_silence: Micros::from_millis(200),
            slack: Micros::from_millis(1_200),
            goal_share: 0.6,
            report_memory: Micros::from_secs(10),
            recheck: Micros::from_millis(100),
        }
    }
}

impl Config {
    /// Time in which every decision on a request is to wait.
    pub fn first_wait(&self, is_stream: bool, goal: Micros) -> Micros {
        let patience = self.patience(is_stream, goal, Micros::ZERO);
        patience.min(self.refused_silence)
    }

    /// Whether a target whose sidecar has reported shows no life. A target without a sidecar isn't quiet,
    /// nor is one whose sidecar has been gone for long. Two lost reports are borne, since the target has
    /// no request that waits.
    pub fn is_quiet(&self, signs: &Signs) -> bool {
        let long = Micros(self.silence.0 * 3 / 2);
        let known = signs.reported.is_some_and(|age| age < self.report_memory);
        known && signs.age().is_some_and(|age| age >= long)
    }

    /// Time after which a request at a target that shows life is late.
    fn patience(&self, is_stream: bool, goal: Micros, estimate: Micros) -> Micros {
        match is_stream {
            true => self.slack + estimate + estimate,
            false => Micros((goal.0 as f64 * self.goal_share) as u64),
        }
    }
}

/// Ages of the signs received from one or more targets; `None` if nothing ever was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Signs {
    /// Age of the last report in which a sidecar says that its engine answers.
    pub reported: Option<Micros>,
    /// Age of the last bytes of any answer.
    pub answered: Option<Micros>,
}

impl Signs {
    /// Age of the last sign of life.
    pub fn age(&self) -> Option<Micros> {
        match (self.reported, self.answered) {
            (Some(r), Some(a)) => Some(r.min(a)),
            (r, a) => r.or(a),
        }
    }

    /// Time for which a target that has had a request for `waited` has shown no life. Silence before the
    /// request was sent says nothing, since the target may have had no request.
    pub fn silent_for(&self, waited: Micros) -> Micros {
        self.age().map_or(waited, |age| age.min(waited))
    }

    /// Adds the signs of another target.
    pub fn merge(&mut self, other: Self) {
        let latest = |a: Option<Micros>, b: Option<Micros>| a.into_iter().chain(b).min();
        self.reported = latest(self.reported, other.reported);
        self.answered = latest(self.answered, other.answered);
    }
}

/// Requests and answers of one target, as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// When the requests were sent that have no answer yet.
    waiting: Vec<Micros>,
    /// When bytes last arrived.
    answered_at: Option<Micros>,
    /// Of the requests that have an answer, when the latest one was sent and when its answer began.
    served: Option<(Micros, Micros)>,
    /// When the target last refused a connection, if no bytes have arrived since.
    refused_at: Option<Micros>,
    /// Requests refused as full in a row.
    full_count: u32,
    /// Until when the target counts as full.
    full_until: Micros,
}

impl History {
    /// Records that a request was sent.
    pub fn send(&mut self, now: Micros) {
        self.waiting.push(now);
    }

    /// Records that the answer to a request sent at `sent_at` has started.
    pub fn answer(&mut self, now: Micros, sent_at: Micros) {
        self.bytes(now);
        self.end(sent_at);
        self.full_count = 0;
        if self.served.is_none_or(|(latest, _)| latest < sent_at) {
            self.served = Some((sent_at, now));
        }
    }

    /// Records that bytes have arrived.
    pub fn bytes(&mut self, now: Micros) {
        self.answered_at = Some(now);
        self.refused_at = None;
    }

    /// Records that a request sent at `sent_at` no longer waits for an answer.
    pub fn end(&mut self, sent_at: Micros) {
        if let Some(i) = self.waiting.iter().position(|at| *at == sent_at) {
            self.waiting.remove(i);
        }
    }

    /// Records that the target has refused a connection.
    pub fn refuse(&mut self, now: Micros) {
        self.refused_at = Some(now);
    }

    /// Records that the target has refused a request as full; `draw` is as in [`full_pause`].
    pub fn full(&mut self, now: Micros, draw: f64) {
        self.bytes(now);
        // Refusals of requests that were sent together count as one.
        if now >= self.full_until {
            self.full_count = self.full_count.saturating_add(1);
            self.full_until = now + full_pause(self.full_count, draw);
        }
    }

    /// Whether the target has refused a request as full and gets no other for now.
    pub fn is_full(&self, now: Micros) -> bool {
        now < self.full_until
    }

    /// Whether the target has refused a connection since bytes last arrived.
    pub fn refuses(&self) -> bool {
        self.refused_at.is_some()
    }

    /// Signs of life, with the time of the last report.
    pub fn signs(&self, now: Micros, reported_at: Option<Micros>) -> Signs {
        Signs {
            reported: reported_at.map(|at| now.since(at)),
            answered: self.answered_at.map(|at| now.since(at)),
        }
    }

    /// Whether the target has started to answer a request sent no earlier than `sent_at`.
    fn has_answered_since(&self, sent_at: Micros) -> bool {
        self.served.is_some_and(|(latest, _)| latest >= sent_at)
    }

    /// Whether the target lets a request wait, or let the last one wait, half as long as a request sent
    /// at `sent_at`.
    fn is_as_slow(&self, now: Micros, sent_at: Micros) -> bool {
        let half = Micros(now.since(sent_at).0 / 2);
        let is_as_long = |sent: Micros, until: Micros| until.since(sent) >= half;
        let served = self.served.filter(|(_, began)| *began >= sent_at);
        self.waiting.iter().any(|at| is_as_long(*at, now))
            || served.is_some_and(|(sent, began)| is_as_long(sent, began))
    }
}

/// What is known of the pool's other targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Others {
    /// Latest signs of any of them.
    pub signs: Signs,
    /// Number of them that have started to answer a request sent no earlier than this one.
    pub answering: usize,
    /// Number of the rest that let a request wait at least half as long as this one.
    pub stuck: usize,
}

impl Others {
    /// Adds a target, for a request sent at `sent_at`.
    pub fn add(
        &mut self,
        now: Micros,
        sent_at: Micros,
        history: &History,
        reported_at: Option<Micros>,
    ) {
        self.signs.merge(history.signs(now, reported_at));
        match history.has_answered_since(sent_at) {
            true => self.answering += 1,
            false => self.stuck += usize::from(history.is_as_slow(now, sent_at)),
        }
    }
}

/// What is known of a request that has shown nothing yet.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Time since the request was sent.
    pub waited: Micros,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Latency goal of the route.
    pub goal: Micros,
    /// Estimate of the time to the first event, from when it was sent; zero if there is none.
    pub estimate: Micros,
    /// Time left until the deadline.
    pub time_left: Micros,
    /// Signs of life of its target.
    pub target: Signs,
    /// Whether the target has refused a connection since it last sent bytes.
    pub refuses: bool,
    /// The other targets.
    pub others: Others,
}

/// Decision on a request that has shown nothing yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request stays; the next decision is due after this time.
    Wait {
        /// Time until the next decision.
        until: Micros,
        /// Why a request that is late stays.
        held: Option<Held>,
    },
    /// The request moves if the budget has a retry for this reason.
    Move {
        /// What the retry is for.
        reason: RetryReason,
    },
}

/// Why a late request stays at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// Nothing arrives from any target.
    CutOff,
    /// Other targets aren't better.
    NoneBetter,
}

/// Decides whether a request moves to another target.
pub fn decide(config: &Config, e: &Evidence) -> Decision {
    let quiet = e.target.silent_for(e.waited);
    let silence = match e.target.reported {
        _ if e.refuses => config.refused_silence,
        Some(_) => config.silence.max(e.estimate),
        // A target without a sidecar may be working on a queue.
        None => config.silence.max(e.estimate + e.estimate),
    };
    let patience = config.patience(e.is_stream, e.goal, e.estimate);
    let remaining = (silence - quiet).min(patience - e.waited);
    if remaining > Micros::ZERO {
        return Decision::Wait {
            until: remaining,
            held: None,
        };
    }
    let is_silent = quiet >= silence;
    let in_progress = e.target.answered.is_some_and(|a| a < config.silence);
    let is_better = match e.is_stream && in_progress && !is_silent {
        true => e.others.answering > e.others.stuck,
        // Without requests elsewhere, nothing speaks against the others.
        false => e.others.answering >= e.others.stuck,
    };
    let held = match is_better {
        _ if is_cut_off(config, e) => Some(Held::CutOff),
        false => Some(Held::NoneBetter),
        true => None,
    };
    let reason = match is_silent || e.waited >= e.time_left {
        true => RetryReason::HasRun,
        false => RetryReason::Late,
    };
    match held {
        None => Decision::Move { reason },
        held => Decision::Wait {
            until: config.recheck,
            held,
        },
    }
}

/// Whether nothing arrives from any target although sidecars have reported until recently.
fn is_cut_off(config: &Config, e: &Evidence) -> bool {
    let mut all = e.target;
    all.merge(e.others.signs);
    let regular = all.reported.is_some_and(|age| age < config.report_memory);
    regular && all.age().is_some_and(|age| age >= config.silence)
}

/// Time for which a target that has refused a request as full gets no other, after this number of
/// refusals in a row: 50 ms doubled with each, up to 800 ms, times 0.5 to 1.5 by `draw` (0 to 1), so that
/// the entries don't return together. A full engine with 48 to 64 requests of half a second each completes
/// one every 10 ms, but is still asked by dozens of entries.
fn full_pause(refusals: u32, draw: f64) -> Micros {
    let base = 50_000_u64 << refusals.saturating_sub(1).min(4);
    Micros((base as f64 * (0.5 + draw)) as u64)
}

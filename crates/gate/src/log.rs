//! Log of a process: one JSON line on standard output for each decision and each change of its
//! state.
//!
//! Every line is an [`Event`], and the same field name has the same meaning in all events. A token
//! bucket limits the lines of each kind under load; dropped lines are counted and reported in a
//! line of their own. A thread writes the lines from a queue, so that a blocked reader of the
//! output causes lines to be dropped but never delays a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::{Arc, OnceLock};

use serde::Serialize;
use site::Settings;
use spdlog::formatter::{pattern, PatternFormatter};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, SinkPropAccess as _, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};
use tokio::time::Instant;

/// Maximum number of lines that wait to be written: about one second of lines at full load.
const QUEUE_CAPACITY: usize = 2_048;
/// Maximum burst of lines of one routine kind.
const MAX_BURST: f64 = 200.0;
/// Sustained lines per second of one routine kind; more than the requests per second to an entry on
/// an ordinary day.
const LINES_PER_SECOND: f64 = 60.0;
/// Factor by which the limits for failures and state changes exceed those for routine lines.
const IMPORTANT_FACTOR: f64 = 4.0;

/// State of a team's limit when a request was refused for it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct LimitState<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Units left; negative for a debt.
    pub left: i64,
    /// Part of the limit for this entry and the peers in contact, in thousandths.
    pub part: u32,
    /// Age of the oldest count of a peer in contact, in milliseconds.
    pub counts_ms: u64,
}

/// Content of a log line.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has started.
    Started {
        /// Role of the process.
        role: &'a str,
        /// Failure domain of the host.
        domain: &'a str,
    },
    /// The process accepts callers' connections.
    Listening {
        /// Address for callers.
        callers: String,
        /// Address for readiness checks.
        ready: String,
        /// Address for other processes.
        peer: String,
    },
    /// The process has received a signal to stop.
    Stopping {},
    /// The process exits.
    Stopped {},
    /// The process exits after an error.
    Failed {
        /// Description of the error.
        error: &'a str,
    },
    /// The settings were reloaded.
    Reloaded {
        /// Whether a signal has requested the reload.
        signal: bool,
    },
    /// The settings couldn't be reloaded; the previous ones stay in force.
    NotReloaded {
        /// Description of the error.
        error: &'a str,
    },
    /// A dependency has stopped answering.
    Lost {
        /// Name of the dependency.
        dependency: &'a str,
        /// Description of the error.
        error: &'a str,
    },
    /// A dependency answers again.
    Regained {
        /// Name of the dependency.
        dependency: &'a str,
        /// Milliseconds since the dependency stopped answering.
        lost_ms: u64,
    },
    /// A configuration has come into force.
    Configured {
        /// Version of the configuration.
        version: u64,
        /// Source of the configuration: store or peer.
        source: &'a str,
        /// Number of routes in the configuration.
        routes: usize,
    },
    /// A row of the store is malformed; the previous state stays in force.
    BadRow {
        /// Key of the row.
        key: &'a str,
        /// Description of the error.
        error: &'a str,
    },
    /// The store has been restored from a backup.
    Restored {
        /// New era of the store.
        era: u64,
        /// Previous highest era.
        before: u64,
        /// Source of the era: store or peer.
        source: &'a str,
    },
    /// A table of the store was read again after a restore.
    Reread {
        /// Name of the table.
        table: &'a str,
        /// Era of the store.
        era: u64,
        /// Number of rows in the table.
        rows: usize,
        /// Number of this process's rows that were missing and are written again.
        written: usize,
    },
    /// A held call for the changes of a table has ended.
    Feed {
        /// Name of the table.
        table: &'a str,
        /// Version after which changes were requested.
        after: u64,
        /// Milliseconds from the call to its end.
        held_ms: u64,
        /// Whether a check has ended the call, as the store had changes that it hadn't delivered.
        silent: bool,
        /// Number of changed rows in the answer.
        rows: usize,
        /// Why the call has no answer that can be used, if it has none.
        error: Option<String>,
    },
    /// The era in an answer of the store can't be used.
    BadEra {
        /// What is wrong with the era: missing, unreadable or outdated.
        kind: &'a str,
        /// Highest known era.
        known: u64,
    },
    /// New weights were announced.
    Named {
        /// Name of the model.
        model: &'a str,
        /// Version of the weights.
        version: u64,
        /// Source of the announcement: store or peer.
        source: &'a str,
    },
    /// The list of the system's other processes has changed.
    Members {
        /// Number of other entries.
        entries: usize,
        /// Number of sidecars.
        sidecars: usize,
    },
    /// A target was added, has changed its state or was removed.
    Target {
        /// Id of the target.
        target: &'a str,
        /// Address of the target.
        addr: String,
        /// New state: ready, draining, missing from the list but still used, renewed after
        /// another target had answered at its address, ended, superseded or gone.
        state: &'a str,
    },
    /// A list of targets was read that contains changes, lacks targets still in use, or was
    /// rejected.
    Listed {
        /// Source of the list: store or peer.
        source: &'a str,
        /// Number of targets in the list.
        targets: usize,
        /// Number of targets that aren't in the list but are still used.
        missing: usize,
        /// Milliseconds since the list was read from the store.
        list_ms: u64,
        /// Whether the list was applied; a list no newer than the known one isn't.
        taken: bool,
    },
    /// A target states another limit, or none any more.
    StatedLimit {
        /// Id of the target; empty if it isn't in the list yet.
        target: &'a str,
        /// Requests per second that it takes from all entries; `None` without a limit.
        rate: Option<f64>,
        /// Source of the information: own or peer.
        source: &'a str,
    },
    /// A limit that a target states can't be read; the previous one stays in force.
    BadLimit {
        /// Id of the target.
        target: &'a str,
        /// Description of the error.
        error: &'a str,
    },
    /// The store's row on the builds of pools was written.
    PoolBuilds {
        /// Number of pools.
        pools: usize,
        /// Number of builds that they have, or have had lately.
        builds: usize,
    },
    /// The build that began a stream was searched for.
    Origin {
        /// Hash of the attempt that brought the stream's first event, in hexadecimal.
        stream: String,
        /// Whether it was found.
        known: bool,
        /// Number of processes that were queried and didn't answer.
        unanswered: usize,
        /// Milliseconds that the search took.
        after_ms: u64,
    },
    /// Origins of streams were sent to further processes.
    OriginsSent {
        /// Why: ended, unconfirmed or stopping.
        reason: &'a str,
        /// Number of processes that they were sent to.
        processes: usize,
        /// Number of records.
        records: usize,
    },
    /// A target was ejected after failures.
    LeftOut {
        /// Id of the target.
        target: &'a str,
        /// Reason of the last failure.
        reason: &'a str,
        /// Fraction of the target's answers that have failed.
        failed: f64,
    },
    /// A crash was counted against a request that ran on the target, or a request was cleared.
    Suspected {
        /// Fingerprint of the request's content, in hexadecimal.
        print: String,
        /// Id of the request, if it was sent by this process.
        request: Option<&'a str>,
        /// Hash of the id of the target that crashed, in hexadecimal.
        crashed: Option<String>,
        /// Number of crashes counted against the request now.
        crashes: usize,
        /// Resulting verdict: clear, suspect or convicted.
        verdict: &'a str,
        /// Source of the information: own or peer.
        source: &'a str,
    },
    /// A target has said in an answer that it leaves.
    Leaving {
        /// Target id.
        target: &'a str,
        /// Source of the information: own or peer.
        source: &'a str,
    },
    /// A target has asked this entry for rest.
    Rest {
        /// Target id.
        target: &'a str,
        /// Milliseconds that it gets.
        rest_ms: u64,
        /// Milliseconds that it has asked for.
        asked_ms: u64,
    },
    /// A target has asked for rest without a valid time; it gets none.
    BadRest {
        /// Target id.
        target: &'a str,
        /// Description of the error.
        error: &'a str,
    },
    /// Requests with a prompt part are refused from now on, since the part crashes targets, or no
    /// longer.
    Part {
        /// Hash of the model and the part, in hexadecimal.
        part: String,
        /// Verdict: convicted or clear.
        verdict: &'a str,
        /// Number of crashes counted against the part.
        crashes: usize,
        /// Source of the verdict: own or peer.
        source: &'a str,
    },
    /// An entry has claimed a trial of a convicted prompt part in the store, or failed to.
    Trial {
        /// Hash of the model and the part, in hexadecimal.
        part: String,
        /// Number of trials before this one.
        trials: u32,
        /// Outcome: claimed, outdated or unknown.
        outcome: &'a str,
    },
    /// The learnt speed of a target has changed by a tenth of the pool's.
    Speed {
        /// Target id.
        target: &'a str,
        /// Duration of its prefill, or of its work in a plain service, as a multiple of the pool's.
        prefill: f64,
        /// Gaps between events of its streams, as a multiple of the pool's.
        decode: f64,
        /// Source of the information: own or agent.
        source: &'a str,
    },
    /// A request was sent to a target.
    Sent {
        /// Id of the request.
        request: &'a str,
        /// Id of the target.
        target: &'a str,
        /// Version of the target's software.
        build: &'a str,
        /// Id of the attempt of the caller that this one takes up.
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<&'a str>,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Estimated milliseconds until the first token.
        estimate_ms: f64,
        /// Id of the prompt's last shared part, in hexadecimal.
        subject: Option<String>,
        /// Prompt tokens that the target is expected to have cached.
        held: u32,
        /// Prompt tokens that the target has to read.
        read: u32,
        /// Tokens in `read` that other requests share.
        cold: u32,
        /// Where the target fetches cached tokens from.
        fetch: Option<String>,
        /// Milliseconds allowed for the target's answer.
        left_ms: u64,
        /// Version of the weights that the target must have.
        weights: Option<u64>,
        /// Milliseconds since the last report of the target's load.
        age_ms: Option<u64>,
        /// Milliseconds since the list of targets was last read or confirmed as unchanged.
        list_ms: u64,
        /// Duration of the target's work, learnt and momentary, as a multiple of its pool's, where
        /// that counts.
        #[serde(skip_serializing_if = "Option::is_none")]
        speed: Option<f64>,
    },
    /// An attempt at a request has failed.
    Tried {
        /// Id of the request.
        request: &'a str,
        /// Id of the target.
        target: &'a str,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Reason of the failure.
        reason: &'a str,
        /// Status with which the target answered, if it did.
        status: Option<u16>,
        /// Whether the request may have run on the target.
        ran: bool,
    },
    /// A request that has shown nothing for too long moves to another target, or stays for a reason.
    Stalled {
        /// Id of the request.
        request: &'a str,
        /// Id of the target where it is.
        target: &'a str,
        /// Outcome: moved, no_retry, no_target, none_better, cut_off, over_limit or quarantined.
        outcome: &'a str,
        /// Milliseconds since it was sent there.
        waited_ms: u64,
        /// Estimated milliseconds until the first token.
        estimate_ms: f64,
        /// Milliseconds since the target's last sign of life.
        heard_ms: Option<u64>,
        /// Whether the target refuses connections.
        refuses: bool,
        /// Number of other targets that answer requests sent later.
        answering: usize,
        /// Number of other targets where requests wait as long.
        stuck: usize,
    },
    /// A request was answered.
    Answered {
        /// Id of the request.
        request: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Name of the team.
        team: &'a str,
        /// Status of the answer.
        status: u16,
        /// Number of attempts.
        attempts: u32,
        /// Milliseconds from the request's arrival to the answer's head.
        head_ms: u64,
    },
    /// A request was refused or failed here.
    Refused {
        /// Id of the request.
        request: &'a str,
        /// Name of the route, if one matched.
        route: &'a str,
        /// Status of the answer.
        status: u16,
        /// Reason of the refusal or failure.
        reason: &'a str,
        /// Number of attempts.
        attempts: u32,
        /// Milliseconds since the request's arrival.
        after_ms: u64,
        /// Version of the configuration in force.
        version: u64,
        /// Milliseconds after which the caller may retry, as sent to the caller.
        retry_ms: Option<u64>,
        /// Milliseconds of work, or of a weight load, ahead of the request on the best engine, if
        /// the request was refused for that.
        wait_ms: Option<u64>,
        /// State of the team's limit, if the request was refused for it.
        #[serde(skip_serializing_if = "Option::is_none")]
        limit: Option<LimitState<'a>>,
    },
    /// A stream ended.
    Streamed {
        /// Id of the request.
        request: &'a str,
        /// How the stream ended: `whole`, `cut`, `left` by the caller, or `overdue`.
        end: &'a str,
        /// Whether the replica's answer had a length or chunks, so that its end shows that it is
        /// complete; `None` if no replica was left.
        delimited: Option<bool>,
        /// Number of events sent to the caller.
        events: u64,
        /// Milliseconds from the request's arrival to the first event.
        first_ms: Option<u64>,
        /// Milliseconds since the request's arrival.
        after_ms: u64,
    },
    /// This entry has become the delegate of an engine that no sidecar reports on, or has ceased to
    /// be it.
    Delegate {
        /// Target id of the engine.
        target: &'a str,
        /// Address of the engine.
        addr: String,
        /// Whether this entry is the engine's delegate from now on.
        acts: bool,
    },
    /// An engine was ordered to load weights.
    Ordered {
        /// Name of the model.
        model: &'a str,
        /// Version of the weights.
        version: u64,
        /// Fencing token of the order.
        fence: u64,
        /// Outcome of the order.
        outcome: &'a str,
        /// Milliseconds since the announcement of the weights was received.
        after_ms: u64,
        /// Number of requests that ran on the engine.
        active: u32,
        /// Number of agents that were skipped because they didn't answer slot queries.
        silent: usize,
    },
    /// The fraction of a domain's work that goes to other domains has changed.
    DomainShare {
        /// Name of the pool.
        pool: &'a str,
        /// Fraction of this domain's work for other domains.
        away: f64,
        /// Load of this domain, where 1 is full use; `None` if it has no targets.
        load: Option<f64>,
    },
    /// A request was sent to an engine that doesn't hold its opening, since the opening's rate rises.
    OpeningCopy {
        /// Id of the request.
        request: &'a str,
        /// Id of the target.
        target: &'a str,
        /// Id of the prompt's last shared part, in hexadecimal.
        subject: String,
        /// Number of engines that hold the opening or are about to.
        holders: usize,
    },
    /// A pool has become short, or is no longer; amounts are in tokens per second.
    Room {
        /// Name of the pool.
        pool: &'a str,
        /// Whether requests are refused for room from now on.
        short: bool,
        /// Demand at all entries in contact.
        offered: u64,
        /// What they admit.
        admitted: u64,
        /// What the pool serves, if known.
        capacity: Option<u64>,
        /// Number of other entries that have reported recently.
        entries: usize,
    },
    /// Connections were closed because their far ends acknowledged nothing.
    Vanished {
        /// Listener of the connections.
        listener: &'a str,
        /// Number of connections since the last such line.
        connections: usize,
    },
    /// Connections were closed or refused because too much is held for those who connect.
    Overloaded {
        /// Listener of the connections.
        listener: &'a str,
        /// Connections closed for others.
        evicted: usize,
        /// Connections and requests refused.
        refused: usize,
        /// Connections closed because their time had run out.
        late: usize,
        /// Bytes held now.
        bytes: usize,
        /// Open connections.
        connections: usize,
        /// Connections that the process waits for.
        waiting: usize,
        /// Connections without a request.
        idle: usize,
        /// Address that holds most.
        address: Option<String>,
        /// Bytes that it holds.
        address_bytes: Option<usize>,
        /// Team that holds most.
        team: Option<&'a str>,
        /// Bytes that it holds.
        team_bytes: Option<usize>,
    },
    /// Log lines of one kind were dropped.
    Dropped {
        /// Kind of the lines.
        kind: &'a str,
        /// Number of dropped lines.
        lines: u64,
    },
}

impl Event<'_> {
    /// Kind of the event, which the line limits apply to, and whether the kind is routine.
    fn kind(&self) -> (&'static str, bool) {
        match self {
            Self::Sent { .. } => ("sent", true),
            Self::Answered { .. } => ("answered", true),
            Self::Streamed { .. } => ("streamed", true),
            Self::Tried { .. } => ("tried", false),
            Self::Stalled { .. } => ("stalled", false),
            Self::Refused { .. } => ("refused", false),
            Self::Target { .. } => ("target", false),
            Self::Listed { .. } => ("listed", false),
            Self::LeftOut { .. } => ("left_out", false),
            Self::Suspected { .. } => ("suspected", false),
            Self::Rest { .. } | Self::BadRest { .. } => ("rest", false),
            Self::Leaving { .. } => ("leaving", false),
            Self::Speed { .. } => ("speed", true),
            Self::Part { .. } | Self::Trial { .. } => ("part", false),
            Self::Ordered { .. } => ("ordered", false),
            Self::Delegate { .. } => ("delegate", false),
            Self::DomainShare { .. } => ("domain_share", false),
            Self::OpeningCopy { .. } => ("opening_copy", true),
            Self::Room { .. } => ("room", false),
            Self::Overloaded { .. } => ("overloaded", false),
            Self::Vanished { .. } => ("vanished", false),
            Self::BadRow { .. } => ("bad_row", false),
            Self::Feed { .. } => ("feed", false),
            Self::Lost { .. } | Self::Regained { .. } => ("dependency", false),
            _ => ("process", false),
        }
    }
}

/// A log line.
#[derive(Serialize)]
struct Line<'a> {
    /// Host of the process, which distinguishes the lines of several processes in one stream.
    host: &'a str,
    /// Milliseconds since the process's first line.
    up_ms: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Availability of something that the process depends on. Only changes are logged, however often
/// the dependency is called.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    lost_since: Option<Instant>,
}

impl Dependency {
    /// Creates a dependency that is available.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_since: None,
        }
    }

    /// Records the result of a call and logs a change of availability.
    pub fn record<T>(&mut self, result: &Result<T, impl std::fmt::Display>) {
        match (result, self.lost_since) {
            (Ok(_), Some(since)) => {
                self.lost_since = None;
                event(&Event::Regained {
                    dependency: self.name,
                    lost_ms: since.elapsed().as_millis() as u64,
                });
            }
            (Err(e), None) => {
                self.lost_since = Some(Instant::now());
                event(&Event::Lost {
                    dependency: self.name,
                    error: &e.to_string(),
                });
            }
            _ => {}
        }
    }
}

/// Token bucket for the lines of one kind.
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl Bucket {
    fn new() -> Self {
        Self {
            tokens: MAX_BURST,
            refilled_at: Instant::now(),
            dropped: 0,
        }
    }

    /// Takes a token for a line. Returns the number of lines dropped since the last one written, or
    /// `None` if this line has to be dropped too.
    fn take(&mut self, factor: f64) -> Option<u64> {
        let elapsed = self.refilled_at.elapsed().as_secs_f64();
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + elapsed * LINES_PER_SECOND * factor).min(MAX_BURST * factor);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

thread_local! {
    static BUCKETS: RefCell<HashMap<&'static str, Bucket>> = RefCell::new(HashMap::new());
}

/// Writes a line unless its kind has reached its limit.
pub fn event(event: &Event<'_>) {
    let (kind, routine) = event.kind();
    let factor = if routine { 1.0 } else { IMPORTANT_FACTOR };
    let taken = BUCKETS.with_borrow_mut(|b| {
        let bucket = b.entry(kind).or_insert_with(Bucket::new);
        bucket.take(factor)
    });
    match taken {
        None => return,
        Some(0) => {}
        Some(lines) => write(&Event::Dropped { kind, lines }),
    }
    write(event);
}

fn write(event: &Event<'_>) {
    let line = Line {
        host: HOST.get().map_or("", String::as_str),
        up_ms: origin().elapsed().as_millis() as u64,
        event,
    };
    // Serialization can't fail: an event contains only types that JSON can represent.
    if let Ok(text) = serde_json::to_string(&line) {
        // The formatter writes the opening brace.
        spdlog::log!(logger: logger(), Level::Info, "{}", text.trim_start_matches('{'));
    }
}

/// Time of the process's first line on the monotonic clock, since the system time may jump.
fn origin() -> Instant {
    static ORIGIN: OnceLock<Instant> = OnceLock::new();
    *ORIGIN.get_or_init(Instant::now)
}

fn logger() -> &'static Logger {
    static LOGGER: OnceLock<Logger> = OnceLock::new();
    LOGGER.get_or_init(|| build().unwrap_or_else(|_| (*spdlog::default_logger()).clone()))
}

fn build() -> spdlog::Result<Logger> {
    let stdout = StdStreamSink::builder()
        .std_stream(spdlog::sink::StdStream::Stdout)
        .build()?;
    stdout.set_formatter(Box::new(PatternFormatter::new(pattern!(
        "{{\"at\":\"{date}T{time}.{millisecond}\",{payload}{eol}"
    ))));
    let pool = ThreadPool::builder()
        .capacity(
            std::num::NonZeroUsize::new(QUEUE_CAPACITY).unwrap_or(std::num::NonZeroUsize::MIN),
        )
        .build()?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stdout))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()?;
    Logger::builder()
        .sink(Arc::new(sink) as Arc<dyn Sink>)
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Error))
        .build()
}

/// Host name in all lines.
static HOST: OnceLock<String> = OnceLock::new();

/// Logs that the process has started.
pub fn started(settings: &Settings) {
    // If one process starts several times, as in a test, the first host name is kept.
    let _ = HOST.set(settings.host.clone());
    event(&Event::Started {
        role: match settings.role {
            site::Role::Entry => "entry",
            site::Role::Sidecar => "sidecar",
        },
        domain: &settings.domain,
    });
}

/// Logs that the process has received a signal to stop.
pub fn stopping() {
    event(&Event::Stopping {});
}

/// Logs that the process exits, and flushes the log.
pub fn stopped() {
    event(&Event::Stopped {});
    logger().flush();
}

/// Logs the error after which the process exits, and flushes the log.
pub fn failed(error: &str) {
    event(&Event::Failed { error });
    logger().flush();
}

/// Logs that the settings were reloaded.
pub fn reloaded(signal: bool) {
    event(&Event::Reloaded { signal });
}

/// Logs that the settings couldn't be reloaded.
pub fn not_reloaded(error: &str) {
    event(&Event::NotReloaded { error });
}

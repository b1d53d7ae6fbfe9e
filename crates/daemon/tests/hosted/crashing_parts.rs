//! Prompt parts that crash the engines that write an answer on them.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use standin::hosted::replica::{CrashPoint, Replica};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::fleet::{request, Answer, Entry, Platform, MODEL, TIMEOUT};

/// Number of engines.
const ENGINES: usize = 6;
/// Number of events of a stream.
const EVENTS: u64 = 5;
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(3);
/// Interval between two checks for crashed engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Crashes after which requests with a part are counted, and how many may still follow.
const MAX_CRASHES: usize = 5;
const MAX_LATER: usize = 3;
/// Time from the fifth crash to the first request that counts.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time for which requests are sent after that.
const LATE_TIME: Duration = Duration::from_secs(2);
/// Least share of the harmless requests that is served then.
const SERVED: f64 = 0.9;
/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

/// A prompt part that all requests share.
const SHARED: &str = "a1:20";
/// Prompt parts that crash engines.
const BAD: [&str; 2] = ["bad1", "bad2"];

struct Case {
    name: &'static str,
    entries: usize,
    point: CrashPoint,
    /// Whether the bad part comes before the shared one.
    first: bool,
    bad_parts: usize,
    undelimited: bool,
    /// Time from an engine's crash to its next start.
    restart_time: Duration,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            entries: 2,
            point: CrashPoint::AfterEvent,
            first: false,
            bad_parts: 1,
            undelimited: false,
            restart_time: Duration::from_millis(150),
        }
    }
}

/// Parts of a request's prompt; the last one is its own.
fn parts(case: &Case, bad: Option<&str>, number: usize) -> String {
    match bad {
        Some(bad) if case.first => format!("{bad}:20,{SHARED},{number:x}:10"),
        Some(bad) => format!("{SHARED},{bad}:20,{number:x}:10"),
        None => format!("{SHARED},50{}:20,{number:x}:10", number % 4),
    }
}

/// Sends a request for a stream; `None` if it breaks.
async fn fetch(entry: &Entry, id: &str, parts: &str) -> Option<Answer> {
    let mut call = request(entry, &format!("/probe/{id}"), id);
    call.headers.retain(|(name, _)| *name != "prompt-prefix");
    call.headers.push(("prompt-prefix", parts.to_owned()));
    let exchange = async {
        let response = call.send().await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    };
    timeout(TIMEOUT, exchange).await.expect("an answer")
}

struct Fleet {
    platform: Platform,
    engines: Vec<Arc<Replica>>,
    entries: Vec<Entry>,
}

impl Fleet {
    async fn start(case: &Case) -> Self {
        let mut platform = Platform::start().await;
        let mut engines = Vec::new();
        for n in 0..ENGINES {
            let engine = Replica::new(&format!("e{n}"), EVENTS, EVENT_INTERVAL);
            engine.set_version(MODEL, 1);
            engine.set_undelimited(case.undelimited);
            for bad in &BAD[..case.bad_parts] {
                engine.add_crash_part(bad, case.point);
            }
            platform.replica(&engine, "engines").await;
            engines.push(engine);
        }
        let mut entries = Vec::new();
        for n in 0..case.entries {
            entries.push(platform.entry(&format!("front-{n}"), ENGINES).await);
        }
        for entry in &entries {
            let count = case.entries as u64 - 1;
            let knows = |m: &serde_json::Value| m["entries"].as_u64() >= Some(count);
            if count > 0 {
                entry.process.wait_for_event("members", knows).await;
            }
        }
        Self {
            platform,
            engines,
            entries,
        }
    }

    /// Starts engines again after their crashes, under their ids.
    async fn restart_engines(&self, restart_time: Duration) {
        let mut incarnations = [1; ENGINES];
        loop {
            for (engine, incarnation) in self.engines.iter().zip(&mut incarnations) {
                if !engine.is_down() {
                    continue;
                }
                sleep(restart_time).await;
                *incarnation += 1;
                let at = engine.addr().expect("an address");
                self.platform
                    .list_incarnation(engine, "engines", at, "ready", *incarnation);
                engine.recover();
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn crashes(&self) -> usize {
        self.engines.iter().map(|e| e.crashes().len()).sum()
    }

    /// When requests with bad parts count: some time after the last crash that may be needed.
    fn counted_from(&self, case: &Case) -> Option<std::time::Instant> {
        let mut crashes: Vec<_> = self.engines.iter().flat_map(|e| e.crashes()).collect();
        crashes.sort_unstable();
        let last = crashes.get(MAX_CRASHES * case.bad_parts - 1)?;
        Some(*last + CONTACT_TIME)
    }

    /// Number of requests with a bad part that have reached engines since a time.
    fn bad_requests(&self, bad: &str, from: std::time::Instant) -> usize {
        let requests = self.engines.iter().flat_map(|e| e.requests());
        let has_bad = |h: &hyper::HeaderMap| {
            let parts = h.get("prompt-prefix").and_then(|v| v.to_str().ok());
            parts.is_some_and(|p| p.contains(bad))
        };
        let late = requests.filter(|r| r.received > from);
        late.filter(|r| has_bad(&r.headers)).count()
    }

    /// Sends requests with one bad part and harmless ones beside them; returns how many of the
    /// harmless ones there were and how many were served.
    async fn send_requests(&self, case: &Case, bad: &str, from: usize) -> (usize, usize) {
        let (mut sent, mut served, mut trials) = (0, 0, 0);
        let mut number = from;
        let mut end = None;
        let enough = MAX_CRASHES * case.bad_parts;
        loop {
            if end.is_none() && self.crashes() >= enough {
                end = Some(Instant::now() + CONTACT_TIME);
            }
            let late = end.is_some_and(|e| Instant::now() > e);
            if end.is_some_and(|e| Instant::now() > e + LATE_TIME) {
                return (sent, served);
            }
            // Few crashes are enough if the part is refused before.
            if end.is_none() && number > from + 120 {
                end = Some(Instant::now());
            }
            number += 1;
            let entry = &self.entries[number % self.entries.len()];
            let (bad_id, id) = (format!("{bad}-{number}"), format!("good-{bad}-{number}"));
            let bad_parts = parts(case, Some(bad), number);
            let good_parts = parts(case, None, number);
            let bad_request = fetch(entry, &bad_id, &bad_parts);
            let (refused, answer) = tokio::join!(bad_request, fetch(entry, &id, &good_parts));
            if late {
                sent += 1;
                served += usize::from(answer.is_some_and(|a| a.status == 200));
                trials += usize::from(refused.is_none_or(|a| a.status != 503));
                let log = || {
                    let parts = entry.process.events("part");
                    format!("{parts:?}\n{}", entry.process.log_of_request(&bad_id))
                };
                assert!(trials <= MAX_LATER, "{}: {bad_id}\n{}", case.name, log());
            }
            sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Parts that crash engines between two events of a stream with neither a length nor chunks, whose
/// answers look complete.
#[tokio::test]
async fn part_that_crashes_engines_between_events_is_refused() {
    // Guards against taking a crash for a complete answer because the engine's next start, or a
    // process in front of the engine, accepts connections right after it.
    let between = Case {
        point: CrashPoint::BetweenEvents,
        undelimited: true,
        ..Case::default()
    };
    #[rustfmt::skip]
    let cases = [
        Case { name: "restarts later", ..between },
        Case { name: "restarts at once", restart_time: Duration::ZERO, ..between },
    ];
    run_cases(cases).await;
}

#[tokio::test]
async fn part_that_crashes_engines_is_refused_and_others_are_served() {
    // Guards against requests that crash one engine after the other although no two are alike, and
    // against refusing harmless requests that share their other parts.
    #[rustfmt::skip]
    let cases = [
        Case { name: "before the answer", point: CrashPoint::BeforeHead, ..Case::default() },
        Case { name: "within an event", point: CrashPoint::WithinEvent, ..Case::default() },
        Case { name: "after an event", ..Case::default() },
        Case { name: "at the end of an event, without length", undelimited: true, ..Case::default() },
        Case { name: "bad part first", first: true, ..Case::default() },
        Case { name: "one entry", entries: 1, ..Case::default() },
        Case { name: "two bad parts", bad_parts: 2, ..Case::default() },
    ];
    run_cases(cases).await;
}

async fn run_cases(cases: impl IntoIterator<Item = Case>) {
    for case in cases {
        let fleet = Arc::new(Fleet::start(&case).await);
        let mut restarts = JoinSet::new();
        let restarting = Arc::clone(&fleet);
        restarts.spawn(async move { restarting.restart_engines(case.restart_time).await });
        // The shared parts are known from earlier answers.
        for number in 0..8 {
            let entry = &fleet.entries[number % case.entries];
            let answer = fetch(
                entry,
                &format!("warm-{number}"),
                &parts(&case, None, number),
            )
            .await;
            assert_eq!(answer.expect("an answer").status, 200, "{}", case.name);
        }
        let started = BAD[..case.bad_parts]
            .iter()
            .enumerate()
            .map(|(n, bad)| fleet.send_requests(&case, bad, n * 1_000));
        let outcomes = futures::future::join_all(started).await;
        for (bad, (sent, served)) in BAD.iter().zip(outcomes) {
            let from = fleet.counted_from(&case);
            let late = from.map_or(0, |from| fleet.bad_requests(bad, from));
            assert!(late <= MAX_LATER, "{}: {late} with {bad}", case.name);
            let least = sent as f64 * SERVED;
            assert!(sent >= 20, "{}: {sent} harmless requests", case.name);
            assert!(served as f64 >= least, "{}: {served} of {sent}", case.name);
        }
    }
}

//! Streams of a service whose replicas have two builds.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::Response;
use standin::call::Call;
use standin::hosted::replica::{Fault, Replica};
use tokio::time::{sleep, timeout};

use crate::fleet::{request, Entry, Platform, Process, MODEL, TIMEOUT};

/// Number of events of a stream.
const EVENTS: u64 = 6;
/// Interval between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Number of streams in each test; by chance all of them stay at their build once in 2^16 times.
pub const STREAMS: usize = 16;
/// Time within which an entry reads the list again.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// The builds of the engines, two of each.
const BUILDS: [&str; 4] = ["v1", "v2", "v1", "v2"];

pub struct Fleet {
    pub platform: Platform,
    pub engines: Vec<Arc<Replica>>,
    pub entries: Vec<Entry>,
    pub sidecars: Vec<Process>,
}

impl Fleet {
    pub async fn start(entries: usize, with_sidecars: bool) -> Self {
        Self::start_at(entries, with_sidecars, BUILDS).await
    }

    /// Starts a fleet whose engines have these builds.
    pub async fn start_at<const N: usize>(
        entries: usize,
        with_sidecars: bool,
        builds: [&str; N],
    ) -> Self {
        let mut platform = Platform::start().await;
        let mut engines = Vec::new();
        let mut sidecars = Vec::new();
        for (n, build) in builds.iter().enumerate() {
            let engine = Replica::new(&format!("e{n}"), EVENTS, EVENT_INTERVAL);
            engine.set_version(MODEL, 1);
            engine.set_build(build);
            let addr = platform.replica(&engine, "engines").await;
            if with_sidecars {
                let name = format!("side-{n}");
                sidecars.push(platform.sidecar(&name, addr));
                platform.wait_for_member(&name).await;
            }
            engines.push(engine);
        }
        let mut fleet = Self {
            platform,
            engines,
            entries: Vec::new(),
            sidecars,
        };
        for n in 0..entries {
            fleet.add_entry(&format!("front-{n}")).await;
        }
        for entry in &fleet.entries {
            fleet.wait_for_peers(entry, entries - 1).await;
        }
        fleet
    }

    /// Writes an engine's row again.
    fn list(&self, engine: &Replica) {
        let addr = engine.addr().expect("an address");
        self.platform.list(engine, "engines", addr, "ready");
    }

    /// Number of engines that are listed.
    pub fn listed(&self) -> usize {
        let is_listed = |e: &&Arc<Replica>| self.platform.store.read("servers", &e.id).is_some();
        self.engines.iter().filter(is_listed).count()
    }

    pub async fn add_entry(&mut self, name: &str) {
        let entry = self.platform.entry(name, self.listed()).await;
        self.platform.wait_for_member(name).await;
        self.entries.push(entry);
    }

    pub async fn wait_for_peers(&self, entry: &Entry, count: usize) {
        let knows = |e: &serde_json::Value| e["entries"].as_u64() >= Some(count as u64);
        if count > 0 {
            entry.process.wait_for_event("members", knows).await;
        }
    }

    /// Starts a stream and receives its first events.
    pub async fn begin(&self, entry: usize, id: &str) -> Stream {
        self.begin_call(request(&self.entries[entry], "/probe/1", id), id)
            .await
    }

    /// Like [`Self::begin`], for a caller that waits for a time in milliseconds.
    pub async fn begin_within(&self, entry: usize, id: &str, time_ms: u64) -> Stream {
        let mut call = request(&self.entries[entry], "/probe/1", id);
        call.headers.retain(|(n, _)| *n != "deadline-ms");
        call.headers.push(("deadline-ms", time_ms.to_string()));
        self.begin_call(call, id).await
    }

    async fn begin_call(&self, call: Call, id: &str) -> Stream {
        let mut response = call.send().await.expect("an answer");
        let events = next_event(&mut response).await;
        Stream {
            id: id.to_owned(),
            response,
            events,
        }
    }

    /// Takes a stream up with a new attempt; returns its status and events.
    pub async fn take_up(&self, entry: usize, stream: &Stream, attempt: &str) -> (u16, String) {
        let mut call = request(&self.entries[entry], "/probe/1", attempt);
        call.headers.push(("last-event-id", stream.last_id()));
        call.headers.push(("resumes", stream.id.clone()));
        let response = call.send().await.expect("an answer");
        let status = response.status().as_u16();
        (status, rest(response).await.unwrap_or_default())
    }

    /// Replicas that received an attempt.
    pub fn received(&self, id: &str) -> Vec<&Arc<Replica>> {
        let received = |r: &&Arc<Replica>| r.requests().iter().any(|s| s.id == id);
        self.engines.iter().filter(received).collect()
    }
}

/// A stream of which a caller has received some events.
pub struct Stream {
    pub id: String,
    response: Response<Incoming>,
    pub events: String,
}

impl Stream {
    /// Receives the rest of the stream, if it is complete.
    pub async fn finish(self) -> Option<String> {
        rest(self.response).await
    }

    /// Id of the last event received.
    pub fn last_id(&self) -> String {
        let mut ids = self
            .events
            .lines()
            .rev()
            .filter_map(|l| l.strip_prefix("id: "));
        ids.next().expect("an event").to_owned()
    }
}

async fn next_event(response: &mut Response<Incoming>) -> String {
    let frame = timeout(TIMEOUT, response.body_mut().frame()).await;
    let frame = frame.expect("an event").expect("no end").expect("an event");
    text(frame.into_data().expect("data"))
}

/// Whether a stream breaks before its end.
async fn next_break(response: &mut Response<Incoming>) -> bool {
    let broken = async {
        loop {
            match response.body_mut().frame().await {
                Some(Ok(_)) => {}
                end => return end.is_some(),
            }
        }
    };
    timeout(TIMEOUT, broken).await.expect("an end")
}

/// The rest of a stream, if it is complete.
async fn rest(response: Response<Incoming>) -> Option<String> {
    let whole = timeout(TIMEOUT, response.into_body().collect()).await;
    Some(text(whole.expect("an end").ok()?.to_bytes()))
}

fn text(bytes: Bytes) -> String {
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// The complete stream as one build writes it.
fn written_by(build: &str) -> String {
    let event = |n| format!("id: {n}\ndata: token {n} by {build}\n\n");
    (1..=EVENTS).map(event).collect()
}

/// Checks that events are a complete stream of one build.
pub fn assert_one_build(events: &str, context: &str) {
    let complete = ["v1", "v2"].iter().any(|b| events == written_by(b));
    assert!(complete, "{context}: {events}");
}

#[tokio::test]
async fn broken_stream_goes_on_at_its_build_within_one_answer() {
    // Guards against an entry that resumes a stream at a replica which writes other events.
    let pairings = [
        ["v1", "v2", "v1", "v2"],
        ["v1", "v1", "v2", "v2"],
        ["v1", "v2", "v2", "v1"],
    ];
    for builds in pairings {
        let fleet = Fleet::start(1, false).await;
        for (engine, build) in fleet.engines.iter().zip(builds) {
            engine.set_build(build);
            fleet.list(engine);
        }
        sleep(LIST_INTERVAL).await;
        // Streams with this prompt go to the engine that has got the first of them.
        rest(fleet.begin(0, "first").await.response).await;
        fleet.received("first")[0].set_fault(Fault::Cut);
        let streams = (0..STREAMS).map(|n| {
            let call = request(&fleet.entries[0], "/probe/1", &format!("cut-{n}"));
            async { rest(call.send().await.expect("an answer")).await }
        });
        for events in join_all(streams).await {
            assert_one_build(&events.expect("a complete stream"), "stream");
        }
        let resumed = fleet.engines.iter().flat_map(|r| r.requests());
        let resumed = resumed.filter(|s| s.headers.contains_key("last-event-id"));
        assert!(resumed.count() > 0, "no stream was broken");
    }
}

/// What happens between the tries of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    Nothing,
    /// The entry that began the stream is killed as soon as its first event has arrived.
    Kill,
    /// An entry is started.
    Start,
}

#[tokio::test]
async fn stream_goes_on_at_its_build_over_the_tries_of_its_caller() {
    // Guards against entries that don't know which build began a stream, and against streams that
    // don't go on because of that.
    struct Case {
        name: &'static str,
        between: Between,
        entry: usize,
        sidecars: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "at the same entry", between: Between::Nothing, entry: 0, sidecars: false },
        Case { name: "at another entry", between: Between::Nothing, entry: 1, sidecars: false },
        Case { name: "at an entry started since", between: Between::Start, entry: 3, sidecars: false },
        Case { name: "after the first entry was killed", between: Between::Kill, entry: 1, sidecars: false },
        Case { name: "after the first entry was killed, with sidecars", between: Between::Kill, entry: 2, sidecars: true },
    ];
    for c in cases {
        let mut fleet = Fleet::start(3, c.sidecars).await;
        let mut streams = Vec::new();
        for n in 0..STREAMS {
            streams.push(fleet.begin(0, &format!("begun-{n}")).await);
        }
        match c.between {
            Between::Nothing => {}
            Between::Kill => fleet.entries[0].process.signal("KILL"),
            Between::Start => {
                fleet.add_entry("front-3").await;
                fleet.wait_for_peers(&fleet.entries[3], 3).await;
            }
        }
        for (n, stream) in streams.iter().enumerate() {
            let (status, events) = fleet.take_up(c.entry, stream, &format!("taken-{n}")).await;
            let log = || {
                fleet.entries[c.entry]
                    .process
                    .log_of_request(&format!("taken-{n}"))
            };
            assert_eq!(status, 200, "{}: {n}\n{}", c.name, log());
            assert_one_build(&format!("{}{events}", stream.events), c.name);
        }
        drop(streams.into_iter().map(|s| s.response).collect::<Vec<_>>());
    }
}

#[tokio::test]
async fn stream_whose_build_is_unknown_or_gone_is_refused() {
    // Guards against an entry that guesses a build.
    let fleet = Fleet::start(2, false).await;
    let unknown = Stream {
        id: "never-begun".to_owned(),
        ..fleet.begin(0, "begun").await
    };
    let (status, _) = fleet.take_up(1, &unknown, "taken-0").await;
    assert_eq!(status, 503, "unknown");
    assert!(fleet.received("taken-0").is_empty(), "unknown");

    let stream = fleet.begin(0, "begun-1").await;
    let build = fleet.received("begun-1")[0].build();
    let of_build = fleet.engines.iter().filter(|r| r.build() == build);
    for replica in of_build {
        fleet.platform.store.remove("servers", &replica.id);
        let is_gone = |e: &serde_json::Value| e["target"] == *replica.id && e["state"] == "gone";
        for entry in &fleet.entries {
            entry.process.wait_for_event("target", is_gone).await;
        }
    }
    for entry in 0..2 {
        let attempt = format!("taken-1-{entry}");
        let (status, _) = fleet.take_up(entry, &stream, &attempt).await;
        assert_eq!(status, 503, "gone");
        assert!(fleet.received(&attempt).is_empty(), "gone");
    }
}

#[tokio::test]
async fn stream_does_not_go_on_at_a_replica_that_has_changed_its_build() {
    // Guards against a replica that restarts under its id and is taken for what it was, although its
    // row shows the new build only half a second later.
    let mut platform = Platform::start().await;
    let engine = Replica::new("e1", EVENTS, EVENT_INTERVAL);
    engine.set_version(MODEL, 1);
    engine.set_build("v1");
    platform.replica(&engine, "engines").await;
    let entry = platform.entry("front-0", 1).await;
    let fleet = Fleet {
        platform,
        engines: vec![Arc::clone(&engine)],
        entries: vec![entry],
        sidecars: Vec::new(),
    };
    engine.set_fault(Fault::Cut);
    let mut stream = fleet.begin(0, "begun").await;
    engine.set_build("v2");
    engine.set_fault(Fault::None);
    assert!(
        next_break(&mut stream.response).await,
        "resumed at the same replica"
    );
    let taken = fleet.take_up(0, &stream, "taken");
    let registered = async {
        sleep(Duration::from_millis(500)).await;
        fleet.list(&engine);
    };
    let ((status, events), ()) = tokio::join!(taken, registered);
    assert_ne!(status, 200, "{events}");
}

#[tokio::test]
async fn stream_without_its_first_attempt_goes_on_only_at_a_sole_build() {
    // Guards against callers of the earlier interface, which name no attempt, that are all refused,
    // and against a guess if the pool has had two builds.
    struct Case {
        name: &'static str,
        builds: [&'static str; 2],
        status: u16,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "one build", builds: ["v1", "v1"], status: 200 },
        Case { name: "two builds", builds: ["v1", "v2"], status: 503 },
    ];
    for c in cases {
        let mut platform = Platform::start().await;
        for (n, build) in c.builds.iter().enumerate() {
            let engine = Replica::new(&format!("e{n}"), EVENTS, EVENT_INTERVAL);
            engine.set_version(MODEL, 1);
            engine.set_build(build);
            platform.replica(&engine, "engines").await;
        }
        let entry = platform.entry("front-0", 2).await;
        for gone in [false, true] {
            if gone {
                // A build that has left may still have begun a stream.
                platform.store.remove("servers", "e1");
                let is_gone = |e: &serde_json::Value| e["state"] == "gone";
                entry.process.wait_for_event("target", is_gone).await;
            }
            let mut call = request(&entry, "/probe/1", &format!("taken-{gone}"));
            call.headers.push(("last-event-id", "2".to_owned()));
            let response = call.send().await.expect("an answer");
            assert_eq!(response.status().as_u16(), c.status, "{}, {gone}", c.name);
        }
    }
}

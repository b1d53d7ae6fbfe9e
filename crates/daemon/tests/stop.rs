//! A graceful stop of any process under load aborts no request and refuses none.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use common::caller::Answer;
use common::{
    any_port, completion, quick, wait_for, words, Caller, Child, Fleet, StandIn, API_KEY,
};
use standin::engine::Settings;
use standin::service::Service;

/// Settings of an engine that takes about a second for an answer, so that a stop finds it running.
fn slow() -> Settings {
    Settings {
        decode_per_token: Duration::from_millis(15),
        ..quick()
    }
}

/// Length of an answer; at 15 ms per token, it takes about a second.
const TOKENS: usize = 60;
/// Length of an answer that takes longer than an entry's notice period.
const LONG_TOKENS: usize = 320;
/// Notice period of an entry in milliseconds: a load balancer needs some time to see that the entry
/// isn't ready any more.
const NOTICE_MS: &str = "3000";

/// Starts an entry with a notice period that is long enough for a load balancer.
fn start_entry(url: &str, seeds: &str) -> Child {
    let args = ["entry", "--platform", url, "--seeds", seeds];
    Child::run(&[&args[..], &["--notice-ms", NOTICE_MS]].concat())
}

/// Starts a sidecar that runs two requests at a time at its target, so that others queue.
fn start_narrow_sidecar(
    url: &str,
    seeds: &str,
    target: SocketAddr,
    pool: &str,
    kind: &str,
) -> Child {
    let target = format!("http://{target}");
    let args = ["sidecar", "--platform", url, "--seeds", seeds];
    let more = ["--target", &target, "--pool", pool, "--kind", kind];
    let own = ["--slots", "2", "--notice-ms", "200"];
    Child::run(&[&args[..], &more, &own].concat())
}

/// Value of one of a process's metrics; 0 if it is missing.
fn metric(child: &Child, name: &str) -> f64 {
    let text = Caller::new(child.address("admin"), "")
        .get("/metrics")
        .text();
    let line = text.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
    value.unwrap_or_default()
}

fn is_ready(at: SocketAddr) -> bool {
    Caller::new(at, "").get("/health/ready").status == 200
}

/// Interval at which the balancer checks which entries are ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// A load balancer that distributes requests over the entries that were ready at its last check.
#[derive(Clone, Default)]
struct Balancer {
    all: Arc<Mutex<Vec<SocketAddr>>>,
    ready: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    fn set<'a>(&self, entries: impl IntoIterator<Item = &'a Child>) {
        let all = entries.into_iter().map(|e| e.address("callers"));
        *self.all.lock().expect("balancer") = all.collect();
    }

    fn check(&self) {
        let all = self.all.lock().expect("balancer").clone();
        let up = all.into_iter().filter(|at| is_ready(*at)).collect();
        *self.ready.lock().expect("balancer") = up;
    }

    fn pick(&self, n: usize) -> Caller {
        let up = self.ready.lock().expect("balancer");
        assert!(!up.is_empty(), "no entry is ready");
        Caller::new(up[n % up.len()], API_KEY)
    }
}

/// Callers that send requests without pause until the load is ended.
struct Load {
    ended: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<String>>>,
    sent: Arc<AtomicUsize>,
}

impl Load {
    fn start(balancer: &Balancer, callers: usize) -> Self {
        let (ended, sent) = (Arc::<AtomicBool>::default(), Arc::default());
        balancer.check();
        let (checker, end) = (balancer.clone(), Arc::clone(&ended));
        std::thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                std::thread::sleep(CHECK_INTERVAL);
                checker.check();
            }
        });
        let start_caller = |n: usize| {
            let (balancer, ended, sent) = (balancer.clone(), Arc::clone(&ended), Arc::clone(&sent));
            std::thread::spawn(move || run_caller(&balancer, n, &ended, &sent))
        };
        let callers = (0..callers).map(start_caller).collect();
        Self {
            ended,
            callers,
            sent,
        }
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    /// Waits until `n` more requests have ended.
    fn wait_for_more(&self, n: usize) {
        let from = self.sent();
        wait_for("more requests", || self.sent() >= from + n);
    }

    /// Ends the load and returns a description of each request that failed.
    fn end(self) -> Vec<String> {
        self.ended.store(true, Ordering::Relaxed);
        let each = self.callers.into_iter();
        each.flat_map(|c| c.join().expect("caller")).collect()
    }
}

/// Sends streams, reads and records in turn until the load is ended; returns the failed ones.
fn run_caller(
    balancer: &Balancer,
    n: usize,
    ended: &AtomicBool,
    sent: &AtomicUsize,
) -> Vec<String> {
    let mut failures = Vec::new();
    for i in 0.. {
        if ended.load(Ordering::Relaxed) {
            break;
        }
        let to = balancer.pick(n + i);
        let name = format!("{n}-{i}");
        let (ok, answer) = match i % 3 {
            0 => {
                let a = to.post("/v1/completions", &completion(&name, TOKENS, true));
                (
                    a.is_complete_stream() && a.words() == words(&name, TOKENS),
                    a,
                )
            }
            1 => {
                let a = to.get("/quota/north");
                (a.clean && a.status == 200, a)
            }
            _ => {
                let key = [("idempotency-key", name.as_str())];
                let a = to.send("POST", "/records/votes", &key, &name);
                (a.clean && a.status == 201, a)
            }
        };
        sent.fetch_add(1, Ordering::Relaxed);
        if !ok {
            failures.push(format!("{name} at {to:?}: {}", describe(&answer)));
        }
    }
    failures
}

fn describe(a: &Answer) -> String {
    format!("{} clean {} {}", a.status, a.clean, a.text())
}

/// Guards against an entry that exits at its signal, which would abort its streams, or closes its
/// port at once, which would refuse requests that the load balancer still sends.
#[test]
fn entry_finishes_its_streams_and_serves_late_arrivals() {
    let mut fleet = Fleet::start(1, 1, &slow());
    fleet.entries.push(start_entry(&fleet.url(), &fleet.seed()));
    fleet.wait_members();
    fleet.wait_version(1, 1);
    let caller = fleet.caller(1);
    let send = |name: &str, i: usize, tokens: usize| {
        let prompt = format!("{name} {i}");
        let body = completion(&prompt, tokens, true);
        let pending = caller.begin("POST", "/v1/completions", &[], &body);
        (prompt, tokens, pending)
    };
    let early: Vec<_> = (0..4).map(|i| send("early", i, LONG_TOKENS)).collect();
    early.iter().for_each(|(_, _, p)| p.wait_for("data:"));
    let at = fleet.entries[1].address("callers");
    fleet.entries[1].stop();
    wait_for("readiness to be withdrawn", || !is_ready(at));
    let late: Vec<_> = (0..4).map(|i| send("late", i, TOKENS)).collect();
    for (prompt, tokens, pending) in early.into_iter().chain(late) {
        let answer = pending.end();
        assert!(
            answer.is_complete_stream(),
            "{prompt}: {}",
            describe(&answer)
        );
        assert_eq!(answer.words(), words(&prompt, tokens), "{prompt}");
    }
    assert!(fleet.entries[1].wait(), "the entry exits successfully");
    wait_for("the other entry to see the leave", || {
        fleet.live_members(0) == 3
    });
}

/// Guards against a stopping sidecar that aborts the requests running at its engine, or that
/// refuses queued requests to their callers although another replica could serve them.
#[test]
fn stopping_model_sidecar_finishes_running_requests_and_returns_queued_ones() {
    let mut fleet = Fleet::start(1, 2, &slow());
    for i in 0..2 {
        let (url, seed, at) = (fleet.url(), fleet.seed(), fleet.replicas[i].standin.at);
        let sidecar = start_narrow_sidecar(&url, &seed, at, "lekha-llm", "model");
        let mut old = std::mem::replace(&mut fleet.replicas[i].sidecar, sidecar);
        old.stop();
        assert!(old.wait(), "an idle sidecar exits successfully");
    }
    fleet.wait_members();
    let caller = fleet.caller(0);
    let send = |i: usize| {
        let prompt = format!("question {i}");
        let body = completion(&prompt, TOKENS, true);
        (prompt, caller.begin("POST", "/v1/completions", &[], &body))
    };
    let requests: Vec<_> = (0..16).map(send).collect();
    let queued = |r: usize| metric(&fleet.replicas[r].sidecar, "clementinestep_queue_length");
    // Of the 16 requests, at most four run, so at least six are queued at one of the two sidecars.
    let mut stopping = 0;
    wait_for("requests to queue at one of the sidecars", || {
        stopping = usize::from(queued(1) > queued(0));
        queued(stopping) >= 4.0
    });
    let engine = &fleet.replicas[stopping].engine;
    let started = engine.run_log().len() + engine.running();
    fleet.replicas[stopping].sidecar.stop();
    for (prompt, pending) in requests {
        let answer = pending.end();
        assert!(
            answer.is_complete_stream(),
            "{prompt}: {}",
            describe(&answer)
        );
        assert_eq!(answer.words(), words(&prompt, TOKENS), "{prompt}");
    }
    assert!(
        fleet.replicas[stopping].sidecar.wait(),
        "the sidecar exits successfully"
    );
    let log = [0, 1].map(|r| fleet.replicas[r].engine.run_log());
    assert!(log.iter().flatten().all(|r| r.whole), "{log:?}");
    assert_eq!(log[0].len() + log[1].len(), 16, "each ran once");
    // Up to two more may have been dispatched before the sidecar handled the signal.
    let ran = log[stopping].len();
    assert!(
        ran <= started + 2,
        "{ran} ran at the stopped sidecar, {started} had started at the signal"
    );
}

/// Guards against losing or repeating records when a plain service's sidecar stops: a queued record
/// may run elsewhere, but one that was dispatched to the service must not.
#[test]
fn stopping_plain_sidecar_loses_and_repeats_no_record() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let services = [0, 1].map(|_| Service::new(Duration::from_millis(400)));
    let at = [0, 1].map(|i: usize| StandIn::start(any_port(), services[i].router()));
    let (url, seed) = (fleet.url(), fleet.seed());
    let mut sidecars =
        [0, 1].map(|i: usize| start_narrow_sidecar(&url, &seed, at[i].at, "fieldops", "plain"));
    let seeds = sidecars[1].address("gossip").to_string();
    wait_for("the new sidecars to be members", || {
        fleet.live_members(0) == 4
    });
    fleet.fieldops.stop();
    assert!(fleet.fieldops.wait(), "an idle sidecar exits successfully");
    fleet.entries.push(start_entry(&url, &seeds));
    wait_for("the second entry to see all members", || {
        fleet.live_members(1) == 4
    });
    fleet.wait_version(1, 1);
    let send = |i: usize| {
        let key = format!("record {i}");
        let headers = [("idempotency-key", key.as_str())];
        fleet
            .caller(i % 2)
            .begin("POST", "/records/votes", &headers, &key)
    };
    let requests: Vec<_> = (0..24).map(send).collect();
    let queued = |i: usize| metric(&sidecars[i], "clementinestep_queue_length");
    // Of the 24 records, at most four run, so at least ten are queued at one of the two sidecars.
    let mut stopping = 0;
    wait_for("records to queue at one of the sidecars", || {
        stopping = usize::from(queued(1) > queued(0));
        queued(stopping) >= 6.0
    });
    let started = services[stopping].runs().len() + 2;
    sidecars[stopping].stop();
    for (i, pending) in requests.into_iter().enumerate() {
        let answer = pending.end();
        assert_eq!(
            (answer.status, answer.clean),
            (201, true),
            "{i}: {}",
            describe(&answer)
        );
    }
    assert!(sidecars[stopping].wait(), "the sidecar exits successfully");
    // Up to two more may have been dispatched before the sidecar handled the signal.
    let ran = services[stopping].runs().len();
    assert!(
        ran <= started + 2,
        "{ran} were written through the stopped sidecar, {started} had started at the signal"
    );
    let mut all: Vec<_> = services.iter().flat_map(|s| s.bodies()).collect();
    all.sort();
    let mut expected: Vec<_> = (0..24).map(|i| format!("record {i}")).collect();
    expected.sort();
    assert_eq!(all, expected);
}

/// Guards against failed requests or doubled records during a rolling restart under steady load: of
/// each process, the successor starts first, then the old one gets its signal to stop.
#[test]
fn rolling_restart_of_all_processes_fails_no_request() {
    let mut fleet = Fleet::start(1, 2, &quick());
    for _ in 0..2 {
        fleet.entries.push(start_entry(&fleet.url(), &fleet.seed()));
    }
    fleet.wait_members();
    let mut first = fleet.entries.remove(0);
    first.stop();
    assert!(first.wait(), "an idle entry exits successfully");
    for n in 0..2 {
        wait_for("the old process to be removed from the members", || {
            fleet.live_members(n) == 5
        });
        fleet.wait_version(n, 1);
    }
    let balancer = Balancer::default();
    balancer.set(&fleet.entries);
    let load = Load::start(&balancer, 4);
    load.wait_for_more(12);
    let url = fleet.url();
    let entry_gossip = fleet.entries[0].address("gossip").to_string();
    let (target, seed) = (fleet.service_at.at, |f: &Fleet| f.seed());
    let new = Child::sidecar(&url, &entry_gossip, target, "fieldops", "plain");
    let old = std::mem::replace(&mut fleet.fieldops, new);
    stop_replaced(&fleet, old, &load);
    for i in 0..2 {
        let at = fleet.replicas[i].standin.at;
        let new = Child::sidecar(&url, &seed(&fleet), at, "lekha-llm", "model");
        let old = std::mem::replace(&mut fleet.replicas[i].sidecar, new);
        stop_replaced(&fleet, old, &load);
    }
    for i in 0..2 {
        let new = start_entry(&url, &seed(&fleet));
        wait_for("the new entry to be ready", || {
            is_ready(new.address("callers"))
        });
        let old = std::mem::replace(&mut fleet.entries[i], new);
        // The balancer has both entries and sees the leave by the old one's readiness check.
        balancer.set(fleet.entries.iter().chain([&old]));
        stop_replaced(&fleet, old, &load);
        balancer.set(&fleet.entries);
    }
    load.wait_for_more(12);
    println!(
        "{} requests during the replacement of 5 processes",
        load.sent()
    );
    let failures = load.end();
    assert!(failures.is_empty(), "{failures:#?}");
    let mut records = fleet.service.bodies();
    let all = records.len();
    records.sort();
    records.dedup();
    assert_eq!(records.len(), all, "a record was written twice");
}

/// Stops a process once all entries see its successor, and waits until it has exited and all
/// entries have removed it.
fn stop_replaced(fleet: &Fleet, mut old: Child, load: &Load) {
    for n in 0..fleet.entries.len() {
        wait_for("the successor to be a member", || {
            fleet.live_members(n) >= 6
        });
    }
    old.stop();
    load.wait_for_more(6);
    assert!(old.wait(), "the old process exits successfully");
    for n in 0..fleet.entries.len() {
        wait_for("the old process to be removed from the members", || {
            fleet.live_members(n) == 5
        });
    }
}

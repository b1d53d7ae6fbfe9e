//! A planned stop of any process under load cuts no request and refuses none.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use common::caller::Answer;
use common::{any, completion, quick, wait_for, words, Caller, Child, Fleet, StandIn, KEY};
use standin::engine::Settings;
use standin::service::Service;

/// Answers that take about a second, so that a stop finds them running.
fn slow() -> Settings {
    Settings {
        decode_per_token: Duration::from_millis(15),
        ..quick()
    }
}

/// Tokens of such an answer.
const TOKENS: usize = 60;
/// Tokens of one that outlasts an entry's notice.
const LONG: usize = 320;
/// Notice that an entry gives; a balancer needs some time to look elsewhere.
const NOTICE: &str = "3000";

/// An entry whose balancer has time to notice its leave.
fn entry(url: &str, seeds: &str) -> Child {
    let args = ["entry", "--platform", url, "--seeds", seeds];
    Child::run(&[&args[..], &["--notice-ms", NOTICE]].concat())
}

/// A sidecar that hands its target two requests at a time, so that others queue.
fn narrow(url: &str, seeds: &str, target: SocketAddr, pool: &str, kind: &str) -> Child {
    let target = format!("http://{target}");
    let args = ["sidecar", "--platform", url, "--seeds", seeds];
    let more = ["--target", &target, "--pool", pool, "--kind", kind];
    let own = ["--slots", "2", "--notice-ms", "200"];
    Child::run(&[&args[..], &more, &own].concat())
}

/// A number that a process counts.
fn gauge(child: &Child, name: &str) -> f64 {
    let text = Caller::new(child.address("admin"), "")
        .get("/metrics")
        .text();
    let line = text.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.rsplit(' ').next()?.parse().ok());
    value.unwrap_or_default()
}

fn ready(at: SocketAddr) -> bool {
    Caller::new(at, "").get("/health/ready").status == 200
}

/// How often a balancer looks who is ready.
const LOOK: Duration = Duration::from_millis(300);

/// Sends to the entries that were ready when it looked last, as a balancer does.
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

    fn look(&self) {
        let all = self.all.lock().expect("balancer").clone();
        let up = all.into_iter().filter(|at| ready(*at)).collect();
        *self.ready.lock().expect("balancer") = up;
    }

    fn pick(&self, turn: usize) -> Caller {
        let up = self.ready.lock().expect("balancer");
        assert!(!up.is_empty(), "no entry is ready");
        Caller::new(up[turn % up.len()], KEY)
    }
}

/// A steady small load until it is told to end.
struct Load {
    over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<String>>>,
    sent: Arc<AtomicUsize>,
}

impl Load {
    fn start(balancer: &Balancer, callers: usize) -> Self {
        let (over, sent) = (Arc::<AtomicBool>::default(), Arc::default());
        balancer.look();
        let (eyes, end) = (balancer.clone(), Arc::clone(&over));
        std::thread::spawn(move || {
            while !end.load(Ordering::Relaxed) {
                std::thread::sleep(LOOK);
                eyes.look();
            }
        });
        let one = |n: usize| {
            let (balancer, over, sent) = (balancer.clone(), Arc::clone(&over), Arc::clone(&sent));
            std::thread::spawn(move || call(&balancer, n, &over, &sent))
        };
        let callers = (0..callers).map(one).collect();
        Self {
            over,
            callers,
            sent,
        }
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    /// Waits until so many more were sent.
    fn more(&self, n: usize) {
        let from = self.sent();
        wait_for("more requests", || self.sent() >= from + n);
    }

    /// What went wrong.
    fn end(self) -> Vec<String> {
        self.over.store(true, Ordering::Relaxed);
        let each = self.callers.into_iter();
        each.flat_map(|c| c.join().expect("caller")).collect()
    }
}

/// One caller: streams, questions and records in turn.
fn call(balancer: &Balancer, n: usize, over: &AtomicBool, sent: &AtomicUsize) -> Vec<String> {
    let mut wrong = Vec::new();
    for turn in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let to = balancer.pick(n + turn);
        let name = format!("{n}-{turn}");
        let (good, answer) = match turn % 3 {
            0 => {
                let a = to.post("/v1/completions", &completion(&name, TOKENS, true));
                (a.whole() && a.words() == words(&name, TOKENS), a)
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
        if !good {
            wrong.push(format!("{name} at {to:?}: {}", told(&answer)));
        }
    }
    wrong
}

fn told(a: &Answer) -> String {
    format!("{} clean {} {}", a.status, a.clean, a.text())
}

/// An entry is replaced while callers hear their streams through it. If it exited on its signal,
/// each of them would hear a cut; if it closed its port at once, those whom the balancer still
/// sends would be refused.
#[test]
fn entry_finishes_its_streams_and_serves_late_arrivals() {
    let mut fleet = Fleet::start(1, 1, &slow());
    fleet.entries.push(entry(&fleet.url(), &fleet.seed()));
    fleet.wait_members();
    fleet.wait_version(1, 1);
    let caller = fleet.caller(1);
    let ask = |name: &str, i: usize, tokens: usize| {
        let prompt = format!("{name} {i}");
        let body = completion(&prompt, tokens, true);
        let pending = caller.begin("POST", "/v1/completions", &[], &body);
        (prompt, tokens, pending)
    };
    let early: Vec<_> = (0..4).map(|i| ask("early", i, LONG)).collect();
    early.iter().for_each(|(_, _, p)| p.wait_for("data:"));
    let at = fleet.entries[1].address("callers");
    fleet.entries[1].stop();
    wait_for("readiness to be withdrawn", || !ready(at));
    let late: Vec<_> = (0..4).map(|i| ask("late", i, TOKENS)).collect();
    for (prompt, tokens, pending) in early.into_iter().chain(late) {
        let answer = pending.end();
        assert!(answer.whole(), "{prompt}: {}", told(&answer));
        assert_eq!(answer.words(), words(&prompt, tokens), "{prompt}");
    }
    assert!(fleet.entries[1].wait(), "it ends well");
    wait_for("the others to know", || fleet.live(0) == 3);
}

/// A sidecar is replaced while requests run at its engine and others wait for their turn there.
/// Callers of those that run would hear a cut, callers of those that wait would be refused,
/// although another replica could serve them.
#[test]
fn model_sidecar_finishes_what_runs_and_gives_back_what_waits() {
    let mut fleet = Fleet::start(1, 2, &slow());
    for i in 0..2 {
        let (url, seed, at) = (fleet.url(), fleet.seed(), fleet.replicas[i].standin.at);
        let sidecar = narrow(&url, &seed, at, "lekha-llm", "model");
        let mut old = std::mem::replace(&mut fleet.replicas[i].sidecar, sidecar);
        old.stop();
        assert!(old.wait(), "an idle sidecar ends well");
    }
    fleet.wait_members();
    let caller = fleet.caller(0);
    let ask = |i: usize| {
        let prompt = format!("question {i}");
        let body = completion(&prompt, TOKENS, true);
        (prompt, caller.begin("POST", "/v1/completions", &[], &body))
    };
    let asked: Vec<_> = (0..16).map(ask).collect();
    let queued = |r: usize| gauge(&fleet.replicas[r].sidecar, "clementinestep_queue_length");
    // Of sixteen, four run at most, so that six or more wait at one of the two.
    let mut stopping = 0;
    wait_for("requests to wait at one", || {
        stopping = usize::from(queued(1) > queued(0));
        queued(stopping) >= 4.0
    });
    let engine = &fleet.replicas[stopping].engine;
    let begun = engine.run_log().len() + engine.running();
    fleet.replicas[stopping].sidecar.stop();
    for (prompt, pending) in asked {
        let answer = pending.end();
        assert!(answer.whole(), "{prompt}: {}", told(&answer));
        assert_eq!(answer.words(), words(&prompt, TOKENS), "{prompt}");
    }
    assert!(fleet.replicas[stopping].sidecar.wait(), "it ends well");
    let log = [0, 1].map(|r| fleet.replicas[r].engine.run_log());
    assert!(log.iter().flatten().all(|r| r.whole), "{log:?}");
    assert_eq!(log[0].len() + log[1].len(), 16, "each ran once");
    // Two more may have had their turn before the signal was heard.
    let ran = log[stopping].len();
    assert!(
        ran <= begun + 2,
        "{ran} ran there, {begun} had begun at the signal"
    );
}

/// A sidecar before a plain service is replaced while records are written, each of which must be
/// written once. A record that was only waiting there may go to another replica; one that was
/// handed over must not.
#[test]
fn plain_sidecar_finishes_each_record_once() {
    let mut fleet = Fleet::start(1, 0, &quick());
    let services = [0, 1].map(|_| Service::new(Duration::from_millis(400)));
    let at = [0, 1].map(|i: usize| StandIn::start(any(), services[i].router()));
    let (url, seed) = (fleet.url(), fleet.seed());
    let mut sidecars = [0, 1].map(|i: usize| narrow(&url, &seed, at[i].at, "fieldops", "plain"));
    let seeds = sidecars[1].address("gossip").to_string();
    wait_for("the new ones to be seen", || fleet.live(0) == 4);
    fleet.fieldops.stop();
    assert!(fleet.fieldops.wait(), "an idle sidecar ends well");
    fleet.entries.push(entry(&url, &seeds));
    wait_for("the second entry to know all", || fleet.live(1) == 4);
    fleet.wait_version(1, 1);
    let ask = |i: usize| {
        let key = format!("record {i}");
        let headers = [("idempotency-key", key.as_str())];
        fleet
            .caller(i % 2)
            .begin("POST", "/records/votes", &headers, &key)
    };
    let asked: Vec<_> = (0..24).map(ask).collect();
    let queued = |i: usize| gauge(&sidecars[i], "clementinestep_queue_length");
    // Of 24, four run at most, so that ten or more wait at one of the two.
    let mut stopping = 0;
    wait_for("records to wait at one", || {
        stopping = usize::from(queued(1) > queued(0));
        queued(stopping) >= 6.0
    });
    let begun = services[stopping].runs().len() + 2;
    sidecars[stopping].stop();
    for (i, pending) in asked.into_iter().enumerate() {
        let answer = pending.end();
        assert_eq!(
            (answer.status, answer.clean),
            (201, true),
            "{i}: {}",
            told(&answer)
        );
    }
    assert!(sidecars[stopping].wait(), "it ends well");
    // Two more may have had their turn before the signal was heard.
    let ran = services[stopping].runs().len();
    assert!(
        ran <= begun + 2,
        "{ran} were written there, {begun} had begun at the signal"
    );
    let mut all: Vec<_> = services.iter().flat_map(|s| s.bodies()).collect();
    all.sort();
    let mut wanted: Vec<_> = (0..24).map(|i| format!("record {i}")).collect();
    wanted.sort();
    assert_eq!(all, wanted);
}

/// Every process is replaced in turn on an ordinary day, under a steady load: a new one starts,
/// then the old one is told to stop. Callers shouldn't notice.
#[test]
fn rolling_restart_of_all_processes_is_not_noticed() {
    let mut fleet = Fleet::start(1, 2, &quick());
    for _ in 0..2 {
        fleet.entries.push(entry(&fleet.url(), &fleet.seed()));
    }
    fleet.wait_members();
    let mut first = fleet.entries.remove(0);
    first.stop();
    assert!(first.wait(), "an idle entry ends well");
    for n in 0..2 {
        wait_for("its end to be seen", || fleet.live(n) == 5);
        fleet.wait_version(n, 1);
    }
    let balancer = Balancer::default();
    balancer.set(&fleet.entries);
    let load = Load::start(&balancer, 4);
    load.more(12);
    let url = fleet.url();
    let kept = fleet.entries[0].address("gossip").to_string();
    let (target, gossip) = (fleet.service_at.at, |f: &Fleet| f.seed());
    let new = Child::sidecar(&url, &kept, target, "fieldops", "plain");
    let old = std::mem::replace(&mut fleet.fieldops, new);
    replace(&fleet, old, &load);
    for i in 0..2 {
        let at = fleet.replicas[i].standin.at;
        let new = Child::sidecar(&url, &gossip(&fleet), at, "lekha-llm", "model");
        let old = std::mem::replace(&mut fleet.replicas[i].sidecar, new);
        replace(&fleet, old, &load);
    }
    for i in 0..2 {
        let new = entry(&url, &gossip(&fleet));
        wait_for("the new entry to be ready", || {
            ready(new.address("callers"))
        });
        let old = std::mem::replace(&mut fleet.entries[i], new);
        // The balancer knows both and learns of the leave from the old one's readiness.
        balancer.set(fleet.entries.iter().chain([&old]));
        replace(&fleet, old, &load);
        balancer.set(&fleet.entries);
    }
    load.more(12);
    println!(
        "{} requests during the replacement of 5 processes",
        load.sent()
    );
    let wrong = load.end();
    assert!(wrong.is_empty(), "{wrong:#?}");
    let mut records = fleet.service.bodies();
    let all = records.len();
    records.sort();
    records.dedup();
    assert_eq!(records.len(), all, "no record twice");
}

/// Stops a process once its successor is seen everywhere, and waits for its end.
fn replace(fleet: &Fleet, mut old: Child, load: &Load) {
    for n in 0..fleet.entries.len() {
        wait_for("the successor to be seen", || fleet.live(n) >= 6);
    }
    old.stop();
    load.more(6);
    assert!(old.wait(), "it ends well");
    for n in 0..fleet.entries.len() {
        wait_for("its end to be seen", || fleet.live(n) == 5);
    }
}

//! A request that crashes its targets is stopped after two crashes, whichever caller or entry sends
//! it again.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use bytes::Bytes;
use common::caller::{Answer, Pending};
use common::child::FLEET_KEY;
use common::{completion, quick, wait_for, words, Child, Fleet, Program, QUICKSTART};
use wire::{Finding, Findings, Inquiry, Key, Keys, Message, Open, Packet, Peer, PACKET_MAX};

/// A prompt that contains this text kills the process of the engine that runs it.
const POISON: &str = "DEADLY";
/// Length of the long streams; at 10 ms per token, each lasts about two seconds.
const TOKENS: usize = 200;
/// Pause of a sidecar, longer than it waits for the checks that show a crash.
const PAUSE: Duration = Duration::from_millis(600);

/// A fleet whose engines run as separate processes, so that a crash ends one engine only.
struct EngineProcesses {
    fleet: Fleet,
    engines: Vec<(Program, Child)>,
}

impl EngineProcesses {
    fn start(entries: usize, engines: usize) -> Self {
        let mut p = Self {
            fleet: Fleet::start(entries, 0, &quick()),
            engines: Vec::new(),
        };
        for _ in 0..engines {
            p.add_engine();
        }
        for n in 0..entries {
            let all = 1 + entries + engines;
            wait_for("every entry to list all engines", || {
                p.fleet.live_members(n) == all
            });
        }
        p
    }

    fn add_engine(&mut self) {
        let args = ["--weights", "1", "--poison", POISON, "--decode-us", "10000"];
        let engine = Program::start("engine", &args);
        let (url, seed) = (self.fleet.url(), self.fleet.seed());
        let sidecar = Child::sidecar(&url, &seed, engine.at, "lekha-llm", "model");
        self.engines.push((engine, sidecar));
    }

    /// Number of engines whose process has ended.
    fn dead_engines(&mut self) -> usize {
        let runs: Vec<_> = self
            .engines
            .iter_mut()
            .map(|(e, _)| e.is_running())
            .collect();
        runs.iter().filter(|r| !**r).count()
    }

    /// Starts streams through the first entry, enough that every engine runs at least one of them
    /// and each crash interrupts a stream.
    fn start_streams(&self) -> Vec<(String, Pending)> {
        (0..6)
            .map(|n| {
                let prompt = format!("an honest request {n}");
                let body = completion(&prompt, TOKENS, true);
                let caller = self.fleet.caller(0);
                let stream = caller.begin("POST", "/v1/completions", &[], &body);
                stream.wait_for("choices");
                (prompt, stream)
            })
            .collect()
    }

    fn send_poison(&self, entry: usize, stream: bool) -> Answer {
        let body = completion(&format!("{POISON} question"), 5, stream);
        self.fleet.caller(entry).post("/v1/completions", &body)
    }
}

/// Asserts that the request is quarantined and that the caller isn't invited to retry.
fn assert_quarantined(answer: &Answer) {
    assert_eq!(answer.status, 422, "{}", answer.text());
    assert_eq!(answer.code(), "quarantined");
    assert!(
        answer.header("retry-after").is_none(),
        "a retry is pointless, so no retry-after"
    );
}

/// Guards against retrying a request on one engine after the other until it has crashed the whole
/// pool, and against losing the streams that ran on the crashed engines.
#[test]
fn request_is_stopped_after_two_crashes_and_other_streams_survive() {
    let mut p = EngineProcesses::start(2, 4);
    let streams = p.start_streams();
    let answer = p.send_poison(0, false);
    assert_quarantined(&answer);
    assert_eq!(answer.header("x-outcome"), Some("unknown"));
    assert_eq!(p.dead_engines(), 2);
    for (prompt, stream) in streams {
        let answer = stream.end();
        assert!(answer.is_complete_stream(), "{prompt}: {}", answer.text());
        assert_eq!(answer.words(), words(&prompt, TOKENS));
    }
    assert_eq!(p.dead_engines(), 2);
}

/// Guards against counting crashes per call: a caller that repeats a request which isn't idempotent
/// would then crash one engine with each repetition.
#[test]
fn crashes_are_counted_across_repeated_calls() {
    let mut p = EngineProcesses::start(3, 4);
    let not_idempotent = QUICKSTART.replace(
        "then = { pool = \"lekha-llm\", deadline = \"60s\" }",
        "then = { pool = \"lekha-llm\", deadline = \"60s\", idempotent = false }",
    );
    assert_ne!(not_idempotent, QUICKSTART);
    p.fleet.apply(&not_idempotent);
    let first = p.send_poison(0, true);
    assert_eq!((first.status, first.code().as_str()), (502, "target_lost"));
    assert_eq!(
        (first.header("x-outcome"), p.dead_engines()),
        (Some("unknown"), 1)
    );
    let second = p.send_poison(1, true);
    assert_quarantined(&second);
    assert_eq!(
        (second.header("x-outcome"), p.dead_engines()),
        (Some("unknown"), 2)
    );
    let third = p.send_poison(2, true);
    assert_quarantined(&third);
    assert_eq!(
        (third.header("x-outcome"), p.dead_engines()),
        (Some("not-run"), 2)
    );
}

/// Guards against one more crash at each further entry through which a convicted request is sent.
#[test]
fn convicted_request_is_refused_at_every_entry() {
    let mut p = EngineProcesses::start(3, 4);
    assert_quarantined(&p.send_poison(0, true));
    assert_eq!(p.dead_engines(), 2);
    for n in [1, 2, 0, 1, 2] {
        let answer = p.send_poison(n, true);
        assert_eq!(
            p.dead_engines(),
            2,
            "the request crashed another engine through entry {n}"
        );
        assert_quarantined(&answer);
        assert_eq!(answer.header("x-outcome"), Some("not-run"), "entry {n}");
    }
    let prompt = "an honest request";
    let body = completion(prompt, 3, true);
    let answer = p.fleet.caller(1).post("/v1/completions", &body);
    assert!(answer.is_complete_stream(), "{}", answer.text());
    assert_eq!(answer.words(), words(prompt, 3));
}

/// Guards against entries that retry a request without counting the crash that another entry has
/// seen: with two entries at once, more than two engines would crash.
#[test]
fn request_sent_through_two_entries_at_once_stops_at_the_second_crash() {
    let mut p = EngineProcesses::start(2, 5);
    let body = completion(&format!("{POISON} question"), 5, false);
    let pending: Vec<_> = (0..2)
        .map(|n| {
            p.fleet
                .caller(n)
                .begin("POST", "/v1/completions", &[], &body)
        })
        .collect();
    for answer in pending {
        assert_quarantined(&answer.end());
    }
    assert_eq!(p.dead_engines(), 2);
}

/// Guards against taking a crash for a broken connection when the sidecar is paused between both: a
/// further engine would crash.
#[test]
fn crash_counts_although_its_sidecar_is_paused_after_it() {
    let mut p = EngineProcesses::start(1, 4);
    let body = completion(&format!("{POISON} question"), 5, false);
    let caller = p.fleet.caller(0);
    let pending = caller.begin("POST", "/v1/completions", &[], &body);
    let mut crashed = None;
    wait_for("an engine to crash", || {
        crashed = p.engines.iter_mut().position(|(e, _)| !e.is_running());
        crashed.is_some()
    });
    let sidecar = &p.engines[crashed.expect("waited for")].1;
    sidecar.signal("STOP");
    std::thread::sleep(PAUSE);
    sidecar.signal("CONT");
    assert_quarantined(&pending.end());
    assert_eq!(p.dead_engines(), 2);
}

/// A sidecar that isn't a member of the fleet, so that members learn of it only from the test.
struct UnlistedSidecar {
    udp: UdpSocket,
    keys: Keys,
    rank: u64,
}

impl UnlistedSidecar {
    fn start(rank: u64) -> Self {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("socket");
        udp.set_read_timeout(Some(Duration::from_millis(200)))
            .expect("timeout");
        Self {
            udp,
            keys: fleet_keys(),
            rank,
        }
    }

    fn peer(&self) -> Peer {
        Peer {
            rank: self.rank,
            address: self.udp.local_addr().expect("address").to_string(),
        }
    }

    /// The next inquiry and its sender; `None` if none arrives in time.
    fn receive_inquiry(&self) -> Option<(Inquiry, SocketAddr)> {
        let mut buf = [0; PACKET_MAX];
        let (n, from) = self.udp.recv_from(&mut buf).ok()?;
        match Packet::open(&Bytes::copy_from_slice(&buf[..n]), &self.keys) {
            Ok(Message::Inquiry(i)) => Some((i, from)),
            other => panic!("no inquiry: {other:?}"),
        }
    }

    /// Answers that the request runs here, and that another sidecar is listed.
    fn answer(&self, inquiry: &Inquiry, to: SocketAddr, listed: Peer) {
        let finding = |s: &wire::Suspect| Finding {
            fingerprint: s.fingerprint,
            crashes: Vec::new(),
            busy: true,
            good: false,
        };
        let findings = Findings {
            from: self.rank,
            round: inquiry.round,
            sent: inquiry.sent,
            findings: inquiry.suspects.iter().map(finding).collect(),
            peers: vec![listed],
        };
        let bytes = Packet::seal(findings, &self.keys).expect("small enough");
        self.udp.send_to(&bytes, to).expect("send");
    }
}

fn fleet_keys() -> Keys {
    Keys::new(Key::from_hex(FLEET_KEY).expect("key"), None)
}

/// Sends a sidecar a request under which a target has crashed, as an entry does.
async fn send_suspect(to: SocketAddr, listed: Peer) {
    let tcp = tokio::net::TcpStream::connect(to).await.expect("connect");
    let (mut tx, mut rx) = wire::connect(tcp, &fleet_keys(), rand::random())
        .await
        .expect("hello");
    let open = Open {
        token: Bytes::copy_from_slice(&rand::random::<[u8; 16]>()),
        request: "suspect".to_owned(),
        team: "team-one".to_owned(),
        share: 1,
        class: 1,
        deadline: 1_000,
        idempotent: true,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        body: Bytes::from(completion("a suspect", 1, false)),
        fingerprint: rand::random(),
        strikes: 1,
        crashes: vec![7],
        peers: vec![listed],
        ..Open::default()
    };
    tx.send(open).await.expect("send");
    rx.next().await.expect("the request is queued");
}

/// Guards against running a suspect while a sidecar runs it that the membership hasn't spread to
/// this one yet.
#[test]
fn sidecar_that_only_other_processes_list_is_asked_about_a_suspect() {
    let fleet = Fleet::start(1, 1, &quick());
    let sidecar = fleet.replicas[0].sidecar.address("peer");
    let listed_by_entry = UnlistedSidecar::start(1);
    let listed_by_peer = UnlistedSidecar::start(2);
    let run = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    wait_for("the sidecar that the entry lists to be asked", || {
        run.block_on(send_suspect(sidecar, listed_by_entry.peer()));
        let inquiry = listed_by_entry.receive_inquiry();
        if let Some((inquiry, from)) = &inquiry {
            listed_by_entry.answer(inquiry, *from, listed_by_peer.peer());
        }
        inquiry.is_some()
    });
    wait_for("the sidecar that another one lists to be asked", || {
        run.block_on(send_suspect(sidecar, listed_by_entry.peer()));
        if let Some((inquiry, from)) = listed_by_entry.receive_inquiry() {
            listed_by_entry.answer(&inquiry, from, listed_by_peer.peer());
        }
        listed_by_peer.receive_inquiry().is_some()
    });
}
